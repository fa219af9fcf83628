"""Runs of a world: played, judged, counted; and two policies on the same seeds set beside each other."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from hashlib import blake2b
from math import sqrt
from typing import Any

from lupinreach.bed.judging import check, service
from lupinreach.bed.judging.check import Violation
from lupinreach.bed.ways import loopback, virtual
from lupinreach.bed.world.ledger import Ledger
from lupinreach.bed.world.spec import World

SEEDS = 6  # that a comparison plays where the file names one


@dataclass
class Result:
    """One run, judged and counted."""

    seed: int
    violations: list[Violation]
    rules: dict[str, str]
    figures: dict[str, Any]
    digest: str
    unheard: int = 0  # tries whose answer what stands between a client and its agent held up

    @property
    def kept(self) -> bool:
        return not self.violations


def play(world: World, seed: int, progress: Callable[[float], None] | None = None) -> Ledger:
    return (virtual if world.mode == "virtual" else loopback).play(world, seed, progress)


def judge(world: World, seed: int, ledger: Ledger) -> Result:
    checker = check.Checker(world)
    violations = checker.read(ledger.records)
    return Result(
        seed,
        violations,
        check.verdict(violations),
        service.count(world, ledger.records),
        ledger.digest(),
        len(checker.undelivered),
    )


def run(world: World, seed: int) -> Result:
    return judge(world, seed, play(world, seed))


def run_many(
    jobs: list[tuple[World, int]],
    workers: int | None = None,
    done: Callable[[int, Result], None] | None = None,
) -> list[Result]:
    """Runs beside each other, in processes of their own where there are several; in the order given."""
    workers = min(len(jobs), workers or os.cpu_count() or 1)
    if workers <= 1 or any(world.mode == "loopback" for world, _ in jobs):
        workers = 1
    results: list[Result] = []
    if workers == 1:
        found: Iterable[Result] = (run(*job) for job in jobs)
        for i, result in enumerate(found):
            results.append(result)
            if done:
                done(i, result)
        return results
    with ProcessPoolExecutor(workers) as pool:
        for i, result in enumerate(pool.map(run, *zip(*jobs, strict=True))):
            results.append(result)
            if done:
                done(i, result)
    return results


def summary(world: World, results: list[Result]) -> dict[str, Any]:
    """The last line of `bed run`: means over seeds, the worst of what has a worst."""
    many = len(results)
    answers: dict[str, int] = {}
    for r in results:
        for what, times in r.figures["answers"].items():
            answers[what] = answers.get(what, 0) + times

    def mean(name: str) -> float:
        return round(sum(r.figures[name] for r in results) / many, 4)

    def means(name: str) -> dict[str, float]:
        keys = sorted({k for r in results for k in r.figures[name]})
        return {k: round(sum(r.figures[name].get(k, 0.0) for r in results) / many, 4) for k in keys}

    digest = (
        results[0].digest
        if many == 1
        else blake2b("".join(r.digest for r in results).encode(), digest_size=16).hexdigest()
    )
    told = {
        "verdict": "kept" if all(r.kept for r in results) else "broken",
        "rules": {
            rule: "; ".join(f"seed {r.seed}: {r.rules[rule]}" for r in results if r.rules[rule] != "kept")
            or "kept"
            for rule in check.RULES
        },
        "service": mean("service"),
        "service_worst_10s": min(r.figures["service_worst_10s"] for r in results),
        "answers": answers,
        "latency_ms": means("latency_ms"),
        "agents": world.agents,
        "calls": sum(r.figures["calls"] for r in results),
        "shots": sum(r.figures["shots"] for r in results),
        "seeds": [r.seed for r in results],
        "policy": world.policy,
        "digest": digest,
    }
    for name, figure in (("products", "by_product"), ("customers", "by_customer")):
        if name in world.measure:
            told[figure] = means(figure)
    return told


@dataclass
class Difference:
    """Two policies on the same seeds: ours less the other's."""

    mean: float
    noise: float  # standard error of the mean
    each: list[tuple[int, float, float]]  # seed, ours, theirs

    @property
    def clear(self) -> bool:
        """If it is more than twice its noise."""
        return abs(self.mean) > 2 * self.noise


def difference(ours: list[Result], theirs: list[Result], figure: str) -> Difference:
    each = [(a.seed, a.figures[figure], b.figures[figure]) for a, b in zip(ours, theirs, strict=True)]
    gaps = [a - b for _, a, b in each]
    mean = sum(gaps) / len(gaps)
    spread = sqrt(sum((g - mean) ** 2 for g in gaps) / max(1, len(gaps) - 1))
    return Difference(mean, spread / sqrt(len(gaps)) if len(gaps) > 1 else float("inf"), each)


def compare(
    world: World,
    against: list[str],
    workers: int | None = None,
    done: Callable[[int, Result], None] | None = None,
) -> dict[str, list[Result]]:
    """The world under its own policy and the others, on the same seeds."""
    seeds = world.seeds if len(world.seeds) > 1 else tuple(world.seeds[0] + i for i in range(SEEDS))
    names = list(dict.fromkeys([world.policy, *against]))
    jobs = [
        (replace(world, policy=name, fault=world.fault if name == world.policy else ""), seed)
        for name in names
        for seed in seeds
    ]
    results = run_many(jobs, workers, done)
    return {name: results[i * len(seeds) : (i + 1) * len(seeds)] for i, name in enumerate(names)}
