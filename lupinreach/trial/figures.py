"""Served over possible, second by second, from a run's ledger. Pure; an addition to `bed.judging.service`.

The possible of a second is the billed value that first tries ask of agents that are up, as far as the backends that
they can reach have capacity for its work at that moment: a cold backend's by its age, a slow one's by how slow it is. It
is a share of all that is asked, not the dearest first: what a policy gains by choosing counts for it.
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

SECOND = 1000.0  # ms
GRAIN = 100.0  # ms in which what stands is taken to stand still
NEARLY = 0.95  # of the possible: from then on a fleet counts as back, where it
STAYS = 3  # s in a row is at that
FEW = 1e-9


@dataclass
class Second:
    """One second of a run. Values in billed value x ms of work."""

    asked: float = 0.0  # by first tries
    possible: float = 0.0
    served: float = 0.0  # earned by what first tries of this second asked
    able: float = 0.0  # ms of work that is asked of agents that are up, as far as there is capacity for it,
    done: float = 0.0  # and of that fulfilled, however late
    shots: int = 0
    wasted: int = 0  # shots that no client got an answer of
    queries: int = 0  # lists and changes that the registry told


@dataclass(frozen=True)
class Recovery:
    """What came of a fault that begins to heal at some time."""

    first_10s: float  # served over possible
    first_20s: float
    whole: float  # from then on to the end of the arrivals
    done_10s: float  # work fulfilled over work for which there was capacity, whatever the SLO
    done_20s: float
    back_after: float  # ms until it is at 0.95 of the possible for 3 s; infinite: never
    wasted: float  # share of the shots since then
    queries: int  # most in one second since then
    to_draining: (
        int  # shots to a backend that drains, past the grace and the registry's lag, whatever a list said
    )
    cold_load: float  # greatest work on a cold backend over what the rule allows; 1 is the rule's edge

    def plain(self) -> dict[str, Any]:
        rounded = {k: round(v, 4) if isinstance(v, float) and v < inf else v for k, v in vars(self).items()}
        return {k: None if v == inf else v for k, v in rounded.items()}


class _Backend:
    def __init__(self) -> None:
        self.zone = 0
        self.booted = -inf
        self.capacity = self.cold = self.start = 0.0
        self.up = False

    def able(self, now: float, slower: float) -> float:
        """Ms of work a ms at that time."""
        if not self.up:
            return 0.0
        age = now - self.booted
        part = (
            1.0
            if not self.cold or age >= self.cold
            else self.start + (1 - self.start) * max(0.0, age) / self.cold
        )
        return self.capacity * part / slower


def seconds(world: World, records: Sequence[Record]) -> list[Second]:
    """The run by seconds since it began, those after the last arrival left out."""
    products = {p.name: p for p in world.products}
    begin = next((r[1] for r in records if r[0] == "asked"), 0) / 1000
    found = [Second() for _ in range(int((begin + world.length) // SECOND) + 1)]

    def at(us: int) -> Second:
        return found[min(len(found) - 1, int(us / 1000 // SECOND))]

    worth, able = _grains(world, records, products, len(found))
    for grain, (value, work, zone) in worth.items():
        second = found[min(len(found) - 1, int(grain[0] * GRAIN // SECOND))]
        second.asked += value
        if zone is not None:
            share = min(1.0, able[grain] / work) if work > FEW else 0.0
            second.possible += value * share
            second.able += work * share
    for one in service.calls(world, records).values():
        second = found[min(len(found) - 1, int(one.at // SECOND))]
        second.served += one.earned_value
        if one.latency_ms >= 0:
            second.done += one.total_value / products[one.product].value
    carried = {r[5] for r in records if r[0] == "got" and r[3] == 200}
    for r in records:
        if r[0] == "sent":
            second = at(r[1])
            second.shots += 1
            second.wasted += r[5] not in carried
        elif r[0] == "told":
            at(r[1]).queries += 1
    return found


Grain = tuple[int, int]  # number of the grain, side of a cut


def _grains(
    world: World,
    records: Iterable[Record],
    products: dict[str, Any],
    length: int,
) -> tuple[dict[Grain, tuple[float, float, int | None]], dict[Grain, float]]:
    """By grain and side: what is asked (value, work, and if any agent that is up was asked), and the capacity."""
    asked: dict[Grain, list[float]] = defaultdict(lambda: [0.0, 0.0])
    able: dict[Grain, float] = defaultdict(float)
    backends: dict[int, _Backend] = defaultdict(_Backend)
    up: set[int] = set()
    slower: dict[int, float] = defaultdict(lambda: 1.0)
    cut: set[int] = set()
    away: set[int] = set()
    unheard: set[int] = set()  # agents that no answer gets to, or from
    zones = len(world.zones)
    strengths = [t.strength for t in world.troubles]
    grain = 0

    def side(zone: int) -> int:
        return zone + 1 if zone in cut else 0

    def close(until: float) -> None:
        nonlocal grain
        while (grain + 1) * GRAIN <= until:
            now = (grain + 0.5) * GRAIN
            for n, b in backends.items():
                if n not in away:
                    able[grain, side(b.zone)] += b.able(now, slower[n]) * GRAIN
            grain += 1

    for r in records:
        kind, now = r[0], r[1] / 1000
        if now >= (grain + 1) * GRAIN:
            close(now)
        if kind == "asked" and r[4] == 0:
            agent = r[5]
            key = grain, side(agent % zones) if agent in up - unheard else -1
            value = products[r[6]].value * r[8]
            row = asked[key]
            row[0] += value
            row[1] += r[8]
        elif kind == "state":
            b = backends[r[2]]
            b.zone, b.up = r[8], r[4] != "Gone"
            if r[4] == "Ready":
                b.booted, b.capacity, b.cold, b.start = now, r[5], r[6], r[7]
        elif kind == "agent":
            if r[4] in ("started", "ready"):
                up.add(r[2])
            else:
                up.discard(r[2])
        elif kind == "trouble":
            on, struck = r[4] == "begins", r[5]
            if r[3] == "slow":
                for n in struck:
                    slower[n] *= strengths[r[2]] if on else 1 / strengths[r[2]]
            elif r[3] in ("cut", "cut-reset"):
                cut = cut | set(struck) if on else cut - set(struck)
            elif r[3] in ("deaf-agents", "dumb-agents", "sleep-agents"):
                unheard = unheard | set(struck) if on else unheard - set(struck)
            elif r[3] in ("vanish", "silent"):
                away = away | set(struck) if on else away - set(struck)
    close(length * SECOND)
    return {k: (v[0], v[1], None if k[1] < 0 else k[1]) for k, v in asked.items()}, able


def recovery(world: World, records: Sequence[Record], rows: Sequence[Second], since: float) -> Recovery:
    """Counted from `since`, in ms of the run's clock, when the first of what was lost comes back."""
    first = int(since // SECOND)
    after = rows[first:]

    def over(some: Sequence[Second]) -> float:
        return _over(sum(s.served for s in some), sum(s.possible for s in some))

    def done(some: Sequence[Second]) -> float:
        return _over(sum(s.done for s in some), sum(s.able for s in some))

    back = inf
    for i in range(len(after) - STAYS + 1):
        if all(s.possible > FEW and s.served >= NEARLY * s.possible for s in after[i : i + STAYS]):
            back = (first + i) * SECOND - since
            break
    shots = sum(s.shots for s in after)
    return Recovery(
        over(after[:10]),
        over(after[:20]),
        over(after),
        done(after[:10]),
        done(after[:20]),
        max(0.0, back),
        sum(s.wasted for s in after) / shots if shots else 0.0,
        max((s.queries for s in after), default=0),
        to_draining(world, records, since),
        cold_load(world, records),
    )


def _over(part: float, whole: float) -> float:
    return min(1.0, part / whole) if whole > FEW else 1.0


def to_draining(world: World, records: Iterable[Record], begin: float) -> int:
    """Shots from then on (ms) to a draining backend by an agent whose fleet was told long ago: by an older list, or none."""
    late = world.rules.drain_grace + world.registry.lag.most + MESSAGE_SLACK_MS
    since: dict[int, float] = {}
    found = 0
    for r in records:
        if r[0] == "state":
            if r[4] == "Terminating":
                since[r[2]] = r[1] / 1000
            else:
                since.pop(r[2], None)
        elif r[0] == "sent" and r[4] in since:
            found += r[1] / 1000 > max(begin, since[r[4]] + late)
    return found


def cold_load(world: World, records: Iterable[Record]) -> float:
    """The most work that came to a cold backend within the rule's time, over what pushes it over."""
    lives: dict[int, tuple[float, float, float, float]] = {}
    came: dict[int, list[tuple[float, float]]] = defaultdict(list)
    rules, most = world.rules, 0.0
    for r in records:
        if r[0] == "state" and r[4] == "Ready":
            lives[r[2]] = r[1] / 1000, r[5], r[6], r[7]
            came[r[2]] = []
        elif r[0] == "came" and r[2] in lives:
            now = r[1] / 1000
            booted, capacity, cold, start = lives[r[2]]
            if not cold or now >= booted + cold:
                continue
            lately = came[r[2]] = [(t, w) for t, w in came[r[2]] if t > now - rules.fall] + [(now, r[5])]
            part = start + (1 - start) * (now - booted) / cold
            most = max(most, sum(w for _, w in lately) / (rules.fall_multiple * capacity * part * rules.fall))
    return most
