"""CPU time per call and peak memory of the agent, compared with another version.

    python benchmarks/agent_cost.py [TREE]

TREE is a checkout of the version to compare with. Both versions run alternately on the same loopback
world. With TREE, ratios are printed too, since absolute values depend on the machine.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
from dataclasses import replace
from pathlib import Path

from lupinreach.bed.judging import service
from lupinreach.bed.ways.loopback import play_on
from lupinreach.bed.world import spec

ROUNDS = 4  # runs of each version


def measure(tree: Path | None) -> tuple[float, float]:
    """CPU milliseconds per call and peak memory in MB of one run."""
    world = spec.read_file("calm")
    world = replace(
        world,
        agents=1,
        length=8000.0,
        traffic=replace(world.traffic, calls_per_s=250.0),
        backends=tuple(replace(kind, count=3 * kind.count) for kind in world.backends),
    )
    costs: dict[int, tuple[float, float]] = {}
    ledger = asyncio.run(play_on(world, 1, tree=tree, costs=costs))
    calls = len(service.calls(world, ledger.records))
    return 1000 * costs[0][0] / calls, costs[0][1]


def main() -> None:
    """Runs both versions alternately and prints medians and ratios."""
    trees = [None, Path(sys.argv[1]).resolve()] if len(sys.argv) > 1 else [None]
    rounds = [[measure(tree) for tree in trees] for _ in range(ROUNDS)]
    for i, name in enumerate(["this version", "other version"][: len(trees)]):
        cpu_ms = [costs_of_round[i][0] for costs_of_round in rounds]
        print(
            f"{name}: {statistics.median(cpu_ms):.3f} ms of CPU per call "
            f"({min(cpu_ms):.3f} to {max(cpu_ms):.3f}), "
            f"{max(costs_of_round[i][1] for costs_of_round in rounds):.1f} MB"
        )
    if len(trees) > 1:
        ratios = [costs_of_round[0][0] / costs_of_round[1][0] for costs_of_round in rounds]
        print(
            f"CPU ratio: {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f}); "
            f"memory ratio: {max(t[0][1] for t in rounds) / max(t[1][1] for t in rounds):.3f}"
        )


if __name__ == "__main__":
    main()
