"""Searches variants of a world for poor service or violated rules, and shrinks a violation to a small world."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from lupinreach.bed.commands.experiment import Result, run_many
from lupinreach.bed.world.random_streams import RandomStream, random_stream
from lupinreach.bed.world.spec import TROUBLES, BackendKind, Trouble, World
from lupinreach.model import Idempotency

MAX_DRAWN_TROUBLES = 3  # in addition to those of the world
LOAD_RANGE = 0.6, 1.6  # x the world's arrival rate
KEPT_WORST = 3  # worlds with the least service that are kept
SHRINK_SEEDS = 8  # seeds tried on each smaller world to reproduce a violation
MIN_LENGTH_MS = 2000.0  # of a shrunk world
MAX_SHRINK_ROUNDS = 12  # accepted simplifications
# Clients without an agent: low service, whatever the policy does.
EXCLUDED_TROUBLES = (
    "kill-agents",
    "restart-agents",
)


@dataclass
class Finding:
    """A world that was played, and its result."""

    world: World  # with the one seed that was played
    result: Result


# Under stress one trouble is drawn that leaves calls half done, and others that put the rules at risk.
INTERRUPTING_TROUBLES = ("stall", "reset")
STRESS_TROUBLES = (*INTERRUPTING_TROUBLES, "fail", "silent", "vanish", "cut", "drain", "crash")
UNSAFE_SHARE_FACTOR = 4.0  # x the world's share of calls that must not run twice


def draw(world: World, number: int, rng: RandomStream) -> World:
    """Draws a variant of the world; every second one is under stress, to find violations rather than low service."""
    return _draw_stressed(world, number, rng) if number % 2 else _draw_ordinary(world, number, rng)


def _draw_stressed(world: World, number: int, rng: RandomStream) -> World:
    """Draws a variant in which otherwise rare failures are common.

    This finds faults that need two rare events at once, which independent draws would hardly ever combine.
    """
    drawn = []
    for i in range(int(rng.integers(1, MAX_DRAWN_TROUBLES + 1))):
        kinds = STRESS_TROUBLES if i else INTERRUPTING_TROUBLES
        kind = kinds[int(rng.integers(len(kinds)))]
        drawn.append(
            Trouble(
                kind,
                0.05 * world.length,
                float(rng.uniform(0.4, 0.9)) * world.length,
                float(rng.uniform(0.3, 1.0)),
                (),
                float(rng.uniform(0.2, 0.7)) if TROUBLES[kind][3] == 1.0 else 0.0,
            )
        )
    products = tuple(
        p if p.kind is Idempotency.IDEMPOTENT else replace(p, share=UNSAFE_SHARE_FACTOR * p.share)
        for p in world.products
    )
    return replace(
        world,
        name=f"{world.name}-{number}-stress",
        products=products,
        troubles=(*world.troubles, *drawn),
        seeds=(int(rng.integers(1 << 30)),),
        mode="virtual",
    )


def _draw_ordinary(world: World, number: int, rng: RandomStream) -> World:
    kinds = [k for k in TROUBLES if k not in EXCLUDED_TROUBLES]
    drawn = []
    for _ in range(int(rng.integers(1, MAX_DRAWN_TROUBLES + 1))):
        kind = kinds[int(rng.integers(len(kinds)))]
        _, default_strength, low, high = TROUBLES[kind]
        strength = (
            min(high, max(low, default_strength * float(rng.uniform(0.5, 2.0))))
            if high > low
            else default_strength
        )
        at = float(rng.uniform(0.05, 0.6)) * world.length
        drawn.append(
            Trouble(
                kind,
                at,
                float(rng.uniform(0.1, 0.5)) * world.length,
                float(rng.uniform(0.1, 0.6)),
                (),
                strength,
            )
        )
    load = float(rng.uniform(*LOAD_RANGE))
    traffic = replace(world.traffic, calls_per_s=world.traffic.calls_per_s * load)
    return replace(
        world,
        name=f"{world.name}-{number}",
        traffic=traffic,
        troubles=(*world.troubles, *drawn),
        seeds=(int(rng.integers(1 << 30)),),
        mode="virtual",
    )


def search(
    world: World,
    budget: int,
    seed: int = 1,
    workers: int | None = None,
    report: Callable[[str], None] = lambda _: None,
) -> tuple[Finding | None, list[Finding]]:
    """Plays `budget` variants; returns a shrunk violation, if any, and the worlds with the least service."""
    rng = random_stream(seed, "search")
    worst: list[Finding] = []
    batch = 4 * (workers or 8)
    for begin in range(0, budget, batch):
        worlds = [draw(world, i, rng) for i in range(begin, min(budget, begin + batch))]
        results = run_many([(w, w.seeds[0]) for w in worlds], workers)
        found = [Finding(w, r) for w, r in zip(worlds, results, strict=True)]
        likely = [f for f in found if not f.world.name.endswith("-stress")]
        worst = sorted([*worst, *likely], key=lambda f: f.result.figures["service"])[:KEPT_WORST]
        report(f"{begin + len(worlds)} worlds, least service {worst[0].result.figures['service']:.3f}")
        broken = [f for f in found if not f.result.kept]
        if broken:
            report(f"{broken[0].world.name} breaks {broken[0].result.violations[0].name!r}; shrinking")
            return shrink(broken[0], workers, report), worst
    return None, worst


def shrink(
    found: Finding, workers: int | None = None, report: Callable[[str], None] = lambda _: None
) -> Finding:
    """Simplifies the world as long as the same violation can be reproduced; returns the smallest that shows it."""
    name = found.result.violations[0].name
    for _ in range(MAX_SHRINK_ROUNDS):
        smaller = None
        for world in simplify(found.world):
            smaller = _reproduce(world, name, workers)
            if smaller is not None:
                break
        if smaller is None:
            break
        found = smaller
        report(f"{size(found.world)}: still {name!r}")
    return found


def size(world: World) -> str:
    """The size of a world in words."""
    return (
        f"{len(world.troubles)} troubles, {world.agents} agents, {world.backend_count} backends, "
        f"{world.length / 1000:.1f} s, {world.traffic.calls_per_s:.0f} API calls a second"
    )


def _reproduce(world: World, name: str, workers: int | None) -> Finding | None:
    """Tries seeds, beginning with the world's own, until the violation shows; None if it doesn't."""
    seeds = [world.seeds[0], *(world.seeds[0] + i for i in range(1, SHRINK_SEEDS))]
    for result in run_many([(world, s) for s in seeds], workers):
        if any(b.name == name for b in result.violations):
            return Finding(replace(world, seeds=(result.seed,)), result)
    return None


def simplify(world: World) -> Iterator[World]:
    """Yields worlds that are one step simpler, the largest steps first."""
    for i in range(len(world.troubles)):
        yield replace(world, troubles=world.troubles[:i] + world.troubles[i + 1 :])
    if world.agents > 1:
        yield replace(world, agents=max(1, world.agents // 2))
    if world.length / 2 >= MIN_LENGTH_MS:
        yield replace(
            world,
            length=world.length / 2,
            troubles=tuple(replace(t, at=t.at / 2, length=t.length / 2) for t in world.troubles),
        )
    if world.backend_count > 2 and not any(t.targets for t in world.troubles):
        halves = tuple(_halve(kind) for kind in world.backends)
        if sum(k.count for k in halves) < world.backend_count:
            yield replace(world, backends=halves)
    if world.traffic.calls_per_s > 2:
        yield replace(
            world, traffic=replace(world.traffic, calls_per_s=round(world.traffic.calls_per_s / 2, 3))
        )
    if len(world.products) > 1:
        for i in range(len(world.products)):
            yield replace(world, products=world.products[:i] + world.products[i + 1 :])
    if world.customers:
        yield replace(world, customers=())


def _halve(kind: BackendKind) -> BackendKind:
    return replace(kind, count=max(1, kind.count // 2))
