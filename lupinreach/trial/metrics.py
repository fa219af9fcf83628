"""Served and possible value for each second of a run, from its ledger. Pure; complements `bed.judging.service`.

The possible value of a second is the billed value of the first tries that reach a running agent, as far as
the backends that the agent can reach have capacity for their work at that time. The capacity of a cold
backend grows with its age, that of a slow one is divided by its slowdown. If capacity is short, the possible
value is that share of the total, not the most valuable calls first, so a policy that chooses well gains by
it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import inf
from typing import Any

from lupinreach.bed.judging import service
from lupinreach.bed.judging.check import MESSAGE_SLACK_MS
from lupinreach.bed.world.ledger import Record
from lupinreach.bed.world.spec import World

SECOND_MS = 1000.0
INTERVAL_MS = 100.0  # the state of the fleet is taken as constant within an interval
RECOVERED_SHARE = 0.95  # of the possible value: a fleet counts as recovered once it serves this share
RECOVERED_SECONDS = 3  # for this many consecutive seconds
EPSILON = 1e-9


@dataclass
class Second:
    """One second of a run. Values in billed value x ms of work."""

    asked: float = 0.0  # value asked for by first tries
    possible: float = 0.0  # of that, as far as there was capacity
    served: float = 0.0  # value earned for first tries of this second
    able: float = 0.0  # ms of work asked of running agents, as far as there was capacity
    done: float = 0.0  # of that, work that was answered, however late
    shots: int = 0  # attempts
    wasted: int = 0  # attempts whose answer reached no client
    queries: int = 0  # lists and list changes sent by the registry


@dataclass(frozen=True)
class Recovery:
    """Metrics of the recovery from a fault, measured from the time at which the fault begins to heal."""

    first_10s: float  # served over possible value
    first_20s: float
    whole: float  # until the end of the arrivals
    done_10s: float  # answered work over work for which there was capacity, whatever the SLO
    done_20s: float
    back_after: float  # ms until 0.95 of the possible value is served for 3 s; infinite if never
    wasted: float  # share of the attempts
    queries: int  # maximum per second
    to_draining: int  # attempts to draining backends after the grace period and the registry's lag
    cold_load: float  # maximum work on a cold backend over the limit of the rule

    def to_dict(self) -> dict[str, Any]:
        """The metrics by name, rounded, with None for infinite."""
        rounded = {k: round(v, 4) if isinstance(v, float) and v < inf else v for k, v in vars(self).items()}
        return {k: None if v == inf else v for k, v in rounded.items()}


class _Backend:
    def __init__(self) -> None:
        self.zone = 0
        self.started_at = -inf
        self.capacity = self.cold_ms = self.start_share = 0.0
        self.up = False

    def capacity_at(self, now: float, slowdown: float) -> float:
        """The capacity at a time, in ms of work per ms."""
        if not self.up:
            return 0.0
        age = now - self.started_at
        warm_share = (
            1.0
            if not self.cold_ms or age >= self.cold_ms
            else self.start_share + (1 - self.start_share) * max(0.0, age) / self.cold_ms
        )
        return self.capacity * warm_share / slowdown


def seconds(world: World, records: Sequence[Record]) -> list[Second]:
    """The seconds of a run since its begin; what happens after the last arrival counts for the last one."""
    products = {p.name: p for p in world.products}
    begin = next((r[1] for r in records if r[0] == "asked"), 0) / 1000
    result = [Second() for _ in range(int((begin + world.length) // SECOND_MS) + 1)]

    def at(us: int) -> Second:
        return result[min(len(result) - 1, int(us / 1000 // SECOND_MS))]

    demand, capacity_ms = _demand_and_capacity(world, records, products, len(result))
    for interval, (value, work, zone) in demand.items():
        second = result[min(len(result) - 1, int(interval[0] * INTERVAL_MS // SECOND_MS))]
        second.asked += value
        if zone is not None:
            share = min(1.0, capacity_ms[interval] / work) if work > EPSILON else 0.0
            second.possible += value * share
            second.able += work * share
    for call in service.calls(world, records).values():
        second = result[min(len(result) - 1, int(call.at // SECOND_MS))]
        second.served += call.earned_value
        if call.latency_ms >= 0:
            second.done += call.total_value / products[call.product].value
    delivered = {r[5] for r in records if r[0] == "got" and r[3] == 200}
    for r in records:
        if r[0] == "sent":
            second = at(r[1])
            second.shots += 1
            second.wasted += r[5] not in delivered
        elif r[0] == "told":
            at(r[1]).queries += 1
    return result


IntervalKey = tuple[int, int]  # number of the interval, side of a cut (-1: the agent was down or isolated)


def _demand_and_capacity(
    world: World,
    records: Iterable[Record],
    products: dict[str, Any],
    length: int,
) -> tuple[dict[IntervalKey, tuple[float, float, int | None]], dict[IntervalKey, float]]:
    """The demand and the capacity of each interval and side of a cut.

    The demand is its value, its work, and its side, which is None if the agent was down or isolated.
    """
    asked_by_interval: dict[IntervalKey, list[float]] = defaultdict(lambda: [0.0, 0.0])
    capacity_ms: dict[IntervalKey, float] = defaultdict(float)
    backends: dict[int, _Backend] = defaultdict(_Backend)
    up: set[int] = set()
    slowdowns: dict[int, float] = defaultdict(lambda: 1.0)
    cut_zones: set[int] = set()
    unreachable: set[int] = set()
    isolated_agents: set[int] = set()  # agents that can't receive or send answers
    zones = len(world.zones)
    strengths = [t.strength for t in world.troubles]
    interval = 0

    def side_of_cut(zone: int) -> int:
        return zone + 1 if zone in cut_zones else 0

    def close(until: float) -> None:
        nonlocal interval
        while (interval + 1) * INTERVAL_MS <= until:
            now = (interval + 0.5) * INTERVAL_MS
            for n, b in backends.items():
                if n not in unreachable:
                    capacity_ms[interval, side_of_cut(b.zone)] += (
                        b.capacity_at(now, slowdowns[n]) * INTERVAL_MS
                    )
            interval += 1

    for r in records:
        kind, now = r[0], r[1] / 1000
        if now >= (interval + 1) * INTERVAL_MS:
            close(now)
        if kind == "asked" and r[4] == 0:
            agent = r[5]
            key = interval, side_of_cut(agent % zones) if agent in up - isolated_agents else -1
            value = products[r[6]].value * r[8]
            totals = asked_by_interval[key]
            totals[0] += value
            totals[1] += r[8]
        elif kind == "state":
            b = backends[r[2]]
            b.zone, b.up = r[8], r[4] != "Gone"
            if r[4] == "Ready":
                b.started_at, b.capacity, b.cold_ms, b.start_share = now, r[5], r[6], r[7]
        elif kind == "agent":
            if r[4] in ("started", "ready"):
                up.add(r[2])
            else:
                up.discard(r[2])
        elif kind == "trouble":
            begins, targets = r[4] == "begins", r[5]
            if r[3] == "slow":
                for n in targets:
                    slowdowns[n] *= strengths[r[2]] if begins else 1 / strengths[r[2]]
            elif r[3] in ("cut", "cut-reset"):
                cut_zones = cut_zones | set(targets) if begins else cut_zones - set(targets)
            elif r[3] in ("deaf-agents", "dumb-agents", "sleep-agents"):
                isolated_agents = isolated_agents | set(targets) if begins else isolated_agents - set(targets)
            elif r[3] in ("vanish", "silent"):
                unreachable = unreachable | set(targets) if begins else unreachable - set(targets)
    close(length * SECOND_MS)
    return {k: (v[0], v[1], None if k[1] < 0 else k[1]) for k, v in asked_by_interval.items()}, capacity_ms


def recovery(world: World, records: Sequence[Record], rows: Sequence[Second], since: float) -> Recovery:
    """The metrics of the recovery from `since` on, in ms of the run's clock."""
    first = int(since // SECOND_MS)
    after = rows[first:]

    def served_ratio(selected: Sequence[Second]) -> float:
        return _ratio(sum(s.served for s in selected), sum(s.possible for s in selected))

    def done_ratio(selected: Sequence[Second]) -> float:
        return _ratio(sum(s.done for s in selected), sum(s.able for s in selected))

    recovered_after = inf
    for i in range(len(after) - RECOVERED_SECONDS + 1):
        if all(
            s.possible > EPSILON and s.served >= RECOVERED_SHARE * s.possible
            for s in after[i : i + RECOVERED_SECONDS]
        ):
            recovered_after = (first + i) * SECOND_MS - since
            break
    shots = sum(s.shots for s in after)
    return Recovery(
        served_ratio(after[:10]),
        served_ratio(after[:20]),
        served_ratio(after),
        done_ratio(after[:10]),
        done_ratio(after[:20]),
        max(0.0, recovered_after),
        sum(s.wasted for s in after) / shots if shots else 0.0,
        max((s.queries for s in after), default=0),
        to_draining(world, records, since),
        cold_load(world, records),
    )


def _ratio(part: float, whole: float) -> float:
    return min(1.0, part / whole) if whole > EPSILON else 1.0


def to_draining(world: World, records: Iterable[Record], begin: float) -> int:
    """The number of attempts after `begin` (ms) to a backend whose draining all agents should know of by then.

    It counts whatever list the agent has, also an old one or none.
    """
    grace_ms = world.rules.drain_grace + world.registry.lag.most + MESSAGE_SLACK_MS
    since: dict[int, float] = {}
    result = 0
    for r in records:
        if r[0] == "state":
            if r[4] == "Terminating":
                since[r[2]] = r[1] / 1000
            else:
                since.pop(r[2], None)
        elif r[0] == "sent" and r[4] in since:
            result += r[1] / 1000 > max(begin, since[r[4]] + grace_ms)
    return result


def cold_load(world: World, records: Iterable[Record]) -> float:
    """The maximum work that arrived at a cold backend within the rule's time, over the work at which it crashes."""
    incarnations: dict[int, tuple[float, float, float, float]] = {}
    arrivals: dict[int, list[tuple[float, float]]] = defaultdict(list)
    rules, maximum = world.rules, 0.0
    for r in records:
        if r[0] == "state" and r[4] == "Ready":
            incarnations[r[2]] = r[1] / 1000, r[5], r[6], r[7]
            arrivals[r[2]] = []
        elif r[0] == "came" and r[2] in incarnations:
            now = r[1] / 1000
            booted, capacity, cold, start = incarnations[r[2]]
            if not cold or now >= booted + cold:
                continue
            recent = arrivals[r[2]] = [(t, w) for t, w in arrivals[r[2]] if t > now - rules.fall] + [
                (now, r[5])
            ]
            warm_share = start + (1 - start) * (now - booted) / cold
            maximum = max(
                maximum,
                sum(w for _, w in recent) / (rules.fall_multiple * capacity * warm_share * rules.fall),
            )
    return maximum
