"""Computes the service of a run from its ledger: the billed value that was earned over the value of all calls. Free of I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from lupinreach.bed.world.ledger import Record
from lupinreach.bed.world.spec import World

WINDOW_MS = 10_000.0  # of the worst window
WINDOW_STEP_MS = 1000.0  # between the starts of two windows
MAX_LATENCY_MS = 600_000  # longer latencies are counted as this
STEPS_PER_MS = 100  # resolution of the histogram


@dataclass
class CallOutcome:
    """What became of one API call, over all its requests."""

    at: float  # ms
    product: str
    customer: str
    total_value: float  # billed, if answered within the SLO
    earned_value: float = 0.0
    latency_ms: float = -1.0  # from the first request to the successful answer; negative if there was none
    outcome: str = "none"  # of the last request


def histogram() -> HdrHistogram:
    """An empty histogram of latencies, in 1 / STEPS_PER_MS ms."""
    return HdrHistogram(1, MAX_LATENCY_MS * STEPS_PER_MS, 3)


def calls(world: World, records: Iterable[Record]) -> dict[int, CallOutcome]:
    """The outcome of every API call, by its number."""
    products = {p.name: p for p in world.products}
    outcomes: dict[int, CallOutcome] = {}
    call_of: dict[str, int] = {}
    for record in records:
        kind, at = record[0], record[1] / 1000
        if kind == "asked":
            name, call_number, number, _, product, customer, work = record[2:9]
            call_of[name] = call_number
            if number == 0:
                outcomes[call_number] = CallOutcome(at, product, customer, products[product].value * work)
        elif kind == "got":
            name, status = record[2], record[3]
            call = outcomes[call_of[name]]
            if status == 200 and call.latency_ms < 0:
                call.latency_ms, call.outcome = at - call.at, "fulfilled"
                product_spec = products[call.product]
                call.earned_value = call.total_value * (
                    1.0
                    if call.latency_ms <= product_spec.slo
                    else product_spec.late_value
                    if call.latency_ms <= product_spec.timeout
                    else 0.0
                )
            elif call.latency_ms < 0:
                call.outcome = "rate-limited" if status in (429, 503) else "errored"
        elif kind in ("left", "lost"):
            call = outcomes[call_of[record[2]]]
            if call.latency_ms < 0:
                call.outcome = "left" if kind == "left" else "lost"
    return outcomes


def share(outcomes: Iterable[CallOutcome]) -> float:
    """Share of the value of the calls that was earned; 1 if there was none."""
    earned_value = value = 0.0
    for call in outcomes:
        earned_value, value = earned_value + call.earned_value, value + call.total_value
    return earned_value / value if value else 1.0


def worst_window(outcomes: Iterable[CallOutcome], length: float) -> float:
    """The lowest share earned in any 10 s, by the time of the calls; of the whole run if that is shorter."""
    value: Counter[int] = Counter()
    earned_value: Counter[int] = Counter()
    for call in outcomes:
        value[int(call.at // WINDOW_STEP_MS)] += call.total_value  # type: ignore[assignment]
        earned_value[int(call.at // WINDOW_STEP_MS)] += call.earned_value  # type: ignore[assignment]
    window_steps, last = int(WINDOW_MS / WINDOW_STEP_MS), max(value, default=0)
    shares = []
    for start in range(max(1, min(last + 1, int(length // WINDOW_STEP_MS)) - window_steps + 1)):
        window_value = sum(value[i] for i in range(start, start + window_steps))
        if window_value:
            shares.append(sum(earned_value[i] for i in range(start, start + window_steps)) / window_value)
    return min(shares, default=1.0)


def count(world: World, records: list[Record]) -> dict[str, Any]:
    """The metrics of a run."""
    outcomes = calls(world, records)
    latencies = histogram()
    by_product: dict[str, list[CallOutcome]] = defaultdict(list)
    by_customer: dict[str, list[CallOutcome]] = defaultdict(list)
    for call in outcomes.values():
        by_product[call.product].append(call)
        if call.customer:
            by_customer[call.customer].append(call)
        if call.latency_ms >= 0:
            latencies.record_value(
                max(1, min(MAX_LATENCY_MS * STEPS_PER_MS, round(call.latency_ms * STEPS_PER_MS)))
            )
    record_counts = Counter(r[0] for r in records)
    percentiles = {
        f"p{p}": round(latencies.get_value_at_percentile(p) / STEPS_PER_MS, 2) for p in (50, 90, 99, 99.9)
    }
    return {
        "service": round(share(outcomes.values()), 4),
        "service_worst_10s": round(worst_window(outcomes.values(), world.length), 4),
        "by_product": {name: round(share(some), 4) for name, some in sorted(by_product.items())},
        "by_customer": {name: round(share(some), 4) for name, some in sorted(by_customer.items())},
        "answers": dict(sorted(Counter(call.outcome for call in outcomes.values()).items())),
        "latency_ms": percentiles,
        "shots": record_counts["sent"],
        "tries": record_counts["asked"],
        "calls": len(outcomes),
    }
