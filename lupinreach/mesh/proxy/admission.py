"""Admission of requests to one backend: concurrency limit, wait queue, rate limit of a cold backend."""

from __future__ import annotations

import asyncio
from collections import deque

from lupinreach.mesh.errors import NotTakenReason
from lupinreach.mesh.proxy.fair_queue import FairQueue
from lupinreach.mesh.proxy.request_kind import RequestKind
from lupinreach.mesh.proxy.service_times import ServiceTimes

COLD_WINDOW_S = 1.0  # window of the rate limit of a cold backend
COLD_BURST_S = 0.2  # admissions that were not used for this long may follow at once
MIN_QUEUE_WAIT_MS = 5  # a request that may wait for less is not queued


class NotAdmitted(Exception):
    """The request may not be passed to the backend now; it has not run."""

    def __init__(self, reason: NotTakenReason, retry_ms: float = 0.0) -> None:
        super().__init__(reason.name)
        self.reason = reason
        self.retry_ms = retry_ms


class PacedRateLimiter:
    """Rate limiter: no window of `COLD_WINDOW_S`, at any offset, holds more events than a limit.

    Events are spread over the window, but for short bursts. If the limit could be spent at once, it would be spent at
    the same moments of every window, and a request that waits for less than a window would rarely meet one of them.
    """

    def __init__(self) -> None:
        self._times: deque[float] = deque()
        self._next_at = 0.0  # loop time from which pacing allows one more

    def wait_s(self, now: float, limit: int) -> float:
        """Return the seconds until one more event is allowed; 0 if it is allowed now."""
        self._drop_past_events(now)
        window_s = (
            self._times[len(self._times) - limit] + COLD_WINDOW_S - now if len(self._times) >= limit else 0.0
        )
        return max(0.0, window_s, self._next_at - now)

    def add(self, now: float, limit: int | None) -> None:
        """Record one event; None: there is no limit now, so that it is not paced."""
        self._drop_past_events(now)
        self._times.append(now)
        if limit is not None:
            self._next_at = max(self._next_at, now - COLD_BURST_S) + COLD_WINDOW_S / limit

    def _drop_past_events(self, now: float) -> None:
        while self._times and self._times[0] <= now - COLD_WINDOW_S:
            self._times.popleft()


class Admission:
    """Admits requests up to the backend's limits; the others wait in a queue that is fair to all kinds."""

    def __init__(self) -> None:
        self.running = 0
        self.capacity = 1
        self.cold_per_s = 0.0  # limit on admissions while the backend is cold; 0: no limit
        self.cold_until = 0.0  # loop time
        self._admitted = PacedRateLimiter()
        self._service_times = ServiceTimes()
        self._queue = FairQueue(self._service_times.relative)
        self._cold_wakeup_timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Number of requests in the wait queue."""
        return self._queue.waiting

    @property
    def mean_service_s(self) -> float:
        """Moving average of the service time; 0 before the first sample."""
        return self._service_times.mean_s

    def retry_ms(self) -> float:
        """Estimate the time until there is capacity again."""
        now = asyncio.get_running_loop().time()
        return 1000 * self._admission_interval_s(now) * (self.waiting + 1)

    async def acquire(self, kind: RequestKind, due: float, wait_ms: float) -> None:
        """Wait for a slot; within a kind the earliest `due` (loop time) is first.

        Raises NotAdmitted after `wait_ms`, or at once if the expected wait is longer.
        """
        now = asyncio.get_running_loop().time()
        if not self.waiting and self._has_capacity(now):
            self._admit(now)
            return
        refusal = self.refusal_if_full(kind, wait_ms)
        if refusal is not None:
            raise refusal
        await self._wait_in_queue(kind, due, wait_ms)

    def refusal_if_full(self, kind: RequestKind, wait_ms: float) -> NotAdmitted | None:
        """Return the refusal that a request with this queue wait limit would get at once, or None."""
        now = asyncio.get_running_loop().time()
        if not self.waiting and self._has_capacity(now):
            return None
        if wait_ms < MIN_QUEUE_WAIT_MS or self._expected_wait_s(kind, now) * 1000 > wait_ms:
            return NotAdmitted(self._full_reason(now), self.retry_ms())
        return None

    async def _wait_in_queue(self, kind: RequestKind, due: float, wait_ms: float) -> None:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[None] = loop.create_future()
        self._queue.push(kind, due, future)
        timer = loop.call_later(wait_ms / 1000, self._expire, kind, future)
        self._admit_waiting()
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.exception() is None:
                self.release(kind, None)  # it was admitted just before its client went away
            raise
        finally:
            timer.cancel()
            if future.cancelled():
                self._queue.on_entry_done(kind)

    def _expire(self, kind: RequestKind, future: asyncio.Future[None]) -> None:
        if not future.done():
            self._queue.on_entry_done(kind)
            now = asyncio.get_running_loop().time()
            future.set_exception(NotAdmitted(self._full_reason(now), self.retry_ms()))

    def _full_reason(self, now: float) -> NotTakenReason:
        return NotTakenReason.COLD if now < self.cold_until else NotTakenReason.FULL

    def _expected_wait_s(self, kind: RequestKind, now: float) -> float:
        return self._admission_interval_s(now) * (self._queue.estimate_entries_ahead(kind) + 0.5)

    def _admission_interval_s(self, now: float) -> float:
        """Return the mean time between two admissions while requests wait."""
        interval_s = self.mean_service_s / max(1, self.capacity)
        return max(interval_s, COLD_WINDOW_S / self._cold_limit) if self._is_limited(now) else interval_s

    @property
    def _cold_limit(self) -> int:
        return max(1, int(self.cold_per_s * COLD_WINDOW_S))

    def _is_limited(self, now: float) -> bool:
        return now < self.cold_until and self.cold_per_s > 0

    def _cold_wait_s(self, now: float) -> float:
        return self._admitted.wait_s(now, self._cold_limit) if self._is_limited(now) else 0.0

    def _has_capacity(self, now: float) -> bool:
        return self.running < self.capacity and not self._cold_wait_s(now)

    def _admit(self, now: float) -> None:
        self.running += 1
        self._admitted.add(now, self._cold_limit if self._is_limited(now) else None)

    def release(self, kind: RequestKind, service_s: float | None) -> None:
        """Free the slot of an admitted request; `service_s` is its service time, None if not served."""
        self.running -= 1
        if service_s is not None:
            self._service_times.add(kind, service_s)
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        now = asyncio.get_running_loop().time()
        while self.waiting and self._has_capacity(now):
            future = self._queue.pop()
            if future is None:
                break
            self._admit(now)
            future.set_result(None)
        self._schedule_cold_wakeup(now)

    def _schedule_cold_wakeup(self, now: float) -> None:
        wait_s = self._cold_wait_s(now)
        if self._cold_wakeup_timer is not None:
            self._cold_wakeup_timer.cancel()
            self._cold_wakeup_timer = None
        if self.waiting and wait_s and self.running < self.capacity:
            self._cold_wakeup_timer = asyncio.get_running_loop().call_later(wait_s, self._admit_waiting)

    def refuse_all(self, reason: NotTakenReason) -> None:
        """Refuse all waiting requests."""
        for future in self._queue.drain():
            future.set_exception(NotAdmitted(reason))
