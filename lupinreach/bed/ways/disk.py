"""An agent's data directory, for fault injection: in memory with simulated power loss, or a real folder."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable, Iterator
from pathlib import Path

from lupinreach.bed.world.random_streams import RandomStream
from lupinreach.store.files import Disk

STATE_FILE = "carried"  # name of the file that holds an agent's stored state


class _MemoryFile:
    def __init__(self, data: bytes, synced_bytes: int = 0) -> None:
        self.data = data
        self.synced_bytes = synced_bytes  # length of the prefix that was synced


class MemoryDisk(Disk):
    """Files and directory entries; tracks what of each was synced and survives a power loss."""

    def __init__(self, rng: RandomStream) -> None:
        self._rng = rng
        self._names: dict[str, _MemoryFile] = {}
        self._synced_names: dict[str, _MemoryFile] = {}  # directory entries as of the last sync
        self._temp_file_count = 0
        self.writes_fail = False  # read-only, or full
        self._stalled_until = 0.0  # s, loop time

    def read(self, path: str, limit: int) -> bytes:
        if path not in self._names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT))
        return self._names[path].data[:limit]

    def write(self, folder: str, data: bytes, sync: bool) -> str:
        if self.writes_fail:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._temp_file_count += 1
        temp_path = f"{folder}/fresh-{self._temp_file_count}"
        self._names[temp_path] = _MemoryFile(data, len(data) if sync else 0)
        return temp_path

    def append(self, path: str, data: bytes, sync: bool) -> None:
        if self.writes_fail:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if path not in self._names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT))
        file = self._names[path]
        file.data += data
        if sync:
            file.synced_bytes = len(file.data)

    def rename(self, temp_path: str, path: str) -> None:
        self._names[path] = self._names.pop(temp_path)

    def sync(self, folder: str) -> None:
        self._synced_names = dict(self._names)

    async def run_blocking(self, operation: Callable[[], bool]) -> bool:
        while (remaining_s := self._stalled_until - asyncio.get_running_loop().time()) > 0:
            await asyncio.sleep(remaining_s)
        return operation()

    def hang(self, ms: float) -> None:
        """Blocks the completion of writes for the given time from now."""
        self._stalled_until = asyncio.get_running_loop().time() + ms / 1000

    def lose_power(self) -> None:
        """Simulates a power loss: unsynced directory entries are the old or the new ones, unsynced bytes any prefix."""
        surviving = {}
        for name in sorted({*self._names, *self._synced_names}):
            file = (self._names if self._rng.random() < 0.5 else self._synced_names).get(name)
            if file is not None:
                file.data = file.data[
                    : file.synced_bytes + int(self._rng.random() * (len(file.data) - file.synced_bytes + 1))
                ]
                surviving[name] = file
        self._names, self._synced_names = dict(surviving), surviving

    def outcomes(self, name: str) -> Iterator[bytes | None]:
        """All contents that a power loss can leave now.

        The directory entry is the old or the new one; of unsynced bytes any prefix is left, alone or padded with zeros.
        """
        for names in (self._names, self._synced_names):
            file = names.get(name)
            if file is None:
                yield None
                continue
            for end in range(file.synced_bytes, len(file.data) + 1):
                yield file.data[:end]
                yield file.data[:end] + bytes(len(file.data) - end)

    # Fault injection, with the interface of `Folder`.

    def copy(self) -> bytes | None:
        """The state file's content; None if there is no such file."""
        file = self._names.get(STATE_FILE)
        return file.data if file else None

    def put(self, data: bytes | None) -> None:
        """Replaces the state file's content as if synced; None removes the file."""
        self._names.pop(STATE_FILE, None)
        if data is not None:
            self._names[STATE_FILE] = _MemoryFile(data, len(data))
        self._synced_names = dict(self._names)


class Folder:
    """Injects the same faults into an agent's real data directory."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._moved_path = path.with_name(path.name + "-away")
        if not path.exists():  # while writes fail it is a file
            path.mkdir()

    @property
    def file(self) -> Path:
        """Path of the state file."""
        return self._path / STATE_FILE

    def copy(self) -> bytes | None:
        """The state file's content; None if it can't be read."""
        try:
            return self.file.read_bytes()
        except OSError:
            return None

    def put(self, data: bytes | None) -> None:
        """Replaces the state file's content; None removes the file."""
        if data is None:
            self.file.unlink(missing_ok=True)
        else:
            self.file.write_bytes(data)

    @property
    def writes_fail(self) -> bool:
        """If the folder is replaced by a file, so that nothing can be written into it."""
        return not self._path.is_dir()

    @writes_fail.setter
    def writes_fail(self, on: bool) -> None:
        # Permissions don't stop root from writing; a regular file in place of the folder does.
        if on and not self.writes_fail:
            self._path.rename(self._moved_path)
            self._path.write_bytes(b"")
        elif not on and self.writes_fail:
            self._path.unlink()
            self._moved_path.rename(self._path)

    def lose_power(self) -> None:
        """Does nothing: the page cache outlives the process; unsynced data is lost in virtual time only."""
