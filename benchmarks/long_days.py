"""Long scenarios for the users' benchmark, with hundreds of configuration changes.

Each also has an evacuation, faults of the core and a closing fault. With `signals`, restarts by SIGTERM,
SIGHUP, kills and replaced backends are added, one after another and overlapping; with `cuts` the faults are
partitions of the core, so that machines that were cut off take over later. The script writes one
scenario, generated from a seed, in the format in which the benchmark reads custom days. Run it on a copy
of a site file whose `length_s` is 60, with the copy's `wire.json` beside it:

    python benchmarks/long_days.py 0 [signals] [cuts] > day.toml
    fleetbench run SITE-OF-60-S day.toml --log core,sidecar
"""

from __future__ import annotations

import random
import sys

CHANGE_KINDS = ["idle", "idle", "timeout", "route", "weights", "idle"]
GAPS_S = [0.1, 0.15, 0.2]  # between two configuration changes
FIRST_CHANGE_S, LAST_CHANGE_S = 1.0, 57.0
CLOSING_FAULTS = ["power_off_all", "kill_all", "wipe_after_ack"]
SIGNAL_STEPS = [
    '{{ at = {at}, kind = "roll_term", share = 0.5, x = 2.0, gap_s = 0.7, how = "busy" }}',
    '{{ at = {at}, kind = "roll_term", share = 0.3, x = 1.0, gap_s = 1.1 }}',
    '{{ at = {at}, kind = "release", share = 0.3, x = 1.0, gap_s = 1.0 }}',
    '{{ at = {at}, kind = "big_config", count = 120 }}',
    '{{ at = {at}, kind = "scale_in", share = 0.1 }}',
]
SIGNAL_FAULTS = [
    '{{ at = {at}, kind = "hup", share = 0.6, gap_s = 3.0 }}',
    '{{ at = {at}, kind = "node_kill", share = 0.15 }}',
    '{{ at = {at}, kind = "seed_turnover" }}',
]
OCCURRENCES = 2  # of each signal step and fault, at random times
FAULTS_BY_KIND = [
    [
        '{ at = 12.0, kind = "core_cut", count = 1, for_s = 5.0, how = "leader race" }',
        '{ at = 36.0, kind = "herd_kill", share = 1.0, for_s = 1.0, how = "off", on = "core" }',
        '{ at = 47.0, kind = "reset_conns", share = 0.3, x = 0.5 }',
    ],
    [
        '{ at = 10.0, kind = "node_freeze", share = 0.15, for_s = 3.0 }',
        '{ at = 30.0, kind = "node_kill", on = "core", count = 1, for_s = 4.0, how = "power leader" }',
        '{ at = 44.0, kind = "zone_loss" }',
    ],
    [
        '{ at = 9.0, kind = "core_cut", for_s = 4.0, how = "split" }',
        '{ at = 25.0, kind = "after_ack_wipe", count = 1 }',
        '{ at = 42.0, kind = "node_cut", share = 0.15, for_s = 5.0, how = "all" }',
        '{ at = 50.0, kind = "node_kill", share = 0.1, for_s = 3.0, how = "power" }',
    ],
]

CUT_KINDS = ["turn", "turn", "leader", "one_way", "split", "turn race"]
CUT_LENGTHS_S = [1.5, 2.8, 4.0, 5.5, 7.0]  # shorter and longer than links wait for an acknowledgement
CUT_GAPS_S = [7.0, 9.5, 12.0]  # from the start of one cut to the next


def _core_cuts(rng: random.Random) -> list[str]:
    """Partitions of the core, one after another."""
    lines = []
    at = rng.uniform(4.0, 8.0)
    while at < LAST_CHANGE_S - 8.0:
        kind, length_s = rng.choice(CUT_KINDS), rng.choice(CUT_LENGTHS_S)
        lines.append(f'  {{ at = {at:.1f}, kind = "core_cut", for_s = {length_s}, how = "{kind}" }},')
        at += rng.choice(CUT_GAPS_S)
    return lines


def _at_random_times(rng: random.Random, entries: list[str]) -> list[str]:
    """Each entry `OCCURRENCES` times at random times; they may overlap."""
    scheduled = [
        entry.format(at=round(rng.uniform(FIRST_CHANGE_S, LAST_CHANGE_S), 1))
        for entry in entries * OCCURRENCES
    ]
    return [f"  {entry}," for entry in scheduled]


def scenario(seed: int, signals: bool = False, cuts: bool = False) -> list[str]:
    """The lines of one scenario."""
    rng = random.Random(seed)
    kind = seed % len(FAULTS_BY_KIND)
    lines = [
        "[[day]]",
        f'name = "long-{seed}"',
        'slot = "trouble"',
        f"seed = {seed}",
        "one = 1.0",
        "zero = 0.1",
        "goal = { floor = 0.1 }",
        "labels = []",
        "wall = 90.0",
        "light = true",
        f'closing = {{ kind = "{CLOSING_FAULTS[kind]}", down_s = 1.5 }}',
        "plan = [",
    ]
    at = FIRST_CHANGE_S
    while at < LAST_CHANGE_S:
        change = rng.choice(CHANGE_KINDS)
        lines.append(f'  {{ at = {at:.2f}, kind = "config_change", how = "{change}" }},')
        at += rng.choice(GAPS_S)
    lines += ['  { at = 22.0, kind = "evacuate", for_s = 8.0 },']
    if signals:
        lines += _at_random_times(rng, SIGNAL_STEPS)
    lines += ["]", "faults = ["]
    if signals:
        lines += _at_random_times(rng, SIGNAL_FAULTS)
    if cuts:
        lines += _core_cuts(rng)
    if not signals and not cuts:
        lines += [f"  {fault}," for fault in FAULTS_BY_KIND[kind]]
    return [*lines, "]"]


if __name__ == "__main__":
    options = set(sys.argv[2:])
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    print("\n".join(scenario(seed, "signals" in options, "cuts" in options)))
