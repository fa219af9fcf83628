"""Counts of what the agent takes in, sends and answers; printed on SIGUSR1 and at exit."""

from __future__ import annotations

import os
import re
from collections import Counter
from enum import Enum
from typing import Any


def peak_memory() -> float | None:
    """MB of this program; what getrusage tells counts the one that started it as well."""
    try:
        with open("/proc/self/status", "rb") as file:
            found = re.search(rb"VmHWM:\s+([0-9]+) kB", file.read())
    except OSError:
        return None
    return round(int(found[1]) / 1024, 1) if found else None


class Outcome(Enum):
    """What an API call came to, for whoever counts them."""

    FULFILLED = "fulfilled"
    RATE_LIMITED = "rate-limited"
    ERRORED = "errored"


# What the client was told, as `answered` counts it. One that left, or whose request was none, has no outcome.
OUTCOMES = {
    "fulfilled": Outcome.FULFILLED,
    "rate-limited": Outcome.RATE_LIMITED,
    "no room": Outcome.RATE_LIMITED,
    "errored": Outcome.ERRORED,
    "fault": Outcome.ERRORED,
}


class Counters:
    """Grows with the kinds of things counted and never with their number."""

    def __init__(self) -> None:
        self.taken: Counter[str] = Counter()  # API calls, by product
        self.answered: Counter[str] = Counter()  # by what the client was told
        self.shots: Counter[str] = Counter()  # by how they ended
        self.connections: Counter[str] = Counter()  # opened, and closed by which end
        self.directory: Counter[str] = Counter()
        self.others: Counter[str] = Counter()  # probes, messages between agents, faults
        self.outcomes: dict[Outcome, Counter[str]] = {outcome: Counter() for outcome in Outcome}  # by product
        self.written = 0  # shots written whole
        self.open = 0  # API calls taken and not ended

    def count_answer(self, what: str, product: str | None) -> None:
        """An API call has ended for its client; a product that isn't known has no outcome."""
        self.answered[what] += 1
        if product is not None and what in OUTCOMES:
            self.outcomes[OUTCOMES[what]][product] += 1

    def snapshot(self) -> dict[str, Any]:
        groups = {name: dict(counts) for name, counts in vars(self).items() if isinstance(counts, Counter)}
        return groups | {
            "written": self.written,
            "open": self.open,
            "descriptors": len(os.listdir("/proc/self/fd")) if os.path.isdir("/proc/self/fd") else None,
            "peak_memory_mb": peak_memory(),
        }
