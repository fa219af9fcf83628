"""An asyncio event loop with virtual time: nothing waits, and what is due at one time runs in the order asked for.

The agent runs on it unmodified, Tornado's IOStream included: that asks the loop for readiness of a descriptor by
number, and the numbers here belong to the sockets of `memory.py`.
"""

from __future__ import annotations

import asyncio
import heapq
from asyncio import events
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from math import inf
from typing import Any, Protocol

OWNER: ContextVar[int] = ContextVar("owner", default=0)  # whose work a callback is; 0 = the bed's
COMPACT = 1 / 2  # of the timers: with so many cancelled, they are thrown out
START = 1000.0  # s


class Stuck(RuntimeError):
    """Somebody waits, and nothing is left that could happen."""


class Readable(Protocol):
    """A socket as the loop sees it."""

    def fileno(self) -> int: ...

    def readable(self) -> bool: ...

    def writable(self) -> bool: ...


class VirtualLoop(asyncio.BaseEventLoop):
    """Time jumps to the next timer as soon as nothing is ready.

    Work belongs to an owner (`OWNER`): one that is held up gets its callbacks later, one that was killed never.
    """

    def __init__(self) -> None:
        super().__init__()
        self._now = START
        self._timers: list[tuple[float, int, events.TimerHandle]] = []  # each leaves when due, or cancelled
        self._sequence = 0
        self._cancelled = 0
        self._sockets: dict[int, Readable] = {}  # by descriptor; each leaves when it closes
        self._wants: dict[tuple[int, bool], events.Handle] = {}  # (descriptor, to write): gone when removed
        self._posted: set[tuple[int, bool]] = set()  # of these, which have a callback on its way
        self._held: dict[int, tuple[float, list[events.Handle]]] = {}  # owner: until when, and what waits
        self._killed: set[int] = set()  # owners; numbers are never used again
        self.faults: list[dict[str, Any]] = []  # exceptions that nobody caught; there should be none
        self.set_exception_handler(lambda _, context: self.faults.append(context))

    def time(self) -> float:
        """S since some start."""
        return self._now

    # Timers.

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,  # type: ignore[override]
        context: Any = None,
    ) -> events.TimerHandle:
        handle = events.TimerHandle(when, callback, args, self, context)
        self._sequence += 1
        heapq.heappush(self._timers, (when, self._sequence, handle))
        return handle

    def call_later(
        self,
        delay: float,
        callback: Callable[..., Any],
        *args: Any,  # type: ignore[override]
        context: Any = None,
    ) -> events.TimerHandle:
        return self.call_at(self._now + delay, callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: events.TimerHandle) -> None:
        self._cancelled += 1
        if self._cancelled > 1000 and self._cancelled > COMPACT * len(self._timers):
            self._timers = [t for t in self._timers if not t[2].cancelled()]
            heapq.heapify(self._timers)
            self._cancelled = 0

    def _run_once(self) -> None:
        ready = self._ready  # type: ignore[attr-defined]
        timers = self._timers
        while timers and timers[0][2].cancelled():
            heapq.heappop(timers)
            self._cancelled = max(0, self._cancelled - 1)
        if not ready:
            if not timers:
                raise Stuck("nothing is left that could happen")
            self._now = max(self._now, timers[0][0])
        while timers and timers[0][0] <= self._now:
            handle = heapq.heappop(timers)[2]
            if not handle.cancelled():
                ready.append(handle)
        for _ in range(len(ready)):
            handle = ready.popleft()
            if handle.cancelled():
                continue
            if self._held or self._killed:
                owner = handle._context.get(OWNER, 0)
                if owner in self._killed:
                    continue
                if owner in self._held:
                    self._held[owner][1].append(handle)
                    continue
            handle._run()

    def _process_events(self, event_list: Any) -> None:
        raise NotImplementedError

    def _write_to_self(self) -> None:
        """Everything runs in one thread, which is awake."""

    # Owners.

    @contextmanager
    def owned_by(self, owner: int) -> Iterator[None]:
        """What is begun in here, and all that follows from it, is this owner's work."""
        token = OWNER.set(owner)
        try:
            yield
        finally:
            OWNER.reset(token)

    def hold(self, owner: int, ms: float) -> None:
        """This owner's event loop is busy for so long: what comes in the meantime runs after it."""
        until = self._now + ms / 1000
        before, waiting = self._held.get(owner, (0.0, []))
        self._held[owner] = max(before, until), waiting
        self.call_at(until, self._release, owner)

    def _release(self, owner: int) -> None:
        until, waiting = self._held.get(owner, (inf, []))
        if self._now >= until:
            del self._held[owner]
            self._ready.extend(waiting)  # type: ignore[attr-defined]

    def kill(self, owner: int) -> None:
        """Nothing of this owner's runs any more."""
        self._killed.add(owner)
        self._held.pop(owner, None)

    def end(self) -> None:
        """Cancel what is left, of killed owners too, so that nothing is torn down half-way by the collector."""
        self._killed.clear()
        for _, waiting in self._held.values():
            self._ready.extend(waiting)  # type: ignore[attr-defined]
        self._held.clear()
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run_until_complete(asyncio.wait(tasks, timeout=10.0))
        # What killed owners wait for is let go while there still is a loop that its last lines can call.
        self._timers.clear()
        self._ready.clear()  # type: ignore[attr-defined]
        self._sockets.clear()
        self._wants.clear()

    # Readiness, level-triggered as a selector's.

    def open(self, sock: Readable) -> None:
        self._sockets[sock.fileno()] = sock

    def shut(self, sock: Readable) -> None:
        """The socket is closed: nothing is told of it any more."""
        self._sockets.pop(sock.fileno(), None)
        for to_write in (False, True):
            self._wants.pop((sock.fileno(), to_write), None)

    def changed(self, sock: Readable) -> None:
        """What can be read or written may have changed."""
        for to_write in (False, True):
            self._post((sock.fileno(), to_write))

    def _post(self, key: tuple[int, bool]) -> None:
        want, sock = self._wants.get(key), self._sockets.get(key[0])
        if want is None or sock is None or key in self._posted:
            return
        if sock.writable() if key[1] else sock.readable():
            self._posted.add(key)
            self.call_soon(self._tell, key, want, context=want._context)  # type: ignore[attr-defined]

    def _tell(self, key: tuple[int, bool], want: events.Handle) -> None:
        self._posted.discard(key)
        if self._wants.get(key) is want and not want.cancelled():
            want._callback(*want._args)  # type: ignore[attr-defined]
        self._post(key)

    def _want(self, fd: Any, to_write: bool, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        key = (fd if isinstance(fd, int) else fd.fileno(), to_write)
        self._wants[key] = events.Handle(callback, args, self, None)
        self._post(key)

    def _want_no_more(self, fd: Any, to_write: bool) -> bool:
        key = (fd if isinstance(fd, int) else fd.fileno(), to_write)
        return self._wants.pop(key, None) is not None

    def add_reader(
        self,
        fd: Any,
        callback: Callable[..., Any],  # type: ignore[override]
        *args: Any,
    ) -> None:
        self._want(fd, False, callback, args)

    def add_writer(
        self,
        fd: Any,
        callback: Callable[..., Any],  # type: ignore[override]
        *args: Any,
    ) -> None:
        self._want(fd, True, callback, args)

    def remove_reader(self, fd: Any) -> bool:
        return self._want_no_more(fd, False)

    def remove_writer(self, fd: Any) -> bool:
        return self._want_no_more(fd, True)
