"""What the agent reports of itself, from its counters. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from lupinreach.net.counters import Counters, Outcome

# The page's words.
WORDS = {Outcome.FULFILLED: "success", Outcome.RATE_LIMITED: "overload", Outcome.ERRORED: "error"}
SHOTS, OPEN, LISTED, AVOIDED = "dispatches", "concurrent", "targets", "targets_disabled"


def report(products: Iterable[str], counters: Counters, listed: int, avoided: int) -> dict[str, Any]:
    """The figures: API calls by how they ended, for each product, and what is there now.

    All counts run from the start of the process and never go back.
    """
    names = list(products)
    figures: dict[str, Any] = {
        word: _each(names, counters.outcomes[outcome]) for outcome, word in WORDS.items()
    }
    return figures | {
        SHOTS: counters.written,
        OPEN: counters.open,
        LISTED: listed,
        AVOIDED: min(listed, avoided),
    }


def _each(names: list[str], counts: Mapping[str, int]) -> dict[str, int]:
    return {name: counts.get(name, 0) for name in names}
