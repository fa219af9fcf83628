"""A model of one backend: cores, queue, cold start, overload (choke), load reports and deduplication. Free of I/O.

Work is in ms on a standard core. The host calls `advance` at the time that `due` returns, and before every other
call.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Any

from lupinreach.bed.world.spec import BackendSpec, RuleSpec

RECOMPUTE_STEP_MS = 100.0  # between updates of a capacity that changes over time
COLD_LOAD_TOLERANCE = (
    1.15  # factor on the load limit of a cold backend, allowing for random variation of arrivals
)
WORK_EPSILON_MS = 1e-3  # less remaining work counts as done; it is below the resolution of Unix time in ms


class Outcome(Enum):
    """What a backend does with a request that arrives."""

    ACCEPTED = 0
    REJECTED = 1
    FAILED = 2  # answered with an error at once
    UNANSWERED = 3  # accepted, and never answered


@dataclass(eq=False, slots=True)
class Job:
    """A request in a backend, or work of its own."""

    name: str
    product: int
    work: float
    key: str | None  # cache key of the path
    dedup_key: str | None  # identifies duplicates
    memory: float  # ms for which the dedup key is remembered
    owner: Any  # opaque to the model: the host's connection
    remaining: float = 0.0
    duplicate: bool = False  # answered, but has no effect


@dataclass(eq=False)
class GroupMemory:
    """State that a group of backends shares: dedup keys of requests, and recently used cache keys."""

    expires_at: dict[str, float] = field(
        default_factory=dict
    )  # by dedup key; expired ones are swept as it grows
    last_used: dict[str, float] = field(default_factory=dict)  # by cache key; entries stay
    _sweep_at: int = 1024

    def check_duplicate(self, now: float, dedup_key: str, memory: float) -> bool:
        """Whether this dedup key is known; if not, remembers it for `memory` ms."""
        if self.expires_at.get(dedup_key, 0.0) > now:
            return True
        self.expires_at[dedup_key] = now + memory
        if len(self.expires_at) > self._sweep_at:
            self.expires_at = {m: t for m, t in self.expires_at.items() if t > now}
            self._sweep_at = max(1024, 2 * len(self.expires_at))
        return False


class Backend:
    """The model of one backend, across restarts."""

    def __init__(
        self,
        number: int,
        zone: int,
        cores: int,
        speed: float,
        spec: BackendSpec,
        rules: RuleSpec,
        idle: float,
        report_every: float,
        group_memory: GroupMemory,
    ) -> None:
        self.number = number
        self.zone = zone
        self.cores = cores
        self.speed = speed
        self.spec = spec
        self.rules = rules
        self.idle = idle
        self.group_memory = group_memory
        self.cell = number // spec.cell_size
        self.incarnation = 0
        self.up = False
        self.crashed = False
        self.booted_at = -inf  # warm
        # Injected faults, set and cleared by the host.
        self.slower = 1.0  # slowdown factor
        self.stolen = 0.0  # share of the cores that another program takes
        self.silent = self.fails = self.stalls = (
            0.0  # shares of requests that are unanswered, failed, stalled
        )
        self.report_age = 1.0  # factor on the age of load reports
        self._report_every = report_every
        self._report_at, self._report = -inf, ""
        self.running: dict[Job, None] = {}
        self.queue: deque[Job] = deque()
        self.unanswered = 0
        self._at = 0.0
        self._rate_now = 0.0
        self._cold_arrivals: deque[tuple[float, float]] = (
            deque()
        )  # (time, work) while cold, over the last `fall` ms
        self._overfull_since = self._idle_since = inf
        self.choked = False

    @property
    def capacity(self) -> float:
        """Ms of work per ms when warm and free of faults."""
        return self.cores * self.speed

    @property
    def request_count(self) -> int:
        """Number of requests that it holds: running, queued, or accepted and never answered."""
        return len(self.running) + len(self.queue) + self.unanswered

    def warm_fraction(self, now: float) -> float:
        """The share of its warm capacity that is available this long after its start."""
        age = now - self.booted_at
        if age >= self.rules.cold:
            return 1.0
        return self.rules.start_capacity + (1 - self.rules.start_capacity) * max(0.0, age) / self.rules.cold

    def _rate(self, now: float) -> float:
        """Present ms of work per ms on one core."""
        choke = self.spec.choke_slower if self.choked else 1.0
        return self.speed * self.warm_fraction(now) * (1 - self.stolen) / (self.slower * choke)

    # For the policy that sees the true state.

    def time_to_finish(self, now: float, work: float) -> float:
        """Ms until work that arrives now would be done, after all present work; infinite if it never would be."""
        rate = self._rate(now) * self.cores
        queued_work = sum(j.remaining for j in self.running) + sum(j.remaining or j.work for j in self.queue)
        return (queued_work / self.cores + work) / rate * self.cores if self.up and rate > 0 else inf

    def cold_headroom(self, now: float) -> float:
        """Ms of work that may arrive now without overloading a cold backend; infinite if warm."""
        age = now - self.booted_at
        if age >= self.rules.cold:
            return inf
        recent = sum(w for at, w in self._cold_arrivals if at > now - self.rules.fall)
        return self._cold_limit(now) - recent

    def _cold_limit(self, now: float) -> float:
        return self.rules.fall_multiple * self.capacity * self.warm_fraction(now) * self.rules.fall

    # Starting and stopping.

    def boot(self, now: float, cold: bool) -> None:
        """Starts a new process, cold or already warm."""
        self.incarnation += 1
        self.up, self.crashed, self.choked = True, False, False
        self.booted_at = now if cold else -inf
        self._at, self._cold_arrivals = now, deque()
        self._overfull_since = self._idle_since = inf
        self._report_at, self._report = -inf, ""

    def die(self, now: float) -> list[Job]:
        """Ends the process; returns the jobs that it had not finished."""
        unfinished = [*self.running, *self.queue]
        self.running.clear()
        self.queue.clear()
        self.unanswered = 0
        self.up = False
        return unfinished

    # Work.

    def receive(self, now: float, job: Job, draw: float) -> Outcome:
        """Handles a request whose last byte has arrived. `draw` in [0, 1) decides on faults that strike a share."""
        self._record_cold_load(now, job.work)
        if not self.up:
            return Outcome.UNANSWERED
        if draw < self.fails:
            return Outcome.FAILED
        if draw < self.silent:
            self.unanswered += 1
            return Outcome.UNANSWERED
        if len(self.running) + len(self.queue) >= (1 + self.spec.queue) * self.cores:
            return Outcome.REJECTED
        if job.dedup_key is not None and self.group_memory.check_duplicate(now, job.dedup_key, job.memory):
            job.duplicate = True
        job.remaining = self.spec.quick if job.duplicate else job.work
        if job.key is not None and self.spec.warm_saves:
            if now - self.group_memory.last_used.get(job.key, -inf) < self.spec.warm_for:
                job.remaining *= 1 - self.spec.warm_saves
            self.group_memory.last_used[job.key] = now
        self._enqueue(job)
        return Outcome.ACCEPTED

    def charge(self, now: float, work: float) -> None:
        """Adds work of its own, such as the handling of a new connection."""
        if self.up and work:
            self._enqueue(Job("", -1, work, None, None, 0.0, None, work))

    def _enqueue(self, job: Job) -> None:
        if len(self.running) < self.cores:
            self.running[job] = None
        else:
            self.queue.append(job)

    def cancel(self, job: Job) -> None:
        """Cancels a job: a queued one is dropped, a running one goes on unless `cancel_stops` is set."""
        if job in self.queue:
            self.queue.remove(job)
        elif job in self.running and self.spec.cancel_stops:
            del self.running[job]
            self._start_queued()

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self.cores:
            self.running[self.queue.popleft()] = None

    def advance(self, now: float) -> list[Job]:
        """Simulates the work up to `now`; returns the finished jobs in the order in which they finished."""
        done: list[Job] = []
        while self._at < now:
            rate = self._rate(self._at)
            until = min(now, self._at + RECOMPUTE_STEP_MS)
            shortest = min((j.remaining for j in self.running), default=inf)
            if rate > 0 and shortest < inf:
                until = min(until, max(self._at, self._at + shortest / rate))
            work_done = rate * (until - self._at)
            if until == self._at and shortest > WORK_EPSILON_MS:
                work_done = shortest  # the remaining time is below the resolution of the clock
            self._at = until
            finished = []
            for job in self.running:
                job.remaining -= work_done
                if job.remaining <= WORK_EPSILON_MS:
                    finished.append(job)
            for job in finished:
                del self.running[job]
            if finished:
                self._start_queued()
                done += finished
            self._choke(self._at)
            if not self.running and not self._choke_pending(self._at):
                self._at = now
        return done

    def _choke_pending(self, now: float) -> bool:
        """Whether the choke state may change as time passes."""
        return self.choked or self._overfull_since < inf

    def _choke(self, now: float) -> None:
        """Updates the choke state: a queue that stays long slows it down until it has been nearly idle for a while."""
        spec = self.spec
        if spec.choke_slower <= 1:
            return
        if self.choked:
            self._idle_since = min(self._idle_since, now) if 2 * len(self.running) <= self.cores else inf
            if now - self._idle_since >= spec.choke_idle:
                self.choked, self._idle_since = False, inf
        else:
            self._overfull_since = (
                min(self._overfull_since, now) if len(self.queue) > spec.choke_at * self.cores else inf
            )
            if now - self._overfull_since >= spec.choke_after:
                self.choked, self._overfull_since = True, inf

    def due(self, now: float) -> float:
        """The latest time at which `advance` must be called next."""
        if not self.running:
            return now + RECOMPUTE_STEP_MS if self._choke_pending(now) else inf
        rate = self._rate(now)
        if rate <= 0:
            return now + RECOMPUTE_STEP_MS
        ahead = min(j.remaining for j in self.running) / rate
        if self.warm_fraction(now) < 1 or self._choke_pending(now):
            ahead = min(ahead, RECOMPUTE_STEP_MS)
        return now + ahead

    # Cold start.

    def _record_cold_load(self, now: float, work: float) -> None:
        if not self.up or now - self.booted_at >= self.rules.cold:
            return
        self._cold_arrivals.append((now, work))
        while self._cold_arrivals and self._cold_arrivals[0][0] <= now - self.rules.fall:
            self._cold_arrivals.popleft()
        if sum(w for _, w in self._cold_arrivals) > COLD_LOAD_TOLERANCE * self._cold_limit(now):
            self.crashed = True

    # Reports.

    def report(self, now: float) -> str:
        """The latest load report, which may be old."""
        if now - self._report_at >= self._report_every * self.report_age:
            self._report_at = now
            self._report = f"inflight={self.request_count},queue={len(self.queue)},util={len(self.running) / self.cores:.2f}"
        return self._report
