"""The store: one file in the agent's folder, read at the start and written beside the event loop.

What is put between two writings is written as one; a writing that hangs on its disk holds up nothing, and what is put
meanwhile replaces itself, key by key. So a power loss costs what was put since the last writing that came to its end: one
interval, or as long as the disk hangs. Who must not go on before it is safe awaits `flush`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lupinreach.store import records, trust
from lupinreach.store.files import Disk, replace
from lupinreach.store.records import FileContents, State

SLACK_BYTES = 64 << 10  # bytes by which a file may be longer than what counts in it, beside as much again


class Store:
    """One process's hold of its agent's file.

    `failed` hears once of a disk that can't be written, and `well` says if it could be of late.
    """

    def __init__(
        self,
        path: str,
        agent: str,
        disk: Disk | None = None,
        on_failure: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._path = path
        self._agent = agent
        self._disk = disk or Disk()
        self._on_failure = on_failure
        self.writable = True
        self.state: State = {}  # bounded by `records.MOST_KEYS`
        self.written = 0  # bytes, since the start
        self._dirty: dict[str, None] = {}  # keys put since the last writing began
        self._appends = False  # the file is whole, and this process's to go on with
        self._size = self._rewrite_above = 0  # bytes that the file has, and from which on it is written anew
        self._lock = asyncio.Lock()

    def open(self) -> FileContents:
        """Read what the life before has left; with no file that can be read, nothing."""
        try:
            text = self._disk.read(self._path, records.MAX_FILE_BYTES + 1)
        except OSError as why:
            return FileContents(why=why.strerror or str(why))
        if len(text) > records.MAX_FILE_BYTES:
            return FileContents(lost=len(text), why="too long")
        found = records.decode_file(text, self._agent)
        self.state = dict(found.state)
        return found

    def put(self, key: str, value: Any) -> bool:
        """Keep that from the next writing on; None: drop it. False, with nothing kept, where there is no room.

        ValueError where the value is longer than a record may be.
        """
        if value is None:
            if self.state.pop(key, None) is not None:
                self._dirty[key] = None
            return True
        if len(self.state) >= records.MAX_KEYS and key not in self.state:
            return False
        if self.state.get(key) != value:
            records.encode_record(key, value)  # guards against what the writing could only fail on
            self.state[key] = value
            self._dirty[key] = None
        return True

    async def flush(self) -> bool:
        """Write and sync what was put; false where the disk can't. The event loop serves on meanwhile."""
        async with self._lock:
            if not self._dirty:
                return True
            dirty, self._dirty = self._dirty, {}
            text = b"".join(records.encode_record(k, self.state.get(k)) for k in dirty)
            if self._appends and self._size + len(text) <= self._rewrite_above:
                done = await self._disk.run_blocking(self._append(text))
                self._size += len(text)
            else:
                done = await self._disk.run_blocking(self._rewrite(dict(self.state)))
            if not done:
                # Guards against a half that would stand before what is appended next.
                self._appends = False
                self._dirty = {**dirty, **self._dirty}
                if self.writable:
                    self._on_failure("can't be written")
            self.writable = done
            return done

    def _append(self, text: bytes) -> Callable[[], bool]:
        def work() -> bool:
            try:
                self._disk.append(self._path, text, True)
            except OSError:
                return False
            self.written += len(text)
            return True

        return work

    def _rewrite(self, state: State) -> Callable[[], bool]:
        def work() -> bool:
            # Guards against another process on the same disk that has reached more meanwhile.
            try:
                on_disk = records.decode_file(
                    self._disk.read(self._path, records.MAX_FILE_BYTES), self._agent
                ).state
            except OSError:
                on_disk = {}
            text = records.encode_file(self._agent, trust.merged(on_disk, state))
            if not replace(self._path, text, True, self._disk):
                return False
            self._appends, self._size, self._rewrite_above = True, len(text), 2 * len(text) + SLACK_BYTES
            self.written += len(text)
            return True

        return work
