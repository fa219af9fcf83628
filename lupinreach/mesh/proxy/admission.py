"""Admission of requests to one backend: concurrency, a short queue, and the bound of a cold backend."""

from __future__ import annotations

import asyncio
from collections import deque

from lupinreach.mesh.errors import NotTakenReason
from lupinreach.mesh.proxy.fair_queue import FairQueue
from lupinreach.mesh.proxy.request_kind import RequestKind
from lupinreach.mesh.proxy.service_times import ServiceTimes

COLD_WINDOW_S = 1.0
WAIT_FLOOR_MS = 5


class NotAdmitted(Exception):
    """The request may not be passed to the backend now; it has not run."""

    def __init__(self, reason: NotTakenReason, retry_ms: float = 0.0) -> None:
        super().__init__(reason.name)
        self.reason = reason
        self.retry_ms = retry_ms


class SlidingWindow:
    """Counts events so that no window of `span_s` seconds, at any offset, holds more than a limit."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._times: deque[float] = deque()

    def wait_s(self, now: float, limit: int) -> float:
        """Seconds until one more event is allowed; 0 where it is allowed now."""
        while self._times and self._times[0] <= now - self._span_s:
            self._times.popleft()
        if len(self._times) < limit:
            return 0.0
        return self._times[len(self._times) - limit] + self._span_s - now

    def add(self, now: float) -> None:
        """Count one event."""
        self._times.append(now)


class Admission:
    """Lets in what the backend can bear; the rest waits in a queue that is fair to all kinds of requests."""

    def __init__(self) -> None:
        self.running = 0
        self.capacity = 1
        self.cold_per_s = 0.0  # bound while cold, 0: none
        self.cold_until = 0.0
        self._arrivals = SlidingWindow(COLD_WINDOW_S)
        self._service_times = ServiceTimes()
        self._queue = FairQueue(self._service_times.relative)
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        return self._queue.waiting

    @property
    def mean_service_s(self) -> float:
        """Smoothed; 0: none seen."""
        return self._service_times.mean_s

    def retry_ms(self) -> float:
        """When there may be room again, as an estimate."""
        return 1000 * self.mean_service_s * (self.waiting + 1) / max(1, self.capacity)

    async def enter(self, kind: RequestKind, due: float, wait_ms: float) -> None:
        """Wait for a slot, among its kind the earliest `due` first (loop time); NotAdmitted after `wait_ms`."""
        now = asyncio.get_running_loop().time()
        if not self.waiting and self._has_room(now):
            self._let_in(now)
            return
        refused = self.would_refuse(kind, wait_ms)
        if refused is not None:
            raise refused
        await self._wait(kind, due, wait_ms)

    def would_refuse(self, kind: RequestKind, wait_ms: float) -> NotAdmitted | None:
        """What a request that may wait for so long would be told at once, if anything."""
        now = asyncio.get_running_loop().time()
        if not self.waiting and self._has_room(now):
            return None
        if wait_ms < WAIT_FLOOR_MS or self._expected_wait_s(kind) * 1000 > wait_ms:
            return NotAdmitted(self._full_reason(now), self.retry_ms())
        return None

    async def _wait(self, kind: RequestKind, due: float, wait_ms: float) -> None:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()
        self._queue.push(kind, due, future)
        timer = loop.call_later(wait_ms / 1000, self._expire, kind, future)
        self._pump()
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.exception() is None:
                self.leave(kind, None)  # it was let in at the moment when its client went away
            raise
        finally:
            timer.cancel()
            if future.cancelled():
                self._queue.left(kind)

    def _expire(self, kind: RequestKind, future: asyncio.Future[None]) -> None:
        if not future.done():
            self._queue.left(kind)
            now = asyncio.get_running_loop().time()
            future.set_exception(NotAdmitted(self._full_reason(now), self.retry_ms()))

    def _full_reason(self, now: float) -> NotTakenReason:
        return NotTakenReason.COLD if now < self.cold_until else NotTakenReason.FULL

    def _expected_wait_s(self, kind: RequestKind) -> float:
        return self.mean_service_s * (self._queue.turns_before(kind) + 0.5) / max(1, self.capacity)

    def _cold_wait_s(self, now: float) -> float:
        if now >= self.cold_until or not self.cold_per_s:
            return 0.0
        return self._arrivals.wait_s(now, max(1, int(self.cold_per_s)))

    def _has_room(self, now: float) -> bool:
        return self.running < self.capacity and not self._cold_wait_s(now)

    def _let_in(self, now: float) -> None:
        self.running += 1
        self._arrivals.wait_s(now, 1)
        self._arrivals.add(now)

    def leave(self, kind: RequestKind, service_s: float | None) -> None:
        """A request that was let in has ended; with its service time where it was served."""
        self.running -= 1
        if service_s is not None:
            self._service_times.add(kind, service_s)
        self._pump()

    def _pump(self) -> None:
        now = asyncio.get_running_loop().time()
        while self.waiting and self._has_room(now):
            future = self._queue.pop()
            if future is None:
                break
            self._let_in(now)
            future.set_result(None)
        self._wake_when_cold_allows(now)

    def _wake_when_cold_allows(self, now: float) -> None:
        wait_s = self._cold_wait_s(now)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.waiting and wait_s and self.running < self.capacity:
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._pump)

    def refuse_all(self, reason: NotTakenReason) -> None:
        """Turn away all that waits."""
        for future in self._queue.drain():
            future.set_exception(NotAdmitted(reason))
