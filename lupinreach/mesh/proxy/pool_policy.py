"""Choice of the backend for each attempt: for each service and latency aim, a pool of those that meet it.

After QEdgeProxy: each backend's latency is smoothed per aim; one whose figure breaks the aim leaves the pool,
and one trial after a hold restores it. Inside the pool the expected cost decides: the smoothed latency, what
the backend already holds for its capacity, and what bytes between zones are worth.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from lupinreach.mesh.events import Event
from lupinreach.mesh.proxy.peers import Peer

NEWEST = 0.2  # weight of the newest latency sample
PACE_NEWEST = 0.05  # weight of the newest sample in how quick a backend is beside the others
MOST_PACE_SAMPLE = 4.0  # one answer never counts as slower than so many usual ones
MISS = 2.0  # a failed attempt counts as a sample of so many aims
HOLD_S = 5.0  # from an ejection to the trial
KEEP = 0.5  # share of the ready backends that ejection leaves in a pool
DEFAULT_AIM_MS = 1000.0  # where the operator gives none
FULL_FROM = 0.75  # of its capacity: from there on a backend counts as busier than its figure tells
BUSY_COST = 4.0  # x latency, for a backend that is full, growing from `FULL_FROM`
WAITING_COST = 1.5  # x latency for each waiting request and slot
ZONE_MS_PER_KB = 8.0  # what a kilobyte between zones is worth, in ms of latency
ZONE_MS = 3.0  # what leaving the zone costs in any case
COLD_COST = 2.0  # x latency, while a backend is cold
JITTER = 0.1  # of the cost, so that equals share what comes


@dataclass(slots=True)
class Figure:
    """What is known of one backend for one aim."""

    latency_ms: float | None = None  # smoothed
    ejected_until: float = 0.0  # loop time of the trial; 0: in the pool
    trial_out: bool = False


@dataclass(slots=True)
class Choice:
    """What the outbound side asks for."""

    service: str
    aim_ms: float
    kilobytes: float  # that the request and its answer are expected to have
    excluded: set[str] = field(default_factory=set)  # addresses already tried
    regions: frozenset[str] = frozenset()  # allowed ones; empty: all


class PoolPolicy:
    """Figures of all backends, and the choice among them."""

    def __init__(self, zone: str, region_of: Callable[[str], str], log: Callable[..., None]) -> None:
        self._zone = zone
        self._region_of = region_of
        self._log = log
        self._figures: dict[tuple[str, str, float], Figure] = {}
        self._usual_ms: dict[tuple[str, float], float] = {}  # work at a backend, by service and aim
        self._paces: dict[tuple[str, str], float] = {}  # by backend: its work beside the usual, 1 = as usual

    def _figure(self, peer: Peer, aim_ms: float) -> Figure:
        key = (peer.address, peer.status.instance_id, aim_ms)
        figure = self._figures.get(key)
        if figure is None:
            figure = self._figures[key] = Figure()
        return figure

    def choose(self, choice: Choice, candidates: Iterable[Peer], now: float) -> Peer | None:
        """The backend for the next attempt, or None where none may take it."""
        ready = [peer for peer in candidates if self._usable(peer, choice)]
        if not ready:
            return None
        trial = self._due_trial(ready, choice.aim_ms, now)
        if trial is not None:
            return trial
        pool = [peer for peer in ready if not self._figure(peer, choice.aim_ms).ejected_until]
        return min(pool or ready, key=lambda peer: self._cost(peer, choice, now))

    def _usable(self, peer: Peer, choice: Choice) -> bool:
        if not peer.status.available or not peer.reachable or peer.address in choice.excluded:
            return False
        return not choice.regions or self._region_of(peer.zone) in choice.regions

    def _due_trial(self, ready: list[Peer], aim_ms: float, now: float) -> Peer | None:
        for peer in ready:
            figure = self._figure(peer, aim_ms)
            if figure.ejected_until and not figure.trial_out and now >= figure.ejected_until:
                figure.trial_out = True
                return peer
        return None

    def _mean(self, peers: list[Peer], aim_ms: float) -> float:
        known = [f for peer in peers if (f := self._figure(peer, aim_ms).latency_ms) is not None]
        return sum(known) / len(known) if known else aim_ms / 3

    def _cost(self, peer: Peer, choice: Choice, now: float) -> float:
        usual = self._usual_ms.get((choice.service, choice.aim_ms), choice.aim_ms / 3)
        latency = usual * self._paces.get((peer.address, peer.status.instance_id), 1.0)
        status = peer.status
        capacity = max(1, status.capacity)
        running = max(status.running, peer.in_flight)
        load = (running + 1) / capacity
        cost = latency
        if load > FULL_FROM:
            cost += latency * BUSY_COST * (load - FULL_FROM)
        cost += latency * WAITING_COST * status.waiting / capacity
        if peer.cold(now):
            cost += latency * COLD_COST
        if peer.zone != self._zone:
            cost += ZONE_MS + ZONE_MS_PER_KB * choice.kilobytes
        return cost * (1 + JITTER * random.random())

    def landed(
        self, peer: Peer, aim_ms: float, latency_ms: float | None, now: float, ready: list[Peer]
    ) -> None:
        """Book the end of an attempt; no latency where it failed."""
        figure = self._figure(peer, aim_ms)
        sample = MISS * aim_ms if latency_ms is None else min(MISS * aim_ms, latency_ms)
        if figure.ejected_until:
            if figure.trial_out:
                self._end_trial(peer, figure, sample, aim_ms, now)
            return
        old = figure.latency_ms if figure.latency_ms is not None else self._mean(ready, aim_ms)
        figure.latency_ms = old + NEWEST * (sample - old)
        if figure.latency_ms > aim_ms:
            self._eject(peer, figure, aim_ms, now, ready)

    def served(self, peer: Peer, aim_ms: float, served_ms: float) -> None:
        """Learn how quick a backend is, from its own time for an answer, over all kinds of requests."""
        kind = (peer.service, aim_ms)
        usual = self._usual_ms.get(kind, served_ms)
        self._usual_ms[kind] = usual + PACE_NEWEST * (served_ms - usual)
        key = (peer.address, peer.status.instance_id)
        pace = self._paces.get(key, 1.0)
        sample = min(MOST_PACE_SAMPLE, served_ms / max(usual, 1.0))
        self._paces[key] = pace + PACE_NEWEST * (sample - pace)

    def released(self, peer: Peer, aim_ms: float) -> None:
        """An attempt ended without evidence: it was not taken, or its client went away."""
        self._figure(peer, aim_ms).trial_out = False

    def _end_trial(self, peer: Peer, figure: Figure, sample: float, aim_ms: float, now: float) -> None:
        figure.trial_out = False
        if sample > aim_ms:
            figure.ejected_until = now + HOLD_S
            return
        figure.ejected_until = 0.0
        figure.latency_ms = sample
        self._log(Event.BACKEND_RESTORED, backend=peer.address, aim_ms=aim_ms, latency_ms=round(sample))

    def _eject(self, peer: Peer, figure: Figure, aim_ms: float, now: float, ready: list[Peer]) -> None:
        left = [p for p in ready if p is not peer and not self._figure(p, aim_ms).ejected_until]
        if not left or len(left) < KEEP * len(ready):
            return  # what is slow with all others is no fault of this one
        figure.ejected_until = now + HOLD_S
        self._log(
            Event.BACKEND_EJECTED,
            backend=peer.address,
            aim_ms=aim_ms,
            latency_ms=round(figure.latency_ms or 0),
        )

    def describe(self, peers: Iterable[Peer]) -> list[dict[str, Any]]:
        """How each linked backend stands, for operators."""
        told = []
        for peer in peers:
            key = (peer.address, peer.status.instance_id)
            figures = {aim: figure for (*known, aim), figure in self._figures.items() if tuple(known) == key}
            told.append(
                {
                    "address": peer.address,
                    "service": peer.service,
                    "zone": peer.zone,
                    "available": peer.status.available and peer.reachable,
                    "in_flight": peer.in_flight,
                    "pace": round(self._paces.get(key, 1.0), 2),
                    "latency_ms": {
                        str(aim): round(figure.latency_ms or 0) for aim, figure in figures.items()
                    },
                    "ejected_for_aims": [aim for aim, figure in figures.items() if figure.ejected_until],
                }
            )
        return told

    def forget_past(self, current: Iterable[Peer]) -> None:
        """Drop the figures of instances that are gone."""
        alive = {(peer.address, peer.status.instance_id) for peer in current}
        self._figures = {key: figure for key, figure in self._figures.items() if key[:2] in alive}
        self._paces = {key: pace for key, pace in self._paces.items() if key in alive}
