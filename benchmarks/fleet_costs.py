"""What it costs an agent to be in touch, by the number of agents: datagrams, bytes, syncs, memory, time for news to get round.

    python benchmarks/fleet_costs.py [--agents 3 --agents 40 ...] [--seconds 20]

One line of JSON a number of agents. Datagrams, bytes and syncs are counted in virtual time in a fleet that is asked little, each agent with
store, `ran`, fleet and sharing; memory is what the tables of one agent hold that has heard of all; news are timed on the pure modules, two
words every `share_ms` to agents drawn anew. A last line has the longest hold of the event loop by the store, at its most keys.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click

from lupinreach.bed.world.random_streams import random_stream
from lupinreach.fleet import wire
from lupinreach.fleet.life import Life
from lupinreach.fleet.membership import FAN, Members
from lupinreach.fleet.warmth import Stood, Warmth
from lupinreach.ops.returning import Returning
from lupinreach.store import records
from lupinreach.store.store import Store
from lupinreach.trial import play, spec

BEAT, SHARE = 1000.0, 500.0  # ms
CALLS = 0.2  # a s and agent


def world(agents: int, seconds: float) -> dict[str, Any]:
    backends = max(4, min(60, agents))
    return {
        "name": "costs",
        "seconds": seconds,
        "zones": ["a", "b"],
        "agents": {"count": agents, "store": True, "fleet": True, "ran": True, "share_ms": SHARE},
        "limits": {"peers": True},
        "backends": [{"count": backends, "cores": 2, "speed": [0.7, 1.3]}],
        "backend": {"connections": 4096},
        "products": [
            {"name": "look", "work": 20, "slo": 500, "timeout": 1500},
            {"name": "pay", "kind": "non-idempotent", "work": 20, "slo": 500, "timeout": 1500, "value": 5},
        ],
        "customers": [{"name": "one", "share": 0.6}, {"name": "two", "share": 0.4}],
        "traffic": {"calls_per_s": max(10.0, CALLS * agents)},
        "rules": {"cold": 4000.0, "drain_grace": 500.0, "fall": 1000.0},
    }


def counted(agents: int, seconds: float) -> dict[str, Any]:
    """By agent and second, once the fleet has stood up."""
    parts: list[Returning] = []
    plain = Returning.__init__

    def noted(self: Returning, *given: Any, **more: Any) -> None:
        plain(self, *given, **more)
        parts.append(self)

    Returning.__init__ = noted  # type: ignore[method-assign]
    began = time.process_time()
    played = play.run(spec.read(world(agents, seconds)), 1)
    took = time.process_time() - began
    Returning.__init__ = plain  # type: ignore[method-assign]
    others = [part._agent.counters.others for part in parts]
    each = agents * (seconds + 1)
    return {
        "datagrams_s": round(sum(o["datagrams sent"] for o in others) / each, 2),
        "bytes_s": round(sum(o["datagram bytes sent"] for o in others) / each),
        "synced_bytes_s": round(sum(part._store.written for part in parts) / each),
        "known_at_the_end": round(
            sum(len(part.members.all(part._agent.clock.now())) + 1 for part in parts) / len(parts) / agents, 3
        ),
        "rules": played.verdict,
        "cpu_s_of_the_run": round(took, 1),
    }


def held(agents: int) -> int:
    """Bytes of one agent's tables that has heard of all: members, evidence of all backends, counts, who stands."""
    chance = random_stream(1, "costs").random
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    members, warmth = Members(0, agents, BEAT, chance), Warmth(0, 20_000.0, chance)
    for n in range(1, agents):
        members.heard(1.0, n, Life(3, n), 7, ())
        warmth.heard(30_000.0, [Stood(n, n % 60, 5000.0, 10.0)])
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before


def spread(agents: int, rows: int = 60) -> dict[str, float]:
    """Ms until one agent's word of one backend, among `rows` that two agents each tell of, is known to half and to 99% of all."""
    chance = random_stream(agents, "spread").random
    each = [Warmth(n, 60_000.0, chance) for n in range(agents)]
    room = wire.NEWS_ROOM // 2 // wire.STOOD_ROW.size
    for backend in range(rows):
        for teller in (backend % agents, (backend * 7 + 1) % agents):
            each[teller]._put(0.0, backend, teller, 0.0, 0.0)
    known: list[float] = []
    for step in range(1, 400):
        now = step * SHARE
        words = [(one.digest(now, room), n) for n, one in enumerate(each) for _ in range(FAN)]
        for word, _ in words:
            to = int(chance() * agents)
            each[to].heard(now, word)
        known.append(sum(0 in one._rows for one in each) / agents)
        if known[-1] >= 1:
            break
    return {
        f"{share:g}": next((SHARE * (i + 1) for i, part in enumerate(known) if part >= share), float("inf"))
        for share in (0.5, 0.99)
    }


def longest_hold() -> float:
    """Ms for which the event loop stands still while the store writes all that it may hold."""

    async def main() -> float:
        with tempfile.TemporaryDirectory() as folder:
            store = Store(str(Path(folder) / "store"), "agent")
            for n in range(records.MOST_KEYS):
                store.put(f"ran/{n:032x}", 1)
            worst, last, done = 0.0, time.perf_counter(), asyncio.ensure_future(store.flush())
            while not done.done():
                await asyncio.sleep(0)
                now = time.perf_counter()
                worst, last = max(worst, now - last), now
            return 1000 * worst

    return asyncio.run(main())


def one(job: tuple[int, float]) -> dict[str, Any]:
    agents, seconds = job
    return {
        "agents": agents,
        **counted(agents, seconds),
        "tables_bytes": held(agents),
        "news_ms": spread(agents),
    }


@click.command()
@click.option("--agents", multiple=True, type=click.IntRange(2), default=(3, 12, 40, 50, 200, 500, 2000))
@click.option("--seconds", type=click.FloatRange(5.0), default=20.0)
def main(agents: tuple[int, ...], seconds: float) -> None:
    with ProcessPoolExecutor() as pool:
        for line in pool.map(one, [(n, seconds) for n in agents]):
            print(json.dumps(line), flush=True)
    print(json.dumps({"keys": records.MOST_KEYS, "longest_hold_ms": round(longest_hold(), 1)}))


if __name__ == "__main__":
    main()
