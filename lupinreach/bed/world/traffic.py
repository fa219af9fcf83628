"""What clients ask: open-loop arrivals, drawn ahead from the world and a seed. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from lupinreach.bed.world.random_streams import random_stream
from lupinreach.bed.world.spec import Traffic, World

GRAIN = 50.0  # ms: the rate is even within one
COSTLY_SHARE = 0.02


class Arrival(NamedTuple):
    at: float  # ms since the run began
    agent: int
    product: int
    customer: int  # -1: none
    work: float
    hint: float  # 0: none
    key: int  # -1: none


def rates(traffic: Traffic, world: World, seed: int) -> np.ndarray:
    """API calls a second for each grain of the run."""
    grains = int(np.ceil(world.length / GRAIN))
    at = (np.arange(grains) + 0.5) * GRAIN
    rate = np.full(grains, traffic.calls_per_s)
    if traffic.shape == "day":
        rate *= 1 + traffic.swing * np.sin(2 * np.pi * at / traffic.period)
    elif traffic.shape == "bursts":
        chance = random_stream(seed, "bursts")
        spans = max(1, int(np.ceil(world.length / traffic.period)))
        begins = (np.arange(spans) + chance.random(spans) * 0.7) * traffic.period
        within = np.zeros(grains, dtype=bool)
        for begin in begins:
            within |= (at >= begin) & (at < begin + 0.2 * traffic.period)
        share = within.mean()
        rate *= np.where(within, 1 + 4 * traffic.swing, 1 - 4 * traffic.swing * share / max(1e-9, 1 - share))
    for t in world.troubles:
        if t.kind == "surge":
            rate = np.where((at >= t.at) & (at < t.at + t.length), rate * t.strength, rate)
    return np.maximum(rate, 0.0)


def arrivals(world: World, seed: int) -> list[Arrival]:
    """All API calls of the run, in the order of their times."""
    traffic = world.traffic
    rate = rates(traffic, world, seed)
    chance = random_stream(seed, "arrivals")
    counts = chance.poisson(rate * GRAIN / 1000)
    total = int(counts.sum())
    at = np.sort(np.repeat(np.arange(len(rate)) * GRAIN, counts) + chance.random(total) * GRAIN)
    weights = 1 / np.arange(1, world.agents + 1) ** traffic.agent_zipf
    agents = chance.choice(world.agents, total, p=weights / weights.sum())
    shares = np.array([p.share for p in world.products])
    products = chance.choice(len(shares), total, p=shares / shares.sum())
    customers = np.full(total, -1)
    if world.customers:
        parts = np.array([c.share for c in world.customers])
        customers = chance.choice(len(parts), total, p=parts / parts.sum())
    spread = np.array([p.spread for p in world.products])[products]
    means = np.array([p.work for p in world.products])[products]
    sigma = np.sqrt(np.log(1 + spread**2))
    work = means * np.exp(sigma * chance.standard_normal(total) - sigma**2 / 2)
    luck = chance.random(total)
    for t in world.troubles:
        if t.kind == "costly":
            struck = (at >= t.at) & (at < t.at + t.length) & (luck < COSTLY_SHARE)
            work = np.where(struck, work * t.strength, work)
    rough = {"none": 0.0, "rough": 0.4, "good": 0.05}[traffic.hints]
    hints = work * np.exp(rough * chance.standard_normal(total)) if rough else np.zeros(total)
    keys = np.full(total, -1)
    if traffic.keys:
        ranks = 1 / np.arange(1, traffic.keys + 1) ** traffic.key_zipf
        keys = chance.choice(traffic.keys, total, p=ranks / ranks.sum())
    rows = zip(
        at.tolist(),
        agents.tolist(),
        products.tolist(),
        customers.tolist(),
        work.tolist(),
        hints.tolist(),
        keys.tolist(),
        strict=True,
    )
    return [Arrival(*row) for row in rows]
