"""A trial: a world of the bed's, what fails in it as a whole, and what is expected. Strict, as worlds are.

A trial's file holds a world's tables and three of its own: `[[faults]]`, which become troubles of the world;
`since`, from when recovery is counted; and `[expect]`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import inf
from pathlib import Path
from typing import Any

from lupinreach.bed.world import spec as beds
from lupinreach.bed.world.spec import StrictSection, Trouble, World
from lupinreach.config import BadConfig

TRIALS = Path(__file__).parent / "trials"
FOLDERS = (TRIALS, beds.WORLDS_DIR)
NEVER = 86_400.0  # s: longer than any run
FIGURES = (
    "first_10s",
    "first_20s",
    "whole",
    "done_10s",
    "done_20s",
    "back_after",
    "to_draining",
    "cold_load",
)
AT_MOST = (
    "back_after",
    "to_draining",
    "cold_load",
)  # what is expected of these is a most, of the others a least


@dataclass(frozen=True)
class Trial:
    """What is played and judged."""

    world: World
    since: float  # ms: recovery counts from here
    expect: tuple[tuple[str, float], ...]  # figure, and its least (or most)

    def missed(self, found: Mapping[str, float]) -> list[str]:
        """What is not as expected, as a line each."""
        lines = []
        for name, bound in self.expect:
            value = found[name]
            if value > bound if name in AT_MOST else value < bound:
                lines.append(
                    f"expect.{name}: {value:.3f}, wanted {'at most' if name in AT_MOST else 'at least'} {bound:g}"
                )
        return lines


def read_file(path: str | Path) -> Trial:
    """A trial from a TOML file, or one that comes with it by its name; BadConfig names the key."""
    return read(beds.load(Path(path), FOLDERS))


def read(raw: Mapping[str, Any]) -> Trial:
    tables = dict(raw)
    top = StrictSection({k: tables.pop(k) for k in ("faults", "since", "expect") if k in tables})
    faults = top.sections("faults")
    # The world is read with its own troubles first, so that the faults can name its zones and count its machines.
    world = beds.read(tables)
    begins, troubles = inf, list(world.troubles)
    for fault in faults:
        added, first_back = _power(fault, world)
        troubles += added
        begins = min(begins, first_back)
    if begins == inf:
        begins = min((t.at + t.length for t in world.troubles), default=0.0)
    since = top.number("since", begins / 1000, high=world.length / 1000) * 1000
    expect = _expect(top.section("expect"))
    top.reject_unknown_keys()
    return Trial(replace(world, troubles=tuple(troubles)), since, expect)


def _expect(s: StrictSection) -> tuple[tuple[str, float], ...]:
    found = []
    for name in FIGURES:
        bound = s.number(name, -1.0, low=-1.0)
        if bound >= 0:
            found.append((name, bound))
    s.reject_unknown_keys()
    return tuple(found)


def _power(s: StrictSection, world: World) -> tuple[list[Trouble], float]:
    """Power fails at `at`; each of agents, backends and registry returns so many s later, or is not struck at all.

    `over` spreads a return, one machine after the other; `rack` names the one zone that is struck. `never` in
    place of a time: it stays down. Also returns when the first that is needed for service is back, in ms.
    """
    s.choice("kind", {"power": "power"})
    at = s.number("at", low=0.0) * 1000
    rack = s.text("rack", "")
    if rack and rack not in world.zones:
        raise BadConfig(f"{s.at('rack')}: {rack!r} is none of {', '.join(world.zones)}")
    zone = world.zones.index(rack) if rack else None
    agents = [n for n in range(world.agents) if zone is None or n % len(world.zones) == zone]
    backends, number = [], 0
    for kind in world.backends:
        zones = kind.zones or tuple(range(len(world.zones)))
        for i in range(kind.count):
            if zone is None or zones[i % len(zones)] == zone:
                backends.append(number)
            number += 1
    over = s.section("over")
    troubles: list[Trouble] = []
    back = []
    for key, kind, some in (("agents", "kill-agents", agents), ("backends", "crash", backends)):
        returns, spread = _returns(s, key), over.number(key, 0.0) * 1000
        if returns is None or not some:
            continue
        if spread:
            troubles += [
                Trouble(kind, at, returns + spread * i / len(some), 0.0, (n,), 0.0)
                for i, n in enumerate(some)
            ]
        else:
            troubles.append(Trouble(kind, at, returns, 0.0, tuple(some), 0.0))
        back.append(at + returns)
    returns = _returns(s, "registry")
    if returns is not None:
        older = s.number("registry_older", 0.0) * 1000
        troubles.append(
            Trouble("registry-older" if older else "registry-down", at, returns, 0.0, (), older / 1000)
        )
    if not troubles:
        raise BadConfig(
            f"{s.at('agents')}: nothing is struck; give agents, backends or registry a time to return"
        )
    over.reject_unknown_keys()
    s.reject_unknown_keys()
    return troubles, max(back, default=at)


def _returns(s: StrictSection, key: str) -> float | None:
    if isinstance(s._get(key, None), str):
        s.choice(key, {"never": NEVER})
        return NEVER * 1000
    value = s.number(key, -1.0, low=-1.0)
    return None if value < 0 else value * 1000
