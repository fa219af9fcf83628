"""Virtual time: all agents, clients and servers of a world in one process, on the bed's own event loop."""

from __future__ import annotations

import asyncio
import gc
import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

from lupinreach.bed.peers.backend import Backend
from lupinreach.bed.ways.disk import CARRIED, MemoryDisk
from lupinreach.bed.ways.faults import FAULTS
from lupinreach.bed.ways.loop import START, VirtualLoop
from lupinreach.bed.ways.memory import RST, MemoryNet, MemorySocket, MemorySockets
from lupinreach.bed.ways.policies import POLICIES, TrueState
from lupinreach.bed.ways.stage import Stage
from lupinreach.bed.world import ledger as record_kinds
from lupinreach.bed.world.environment import VIRTUAL_EPOCH_MS, Addresses
from lupinreach.bed.world.ledger import Ledger
from lupinreach.bed.world.network import Machine, Paths
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.bed.world.spec import World
from lupinreach.config import Address, AgentConfig, FleetConfig, Section, read_settings
from lupinreach.net.agent import Agent
from lupinreach.net.clock import Clock
from lupinreach.net.log import Log
from lupinreach.ops.outlives import take_up

NAME = b"Req-Id: "


class VirtualClock(Clock):
    """The agent's clock on the loop's time, so many ms ahead of it, and gaining."""

    def __init__(self, loop: VirtualLoop, ahead: float = 0.0, drift: float = 0.0) -> None:
        self._loop = loop
        self._rate = 1 + drift
        self._anchor = VIRTUAL_EPOCH_MS + ahead - loop.time() * 1000 * drift

    def now(self) -> float:
        return self._anchor + self._loop.time() * 1000 * self._rate


class VirtualLog(Log):
    """Books what an agent says of its store and its fleet, and drops the rest: faults are counted by the agent."""

    def __init__(self, say: Callable[[str, dict[str, object]], None]) -> None:
        logging.Handler.__init__(self, logging.ERROR)
        self.dropped = 0
        self._say = say

    def event(self, event: str, **fields: object) -> None:
        if event in record_kinds.RECORDED_LOG_EVENTS:
            self._say(event, fields)


class Life:
    """One agent from start to end."""

    def __init__(self, owner: int, agent: Agent, log: VirtualLog) -> None:
        self.owner = owner
        self.agent = agent
        self.log = log


class Seen:
    """The true state, as far as one agent could act on it."""

    def __init__(self, environment: VirtualGround, machine: Machine, agent: Agent) -> None:
        self._environment, self._machine, self._agent = environment, machine, agent

    def backend(self, index: int) -> Backend | None:
        environment, place = self._environment, self._agent.directory.place(index)
        host = environment.hosts[environment.backend_at[place.address]]
        there = environment.paths.reaches(self._machine, host.machine) and environment.paths.reaches(
            host.machine, self._machine
        )
        if not there or not host.backend.up:
            return None
        host.step()
        return host.backend

    def work(self, product: int) -> float:
        return self._environment.works[product]


class VirtualGround:
    sees_agent_traffic = True
    addresses = Addresses(7000)

    def __init__(self, world: World, seed: int) -> None:
        self.loop = VirtualLoop()
        self._seed = seed
        self._disks: dict[int, MemoryDisk] = {}  # one an agent, over all its lives
        network = world.network
        self.paths = Paths(
            network.same, network.cross, network.jitter, network.loss, random_stream(seed, "paths")
        )
        self.net = MemoryNet(self.loop, self.paths)
        self.net.sends = self._sends
        self.net.everybody = self.addresses.everybody()
        self.clock = VirtualClock(self.loop)
        self.ledger = Ledger(VIRTUAL_EPOCH_MS + START * 1000)
        self._fault = FAULTS.get(world.fault)
        self._tamper = self._fault.tamper() if self._fault and self._fault.tamper else None
        self._decide = self._fault.decide if self._fault and self._fault.decide else POLICIES[world.policy]
        self._machines: Callable[[int], Machine] = lambda _: Machine("", 0)
        self._lives: dict[int, Life] = {}
        self._twins: dict[int, Life] = {}  # second processes; each leaves as it ends
        self._owners: dict[int, tuple[int, int]] = {}  # owner: agent, life; as many as there were lives
        self._chance = random_stream(seed, "breaks")
        self.works = [p.work for p in world.products]
        self._tasks: set[asyncio.Task[None]] = set()
        self._ends: dict[int, Callable[[], None]] = {}  # of the agents that run
        self.agent_faults: Counter[str] = Counter()

    def now(self) -> float:
        return self.clock.now()

    async def serve(
        self, address: Address, machine: Machine, protocol: Callable[[], asyncio.Protocol]
    ) -> None:
        self.net.serve(address, machine, protocol)

    def connect(self, machine: Machine, protocol: asyncio.Protocol, address: Address) -> None:
        self.net.connect(machine, protocol, address)

    def release_held(self) -> None:
        self.net.release_held()

    def reset_refused(self) -> None:
        self.net.refuse()

    def set_refusing(self, machine: Machine, on: bool) -> None:
        machine.refusing = on

    def _sends(self, sock: MemorySocket, piece: bytes) -> tuple[bytes, int]:
        """What an agent writes: booked, tampered with, or broken off."""
        if sock.address is not None:
            at = piece.find(NAME)
            if at >= 0:
                name = piece[at + len(NAME) : piece.index(b"\r", at)].decode()
                agent, life = self._owners[sock.owner]
                backend = self.backend_at.get(sock.address)
                if backend is not None:
                    self.ledger.add_record(record_kinds.SENT, self.now(), agent, life, backend, name)
                other = sock.other
                if (
                    other is not None
                    and other.machine.breaks
                    and self._chance.random() < other.machine.breaks
                ):
                    self._break(sock, other)
                    return piece[: len(piece) // 2], len(piece) // 2
        return (self._tamper(sock, piece) if self._tamper is not None else piece), len(piece)

    def _break(self, sock: MemorySocket, other: Any) -> None:
        """The connection goes before the last byte: the kernel has taken half, and then says so."""
        sock.stopped = True
        self.loop.call_later(0.001, sock.take, RST, context=self.net.context)
        self.loop.call_later(0.001, other.take, RST, context=self.net.context)

    # Agents.

    async def start_agent(
        self,
        number: int,
        incarnation: int,
        raw: dict[str, Any],
        ended: Callable[[], None],
        ahead: float = 0.0,
        drift: float = 0.0,
    ) -> None:
        self._lives[number] = await self._begin(number, incarnation, raw, ahead, drift)
        self._ends[number] = ended

    async def start_twin(self, number: int, raw: dict[str, Any]) -> None:
        self._twins[number] = await self._begin(number, 0, raw)

    def stop_twin(self, number: int) -> None:
        self._kill(self._twins.pop(number))

    async def _begin(
        self, number: int, life: int, raw: dict[str, Any], ahead: float = 0.0, drift: float = 0.0
    ) -> Life:
        owner = len(self._owners) + 1
        self._owners[owner] = number, life
        log = VirtualLog(
            lambda event, fields: self.ledger.add_record(record_kinds.SAID, self.now(), number, event, fields)
        )
        with self.loop.owned_by(owner):
            sockets = MemorySockets(self.net, self._machines(number), raw["limits"]["sockets"])
            agent = Agent(_config(raw), log, VirtualClock(self.loop, ahead, drift), sockets, self._decide)
            begun = Life(owner, agent, log)
            if life:
                self._lives[number] = begun  # one that is killed while it starts has an owner too
            if isinstance(agent.balancer, TrueState):
                agent.balancer.truth = Seen(self, self._machines(number), agent)
            take_up(agent, self.disk(number), agent.config.seed & 0xFFFFFFFF)
            await self.loop.create_task(agent.start())
        return begun

    def disk(self, number: int) -> MemoryDisk:
        return self._disks.setdefault(number, MemoryDisk(random_stream(self._seed, "disk", number)))

    def carried(self, number: int) -> str:
        return CARRIED

    def stop_agent(self, number: int) -> None:
        life = self._lives[number]

        async def stop() -> None:
            await life.agent.stop()
            self.net.die(life.owner)
            self._close(life)
            self._ends[number]()

        with self.loop.owned_by(life.owner):
            task = self.loop.create_task(stop())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def kill_agent(self, number: int) -> None:
        self._kill(self._lives[number])

    def _kill(self, life: Life) -> None:
        self.loop.kill(life.owner)
        self.net.die(life.owner)
        self._close(life)

    def _close(self, life: Life) -> None:
        for what, times in life.agent.counters.others.items():
            if what.startswith("fault"):
                self.agent_faults[what] += times

    def pause_agent(self, number: int, ms: float) -> None:
        self.loop.hold(self._lives[number].owner, ms)

    def pools(self) -> dict[int, int]:
        found = dict.fromkeys(self.backend_at.values(), 0)  # one that is in no pool counts too
        for life in self._lives.values():
            for b in life.agent.balancer._ready:
                if not any(b.ejected_until):
                    backend = self.backend_at.get(life.agent.directory.place(b.index).address)
                    if backend is not None:
                        found[backend] += 1
        return found

    def bind(self, stage: Stage, backends: dict[Address, int]) -> None:
        self.hosts = stage.hosts
        self._machines = stage.machine
        self.backend_at = backends

    def close(self) -> None:
        for life in self._lives.values():
            self._close(life)


def _config(raw: dict[str, Any]) -> AgentConfig:
    """What `read_agent` makes of a file, without the file."""
    top = Section(raw)
    return AgentConfig(
        raw["name"],
        top.address("listen"),
        top.address("discovery"),
        int(raw["seed"], 16),
        raw["limits"]["sockets"],
        192 << 20,
        top.address("peer_listen") if "peer_listen" in raw else None,
        tuple(Section({"peer": t}).address("peer") for t in raw.get("peers", ())),
        top.address("peers_all") if "peers_all" in raw else None,
        raw["known"],
        read_settings(raw["settings"], "settings"),
        store=raw["carry"]["file"] if "carry" in raw else raw["store"]["file"] if "store" in raw else None,
        carry_age=1000 * raw["carry"]["most_age_s"] if "carry" in raw else None,
        ran=raw.get("store", {}).get("ran", False),
        fleet=FleetConfig(raw["fleet"]["beat_ms"], raw["fleet"]["ask_ms"], raw["fleet"]["share_ms"])
        if "fleet" in raw
        else None,
    )


def play(world: World, seed: int, progress: Callable[[float], None] | None = None) -> Ledger:
    """One run; its ledger, in which a fault stands where anything raised that nobody caught."""
    environment = VirtualGround(world, seed)
    loop = environment.loop
    asyncio.set_event_loop(loop)
    frozen = gc.isenabled()
    gc.disable()  # guards against a collector whose turns cost a third of the run
    try:
        IOLoop.current()  # makes Tornado's own for this loop, outside of all owners
        stage = Stage(world, seed, environment, progress)
        environment.bind(stage, {environment.addresses.backend(n): n for n in range(world.backend_count)})
        loop.run_until_complete(stage.play())
        environment.close()
        for what, times in sorted(environment.agent_faults.items()):
            environment.ledger.add_record(record_kinds.FAULT, environment.now(), f"{what} x{times}")
        for context in loop.faults:
            raised = context.get("exception")
            environment.ledger.add_record(
                record_kinds.FAULT,
                environment.now(),
                f"{context['message']}: {type(raised).__name__}: {raised}",
            )
    finally:
        ledger = environment.ledger
        ledger.seal()
        loop.end()
        # What killed agents left half-way ends while there still is a loop that it can call.
        stage = environment = None  # type: ignore[assignment]
        IOLoop._ioloop_for_asyncio.pop(loop, None)  # holds their streams
        gc.collect()
        if frozen:
            gc.enable()
        asyncio.set_event_loop(None)
        loop.close()
    return ledger
