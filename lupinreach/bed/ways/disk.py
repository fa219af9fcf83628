"""An agent's folder: in memory, where it loses power as a disk does, or on the system's, where faults are put into files."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable, Iterator
from pathlib import Path

from lupinreach.bed.world.random_streams import RandomStream
from lupinreach.store.files import Disk

CARRIED = "carried"


class _File:
    def __init__(self, text: bytes, safe: int = 0) -> None:
        self.text = text
        self.safe = safe  # so many first bytes of it were synced


class MemoryDisk(Disk):
    """Files and names, each with what of it a power loss leaves."""

    def __init__(self, chance: RandomStream) -> None:
        self._chance = chance
        self._names: dict[str, _File] = {}
        self._kept: dict[str, _File] = {}  # names that were synced
        self._number = 0
        self.stuck = False  # read-only, or full
        self._hangs_until = 0.0  # s, by the loop's clock

    def read(self, path: str, most: int) -> bytes:
        if path not in self._names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT))
        return self._names[path].text[:most]

    def write(self, folder: str, text: bytes, sync: bool) -> str:
        if self.stuck:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        self._number += 1
        fresh = f"{folder}/fresh-{self._number}"
        self._names[fresh] = _File(text, len(text) if sync else 0)
        return fresh

    def append(self, path: str, text: bytes, sync: bool) -> None:
        if self.stuck:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if path not in self._names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT))
        file = self._names[path]
        file.text += text
        if sync:
            file.safe = len(file.text)

    def rename(self, fresh: str, path: str) -> None:
        self._names[path] = self._names.pop(fresh)

    def sync(self, folder: str) -> None:
        self._kept = dict(self._names)

    async def away(self, work: Callable[[], bool]) -> bool:
        while (left := self._hangs_until - asyncio.get_running_loop().time()) > 0:
            await asyncio.sleep(left)
        return work()

    def hang(self, ms: float) -> None:
        """From now on for so long nothing that is written comes to its end."""
        self._hangs_until = asyncio.get_running_loop().time() + ms / 1000

    def lose_power(self) -> None:
        """Of a name that was not synced either state may be there; of bytes that were not, any first part."""
        found = {}
        for name in sorted({*self._names, *self._kept}):
            file = (self._names if self._chance.random() < 0.5 else self._kept).get(name)
            if file is not None:
                file.text = file.text[
                    : file.safe + int(self._chance.random() * (len(file.text) - file.safe + 1))
                ]
                found[name] = file
        self._names, self._kept = dict(found), found

    def outcomes(self, name: str) -> Iterator[bytes | None]:
        """All that a power loss now can leave of a file: either name, and of unsynced bytes each first part, or zeros."""
        for names in (self._names, self._kept):
            file = names.get(name)
            if file is None:
                yield None
                continue
            for end in range(file.safe, len(file.text) + 1):
                yield file.text[:end]
                yield file.text[:end] + bytes(len(file.text) - end)

    # Faults, as in a folder.

    def copy(self) -> bytes | None:
        file = self._names.get(CARRIED)
        return file.text if file else None

    def put(self, text: bytes | None) -> None:
        self._names.pop(CARRIED, None)
        if text is not None:
            self._names[CARRIED] = _File(text, len(text))
        self._kept = dict(self._names)


class Folder:
    """The same faults put into an agent's real folder."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._away = path.with_name(path.name + "-away")
        if not path.exists():  # while it is stuck it is a file
            path.mkdir()

    @property
    def file(self) -> Path:
        return self._path / CARRIED

    def copy(self) -> bytes | None:
        try:
            return self.file.read_bytes()
        except OSError:
            return None

    def put(self, text: bytes | None) -> None:
        if text is None:
            self.file.unlink(missing_ok=True)
        else:
            self.file.write_bytes(text)

    @property
    def stuck(self) -> bool:
        return not self._path.is_dir()

    @stuck.setter
    def stuck(self, on: bool) -> None:
        # No rights keep a process of root's from writing: a folder that is a file does.
        if on and not self.stuck:
            self._path.rename(self._away)
            self._path.write_bytes(b"")
        elif not on and self.stuck:
            self._path.unlink()
            self._away.rename(self._path)

    def lose_power(self) -> None:
        """The system's own caches outlive a process; what isn't synced is lost in virtual time only."""
