"""The agent's own metrics, derived from its counters. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from lupinreach.net.counters import Counters, Outcome

# Keys of the reported metrics.
OUTCOME_KEYS = {Outcome.FULFILLED: "success", Outcome.RATE_LIMITED: "overload", Outcome.ERRORED: "error"}
ATTEMPTS, IN_FLIGHT, BACKENDS, AVOIDED_BACKENDS = "dispatches", "concurrent", "targets", "targets_disabled"


def report(products: Iterable[str], counters: Counters, listed: int, avoided: int) -> dict[str, Any]:
    """The metrics: API calls by outcome and product, and the current state.

    All counts run from the start of the process and never decrease.
    """
    names = list(products)
    metrics: dict[str, Any] = {
        key: _by_product(names, counters.outcomes[outcome]) for outcome, key in OUTCOME_KEYS.items()
    }
    return metrics | {
        ATTEMPTS: counters.written,
        IN_FLIGHT: counters.open,
        BACKENDS: listed,
        AVOIDED_BACKENDS: min(listed, avoided),
    }


def _by_product(names: list[str], counts: Mapping[str, int]) -> dict[str, int]:
    return {name: counts.get(name, 0) for name in names}
