"""Runs on loopback: the same world with real agent processes and sockets on 127.0.0.0/8, in real time.

Clients, backends and the registry run in this process, with the same models and protocols as in virtual time. Network
faults that would need privileges on real sockets are approximated on the server side: delays and cuts hold bytes
back there, a connection to an unreachable machine is accepted and stays silent, and a break before the last byte
is a reset after it.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lupinreach.bed.ways.disk import Folder
from lupinreach.bed.ways.stage import Stage
from lupinreach.bed.ways.stopping import until_stopped
from lupinreach.bed.world import ledger as record_kinds
from lupinreach.bed.world.environment import Addresses
from lupinreach.bed.world.ledger import Ledger
from lupinreach.bed.world.network import Machine, Paths
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.bed.world.spec import World
from lupinreach.config import Address

REQUEST_ID_PREFIX = b"Req-Id: "
AGENT_EXIT_TIMEOUT_S = 10.0  # for an agent to end after its signal
BACKLOG = 512  # connections per listening socket


def free_port() -> int:
    """Returns a port that is free on a first agent's address, with the next port free too; not a reservation."""
    while True:
        with socket.socket() as first, socket.socket() as second:
            first.bind(("127.1.0.1", 0))
            port = int(first.getsockname()[1])
            try:
                second.bind(("127.1.0.1", port + 1))
            except (OSError, OverflowError):
                continue
            return port


class DelayedConnection(asyncio.Protocol):
    """Sits between a server's protocol and its connection; delays bytes, or holds them until a cut is over.

    It is the transport of the inner protocol.
    """

    def __init__(self, environment: LoopbackGround, machine: Machine, protocol: asyncio.Protocol) -> None:
        self._environment = environment
        self._machine = machine
        self._protocol = protocol
        self._transport: Any = None
        self._agent_machine = machine  # the server's own until a request identifies the agent
        self._next_delivery = [0.0, 0.0]  # s, earliest delivery in and out, so that bytes stay in order
        self._held: list[deque[Callable[[], None]]] = [deque(), deque()]  # in, out; emptied by `flush_held`

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._protocol.connection_made(self)  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        at = data.find(REQUEST_ID_PREFIX)
        if at >= 0:
            self._agent_machine = (
                self._environment.client_machine_of(data[at + len(REQUEST_ID_PREFIX) : data.find(b"\r", at)])
                or self._agent_machine
            )
        self._deliver(0, lambda: self._protocol.data_received(data))

    def _deliver(self, direction: int, action: Callable[[], None]) -> None:
        environment = self._environment
        endpoints = (
            (self._machine, self._agent_machine) if direction else (self._agent_machine, self._machine)
        )
        if self._held[direction] or not environment.paths.reaches(*endpoints):
            self._held[direction].append(action)
            environment.blocked[self] = None
            return
        delay_s = environment.paths.delay(self._agent_machine, self._machine) / 1000
        self._next_delivery[direction] = max(
            self._next_delivery[direction], environment.loop.time() + delay_s
        )
        environment.loop.call_at(self._next_delivery[direction], action)

    def flush_held(self) -> None:
        """Delivers what was held; it is held once more if the path is still cut."""
        for direction in (0, 1):
            pending, self._held[direction] = self._held[direction], deque()
            for action in pending:
                self._deliver(direction, action)

    def eof_received(self) -> bool:
        self._deliver(0, self._ended)
        return True

    def _ended(self) -> None:
        if not self._protocol.eof_received():
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._protocol.connection_lost(exc)

    # Transport interface for the inner protocol.

    def write(self, data: bytes) -> None:
        self._deliver(1, lambda: self._transport.write(data))

    def close(self) -> None:
        self._deliver(1, lambda: self._transport.close())

    def abort(self) -> None:
        self._transport.abort()

    def is_closing(self) -> bool:
        return bool(self._transport.is_closing())

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)


class LoopbackGround:
    """Clock, network and agents of one run on loopback."""

    sees_agent_traffic = False

    def __init__(self, world: World, seed: int, folder: Path, tree: Path | None = None) -> None:
        self._source_tree = tree  # checkout of another version of the agent; None: this version
        # At the end of the run: CPU s, peak MB.
        self.resource_usage_by_agent: dict[int, tuple[float, float]] = {}
        self.loop = asyncio.get_running_loop()
        network = world.network
        self.paths = Paths(
            network.same, network.cross, network.jitter, network.loss, random_stream(seed, "paths")
        )
        self.addresses = Addresses(free_port())
        self.ledger = Ledger(self.now())
        self._policy = world.fault or world.policy
        self._folder = folder
        self._services: dict[Machine, list[tuple[Address, Callable[[], asyncio.Protocol]]]] = {}
        self._servers: dict[Machine, list[asyncio.Server]] = {}
        self._closed_machines: set[Machine] = set()
        self._agents: dict[int, asyncio.subprocess.Process] = {}
        self._tasks: set[asyncio.Task[Any]] = set()  # removed when they end
        self.blocked: dict[DelayedConnection, None] = {}  # with held bytes; emptied by `release_held`
        self.client_machine_of: Callable[[bytes], Machine | None] = lambda _: None
        self.process_failures: list[str] = []

    def now(self) -> float:
        return time.time() * 1000

    def _spawn(self, work: Any) -> asyncio.Task[Any]:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Servers and clients.

    async def serve(
        self, address: Address, machine: Machine, protocol: Callable[[], asyncio.Protocol]
    ) -> None:
        self._services.setdefault(machine, []).append((address, protocol))
        await self._start_server(machine, address, protocol)

    async def _start_server(
        self, machine: Machine, address: Address, protocol: Callable[[], asyncio.Protocol]
    ) -> None:
        server = await self.loop.create_server(
            lambda: DelayedConnection(self, machine, protocol()),
            *address,
            backlog=BACKLOG,
            reuse_address=True,
        )
        if machine in self._closed_machines:
            server.close()
        else:
            self._servers.setdefault(machine, []).append(server)

    def set_refusing(self, machine: Machine, on: bool) -> None:
        if on and machine not in self._closed_machines:
            self._closed_machines.add(machine)
            for server in self._servers.pop(machine, ()):
                server.close()
        elif not on and machine in self._closed_machines:
            self._closed_machines.discard(machine)
            for address, protocol in self._services.get(machine, ()):
                self._spawn(self._start_server(machine, address, protocol))

    def connect(self, machine: Machine, protocol: asyncio.Protocol, address: Address) -> None:
        self._spawn(self._connect(protocol, address))

    async def _connect(self, protocol: asyncio.Protocol, address: Address) -> None:
        try:
            await self.loop.create_connection(lambda: protocol, *address)
        except OSError as failed:
            protocol.connection_lost(failed)

    def release_held(self) -> None:
        pending, self.blocked = list(self.blocked), {}
        for connection in pending:
            connection.flush_held()

    def reset_refused(self) -> None:
        """Does nothing: connections across any cut stay open and silent here; only the relay of a trial resets them."""

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
        await self._spawn_agent(number, raw, ended, ahead, drift)

    async def start_twin(self, number: int, raw: dict[str, Any]) -> None:
        await self._spawn_agent(-1 - number, raw, lambda: None)

    def stop_twin(self, number: int) -> None:
        self._signal(-1 - number, signal.SIGTERM)

    async def _spawn_agent(
        self,
        number: int,
        raw: dict[str, Any],
        ended: Callable[[], None],
        ahead: float = 0.0,
        drift: float = 0.0,
    ) -> None:
        """Starts an agent process and waits until it listens; numbers below 0 are second processes."""
        path = self._folder / f"agent-{number}.json"
        path.write_text(json.dumps(raw))
        unmodified = self._policy == "lupinreach" and not ahead and not drift
        arguments = (
            ["-m", "lupinreach"]
            if unmodified
            else ["-m", "lupinreach.bed.ways.agent", self._policy, f"{ahead:.0f}", f"{drift}"]
        )
        env = {**os.environ, "PROXY_CONFIG": str(path)}
        if self._source_tree is not None:
            env["PYTHONPATH"] = str(self._source_tree)
        # In its own session, so that Ctrl-C reaches only the run, which stops its agents itself.
        agent = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            env=env,
            cwd=self._source_tree,
            start_new_session=True,
        )
        self._agents[number] = agent
        started = asyncio.Event()
        self._spawn(self._follow_output(number, agent, started, ended))
        await started.wait()

    async def _follow_output(
        self,
        number: int,
        agent: asyncio.subprocess.Process,
        started: asyncio.Event,
        ended: Callable[[], None],
    ) -> None:
        assert agent.stdout is not None
        async for line in agent.stdout:
            event = json.loads(line)
            if event["event"] == "started":
                started.set()
            elif event["event"] in record_kinds.RECORDED_LOG_EVENTS:
                self.ledger.add_record(record_kinds.SAID, self.now(), number, event.pop("event"), event)
            elif event["event"] == "fault":
                self.process_failures.append(f"agent {number}: {event.get('why')}")
        code = await agent.wait()
        if code not in (0, -signal.SIGKILL):
            self.process_failures.append(f"agent {number} ended with {code}")
        started.set()
        ended()

    def disk(self, number: int) -> Folder:
        return Folder(self._folder / f"disk-{number}")

    def carried(self, number: int) -> str:
        return str(self.disk(number).file)

    def stop_agent(self, number: int) -> None:
        self._signal(number, signal.SIGTERM)

    def kill_agent(self, number: int) -> None:
        self._signal(number, signal.SIGKILL)

    def pause_agent(self, number: int, ms: float) -> None:
        self._signal(number, signal.SIGSTOP)
        self.loop.call_later(ms / 1000, self._signal, number, signal.SIGCONT)

    def _signal(self, number: int, signal_number: int) -> None:
        if self._agents[number].returncode is None:
            self._agents[number].send_signal(signal_number)

    def pools(self) -> dict[int, int]:
        return {}

    async def close(self) -> None:
        for number, agent in self._agents.items():
            if agent.returncode is None:
                self.resource_usage_by_agent[number] = resource_usage(agent.pid)
        for number in self._agents:
            self._signal(number, signal.SIGCONT)
            self._signal(number, signal.SIGTERM)
        try:
            async with asyncio.timeout(AGENT_EXIT_TIMEOUT_S):
                await asyncio.gather(*(a.wait() for a in self._agents.values()))
        except TimeoutError:
            for number in self._agents:
                self._signal(number, signal.SIGKILL)
        for servers in self._servers.values():
            for server in servers:
                server.close()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1.0)
        for task in list(self._tasks):
            task.cancel()


def resource_usage(pid: int) -> tuple[float, float]:
    """CPU seconds used by a process, and its peak resident memory in MB."""
    stat_fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    peak_rss = re.search(r"VmHWM:\s+([0-9]+) kB", Path(f"/proc/{pid}/status").read_text())
    return (int(stat_fields[11]) + int(stat_fields[12])) / os.sysconf("SC_CLK_TCK"), int(
        peak_rss[1]
    ) / 1024 if peak_rss else 0.0


async def play_on(
    world: World,
    seed: int,
    progress: Callable[[float], None] | None = None,
    watch: Callable[[Stage], None] | None = None,
    tree: Path | None = None,
    costs: dict[int, tuple[float, float]] | None = None,
) -> Ledger:
    """Plays one run on the current event loop and returns its ledger.

    `watch` is called with the stage before it begins; `costs` receives the resources that each agent used. `tree` is
    the checkout of another version whose agents run in place of this version's.
    """
    with tempfile.TemporaryDirectory(prefix="lupinreach-bed-") as folder:
        environment = LoopbackGround(world, seed, Path(folder), tree)
        stage = Stage(world, seed, environment, progress)
        environment.client_machine_of = stage.client_machine_of
        if watch is not None:
            watch(stage)
        try:
            if await until_stopped(stage.play()):
                environment.ledger.stop()
        finally:
            await environment.close()
            for failure in environment.process_failures:
                environment.ledger.add_record(record_kinds.FAULT, environment.now(), failure)
            environment.ledger.seal()
            if costs is not None:
                costs.update(environment.resource_usage_by_agent)
    return environment.ledger


def play(world: World, seed: int, progress: Callable[[float], None] | None = None) -> Ledger:
    """Plays one run and returns its ledger."""
    return asyncio.run(play_on(world, seed, progress))
