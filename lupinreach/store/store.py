"""The store: one file in the agent's folder, read at the start and written in the background.

Everything put between two writes is written at once. A write that hangs on its disk blocks nothing; of what
is put meanwhile, the last value of each key counts. So a power loss costs what was put since the last
completed write: one interval, or as long as the disk hangs. Callers that must not continue before their data
is durable await `flush`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lupinreach.store import records, trust
from lupinreach.store.files import Disk, replace
from lupinreach.store.records import FileContents, State

SLACK_BYTES = 64 << 10  # the file is rewritten when it exceeds twice its live content plus this


class Store:
    """One process's access to its agent's file.

    `on_failure` is called once when the disk can't be written; `writable` is whether the last write
    succeeded.
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
        self.state: State = {}  # bounded by `records.MAX_KEYS`
        self.written = 0  # bytes since the start
        self._dirty: dict[str, None] = {}  # keys put since the last write began
        self._appends = False  # this process has written the whole file and may append to it
        self._size = self._rewrite_above = 0  # bytes of the file, and above which it is rewritten
        self._lock = asyncio.Lock()

    def open(self) -> FileContents:
        """Reads what the previous process stored; nothing if the file can't be read."""
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
        """Sets a key as of the next write; None deletes it. False, and no change, if the store is full.

        Raises ValueError if the value is too long for a record.
        """
        if value is None:
            if self.state.pop(key, None) is not None:
                self._dirty[key] = None
            return True
        if len(self.state) >= records.MAX_KEYS and key not in self.state:
            return False
        if self.state.get(key) != value:
            records.encode_record(key, value)  # guards against a value that the write would fail on
            self.state[key] = value
            self._dirty[key] = None
        return True

    async def flush(self) -> bool:
        """Writes and syncs what was put; false if the disk can't. The event loop continues meanwhile."""
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
                # Guards against a partial record before what is appended next: the file is rewritten.
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
            # Guards against losing higher values of another process on the same disk.
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
