"""Runs trials, several at a time, checks them and summarizes their metrics."""

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
from lupinreach.trial import metrics
from lupinreach.trial.spec import Trial

KEPT, BROKEN, UNSURE = "kept", "broken", "unsure"
MAX_P999_LATENESS_MS = check.MESSAGE_SLACK_MS / 2  # a run whose rig is later than this gives no verdict


@dataclass
class TrialRun:
    """One run of a trial."""

    result: Result
    recovery: metrics.Recovery
    seconds: list[metrics.Second]
    missed: list[str]
    rig_lateness_ms: float = 0.0  # scheduling delay of the rig's own processes at p99.9; 0 in virtual time
    unsure: str = ""  # the reason why no verdict can be given; empty otherwise
    stopped: bool = False
    rig: dict[str, Any] = field(
        default_factory=dict
    )  # lateness of each process, and the durations of start and stop

    @property
    def verdict(self) -> str:
        """KEPT, BROKEN or UNSURE."""
        return UNSURE if self.unsure else KEPT if self.result.kept else BROKEN


def judge(trial: Trial, seed: int, ledger: Ledger) -> TrialRun:
    """Checks the ledger of a run against the rules and the expected metrics."""
    world, records = trial.world, ledger.records
    begin = next((r[1] for r in records if r[0] == "asked"), 0) / 1000
    rows = metrics.seconds(world, records)
    recovery = metrics.recovery(world, records, rows, begin + trial.since)
    return TrialRun(
        experiment.judge(world, seed, ledger), recovery, rows, trial.unmet_expectations(vars(recovery))
    )


def run(trial: Trial, seed: int) -> TrialRun:
    """Runs a trial once, in virtual time or with real processes according to its mode."""
    if trial.world.mode == "virtual":
        return judge(trial, seed, virtual.play(trial.world, seed))
    from lupinreach.trial.rig import stage

    ledger, lateness, durations = stage.play(trial.world, seed)
    outcome = judge(trial, seed, ledger)
    outcome.stopped, outcome.rig = (
        ledger.stopped,
        {"late": lateness, "unheard": outcome.result.undelivered, **durations},
    )
    # The coordinator is not a peer of the agents. Starting agents can delay it for a second; its troubles are
    # then late, but are recorded when they take effect.
    peer_lateness = {name: lateness_of for name, lateness_of in lateness.items() if name != "coordinator"}
    outcome.rig_lateness_ms = max(lateness_of["p999"] for lateness_of in peer_lateness.values())
    maximum, process = max((lateness_of["most"], name) for name, lateness_of in peer_lateness.items())
    if outcome.rig_lateness_ms > MAX_P999_LATENESS_MS or maximum > check.MESSAGE_SLACK_MS:
        # Avoids blaming the agents for delays of the rig.
        outcome.unsure = (
            f"the rig was late: {outcome.rig_lateness_ms:.1f} ms at p99.9, {maximum:.1f} at most ({process})"
        )
    return outcome


def run_many(
    jobs: list[tuple[Trial, int]],
    workers: int | None = None,
    on_run: Callable[[TrialRun], None] = lambda _: None,
) -> list[TrialRun]:
    """Runs jobs and returns the results in order; several jobs in virtual time run in worker processes."""
    workers = min(len(jobs), workers or os.cpu_count() or 1)
    results: list[TrialRun] = []
    if workers <= 1 or any(trial.world.mode != "virtual" for trial, _ in jobs):
        for job in jobs:
            results.append(run(*job))
            on_run(results[-1])
            if results[-1].stopped:
                raise KeyboardInterrupt
        return results
    with ProcessPoolExecutor(workers) as pool:
        for outcome in pool.map(run, *zip(*jobs, strict=True)):
            results.append(outcome)
            on_run(outcome)
    return results


def summary(trial: Trial, runs: list[TrialRun]) -> dict[str, Any]:
    """The summary that is printed as the last line: means over the seeds, and the worst value of some metrics."""
    metrics_by_run = [p.recovery.to_dict() for p in runs]

    def mean(name: str) -> float | None:
        values = [p[name] for p in metrics_by_run if p[name] is not None]
        return round(sum(values) / len(values), 4) if values else None

    recovery_times = [p.recovery.back_after for p in runs]
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
        "back_after_s": None if inf in recovery_times else round(max(recovery_times) / 1000, 1),
        "queries_in_a_second": max(p.recovery.queries for p in runs),
        "to_draining": sum(p.recovery.to_draining for p in runs),
        "cold_load": round(max(p.recovery.cold_load for p in runs), 3),
        "rig_late_ms": round(max(p.rig_lateness_ms for p in runs), 2),
        "answers": total["answers"],
        "service": total["service"],
        "calls": total["calls"],
        "digest": total["digest"],
    }


def compare(
    trial: Trial, policies: list[str], seeds: tuple[int, ...], workers: int | None
) -> dict[str, list[TrialRun]]:
    """Runs the same seeds under several policies; the results by policy."""
    jobs = [
        (replace(trial, world=replace(trial.world, policy=name)), seed) for name in policies for seed in seeds
    ]
    results = run_many(jobs, workers)
    return {name: results[i * len(seeds) : (i + 1) * len(seeds)] for i, name in enumerate(policies)}
