"""Service times of a backend, over all requests and by kind of request."""

from __future__ import annotations

from lupinreach.mesh.proxy.request_kind import RequestKind

SMOOTHING_FACTOR = 0.1  # weight of the newest sample in the moving averages
MAX_KINDS = 64  # bounds memory: each change of a latency target by an operator adds a kind
MIN_MEAN_S = 0.0001


class ServiceTimes:
    """Exponential moving averages of service times in seconds; 0 before the first sample."""

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._by_kind: dict[RequestKind, float] = {}

    def add(self, kind: RequestKind, service_s: float) -> None:
        """Record the service time of one request."""
        mean_s_before = self.mean_s or service_s
        self.mean_s = mean_s_before + SMOOTHING_FACTOR * (service_s - mean_s_before)
        kind_mean_s = self._by_kind.pop(kind, service_s)
        self._by_kind[kind] = kind_mean_s + SMOOTHING_FACTOR * (service_s - kind_mean_s)
        if len(self._by_kind) > MAX_KINDS:
            del self._by_kind[next(iter(self._by_kind))]

    def relative(self, kind: RequestKind) -> float:
        """Mean service time of a kind divided by the mean of all requests; 1 before the first sample."""
        return self._by_kind.get(kind, self.mean_s) / max(self.mean_s, MIN_MEAN_S) or 1.0
