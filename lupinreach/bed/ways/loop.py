"""An asyncio event loop on virtual time: it never sleeps, and timers due at the same time run in scheduling order.

The agent runs on it unmodified, including Tornado's IOStream. IOStream watches descriptors by number; the numbers
belong to the sockets of `memory.py`.
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

OWNER: ContextVar[int] = ContextVar("owner", default=0)  # the owner of a callback; 0: the bed
MAX_CANCELLED_FRACTION = 1 / 2  # of all timers; above it cancelled timers are removed from the heap
START_TIME_S = 1000.0  # loop time at which a run starts


class DeadlockError(RuntimeError):
    """The loop waits, but has neither a ready callback nor a timer left."""


class PollableSocket(Protocol):
    """A socket whose readiness the loop can query."""

    def fileno(self) -> int: ...

    def readable(self) -> bool: ...

    def writable(self) -> bool: ...


class VirtualLoop(asyncio.BaseEventLoop):
    """Time jumps to the next timer as soon as no callback is ready.

    Each callback belongs to an owner (`OWNER`). Callbacks of a suspended owner are deferred, those of a killed owner
    are dropped.
    """

    def __init__(self) -> None:
        super().__init__()
        self._now = START_TIME_S
        self._timers: list[tuple[float, int, events.TimerHandle]] = []  # removed when due, or once cancelled
        self._sequence = 0
        self._cancelled_timers = 0
        self._sockets: dict[int, PollableSocket] = {}  # by descriptor; removed when they close
        self._watchers: dict[tuple[int, bool], events.Handle] = {}  # by (descriptor, for writing)
        self._scheduled_watchers: set[tuple[int, bool]] = set()  # keys whose callback is scheduled
        # By owner: end of the suspension in s, and deferred callbacks.
        self._suspended: dict[int, tuple[float, list[events.Handle]]] = {}
        self._killed: set[int] = set()  # owners; their numbers are not reused
        self.faults: list[dict[str, Any]] = []  # contexts of unhandled exceptions; a correct run has none
        self.set_exception_handler(lambda _, context: self.faults.append(context))

    def time(self) -> float:
        """Virtual time in seconds."""
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
        self._cancelled_timers += 1
        if self._cancelled_timers > 1000 and self._cancelled_timers > MAX_CANCELLED_FRACTION * len(
            self._timers
        ):
            self._timers = [t for t in self._timers if not t[2].cancelled()]
            heapq.heapify(self._timers)
            self._cancelled_timers = 0

    def _run_once(self) -> None:
        ready = self._ready  # type: ignore[attr-defined]
        timers = self._timers
        while timers and timers[0][2].cancelled():
            heapq.heappop(timers)
            self._cancelled_timers = max(0, self._cancelled_timers - 1)
        if not ready:
            if not timers:
                raise DeadlockError("the event loop has neither ready callbacks nor timers")
            self._now = max(self._now, timers[0][0])
        while timers and timers[0][0] <= self._now:
            handle = heapq.heappop(timers)[2]
            if not handle.cancelled():
                ready.append(handle)
        for _ in range(len(ready)):
            handle = ready.popleft()
            if handle.cancelled():
                continue
            if self._suspended or self._killed:
                owner = handle._context.get(OWNER, 0)
                if owner in self._killed:
                    continue
                if owner in self._suspended:
                    self._suspended[owner][1].append(handle)
                    continue
            handle._run()

    def _process_events(self, event_list: Any) -> None:
        raise NotImplementedError

    def _write_to_self(self) -> None:
        """No wake-up is needed, since everything runs in one thread."""

    # Owners.

    @contextmanager
    def owned_by(self, owner: int) -> Iterator[None]:
        """Callbacks and tasks created in this context, and those created by them, belong to the owner."""
        token = OWNER.set(owner)
        try:
            yield
        finally:
            OWNER.reset(token)

    def hold(self, owner: int, ms: float) -> None:
        """Suspends an owner for the given time, as if its event loop were busy; its callbacks run afterwards."""
        until = self._now + ms / 1000
        before, waiting = self._suspended.get(owner, (0.0, []))
        self._suspended[owner] = max(before, until), waiting
        self.call_at(until, self._resume, owner)

    def _resume(self, owner: int) -> None:
        until, waiting = self._suspended.get(owner, (inf, []))
        if self._now >= until:
            del self._suspended[owner]
            self._ready.extend(waiting)  # type: ignore[attr-defined]

    def kill(self, owner: int) -> None:
        """Drops all further callbacks of an owner."""
        self._killed.add(owner)
        self._suspended.pop(owner, None)

    def end(self) -> None:
        """Cancels all tasks, also of killed owners, so that the garbage collector destroys no pending one."""
        self._killed.clear()
        for _, waiting in self._suspended.values():
            self._ready.extend(waiting)  # type: ignore[attr-defined]
        self._suspended.clear()
        tasks = asyncio.all_tasks(self)
        for task in tasks:
            task.cancel()
        if tasks:
            self.run_until_complete(asyncio.wait(tasks, timeout=10.0))
        # Drops the handles of killed owners while their cleanup code can still call the loop.
        self._timers.clear()
        self._ready.clear()  # type: ignore[attr-defined]
        self._sockets.clear()
        self._watchers.clear()

    # Readiness is level-triggered, as with a selector.

    def register_socket(self, sock: PollableSocket) -> None:
        """Makes a socket known by its descriptor."""
        self._sockets[sock.fileno()] = sock

    def unregister_socket(self, sock: PollableSocket) -> None:
        """Removes a closed socket and its watchers."""
        self._sockets.pop(sock.fileno(), None)
        for to_write in (False, True):
            self._watchers.pop((sock.fileno(), to_write), None)

    def notify_readiness(self, sock: PollableSocket) -> None:
        """Schedules the watchers of a socket whose readiness may have changed."""
        for to_write in (False, True):
            self._schedule_if_ready((sock.fileno(), to_write))

    def _schedule_if_ready(self, key: tuple[int, bool]) -> None:
        watcher, sock = self._watchers.get(key), self._sockets.get(key[0])
        if watcher is None or sock is None or key in self._scheduled_watchers:
            return
        if sock.writable() if key[1] else sock.readable():
            self._scheduled_watchers.add(key)
            self.call_soon(self._run_watcher, key, watcher, context=watcher._context)  # type: ignore[attr-defined]

    def _run_watcher(self, key: tuple[int, bool], watcher: events.Handle) -> None:
        self._scheduled_watchers.discard(key)
        if self._watchers.get(key) is watcher and not watcher.cancelled():
            watcher._callback(*watcher._args)  # type: ignore[attr-defined]
        self._schedule_if_ready(key)

    def _watch(self, fd: Any, to_write: bool, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        key = (fd if isinstance(fd, int) else fd.fileno(), to_write)
        self._watchers[key] = events.Handle(callback, args, self, None)
        self._schedule_if_ready(key)

    def _unwatch(self, fd: Any, to_write: bool) -> bool:
        key = (fd if isinstance(fd, int) else fd.fileno(), to_write)
        return self._watchers.pop(key, None) is not None

    def add_reader(
        self,
        fd: Any,
        callback: Callable[..., Any],  # type: ignore[override]
        *args: Any,
    ) -> None:
        self._watch(fd, False, callback, args)

    def add_writer(
        self,
        fd: Any,
        callback: Callable[..., Any],  # type: ignore[override]
        *args: Any,
    ) -> None:
        self._watch(fd, True, callback, args)

    def remove_reader(self, fd: Any) -> bool:
        return self._unwatch(fd, False)

    def remove_writer(self, fd: Any) -> bool:
        return self._unwatch(fd, True)
