"""The largest excess of what agents share beside its bound, at every agent and look, while parts of the fleet fail.

    python benchmarks/shared_bounds.py --agents 12 --seeds 20 [--seconds 20]

One line of JSON a hard case: each figure is the most that was seen over the bound's formula (`grants.most`, `evidence.harm`,
`counts.most`), so that over 1 is past it. Virtual time; demands for trials are made unlike, so that shares are lent.
"""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from lupinreach.bed.ways import virtual
from lupinreach.fleet import counts, grants
from lupinreach.fleet.evidence import MOST, SHARE, harm
from lupinreach.ops.sharing import Sharing
from lupinreach.trial import play, spec

EXACT = 1 + 1e-6
DRIFTS = 1.02  # clocks that run apart: a rate by another's clock
CASES: dict[str, list[dict[str, Any]]] = {
    "nothing": [],
    "a slow tenth": [{"kind": "slow", "at": 2, "seconds": 9, "share": 0.15, "strength": 8}],
    "a third hears nothing": [{"kind": "deaf-agents", "at": 3, "seconds": 7, "share": 0.34}],
    "two halves": [{"kind": "cut", "at": 3, "seconds": 6, "targets": ["b"]}],
    "one way": [{"kind": "dumb-agents", "at": 3, "seconds": 6, "share": 0.4}],
    "words lost, doubled, late": [{"kind": "loss", "at": 2, "seconds": 9, "strength": 0.3}, {"kind": "datagrams-doubled", "at": 0, "seconds": 20, "strength": 0.4},
                                  {"kind": "datagrams-late", "at": 0, "seconds": 20, "share": 0.4, "strength": 2000}],
    "a part restarts again and again": [{"kind": "kill-agents", "at": at, "seconds": 0.5, "targets": [0, 1]} for at in (3, 6, 9)]
                                       + [{"kind": "disk-torn", "at": at + 0.1, "seconds": 0.1, "targets": [0, 1], "strength": 0.0} for at in (3, 6, 9)],
    "sleepers": [{"kind": "sleep-agents", "at": 4, "seconds": 4, "share": 0.4}],
    "clocks that drift": [{"kind": "drift-agents", "at": 0, "seconds": 20, "share": 0.5, "strength": 0.01},
                          {"kind": "kill-agents", "at": 2, "seconds": 0.3, "share": 1.0}],
    "cold and called bad": [{"kind": "crash", "at": 3, "seconds": 1, "share": 0.4}],
    "deaf at the peak": [{"kind": "deaf-agents", "at": 4, "seconds": 5, "share": 1.0}, {"kind": "surge", "at": 3, "seconds": 6, "strength": 2.5}],
    "power": [{"kind": "kill-agents", "at": 4, "seconds": 0.6, "share": 1.0}],
}


def world(case: str, agents: int, seconds: float) -> dict[str, Any]:
    return {"name": case, "seconds": seconds, "zones": ["a", "b"], "troubles": CASES[case],
            "agents": {"count": agents, "store": True, "fleet": True, "share_ms": 300, "zipf": 0.8}, "limits": {"peers": True},
            "backends": [{"count": 12, "cores": 1, "speed": [0.7, 1.3]}],
            "products": [{"name": "look", "work": 30, "slo": 500, "timeout": 1500},
                         {"name": "pay", "kind": "non-idempotent", "work": 30, "slo": 500, "timeout": 1500, "value": 5}],
            "customers": [{"name": "one", "share": 0.6}, {"name": "two", "share": 0.3}, {"name": "three", "share": 0.1}],
            "traffic": {"calls_per_s": 120}, "rules": {"cold": 4000.0, "drain_grace": 500.0, "fall": 1000.0}}


class Watch:
    """Stands beside every agent's look, with the whole fleet in sight."""

    def __init__(self, agents: int) -> None:
        self.agents = agents
        self.parts: dict[int, Sharing] = {}  # the newest life of each
        self.counted: dict[tuple[int, int, int], list[tuple[float, int]]] = {}  # by cell, agent and life, by its own clock
        self.most = {"trials": 0.0, "dearer": 0.0, "counts": 0.0, "lent": 0, "heard": 0, "looks": 0}

    def look(self, part: Sharing) -> None:
        n, now = part.evidence.me, part._agent.clock.now()
        self.parts[n], most = part, self.most
        most["looks"] += 1
        uses = [p.trials.usable(p._agent.clock.now()) for p in self.parts.values() if p.trials is not None]
        if part.trials is not None:
            total = part.trials.own * self.agents
            most["trials"] = max(most["trials"], sum(uses) / grants.most(total, self.agents) / EXACT)
            most["lent"] += part.trials.out[0]
        factors = [b.dearer for b, _ in part._agent.balancer.evidence()]
        if factors:
            moved = sum(1 - 1 / f for f in factors) / len(factors)
            most["dearer"] = max(most["dearer"], moved / harm() / EXACT, max(factors) / MOST / EXACT,
                                 sum(f > 1 for f in factors) / len(factors) / SHARE / EXACT)
        life = part._self()[0]
        for cell, count in part.counts._own.items():
            self.counted.setdefault((cell, n, life), []).append((now, count))
        most["heard"] += len(part.counts) > 3
        if most["looks"] % 16 == 0:
            for cell, rate in enumerate(part.counts.rates(now)):
                of = [points[-120:] for key, points in self.counted.items() if key[0] == cell]
                # Each by its own clock, and all that is kept of it: longer than what the bound reaches.
                bound = sum(counts.most(points[-1][0], [points], 1e9) for points in of)
                if rate > 0:
                    most["counts"] = max(most["counts"], rate / (bound * DRIFTS) if bound else 2.0)


def played(case: str, seed: int, agents: int = 12, seconds: float = 20.0) -> tuple[play.Played, dict[str, float]]:
    """One run, and the most that was seen of each figure over its bound."""
    watch, plain_look, plain_wants = Watch(agents), Sharing.look, Sharing._wants

    def look(part: Sharing) -> None:
        plain_look(part)
        watch.look(part)

    def wants(part: Sharing) -> float:
        return 1e3 if part.evidence.me % 3 == 0 else 0.0

    Sharing.look, Sharing._wants = look, wants  # type: ignore[method-assign]
    try:
        trial = spec.read(world(case, agents, seconds))
        return play.judge(trial, seed, virtual.play(trial.world, seed)), dict(watch.most)
    finally:
        Sharing.look, Sharing._wants = plain_look, plain_wants  # type: ignore[method-assign]


def one(job: tuple[str, int, int, float]) -> dict[str, Any]:
    case, seed, agents, seconds = job
    run, most = played(case, seed, agents, seconds)
    return most | {"kept": run.verdict == play.KEPT}


@click.command()
@click.option("--agents", type=click.IntRange(2), default=12)
@click.option("--seeds", type=click.IntRange(1), default=20)
@click.option("--seconds", type=click.FloatRange(10.0), default=20.0)
def main(agents: int, seeds: int, seconds: float) -> None:
    jobs = [(case, seed, agents, seconds) for case in CASES for seed in range(seeds)]
    with ProcessPoolExecutor() as pool:
        found = pool.map(one, jobs)
        for case in CASES:
            runs = [next(found) for _ in range(seeds)]
            print(json.dumps({"case": case, "agents": agents, "seeds": seeds, "broken": sum(not r["kept"] for r in runs),
                              **{k: round(max(r[k] for r in runs), 4) for k in ("trials", "dearer", "counts")},
                              "leases": round(sum(r["lent"] for r in runs) / sum(r["looks"] for r in runs), 2)}), flush=True)


if __name__ == "__main__":
    main()
