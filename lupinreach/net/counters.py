"""Counters of calls, attempts and connections; logged periodically, on SIGUSR1 and at exit."""

from __future__ import annotations

import os
import re
from collections import Counter
from enum import Enum
from typing import Any


def peak_memory() -> float | None:
    """Peak resident memory of this program in MB.

    ru_maxrss of getrusage would include the program that executed this one.
    """
    try:
        with open("/proc/self/status", "rb") as file:
            found = re.search(rb"VmHWM:\s+([0-9]+) kB", file.read())
    except OSError:
        return None
    return round(int(found[1]) / 1024, 1) if found else None


class Outcome(Enum):
    """The outcome of an API call."""

    FULFILLED = "fulfilled"
    RATE_LIMITED = "rate-limited"
    ERRORED = "errored"


# Outcomes by the keys of `answered`. Calls whose client left and bad requests have no outcome.
OUTCOMES = {
    "fulfilled": Outcome.FULFILLED,
    "rate-limited": Outcome.RATE_LIMITED,
    "no room": Outcome.RATE_LIMITED,
    "errored": Outcome.ERRORED,
    "fault": Outcome.ERRORED,
}


class Counters:
    """All counters. Memory grows with the kinds counted, not with their number."""

    def __init__(self) -> None:
        self.taken: Counter[str] = Counter()  # accepted API calls, by product
        self.answered: Counter[str] = Counter()  # API calls, by the answer that the client got
        self.shots: Counter[str] = Counter()  # attempts, by how they ended
        self.connections: Counter[str] = Counter()  # opened and closed, by side and reason
        self.directory: Counter[str] = Counter()  # requests, failures and updates
        self.others: Counter[str] = Counter()  # probes, messages between agents, faults
        self.outcomes: dict[Outcome, Counter[str]] = {outcome: Counter() for outcome in Outcome}  # by product
        self.written = 0  # attempts written completely
        self.open = 0  # API calls in progress

    def count_answer(self, what: str, product: str | None) -> None:
        """Count the end of an API call for its client; with an unknown product it has no outcome."""
        self.answered[what] += 1
        if product is not None and what in OUTCOMES:
            self.outcomes[OUTCOMES[what]][product] += 1

    def snapshot(self) -> dict[str, Any]:
        """All counters, and the process's open descriptors and peak memory."""
        groups = {name: dict(counts) for name, counts in vars(self).items() if isinstance(counts, Counter)}
        return groups | {
            "written": self.written,
            "open": self.open,
            "descriptors": len(os.listdir("/proc/self/fd")) if os.path.isdir("/proc/self/fd") else None,
            "peak_memory_mb": peak_memory(),
        }
