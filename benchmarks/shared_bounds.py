"""Shared state relative to its bounds, at every update of every agent, while parts of the fleet fail.

    python benchmarks/shared_bounds.py --agents 12 --seeds 20 [--seconds 20]

Prints one line of JSON per fault case. Each value is the highest ratio of an observation to its bound
(`grants.upper_bound`, `observations.max_diverted_share`, `counts.rate_bound`); above 1 the bound is
violated. Runs in virtual time. Agents get unequal demand for trials, so that they lend shares to each
other.
"""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from lupinreach.bed.ways import virtual
from lupinreach.ops.sharing import Sharing
from lupinreach.trial import bounds, play, spec

CASES: dict[str, list[dict[str, Any]]] = {
    "nothing": [],
    "a slow tenth": [{"kind": "slow", "at": 2, "seconds": 9, "share": 0.15, "strength": 8}],
    "a third hears nothing": [{"kind": "deaf-agents", "at": 3, "seconds": 7, "share": 0.34}],
    "two halves": [{"kind": "cut", "at": 3, "seconds": 6, "targets": ["b"]}],
    "one way": [{"kind": "dumb-agents", "at": 3, "seconds": 6, "share": 0.4}],
    "words lost, doubled, late": [
        {"kind": "loss", "at": 2, "seconds": 9, "strength": 0.3},
        {"kind": "datagrams-doubled", "at": 0, "seconds": 20, "strength": 0.4},
        {"kind": "datagrams-late", "at": 0, "seconds": 20, "share": 0.4, "strength": 2000},
    ],
    "a part restarts again and again": [
        {"kind": "kill-agents", "at": at, "seconds": 0.5, "targets": [0, 1]} for at in (3, 6, 9)
    ]
    + [
        {"kind": "disk-torn", "at": at + 0.1, "seconds": 0.1, "targets": [0, 1], "strength": 0.0}
        for at in (3, 6, 9)
    ],
    "sleepers": [{"kind": "sleep-agents", "at": 4, "seconds": 4, "share": 0.4}],
    "clocks that drift": [
        {"kind": "drift-agents", "at": 0, "seconds": 20, "share": 0.5, "strength": 0.01},
        {"kind": "kill-agents", "at": 2, "seconds": 0.3, "share": 1.0},
    ],
    "cold and called bad": [{"kind": "crash", "at": 3, "seconds": 1, "share": 0.4}],
    "deaf at the peak": [
        {"kind": "deaf-agents", "at": 4, "seconds": 5, "share": 1.0},
        {"kind": "surge", "at": 3, "seconds": 6, "strength": 2.5},
    ],
    "power": [{"kind": "kill-agents", "at": 4, "seconds": 0.6, "share": 1.0}],
}


def world(case: str, agents: int, seconds: float) -> dict[str, Any]:
    """The trial of a case, in the format of a trial file."""
    return {
        "name": case,
        "seconds": seconds,
        "zones": ["a", "b"],
        "troubles": CASES[case],
        "agents": {"count": agents, "store": True, "fleet": True, "share_ms": 300, "zipf": 0.8},
        "limits": {"peers": True},
        "backends": [{"count": 12, "cores": 1, "speed": [0.7, 1.3]}],
        "products": [
            {"name": "look", "work": 30, "slo": 500, "timeout": 1500},
            {"name": "pay", "kind": "non-idempotent", "work": 30, "slo": 500, "timeout": 1500, "value": 5},
        ],
        "customers": [
            {"name": "one", "share": 0.6},
            {"name": "two", "share": 0.3},
            {"name": "three", "share": 0.1},
        ],
        "traffic": {"calls_per_s": 120},
        "rules": {"cold": 4000.0, "drain_grace": 500.0, "fall": 1000.0},
    }


def run_case(
    case: str, seed: int, agents: int = 12, seconds: float = 20.0
) -> tuple[play.TrialRun, dict[str, float]]:
    """Runs one case; returns the run and the highest ratio of each observation to its bound."""

    def wanted_trials(part: Sharing) -> float:  # unequal demand, so that agents lend to each other
        return 1e3 if part.observations.me % 3 == 0 else 0.0

    with bounds.watch_bounds(agents, wanted_trials) as monitor:
        trial = spec.read(world(case, agents, seconds))
        return play.judge(trial, seed, virtual.play(trial.world, seed)), dict(monitor.maxima)


def run_job(job: tuple[str, int, int, float]) -> dict[str, Any]:
    """The highest ratios of one run, and whether it kept the rules."""
    case, seed, agents, seconds = job
    run, most = run_case(case, seed, agents, seconds)
    return most | {"kept": run.verdict == play.KEPT}


@click.command()
@click.option("--agents", type=click.IntRange(2), default=12)
@click.option("--seeds", type=click.IntRange(1), default=20)
@click.option("--seconds", type=click.FloatRange(10.0), default=20.0)
def main(agents: int, seeds: int, seconds: float) -> None:
    """Runs all cases with several seeds and prints one line per case."""
    jobs = [(case, seed, agents, seconds) for case in CASES for seed in range(seeds)]
    with ProcessPoolExecutor() as pool:
        results = pool.map(run_job, jobs)
        for case in CASES:
            runs = [next(results) for _ in range(seeds)]
            print(
                json.dumps(
                    {
                        "case": case,
                        "agents": agents,
                        "seeds": seeds,
                        "broken": sum(not r["kept"] for r in runs),
                        **{k: round(max(r[k] for r in runs), 4) for k in bounds.CHECKED_BOUNDS},
                        "leases": round(sum(r["lent"] for r in runs) / sum(r["looks"] for r in runs), 2),
                    }
                ),
                flush=True,
            )


if __name__ == "__main__":
    main()
