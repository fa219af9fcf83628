"""What a virtual run costs as agents grow: `python benchmarks/bed_scale.py [SECONDS]`, each in turn on one core."""

from __future__ import annotations

import sys
import time
from dataclasses import replace

from lupinreach.bed.commands import experiment
from lupinreach.bed.world import spec

AGENTS = 10, 50, 150, 500


def main() -> None:
    length = float(sys.argv[1]) * 1000 if len(sys.argv) > 1 else 60_000.0
    first = 0.0
    for agents in AGENTS:
        world = replace(spec.read_file("large"), agents=agents, length=length)
        begin = time.process_time()
        ledger = experiment.play(world, 1)
        took = time.process_time() - begin
        first = first or took
        result = experiment.judge(world, 1, ledger)
        print(
            f"{agents} agents: {took:.1f} s of CPU, {length / 1000 / took:.2f} simulated s a second, "
            f"{1000 * took / result.figures['calls']:.2f} ms an API call, {took / first:.2f} x the first; "
            f"{'rules kept' if result.kept else result.rules}",
            flush=True,
        )


if __name__ == "__main__":
    main()
