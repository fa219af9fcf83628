"""Counts of requests that a gate accepted and refused, by kind; logs kinds that are starved."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from lupinreach.mesh.errors import NotTakenReason
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.metrics import Metric
from lupinreach.mesh.proxy.request_kind import RequestKind

MIN_REQUESTS_PER_CHECK = 5  # a kind with fewer requests is sampled until a later check
STARVED_FRACTION = 0.25  # of the acceptance rate of all requests; a kind below it is logged as starved
LOAD_REASONS = frozenset((NotTakenReason.FULL, NotTakenReason.COLD, NotTakenReason.EXPIRED))
MAX_KINDS = 32  # bounds the label sets of the metrics: latency targets change, and counters are never dropped


@dataclass(slots=True)
class _Sample:
    """Requests of one kind, and the gate's totals at the check before the first of them."""

    all_taken_before: int
    all_asked_before: int
    taken: int = 0
    asked: int = 0


class GateCounts:
    """Counters since the start of the process, and a sample of each kind for the check."""

    def __init__(self) -> None:
        self._taken: Counter[str] = Counter()
        self._refused: Counter[tuple[str, NotTakenReason]] = Counter()
        self._all_taken = 0
        self._all_asked = 0  # taken, or refused for load
        self._totals_at_check = (0, 0)
        self._samples: dict[str, _Sample] = {}

    def _label(self, kind: RequestKind) -> str:
        label = str(kind)
        return label if label in self._taken or len(self._taken) < MAX_KINDS else "other"

    def _sample(self, label: str) -> _Sample:
        return self._samples.setdefault(label, _Sample(*self._totals_at_check))

    def count_taken(self, kind: RequestKind) -> None:
        """Count a request that was passed to the backend."""
        label = self._label(kind)
        self._taken[label] += 1
        sample = self._sample(label)
        sample.taken += 1
        sample.asked += 1
        self._all_taken += 1
        self._all_asked += 1

    def count_refused(self, kind: RequestKind, reason: NotTakenReason) -> None:
        """Count a request that was refused."""
        label = self._label(kind)
        self._taken[label] += 0
        self._refused[(label, reason)] += 1
        if reason in LOAD_REASONS:
            self._sample(label).asked += 1
            self._all_asked += 1

    def check(self, log: EventLog) -> None:
        """Log each kind whose acceptance rate is far below that of all requests; a rare kind is sampled for longer."""
        for label, sample in list(self._samples.items()):
            if sample.asked < MIN_REQUESTS_PER_CHECK:
                continue
            del self._samples[label]
            overall_fraction = (self._all_taken - sample.all_taken_before) / (
                self._all_asked - sample.all_asked_before
            )
            if sample.taken < STARVED_FRACTION * overall_fraction * sample.asked:
                log.write(
                    Event.KIND_STARVED,
                    kind=label,
                    taken=sample.taken,
                    asked=sample.asked,
                    of_all=round(overall_fraction, 2),
                )
        self._totals_at_check = (self._all_taken, self._all_asked)

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
