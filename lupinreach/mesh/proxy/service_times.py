"""How long a backend is at work on requests, over all and by kind."""

from __future__ import annotations

from lupinreach.mesh.proxy.request_kind import RequestKind

NEWEST = 0.1  # weight of the newest sample in a mean
MOST_KINDS = 64  # that are remembered: operators' aims change
LEAST_MEAN_S = 0.0001


class ServiceTimes:
    """Smoothed means in seconds; 0 while none is known."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._by_kind: dict[RequestKind, float] = {}

    def add(self, kind: RequestKind, service_s: float) -> None:
        """A request was served."""
        known = self.mean_s or service_s
        self.mean_s = known + NEWEST * (service_s - known)
        of_kind = self._by_kind.pop(kind, service_s)
        self._by_kind[kind] = of_kind + NEWEST * (service_s - of_kind)
        if len(self._by_kind) > MOST_KINDS:
            del self._by_kind[next(iter(self._by_kind))]

    def relative(self, kind: RequestKind) -> float:
        """The work of a request of a kind beside that of the mean request; 1 while nothing is known."""
        return self._by_kind.get(kind, self.mean_s) / max(self.mean_s, LEAST_MEAN_S) or 1.0
