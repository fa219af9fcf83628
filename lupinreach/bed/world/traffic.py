"""The calls that clients make: open-loop arrivals, drawn in advance from the world and a seed. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from lupinreach.bed.world.random_streams import random_stream
from lupinreach.bed.world.spec import Traffic, World

RATE_STEP_MS = 50.0  # the arrival rate is constant within a step
COSTLY_SHARE = 0.02  # of the calls while the trouble `costly` lasts


class Arrival(NamedTuple):
    """One API call of a client, before any retry."""

    at: float  # ms since the start of the run
    agent: int
    product: int
    customer: int  # -1: none
    work: float  # ms on a standard core
    hint: float  # the client's estimate of the work in ms; 0: none
    key: int  # cache key of the path; -1: none


def rates(traffic: Traffic, world: World, seed: int) -> np.ndarray:
    """The arrival rate in calls per second for each step of the run."""
    steps = int(np.ceil(world.length / RATE_STEP_MS))
    at = (np.arange(steps) + 0.5) * RATE_STEP_MS
    rate = np.full(steps, traffic.calls_per_s)
    if traffic.shape == "day":
        rate *= 1 + traffic.swing * np.sin(2 * np.pi * at / traffic.period)
    elif traffic.shape == "bursts":
        rng = random_stream(seed, "bursts")
        bursts = max(1, int(np.ceil(world.length / traffic.period)))
        burst_starts = (np.arange(bursts) + rng.random(bursts) * 0.7) * traffic.period
        in_burst = np.zeros(steps, dtype=bool)
        for burst_start in burst_starts:
            in_burst |= (at >= burst_start) & (at < burst_start + 0.2 * traffic.period)
        share = in_burst.mean()
        rate *= np.where(
            in_burst, 1 + 4 * traffic.swing, 1 - 4 * traffic.swing * share / max(1e-9, 1 - share)
        )
    for t in world.troubles:
        if t.kind == "surge":
            rate = np.where((at >= t.at) & (at < t.at + t.length), rate * t.strength, rate)
    return np.maximum(rate, 0.0)


def arrivals(world: World, seed: int) -> list[Arrival]:
    """All API calls of the run, ordered by time."""
    traffic = world.traffic
    rate = rates(traffic, world, seed)
    rng = random_stream(seed, "arrivals")
    counts = rng.poisson(rate * RATE_STEP_MS / 1000)
    total = int(counts.sum())
    at = np.sort(np.repeat(np.arange(len(rate)) * RATE_STEP_MS, counts) + rng.random(total) * RATE_STEP_MS)
    weights = 1 / np.arange(1, world.agents + 1) ** traffic.agent_zipf
    agents = rng.choice(world.agents, total, p=weights / weights.sum())
    product_shares = np.array([p.share for p in world.products])
    products = rng.choice(len(product_shares), total, p=product_shares / product_shares.sum())
    customers = np.full(total, -1)
    if world.customers:
        customer_shares = np.array([c.share for c in world.customers])
        customers = rng.choice(len(customer_shares), total, p=customer_shares / customer_shares.sum())
    relative_spread = np.array([p.spread for p in world.products])[products]
    means = np.array([p.work for p in world.products])[products]
    sigma = np.sqrt(np.log(1 + relative_spread**2))
    work = means * np.exp(sigma * rng.standard_normal(total) - sigma**2 / 2)
    costly_draw = rng.random(total)
    for t in world.troubles:
        if t.kind == "costly":
            costly = (at >= t.at) & (at < t.at + t.length) & (costly_draw < COSTLY_SHARE)
            work = np.where(costly, work * t.strength, work)
    hint_error = {"none": 0.0, "rough": 0.4, "good": 0.05}[traffic.hints]
    hints = work * np.exp(hint_error * rng.standard_normal(total)) if hint_error else np.zeros(total)
    keys = np.full(total, -1)
    if traffic.keys:
        weights_by_rank = 1 / np.arange(1, traffic.keys + 1) ** traffic.key_zipf
        keys = rng.choice(traffic.keys, total, p=weights_by_rank / weights_by_rank.sum())
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
