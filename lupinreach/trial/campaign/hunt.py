"""A campaign: histories drawn, played on all cores, judged by the rules and by every bound, shrunk where they break something or do worst."""

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
from lupinreach.trial.campaign import draw, reach
from lupinreach.trial.campaign.book import Book, History
from lupinreach.trial.spec import Trial

VIRTUAL, PROCESSES = "virtual", "processes"
GUIDED = 0.5  # of what is drawn goes near to what reached something rare; the rest is drawn plainly
RARE = 3  # histories that have reached a word: as long it is rare
BESIDE = 3  # small fleets of processes
LOOKS = 0.5  # s between two looks of a worker at whether its campaign is there
SHRINKS = 12  # steps of shrinking at most
DOWN = 0.5  # served over possible from the last trigger's end on, under which a history is one in which service stays down


def _ends_with(parent: int) -> None:
    """In a worker: guards against one that waits for ever for work from a campaign that was killed."""

    def watch() -> None:
        while os.getppid() == parent:
            time.sleep(LOOKS)
        os._exit(1)

    threading.Thread(target=watch, daemon=True).start()


def pool_of(workers: int) -> ProcessPoolExecutor:
    return ProcessPoolExecutor(workers, initializer=_ends_with, initargs=(os.getpid(),))


def one(job: tuple[int, int | None, draw.Raw, int]) -> History:
    """One history, played and judged."""
    number, parent, raw, seed = job
    trial, began = spec.read(raw), time.process_time()
    passed: list[str] = []
    if trial.world.mode == VIRTUAL:
        with bounds.watched(trial.world.agents) as watch:
            ledger = virtual.play(trial.world, seed)
        passed, mode = watch.passed, VIRTUAL
        played = play.judge(trial, seed, ledger)
        reached = reach.words(trial.world, ledger.records, played, passed)
    else:
        played, mode, reached = play.run(trial, seed), PROCESSES, frozenset[str]()
    return History(
        number,
        mode,
        parent,
        raw,
        played.verdict,
        played.unsure,
        tuple(sorted({b.name for b in played.result.violations})),
        tuple(passed),
        played.recovery.plain(),
        reached,
        time.process_time() - began,
    )


class Guide:
    """How often each word was reached, and the histories that reached what is rare. Bounded by the words there are."""

    def __init__(self) -> None:
        self.times: Counter[str] = Counter()
        self._by: dict[str, list[tuple[int, draw.Raw]]] = {}  # the last `RARE` that reached a word

    def learn(self, h: History) -> None:
        for word in h.reached:
            self.times[word] += 1
            self._by.setdefault(word, []).append((h.number, h.raw))
            del self._by[word][:-RARE]

    def parent(self, chance: RandomStream) -> tuple[int, draw.Raw] | None:
        """One that reached a word that few did; each such word alike."""
        rare = sorted(word for word, times in self.times.items() if times <= RARE)
        return draw.pick(chance, self._by[draw.pick(chance, rare)]) if rare else None


class Campaign:
    """Plays until so many histories are in the book."""

    def __init__(
        self, book: Book, seed: int, guided: float = GUIDED, told: Callable[[str], None] = lambda _: None
    ) -> None:
        self._book = book
        self._seed = seed
        self._guided = guided
        self._told = told
        self.guide = Guide()
        for h in book.histories(VIRTUAL):
            self.guide.learn(h)

    def draw(self, number: int) -> tuple[int, int | None, draw.Raw, int]:
        """The history of a number: plain, or near to one that reached something rare by now."""
        chance = random_stream(self._seed, "guide", number)
        if chance.random() < self._guided and (found := self.guide.parent(chance)) is not None:
            parent, raw = found
            return number, parent, draw.near(raw, self._seed, number), number
        return number, None, draw.plain(self._seed, number), number

    def play(
        self, many: int, workers: int | None = None, until: Callable[[History], bool] = lambda _: False
    ) -> list[History]:
        """Those of the first `many` numbers that aren't in the book yet; ends early where `until` says so."""
        workers = workers or os.cpu_count() or 1
        done, found = self._book.numbers(VIRTUAL), list[History]()
        left = (n for n in range(1, many + 1) if n not in done)
        with pool_of(workers) as pool:
            out: set[Future[History]] = set()
            try:
                while True:
                    for number in left:
                        out.add(pool.submit(one, self.draw(number)))
                        if len(out) >= 2 * workers:  # what is drawn later knows what was reached meanwhile
                            break
                    if not out:
                        return found
                    ended, out = wait(out, return_when=FIRST_COMPLETED)
                    for future in ended:
                        h = future.result()
                        self._book.add(h)
                        self.guide.learn(h)
                        found.append(h)
                        if h.broken or h.passed:
                            self._told(f"history {h.number}: {', '.join((*h.broken, *h.passed))}")
                        if until(h):
                            return found
            finally:
                for future in out:
                    future.cancel()

    def again(self, share: float, workers: int = BESIDE) -> list[History]:
        """A share of what was played in virtual time, with every part a process: each n-th that can be made so."""
        done, step, found = self._book.numbers(PROCESSES), max(1, round(1 / share)), []
        jobs = []
        for i, h in enumerate(h for h in self._book.histories(VIRTUAL) if draw.with_processes(h.raw)):
            if i % step == 0 and h.number not in done and (raw := draw.with_processes(h.raw)):
                jobs.append((h.number, None, raw, h.number))
        with pool_of(workers) as pool:
            for h in pool.map(one, jobs):
                self._book.add(h)
                found.append(h)
                if h.broken:
                    self._told(f"history {h.number} with processes: {', '.join(h.broken)}")
        return found

    def shrink(self, most: int, folder: Path) -> list[Path]:
        """The files of the smallest of what breaks something, and of the `most` that do worst."""
        bad = [h for h in self._book.histories(VIRTUAL) if h.broken or h.passed]
        well = [h for h in self._book.histories(VIRTUAL) if not (h.broken or h.passed)]
        worst = sorted(well, key=lambda h: (h.figures["whole"], h.number))[: max(0, most - len(bad))]
        folder.mkdir(parents=True, exist_ok=True)
        kept, files = {row[0] for row in self._book.kept()}, []
        for h in [*bad, *worst]:
            if h.number in kept:
                continue
            why = (
                f"breaks {h.broken[0]!r}"
                if h.broken
                else f"passes the bound of {h.passed[0]}"
                if h.passed
                else "worst service"
            )
            trial, seed = smallest(h)
            path = folder / f"history-{h.number}.toml"
            path.write_text(f"# Seed {seed}: {why}.\n" + to_toml(replace(trial.world, seeds=(seed,))))
            self._book.keep(h.number, why, size(trial), path.name)
            self._told(f"{path}: {why}; {size(trial)}")
            files.append(path)
        return files


def size(trial: Trial) -> str:
    kinds = ", ".join(sorted({t.kind for t in trial.world.troubles}))
    return f"{trial.world.agents} agents, {trial.world.backend_count} backends, {len(trial.world.troubles)} faults ({kinds})"


def smallest(h: History) -> tuple[Trial, int]:
    """The fewest faults and agents that still show what this history shows, and the seed."""
    trial, seed = spec.read(h.raw), h.number

    def shows(some: Trial) -> bool:
        with suppress(BadConfig, ValueError), bounds.watched(some.world.agents) as watch:
            played = play.judge(some, seed, virtual.play(some.world, seed))
            if h.broken:
                return any(b.name in h.broken for b in played.result.violations)
            if h.passed:
                return any(name in h.passed for name in watch.passed)
            return played.recovery.whole <= h.figures["whole"] * 1.05 + 0.02 and played.recovery.whole < 1
        return False

    for _ in range(SHRINKS):
        better = next((some for some in _smaller(trial) if shows(some)), None)
        if better is None:
            break
        trial = better
    return trial, seed


def _smaller(trial: Trial) -> Iterator[Trial]:
    for world in simplify(trial.world):
        if world.length == trial.world.length:  # what comes after the last fault is what is looked at
            yield replace(trial, world=world)


def stays_down(h: History) -> bool:
    """If service is not back though the trigger is gone: 0.95 of the possible was never reached, and half of it not over the whole."""
    return h.figures["back_after"] is None and (h.figures["whole"] or 0.0) < DOWN


def back(h: History) -> float:
    """Ms from the trigger's end to 0.95 of the possible; infinite where that never comes."""
    return inf if h.figures["back_after"] is None else float(h.figures["back_after"])
