"""What sharing is worth: agents alone, sharing, and a policy that sees the true state, on the same days and seeds.

    python benchmarks/sharing_value.py --agents 40 --agents 200 --seeds 5 [--day slow] [--share-ms 500]

One line of JSON a day and number of agents: served of the possible over the whole, in the worst ten seconds, and the
share of shots that no client got an answer of. Virtual time.
"""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from lupinreach.bed.world import spec as beds
from lupinreach.trial import play, spec

LENGTH = 30.0
DAYS: dict[str, list[dict[str, Any]]] = {
    "calm": [],
    "slow": [{"kind": "slow", "at": 6, "seconds": 18, "share": 0.125, "strength": 4}],
    "silent": [{"kind": "silent", "at": 6, "seconds": 18, "share": 0.125, "strength": 1}],
    "failing": [{"kind": "fail", "at": 6, "seconds": 18, "share": 0.125, "strength": 0.5}],
    "crash": [{"kind": "crash", "at": 6, "seconds": 4, "share": 0.25}],
    "cut": [{"kind": "cut", "at": 6, "seconds": 6, "targets": ["south"]}],
    "replace": [{"kind": "replace", "at": 6, "seconds": 3, "share": 0.5}],
    "overload": [{"kind": "surge", "at": 6, "seconds": 10, "strength": 2}],
    # No word between agents comes before the end, at the peak of an overload.
    "deaf": [
        {"kind": "datagrams-late", "at": 4, "seconds": 26, "share": 1.0, "strength": 60_000},
        {"kind": "surge", "at": 6, "seconds": 10, "strength": 2},
    ],
}


def world(day: str, agents: int, how: str, share: float) -> dict[str, Any]:
    raw = dict(beds.load(spec.TRIALS / "fleet.toml", spec.FOLDERS))
    touch, shares = how in ("touch", "shared"), how == "shared"
    raw |= {
        "name": day,
        "seconds": LENGTH,
        "troubles": DAYS[day],
        "agents": raw["agents"]
        | {"count": agents, "store": touch, "fleet": touch, "share_ms": share if shares else 0.0},
        "limits": raw.get("limits", {}) | {"peers": touch},
        "policy": "true-state" if how == "true" else "lupinreach",
    }
    return raw


def one(job: tuple[str, int, str, float, float, int]) -> dict[str, Any]:
    day, agents, how, share, seconds, seed = job
    played = play.run(spec.read(world(day, agents, how, share) | {"seconds": seconds}), seed)
    rows = [s for s in played.seconds if s.possible]
    tens = [
        sum(s.served for s in rows[i : i + 10]) / sum(s.possible for s in rows[i : i + 10])
        for i in range(len(rows) - 9)
    ]
    return {
        "kept": played.verdict == play.KEPT,
        "whole": sum(s.served for s in rows) / sum(s.possible for s in rows),
        "worst": min(tens),
        "wasted": sum(s.wasted for s in rows) / max(1, sum(s.shots for s in rows)),
        "breaches": sorted({b.name for b in played.result.breaches}),
    }


@click.command()
@click.option("--agents", multiple=True, type=click.IntRange(1), default=(40,))
@click.option("--seeds", type=click.IntRange(1), default=3)
@click.option("--day", "days", multiple=True, type=click.Choice(list(DAYS)), default=tuple(DAYS))
@click.option("--share-ms", type=click.FloatRange(50.0), default=500.0)
@click.option(
    "--how",
    "hows",
    multiple=True,
    type=click.Choice(["alone", "touch", "shared", "true"]),
    default=("alone", "shared", "true"),
)
@click.option("--seconds", type=click.FloatRange(10.0), default=LENGTH)
@click.option("--workers", type=click.IntRange(1), default=None)
def main(
    agents: tuple[int, ...],
    seeds: int,
    days: tuple[str, ...],
    share_ms: float,
    hows: tuple[str, ...],
    seconds: float,
    workers: int | None,
) -> None:
    jobs = [
        (day, n, how, share_ms, seconds, 100 + seed)
        for n in agents
        for day in days
        for how in hows
        for seed in range(seeds)
    ]
    with ProcessPoolExecutor(workers) as pool:
        found = pool.map(one, jobs)
        for n in agents:
            for day in days:
                line: dict[str, Any] = {"day": day, "agents": n}
                for how in hows:
                    runs = [next(found) for _ in range(seeds)]
                    line[how] = {
                        k: round(sum(r[k] for r in runs) / seeds, 4) for k in ("whole", "worst", "wasted")
                    }
                    line[how] |= {"broken": sorted({b for r in runs for b in r["breaches"]})}
                print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
