"""What each part of the return from a power loss is worth: the same trials and seeds with one part switched off at a time.

    python benchmarks/recovery_ablation.py [--seeds 2] [--agents 40] [--trial power-in-touch ...]

One line of JSON a trial and part: served of the possible in the first 10 and 20 s, shots to draining backends, the greatest cold load, most
calls told in one second, and what rule broke. Virtual time; `all` is the program as it is.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from lupinreach.balance import Balancer
from lupinreach.bed.world import spec as beds
from lupinreach.fleet.uptimes import Uptimes
from lupinreach.ops import fleet_agent
from lupinreach.trial import play, spec

TRIALS = "power-in-touch", "drains-in-touch", "power-one-by-one"
TOUCH = {"store": True, "fleet": True, "ran": True, "share_ms": 500}
EMPTIED = {
    "kind": "disk-torn",
    "at": 10.5,
    "seconds": 1,
    "share": 1.0,
    "strength": 0.0,
}  # after the loss, before the return


def nothing() -> None:
    pass


def asks_nobody() -> None:
    fleet_agent.FleetAgent._query_targets = lambda self: []  # type: ignore[method-assign]


def earns_by_warm_ones_alone() -> None:
    Balancer._cold_credit_rates = lambda self, now, passed: {}  # type: ignore[method-assign]


def in_step() -> None:
    fleet_agent.QUERY_DELAY_SPREAD = 0.0
    Balancer._initial_credit = lambda self: 0.0  # type: ignore[method-assign]


def no_word_of_who_stands() -> None:
    Uptimes.since = lambda self, began, refused: {}  # type: ignore[method-assign]


PARTS: dict[str, tuple[Callable[[], None], list[dict[str, Any]]]] = {
    "all": (nothing, []),
    "without the store": (nothing, [EMPTIED]),
    "without asking others": (asks_nobody, []),
    "without rising": (earns_by_warm_ones_alone, []),
    "without spreading": (in_step, []),
    "without who stands": (no_word_of_who_stands, []),
}


def one(job: tuple[str, str, int, int]) -> dict[str, Any]:
    name, part, agents, seed = job
    switch, troubles = PARTS[part]
    switch()  # this process plays one run
    raw = dict(beds.load(spec.TRIALS / f"{name}.toml", spec.FOLDERS))
    raw |= {
        "agents": raw["agents"] | TOUCH | {"count": agents},
        "limits": raw.get("limits", {}) | {"peers": True},
        "clients": raw.get("clients", {}) | {"replays": True},
        "troubles": [*raw.get("troubles", []), *troubles],
    }
    played = play.run(spec.read(raw), seed)
    return {
        "first_10s": played.recovery.first_10s,
        "first_20s": played.recovery.first_20s,
        "to_draining": played.recovery.to_draining,
        "cold_load": played.recovery.cold_load,
        "queries": played.recovery.queries,
        "broken": sorted({b.name for b in played.result.breaches}),
    }


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=2)
@click.option("--agents", type=click.IntRange(1), default=40)
@click.option("--trial", "trials", multiple=True, default=TRIALS)
@click.option("--workers", type=click.IntRange(1), default=None)
def main(seeds: int, agents: int, trials: tuple[str, ...], workers: int | None) -> None:
    jobs = [(name, part, agents, 41 + seed) for name in trials for part in PARTS for seed in range(seeds)]
    with ProcessPoolExecutor(workers, max_tasks_per_child=1) as pool:
        found = pool.map(one, jobs)
        for name in trials:
            for part in PARTS:
                runs = [next(found) for _ in range(seeds)]
                means = {k: round(sum(r[k] for r in runs) / seeds, 4) for k in ("first_10s", "first_20s")}
                print(
                    json.dumps(
                        {"trial": name, "part": part, "agents": agents, "seeds": seeds}
                        | means
                        | {
                            "to_draining": sum(r["to_draining"] for r in runs),
                            "cold_load": round(max(r["cold_load"] for r in runs), 3),
                            "queries": max(r["queries"] for r in runs),
                            "broken": sorted({b for r in runs for b in r["broken"]}),
                        }
                    ),
                    flush=True,
                )


if __name__ == "__main__":
    main()
