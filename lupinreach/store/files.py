"""Small files that one process writes and another reads."""

from __future__ import annotations

import asyncio
import errno
import os
import tempfile
from collections.abc import Callable


class Disk:
    """Access to the file system. Simulations replace it by one that can lose power."""

    def read(self, path: str, most: int) -> bytes:
        """At most the first `most` bytes; raises OSError if there is no such file."""
        with open(path, "rb") as file:
            return file.read(most)

    def write(self, folder: str, text: bytes, sync: bool) -> str:
        """Writes a new temporary file, synced on request; returns its path."""
        descriptor, temporary = tempfile.mkstemp(dir=folder, prefix="lupinreach-")
        try:
            with os.fdopen(descriptor, "wb") as file:
                file.write(text)
                if sync:
                    file.flush()
                    os.fsync(file.fileno())
        except OSError:
            os.unlink(temporary)  # guards against partial files piling up on a full disk
            raise
        return temporary

    def append(self, path: str, text: bytes, sync: bool) -> None:
        """Appends to an existing file; a power loss before the sync may leave any prefix of the text."""
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        try:
            if os.write(descriptor, text) != len(text):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            if sync:
                os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, temporary: str, path: str) -> None:
        """Replaces a file atomically."""
        os.replace(temporary, path)

    def sync(self, folder: str) -> None:
        """Makes the folder's entries survive a power loss."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    async def run_blocking(self, work: Callable[[], bool]) -> bool:
        """Runs blocking work in a thread, since a sync may take seconds."""
        return await asyncio.to_thread(work)


def replace(path: str, text: bytes, sync: bool = False, disk: Disk = Disk()) -> bool:
    """Replaces a file atomically, so that nobody reads a partial one; false if it can't be written.

    With `sync`, a power loss at any moment leaves the previous file or this one.
    """
    folder = os.path.dirname(path) or "."
    try:
        disk.rename(disk.write(folder, text, sync), path)
        if sync:
            disk.sync(folder)
    except OSError:
        return False
    return True
