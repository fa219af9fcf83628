"""What one process has learnt of the backends, handed to the next by the agent's store: put, taken, judged.

The value says what it is of: its form, its time, the SLOs and the kind of weights. Whatever is wrong with it,
the agent starts with nothing, as it does without a store, and the log says why.
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

FORMAT = 1  # of the value; another one is none
KEY = "learnt"  # its key
MAX_BACKENDS = 4096
MAX_NUMBER = 1e7  # ms, and size: more than any deployment has
SAVE_INTERVAL_S = 5.0  # s between two writings, so that a process killed outright leaves one


class InvalidSnapshot(ValueError):
    """The file can't be used; the text says why."""


def encode_snapshot(snapshot: PolicySnapshot, at: float) -> dict[str, Any]:
    """The value; of more backends than it may name, the rest is left out."""
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
    """When the value was put, and what it holds: read whole before any of it counts."""
    try:
        if raw["form"] != FORMAT:
            raise InvalidSnapshot(f"form {raw['form']!r}")
        slos = tuple(map(_parse_number, raw["slos"]))
        usual = tuple(tuple(map(_parse_number, four)) for four in raw["usual"])
        backends = tuple(_parse_backend(*row, len(slos)) for row in raw["backends"])
        at, live = _parse_number(raw["at"], most=float("inf")), raw["live_weights"]
    except InvalidSnapshot:
        raise
    except (KeyError, TypeError, ValueError):
        raise InvalidSnapshot("torn or no such value") from None
    if type(live) is not bool or len(usual) != len(slos) or any(len(four) != 4 for four in usual):
        raise InvalidSnapshot("parts that don't fit together")
    if len(backends) > MAX_BACKENDS:
        raise InvalidSnapshot("too many backends")
    return at, PolicySnapshot(slos, live, usual, backends)  # type: ignore[arg-type]  # fours, as just checked


def _parse_backend(
    name: Any, boot_time: Any, listed: Any, figures: Any, ill: Any, slos: int
) -> BackendSnapshot:
    if type(name) is not int or len(figures) != slos:
        raise InvalidSnapshot("a backend that doesn't fit")
    known = tuple(None if f is None else _parse_number(f) for f in figures)
    return BackendSnapshot(
        name,
        _parse_number(boot_time, most=float("inf")),
        _parse_number(listed),
        known,
        _parse_number(ill, most=1.0),
    )


def _parse_number(value: Any, most: float = MAX_NUMBER) -> float:
    if type(value) not in (int, float) or not isfinite(value) or not 0 <= value <= most:
        raise InvalidSnapshot(f"{value!r} is no such figure")
    return float(value)


class SnapshotStore:
    """What is handed on, as one process does it."""

    def __init__(self, agent: Agent, store: Store, most_age: float | None) -> None:
        """What is older than `most_age` ms by the wall clock starts nobody.

        With None no clock is asked: a figure counts for the same process of a backend, by its boot time, and for no other.
        """
        self._agent = agent
        self._store = store
        self._most_age = most_age

    def restore(self, found: FileContents) -> None:
        """Begin with what the process before has left, if it still means the same."""
        log = self._agent.log
        if found.lost:
            log.event("store lost", bytes=found.lost, why=found.why)
        try:
            snapshot, age = self._read(found)
        except InvalidSnapshot as why:
            log.event("carried nothing", why=str(why))
            return
        if not self._agent.balancer.restore(snapshot):
            log.event("carried nothing", why="other SLOs or another kind of weights")
            return
        log.event("carried", backends=len(snapshot.backends), age_ms=round(age))

    def _read(self, found: FileContents) -> tuple[PolicySnapshot, float]:
        raw = trust.restorable(found.state).get(KEY)
        if raw is None:
            raise InvalidSnapshot(found.why or "nothing learnt")
        at, snapshot = parse_snapshot(raw)
        age = self._agent.clock.now() - at
        most = self._most_age
        if most is not None and not 0 <= age <= most:
            raise InvalidSnapshot(f"{age / 1000:.0f} s old")
        return snapshot, age

    async def save(self) -> None:
        """Put it for the process that comes next; the event loop serves on while the disk syncs."""
        snapshot = self._agent.balancer.snapshot()
        # Guards against a process that never saw a list and would wipe out what another has left.
        if snapshot.backends:
            self._store.put(KEY, encode_snapshot(snapshot, self._agent.clock.now()))
        if not await self._store.flush():
            self._agent.counters.others["store: not written"] += 1

    async def save_periodically(self) -> None:
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            await self.save()
