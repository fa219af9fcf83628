"""A trial: a world of the test bed, the faults that strike it as a whole, and the expected metrics. Read strictly.

A trial file holds the tables of a world file and three keys of its own: `[[faults]]`, which become troubles
of the world; `since`, the time from which recovery is measured; and `[expect]`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import inf
from pathlib import Path
from typing import Any

from lupinreach.bed.world import spec as world_spec
from lupinreach.bed.world.spec import StrictSection, Trouble, World
from lupinreach.config import BadConfig

TRIALS_DIR = Path(__file__).parent / "trials"
SEARCH_DIRS = (TRIALS_DIR, world_spec.WORLDS_DIR)
NEVER_S = 86_400.0  # longer than any run
EXPECTABLE_METRICS = (
    "first_10s",
    "first_20s",
    "whole",
    "done_10s",
    "done_20s",
    "back_after",
    "to_draining",
    "cold_load",
)
UPPER_BOUNDED = (
    "back_after",
    "to_draining",
    "cold_load",
)  # expected not to exceed a bound; the other metrics are expected to reach one


@dataclass(frozen=True)
class Trial:
    """A world to run, and the metrics expected of the run."""

    world: World
    since: float  # ms; recovery is measured from this time on
    expect: tuple[tuple[str, float], ...]  # metric and its bound: upper for UPPER_BOUNDED, else lower

    def unmet_expectations(self, metrics: Mapping[str, float]) -> list[str]:
        """One line for each metric that is not as expected."""
        lines = []
        for name, bound in self.expect:
            value = metrics[name]
            if value > bound if name in UPPER_BOUNDED else value < bound:
                lines.append(
                    f"expect.{name}: {value:.3f}, wanted {'at most' if name in UPPER_BOUNDED else 'at least'} {bound:g}"
                )
        return lines


def read_file(path: str | Path) -> Trial:
    """Reads a trial from a TOML file, or a packaged one by its name; BadConfig names the faulty key."""
    return read(world_spec.load(Path(path), SEARCH_DIRS))


def read(raw: Mapping[str, Any]) -> Trial:
    """Reads a trial from the tables of its file; BadConfig names the faulty key."""
    tables = dict(raw)
    trial_section = StrictSection({k: tables.pop(k) for k in ("faults", "since", "expect") if k in tables})
    faults = trial_section.sections("faults")
    # The world is read first, since faults refer to its zones and to its numbers of agents and backends.
    world = world_spec.read(tables)
    recovery_begin, troubles = inf, list(world.troubles)
    for fault in faults:
        fault_troubles, last_return = _power_troubles(fault, world)
        troubles += fault_troubles
        recovery_begin = min(recovery_begin, last_return)
    if recovery_begin == inf:
        recovery_begin = min((t.at + t.length for t in world.troubles), default=0.0)
    since = trial_section.number("since", recovery_begin / 1000, high=world.length / 1000) * 1000
    expect = _expect(trial_section.section("expect"))
    trial_section.reject_unknown_keys()
    return Trial(replace(world, troubles=tuple(troubles)), since, expect)


def _expect(section: StrictSection) -> tuple[tuple[str, float], ...]:
    expectations = []
    for name in EXPECTABLE_METRICS:
        bound = section.number(name, -1.0, low=-1.0)
        if bound >= 0:
            expectations.append((name, bound))
    section.reject_unknown_keys()
    return tuple(expectations)


def _power_troubles(section: StrictSection, world: World) -> tuple[list[Trouble], float]:
    """The troubles of a power loss, and the time in ms at which both agents and backends have begun to return.

    Power fails at `at`. Agents, backends and the registry each return a given number of seconds later, never,
    or are not struck at all if no time is given. `over` spreads a return over that many seconds, one machine
    after the other. `rack` limits the fault to one zone.
    """
    section.choice("kind", {"power": "power"})
    at = section.number("at", low=0.0) * 1000
    rack = section.text("rack", "")
    if rack and rack not in world.zones:
        raise BadConfig(f"{section.at('rack')}: {rack!r} is none of {', '.join(world.zones)}")
    zone = world.zones.index(rack) if rack else None
    agents = [n for n in range(world.agents) if zone is None or n % len(world.zones) == zone]
    backends, backend_number = [], 0
    for kind in world.backends:
        zones = kind.zones or tuple(range(len(world.zones)))
        for i in range(kind.count):
            if zone is None or zones[i % len(zones)] == zone:
                backends.append(backend_number)
            backend_number += 1
    spread_section = section.section("over")
    troubles: list[Trouble] = []
    return_times = []
    for key, kind, targets in (("agents", "kill-agents", agents), ("backends", "crash", backends)):
        returns, spread = _return_delay_ms(section, key), spread_section.number(key, 0.0) * 1000
        if returns is None or not targets:
            continue
        if spread:
            troubles += [
                Trouble(kind, at, returns + spread * i / len(targets), 0.0, (n,), 0.0)
                for i, n in enumerate(targets)
            ]
        else:
            troubles.append(Trouble(kind, at, returns, 0.0, tuple(targets), 0.0))
        return_times.append(at + returns)
    returns = _return_delay_ms(section, "registry")
    if returns is not None:
        age_ms = section.number("registry_older", 0.0) * 1000
        troubles.append(
            Trouble("registry-older" if age_ms else "registry-down", at, returns, 0.0, (), age_ms / 1000)
        )
    if not troubles:
        raise BadConfig(
            f"{section.at('agents')}: the fault strikes nothing; set a return time for agents, backends or registry"
        )
    spread_section.reject_unknown_keys()
    section.reject_unknown_keys()
    return troubles, max(return_times, default=at)


def _return_delay_ms(section: StrictSection, key: str) -> float | None:
    """The time in ms until a kind of machine returns; None if it is not struck."""
    if isinstance(section._get(key, None), str):
        section.choice(key, {"never": NEVER_S})
        return NEVER_S * 1000
    value = section.number(key, -1.0, low=-1.0)
    return None if value < 0 else value * 1000
