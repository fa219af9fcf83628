"""Random power losses of small fleets: whether the rules are kept, and the share of possible value served.

    python benchmarks/random_power_losses.py 1000 --first 1 [--alone] [--share] [--processes]

Each number seeds a fleet with its own load, order of recovery, and faults of disks, clocks and links.
Agents cooperate unless `--alone` is given. Prints one line of JSON, which names the numbers of broken
runs; `--first N 1` repeats run N.
"""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from lupinreach.bed.world.random_streams import random_stream
from lupinreach.trial import play, spec

SHARE_INTERVAL_MS = 300.0  # between two updates of shared state
PARALLEL_RUNS = 5  # fleets of processes that run at the same time


def draw_trial(number: int, cooperating: bool, processes: bool, share: bool = False) -> dict[str, Any]:
    """The trial of a number, in the format of a trial file."""
    rng = random_stream(number, "drawn losses")

    def uniform(low: float, high: float) -> float:
        return low + (high - low) * float(rng.random())

    def with_probability(probability: float) -> bool:
        return bool(rng.random() < probability)

    agents, backends = int(uniform(3, 7 if processes else 13)), int(uniform(4, 7 if processes else 13))
    cores = int(uniform(1, 3))
    length = 9.0 if processes else 16.0
    power: dict[str, Any] = {"kind": "power", "at": 4.0, "agents": round(uniform(0.5, 2.0), 2)}
    if with_probability(0.8):
        power["backends"] = round(uniform(0.5, 3.0), 2)
        if with_probability(0.3):
            power["over"] = {"backends": round(uniform(0.5, 3.0), 2)}
    if with_probability(0.8):
        power["registry"] = round(uniform(0.3, 4.0), 2)
        if with_probability(0.4):
            power["registry_older"] = round(uniform(1.0, 3.5), 2)
    if with_probability(0.2):
        power["rack"] = "b"
    troubles: list[dict[str, Any]] = []
    if with_probability(0.6):
        troubles.append({"kind": "drain", "at": round(uniform(1.0, 3.0), 2), "seconds": 30, "targets": [0]})
    for kind, options in (
        ("disk-older", {"share": 0.5, "strength": 2}),
        ("disk-other", {"share": 0.3}),
        ("disk-torn", {"share": 0.4, "strength": 0.5}),
        ("disk-stuck", {"share": 0.4, "seconds": 6}),
    ):
        if with_probability(0.3):
            troubles.append({"kind": kind, "at": 4.2, "seconds": 1} | options)
    for kind, options in (
        ("clock-agents", {"share": 0.4, "at": 3.9, "strength": uniform(-1e5, 1e5)}),
        ("deaf-agents", {"share": 0.34, "at": 4.3}),
        ("datagrams-late", {"share": 0.3, "at": 0, "strength": 500}),
        ("datagrams-doubled", {"at": 0, "strength": 0.3}),
        ("loss", {"at": 4.0, "strength": 0.05}),
        ("cut", {"at": 5.0, "targets": ["b"]}),
    ):
        if with_probability(0.2):
            troubles.append({"kind": kind, "seconds": round(uniform(1.0, 4.0), 2)} | options)
    replays = with_probability(0.5)
    return {
        "name": f"drawn-{number}",
        "mode": "loopback" if processes else "virtual",
        "seconds": length,
        "zones": ["a", "b"],
        "agents": {
            "count": agents,
            "store": cooperating,
            "fleet": cooperating,
            "ran": cooperating,
            "share_ms": SHARE_INTERVAL_MS if share else 0.0,
        },
        "clients": {"replays": replays and cooperating},
        "limits": {"peers": cooperating},
        "backends": [{"count": backends, "cores": cores, "speed": [0.6, 1.5]}],
        "products": [
            {"name": "look", "work": 30, "slo": 500, "timeout": 1500},
            {"name": "pay", "kind": "non-idempotent", "work": 30, "slo": 500, "timeout": 1500, "value": 5},
        ],
        "traffic": {
            "calls_per_s": round(min(90.0 if processes else 300.0, uniform(0.2, 0.7) * backends * cores * 33))
        },
        "backend": {"choke_at": 4, "choke_after": 1500, "choke_slower": 2.5},
        "rules": {
            "cold": 4000.0,
            "drain_grace": 500.0,
            "fall": 1000.0,
            "start_capacity": round(uniform(0.1, 0.5), 2),
            "ask_within": 4000.0,
        },
        "registry": {
            "lag": [100, 300],
            "silent_lag": [500, 900],
            "call_cost": round(uniform(0.0, 40.0)),
            "ask": with_probability(0.7),
        },
        "faults": [power],
        "troubles": troubles,
    }


def run_job(job: tuple[int, bool, bool, bool]) -> dict[str, Any]:
    """Runs one trial and returns its verdict and recovery metrics."""
    number, cooperating, processes, share = job
    played = play.run(spec.read(draw_trial(number, cooperating, processes, share)), number)
    return {
        "number": number,
        "verdict": played.verdict,
        "unsure": played.unsure,
        "breaches": sorted({b.name for b in played.result.violations}),
        "cold_load": round(played.recovery.cold_load, 3),
        "to_draining": played.recovery.to_draining,
        "first_10s": played.recovery.first_10s,
    }


@click.command()
@click.argument("many", type=click.IntRange(1))
@click.option("--first", type=click.IntRange(0), default=1)
@click.option("--alone", is_flag=True, help="agents without stores that do not know of each other")
@click.option("--share", is_flag=True, help="agents share their observations")
@click.option(
    "--processes", is_flag=True, help="each part is a process; `PARALLEL_RUNS` runs at the same time"
)
def main(many: int, first: int, alone: bool, share: bool, processes: bool) -> None:
    """Runs the trials of MANY numbers and prints their summary."""
    jobs = [(n, not alone, processes, share) for n in range(first, first + many)]
    with ProcessPoolExecutor(PARALLEL_RUNS if processes else None) as pool:
        results = list(pool.map(run_job, jobs, chunksize=1 if processes else 4))
    worst = sorted(results, key=lambda run: -run["cold_load"])[:3]
    print(
        json.dumps(
            {
                "played": len(results),
                "in_touch": not alone,
                "share": share,
                "broken": [run for run in results if run["verdict"] == play.BROKEN],
                "unsure": sum(run["verdict"] == play.UNSURE for run in results),
                "to_draining": sum(run["to_draining"] for run in results),
                "sent_to_draining_in": [run["number"] for run in results if run["to_draining"]],
                "first_10s": round(sum(run["first_10s"] for run in results) / len(results), 4),
                "cold_load": [[run["number"], run["cold_load"]] for run in worst],
            }
        )
    )


if __name__ == "__main__":
    main()
