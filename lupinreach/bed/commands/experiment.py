"""Runs of a world and their results, and comparisons of policies on the same seeds."""

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

DEFAULT_SEEDS = 6  # seeds of a comparison if the world names only one


@dataclass
class Result:
    """The result of one run: violations of the rules and metrics."""

    seed: int
    violations: list[Violation]
    rules: dict[str, str]
    figures: dict[str, Any]
    digest: str
    undelivered: int = 0  # attempts whose answer was held up between the agent and its client

    @property
    def kept(self) -> bool:
        """If no rule was violated."""
        return not self.violations


def play(world: World, seed: int, progress: Callable[[float], None] | None = None) -> Ledger:
    """Plays the world in its mode and returns the ledger."""
    return (virtual if world.mode == "virtual" else loopback).play(world, seed, progress)


def judge(world: World, seed: int, ledger: Ledger) -> Result:
    """Checks the rules and computes the metrics of a played run."""
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
    """Plays and judges one run."""
    return judge(world, seed, play(world, seed))


def run_many(
    jobs: list[tuple[World, int]],
    workers: int | None = None,
    done: Callable[[int, Result], None] | None = None,
) -> list[Result]:
    """Runs jobs in parallel processes (on loopback in sequence); returns results in the order of the jobs."""
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
    """The JSON line that `bed run` ends with: means over seeds; for the worst 10 s the minimum."""
    run_count = len(results)
    answers: dict[str, int] = {}
    for r in results:
        for what, times in r.figures["answers"].items():
            answers[what] = answers.get(what, 0) + times

    def mean(name: str) -> float:
        return round(sum(r.figures[name] for r in results) / run_count, 4)

    def means(name: str) -> dict[str, float]:
        keys = sorted({k for r in results for k in r.figures[name]})
        return {k: round(sum(r.figures[name].get(k, 0.0) for r in results) / run_count, 4) for k in keys}

    digest = (
        results[0].digest
        if run_count == 1
        else blake2b("".join(r.digest for r in results).encode(), digest_size=16).hexdigest()
    )
    line = {
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
            line[figure] = means(figure)
    return line


@dataclass
class Difference:
    """The difference between two policies on the same seeds: ours minus theirs."""

    mean: float
    noise: float  # standard error of the mean
    each: list[tuple[int, float, float]]  # seed, ours, theirs

    @property
    def clear(self) -> bool:
        """If the difference is more than twice its standard error."""
        return abs(self.mean) > 2 * self.noise


def difference(ours: list[Result], theirs: list[Result], figure: str) -> Difference:
    """The difference in one metric, over the seeds."""
    each = [(a.seed, a.figures[figure], b.figures[figure]) for a, b in zip(ours, theirs, strict=True)]
    differences = [a - b for _, a, b in each]
    mean = sum(differences) / len(differences)
    spread = sqrt(sum((g - mean) ** 2 for g in differences) / max(1, len(differences) - 1))
    return Difference(mean, spread / sqrt(len(differences)) if len(differences) > 1 else float("inf"), each)


def compare(
    world: World,
    against: list[str],
    workers: int | None = None,
    done: Callable[[int, Result], None] | None = None,
) -> dict[str, list[Result]]:
    """Plays the world under its own policy and the others, on the same seeds; results by policy."""
    seeds = world.seeds if len(world.seeds) > 1 else tuple(world.seeds[0] + i for i in range(DEFAULT_SEEDS))
    names = list(dict.fromkeys([world.policy, *against]))
    jobs = [
        (replace(world, policy=name, fault=world.fault if name == world.policy else ""), seed)
        for name in names
        for seed in seeds
    ]
    results = run_many(jobs, workers, done)
    return {name: results[i * len(seeds) : (i + 1) * len(seeds)] for i, name in enumerate(names)}
