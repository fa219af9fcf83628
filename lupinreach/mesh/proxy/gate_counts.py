"""Counts of requests that a gate accepted and refused, by kind; logs kinds that are starved."""

from __future__ import annotations

from collections import Counter

from lupinreach.mesh.errors import NotTakenReason
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.metrics import Metric
from lupinreach.mesh.proxy.request_kind import RequestKind

MIN_REQUESTS_PER_CHECK = 5  # a kind with fewer requests since the last check is too small a sample
STARVED_FRACTION = 0.25  # of the acceptance rate of all requests; a kind below it is logged as starved
LOAD_REASONS = frozenset((NotTakenReason.FULL, NotTakenReason.COLD, NotTakenReason.EXPIRED))
MAX_KINDS = 32  # bounds the label sets of the metrics: latency targets change, and counters are never dropped


class GateCounts:
    """Counters since the start of the process and since the last check."""

    def __init__(self) -> None:
        self._taken: Counter[str] = Counter()
        self._refused: Counter[tuple[str, NotTakenReason]] = Counter()
        self._recently_taken: Counter[str] = Counter()
        self._recently_refused: Counter[str] = Counter()

    def _label(self, kind: RequestKind) -> str:
        label = str(kind)
        return label if label in self._taken or len(self._taken) < MAX_KINDS else "other"

    def count_taken(self, kind: RequestKind) -> None:
        """Count a request that was passed to the backend."""
        label = self._label(kind)
        self._taken[label] += 1
        self._recently_taken[label] += 1

    def count_refused(self, kind: RequestKind, reason: NotTakenReason) -> None:
        """Count a request that was refused."""
        label = self._label(kind)
        self._taken[label] += 0
        self._refused[(label, reason)] += 1
        if reason in LOAD_REASONS:
            self._recently_refused[label] += 1

    def check(self, log: EventLog) -> None:
        """Log each kind whose acceptance rate since the last check is far below that of all requests."""
        taken, refused = self._recently_taken, self._recently_refused
        self._recently_taken, self._recently_refused = Counter(), Counter()
        if not refused:
            return
        overall_fraction = taken.total() / (taken.total() + refused.total())
        for label, count in refused.items():
            asked = taken[label] + count
            if asked >= MIN_REQUESTS_PER_CHECK and taken[label] < STARVED_FRACTION * overall_fraction * asked:
                log.write(
                    Event.KIND_STARVED,
                    kind=label,
                    taken=taken[label],
                    asked=asked,
                    of_all=round(overall_fraction, 2),
                )

    def metrics(self) -> list[Metric]:
        """Return the counters since the start of the process."""
        taken = [
            Metric("proxy_gate_taken_total", count, "passed to the backend", f'kind="{label}"')
            for label, count in sorted(self._taken.items())
        ]
        refused = [
            Metric(
                "proxy_gate_refused_total",
                count,
                "turned away by the gate",
                f'kind="{label}",reason="{reason.name.lower()}"',
            )
            for (label, reason), count in sorted(self._refused.items())
        ]
        return taken + refused
