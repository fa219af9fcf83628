"""Small files that one process writes and another reads."""

from __future__ import annotations

import asyncio
import errno
import os
import tempfile
from collections.abc import Callable


class Disk:
    """The system's files. Virtual time hands in one that loses power."""

    def read(self, path: str, most: int) -> bytes:
        """The first so many bytes; OSError where there is no such file."""
        with open(path, "rb") as file:
            return file.read(most)

    def write(self, folder: str, text: bytes, sync: bool) -> str:
        """A new file with that in it, synced if asked for; its path."""
        descriptor, temporary = tempfile.mkstemp(dir=folder, prefix="lupinreach-")
        try:
            with os.fdopen(descriptor, "wb") as file:
                file.write(text)
                if sync:
                    file.flush()
                    os.fsync(file.fileno())
        except OSError:
            os.unlink(temporary)  # guards against a full disk that fills with halves
            raise
        return temporary

    def append(self, path: str, text: bytes, sync: bool) -> None:
        """More at the end of a file that is there; a power loss before a sync leaves any first part of it."""
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        try:
            if os.write(descriptor, text) != len(text):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            if sync:
                os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, temporary: str, path: str) -> None:
        os.replace(temporary, path)

    def sync(self, folder: str) -> None:
        """What names stand in the folder is there after a power loss too."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    async def run_blocking(self, work: Callable[[], bool]) -> bool:
        """Do it where it holds up no event loop: a sync may take seconds."""
        return await asyncio.to_thread(work)


def replace(path: str, text: bytes, sync: bool = False, disk: Disk = Disk()) -> bool:
    """Write the file in one step, so that nobody reads half of it; false where it can't be written.

    With `sync`, a power loss at any moment leaves the file of before or this one.
    """
    folder = os.path.dirname(path) or "."
    try:
        disk.rename(disk.write(folder, text, sync), path)
        if sync:
            disk.sync(folder)
    except OSError:
        return False
    return True
