"""A process of the rig: some backends, the registry, some clients or a relay, led by lines of JSON on standard input.

Each line is one order; each line on standard output one event. The ledger is written to a file at the end.
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
from lupinreach.bed.world import spec as beds
from lupinreach.bed.world.ledger import Ledger
from lupinreach.bed.world.network import Machine, Paths
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.bed.world.traffic import arrivals
from lupinreach.config import Address
from lupinreach.trial.rig.late import Lateness
from lupinreach.trial.rig.places import Places
from lupinreach.trial.rig.relay import Plane, Posts

MOST_LINE = 16 << 20
FIRST = -10  # niceness, where the system grants it


class HostGround(LoopbackGround):
    """Sockets as they are: what is between machines is the relay's matter, and so is when agents send."""

    sees_agent_traffic = True

    def __init__(self, world: beds.World, seed: int, places: Places, begin: float, folder: Path) -> None:
        super().__init__(world, seed, folder)
        self.addresses = places
        self.ledger = Ledger(begin)

    async def _start_server(
        self, machine: Machine, address: Address, protocol: Callable[[], asyncio.Protocol]
    ) -> None:
        server = await self.loop.create_server(protocol, *address, backlog=BACKLOG, reuse_address=True)
        if machine in self._closed_machines:
            server.close()
        else:
            self._servers.setdefault(machine, []).append(server)


class Host:
    """What every role has."""

    def __init__(self, order: dict[str, Any]) -> None:
        self.world = beds.read(order["world"])
        self.seed = order["seed"]
        self.mine = order["mine"]  # numbers of the agents or backends that are this process's
        self.places = Places(order["port"])
        self.folder = Path(order["folder"])
        self.environment = HostGround(self.world, self.seed, self.places, order["begin"], self.folder)
        self.loop = self.environment.loop
        self.calls = arrivals(self.world, self.seed)

    async def open(self) -> None:
        raise NotImplementedError

    async def do(self, order: dict[str, Any]) -> None:
        await getattr(self, "do_" + order["do"])(**{k: v for k, v in order.items() if k != "do"})

    def asked(self, name: str) -> tuple[int, int, int] | None:
        """Whose try it is, and its product; lives are filled in where ledgers are merged."""
        call, _, number = name.partition(".")
        try:
            arrival = self.calls[int(call, 16)]
        except (ValueError, IndexError):
            return None
        return (arrival.agent, 0, arrival.product) if number.isdecimal() else None


class Backends(Host):
    """Some of the backends, each a model of its own."""

    async def open(self) -> None:
        self.hosts = {}
        for b in draw_fleet(self.world, self.seed).backends:
            if b.number in self.mine:
                host = BackendHost(
                    self.environment,
                    self.world,
                    b,
                    Machine(f"backend {b.number}", b.zone),
                    random_stream(self.seed, "backend", b.number),
                    self.asked,
                    self._fell,
                )
                self.hosts[b.number] = host
                await self.environment.serve(
                    self.places.backend(b.number), host.machine, lambda host=host: BackendConnection(host)
                )  # type: ignore[misc]
        self.loop.call_later(LOAD_SAMPLE_INTERVAL_MS / 1000, self._sample)

    def _fell(self, host: BackendHost) -> None:
        host.die()
        say({"event": "fell", "backend": host.backend.number})

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
        self.hosts[backend].boot(cold)
        say({"event": "booted", "backend": backend})

    async def do_die(self, backend: int) -> None:
        if self.hosts[backend].backend.up:
            self.hosts[backend].die()

    async def do_set(self, backend: int, what: dict[str, float]) -> None:
        host = self.hosts[backend]
        host.step()
        for name, value in what.items():
            setattr(host.machine if name == "resets" else host.backend, name, value)
        host.step()

    async def do_reset(self, backend: int) -> None:
        self.hosts[backend].reset()


class EndpointsFor(RegistryHost):
    """A registry that gives each agent the addresses that it knows backends by."""

    places: Places

    def wire(self, agent: int, entry: Entry) -> dict[str, Any]:
        host, port = self.places.backend_for(agent, entry.backend)
        return entry.wire() | {"endpoint": f"{host}:{port}"}


class TheRegistry(Host):
    async def open(self) -> None:
        machine = Machine("registry", 0)
        self.registry = Registry()
        agents = [Machine(f"agent {n}", n % len(self.world.zones)) for n in range(self.world.agents)]
        self.host = EndpointsFor(
            self.environment, self.registry, machine, lambda _: 0, agents.__getitem__, self.world.registry
        )
        self.host.places = self.places
        self.machine = machine
        self.machines = {m.name: m for m in (machine, *agents)}
        for n in range(self.world.agents):
            await self.environment.serve(
                self.places.registry(n), machine, lambda n=n: RegistryConnection(self.host, n)
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
        """Whom its word reaches now: what a relay holds back was told to nobody yet."""
        some, paths = self.machines, self.environment.paths
        paths.cut_zones, paths.reset_zones, paths.blocked_pairs = (
            set(cut),
            set(refused),
            {(a, b) for a, b in parted},
        )
        paths.not_receiving, paths.not_sending = (
            {some[n] for n in names if n in some} for names in (deaf, dumb)
        )
        self.host.release_held()

    async def do_hold(self, version: int, up: bool, entries: list[list[Any]]) -> None:
        """All that the registry is to know from now on."""
        registry = self.registry
        registry.version = version
        registry._entries = {raw["uid"]: (v, Entry(**raw)) for v, raw in entries}
        if registry.up and not up:
            self.host.down()
        registry.up = up
        self.environment.set_refusing(self.machine, not up)
        if up:
            self.host.changed()


class Clients(Host):
    """The applications beside some agents."""

    async def open(self) -> None:
        self.hosts = {
            n: ClientHost(self.environment, self.world, n, Machine(f"agent {n}", 0), self.places.front(n))
            for n in self.mine
        }

    async def do_begin(self, at: float) -> None:
        self.environment._spawn(self._ask(at))

    async def _ask(self, at: float) -> None:
        mine = [(i, a) for i, a in enumerate(self.calls) if a.agent in self.hosts]
        for number, arrival in mine:
            await self._until(at + arrival.at)
            self.hosts[arrival.agent].send_request(number, arrival)

    async def _until(self, at: float) -> None:
        wait = at - self.environment.now()
        if wait > 0:
            await asyncio.sleep(wait / 1000)


class Relay(Host):
    """All links of some agents."""

    async def open(self) -> None:
        network, zones = self.world.network, len(self.world.zones)
        paths = Paths(
            network.same,
            network.cross,
            network.jitter,
            network.loss,
            random_stream(self.seed, "paths", *self.mine[:1]),
        )
        self.plane = Plane(paths, random_stream(self.seed, "relay", *self.mine[:1]))
        places, self.machines = self.places, {"registry": Machine("registry", 0)}
        backends = [(b.number, b.zone) for b in draw_fleet(self.world, self.seed).backends]
        for n in range(self.world.agents):
            self.machines[f"agent {n}"] = Machine(f"agent {n}", n % zones)
        for n, zone in backends:
            self.machines[f"backend {n}"] = Machine(f"backend {n}", zone)
        for n in self.mine:
            agent = self.machines[f"agent {n}"]
            # Clients stand on their agent's machine: faults of the network don't come between, delays of it neither.
            await self.plane.door(places.front(n), agent, agent, places.agent(n), self._passed)
            await self.plane.door(
                places.registry_for(n), agent, self.machines["registry"], places.registry(n)
            )
            for b, _ in backends:
                await self.plane.door(
                    places.backend_for(n, b),
                    agent,
                    self.machines[f"backend {b}"],
                    places.backend(b),
                    sent=lambda name, n=n, b=b: self._sent(name, n, b),
                )  # type: ignore[misc]
        self.posts = Posts(self.plane, lambda n: self.machines[f"agent {n}"], places.peer)
        if self.world.limits.peers:
            everyone = range(self.world.agents)
            for (
                n
            ) in everyone:  # one relay holds all datagrams: a pair's two addresses are one socket each way
                if self.mine[0] == 0:
                    await self.posts.everybody(n, everyone, places.everybody_for(n))
                    for other in everyone:
                        if other != n:
                            await self.posts.pair(n, other, places.peer_for(n, other))

    def _passed(self, what: str, name: str) -> None:
        self.environment.ledger.add_record(what, self.environment.now(), name)

    def _sent(self, name: str, agent: int, backend: int) -> None:
        # As it leaves the agent: what a cut holds back for seconds was sent in time.
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
        """How all links are from now on."""
        paths = self.plane.paths
        paths.duplicate_share, paths.delayed_share, paths.delay_ms = posts
        if paths.reset_zones != set(refused):
            paths.reset_zones = set(refused)
            await self.plane.doors(lambda near, far: near.zone != far.zone)
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
        self.plane.release_held()

    async def do_shut(self, name: str, on: bool) -> None:
        await self.plane.shut(name, on)


ROLES: dict[str, type[Host]] = {
    "backends": Backends,
    "registry": TheRegistry,
    "clients": Clients,
    "relay": Relay,
}


def say(event: dict[str, Any]) -> None:
    sys.stdout.buffer.write(orjson.dumps(event) + b"\n")
    sys.stdout.buffer.flush()


async def main() -> int:
    with contextlib.suppress(OSError):
        os.setpriority(
            os.PRIO_PROCESS, 0, FIRST
        )  # guards against a verdict on a rig that waits for its agents' cores
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MOST_LINE)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    first = orjson.loads(await reader.readline())
    host = ROLES[first["role"]](first)
    await host.open()
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 20)
    late = Lateness()
    watching = loop.create_task(late.watch())
    faults: list[str] = []
    loop.set_exception_handler(
        lambda _, context: faults.append(f"{context['message']}: {context.get('exception')!r}")
    )
    say({"event": "open"})
    while line := await reader.readline():
        order = orjson.loads(line)
        if order["do"] == "end":
            break
        await host.do(order)
    watching.cancel()
    ledger = host.environment.ledger
    for what in faults:
        ledger.add_record(record_kinds.FAULT, host.environment.now(), f"{first['role']}: {what}")
    ledger.save(Path(first["ledger"]))
    say({"event": "ended", "late": late.told()})
    return 0


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(main()))
