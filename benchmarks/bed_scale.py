"""CPU time of a run in virtual time by the number of agents, one run after the other on one core.

    python benchmarks/bed_scale.py [SECONDS]

SECONDS is the simulated time.
"""

from __future__ import annotations

import sys
import time
from dataclasses import replace

from lupinreach.bed.commands import experiment
from lupinreach.bed.world import spec

AGENT_COUNTS = 10, 50, 150, 500


def main() -> None:
    """Prints one line per number of agents."""
    length_ms = float(sys.argv[1]) * 1000 if len(sys.argv) > 1 else 60_000.0
    first_cpu_s = 0.0
    for agents in AGENT_COUNTS:
        world = replace(spec.read_file("large"), agents=agents, length=length_ms)
        began = time.process_time()
        ledger = experiment.play(world, 1)
        cpu_s = time.process_time() - began
        first_cpu_s = first_cpu_s or cpu_s
        result = experiment.judge(world, 1, ledger)
        print(
            f"{agents} agents: {cpu_s:.1f} s of CPU, {length_ms / 1000 / cpu_s:.2f} simulated s per s, "
            f"{1000 * cpu_s / result.figures['calls']:.2f} ms per call, "
            f"{cpu_s / first_cpu_s:.2f} x the first run; "
            f"{'rules kept' if result.kept else result.rules}",
            flush=True,
        )


if __name__ == "__main__":
    main()
