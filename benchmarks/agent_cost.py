"""CPU an API call and memory of the agent, beside another version's, on the same loopback world in turns.

    python benchmarks/agent_cost.py [TREE]

TREE is a checkout of the version to compare with. Prints ratios, since figures of one machine say little.
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

TURNS = 4


def one(tree: Path | None) -> tuple[float, float]:
    """Ms of CPU an API call, MB at most."""
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
    trees = [None, Path(sys.argv[1]).resolve()] if len(sys.argv) > 1 else [None]
    found = [[one(tree) for tree in trees] for _ in range(TURNS)]
    for i, name in enumerate(["this version", "the other"][: len(trees)]):
        cpu = [turn[i][0] for turn in found]
        print(
            f"{name}: {statistics.median(cpu):.3f} ms of CPU an API call ({min(cpu):.3f} to {max(cpu):.3f}), "
            f"{max(turn[i][1] for turn in found):.1f} MB"
        )
    if len(trees) > 1:
        ratios = [turn[0][0] / turn[1][0] for turn in found]
        print(
            f"ratio of CPU: {statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f}); "
            f"of memory: {max(t[0][1] for t in found) / max(t[1][1] for t in found):.3f}"
        )


if __name__ == "__main__":
    main()
