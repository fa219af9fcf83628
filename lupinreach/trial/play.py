"""Trials played, judged and counted, on several cores beside each other."""

from __future__ import annotations

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace
from math import inf
from typing import Any

from lupinreach.bed.commands import experiment
from lupinreach.bed.commands.experiment import Result
from lupinreach.bed.judging import check
from lupinreach.bed.ways import virtual
from lupinreach.bed.world.ledger import Ledger
from lupinreach.trial import figures
from lupinreach.trial.spec import Trial

KEPT, BROKEN, UNSURE = "kept", "broken", "unsure"
TOO_LATE = check.MESSAGE_SLACK_MS / 2  # ms at p99.9 from which a run with processes says nothing


@dataclass
class Played:
    """One run of a trial."""

    result: Result
    recovery: figures.Recovery
    seconds: list[figures.Second]
    missed: list[str]
    late: float = 0.0  # ms that the rig itself was late at p99.9; 0 in virtual time
    unsure: str = ""  # why no verdict can be given
    stopped: bool = False
    rig: dict[str, Any] = field(
        default_factory=dict
    )  # lateness by process, and what starting and stopping took

    @property
    def verdict(self) -> str:
        return UNSURE if self.unsure else KEPT if self.result.kept else BROKEN


def judge(trial: Trial, seed: int, ledger: Ledger) -> Played:
    """A run's ledger, held against the rules and what is expected."""
    world, records = trial.world, ledger.records
    begin = next((r[1] for r in records if r[0] == "asked"), 0) / 1000
    rows = figures.seconds(world, records)
    found = figures.recovery(world, records, rows, begin + trial.since)
    return Played(experiment.judge(world, seed, ledger), found, rows, trial.missed(vars(found)))


def run(trial: Trial, seed: int) -> Played:
    """One run, in virtual time or with processes as the trial's mode says."""
    if trial.world.mode == "virtual":
        return judge(trial, seed, virtual.play(trial.world, seed))
    from lupinreach.trial.rig import stage

    ledger, late, took = stage.play(trial.world, seed)
    played = judge(trial, seed, ledger)
    played.stopped, played.rig = ledger.stopped, {"late": late, "unheard": played.result.undelivered, **took}
    # The coordinator is nobody's peer: that it starts agents for a second makes its troubles late, which are booked as
    # they come.
    peers = {name: each for name, each in late.items() if name != "coordinator"}
    played.late = max(each["p999"] for each in peers.values())
    most, where = max((each["most"], name) for name, each in peers.items())
    if played.late > TOO_LATE or most > check.MESSAGE_SLACK_MS:
        # Guards against a verdict on agents where it is the rig that was late.
        played.unsure = f"the rig was late: {played.late:.1f} ms at p99.9, {most:.1f} at most ({where})"
    return played


def run_many(
    jobs: list[tuple[Trial, int]], workers: int | None = None, done: Callable[[Played], None] = lambda _: None
) -> list[Played]:
    """In the order given; in processes of their own where there are several."""
    workers = min(len(jobs), workers or os.cpu_count() or 1)
    results: list[Played] = []
    if workers <= 1 or any(trial.world.mode != "virtual" for trial, _ in jobs):
        for job in jobs:
            results.append(run(*job))
            done(results[-1])
            if results[-1].stopped:
                raise KeyboardInterrupt
        return results
    with ProcessPoolExecutor(workers) as pool:
        for played in pool.map(run, *zip(*jobs, strict=True)):
            results.append(played)
            done(played)
    return results


def summary(trial: Trial, runs: list[Played]) -> dict[str, Any]:
    """The last line: means over seeds, and the worst of what has a worst."""
    plain = [p.recovery.plain() for p in runs]

    def mean(name: str) -> float | None:
        values = [p[name] for p in plain if p[name] is not None]
        return round(sum(values) / len(values), 4) if values else None

    backs = [p.recovery.back_after for p in runs]
    total = experiment.summary(trial.world, [p.result for p in runs])
    verdicts = {p.verdict for p in runs}
    return {
        "trial": trial.world.name,
        "verdict": BROKEN if BROKEN in verdicts else UNSURE if UNSURE in verdicts else KEPT,
        "as_expected": not any(p.missed for p in runs),
        "missed": sorted({line.split(":")[0] for p in runs for line in p.missed}),
        "rules": total["rules"],
        "policy": trial.world.policy,
        "seeds": total["seeds"],
        **{
            name: mean(name) for name in ("first_10s", "first_20s", "whole", "done_10s", "done_20s", "wasted")
        },
        "back_after_s": None if inf in backs else round(max(backs) / 1000, 1),
        "queries_in_a_second": max(p.recovery.queries for p in runs),
        "to_draining": sum(p.recovery.to_draining for p in runs),
        "cold_load": round(max(p.recovery.cold_load for p in runs), 3),
        "rig_late_ms": round(max(p.late for p in runs), 2),
        "answers": total["answers"],
        "service": total["service"],
        "calls": total["calls"],
        "digest": total["digest"],
    }


def compare(
    trial: Trial, policies: list[str], seeds: tuple[int, ...], workers: int | None
) -> dict[str, list[Played]]:
    """The same seeds under several policies."""
    jobs = [
        (replace(trial, world=replace(trial.world, policy=name)), seed) for name in policies for seed in seeds
    ]
    found = run_many(jobs, workers)
    return {name: found[i * len(seeds) : (i + 1) * len(seeds)] for i, name in enumerate(policies)}
