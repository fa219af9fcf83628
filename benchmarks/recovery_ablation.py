"""Ablation of the recovery from a power loss: the same trials and seeds, with one mechanism disabled.

    python benchmarks/recovery_ablation.py [--seeds 2] [--agents 40] [--trial power-in-touch ...]

Prints one line of JSON per trial and disabled mechanism: the share of possible value served in the first
10 and 20 s, attempts sent to draining backends, the highest load of a cold backend relative to the rule,
the most answers of the registry in one second, and the rules violated. Runs in virtual time; `all`
disables nothing.
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
COOPERATION = {"store": True, "fleet": True, "ran": True, "share_ms": 500}
# Empties the stores after the power loss, before agents restart.
EMPTY_STORES = {
    "kind": "disk-torn",
    "at": 10.5,
    "seconds": 1,
    "share": 1.0,
    "strength": 0.0,
}


def change_nothing() -> None:
    """Leaves the program as it is."""
    pass


def disable_peer_queries() -> None:
    """A restarted agent queries no peers."""
    fleet_agent.FleetAgent._query_targets = lambda self: []  # type: ignore[method-assign]


def disable_cold_credit_rates() -> None:
    """Cold backends earn credit by the rate of warm ones even if hardly any are warm."""
    Balancer._cold_credit_rates = lambda self, now, passed: {}  # type: ignore[method-assign]


def disable_spreading() -> None:
    """Agents query peers without a random delay and give new backends equal initial credit."""
    fleet_agent.QUERY_DELAY_SPREAD = 0.0
    Balancer._initial_credit = lambda self: 0.0  # type: ignore[method-assign]


def disable_reported_uptimes() -> None:
    """Agents ignore the uptimes of cold backends that others report."""
    Uptimes.since = lambda self, began, refused: {}  # type: ignore[method-assign]


MECHANISMS: dict[str, tuple[Callable[[], None], list[dict[str, Any]]]] = {
    "all": (change_nothing, []),
    "without the store": (change_nothing, [EMPTY_STORES]),
    "without asking others": (disable_peer_queries, []),
    "without rising": (disable_cold_credit_rates, []),
    "without spreading": (disable_spreading, []),
    "without who stands": (disable_reported_uptimes, []),
}


def run_job(job: tuple[str, str, int, int]) -> dict[str, Any]:
    """Runs one trial with one mechanism disabled."""
    name, mechanism, agents, seed = job
    disable, troubles = MECHANISMS[mechanism]
    disable()  # not undone: each process runs one job
    raw = dict(beds.load(spec.TRIALS_DIR / f"{name}.toml", spec.SEARCH_DIRS))
    raw |= {
        "agents": raw["agents"] | COOPERATION | {"count": agents},
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
        "broken": sorted({b.name for b in played.result.violations}),
    }


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=2)
@click.option("--agents", type=click.IntRange(1), default=40)
@click.option("--trial", "trials", multiple=True, default=TRIALS)
@click.option("--workers", type=click.IntRange(1), default=None)
def main(seeds: int, agents: int, trials: tuple[str, ...], workers: int | None) -> None:
    """Runs all trials and mechanisms and prints one line for each pair."""
    jobs = [
        (name, mechanism, agents, 41 + seed)
        for name in trials
        for mechanism in MECHANISMS
        for seed in range(seeds)
    ]
    with ProcessPoolExecutor(workers, max_tasks_per_child=1) as pool:
        results = pool.map(run_job, jobs)
        for name in trials:
            for mechanism in MECHANISMS:
                runs = [next(results) for _ in range(seeds)]
                means = {k: round(sum(r[k] for r in runs) / seeds, 4) for k in ("first_10s", "first_20s")}
                print(
                    json.dumps(
                        {"trial": name, "part": mechanism, "agents": agents, "seeds": seeds}
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
