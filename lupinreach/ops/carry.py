"""What one process has learnt of the backends, handed to the next by one file: written, read, judged.

The file says what it is of: its form, its time, the SLOs and the kind of weights. Whatever is wrong with it,
the agent starts with nothing, as it does without a file, and the log says why.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import isfinite
from threading import Lock
from typing import Any

import orjson

from lupinreach.model import Learnt, Met
from lupinreach.net.agent import Agent
from lupinreach.ops.files import Disk, replace

FORM = 1  # of the file; another one is no file
MOST = 1 << 20  # bytes of it
MOST_BACKENDS = 4096
MOST_FIGURE = 1e7  # ms, and size: more than any deployment has
EVERY = 5.0  # s between two writings, so that a process killed outright leaves one


class Unfit(ValueError):
    """The file can't be used; the text says why."""


def written(learnt: Learnt, at: float) -> bytes:
    """The file's text; of more backends than it may name, the rest is left out."""
    return orjson.dumps({
        "form": FORM, "at": at, "slos": learnt.slos, "live_weights": learnt.live_weights,
        "usual": learnt.usual,
        "backends": [(m.name, m.boot_time, m.listed, m.figures, m.ill)
                     for m in learnt.backends[:MOST_BACKENDS]],
    })


def read(text: bytes) -> tuple[float, Learnt]:
    """When the file was written, and what it holds: read whole before any of it counts."""
    try:
        raw = orjson.loads(text)
        if raw["form"] != FORM:
            raise Unfit(f"form {raw['form']!r}")
        slos = tuple(map(_figure, raw["slos"]))
        usual = tuple(tuple(map(_figure, four)) for four in raw["usual"])
        met = tuple(_met(*row, len(slos)) for row in raw["backends"])
        at, live = _figure(raw["at"], most=float("inf")), raw["live_weights"]
    except Unfit:
        raise
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        raise Unfit("torn or no such file") from None
    if type(live) is not bool or len(usual) != len(slos) or any(len(four) != 4 for four in usual):
        raise Unfit("parts that don't fit together")
    if len(met) > MOST_BACKENDS:
        raise Unfit("too many backends")
    return at, Learnt(slos, live, usual, met)  # type: ignore[arg-type]  # fours, as just checked


def _met(name: Any, boot_time: Any, listed: Any, figures: Any, ill: Any, slos: int) -> Met:
    if type(name) is not int or len(figures) != slos:
        raise Unfit("a backend that doesn't fit")
    known = tuple(None if f is None else _figure(f) for f in figures)
    return Met(name, _figure(boot_time, most=float("inf")), _figure(listed), known, _figure(ill, most=1.0))


def _figure(value: Any, most: float = MOST_FIGURE) -> float:
    if type(value) not in (int, float) or not isfinite(value) or not 0 <= value <= most:
        raise Unfit(f"{value!r} is no such figure")
    return float(value)


class Carry:
    """The file, as one process uses it."""

    def __init__(self, agent: Agent, path: str, most_age: float, disk: Disk | None = None) -> None:
        self._agent = agent
        self._disk = disk or Disk()
        self._one = Lock()  # at a time: what is left at the end and a writing that hangs on its disk
        self._number = self._newest = 0
        self._path = path
        self._most_age = most_age

    def take(self) -> None:
        """Begin with what the process before has left, if it still means the same."""
        log = self._agent.log
        try:
            learnt, age = self._read()
        except (OSError, Unfit) as why:
            log.event("carried nothing", why=why.strerror if isinstance(why, OSError) else str(why))
            return
        if not self._agent.balancer.recall(learnt):
            log.event("carried nothing", why="other SLOs or another kind of weights")
            return
        log.event("carried", backends=len(learnt.backends), age_ms=round(age))

    def _read(self) -> tuple[Learnt, float]:
        text = self._disk.read(self._path, MOST + 1)
        if len(text) > MOST:
            raise Unfit("too long")
        at, learnt = read(text)
        age = self._agent.clock.now() - at
        if not 0 <= age <= self._most_age:
            raise Unfit(f"{age / 1000:.0f} s old")
        return learnt, age

    async def leave(self) -> None:
        """Write the file for the process that comes next; the event loop serves on while the disk syncs."""
        text = self._text()
        if text and not await self._disk.away(self._write(text)):
            self._agent.counters.others["carry: not written"] += 1

    def _text(self) -> bytes:
        learnt = self._agent.balancer.learnt()
        # Guards against a process that never saw a list and would wipe out what another has left.
        return written(learnt, self._agent.clock.now()) if learnt.backends else b""

    async def leave_on(self) -> None:
        while True:
            await asyncio.sleep(EVERY)
            await self.leave()

    def _write(self, text: bytes) -> Callable[[], bool]:
        self._number += 1
        number = self._number

        def write() -> bool:
            with self._one:
                if number < self._newest:
                    return True  # guards against a late thread that would put an older text over the last
                self._newest = number
                return replace(self._path, text, True, self._disk)

        return write
