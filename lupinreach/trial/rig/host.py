"""A process of the rig. It runs some backends, the registry, some clients or a relay.

It reads orders from standard input and writes events to standard output, one line of JSON each. At its end it
writes its ledger to a file.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import uvloop

from lupinreach.bed.peers.clients import ClientHost
from lupinreach.bed.peers.registry import Entry, Registry
from lupinreach.bed.peers.servers import (
    LOAD_SAMPLE_INTERVAL_MS,
    BackendConnection,
    BackendHost,
    RegistryConnection,
    RegistryHost,
)
from lupinreach.bed.ways.loopback import BACKLOG, LoopbackGround
from lupinreach.bed.ways.stage import draw_fleet
from lupinreach.bed.world import ledger as record_kinds
from lupinreach.bed.world import spec as world_spec
from lupinreach.bed.world.ledger import Ledger
from lupinreach.bed.world.network import Machine, Paths
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.bed.world.traffic import arrivals
from lupinreach.config import Address
from lupinreach.trial.rig.addresses import RigAddresses
from lupinreach.trial.rig.lateness import Lateness
from lupinreach.trial.rig.relay import DatagramRelay, RelayNetwork

MAX_LINE_BYTES = 16 << 20
NICENESS = -10  # used where the system permits it


class HostEnvironment(LoopbackGround):
    """Plain sockets. The relay simulates the network and records when agents send."""

    sees_agent_traffic = True

    def __init__(
        self, world: world_spec.World, seed: int, addresses: RigAddresses, begin: float, folder: Path
    ) -> None:
        super().__init__(world, seed, folder)
        self.addresses = addresses
        self.ledger = Ledger(begin)

    async def _start_server(
        self, machine: Machine, address: Address, protocol: Callable[[], asyncio.Protocol]
    ) -> None:
        server = await self.loop.create_server(protocol, *address, backlog=BACKLOG, reuse_address=True)
        if machine in self._closed_machines:
            server.close()
        else:
            self._servers.setdefault(machine, []).append(server)


class Role:
    """What all kinds of processes have in common. The `do_*` methods and their parameters are the orders."""

    def __init__(self, order: dict[str, Any]) -> None:
        self.world = world_spec.read(order["world"])
        self.seed = order["seed"]
        self.numbers = order["mine"]  # numbers of the agents or backends of this process
        self.addresses = RigAddresses(order["port"])
        self.folder = Path(order["folder"])
        self.environment = HostEnvironment(self.world, self.seed, self.addresses, order["begin"], self.folder)
        self.loop = self.environment.loop
        self.calls = arrivals(self.world, self.seed)

    async def open(self) -> None:
        """Creates what this process runs."""
        raise NotImplementedError

    async def do(self, order: dict[str, Any]) -> None:
        """Executes an order."""
        await getattr(self, "do_" + order["do"])(**{k: v for k, v in order.items() if k != "do"})

    def resolve_request(self, name: str) -> tuple[int, int, int] | None:
        """The agent and product of a request; the agent's incarnation is filled in when the ledgers are merged."""
        call, _, number = name.partition(".")
        try:
            arrival = self.calls[int(call, 16)]
        except (ValueError, IndexError):
            return None
        return (arrival.agent, 0, arrival.product) if number.isdecimal() else None


class BackendsRole(Role):
    """Runs some of the backend models."""

    async def open(self) -> None:
        self.hosts = {}
        for b in draw_fleet(self.world, self.seed).backends:
            if b.number in self.numbers:
                host = BackendHost(
                    self.environment,
                    self.world,
                    b,
                    Machine(f"backend {b.number}", b.zone),
                    random_stream(self.seed, "backend", b.number),
                    self.resolve_request,
                    self._on_overload_crash,
                )
                self.hosts[b.number] = host
                await self.environment.serve(
                    self.addresses.backend(b.number), host.machine, lambda host=host: BackendConnection(host)
                )  # type: ignore[misc]
        self.loop.call_later(LOAD_SAMPLE_INTERVAL_MS / 1000, self._sample)

    def _on_overload_crash(self, host: BackendHost) -> None:
        host.die()
        send_event({"event": "fell", "backend": host.backend.number})

    def _sample(self) -> None:
        now = self.environment.now()
        for n, host in self.hosts.items():
            host.step()
            b = host.backend
            if b.up:
                self.environment.ledger.add_record(
                    record_kinds.LOAD, now, n, len(b.running), len(b.queue), round(b.warm_fraction(now), 3)
                )
        self.loop.call_later(LOAD_SAMPLE_INTERVAL_MS / 1000, self._sample)

    async def do_boot(self, backend: int, cold: bool) -> None:
        """Starts a backend; `cold` is false for those that are warm when the run begins."""
        self.hosts[backend].boot(cold)
        send_event({"event": "booted", "backend": backend})

    async def do_die(self, backend: int) -> None:
        """Kills a backend, if it runs."""
        if self.hosts[backend].backend.up:
            self.hosts[backend].die()

    async def do_set(self, backend: int, what: dict[str, float]) -> None:
        """Sets the faults of a backend and of its machine."""
        host = self.hosts[backend]
        host.step()
        for name, value in what.items():
            setattr(host.machine if name == "resets" else host.backend, name, value)
        host.step()

    async def do_reset(self, backend: int) -> None:
        """Resets the connections of a backend."""
        self.hosts[backend].reset()


class RelayedRegistryHost(RegistryHost):
    """A registry that lists to each agent the relay addresses at which it reaches backends."""

    addresses: RigAddresses

    def wire(self, agent: int, entry: Entry) -> dict[str, Any]:
        """A list entry in the form that an agent receives."""
        host, port = self.addresses.backend_for(agent, entry.backend)
        return entry.wire() | {"endpoint": f"{host}:{port}"}


class RegistryRole(Role):
    """Runs the registry."""

    async def open(self) -> None:
        machine = Machine("registry", 0)
        self.registry = Registry()
        agents = [Machine(f"agent {n}", n % len(self.world.zones)) for n in range(self.world.agents)]
        self.host = RelayedRegistryHost(
            self.environment, self.registry, machine, lambda _: 0, agents.__getitem__, self.world.registry
        )
        self.host.addresses = self.addresses
        self.machine = machine
        self.machines = {m.name: m for m in (machine, *agents)}
        for n in range(self.world.agents):
            await self.environment.serve(
                self.addresses.registry(n), machine, lambda n=n: RegistryConnection(self.host, n)
            )  # type: ignore[misc]

    async def do_plane(
        self,
        cut: list[int],
        refused: list[int],
        deaf: list[str],
        dumb: list[str],
        parted: list[tuple[str, str]],
        **_: Any,
    ) -> None:
        """Sets which agents can be reached, so that a list that a relay holds back isn't recorded as delivered."""
        machines_by_name, paths = self.machines, self.environment.paths
        paths.cut_zones, paths.reset_zones, paths.blocked_pairs = (
            set(cut),
            set(refused),
            {(a, b) for a, b in parted},
        )
        paths.not_receiving, paths.not_sending = (
            {machines_by_name[n] for n in names if n in machines_by_name} for names in (deaf, dumb)
        )
        self.host.release_held()

    async def do_hold(self, version: int, up: bool, entries: list[list[Any]]) -> None:
        """Replaces the content of the registry."""
        registry = self.registry
        registry.version = version
        registry._entries = {raw["uid"]: (v, Entry(**raw)) for v, raw in entries}
        if registry.up and not up:
            self.host.down()
        registry.up = up
        self.environment.set_refusing(self.machine, not up)
        if up:
            self.host.changed()


class ClientsRole(Role):
    """Runs the client applications of some agents."""

    async def open(self) -> None:
        self.hosts = {
            n: ClientHost(
                self.environment, self.world, n, Machine(f"agent {n}", 0), self.addresses.agent_for_clients(n)
            )
            for n in self.numbers
        }

    async def do_begin(self, at: float) -> None:
        """Starts sending requests at a time in ms."""
        self.environment._spawn(self._send_requests(at))

    async def _send_requests(self, at: float) -> None:
        own_calls = [(i, a) for i, a in enumerate(self.calls) if a.agent in self.hosts]
        for number, arrival in own_calls:
            await self._sleep_until(at + arrival.at)
            self.hosts[arrival.agent].send_request(number, arrival)

    async def _sleep_until(self, at: float) -> None:
        wait_ms = at - self.environment.now()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1000)


class RelayRole(Role):
    """Relays all connections of some agents."""

    async def open(self) -> None:
        network, zones = self.world.network, len(self.world.zones)
        paths = Paths(
            network.same,
            network.cross,
            network.jitter,
            network.loss,
            random_stream(self.seed, "paths", *self.numbers[:1]),
        )
        self.relay_network = RelayNetwork(paths, random_stream(self.seed, "relay", *self.numbers[:1]))
        addresses, self.machines = self.addresses, {"registry": Machine("registry", 0)}
        backends = [(b.number, b.zone) for b in draw_fleet(self.world, self.seed).backends]
        for n in range(self.world.agents):
            self.machines[f"agent {n}"] = Machine(f"agent {n}", n % zones)
        for n, zone in backends:
            self.machines[f"backend {n}"] = Machine(f"backend {n}", zone)
        for n in self.numbers:
            agent = self.machines[f"agent {n}"]
            # Clients run on the machine of their agent, so that neither network faults nor delays apply.
            await self.relay_network.add_listener(
                addresses.agent_for_clients(n), agent, agent, addresses.agent(n), self._record_passed
            )
            await self.relay_network.add_listener(
                addresses.registry_for(n), agent, self.machines["registry"], addresses.registry(n)
            )
            for b, _ in backends:
                await self.relay_network.add_listener(
                    addresses.backend_for(n, b),
                    agent,
                    self.machines[f"backend {b}"],
                    addresses.backend(b),
                    on_sent=lambda name, n=n, b=b: self._record_sent(name, n, b),
                )  # type: ignore[misc]
        self.datagram_relay = DatagramRelay(
            self.relay_network, lambda n: self.machines[f"agent {n}"], addresses.peer
        )
        if self.world.limits.peers:
            all_agents = range(self.world.agents)
            # One relay carries all datagrams, since a pair of agents shares one socket per direction.
            for n in all_agents:
                if self.numbers[0] == 0:
                    await self.datagram_relay.add_broadcast(n, all_agents, addresses.broadcast_for(n))
                    for other in all_agents:
                        if other != n:
                            await self.datagram_relay.add_pair(n, other, addresses.peer_for(n, other))

    def _record_passed(self, what: str, name: str) -> None:
        self.environment.ledger.add_record(what, self.environment.now(), name)

    def _record_sent(self, name: str, agent: int, backend: int) -> None:
        # Recorded as it leaves the agent: an attempt that a cut holds back for seconds was still sent in
        # time.
        self.environment.ledger.add_record(record_kinds.SENT, self.environment.now(), agent, 0, backend, name)

    async def do_plane(
        self,
        cut: list[int],
        refused: list[int],
        loss: float,
        posts: list[float],
        deaf: list[str],
        dumb: list[str],
        parted: list[tuple[str, str]],
        machines: dict[str, dict[str, Any]],
    ) -> None:
        """Sets the network faults of all connections."""
        paths = self.relay_network.paths
        paths.duplicate_share, paths.delayed_share, paths.delay_ms = posts
        if paths.reset_zones != set(refused):
            paths.reset_zones = set(refused)
            await self.relay_network.update_listeners(lambda near, far: near.zone != far.zone)
        paths.blocked_pairs = {(a, b) for a, b in parted}
        paths.cut_zones, paths.loss = set(cut), loss
        paths.not_receiving, paths.not_sending = (
            {self.machines[n] for n in deaf},
            {self.machines[n] for n in dumb},
        )
        for name, machine in self.machines.items():
            new = {"vanished": False, "breaks": 0.0, "slower": 0.0, "narrow": 0.0} | machines.get(name, {})
            for key, value in new.items():
                setattr(machine, key, value)
        self.relay_network.release_held()

    async def do_shut(self, name: str, on: bool) -> None:
        """Sets whether a machine refuses connections."""
        await self.relay_network.set_refusing(name, on)


ROLES: dict[str, type[Role]] = {
    "backends": BackendsRole,
    "registry": RegistryRole,
    "clients": ClientsRole,
    "relay": RelayRole,
}


def send_event(event: dict[str, Any]) -> None:
    """Writes one event."""
    sys.stdout.buffer.write(orjson.dumps(event) + b"\n")
    sys.stdout.buffer.flush()


async def main() -> int:
    """Runs the role named by the first order until the order to end."""
    with contextlib.suppress(OSError):
        os.setpriority(
            os.PRIO_PROCESS, 0, NICENESS
        )  # otherwise agents that use all cores would delay the rig
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    first = orjson.loads(await reader.readline())
    host = ROLES[first["role"]](first)
    await host.open()
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 20)
    lateness = Lateness()
    lateness_task = loop.create_task(lateness.watch())
    loop_errors: list[str] = []
    loop.set_exception_handler(
        lambda _, context: loop_errors.append(f"{context['message']}: {context.get('exception')!r}")
    )
    send_event({"event": "open"})
    while line := await reader.readline():
        order = orjson.loads(line)
        if order["do"] == "end":
            break
        await host.do(order)
    lateness_task.cancel()
    ledger = host.environment.ledger
    for what in loop_errors:
        ledger.add_record(record_kinds.FAULT, host.environment.now(), f"{first['role']}: {what}")
    ledger.save(Path(first["ledger"]))
    send_event({"event": "ended", "late": lateness.summary()})
    return 0


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(main()))
