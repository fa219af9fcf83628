"""The value of sharing: agents alone, agents that share state, and a policy that sees the true state.

    python benchmarks/sharing_value.py --agents 40 --agents 200 --seeds 5 [--day slow] [--share-ms 500]

All modes run the same scenarios and seeds in virtual time. Prints one line of JSON per scenario and number
of agents: the share of possible value served in the whole run and in its worst ten seconds, and the share
of attempts whose answer no client received.
"""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from lupinreach.bed.world import spec as beds
from lupinreach.trial import play, spec

DURATION_S = 30.0
SCENARIOS: dict[str, list[dict[str, Any]]] = {
    "calm": [],
    "slow": [{"kind": "slow", "at": 6, "seconds": 18, "share": 0.125, "strength": 4}],
    "silent": [{"kind": "silent", "at": 6, "seconds": 18, "share": 0.125, "strength": 1}],
    "failing": [{"kind": "fail", "at": 6, "seconds": 18, "share": 0.125, "strength": 0.5}],
    "crash": [{"kind": "crash", "at": 6, "seconds": 4, "share": 0.25}],
    "cut": [{"kind": "cut", "at": 6, "seconds": 6, "targets": ["south"]}],
    "replace": [{"kind": "replace", "at": 6, "seconds": 3, "share": 0.5}],
    "overload": [{"kind": "surge", "at": 6, "seconds": 10, "strength": 2}],
    # No datagram between agents arrives before the end of the run, which includes an overload.
    "deaf": [
        {"kind": "datagrams-late", "at": 4, "seconds": 26, "share": 1.0, "strength": 60_000},
        {"kind": "surge", "at": 6, "seconds": 10, "strength": 2},
    ],
}


def world(scenario: str, agents: int, mode: str, share_interval_ms: float) -> dict[str, Any]:
    """The trial of a scenario and mode, in the format of a trial file."""
    raw = dict(beds.load(spec.TRIALS_DIR / "fleet.toml", spec.SEARCH_DIRS))
    cooperating, sharing = mode in ("touch", "shared"), mode == "shared"
    raw |= {
        "name": scenario,
        "seconds": DURATION_S,
        "troubles": SCENARIOS[scenario],
        "agents": raw["agents"]
        | {
            "count": agents,
            "store": cooperating,
            "fleet": cooperating,
            "share_ms": share_interval_ms if sharing else 0.0,
        },
        "limits": raw.get("limits", {}) | {"peers": cooperating},
        "policy": "true-state" if mode == "true" else "lupinreach",
    }
    return raw


def run_job(job: tuple[str, int, str, float, float, int]) -> dict[str, Any]:
    """Runs one trial and returns its shares of value and its rule violations."""
    scenario, agents, mode, share_interval_ms, seconds, seed = job
    played = play.run(
        spec.read(world(scenario, agents, mode, share_interval_ms) | {"seconds": seconds}), seed
    )
    rows = [second for second in played.seconds if second.possible]
    window_shares = [
        sum(second.served for second in rows[start : start + 10])
        / sum(second.possible for second in rows[start : start + 10])
        for start in range(len(rows) - 9)
    ]
    return {
        "kept": played.verdict == play.KEPT,
        "whole": sum(second.served for second in rows) / sum(second.possible for second in rows),
        "worst": min(window_shares),
        "wasted": sum(second.wasted for second in rows) / max(1, sum(second.shots for second in rows)),
        "breaches": sorted({b.name for b in played.result.violations}),
    }


@click.command()
@click.option("--agents", multiple=True, type=click.IntRange(1), default=(40,))
@click.option("--seeds", type=click.IntRange(1), default=3)
@click.option(
    "--day", "scenarios", multiple=True, type=click.Choice(list(SCENARIOS)), default=tuple(SCENARIOS)
)
@click.option("--share-ms", type=click.FloatRange(50.0), default=500.0)
@click.option(
    "--how",
    "modes",
    multiple=True,
    type=click.Choice(["alone", "touch", "shared", "true"]),
    default=("alone", "shared", "true"),
)
@click.option("--seconds", type=click.FloatRange(10.0), default=DURATION_S)
@click.option("--workers", type=click.IntRange(1), default=None)
def main(
    agents: tuple[int, ...],
    seeds: int,
    scenarios: tuple[str, ...],
    share_ms: float,
    modes: tuple[str, ...],
    seconds: float,
    workers: int | None,
) -> None:
    """Runs all scenarios and modes and prints one line per scenario and number of agents."""
    jobs = [
        (scenario, agent_count, mode, share_ms, seconds, 100 + seed)
        for agent_count in agents
        for scenario in scenarios
        for mode in modes
        for seed in range(seeds)
    ]
    with ProcessPoolExecutor(workers) as pool:
        results = pool.map(run_job, jobs)
        for agent_count in agents:
            for scenario in scenarios:
                line: dict[str, Any] = {"day": scenario, "agents": agent_count}
                for mode in modes:
                    runs = [next(results) for _ in range(seeds)]
                    line[mode] = {
                        k: round(sum(r[k] for r in runs) / seeds, 4) for k in ("whole", "worst", "wasted")
                    }
                    line[mode] |= {"broken": sorted({b for r in runs for b in r["breaches"]})}
                print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
