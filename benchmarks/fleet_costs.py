"""Cost per agent of fleet membership and sharing, by the number of agents.

    python benchmarks/fleet_costs.py [--agents 3 --agents 40 ...] [--seconds 20]

Prints one line of JSON per number of agents. Datagrams, bytes and synced bytes are counted in virtual
time, in a fleet with little traffic whose agents have a store, the request journal (`ran`), membership and
sharing. Memory is the size of the tables of one agent that has heard of all others. The time until an
update is known is simulated on the pure modules, with two datagrams every `share_ms` to random agents. The
last line has the longest time that the store blocks the event loop, with its maximum number of keys.
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
from lupinreach.fleet.incarnation import Incarnation
from lupinreach.fleet.membership import FANOUT, Members
from lupinreach.fleet.uptimes import Uptime, Uptimes
from lupinreach.ops.fleet_agent import FleetAgent
from lupinreach.store import records
from lupinreach.store.store import Store
from lupinreach.trial import play, spec

HEARTBEAT_INTERVAL_MS, SHARE_INTERVAL_MS = 1000.0, 500.0
CALLS_PER_AGENT_S = 0.2  # calls per second


def world(agents: int, seconds: float) -> dict[str, Any]:
    """The trial of a fleet with little traffic, in the format of a trial file."""
    backends = max(4, min(60, agents))
    return {
        "name": "costs",
        "seconds": seconds,
        "zones": ["a", "b"],
        "agents": {"count": agents, "store": True, "fleet": True, "ran": True, "share_ms": SHARE_INTERVAL_MS},
        "limits": {"peers": True},
        "backends": [{"count": backends, "cores": 2, "speed": [0.7, 1.3]}],
        "backend": {"connections": 4096},
        "products": [
            {"name": "look", "work": 20, "slo": 500, "timeout": 1500},
            {"name": "pay", "kind": "non-idempotent", "work": 20, "slo": 500, "timeout": 1500, "value": 5},
        ],
        "customers": [{"name": "one", "share": 0.6}, {"name": "two", "share": 0.4}],
        "traffic": {"calls_per_s": max(10.0, CALLS_PER_AGENT_S * agents)},
        "rules": {"cold": 4000.0, "drain_grace": 500.0, "fall": 1000.0},
    }


def measure_traffic(agents: int, seconds: float) -> dict[str, Any]:
    """Traffic of one run in virtual time, per agent and second once the fleet is up."""
    fleet_agents: list[FleetAgent] = []
    original_init = FleetAgent.__init__

    def recording_init(self: FleetAgent, *args: Any, **kwargs: Any) -> None:
        original_init(self, *args, **kwargs)
        fleet_agents.append(self)

    FleetAgent.__init__ = recording_init  # type: ignore[method-assign]
    began = time.process_time()
    played = play.run(spec.read(world(agents, seconds)), 1)
    cpu_s = time.process_time() - began
    FleetAgent.__init__ = original_init  # type: ignore[method-assign]
    counters = [fleet_agent._agent.counters.others for fleet_agent in fleet_agents]
    agent_seconds = agents * (seconds + 1)
    return {
        "datagrams_s": round(sum(counter["datagrams sent"] for counter in counters) / agent_seconds, 2),
        "bytes_s": round(sum(counter["datagram bytes sent"] for counter in counters) / agent_seconds),
        "synced_bytes_s": round(
            sum(fleet_agent._store.written for fleet_agent in fleet_agents) / agent_seconds
        ),
        "known_at_the_end": round(
            sum(
                len(fleet_agent.members.statuses(fleet_agent._agent.clock.now())) + 1
                for fleet_agent in fleet_agents
            )
            / len(fleet_agents)
            / agents,
            3,
        ),
        "rules": played.verdict,
        "cpu_s_of_the_run": round(cpu_s, 1),
    }


def table_bytes(agents: int) -> int:
    """Bytes of the tables of members and uptimes of an agent that has heard of all others."""
    draw = random_stream(1, "costs").random
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    members, uptimes = Members(0, agents, HEARTBEAT_INTERVAL_MS, draw), Uptimes(0, 20_000.0, draw)
    for n in range(1, agents):
        members.receive(1.0, n, Incarnation(3, n), 7, ())
        uptimes.receive(30_000.0, [Uptime(n, n % 60, 5000.0, 10.0)])
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before


def propagation_times(agents: int, rows: int = 60) -> dict[str, float]:
    """Milliseconds until half and 99% of all agents have a row of one backend.

    It is one of `rows` backends, each reported by two agents.
    """
    draw = random_stream(agents, "spread").random
    tables = [Uptimes(n, 60_000.0, draw) for n in range(agents)]
    rows_per_datagram = wire.UPDATE_ROW_BYTES // 2 // wire.UPTIME_ROW.size
    for backend in range(rows):
        for reporter in (backend % agents, (backend * 7 + 1) % agents):
            tables[reporter]._merge(0.0, backend, reporter, 0.0, 0.0)
    known_shares: list[float] = []
    for step in range(1, 400):
        now = step * SHARE_INTERVAL_MS
        messages = [
            (table.digest(now, rows_per_datagram), n) for n, table in enumerate(tables) for _ in range(FANOUT)
        ]
        for message, _ in messages:
            receiver = int(draw() * agents)
            tables[receiver].receive(now, message)
        known_shares.append(sum(0 in table._rows for table in tables) / agents)
        if known_shares[-1] >= 1:
            break
    return {
        f"{share:g}": next(
            (
                SHARE_INTERVAL_MS * (i + 1)
                for i, known_share in enumerate(known_shares)
                if known_share >= share
            ),
            float("inf"),
        )
        for share in (0.5, 0.99)
    }


def longest_block() -> float:
    """The longest time in ms that the event loop is blocked while the store writes `MAX_KEYS` keys."""

    async def main() -> float:
        with tempfile.TemporaryDirectory() as folder:
            store = Store(str(Path(folder) / "store"), "agent")
            for n in range(records.MAX_KEYS):
                store.put(f"ran/{n:032x}", 1)
            longest_s, last, done = 0.0, time.perf_counter(), asyncio.ensure_future(store.flush())
            while not done.done():
                await asyncio.sleep(0)
                now = time.perf_counter()
                longest_s, last = max(longest_s, now - last), now
            return 1000 * longest_s

    return asyncio.run(main())


def run_job(job: tuple[int, float]) -> dict[str, Any]:
    """All costs for one number of agents."""
    agents, seconds = job
    return {
        "agents": agents,
        **measure_traffic(agents, seconds),
        "tables_bytes": table_bytes(agents),
        "news_ms": propagation_times(agents),
    }


@click.command()
@click.option("--agents", multiple=True, type=click.IntRange(2), default=(3, 12, 40, 50, 200, 500, 2000))
@click.option("--seconds", type=click.FloatRange(5.0), default=20.0)
def main(agents: tuple[int, ...], seconds: float) -> None:
    """Measures all numbers of agents in a process pool and prints one line for each."""
    with ProcessPoolExecutor() as pool:
        for line in pool.map(run_job, [(n, seconds) for n in agents]):
            print(json.dumps(line), flush=True)
    print(json.dumps({"keys": records.MAX_KEYS, "longest_hold_ms": round(longest_block(), 1)}))


if __name__ == "__main__":
    main()
