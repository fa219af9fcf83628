"""Runs on virtual time: all agents, clients and servers of a world in one process, on the bed's event loop."""

from __future__ import annotations

import asyncio
import gc
import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

from lupinreach.bed.peers.backend import Backend
from lupinreach.bed.ways.disk import STATE_FILE, MemoryDisk
from lupinreach.bed.ways.faults import FAULTS
from lupinreach.bed.ways.loop import START_TIME_S, VirtualLoop
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
from lupinreach.ops.persistence import restore_state

REQUEST_ID_PREFIX = b"Req-Id: "


class VirtualClock(Clock):
    """An agent's clock on virtual time: `ahead` ms ahead of it, and gaining `drift` ms per ms."""

    def __init__(self, loop: VirtualLoop, ahead: float = 0.0, drift: float = 0.0) -> None:
        self._loop = loop
        self._rate = 1 + drift
        self._anchor = VIRTUAL_EPOCH_MS + ahead - loop.time() * 1000 * drift

    def now(self) -> float:
        return self._anchor + self._loop.time() * 1000 * self._rate


class VirtualLog(Log):
    """Passes an agent's events about its store and fleet to the ledger; drops the rest, since the agent counts faults."""

    def __init__(self, on_event: Callable[[str, dict[str, object]], None]) -> None:
        logging.Handler.__init__(self, logging.ERROR)
        self.dropped = 0
        self._on_event = on_event

    def event(self, event: str, **fields: object) -> None:
        if event in record_kinds.RECORDED_LOG_EVENTS:
            self._on_event(event, fields)


class AgentRun:
    """One incarnation of an agent, from start to end."""

    def __init__(self, owner: int, agent: Agent, log: VirtualLog) -> None:
        self.owner = owner
        self.agent = agent
        self.log = log


class ReachableBackends:
    """The true state of the backends that one agent can reach."""

    def __init__(self, environment: VirtualGround, machine: Machine, agent: Agent) -> None:
        self._environment, self._machine, self._agent = environment, machine, agent

    def backend(self, index: int) -> Backend | None:
        environment, entry = self._environment, self._agent.directory.place(index)
        host = environment.hosts[environment.backend_at[entry.address]]
        reachable = environment.paths.reaches(self._machine, host.machine) and environment.paths.reaches(
            host.machine, self._machine
        )
        if not reachable or not host.backend.up:
            return None
        host.step()
        return host.backend

    def work(self, product: int) -> float:
        return self._environment.mean_work[product]


class VirtualGround:
    """Clock, network and agents of one run on virtual time."""

    sees_agent_traffic = True
    addresses = Addresses(7000)

    def __init__(self, world: World, seed: int) -> None:
        self.loop = VirtualLoop()
        self._seed = seed
        self._disks: dict[int, MemoryDisk] = {}  # by agent; kept over all its incarnations
        network = world.network
        self.paths = Paths(
            network.same, network.cross, network.jitter, network.loss, random_stream(seed, "paths")
        )
        self.net = MemoryNet(self.loop, self.paths)
        self.net.on_agent_send = self._on_agent_send
        self.net.broadcast_address = self.addresses.everybody()
        self.clock = VirtualClock(self.loop)
        self.ledger = Ledger(VIRTUAL_EPOCH_MS + START_TIME_S * 1000)
        self._fault = FAULTS.get(world.fault)
        self._tamper = self._fault.tamper() if self._fault and self._fault.tamper else None
        self._make_balancer = (
            self._fault.make_balancer if self._fault and self._fault.make_balancer else POLICIES[world.policy]
        )
        self._machine_of: Callable[[int], Machine] = lambda _: Machine("", 0)
        self._agent_runs: dict[int, AgentRun] = {}
        self._twin_runs: dict[int, AgentRun] = {}  # second processes; removed when they end
        # By owner: agent, incarnation; grows by one per incarnation.
        self._owners: dict[int, tuple[int, int]] = {}
        self._rng = random_stream(seed, "breaks")
        self.mean_work = [p.work for p in world.products]
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_ended: dict[int, Callable[[], None]] = {}  # callbacks by running agent
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
        self.net.flush_blocked()

    def reset_refused(self) -> None:
        self.net.reset_refused()

    def set_refusing(self, machine: Machine, on: bool) -> None:
        machine.refusing = on

    def _on_agent_send(self, sock: MemorySocket, data: bytes) -> tuple[bytes, int]:
        """Records data that an agent writes; may tamper with it or break its connection."""
        if sock.address is not None:
            at = data.find(REQUEST_ID_PREFIX)
            if at >= 0:
                request_id = data[at + len(REQUEST_ID_PREFIX) : data.index(b"\r", at)].decode()
                agent, incarnation = self._owners[sock.owner]
                backend = self.backend_at.get(sock.address)
                if backend is not None:
                    self.ledger.add_record(
                        record_kinds.SENT, self.now(), agent, incarnation, backend, request_id
                    )
                remote = sock.remote
                if (
                    remote is not None
                    and remote.machine.breaks
                    and self._rng.random() < remote.machine.breaks
                ):
                    self._break(sock, remote)
                    return data[: len(data) // 2], len(data) // 2
        return (self._tamper(sock, data) if self._tamper is not None else data), len(data)

    def _break(self, sock: MemorySocket, remote: Any) -> None:
        """Breaks a connection before the last byte: the kernel accepts half of the data, then reports a reset."""
        sock.write_blocked = True
        self.loop.call_later(0.001, sock.receive, RST, context=self.net.context)
        self.loop.call_later(0.001, remote.receive, RST, context=self.net.context)

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
        self._agent_runs[number] = await self._start_run(number, incarnation, raw, ahead, drift)
        self._on_ended[number] = ended

    async def start_twin(self, number: int, raw: dict[str, Any]) -> None:
        self._twin_runs[number] = await self._start_run(number, 0, raw)

    def stop_twin(self, number: int) -> None:
        self._kill_run(self._twin_runs.pop(number))

    async def _start_run(
        self, number: int, incarnation: int, raw: dict[str, Any], ahead: float = 0.0, drift: float = 0.0
    ) -> AgentRun:
        owner = len(self._owners) + 1
        self._owners[owner] = number, incarnation
        log = VirtualLog(
            lambda event, fields: self.ledger.add_record(record_kinds.SAID, self.now(), number, event, fields)
        )
        with self.loop.owned_by(owner):
            sockets = MemorySockets(self.net, self._machine_of(number), raw["limits"]["sockets"])
            agent = Agent(
                _config(raw), log, VirtualClock(self.loop, ahead, drift), sockets, self._make_balancer
            )
            run = AgentRun(owner, agent, log)
            if incarnation:
                # Set before the start, so that an agent that is killed while it starts has an owner too.
                self._agent_runs[number] = run
            if isinstance(agent.balancer, TrueState):
                agent.balancer.truth = ReachableBackends(self, self._machine_of(number), agent)
            restore_state(agent, self.disk(number), agent.config.seed & 0xFFFFFFFF)
            await self.loop.create_task(agent.start())
        return run

    def disk(self, number: int) -> MemoryDisk:
        return self._disks.setdefault(number, MemoryDisk(random_stream(self._seed, "disk", number)))

    def carried(self, number: int) -> str:
        return STATE_FILE

    def stop_agent(self, number: int) -> None:
        run = self._agent_runs[number]

        async def stop() -> None:
            await run.agent.stop()
            self.net.close_owner(run.owner)
            self._collect_faults(run)
            self._on_ended[number]()

        with self.loop.owned_by(run.owner):
            task = self.loop.create_task(stop())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def kill_agent(self, number: int) -> None:
        self._kill_run(self._agent_runs[number])

    def _kill_run(self, run: AgentRun) -> None:
        self.loop.kill(run.owner)
        self.net.close_owner(run.owner)
        self._collect_faults(run)

    def _collect_faults(self, run: AgentRun) -> None:
        for fault_name, count in run.agent.counters.others.items():
            if fault_name.startswith("fault"):
                self.agent_faults[fault_name] += count

    def pause_agent(self, number: int, ms: float) -> None:
        self.loop.hold(self._agent_runs[number].owner, ms)

    def pools(self) -> dict[int, int]:
        pool_counts = dict.fromkeys(self.backend_at.values(), 0)  # includes backends that are in no pool
        for run in self._agent_runs.values():
            for b in run.agent.balancer._ready:
                if not any(b.ejected_until):
                    backend = self.backend_at.get(run.agent.directory.place(b.index).address)
                    if backend is not None:
                        pool_counts[backend] += 1
        return pool_counts

    def bind(self, stage: Stage, backends: dict[Address, int]) -> None:
        """Connects the environment to its stage; `backends` are the backends' numbers by address."""
        self.hosts = stage.hosts
        self._machine_of = stage.machine
        self.backend_at = backends

    def close(self) -> None:
        for run in self._agent_runs.values():
            self._collect_faults(run)


def _config(raw: dict[str, Any]) -> AgentConfig:
    """Builds the configuration that `read_agent` would read from a file."""
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
    """Plays one run and returns its ledger; unhandled exceptions are recorded in it as faults."""
    environment = VirtualGround(world, seed)
    loop = environment.loop
    asyncio.set_event_loop(loop)
    gc_was_enabled = gc.isenabled()
    gc.disable()  # garbage collection cost a third of the run time
    try:
        IOLoop.current()  # creates Tornado's loop for this one outside of all owners
        stage = Stage(world, seed, environment, progress)
        environment.bind(stage, {environment.addresses.backend(n): n for n in range(world.backend_count)})
        loop.run_until_complete(stage.play())
        environment.close()
        for fault_name, count in sorted(environment.agent_faults.items()):
            environment.ledger.add_record(record_kinds.FAULT, environment.now(), f"{fault_name} x{count}")
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
        # Pending work of killed agents is destroyed while its cleanup code can still call the loop.
        stage = environment = None  # type: ignore[assignment]
        IOLoop._ioloop_for_asyncio.pop(loop, None)  # it holds references to their streams
        gc.collect()
        if gc_was_enabled:
            gc.enable()
        asyncio.set_event_loop(None)
        loop.close()
    return ledger
