"""One backend as a model: cores, a queue, cold start, choke, reports, memory. Free of I/O.

Work is in ms on a standard core. Whoever hosts it calls `advance` at the time that `due` names, and before
anything else is asked of it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import Any

from lupinreach.bed.world.spec import BackendSpec, RuleSpec

STEP = 100.0  # ms between two looks at a capacity that changes by itself
SLACK = 1.15  # x what pushes a cold backend over: chance in what comes
DONE = 1e-3  # ms of work: less left is none, and less than Unix time in ms can tell


class Way(Enum):
    """What becomes of an API call that comes."""

    TAKEN = 0
    TURNED_AWAY = 1
    FAILED = 2  # an error at once
    SWALLOWED = 3  # taken, and never answered


@dataclass(eq=False, slots=True)
class Job:
    name: str
    product: int
    work: float
    key: str | None
    mark: str | None  # by which a repeat is known
    memory: float  # ms that the mark is remembered
    token: Any  # the host's
    left: float = 0.0
    repeat: bool = False  # dropped: answered, and has no effect


@dataclass(eq=False)
class GroupMemory:
    """What a group of backends remembers together: marks of deduplicated API calls, and keys met lately."""

    until: dict[str, float] = field(default_factory=dict)  # by mark; swept as it grows
    keys: dict[str, float] = field(default_factory=dict)  # by key, when it was last met; swept as it grows
    _sweep_at: int = 1024

    def repeat(self, now: float, mark: str, memory: float) -> bool:
        """If this mark is remembered; a new one is from now on."""
        if self.until.get(mark, 0.0) > now:
            return True
        self.until[mark] = now + memory
        if len(self.until) > self._sweep_at:
            self.until = {m: t for m, t in self.until.items() if t > now}
            self._sweep_at = max(1024, 2 * len(self.until))
        return False


class Backend:
    """One process, over all its lives."""

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
        marks: GroupMemory,
    ) -> None:
        self.number = number
        self.zone = zone
        self.cores = cores
        self.speed = speed
        self.spec = spec
        self.rules = rules
        self.idle = idle
        self.marks = marks
        self.cell = number // spec.cell_size
        self.incarnation = 0
        self.up = False
        self.fallen = False
        self.booted = -inf  # long ago: warm
        self.slower = 1.0  # troubles, each set and taken back by its host
        self.stolen = 0.0  # share of the cores
        self.silent = self.fails = self.stalls = 0.0  # shares
        self.report_age = 1.0  # times older
        self._report_every = report_every
        self._report_at, self._report = -inf, ""
        self.running: dict[Job, None] = {}
        self.queue: deque[Job] = deque()
        self.swallowed = 0
        self._at = 0.0
        self._rate_now = 0.0
        self._came: deque[tuple[float, float]] = deque()  # (when, work) while cold, over the last `fall`
        self._full_since = self._idle_since = inf
        self.choked = False

    @property
    def capacity(self) -> float:
        """Ms of work a ms when warm and well."""
        return self.cores * self.speed

    @property
    def holds(self) -> int:
        return len(self.running) + len(self.queue) + self.swallowed

    def warm_fraction(self, now: float) -> float:
        """The part of its capacity that its age allows."""
        age = now - self.booted
        if age >= self.rules.cold:
            return 1.0
        return self.rules.start_capacity + (1 - self.rules.start_capacity) * max(0.0, age) / self.rules.cold

    def _rate(self, now: float) -> float:
        """Ms of work a ms on one core."""
        choke = self.spec.choke_slower if self.choked else 1.0
        return self.speed * self.warm_fraction(now) * (1 - self.stolen) / (self.slower * choke)

    # What a policy that sees the true state asks.

    def takes(self, now: float, work: float) -> float:
        """Ms until so much work would be done that comes now, what it holds first; infinite if it never is."""
        rate = self._rate(now) * self.cores
        held = sum(j.left for j in self.running) + sum(j.left or j.work for j in self.queue)
        return (held / self.cores + work) / rate * self.cores if self.up and rate > 0 else inf

    def spare(self, now: float) -> float:
        """Ms of work that may come now before it is pushed over; infinite if warm."""
        age = now - self.booted
        if age >= self.rules.cold:
            return inf
        lately = sum(w for at, w in self._came if at > now - self.rules.fall)
        return self._allowed(now) - lately

    def _allowed(self, now: float) -> float:
        return self.rules.fall_multiple * self.capacity * self.warm_fraction(now) * self.rules.fall

    # From life to life.

    def boot(self, now: float, cold: bool) -> None:
        self.incarnation += 1
        self.up, self.fallen, self.choked = True, False, False
        self.booted = now if cold else -inf
        self._at, self._came = now, deque()
        self._full_since = self._idle_since = inf
        self._report_at, self._report = -inf, ""

    def die(self, now: float) -> list[Job]:
        """The process ends; what it held is gone."""
        lost = [*self.running, *self.queue]
        self.running.clear()
        self.queue.clear()
        self.swallowed = 0
        self.up = False
        return lost

    # Work.

    def come(self, now: float, job: Job, luck: float) -> Way:
        """An API call is there with its last byte. `luck` in [0, 1) decides on troubles with a share."""
        self._push(now, job.work)
        if not self.up:
            return Way.SWALLOWED
        if luck < self.fails:
            return Way.FAILED
        if luck < self.silent:
            self.swallowed += 1
            return Way.SWALLOWED
        if len(self.running) + len(self.queue) >= (1 + self.spec.queue) * self.cores:
            return Way.TURNED_AWAY
        if job.mark is not None and self.marks.repeat(now, job.mark, job.memory):
            job.repeat = True
        job.left = self.spec.quick if job.repeat else job.work
        if job.key is not None and self.spec.warm_saves:
            if now - self.marks.keys.get(job.key, -inf) < self.spec.warm_for:
                job.left *= 1 - self.spec.warm_saves
            self.marks.keys[job.key] = now
        self._take(job)
        return Way.TAKEN

    def charge(self, now: float, work: float) -> None:
        """Work of its own, such as that of a new connection."""
        if self.up and work:
            self._take(Job("", -1, work, None, None, 0.0, None, work))

    def _take(self, job: Job) -> None:
        if len(self.running) < self.cores:
            self.running[job] = None
        else:
            self.queue.append(job)

    def call_off(self, job: Job) -> None:
        """Nobody waits for it any more: waiting work is dropped, running work goes on unless it can stop."""
        if job in self.queue:
            self.queue.remove(job)
        elif job in self.running and self.spec.cancel_stops:
            del self.running[job]
            self._next()

    def _next(self) -> None:
        while self.queue and len(self.running) < self.cores:
            self.running[self.queue.popleft()] = None

    def advance(self, now: float) -> list[Job]:
        """Work on until now; what got done, in the order in which it did."""
        done: list[Job] = []
        while self._at < now:
            rate = self._rate(self._at)
            until = min(now, self._at + STEP)
            first = min((j.left for j in self.running), default=inf)
            if rate > 0 and first < inf:
                until = min(until, max(self._at, self._at + first / rate))
            worked = rate * (until - self._at)
            if until == self._at and first > DONE:
                worked = first  # so little left that time can't tell it
            self._at = until
            finished = []
            for job in self.running:
                job.left -= worked
                if job.left <= DONE:
                    finished.append(job)
            for job in finished:
                del self.running[job]
            if finished:
                self._next()
                done += finished
            self._choke(self._at)
            if not self.running and not self._changes(self._at):
                self._at = now
        return done

    def _changes(self, now: float) -> bool:
        return self.choked or self._full_since < inf

    def _choke(self, now: float) -> None:
        """Too many waiting for a while makes it slower until it has been idle for a while."""
        spec = self.spec
        if spec.choke_slower <= 1:
            return
        if self.choked:
            self._idle_since = min(self._idle_since, now) if 2 * len(self.running) <= self.cores else inf
            if now - self._idle_since >= spec.choke_idle:
                self.choked, self._idle_since = False, inf
        else:
            self._full_since = (
                min(self._full_since, now) if len(self.queue) > spec.choke_at * self.cores else inf
            )
            if now - self._full_since >= spec.choke_after:
                self.choked, self._full_since = True, inf

    def due(self, now: float) -> float:
        """When `advance` should be called next at the latest."""
        if not self.running:
            return now + STEP if self._changes(now) else inf
        rate = self._rate(now)
        if rate <= 0:
            return now + STEP
        ahead = min(j.left for j in self.running) / rate
        if self.warm_fraction(now) < 1 or self._changes(now):
            ahead = min(ahead, STEP)
        return now + ahead

    # Cold start.

    def _push(self, now: float, work: float) -> None:
        if not self.up or now - self.booted >= self.rules.cold:
            return
        self._came.append((now, work))
        while self._came and self._came[0][0] <= now - self.rules.fall:
            self._came.popleft()
        if sum(w for _, w in self._came) > SLACK * self._allowed(now):
            self.fallen = True

    # Reports.

    def report(self, now: float) -> str:
        """A load report of some age."""
        if now - self._report_at >= self._report_every * self.report_age:
            self._report_at = now
            self._report = (
                f"inflight={self.holds},queue={len(self.queue)},util={len(self.running) / self.cores:.2f}"
            )
        return self._report
