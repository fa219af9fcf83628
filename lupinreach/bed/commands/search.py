"""Looks round a world for ones on which it does badly, and shrinks a broken rule to a small world that replays it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from lupinreach.bed.commands.experiment import Result, run_many
from lupinreach.bed.world.random_streams import RandomStream, random_stream
from lupinreach.bed.world.spec import TROUBLES, BackendKind, Trouble, World
from lupinreach.model import Idempotency

MOST_TROUBLES = 3  # drawn beside those of the world
LOADS = 0.6, 1.6  # x the world's arrivals
KEEPS = 3  # worst worlds that are kept
TRIES = 8  # seeds on which a smaller world may still show it
LEAST_LENGTH = 2000.0  # ms
ROUNDS = 12
NOT_DRAWN = ("kill-agents", "restart-agents")  # clients lose their agent: low service that says nothing


@dataclass
class Found:
    world: World  # with the one seed that shows it
    result: Result


# What leaves API calls half done, of which one is always drawn, and what else is hard on the rules.
HALF_DONE = ("stall", "reset")
STRESSES = (*HALF_DONE, "fail", "silent", "vanish", "cut", "drain", "crash")
RISKY = 4.0  # x the usual share of what must not run twice


def draw(world: World, number: int, chance: RandomStream) -> World:
    """One world round the given one; each second one under stress, where rules are looked for and not service."""
    return _stressed(world, number, chance) if number % 2 else _likely(world, number, chance)


def _stressed(world: World, number: int, chance: RandomStream) -> World:
    """Endings that are rare elsewhere are common here.

    Guards against a fault that needs two rare things at once: drawn apart they would hardly ever meet.
    """
    drawn = []
    for i in range(int(chance.integers(1, MOST_TROUBLES + 1))):
        kinds = STRESSES if i else HALF_DONE
        kind = kinds[int(chance.integers(len(kinds)))]
        drawn.append(
            Trouble(
                kind,
                0.05 * world.length,
                float(chance.uniform(0.4, 0.9)) * world.length,
                float(chance.uniform(0.3, 1.0)),
                (),
                float(chance.uniform(0.2, 0.7)) if TROUBLES[kind][3] == 1.0 else 0.0,
            )
        )
    products = tuple(
        p if p.kind is Idempotency.IDEMPOTENT else replace(p, share=RISKY * p.share) for p in world.products
    )
    return replace(
        world,
        name=f"{world.name}-{number}-stress",
        products=products,
        troubles=(*world.troubles, *drawn),
        seeds=(int(chance.integers(1 << 30)),),
        mode="virtual",
    )


def _likely(world: World, number: int, chance: RandomStream) -> World:
    kinds = [k for k in TROUBLES if k not in NOT_DRAWN]
    drawn = []
    for _ in range(int(chance.integers(1, MOST_TROUBLES + 1))):
        kind = kinds[int(chance.integers(len(kinds)))]
        _, usual, low, high = TROUBLES[kind]
        strength = min(high, max(low, usual * float(chance.uniform(0.5, 2.0)))) if high > low else usual
        at = float(chance.uniform(0.05, 0.6)) * world.length
        drawn.append(
            Trouble(
                kind,
                at,
                float(chance.uniform(0.1, 0.5)) * world.length,
                float(chance.uniform(0.1, 0.6)),
                (),
                strength,
            )
        )
    load = float(chance.uniform(*LOADS))
    traffic = replace(world.traffic, calls_per_s=world.traffic.calls_per_s * load)
    return replace(
        world,
        name=f"{world.name}-{number}",
        traffic=traffic,
        troubles=(*world.troubles, *drawn),
        seeds=(int(chance.integers(1 << 30)),),
        mode="virtual",
    )


def search(
    world: World,
    budget: int,
    seed: int = 1,
    workers: int | None = None,
    told: Callable[[str], None] = lambda _: None,
) -> tuple[Found | None, list[Found]]:
    """`budget` runs: the broken rule, shrunk, if one was met; and the worlds with the least service, worst first."""
    chance = random_stream(seed, "search")
    worst: list[Found] = []
    batch = 4 * (workers or 8)
    for begin in range(0, budget, batch):
        worlds = [draw(world, i, chance) for i in range(begin, min(budget, begin + batch))]
        results = run_many([(w, w.seeds[0]) for w in worlds], workers)
        found = [Found(w, r) for w, r in zip(worlds, results, strict=True)]
        likely = [f for f in found if not f.world.name.endswith("-stress")]
        worst = sorted([*worst, *likely], key=lambda f: f.result.figures["service"])[:KEEPS]
        told(f"{begin + len(worlds)} worlds, least service {worst[0].result.figures['service']:.3f}")
        broken = [f for f in found if not f.result.kept]
        if broken:
            told(f"{broken[0].world.name} breaks {broken[0].result.violations[0].name!r}; shrinking")
            return shrink(broken[0], workers, told), worst
    return None, worst


def shrink(found: Found, workers: int | None = None, told: Callable[[str], None] = lambda _: None) -> Found:
    """The smallest world met that breaks the same rule in the same way."""
    name = found.result.violations[0].name
    for _ in range(ROUNDS):
        better = None
        for world in smaller(found.world):
            better = _shows(world, name, workers)
            if better is not None:
                break
        if better is None:
            break
        found = better
        told(f"{size(found.world)}: still {name!r}")
    return found


def size(world: World) -> str:
    return (
        f"{len(world.troubles)} troubles, {world.agents} agents, {world.backend_count} backends, "
        f"{world.length / 1000:.1f} s, {world.traffic.calls_per_s:.0f} API calls a second"
    )


def _shows(world: World, name: str, workers: int | None) -> Found | None:
    """This world on a seed on which it breaks the rule in this way; the seed it has goes first."""
    seeds = [world.seeds[0], *(world.seeds[0] + i for i in range(1, TRIES))]
    for result in run_many([(world, s) for s in seeds], workers):
        if any(b.name == name for b in result.violations):
            return Found(replace(world, seeds=(result.seed,)), result)
    return None


def smaller(world: World) -> Iterator[World]:
    """Worlds a step smaller, the greatest steps first."""
    for i in range(len(world.troubles)):
        yield replace(world, troubles=world.troubles[:i] + world.troubles[i + 1 :])
    if world.agents > 1:
        yield replace(world, agents=max(1, world.agents // 2))
    if world.length / 2 >= LEAST_LENGTH:
        yield replace(
            world,
            length=world.length / 2,
            troubles=tuple(replace(t, at=t.at / 2, length=t.length / 2) for t in world.troubles),
        )
    if world.backend_count > 2 and not any(t.targets for t in world.troubles):
        halves = tuple(_half(kind) for kind in world.backends)
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


def _half(kind: BackendKind) -> BackendKind:
    return replace(kind, count=max(1, kind.count // 2))
