"""A campaign: generates histories, runs them on all cores, checks rules and bounds, and minimizes the worst ones."""

from __future__ import annotations

import os
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from contextlib import suppress
from dataclasses import replace
from math import inf
from pathlib import Path

from lupinreach.bed.commands.search import simplify
from lupinreach.bed.ways import virtual
from lupinreach.bed.world.random_streams import RandomStream, random_stream
from lupinreach.bed.world.spec import to_toml
from lupinreach.config import BadConfig
from lupinreach.trial import bounds, play, spec
from lupinreach.trial.campaign import coverage, generator
from lupinreach.trial.campaign.database import CampaignDatabase, History
from lupinreach.trial.spec import Trial

VIRTUAL, PROCESSES = "virtual", "processes"
GUIDED_SHARE = 0.5  # of the histories mutate one with a rare feature; the others are independent
RARE_COUNT = 3  # a feature is rare until more histories than this have covered it
PROCESS_RUN_WORKERS = 3  # small fleets of processes that run at the same time
PARENT_POLL_S = 0.5  # interval at which a worker checks whether its campaign still runs
MAX_MINIMIZE_STEPS = 12  # successful reductions of one history
DOWN_SHARE = 0.5  # served over possible value since the last fault ended, below which service counts as down


def _exit_with_parent(parent: int) -> None:
    """In a worker: exits when the campaign was killed, instead of waiting for work forever."""

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(PARENT_POLL_S)
        os._exit(1)

    threading.Thread(target=watch, daemon=True).start()


def create_pool(workers: int) -> ProcessPoolExecutor:
    """A pool whose workers end with this process."""
    return ProcessPoolExecutor(workers, initializer=_exit_with_parent, initargs=(os.getpid(),))


def run_history(job: tuple[int, int | None, generator.RawTrial, int]) -> History:
    """Runs and checks one history."""
    number, parent, raw, seed = job
    trial, cpu_began = spec.read(raw), time.process_time()
    exceeded: list[str] = []
    if trial.world.mode == VIRTUAL:
        with bounds.watch_bounds(trial.world.agents) as monitor:
            ledger = virtual.play(trial.world, seed)
        exceeded, mode = monitor.exceeded, VIRTUAL
        played = play.judge(trial, seed, ledger)
        features = coverage.features(trial.world, ledger.records, played, exceeded)
    else:
        played, mode, features = play.run(trial, seed), PROCESSES, frozenset[str]()
    return History(
        number,
        mode,
        parent,
        raw,
        played.verdict,
        played.unsure,
        tuple(sorted({b.name for b in played.result.violations})),
        tuple(exceeded),
        played.recovery.to_dict(),
        features,
        time.process_time() - cpu_began,
    )


class CoverageGuide:
    """Counts how often each feature was covered, and keeps the latest histories that covered it.

    Its size is bounded by the number of features.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._recent_by_feature: dict[
            str, list[tuple[int, generator.RawTrial]]
        ] = {}  # the last `RARE_COUNT` histories that covered a feature

    def add_history(self, history: History) -> None:
        """Adds the features of a history."""
        for feature in history.features:
            self.counts[feature] += 1
            self._recent_by_feature.setdefault(feature, []).append((history.number, history.raw))
            del self._recent_by_feature[feature][:-RARE_COUNT]

    def parent(self, rng: RandomStream) -> tuple[int, generator.RawTrial] | None:
        """A random history with a rare feature, each such feature being equally likely; None if there is none."""
        rare_features = sorted(feature for feature, count in self.counts.items() if count <= RARE_COUNT)
        return (
            generator.random_choice(rng, self._recent_by_feature[generator.random_choice(rng, rare_features)])
            if rare_features
            else None
        )


class Campaign:
    """Runs histories until the database has the number wanted."""

    def __init__(
        self,
        database: CampaignDatabase,
        seed: int,
        guided: float = GUIDED_SHARE,
        report: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._database = database
        self._seed = seed
        self._guided = guided
        self._report = report
        self.guide = CoverageGuide()
        for history in database.histories(VIRTUAL):
            self.guide.add_history(history)

    def create_job(self, number: int) -> tuple[int, int | None, generator.RawTrial, int]:
        """The job of a history number: an independent trial, or a mutation of one that has a rare feature so far."""
        rng = random_stream(self._seed, "guide", number)
        if rng.random() < self._guided and (rare_history := self.guide.parent(rng)) is not None:
            parent, raw = rare_history
            return number, parent, generator.mutate(raw, self._seed, number), number
        return number, None, generator.random_trial(self._seed, number), number

    def run(
        self,
        count_wanted: int,
        workers: int | None = None,
        stop_when: Callable[[History], bool] = lambda _: False,
    ) -> list[History]:
        """Runs those of the first `count_wanted` numbers that the database lacks.

        It ends early once `stop_when` is true.
        """
        workers = workers or os.cpu_count() or 1
        done, results = self._database.completed_numbers(VIRTUAL), list[History]()
        remaining = (n for n in range(1, count_wanted + 1) if n not in done)
        with create_pool(workers) as pool:
            pending: set[Future[History]] = set()
            try:
                while True:
                    for number in remaining:
                        pending.add(pool.submit(run_history, self.create_job(number)))
                        if (
                            len(pending) >= 2 * workers
                        ):  # later jobs are guided by what has been covered by then
                            break
                    if not pending:
                        return results
                    completed, pending = wait(pending, return_when=FIRST_COMPLETED)
                    for future in completed:
                        history = future.result()
                        self._database.add(history)
                        self.guide.add_history(history)
                        results.append(history)
                        if history.broken or history.exceeded:
                            self._report(
                                f"history {history.number}: {', '.join((*history.broken, *history.exceeded))}"
                            )
                        if stop_when(history):
                            return results
            finally:
                for future in pending:
                    future.cancel()

    def run_with_processes(self, share: float, workers: int = PROCESS_RUN_WORKERS) -> list[History]:
        """Repeats a share of the histories with real processes: every n-th of those that can be run so."""
        done, interval, results = self._database.completed_numbers(PROCESSES), max(1, round(1 / share)), []
        jobs = []
        for i, history in enumerate(
            history
            for history in self._database.histories(VIRTUAL)
            if generator.reduced_for_processes(history.raw)
        ):
            if (
                i % interval == 0
                and history.number not in done
                and (raw := generator.reduced_for_processes(history.raw))
            ):
                jobs.append((history.number, None, raw, history.number))
        with create_pool(workers) as pool:
            for history in pool.map(run_history, jobs):
                self._database.add(history)
                results.append(history)
                if history.broken:
                    self._report(f"history {history.number} with processes: {', '.join(history.broken)}")
        return results

    def minimize(self, max_count: int, folder: Path) -> list[Path]:
        """Minimizes the histories with violations, and the worst of the others up to `max_count` in all.

        Returns the files of the minimized trials.
        """
        violating = [
            history for history in self._database.histories(VIRTUAL) if history.broken or history.exceeded
        ]
        passing = [
            history
            for history in self._database.histories(VIRTUAL)
            if not (history.broken or history.exceeded)
        ]
        worst = sorted(passing, key=lambda history: (history.figures["whole"], history.number))[
            : max(0, max_count - len(violating))
        ]
        folder.mkdir(parents=True, exist_ok=True)
        minimized, paths = {row[0] for row in self._database.minimized()}, []
        for history in [*violating, *worst]:
            if history.number in minimized:
                continue
            why = (
                f"breaks {history.broken[0]!r}"
                if history.broken
                else f"passes the bound of {history.exceeded[0]}"
                if history.exceeded
                else "worst service"
            )
            trial, seed = minimize_history(history)
            path = folder / f"history-{history.number}.toml"
            path.write_text(f"# Seed {seed}: {why}.\n" + to_toml(replace(trial.world, seeds=(seed,))))
            self._database.add_minimized(history.number, why, describe(trial), path.name)
            self._report(f"{path}: {why}; {describe(trial)}")
            paths.append(path)
        return paths


def describe(trial: Trial) -> str:
    """The size of a trial in one line."""
    kinds = ", ".join(sorted({t.kind for t in trial.world.troubles}))
    return (
        f"{trial.world.agents} agents, {trial.world.backend_count} backends, "
        f"{len(trial.world.troubles)} faults ({kinds})"
    )


def minimize_history(history: History) -> tuple[Trial, int]:
    """The smallest trial found that still has a violation or service value of this history, and the seed."""
    trial, seed = spec.read(history.raw), history.number

    def reproduces(candidate: Trial) -> bool:
        with suppress(BadConfig, ValueError), bounds.watch_bounds(candidate.world.agents) as monitor:
            played = play.judge(candidate, seed, virtual.play(candidate.world, seed))
            if history.broken:
                return any(b.name in history.broken for b in played.result.violations)
            if history.exceeded:
                return any(name in history.exceeded for name in monitor.exceeded)
            return (
                played.recovery.whole <= history.figures["whole"] * 1.05 + 0.02 and played.recovery.whole < 1
            )
        return False

    for _ in range(MAX_MINIMIZE_STEPS):
        smaller_trial = next(
            (candidate for candidate in _smaller_trials(trial) if reproduces(candidate)), None
        )
        if smaller_trial is None:
            break
        trial = smaller_trial
    return trial, seed


def _smaller_trials(trial: Trial) -> Iterator[Trial]:
    for world in simplify(trial.world):
        if (
            world.length == trial.world.length
        ):  # a shorter run would cut off the recovery after the last fault
            yield replace(trial, world=world)


def stays_down(history: History) -> bool:
    """Whether service stays down after the fault: never 0.95 of the possible value, and under half of it overall."""
    return history.figures["back_after"] is None and (history.figures["whole"] or 0.0) < DOWN_SHARE


def recovery_ms(history: History) -> float:
    """Ms from the end of the fault to 0.95 of the possible value; infinite if that is never reached."""
    return inf if history.figures["back_after"] is None else float(history.figures["back_after"])
