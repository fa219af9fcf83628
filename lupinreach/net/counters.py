"""Counts of what the agent takes in, sends and answers; printed on SIGUSR1 and at exit."""

from __future__ import annotations

import os
import re
from collections import Counter
from typing import Any


def peak_memory() -> float | None:
    """MB of this program; what getrusage tells counts the one that started it as well."""
    try:
        with open("/proc/self/status", "rb") as file:
            found = re.search(rb"VmHWM:\s+([0-9]+) kB", file.read())
    except OSError:
        return None
    return round(int(found[1]) / 1024, 1) if found else None


class Counters:
    """Grows with the kinds of things counted and never with their number."""

    def __init__(self) -> None:
        self.taken: Counter[str] = Counter()  # API calls, by product
        self.answered: Counter[str] = Counter()  # by what the client was told
        self.shots: Counter[str] = Counter()  # by how they ended
        self.connections: Counter[str] = Counter()  # opened, and closed by which end
        self.directory: Counter[str] = Counter()
        self.others: Counter[str] = Counter()  # probes, messages between agents, faults

    def snapshot(self) -> dict[str, Any]:
        groups = {name: dict(counts) for name, counts in vars(self).items()}
        return groups | {
            "descriptors": len(os.listdir("/proc/self/fd")) if os.path.isdir("/proc/self/fd") else None,
            "peak_memory_mb": peak_memory(),
        }
