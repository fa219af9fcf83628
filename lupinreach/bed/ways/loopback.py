"""Loopback: the same world with real agent processes and sockets on 127.0.0.0/8, in real time.

Clients, backends and the registry run in this process, by the same models and protocols as in virtual time. What
can't be done to the system's sockets without privileges is done at the servers' side: delays and cuts hold bytes
back there, a connection to what can't be reached is accepted and silent, and a break before the last byte comes
as a reset after it.
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

NAME = b"Req-Id: "
ENDS_WITHIN = 10.0  # s for an agent to end after its signal
BACKLOG = 512


def free_port() -> int:
    """A port that is free on the addresses of a first agent and the one after it, as far as can be told."""
    while True:
        with socket.socket() as first, socket.socket() as second:
            first.bind(("127.1.0.1", 0))
            port = int(first.getsockname()[1])
            try:
                second.bind(("127.1.0.1", port + 1))
            except (OSError, OverflowError):
                continue
            return port


class Slowed(asyncio.Protocol):
    """Stands between a server's protocol and its connection: bytes take their time, or wait until a cut is over.

    To the protocol it is the transport.
    """

    def __init__(self, environment: LoopbackGround, machine: Machine, inner: asyncio.Protocol) -> None:
        self._environment = environment
        self._machine = machine
        self._inner = inner
        self._transport: Any = None
        self._from = machine  # the agent's, once it is known
        self._due = [0.0, 0.0]  # in, out: nothing overtakes
        self._held: list[deque[Callable[[], None]]] = [deque(), deque()]  # emptied by `again`

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._inner.connection_made(self)  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        at = data.find(NAME)
        if at >= 0:
            self._from = self._environment.whose(data[at + len(NAME) : data.find(b"\r", at)]) or self._from
        self._pass(0, lambda: self._inner.data_received(data))

    def _pass(self, way: int, what: Callable[[], None]) -> None:
        environment = self._environment
        ends = (self._machine, self._from) if way else (self._from, self._machine)
        if self._held[way] or not environment.paths.reaches(*ends):
            self._held[way].append(what)
            environment.waiting[self] = None
            return
        took = environment.paths.delay(self._from, self._machine) / 1000
        self._due[way] = max(self._due[way], environment.loop.time() + took)
        environment.loop.call_at(self._due[way], what)

    def again(self) -> None:
        for way in (0, 1):
            held, self._held[way] = self._held[way], deque()
            for what in held:
                self._pass(way, what)

    def eof_received(self) -> bool:
        self._pass(0, self._ended)
        return True

    def _ended(self) -> None:
        if not self._inner.eof_received():
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._inner.connection_lost(exc)

    # As a transport.

    def write(self, data: bytes) -> None:
        self._pass(1, lambda: self._transport.write(data))

    def close(self) -> None:
        self._pass(1, lambda: self._transport.close())

    def abort(self) -> None:
        self._transport.abort()

    def is_closing(self) -> bool:
        return bool(self._transport.is_closing())

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._transport.get_extra_info(name, default)


class LoopbackGround:
    sees_agent_traffic = False

    def __init__(self, world: World, seed: int, folder: Path, tree: Path | None = None) -> None:
        self._tree = tree  # of another version of the agent; None: this one
        self.costs: dict[int, tuple[float, float]] = {}  # by agent at its end: s of CPU, MB at most
        self.loop = asyncio.get_running_loop()
        network = world.network
        self.paths = Paths(
            network.same, network.cross, network.jitter, network.loss, random_stream(seed, "paths")
        )
        self.addresses = Addresses(free_port())
        self.ledger = Ledger(self.now())
        self._runs = world.fault or world.policy
        self._folder = folder
        self._served: dict[Machine, list[tuple[Address, Callable[[], asyncio.Protocol]]]] = {}
        self._servers: dict[Machine, list[asyncio.Server]] = {}
        self._shut: set[Machine] = set()
        self._agents: dict[int, asyncio.subprocess.Process] = {}
        self._tasks: set[asyncio.Task[Any]] = set()  # each leaves when it ends
        self.waiting: dict[Slowed, None] = {}  # with something held; emptied by `mended`
        self.whose: Callable[[bytes], Machine | None] = lambda _: None
        self.ended_badly: list[str] = []

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
        self._served.setdefault(machine, []).append((address, protocol))
        await self._open(machine, address, protocol)

    async def _open(
        self, machine: Machine, address: Address, protocol: Callable[[], asyncio.Protocol]
    ) -> None:
        server = await self.loop.create_server(
            lambda: Slowed(self, machine, protocol()), *address, backlog=BACKLOG, reuse_address=True
        )
        if machine in self._shut:
            server.close()
        else:
            self._servers.setdefault(machine, []).append(server)

    def set_refusing(self, machine: Machine, on: bool) -> None:
        if on and machine not in self._shut:
            self._shut.add(machine)
            for server in self._servers.pop(machine, ()):
                server.close()
        elif not on and machine in self._shut:
            self._shut.discard(machine)
            for address, protocol in self._served.get(machine, ()):
                self._spawn(self._open(machine, address, protocol))

    def connect(self, machine: Machine, protocol: asyncio.Protocol, address: Address) -> None:
        self._spawn(self._connect(protocol, address))

    async def _connect(self, protocol: asyncio.Protocol, address: Address) -> None:
        try:
            await self.loop.create_connection(lambda: protocol, *address)
        except OSError as failed:
            protocol.connection_lost(failed)

    def release_held(self) -> None:
        held, self.waiting = list(self.waiting), {}
        for line in held:
            line.again()

    def reset_refused(self) -> None:
        """Cut off in either way, connections here stay open and silent; the relay of a trial resets them."""

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
        await self._launch(number, raw, ended, ahead, drift)

    async def start_twin(self, number: int, raw: dict[str, Any]) -> None:
        await self._launch(-1 - number, raw, lambda: None)

    def stop_twin(self, number: int) -> None:
        self._signal(-1 - number, signal.SIGTERM)

    async def _launch(
        self,
        number: int,
        raw: dict[str, Any],
        ended: Callable[[], None],
        ahead: float = 0.0,
        drift: float = 0.0,
    ) -> None:
        """Numbers below 0 are second processes."""
        path = self._folder / f"agent-{number}.json"
        path.write_text(json.dumps(raw))
        plain = self._runs == "lupinreach" and not ahead and not drift
        program = (
            ["-m", "lupinreach"]
            if plain
            else ["-m", "lupinreach.bed.ways.agent", self._runs, f"{ahead:.0f}", f"{drift}"]
        )
        env = {**os.environ, "PROXY_CONFIG": str(path)}
        if self._tree is not None:
            env["PYTHONPATH"] = str(self._tree)
        # In a session of its own: a Ctrl-C is the run's, which stops its agents itself.
        agent = await asyncio.create_subprocess_exec(
            sys.executable,
            *program,
            stdout=asyncio.subprocess.PIPE,
            env=env,
            cwd=self._tree,
            start_new_session=True,
        )
        self._agents[number] = agent
        up = asyncio.Event()
        self._spawn(self._follow(number, agent, up, ended))
        await up.wait()

    async def _follow(
        self, number: int, agent: asyncio.subprocess.Process, up: asyncio.Event, ended: Callable[[], None]
    ) -> None:
        assert agent.stdout is not None
        async for line in agent.stdout:
            event = json.loads(line)
            if event["event"] == "started":
                up.set()
            elif event["event"] in record_kinds.RECORDED_LOG_EVENTS:
                self.ledger.add_record(record_kinds.SAID, self.now(), number, event.pop("event"), event)
            elif event["event"] == "fault":
                self.ended_badly.append(f"agent {number}: {event.get('why')}")
        code = await agent.wait()
        if code not in (0, -signal.SIGKILL):
            self.ended_badly.append(f"agent {number} ended with {code}")
        up.set()
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

    def _signal(self, number: int, what: int) -> None:
        if self._agents[number].returncode is None:
            self._agents[number].send_signal(what)

    def pools(self) -> dict[int, int]:
        return {}

    async def close(self) -> None:
        for number, agent in self._agents.items():
            if agent.returncode is None:
                self.costs[number] = cost(agent.pid)
        for number in self._agents:
            self._signal(number, signal.SIGCONT)
            self._signal(number, signal.SIGTERM)
        try:
            async with asyncio.timeout(ENDS_WITHIN):
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


def cost(pid: int) -> tuple[float, float]:
    """S of CPU that a process has used, and MB that it held at most."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    peak = re.search(r"VmHWM:\s+([0-9]+) kB", Path(f"/proc/{pid}/status").read_text())
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"), int(
        peak[1]
    ) / 1024 if peak else 0.0


async def play_on(
    world: World,
    seed: int,
    progress: Callable[[float], None] | None = None,
    watch: Callable[[Stage], None] | None = None,
    tree: Path | None = None,
    costs: dict[int, tuple[float, float]] | None = None,
) -> Ledger:
    """One run on the running event loop. `watch` is handed the stage before it begins, `costs` what agents used.

    `tree` is the checkout of another version, whose agents are run in place of this one's.
    """
    with tempfile.TemporaryDirectory(prefix="lupinreach-bed-") as folder:
        environment = LoopbackGround(world, seed, Path(folder), tree)
        stage = Stage(world, seed, environment, progress)
        environment.whose = stage.whose
        if watch is not None:
            watch(stage)
        try:
            if await until_stopped(stage.play()):
                environment.ledger.stop()
        finally:
            await environment.close()
            for what in environment.ended_badly:
                environment.ledger.add_record(record_kinds.FAULT, environment.now(), what)
            environment.ledger.seal()
            if costs is not None:
                costs.update(environment.costs)
    return environment.ledger


def play(world: World, seed: int, progress: Callable[[float], None] | None = None) -> Ledger:
    """One run; its ledger."""
    return asyncio.run(play_on(world, seed, progress))
