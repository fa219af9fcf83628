"""What a gate took and refused, by kind of request: figures, and a warning where one kind gets next to nothing."""

from __future__ import annotations

from collections import Counter

from lupinreach.mesh.errors import NotTakenReason
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.metrics import Metric
from lupinreach.mesh.proxy.request_kind import RequestKind

LEAST_ASKED = 5  # requests of a kind between two checks: fewer say nothing
STARVED_SHARE = 0.25  # of the share that all requests are taken with
OF_LOAD = frozenset((NotTakenReason.FULL, NotTakenReason.COLD, NotTakenReason.EXPIRED))
MOST_KINDS = 32  # that are told apart; operators' aims change, and figures are kept


class GateCounts:
    """Counts since the start of the process, and since the last check."""

    def __init__(self) -> None:
        self._taken: Counter[str] = Counter()
        self._refused: Counter[tuple[str, NotTakenReason]] = Counter()
        self._lately_taken: Counter[str] = Counter()
        self._lately_refused: Counter[str] = Counter()

    def _label(self, kind: RequestKind) -> str:
        label = str(kind)
        return label if label in self._taken or len(self._taken) < MOST_KINDS else "other"

    def count_taken(self, kind: RequestKind) -> None:
        """A request was passed to the backend."""
        label = self._label(kind)
        self._taken[label] += 1
        self._lately_taken[label] += 1

    def count_refused(self, kind: RequestKind, reason: NotTakenReason) -> None:
        """A request was turned away."""
        label = self._label(kind)
        self._taken[label] += 0
        self._refused[(label, reason)] += 1
        if reason in OF_LOAD:
            self._lately_refused[label] += 1

    def check(self, log: EventLog) -> None:
        """Log the kinds that were taken far more rarely than all since the last check."""
        taken, refused = self._lately_taken, self._lately_refused
        self._lately_taken, self._lately_refused = Counter(), Counter()
        if not refused:
            return
        of_all = taken.total() / (taken.total() + refused.total())
        for label, count in refused.items():
            asked = taken[label] + count
            if asked >= LEAST_ASKED and taken[label] < STARVED_SHARE * of_all * asked:
                log.write(
                    Event.KIND_STARVED, kind=label, taken=taken[label], asked=asked, of_all=round(of_all, 2)
                )

    def metrics(self) -> list[Metric]:
        """The counts since the start."""
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
