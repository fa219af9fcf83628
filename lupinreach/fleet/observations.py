"""Latency observations of backends, passed on among agents. Pure.

They hold what each agent has measured itself, never what it concluded from others.

A row is one agent's latency estimate of one backend process: its smoothed latency as a share of the first
latency SLO, and the age of its last sample. Rows are merged by agent and age, so duplicated, delayed or
reordered rows change nothing. The only conclusion is a cost factor on a scheduling turn at the backend:

    factor(b) = 1 + follow x fade x (min(MAX_COST_FACTOR, median / own) - 1)

The median is the lower one, over the agents of the same zone that observed the backend recently, at least
`QUORUM`. `follow` is drawn by agent and backend between a half and one, so that agents don't move in step.
`fade` falls to zero as the rows age. Own samples as fresh as the rows take precedence. At most
`MAX_AFFECTED_SHARE` of the ready backends have a factor, the slowest first. So whoever lies, and however
many, the share of an agent's turns that reports of others can divert is at most

    max_diverted_share() = MAX_AFFECTED_SHARE x (1 - 1 / MAX_COST_FACTOR)
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from zlib import crc32

QUORUM = 3  # agents that must have observed a backend for their reports to count
MAX_AFFECTED_SHARE = 0.25  # of the ready backends that reports of others may give a cost factor
MAX_COST_FACTOR = 4.0  # largest cost factor
SLOW_FACTOR = 2.0  # x the median of the agent's own estimates: a latency above is reported
MAX_REPORTERS = 6  # rows kept for a backend, the newest ones
MAX_BACKENDS = 512  # backends with rows
MAX_AGE_SLOS = 6.0  # x the longest latency SLO: age from which a row is ignored
MAX_RELATIVE_LATENCY = 4.0  # x SLO: a higher value is invalid, since a miss counts as two
LATENCY_STEPS_PER_SLO = 64  # resolution of a transmitted latency


def max_diverted_share() -> float:
    """The largest share of an agent's turns that reports of others can divert, whatever they claim."""
    return MAX_AFFECTED_SHARE * (1 - 1 / MAX_COST_FACTOR)


@dataclass(frozen=True)
class Observation:
    """What one agent has measured of one backend process itself."""

    reporter: int
    zone: int
    backend: int  # its name, the same at all agents
    boot: int  # 16-bit hash of its boot time
    relative_latency: float  # smoothed latency as a share of the SLO
    age: float  # ms since its last sample


@dataclass
class _Row:
    observation: Observation
    at: float  # ms, by this agent's clock: time of its last sample
    times_sent: int = 0  # since the row was received


def boot_hash(boot_time: float) -> int:
    """A 16-bit hash that distinguishes the processes of one backend."""
    return crc32(b"%d" % int(boot_time)) & 0xFFFF


class Observations:
    """One agent's table of rows.

    Bounded by `MAX_BACKENDS` and `MAX_REPORTERS`; a row is removed when it is too old or its backend is
    removed.
    """

    def __init__(self, me: int, zone: int, slo: float, draw: Callable[[], float]) -> None:
        """`slo` is the longest latency SLO, ms; `draw` returns random numbers from 0 to 1."""
        self.me = me
        self.zone = zone
        self.max_age = MAX_AGE_SLOS * slo
        self._draw = draw
        self._rows: dict[tuple[int, int], dict[int, _Row]] = {}
        # Own reports of slow backends that are not withdrawn yet.
        self._announced: set[tuple[int, int]] = set()
        self.rejected = 0  # invalid rows

    # Input.

    def record_own(self, now: float, observations: Iterable[Observation]) -> None:
        """Takes this agent's own estimates, once per interval.

        Only reports of slow backends are passed on.
        """
        observations = list(observations)
        latencies = sorted(m.relative_latency for m in observations)
        median = latencies[len(latencies) // 2] if latencies else 0.0
        slow_count = sum(m.relative_latency >= SLOW_FACTOR * median for m in observations) if median else 0
        # An agent that finds most backends slow probably has a problem of its own and reports nothing new.
        suspects_itself = sum(f >= 1.0 for f in latencies) > len(latencies) / 2
        for m in observations:
            key = m.backend, m.boot
            slow = (
                m.relative_latency >= max(SLOW_FACTOR * median, 0.5)
                and not suspects_itself
                and slow_count <= len(observations) / 2
            )
            if slow or key in self._announced:
                # After a backend was reported as slow, its recovery is reported for as long as others may
                # hold the old row.
                self._merge(now, m)
                self._announced.add(key)
        self._announced &= self._rows.keys()

    def receive(self, now: float, observations: Iterable[Observation]) -> None:
        """Merges rows from another agent; invalid ones are counted in `rejected`."""
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
        """Removes rows that are too old, and rows of backends that are not `listed`."""
        current = None if listed is None else set(listed)
        for key, rows in list(self._rows.items()):
            for reporter in [t for t, row in rows.items() if now - row.at >= self.max_age]:
                del rows[reporter]
            if not rows or (current is not None and key not in current):
                del self._rows[key]

    # Output.

    def digest(self, now: float, limit: int) -> tuple[Observation, ...]:
        """At most `limit` rows for one datagram: those sent least often first, and own ones first among equals."""
        rows = [row for each in self._rows.values() for row in each.values() if now - row.at < self.max_age]
        rows.sort(key=lambda row: (row.times_sent, row.observation.reporter != self.me, self._draw()))
        for row in rows[:limit]:
            row.times_sent += 1
        return tuple(
            Observation(
                r.observation.reporter,
                r.observation.zone,
                r.observation.backend,
                r.observation.boot,
                r.observation.relative_latency,
                now - r.at,
            )
            for r in rows[:limit]
        )

    # Conclusions.

    def estimates(
        self, now: float, own: Mapping[tuple[int, int], tuple[float, float]]
    ) -> dict[tuple[int, int], tuple[float, float]]:
        """By backend and boot: the relative latency that others observed, and its freshness from 0 to 1.

        `own` holds this agent's relative latency and the time of its last sample (ms) for each ready backend
        that it knows. Rows older than its own last sample are ignored.
        """
        found = {}
        for key, (_, met_at) in own.items():
            rows = [
                r
                for t, r in self._rows.get(key, {}).items()
                if t != self.me and r.observation.zone == self.zone
            ]
            if len(rows) < QUORUM or sum(r.at > met_at for r in rows) < QUORUM:
                continue
            rows = [r for r in rows if r.at > met_at]
            median = sorted(rows, key=lambda r: r.observation.relative_latency)[(len(rows) - 1) // 2]
            newest = sorted((r.at for r in rows), reverse=True)[QUORUM - 1]
            found[key] = median.observation.relative_latency, max(0.0, 1 - (now - newest) / self.max_age)
        return found

    def cost_factors(
        self, now: float, own: Mapping[tuple[int, int], tuple[float, float]]
    ) -> dict[tuple[int, int], float]:
        """Cost factors by backend and boot, for at most `MAX_AFFECTED_SHARE` of those in `own`."""
        slower = []
        for key, (latency, fade) in self.estimates(now, own).items():
            own_latency = own[key][0]
            excess = min(MAX_COST_FACTOR, latency / own_latency) - 1 if own_latency > 0 else 0.0
            if excess * fade > 0:
                follow = 0.5 + 0.5 * (crc32(b"%d:%d:%d" % (self.me, *key)) * 2654435761 % 2**32 / 2**32)
                slower.append((excess * fade, key, 1 + follow * fade * excess))
        slower.sort(reverse=True)
        return {key: factor for _, key, factor in slower[: int(MAX_AFFECTED_SHARE * len(own))]}

    def __len__(self) -> int:
        return sum(map(len, self._rows.values()))
