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
from lupinreach.store.records import Found
from lupinreach.store.store import Store

FORM = 1  # of the value; another one is none
LEARNT = "learnt"  # its key
MOST_BACKENDS = 4096
MOST_FIGURE = 1e7  # ms, and size: more than any deployment has
EVERY = 5.0  # s between two writings, so that a process killed outright leaves one


class Unfit(ValueError):
    """The file can't be used; the text says why."""


def plain(learnt: PolicySnapshot, at: float) -> dict[str, Any]:
    """The value; of more backends than it may name, the rest is left out."""
    return {
        "form": FORM,
        "at": at,
        "slos": learnt.slos,
        "live_weights": learnt.live_weights,
        "usual": learnt.slo_latencies,
        "backends": [
            (m.name, m.boot_time, m.weight, m.latencies_ms, m.failure_rate)
            for m in learnt.backends[:MOST_BACKENDS]
        ],
    }


def parse_snapshot(raw: Any) -> tuple[float, PolicySnapshot]:
    """When the value was put, and what it holds: read whole before any of it counts."""
    try:
        if raw["form"] != FORM:
            raise Unfit(f"form {raw['form']!r}")
        slos = tuple(map(_figure, raw["slos"]))
        usual = tuple(tuple(map(_figure, four)) for four in raw["usual"])
        met = tuple(_met(*row, len(slos)) for row in raw["backends"])
        at, live = _figure(raw["at"], most=float("inf")), raw["live_weights"]
    except Unfit:
        raise
    except (KeyError, TypeError, ValueError):
        raise Unfit("torn or no such value") from None
    if type(live) is not bool or len(usual) != len(slos) or any(len(four) != 4 for four in usual):
        raise Unfit("parts that don't fit together")
    if len(met) > MOST_BACKENDS:
        raise Unfit("too many backends")
    return at, PolicySnapshot(slos, live, usual, met)  # type: ignore[arg-type]  # fours, as just checked


def _met(name: Any, boot_time: Any, listed: Any, figures: Any, ill: Any, slos: int) -> BackendSnapshot:
    if type(name) is not int or len(figures) != slos:
        raise Unfit("a backend that doesn't fit")
    known = tuple(None if f is None else _figure(f) for f in figures)
    return BackendSnapshot(
        name, _figure(boot_time, most=float("inf")), _figure(listed), known, _figure(ill, most=1.0)
    )


def _figure(value: Any, most: float = MOST_FIGURE) -> float:
    if type(value) not in (int, float) or not isfinite(value) or not 0 <= value <= most:
        raise Unfit(f"{value!r} is no such figure")
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

    def restore(self, found: Found) -> None:
        """Begin with what the process before has left, if it still means the same."""
        log = self._agent.log
        if found.lost:
            log.event("store lost", bytes=found.lost, why=found.why)
        try:
            learnt, age = self._read(found)
        except Unfit as why:
            log.event("carried nothing", why=str(why))
            return
        if not self._agent.balancer.restore(learnt):
            log.event("carried nothing", why="other SLOs or another kind of weights")
            return
        log.event("carried", backends=len(learnt.backends), age_ms=round(age))

    def _read(self, found: Found) -> tuple[PolicySnapshot, float]:
        raw = trust.restorable(found.state).get(LEARNT)
        if raw is None:
            raise Unfit(found.why or "nothing learnt")
        at, learnt = parse_snapshot(raw)
        age = self._agent.clock.now() - at
        most = self._most_age
        if most is not None and not 0 <= age <= most:
            raise Unfit(f"{age / 1000:.0f} s old")
        return learnt, age

    async def save(self) -> None:
        """Put it for the process that comes next; the event loop serves on while the disk syncs."""
        learnt = self._agent.balancer.snapshot()
        # Guards against a process that never saw a list and would wipe out what another has left.
        if learnt.backends:
            self._store.put(LEARNT, plain(learnt, self._agent.clock.now()))
        if not await self._store.flush():
            self._agent.counters.others["store: not written"] += 1

    async def save_periodically(self) -> None:
        while True:
            await asyncio.sleep(EVERY)
            await self.save()
