"""The coordinator of a rig: starts all its processes, applies troubles when they are due, and merges the ledgers.

It is the test bed's stage with the peers in other processes. Each peer that the stage acts on is represented
by a proxy, which sends each change to the process that runs the peer.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from lupinreach.bed.peers.backend import Backend
from lupinreach.bed.peers.registry import Entry
from lupinreach.bed.ways.faults import FAULTS
from lupinreach.bed.ways.loopback import AGENT_EXIT_TIMEOUT_S, LoopbackGround, free_port
from lupinreach.bed.ways.stage import SETTLE_TIMEOUTS, Stage, format_address
from lupinreach.bed.ways.stopping import until_stopped
from lupinreach.bed.world import ledger as record_kinds
from lupinreach.bed.world.ledger import Ledger, Record
from lupinreach.bed.world.network import Machine
from lupinreach.bed.world.spec import Trouble, World, world_to_dict
from lupinreach.trial.rig.addresses import MAX_AGENTS, MAX_BACKENDS, RigAddresses
from lupinreach.trial.rig.lateness import Lateness

# Backends and clients that one process runs, and agents that one relay serves.
BACKENDS_PER_PROCESS, CLIENTS_PER_PROCESS, AGENTS_PER_RELAY = 12, 12, 12
START_DELAY_S = 0.3  # from the order to begin until the first arrival
MAX_LINE_BYTES = 16 << 20
# Sent to the process of a backend when they change.
SYNCED_BACKEND_FIELDS = ("slower", "silent", "fails", "stalls", "report_age", "stolen")
RELAYED_MACHINE_FIELDS = ("vanished", "breaks", "slower", "narrow")  # simulated by the relay
EXIT_TIMEOUT_S = 5.0  # for a process of the rig


class RigFailed(RuntimeError):
    """A process of the rig ended before it was open, so the run has no result."""


class RigProcess:
    """A process of the rig, as seen by the coordinator."""

    def __init__(self, role: str, numbers: list[int]) -> None:
        self.role = role
        self.numbers = numbers
        self.process: asyncio.subprocess.Process | None = None
        self.opened = asyncio.Event()
        self.lateness: dict[str, float] = {}
        self.ledger: Path | None = None

    async def start(
        self, order: dict[str, Any], folder: Path, on_event: Callable[[dict[str, Any]], None]
    ) -> None:
        """Starts the process and sends its first order; `on_event` is called with its events."""
        self.ledger = folder / f"{self.role}-{self.numbers[0] if self.numbers else 0}.ledger"
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lupinreach.trial.rig.host",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
            start_new_session=True,
        )
        self.send(
            order
            | {"role": self.role, "mine": self.numbers, "folder": str(folder), "ledger": str(self.ledger)}
        )
        self._on_event = on_event
        self._reader_task = asyncio.create_task(self._read_events())

    async def _read_events(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        async for line in self.process.stdout:
            event = orjson.loads(line)
            if event["event"] == "open":
                self.opened.set()
            elif event["event"] == "ended":
                self.lateness = event["late"]
            else:
                self._on_event(event)

    def send(self, order: dict[str, Any]) -> None:
        """Sends an order, unless the process has ended."""
        assert self.process is not None and self.process.stdin is not None
        if self.process.returncode is None:
            self.process.stdin.write(orjson.dumps(order) + b"\n")

    async def end(self) -> None:
        """Ends the process, by a signal if it doesn't end in time."""
        if self.process is None:
            return
        with contextlib.suppress(ConnectionError):
            self.send({"do": "end"})
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self.process.wait()
                await self._reader_task
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self._reader_task.cancel()


class RemoteBackend:
    """Proxy for a backend that runs in a process of the rig."""

    def __init__(self, environment: RigEnvironment, backend: Backend, machine: Machine) -> None:
        self._environment = environment
        self.backend = backend
        self.machine = machine
        self._synced: dict[str, float] = {}

    def boot(self, cold: bool) -> None:
        """Starts the backend."""
        b = self.backend
        b.boot(self._environment.now(), cold)
        self._environment.send_to_backend(b.number, {"do": "boot", "backend": b.number, "cold": cold})
        self._environment.send_to_relays({"do": "shut", "name": self.machine.name, "on": False})
        self.step()

    def step(self) -> None:
        """Sends the faults of the backend to its process if they changed."""
        b = self.backend
        values = {name: getattr(b, name) for name in SYNCED_BACKEND_FIELDS} | {"resets": self.machine.resets}
        if values != self._synced and self._synced:
            self._environment.send_to_backend(b.number, {"do": "set", "backend": b.number, "what": values})
        self._synced = values

    def die(self) -> None:
        """Kills the backend."""
        self.backend.die(self._environment.now())
        self._environment.send_to_relays({"do": "shut", "name": self.machine.name, "on": True})
        self._environment.send_to_backend(self.backend.number, {"do": "die", "backend": self.backend.number})

    def reset(self) -> None:
        """Resets the connections of the backend."""
        self._environment.send_to_backend(
            self.backend.number, {"do": "reset", "backend": self.backend.number}
        )


class RemoteRegistry:
    """Proxy for the registry in a process of the rig; sends it the whole content whenever that changes."""

    def __init__(self, stage: RigStage) -> None:
        self._stage = stage

    def changed(self) -> None:
        """Sends the content of the registry to its process."""
        registry = self._stage.registry
        entries = [[version, vars(entry)] for version, entry in registry.snapshot().values()]
        self._stage.environment.send_to_registry(
            {"do": "hold", "version": registry.version, "up": registry.up, "entries": entries}
        )

    def down(self) -> None:
        """Stops the registry."""
        self._stage.registry.up = False
        self.changed()

    def release_held(self) -> None:
        """Does nothing: the order `plane` carries the network faults."""

    def record_listing(self, agent: int, version: int, entries: list[Entry], whole: bool) -> None:
        """Records that an agent was sent a list or a list change."""
        environment = self._stage.environment
        environment.ledger.add_record(
            record_kinds.TOLD,
            environment.now(),
            agent,
            self._stage.incarnations[agent],
            version,
            [[e.backend, e.state] for e in entries],
            whole,
        )

    def wire(self, agent: int, entry: Entry) -> dict[str, Any]:
        """A list entry in the form that an agent receives."""
        return entry.wire() | {
            "endpoint": format_address(self._stage.environment.addresses.backend_for(agent, entry.backend))
        }


class RigEnvironment(LoopbackGround):
    """Runs agents as real processes, and the processes of the rig that surround them."""

    addresses: RigAddresses

    def __init__(self, world: World, seed: int, folder: Path) -> None:
        super().__init__(world, seed, folder)
        self._world, self._seed = world, seed
        self.addresses = RigAddresses(free_port())
        self._processes: list[RigProcess] = []
        self.on_overload_crash: Callable[[int], None] = lambda _: None
        self.coordinator_lateness = Lateness()
        self._booted_backends: set[int] = set()
        self.all_booted = asyncio.Event()

    async def open(self) -> None:
        """Starts the processes of the rig and waits until all of them are open."""

        def split(total: int, per_process: int) -> list[list[int]]:
            count = -(-total // per_process)
            return [list(range(total))[i::count] for i in range(count)]

        world = self._world
        self._processes = [
            *(
                RigProcess("backends", numbers)
                for numbers in split(world.backend_count, BACKENDS_PER_PROCESS)
            ),
            RigProcess("registry", []),
            *(RigProcess("clients", numbers) for numbers in split(world.agents, CLIENTS_PER_PROCESS)),
            *(RigProcess("relay", numbers) for numbers in split(world.agents, AGENTS_PER_RELAY)),
        ]
        order = {
            "world": world_to_dict(world),
            "seed": self._seed,
            "port": self.addresses.port,
            "begin": self.ledger._start,
        }
        await asyncio.gather(*(p.start(order, self._folder, self._on_event) for p in self._processes))
        for p in self._processes:
            assert p.process is not None
            ended = asyncio.create_task(p.process.wait())
            opened = asyncio.create_task(p.opened.wait())
            await asyncio.wait((ended, opened), return_when=asyncio.FIRST_COMPLETED)
            opened.cancel()
            if not p.opened.is_set():
                raise RigFailed(f"{p.role} ended with {p.process.returncode} before it was open")
            ended.cancel()

    def _on_event(self, event: dict[str, Any]) -> None:
        if event["event"] == "fell":
            self.on_overload_crash(event["backend"])
        elif event["event"] == "booted":
            self._booted_backends.add(event["backend"])
            if len(self._booted_backends) == self._world.backend_count:
                self.all_booted.set()

    def _processes_of(self, role: str) -> list[RigProcess]:
        return [p for p in self._processes if p.role == role]

    def send_to_backend(self, n: int, order: dict[str, Any]) -> None:
        """Sends an order to the process of a backend."""
        next(p for p in self._processes_of("backends") if n in p.numbers).send(order)

    def send_to_registry(self, order: dict[str, Any]) -> None:
        """Sends an order to the process of the registry."""
        self._processes_of("registry")[0].send(order)

    def send_to_relays(self, order: dict[str, Any]) -> None:
        """Sends an order to all relays."""
        for p in self._processes_of("relay"):
            p.send(order)

    def send_to_clients(self, order: dict[str, Any]) -> None:
        """Sends an order to all processes of clients."""
        for p in self._processes_of("clients"):
            p.send(order)

    async def serve(self, *_: Any) -> None:
        """Does nothing: every server is in another process."""

    def set_refusing(self, machine: Machine, on: bool) -> None:
        """Does nothing: the proxies send it."""

    def release_held(self) -> None:
        """Does nothing: the order `plane` carries the network faults."""

    def reset_refused(self) -> None:
        """Does nothing: the order `plane` carries the network faults."""

    def kill_agent(self, number: int) -> None:
        """Kills an agent; the relays refuse connections to it from then on."""
        super().kill_agent(number)
        self.send_to_relays({"do": "shut", "name": f"agent {number}", "on": True})

    async def start_agent(
        self,
        number: int,
        incarnation: int,
        raw: dict[str, Any],
        ended: Callable[[], None],
        ahead: float = 0.0,
        drift: float = 0.0,
    ) -> None:
        """Starts an agent; the relays refuse connections to it until it listens, and once it has exited."""

        def on_exit() -> None:
            self.send_to_relays({"do": "shut", "name": f"agent {number}", "on": True})
            ended()

        await super().start_agent(number, incarnation, raw, on_exit, ahead, drift)
        self.send_to_relays({"do": "shut", "name": f"agent {number}", "on": False})

    async def close(self) -> None:
        """Ends the agents and the processes of the rig."""
        await super().close()
        await asyncio.gather(*(p.end() for p in self._processes), return_exceptions=True)

    def lateness(self) -> dict[str, dict[str, float]]:
        """The lateness of each process of the rig, in ms; `at` is the time of its worst sample within the run."""
        result = {
            f"{p.role} {p.numbers[0] if p.numbers else 0}": p.lateness for p in self._processes if p.lateness
        }
        result["coordinator"] = self.coordinator_lateness.summary()
        return {
            name: values | {"at": round(values["at"] - self.ledger._start)} for name, values in result.items()
        }

    def merged(self, records: list[Record], until: float) -> Ledger:
        """Merges all ledgers in the order of the machine's clock and fills in the incarnations of agents.

        Records of the peers after `until` are left out: the run was over and its processes were being
        stopped.
        """
        rows: list[Record] = list(records)
        for p in self._processes:
            if p.ledger is not None and p.ledger.exists():
                process_records = (tuple(orjson.loads(line)) for line in p.ledger.read_bytes().splitlines())
                rows += [
                    record
                    for record in process_records
                    if record[0] == record_kinds.FAULT or record[1] <= (until - self.ledger._start) * 1000
                ]
        rows.sort(key=lambda record: (record[1], record[0] != record_kinds.AGENT))
        incarnations: dict[int, int] = {}
        merged = Ledger(self.ledger._start)
        for record in rows:
            if record[0] == record_kinds.AGENT and record[4] == "started":
                incarnations[record[2]] = record[3]
            elif record[0] in (record_kinds.SENT, record_kinds.TOLD) and not record[3]:
                record = (*record[:3], incarnations.get(record[2], 1), *record[4:])
            merged.records.append(record)
        merged.seal()
        return merged


class RigStage(Stage):
    """The stage, with proxies for peers in other processes."""

    environment: RigEnvironment

    def __init__(self, world: World, seed: int, environment: RigEnvironment) -> None:
        super().__init__(world, seed, environment)
        self.registry_host = RemoteRegistry(self)  # type: ignore[assignment]
        environment.on_overload_crash = lambda n: self._on_overload_crash(self.hosts[n])

    def _add_host(self, b: Backend, kind: str, suffix: str = "") -> Any:
        machine = Machine(f"backend {b.number}", b.zone)
        self.hosts.append(RemoteBackend(self.environment, b, machine))  # type: ignore[arg-type]
        address = self.environment.addresses.backend(b.number)
        self.entries.append(
            Entry(
                f"b-{b.number:04x}{suffix}",
                b.number,
                format_address(address),
                self.world.zones[b.zone],
                kind,
                b.cell,
                float(b.cores),
            )
        )

    def _adapt_agent_config(self, n: int, raw: dict[str, Any]) -> dict[str, Any]:
        """The configuration of an agent, with the relay's addresses for everything it connects to."""
        addresses = self.environment.addresses
        raw = raw | {"discovery": format_address(addresses.registry_for(n))}
        if self.world.limits.peers:
            raw |= {
                "peers_all": format_address(addresses.broadcast_for(n)),
                "peers": [format_address(addresses.peer_for(n, other)) for other in range(self.world.agents)],
            }
        return raw

    async def play(self) -> None:
        """Plays the world: starts everything, sends the arrivals and applies the troubles."""
        environment, world = self.environment, self.world
        await environment.open()
        lateness_task = environment.loop.create_task(environment.coordinator_lateness.watch())
        world_record = {**world_to_dict(world), "seed": self._seed, "mode": "processes", "measure": []}
        environment.ledger.add_record(record_kinds.WORLD, environment.now(), world_record)
        for host in self.hosts:
            host.boot(cold=False)
            self.registry.set(self.entries[host.backend.number])
        self.registry_host.changed()
        async with asyncio.timeout(AGENT_EXIT_TIMEOUT_S):
            await environment.all_booted.wait()
        for first in range(0, world.agents, 16):
            await asyncio.gather(*(self._start_agent(n) for n in range(first, min(first + 16, world.agents))))
        begin = environment.now() + START_DELAY_S * 1000
        environment.send_to_clients({"do": "begin", "at": begin})
        await asyncio.sleep(START_DELAY_S)
        self._schedule_troubles()
        longest = max(p.timeout for p in world.products)
        await asyncio.sleep(
            (begin + world.length - environment.now()) / 1000 + SETTLE_TIMEOUTS * longest / 1000
        )
        lateness_task.cancel()

    def _apply_trouble(self, trouble: Trouble, targets: list[int], on: bool) -> None:
        super()._apply_trouble(trouble, targets, on)
        paths = self.environment.paths
        machines = {
            h.machine.name: {k: getattr(h.machine, k) for k in RELAYED_MACHINE_FIELDS}
            for h in self.hosts
            if any(getattr(h.machine, k) for k in RELAYED_MACHINE_FIELDS)
        }
        plane = {
            "do": "plane",
            "cut": sorted(paths.cut_zones),
            "refused": sorted(paths.reset_zones),
            "loss": paths.loss,
            "posts": [paths.duplicate_share, paths.delayed_share, paths.delay_ms],
            "parted": sorted(paths.blocked_pairs),
            "deaf": sorted(m.name for m in paths.not_receiving),
            "dumb": sorted(m.name for m in paths.not_sending),
            "machines": machines,
        }
        self.environment.send_to_registry(plane)
        self.environment.send_to_relays(plane)

    def _registry_down(self, t: Trouble, targets: list[int], on: bool) -> None:
        self.registry.up = not on
        if not on:
            self._replay_missed_changes()
        self.environment.send_to_relays({"do": "shut", "name": "registry", "on": on})
        self.registry_host.changed()

    def _registry_back(self, t: Trouble, targets: list[int], on: bool) -> None:
        super()._registry_back(t, targets, on)
        self.registry_host.changed()

    def _registry_older(self, t: Trouble, targets: list[int], on: bool) -> None:
        super()._registry_older(t, targets, on)
        self.registry_host.changed()

    def _sleep_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            if n in self.up:
                self.environment._signal(n, signal.SIGSTOP if on else signal.SIGCONT)


async def run_rig(world: World, seed: int) -> tuple[Ledger, dict[str, dict[str, float]], dict[str, float]]:
    """One run: the merged ledger, the lateness of each process of the rig, and the s that start and stop took."""
    with tempfile.TemporaryDirectory(prefix="lupinreach-rig-") as folder:
        began_at = time.monotonic()
        environment = RigEnvironment(world, seed, Path(folder))
        stage = RigStage(world, seed, environment)
        ended = began_at
        stopped = False
        try:
            stopped = await until_stopped(stage.play())
        finally:
            ended, until = time.monotonic(), environment.now()
            await environment.close()
            closed = time.monotonic()
        for failure in environment.process_failures:
            environment.ledger.add_record(record_kinds.FAULT, environment.now(), failure)
        environment.ledger.seal()
        longest = max(p.timeout for p in world.products)
        run_s = (world.length + SETTLE_TIMEOUTS * longest) / 1000
        durations = {
            "start": round(ended - began_at - run_s - START_DELAY_S, 2),
            "stop": round(closed - ended, 2),
        }
        merged = environment.merged(environment.ledger.records, until)
        merged.stopped = stopped
        return merged, environment.lateness(), durations


def unsupported_reason(world: World) -> str:
    """The reason why a world can't be run with real processes; empty if it can."""
    if world.agents > MAX_AGENTS:
        return f"agents.count: at most {MAX_AGENTS} with processes"
    if world.backend_count > MAX_BACKENDS:
        return f"backends: at most {MAX_BACKENDS} with processes"
    if world.fault and FAULTS[world.fault].make_balancer is None:
        return f"fault: {world.fault} can be planted in virtual time only"
    for i, trouble in enumerate(world.troubles):
        if trouble.kind == "disk-hangs":
            return f"troubles[{i}].kind: a disk that hangs can be played in virtual time only"
    if world.policy == "true-state":
        return "policy: true-state sees the models, which is so in virtual time only"
    return ""


def play(world: World, seed: int) -> tuple[Ledger, dict[str, dict[str, float]], dict[str, float]]:
    """Calls `run_rig` on a new event loop."""
    return asyncio.run(run_rig(world, seed))
