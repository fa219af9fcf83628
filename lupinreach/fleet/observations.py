"""Evidence on backends, passed on among agents: what each has met itself, never what it concluded from others. Pure.

A row is one agent's figure of one backend process: its smoothed latency as a share of the first latency SLO, and how long ago the
last sample was. Rows are merged by agent and age, so that one which comes twice, late or out of order changes nothing. What
is concluded is a factor on what a turn at the backend costs, and no more:

    factor(b) = 1 + follow x fade x (min(MOST, median / own) - 1)

The median is the lower one, of the agents of the same zone that met the backend lately, `QUORUM` at least; `follow` is drawn by
agent and backend between a half and one, so that agents don't move in step; `fade` falls to nothing as the rows age. Own
samples as fresh as the rows overrule. At most `SHARE` of the ready backends have a factor, the slowest first. So, whoever lies and
however many, the part of an agent's turns that hearsay moves away is

    harm() = SHARE x (1 - 1 / MOST)

"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from zlib import crc32

QUORUM = 3  # agents that must have met a backend for their word to count
MAX_AFFECTED_SHARE = 0.25  # of the ready backends that hearsay may make dearer
MAX_COST_FACTOR = 4.0  # x: the most that a turn becomes dearer by it
SLOW_FACTOR = 2.0  # x the median of the agent's own figures: from there on a figure is news
MAX_REPORTERS = 6  # rows kept for a backend: the newest
MAX_BACKENDS = 512  # with rows
MAX_AGE_SLOS = 6.0  # x the longest latency SLO: age from which on a row counts for nothing
MAX_RELATIVE_LATENCY = 4.0  # x SLO: a figure above is absurd, since a miss counts for two
LATENCY_STEPS_PER_SLO = 64  # steps of a figure in one SLO


def max_diverted_share() -> float:
    """The largest part of an agent's turns that hearsay can move, whatever is said."""
    return MAX_AFFECTED_SHARE * (1 - 1 / MAX_COST_FACTOR)


@dataclass(frozen=True)
class Observation:
    """What one agent has met of one backend process itself."""

    reporter: int
    zone: int
    backend: int  # its name, alike at all agents
    boot: int  # 16 bits of its boot time
    relative_latency: float  # smoothed latency as a share of the SLO
    age: float  # ms since its last sample


@dataclass
class _Row:
    met: Observation
    at: float  # ms, by this agent's clock: its last sample
    times_sent: int = 0  # times since it came


def boot_hash(boot_time: float) -> int:
    """Tells processes of one backend apart."""
    return crc32(b"%d" % int(boot_time)) & 0xFFFF


class Observations:
    """One agent's rows. Bounded by `MOST_BACKENDS` and `TELLERS`; a row leaves when it has aged or its backend goes."""

    def __init__(self, me: int, zone: int, slo: float, draw: Callable[[], float]) -> None:
        """`slo` is the longest latency SLO, ms; `chance` draws from 0 to 1."""
        self.me = me
        self.zone = zone
        self.max_age = MAX_AGE_SLOS * slo
        self._draw = draw
        self._rows: dict[tuple[int, int], dict[int, _Row]] = {}
        self._announced: set[tuple[int, int]] = set()  # own news that isn't taken back yet
        self.rejected = 0  # absurd rows

    # What comes in.

    def record_own(self, now: float, observations: Iterable[Observation]) -> None:
        """What this agent has met, once a look; only what is news goes on to others."""
        observations = list(observations)
        latencies = sorted(m.relative_latency for m in observations)
        median = latencies[len(latencies) // 2] if latencies else 0.0
        slow_count = sum(m.relative_latency >= SLOW_FACTOR * median for m in observations) if median else 0
        # Guards against an agent that finds most backends bad, whose trouble is its own: it says nothing new.
        suspects_itself = sum(f >= 1.0 for f in latencies) > len(latencies) / 2
        for m in observations:
            key = m.backend, m.boot
            slow = (
                m.relative_latency >= max(SLOW_FACTOR * median, 0.5)
                and not suspects_itself
                and slow_count <= len(observations) / 2
            )
            if slow or key in self._announced:
                # Once it was said to be bad, that it isn't any more is said for as long as others may believe it.
                self._merge(now, m)
                self._announced.add(key)
        self._announced &= self._rows.keys()

    def receive(self, now: float, observations: Iterable[Observation]) -> None:
        for m in observations:
            if not 0 <= m.relative_latency <= MAX_RELATIVE_LATENCY or m.age < 0:
                self.rejected += 1
            elif m.reporter != self.me:
                self._merge(now, m)

    def _merge(self, now: float, m: Observation) -> None:
        at = now - m.age
        if now - at >= self.max_age:
            return
        key = m.backend, m.boot
        if key not in self._rows and len(self._rows) >= MAX_BACKENDS:
            return
        rows = self._rows.setdefault(key, {})
        old = rows.get(m.reporter)
        if old is None or at > old.at:
            rows[m.reporter] = _Row(m, at)
            if len(rows) > MAX_REPORTERS:
                del rows[min((t for t in rows if t != self.me), key=lambda t: rows[t].at)]

    def expire(self, now: float, listed: Iterable[tuple[int, int]] | None = None) -> None:
        """Drop what has aged, and what is said of backends that are not `there`."""
        current = None if listed is None else set(listed)
        for key, rows in list(self._rows.items()):
            for reporter in [t for t, row in rows.items() if now - row.at >= self.max_age]:
                del rows[reporter]
            if not rows or (current is not None and key not in current):
                del self._rows[key]

    # What goes out.

    def digest(self, now: float, limit: int) -> tuple[Observation, ...]:
        """So many rows for one datagram: this agent's own first, then those told least often."""
        rows = [row for each in self._rows.values() for row in each.values() if now - row.at < self.max_age]
        rows.sort(key=lambda row: (row.times_sent, row.met.reporter != self.me, self._draw()))
        for row in rows[:limit]:
            row.times_sent += 1
        return tuple(
            Observation(
                r.met.reporter, r.met.zone, r.met.backend, r.met.boot, r.met.relative_latency, now - r.at
            )
            for r in rows[:limit]
        )

    # What follows.

    def estimates(
        self, now: float, own: Mapping[tuple[int, int], tuple[float, float]]
    ) -> dict[tuple[int, int], tuple[float, float]]:
        """By backend and boot: the figure that others have met, and 0 to 1 for how fresh that is.

        `own` is this agent's figure and when its last sample was (ms), for each ready backend that it knows; what it has
        met later than the others is not told it.
        """
        found = {}
        for key, (_, met_at) in own.items():
            rows = [r for t, r in self._rows.get(key, {}).items() if t != self.me and r.met.zone == self.zone]
            if len(rows) < QUORUM or sum(r.at > met_at for r in rows) < QUORUM:
                continue
            rows = [r for r in rows if r.at > met_at]
            median = sorted(rows, key=lambda r: r.met.relative_latency)[(len(rows) - 1) // 2]
            newest = sorted((r.at for r in rows), reverse=True)[QUORUM - 1]
            found[key] = median.met.relative_latency, max(0.0, 1 - (now - newest) / self.max_age)
        return found

    def cost_factors(
        self, now: float, own: Mapping[tuple[int, int], tuple[float, float]]
    ) -> dict[tuple[int, int], float]:
        """By backend and boot: what a turn there costs more, `MOST` times at most, for `SHARE` of those in `own` at most."""
        slower = []
        for key, (figure, fade) in self.estimates(now, own).items():
            own_latency = own[key][0]
            excess = min(MAX_COST_FACTOR, figure / own_latency) - 1 if own_latency > 0 else 0.0
            if excess * fade > 0:
                follow = 0.5 + 0.5 * (crc32(b"%d:%d:%d" % (self.me, *key)) * 2654435761 % 2**32 / 2**32)
                slower.append((excess * fade, key, 1 + follow * fade * excess))
        slower.sort(reverse=True)
        return {key: factor for _, key, factor in slower[: int(MAX_AFFECTED_SHARE * len(own))]}

    def __len__(self) -> int:
        return sum(map(len, self._rows.values()))
