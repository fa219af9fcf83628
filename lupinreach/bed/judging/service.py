"""Counts service from a ledger: billed value answered within the SLO over that asked for. Pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from lupinreach.bed.world.ledger import Record
from lupinreach.bed.world.spec import World

WORST = 10_000.0  # ms
WINDOW_STEP_MS = 1000.0  # ms between two windows
MOST_MS = 600_000
SCALE = 100  # histogram steps in a ms


@dataclass
class Asked:
    at: float
    product: str
    customer: str
    worth: float
    earned: float = 0.0
    answered: float = -1.0  # ms from the first try, fulfilled
    ending: str = "none"


def histogram() -> HdrHistogram:
    return HdrHistogram(1, MOST_MS * SCALE, 3)


def calls(world: World, records: Iterable[Record]) -> dict[int, Asked]:
    """Every API call, its tries together."""
    products = {p.name: p for p in world.products}
    found: dict[int, Asked] = {}
    names: dict[str, int] = {}
    for record in records:
        kind, at = record[0], record[1] / 1000
        if kind == "asked":
            name, call, number, _, product, customer, work = record[2:9]
            names[name] = call
            if number == 0:
                found[call] = Asked(at, product, customer, products[product].value * work)
        elif kind == "got":
            name, status = record[2], record[3]
            one = found[names[name]]
            if status == 200 and one.answered < 0:
                one.answered, one.ending = at - one.at, "fulfilled"
                p = products[one.product]
                one.earned = one.worth * (
                    1.0 if one.answered <= p.slo else p.late_value if one.answered <= p.timeout else 0.0
                )
            elif one.answered < 0:
                one.ending = "rate-limited" if status in (429, 503) else "errored"
        elif kind in ("left", "lost"):
            one = found[names[record[2]]]
            if one.answered < 0:
                one.ending = "left" if kind == "left" else "lost"
    return found


def share(asked: Iterable[Asked]) -> float:
    earned = worth = 0.0
    for one in asked:
        earned, worth = earned + one.earned, worth + one.worth
    return earned / worth if worth else 1.0


def worst_window(found: Iterable[Asked], length: float) -> float:
    """The lowest share of any 10 s, by the time of asking; of the whole run where that is shorter."""
    worth: Counter[int] = Counter()
    earned: Counter[int] = Counter()
    for one in found:
        worth[int(one.at // WINDOW_STEP_MS)] += one.worth  # type: ignore[assignment]
        earned[int(one.at // WINDOW_STEP_MS)] += one.earned  # type: ignore[assignment]
    span, last = int(WORST / WINDOW_STEP_MS), max(worth, default=0)
    shares = []
    for begin in range(max(1, min(last + 1, int(length // WINDOW_STEP_MS)) - span + 1)):
        asked = sum(worth[i] for i in range(begin, begin + span))
        if asked:
            shares.append(sum(earned[i] for i in range(begin, begin + span)) / asked)
    return min(shares, default=1.0)


def count(world: World, records: list[Record]) -> dict[str, Any]:
    """The figures of a run."""
    found = calls(world, records)
    took = histogram()
    by_product: dict[str, list[Asked]] = defaultdict(list)
    by_customer: dict[str, list[Asked]] = defaultdict(list)
    for one in found.values():
        by_product[one.product].append(one)
        if one.customer:
            by_customer[one.customer].append(one)
        if one.answered >= 0:
            took.record_value(max(1, min(MOST_MS * SCALE, round(one.answered * SCALE))))
    shots = Counter(r[0] for r in records)
    percentiles = {f"p{p}": round(took.get_value_at_percentile(p) / SCALE, 2) for p in (50, 90, 99, 99.9)}
    return {
        "service": round(share(found.values()), 4),
        "service_worst_10s": round(worst_window(found.values(), world.length), 4),
        "by_product": {name: round(share(some), 4) for name, some in sorted(by_product.items())},
        "by_customer": {name: round(share(some), 4) for name, some in sorted(by_customer.items())},
        "answers": dict(sorted(Counter(one.ending for one in found.values()).items())),
        "latency_ms": percentiles,
        "shots": shots["sent"],
        "tries": shots["asked"],
        "calls": len(found),
    }
