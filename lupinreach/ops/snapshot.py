"""The balancer's snapshot of backends, handed from one process to the next through the agent's store.

The stored value says what it applies to: its format, its time, the SLOs and the kind of weights. If anything
about it is invalid, the agent starts without it, as it does without a store, and the log says why.
"""

from __future__ import annotations

import asyncio
from math import isfinite
from typing import Any

from lupinreach.model import BackendSnapshot, PolicySnapshot
from lupinreach.net.agent import Agent
from lupinreach.store import trust
from lupinreach.store.records import FileContents
from lupinreach.store.store import Store

FORMAT = 1  # of the stored value; any other is rejected
KEY = "learnt"  # in the store
MAX_BACKENDS = 4096
MAX_NUMBER = 1e7  # of latencies (ms) and weights: more than any deployment has
SAVE_INTERVAL_S = 5.0  # so that a killed process leaves a snapshot too


class InvalidSnapshot(ValueError):
    """The stored snapshot can't be used; the message says why."""


def encode_snapshot(snapshot: PolicySnapshot, at: float) -> dict[str, Any]:
    """The value to store; backends beyond `MAX_BACKENDS` are left out."""
    return {
        "form": FORMAT,
        "at": at,
        "slos": snapshot.slos,
        "live_weights": snapshot.live_weights,
        "usual": snapshot.slo_latencies,
        "backends": [
            (m.name, m.boot_time, m.weight, m.latencies_ms, m.failure_rate)
            for m in snapshot.backends[:MAX_BACKENDS]
        ],
    }


def parse_snapshot(raw: Any) -> tuple[float, PolicySnapshot]:
    """The time and content of a stored value, validated as a whole."""
    try:
        if raw["form"] != FORMAT:
            raise InvalidSnapshot(f"form {raw['form']!r}")
        slos = tuple(map(_parse_number, raw["slos"]))
        slo_latencies = tuple(tuple(map(_parse_number, latencies)) for latencies in raw["usual"])
        backends = tuple(_parse_backend(*row, len(slos)) for row in raw["backends"])
        at, live = _parse_number(raw["at"], most=float("inf")), raw["live_weights"]
    except InvalidSnapshot:
        raise
    except (KeyError, TypeError, ValueError):
        raise InvalidSnapshot("torn or no such value") from None
    if (
        type(live) is not bool
        or len(slo_latencies) != len(slos)
        or any(len(latencies) != 4 for latencies in slo_latencies)
    ):
        raise InvalidSnapshot("parts that don't fit together")
    if len(backends) > MAX_BACKENDS:
        raise InvalidSnapshot("too many backends")
    return at, PolicySnapshot(slos, live, slo_latencies, backends)  # type: ignore[arg-type]  # rows of four


def _parse_backend(
    name: Any, boot_time: Any, weight: Any, latencies: Any, failure_rate: Any, slos: int
) -> BackendSnapshot:
    if type(name) is not int or len(latencies) != slos:
        raise InvalidSnapshot("a backend that doesn't fit")
    known = tuple(None if f is None else _parse_number(f) for f in latencies)
    return BackendSnapshot(
        name,
        _parse_number(boot_time, most=float("inf")),
        _parse_number(weight),
        known,
        _parse_number(failure_rate, most=1.0),
    )


def _parse_number(value: Any, most: float = MAX_NUMBER) -> float:
    if type(value) not in (int, float) or not isfinite(value) or not 0 <= value <= most:
        raise InvalidSnapshot(f"{value!r} is no such figure")
    return float(value)


class SnapshotStore:
    """Restores the balancer's snapshot at the start and saves it while the agent runs."""

    def __init__(self, agent: Agent, store: Store, most_age: float | None) -> None:
        """A snapshot older than `most_age` ms by the wall clock is not used.

        With None its age is not checked: an estimate applies to the same process of a backend, by its boot
        time, and to no other.
        """
        self._agent = agent
        self._store = store
        self._most_age = most_age

    def restore(self, contents: FileContents) -> None:
        """Restores the snapshot of the previous process, if it still applies."""
        log = self._agent.log
        if contents.lost:
            log.event("store lost", bytes=contents.lost, why=contents.why)
        try:
            snapshot, age = self._read(contents)
        except InvalidSnapshot as why:
            log.event("carried nothing", why=str(why))
            return
        if not self._agent.balancer.restore(snapshot):
            log.event("carried nothing", why="other SLOs or another kind of weights")
            return
        log.event("carried", backends=len(snapshot.backends), age_ms=round(age))

    def _read(self, contents: FileContents) -> tuple[PolicySnapshot, float]:
        raw = trust.restorable(contents.state).get(KEY)
        if raw is None:
            raise InvalidSnapshot(contents.why or "nothing learnt")
        at, snapshot = parse_snapshot(raw)
        age = self._agent.clock.now() - at
        most = self._most_age
        if most is not None and not 0 <= age <= most:
            raise InvalidSnapshot(f"{age / 1000:.0f} s old")
        return snapshot, age

    async def save(self) -> None:
        """Saves a snapshot for the next process; the event loop continues while the disk syncs."""
        snapshot = self._agent.balancer.snapshot()
        # Guards against a process that never received a list and would overwrite the snapshot of another.
        if snapshot.backends:
            self._store.put(KEY, encode_snapshot(snapshot, self._agent.clock.now()))
        if not await self._store.flush():
            self._agent.counters.others["store: not written"] += 1

    async def save_periodically(self) -> None:
        """Saves a snapshot every `SAVE_INTERVAL_S`."""
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            await self.save()
