"""Selection of the backend for each attempt: a pool of backends that meet the latency target of the route.

After QEdgeProxy: each backend's latency is smoothed per latency target; a backend whose estimate exceeds the
target is ejected from the pool, and one successful trial after the ejection period restores it. Within the
pool the backend of the lowest expected cost is selected. The cost covers the expected latency, the load of
the backend relative to its capacity, and traffic between zones.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from lupinreach.mesh.events import Event
from lupinreach.mesh.proxy.peers import Peer

LATENCY_SMOOTHING = 0.2  # weight of the newest latency sample
SERVICE_TIME_SMOOTHING = 0.05  # weight of the newest service time sample
MAX_RELATIVE_SAMPLE = 4.0  # upper bound on one sample of a backend's service time relative to the mean
MAX_SAMPLE_TARGETS = (
    2.0  # upper bound on a latency sample, in latency targets; a failed attempt counts as this
)
EJECTION_PERIOD_S = 5.0  # from an ejection to the trial
MIN_POOL_FRACTION = 0.5  # of the backends of a service: no ejection leaves fewer in the pool
DEFAULT_LATENCY_TARGET_MS = 1000.0  # for routes without one
BUSY_LOAD = 0.75  # of the capacity: above it the latency estimate is too low for the next request
BUSY_COST_FACTOR = 4.0  # times latency, for each multiple of the capacity above `BUSY_LOAD`
QUEUE_COST_FACTOR = 1.5  # times latency, for each waiting request per slot
CROSS_ZONE_COST_MS_PER_KB = 8.0  # cost of a kilobyte between zones, as latency
CROSS_ZONE_COST_MS = 3.0  # fixed cost of leaving the zone, as latency
COLD_COST_FACTOR = 2.0  # times latency, while a backend is cold
COST_JITTER_FRACTION = 0.1  # of the cost, so that equal backends share the load


@dataclass(slots=True)
class LatencyEstimate:
    """Latency estimate and ejection state of one backend for one latency target."""

    latency_ms: float | None = None  # moving average; None before the first sample
    ejected_until: float = 0.0  # loop time from which a trial is allowed; 0: not ejected
    trial_in_flight: bool = False


@dataclass(slots=True)
class BackendQuery:
    """Requirements of a request on the backend of its next attempt."""

    service: str
    latency_target_ms: float
    kilobytes: float  # expected size of the request and its answer
    excluded: set[str] = field(default_factory=set)  # addresses already tried
    regions: frozenset[str] = frozenset()  # allowed regions; empty: all


class PoolPolicy:
    """Latency estimates of all backends, and the selection among them."""

    def __init__(self, zone: str, region_of: Callable[[str], str], log: Callable[..., None]) -> None:
        self._zone = zone
        self._region_of = region_of
        self._log = log
        self._estimates: dict[tuple[str, str, float], LatencyEstimate] = {}
        self._mean_service_ms: dict[tuple[str, float], float] = {}  # by service and latency target
        self._relative_service_times: dict[tuple[str, str], float] = {}  # by backend; 1.0: as the mean

    def _estimate(self, peer: Peer, latency_target_ms: float) -> LatencyEstimate:
        key = (peer.address, peer.status.instance_id, latency_target_ms)
        estimate = self._estimates.get(key)
        if estimate is None:
            estimate = self._estimates[key] = LatencyEstimate()
        return estimate

    def choose(self, query: BackendQuery, candidates: Iterable[Peer], now: float) -> Peer | None:
        """Return the backend for the next attempt, or None if no candidate is usable.

        An ejected backend that is due for its trial comes first.
        """
        usable = [peer for peer in candidates if self._is_usable(peer, query)]
        if not usable:
            return None
        trial = self._start_due_trial(usable, query.latency_target_ms, now)
        if trial is not None:
            return trial
        pool = [peer for peer in usable if not self._estimate(peer, query.latency_target_ms).ejected_until]
        return min(pool or usable, key=lambda peer: self._cost(peer, query, now))

    def _is_usable(self, peer: Peer, query: BackendQuery) -> bool:
        if not peer.status.available or not peer.reachable or peer.address in query.excluded:
            return False
        return not query.regions or self._region_of(peer.zone) in query.regions

    def _start_due_trial(self, usable: list[Peer], latency_target_ms: float, now: float) -> Peer | None:
        for peer in usable:
            estimate = self._estimate(peer, latency_target_ms)
            if estimate.ejected_until and not estimate.trial_in_flight and now >= estimate.ejected_until:
                estimate.trial_in_flight = True
                return peer
        return None

    def _mean_latency_ms(self, peers: list[Peer], latency_target_ms: float) -> float:
        known_ms = [
            known
            for peer in peers
            if (known := self._estimate(peer, latency_target_ms).latency_ms) is not None
        ]
        return sum(known_ms) / len(known_ms) if known_ms else latency_target_ms / 3

    def _cost(self, peer: Peer, query: BackendQuery, now: float) -> float:
        mean_ms = self._mean_service_ms.get(
            (query.service, query.latency_target_ms), query.latency_target_ms / 3
        )
        latency = mean_ms * self._relative_service_times.get((peer.address, peer.status.instance_id), 1.0)
        status = peer.status
        capacity = max(1, status.capacity)
        running = max(status.running, peer.in_flight)
        load = (running + 1) / capacity
        cost = latency
        if load > BUSY_LOAD:
            cost += latency * BUSY_COST_FACTOR * (load - BUSY_LOAD)
        cost += latency * QUEUE_COST_FACTOR * status.waiting / capacity
        if peer.cold(now):
            cost += latency * COLD_COST_FACTOR
        if peer.zone != self._zone:
            cost += CROSS_ZONE_COST_MS + CROSS_ZONE_COST_MS_PER_KB * query.kilobytes
        return cost * (1 + COST_JITTER_FRACTION * random.random())

    def record_outcome(
        self,
        peer: Peer,
        latency_target_ms: float,
        latency_ms: float | None,
        now: float,
        candidates: list[Peer],
    ) -> None:
        """Record the end of an attempt; `latency_ms` is None if it failed."""
        estimate = self._estimate(peer, latency_target_ms)
        sample = (
            MAX_SAMPLE_TARGETS * latency_target_ms
            if latency_ms is None
            else min(MAX_SAMPLE_TARGETS * latency_target_ms, latency_ms)
        )
        if estimate.ejected_until:
            if estimate.trial_in_flight:
                self._end_trial(peer, estimate, sample, latency_target_ms, now)
            return
        previous_ms = (
            estimate.latency_ms
            if estimate.latency_ms is not None
            else self._mean_latency_ms(candidates, latency_target_ms)
        )
        estimate.latency_ms = previous_ms + LATENCY_SMOOTHING * (sample - previous_ms)
        if estimate.latency_ms > latency_target_ms:
            self._eject(peer, estimate, latency_target_ms, now, candidates)

    def record_service_time(self, peer: Peer, latency_target_ms: float, served_ms: float) -> None:
        """Update a backend's service time relative to the mean, over all kinds of requests."""
        kind = (peer.service, latency_target_ms)
        mean_ms = self._mean_service_ms.get(kind, served_ms)
        self._mean_service_ms[kind] = mean_ms + SERVICE_TIME_SMOOTHING * (served_ms - mean_ms)
        key = (peer.address, peer.status.instance_id)
        relative_time = self._relative_service_times.get(key, 1.0)
        sample = min(MAX_RELATIVE_SAMPLE, served_ms / max(mean_ms, 1.0))
        self._relative_service_times[key] = relative_time + SERVICE_TIME_SMOOTHING * (sample - relative_time)

    def record_no_sample(self, peer: Peer, latency_target_ms: float) -> None:
        """Record the end of an attempt without an observation: it was refused or its client went away."""
        self._estimate(peer, latency_target_ms).trial_in_flight = False

    def _end_trial(
        self, peer: Peer, estimate: LatencyEstimate, sample: float, latency_target_ms: float, now: float
    ) -> None:
        estimate.trial_in_flight = False
        if sample > latency_target_ms:
            estimate.ejected_until = now + EJECTION_PERIOD_S
            return
        estimate.ejected_until = 0.0
        estimate.latency_ms = sample
        self._log(
            Event.BACKEND_RESTORED, backend=peer.address, aim_ms=latency_target_ms, latency_ms=round(sample)
        )

    def _eject(
        self,
        peer: Peer,
        estimate: LatencyEstimate,
        latency_target_ms: float,
        now: float,
        candidates: list[Peer],
    ) -> None:
        remaining = [
            p for p in candidates if p is not peer and not self._estimate(p, latency_target_ms).ejected_until
        ]
        if not remaining or len(remaining) < MIN_POOL_FRACTION * len(candidates):
            return  # if most backends are slow, the cause is not this one
        estimate.ejected_until = now + EJECTION_PERIOD_S
        self._log(
            Event.BACKEND_EJECTED,
            backend=peer.address,
            aim_ms=latency_target_ms,
            latency_ms=round(estimate.latency_ms or 0),
        )

    def describe(self, peers: Iterable[Peer]) -> list[dict[str, Any]]:
        """Return the state of each linked backend, for operators."""
        described = []
        for peer in peers:
            key = (peer.address, peer.status.instance_id)
            estimates = {
                target: estimate
                for (*instance_key, target), estimate in self._estimates.items()
                if tuple(instance_key) == key
            }
            described.append(
                {
                    "address": peer.address,
                    "service": peer.service,
                    "zone": peer.zone,
                    "available": peer.status.available and peer.reachable,
                    "in_flight": peer.in_flight,
                    "pace": round(self._relative_service_times.get(key, 1.0), 2),
                    "latency_ms": {
                        str(target): round(estimate.latency_ms or 0) for target, estimate in estimates.items()
                    },
                    "ejected_for_aims": [
                        target for target, estimate in estimates.items() if estimate.ejected_until
                    ],
                }
            )
        return described

    def forget_removed_instances(self, current: Iterable[Peer]) -> None:
        """Drop the estimates of instances that are no longer current."""
        current_keys = {(peer.address, peer.status.instance_id) for peer in current}
        self._estimates = {
            key: estimate for key, estimate in self._estimates.items() if key[:2] in current_keys
        }
        self._relative_service_times = {
            key: relative_time
            for key, relative_time in self._relative_service_times.items()
            if key in current_keys
        }
