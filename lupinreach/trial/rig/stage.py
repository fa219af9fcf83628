"""The coordinator: starts every process of the fleet, makes trouble when it is due, and merges what they booked.

It is the bed's stage with the peers elsewhere: each part that the stage acts on is a stand-in here that sends what
changed to the process that has it.
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
from lupinreach.trial.rig.late import Lateness
from lupinreach.trial.rig.places import MOST_AGENTS, MOST_BACKENDS, Places

BACKENDS_EACH, CLIENTS_EACH, AGENTS_EACH = (
    12,
    12,
    12,
)  # that one process of the rig plays, and one relay serves
BEGINS_IN = 0.3  # s from the word to begin until the first arrival
MOST_LINE = 16 << 20
TOLD_OF = ("slower", "silent", "fails", "stalls", "report_age", "stolen")  # of a backend
MADE_BY_RELAY = ("vanished", "breaks", "slower", "narrow")  # of a machine
ENDED = 5.0  # s for a process of the rig to end


class RigBroken(RuntimeError):
    """A process of the rig ended or never opened; the run says nothing."""


class Process:
    """One process of the rig."""

    def __init__(self, role: str, mine: list[int]) -> None:
        self.role = role
        self.mine = mine
        self.process: asyncio.subprocess.Process | None = None
        self.opened = asyncio.Event()
        self.late: dict[str, float] = {}
        self.ledger: Path | None = None

    async def start(
        self, order: dict[str, Any], folder: Path, heard: Callable[[dict[str, Any]], None]
    ) -> None:
        self.ledger = folder / f"{self.role}-{self.mine[0] if self.mine else 0}.ledger"
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lupinreach.trial.rig.host",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MOST_LINE,
            start_new_session=True,
        )
        self.tell(
            order | {"role": self.role, "mine": self.mine, "folder": str(folder), "ledger": str(self.ledger)}
        )
        self._heard = heard
        self._reads = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        async for line in self.process.stdout:
            event = orjson.loads(line)
            if event["event"] == "open":
                self.opened.set()
            elif event["event"] == "ended":
                self.late = event["late"]
            else:
                self._heard(event)

    def tell(self, order: dict[str, Any]) -> None:
        assert self.process is not None and self.process.stdin is not None
        if self.process.returncode is None:
            self.process.stdin.write(orjson.dumps(order) + b"\n")

    async def end(self) -> None:
        if self.process is None:
            return
        with contextlib.suppress(ConnectionError):
            self.tell({"do": "end"})
        try:
            async with asyncio.timeout(ENDED):
                await self.process.wait()
                await self._reads
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self._reads.cancel()


class RemoteBackend:
    """What the stage acts on; the backend itself is in a process of the rig."""

    def __init__(self, environment: RigGround, backend: Backend, machine: Machine) -> None:
        self._environment = environment
        self.backend = backend
        self.machine = machine
        self._told: dict[str, float] = {}

    def boot(self, cold: bool) -> None:
        b = self.backend
        b.boot(self._environment.now(), cold)
        self._environment.tell_backend(b.number, {"do": "boot", "backend": b.number, "cold": cold})
        self._environment.tell_relays({"do": "shut", "name": self.machine.name, "on": False})
        self.step()

    def step(self) -> None:
        b = self.backend
        now = {name: getattr(b, name) for name in TOLD_OF} | {"resets": self.machine.resets}
        if now != self._told and self._told:
            self._environment.tell_backend(b.number, {"do": "set", "backend": b.number, "what": now})
        self._told = now

    def die(self) -> None:
        self.backend.die(self._environment.now())
        self._environment.tell_relays({"do": "shut", "name": self.machine.name, "on": True})
        self._environment.tell_backend(self.backend.number, {"do": "die", "backend": self.backend.number})

    def reset(self) -> None:
        self._environment.tell_backend(self.backend.number, {"do": "reset", "backend": self.backend.number})


class RemoteRegistry:
    """The registry's service, elsewhere: it is handed all that it knows whenever that changes."""

    def __init__(self, stage: RigStage) -> None:
        self._stage = stage

    def changed(self) -> None:
        registry = self._stage.registry
        held = [[version, vars(entry)] for version, entry in registry.snapshot().values()]
        self._stage.environment.tell_registry(
            {"do": "hold", "version": registry.version, "up": registry.up, "entries": held}
        )

    def down(self) -> None:
        self._stage.registry.up = False
        self.changed()

    def release_held(self) -> None:
        """Told with the plane."""

    def record_listing(self, agent: int, version: int, entries: list[Entry], whole: bool) -> None:
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
        return entry.wire() | {
            "endpoint": format_address(self._stage.environment.addresses.backend_for(agent, entry.backend))
        }


class RigGround(LoopbackGround):
    """Agents as processes, and the processes that play everything round them."""

    addresses: Places

    def __init__(self, world: World, seed: int, folder: Path) -> None:
        super().__init__(world, seed, folder)
        self._world, self._seed = world, seed
        self.addresses = Places(free_port())
        self._processes: list[Process] = []
        self.fell: Callable[[int], None] = lambda _: None
        self.own = Lateness()
        self._booted: set[int] = set()
        self.all_booted = asyncio.Event()

    async def open(self) -> None:
        """Start the rig's processes and wait until all of them are open."""

        def shares(total: int, each: int) -> list[list[int]]:
            parts = -(-total // each)
            return [list(range(total))[i::parts] for i in range(parts)]

        world = self._world
        self._processes = [
            *(Process("backends", mine) for mine in shares(world.backend_count, BACKENDS_EACH)),
            Process("registry", []),
            *(Process("clients", mine) for mine in shares(world.agents, CLIENTS_EACH)),
            *(Process("relay", mine) for mine in shares(world.agents, AGENTS_EACH)),
        ]
        order = {
            "world": world_to_dict(world),
            "seed": self._seed,
            "port": self.addresses.port,
            "begin": self.ledger._start,
        }
        await asyncio.gather(*(p.start(order, self._folder, self._heard) for p in self._processes))
        for p in self._processes:
            assert p.process is not None
            ended = asyncio.create_task(p.process.wait())
            opened = asyncio.create_task(p.opened.wait())
            await asyncio.wait((ended, opened), return_when=asyncio.FIRST_COMPLETED)
            opened.cancel()
            if not p.opened.is_set():
                raise RigBroken(f"{p.role} ended with {p.process.returncode} before it was open")
            ended.cancel()

    def _heard(self, event: dict[str, Any]) -> None:
        if event["event"] == "fell":
            self.fell(event["backend"])
        elif event["event"] == "booted":
            self._booted.add(event["backend"])
            if len(self._booted) == self._world.backend_count:
                self.all_booted.set()

    def _each(self, role: str) -> list[Process]:
        return [p for p in self._processes if p.role == role]

    def tell_backend(self, n: int, order: dict[str, Any]) -> None:
        next(p for p in self._each("backends") if n in p.mine).tell(order)

    def tell_registry(self, order: dict[str, Any]) -> None:
        self._each("registry")[0].tell(order)

    def tell_relays(self, order: dict[str, Any]) -> None:
        for p in self._each("relay"):
            p.tell(order)

    def tell_clients(self, order: dict[str, Any]) -> None:
        for p in self._each("clients"):
            p.tell(order)

    async def serve(self, *_: Any) -> None:
        """Every server is in a process of its own."""

    def set_refusing(self, machine: Machine, on: bool) -> None:
        """Told by the stand-ins themselves."""

    def release_held(self) -> None:
        """Told with the plane as a whole."""

    def reset_refused(self) -> None:
        """So is this."""

    def kill_agent(self, number: int) -> None:
        super().kill_agent(number)
        self.tell_relays({"do": "shut", "name": f"agent {number}", "on": True})

    async def start_agent(
        self,
        number: int,
        incarnation: int,
        raw: dict[str, Any],
        ended: Callable[[], None],
        ahead: float = 0.0,
        drift: float = 0.0,
    ) -> None:
        def over() -> None:
            self.tell_relays({"do": "shut", "name": f"agent {number}", "on": True})
            ended()

        await super().start_agent(number, incarnation, raw, over, ahead, drift)
        self.tell_relays({"do": "shut", "name": f"agent {number}", "on": False})

    async def close(self) -> None:
        await super().close()
        await asyncio.gather(*(p.end() for p in self._processes), return_exceptions=True)

    def lateness(self) -> dict[str, dict[str, float]]:
        """By process of the rig, ms; `at` is the moment of its worst, since the run began."""
        found = {f"{p.role} {p.mine[0] if p.mine else 0}": p.late for p in self._processes if p.late}
        found["coordinator"] = self.own.told()
        return {name: each | {"at": round(each["at"] - self.ledger._start)} for name, each in found.items()}

    def merged(self, records: list[Record], until: float) -> Ledger:
        """All ledgers as one, by the machine's clock; which life of an agent it was is filled in here.

        What the peers booked past `until`, when the run was over and its parts were taken down, is none of it.
        """
        rows: list[Record] = list(records)
        for p in self._processes:
            if p.ledger is not None and p.ledger.exists():
                booked = (tuple(orjson.loads(line)) for line in p.ledger.read_bytes().splitlines())
                rows += [
                    r
                    for r in booked
                    if r[0] == record_kinds.FAULT or r[1] <= (until - self.ledger._start) * 1000
                ]
        rows.sort(key=lambda r: (r[1], r[0] != record_kinds.AGENT))
        lives: dict[int, int] = {}
        merged = Ledger(self.ledger._start)
        for r in rows:
            if r[0] == record_kinds.AGENT and r[4] == "started":
                lives[r[2]] = r[3]
            elif r[0] in (record_kinds.SENT, record_kinds.TOLD) and not r[3]:
                r = (*r[:3], lives.get(r[2], 1), *r[4:])
            merged.records.append(r)
        merged.seal()
        return merged


class RigStage(Stage):
    """The stage with its peers elsewhere."""

    environment: RigGround

    def __init__(self, world: World, seed: int, environment: RigGround) -> None:
        super().__init__(world, seed, environment)
        self.registry_host = RemoteRegistry(self)  # type: ignore[assignment]
        environment.fell = lambda n: self._on_overload_crash(self.hosts[n])

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
        """Everything that it knows others by is the relay's."""
        at = self.environment.addresses
        raw = raw | {"discovery": format_address(at.registry_for(n))}
        if self.world.limits.peers:
            raw |= {
                "peers_all": format_address(at.everybody_for(n)),
                "peers": [format_address(at.peer_for(n, other)) for other in range(self.world.agents)],
            }
        return raw

    async def play(self) -> None:
        environment, world = self.environment, self.world
        await environment.open()
        watching = environment.loop.create_task(environment.own.watch())
        facts = {**world_to_dict(world), "seed": self._seed, "mode": "processes", "measure": []}
        environment.ledger.add_record(record_kinds.WORLD, environment.now(), facts)
        for host in self.hosts:
            host.boot(cold=False)
            self.registry.set(self.entries[host.backend.number])
        self.registry_host.changed()
        async with asyncio.timeout(AGENT_EXIT_TIMEOUT_S):
            await environment.all_booted.wait()
        for first in range(0, world.agents, 16):
            await asyncio.gather(*(self._start_agent(n) for n in range(first, min(first + 16, world.agents))))
        begin = environment.now() + BEGINS_IN * 1000
        environment.tell_clients({"do": "begin", "at": begin})
        await asyncio.sleep(BEGINS_IN)
        self._schedule_troubles()
        longest = max(p.timeout for p in world.products)
        await asyncio.sleep(
            (begin + world.length - environment.now()) / 1000 + SETTLE_TIMEOUTS * longest / 1000
        )
        watching.cancel()

    def _apply_trouble(self, trouble: Trouble, targets: list[int], on: bool) -> None:
        super()._apply_trouble(trouble, targets, on)
        paths = self.environment.paths
        machines = {
            h.machine.name: {k: getattr(h.machine, k) for k in MADE_BY_RELAY}
            for h in self.hosts
            if any(getattr(h.machine, k) for k in MADE_BY_RELAY)
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
        self.environment.tell_registry(plane)
        self.environment.tell_relays(plane)

    def _registry_down(self, t: Trouble, targets: list[int], on: bool) -> None:
        self.registry.up = not on
        if not on:
            self._replay_missed_changes()
        self.environment.tell_relays({"do": "shut", "name": "registry", "on": on})
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


async def play_on(world: World, seed: int) -> tuple[Ledger, dict[str, dict[str, float]], dict[str, float]]:
    """One run; the merged ledger, how late each process of the rig was, and what starting and stopping took in s."""
    with tempfile.TemporaryDirectory(prefix="lupinreach-rig-") as folder:
        began = time.monotonic()
        environment = RigGround(world, seed, Path(folder))
        stage = RigStage(world, seed, environment)
        ended = began
        stopped = False
        try:
            stopped = await until_stopped(stage.play())
        finally:
            ended, until = time.monotonic(), environment.now()
            await environment.close()
            closed = time.monotonic()
        for what in environment.process_failures:
            environment.ledger.add_record(record_kinds.FAULT, environment.now(), what)
        environment.ledger.seal()
        longest = max(p.timeout for p in world.products)
        played = (world.length + SETTLE_TIMEOUTS * longest) / 1000
        took = {"start": round(ended - began - played - BEGINS_IN, 2), "stop": round(closed - ended, 2)}
        merged = environment.merged(environment.ledger.records, until)
        merged.stopped = stopped
        return merged, environment.lateness(), took


def fits(world: World) -> str:
    """Why this world can't be played with processes; empty if it can."""
    if world.agents > MOST_AGENTS:
        return f"agents.count: at most {MOST_AGENTS} with processes"
    if world.backend_count > MOST_BACKENDS:
        return f"backends: at most {MOST_BACKENDS} with processes"
    if world.fault and FAULTS[world.fault].make_balancer is None:
        return f"fault: {world.fault} can be planted in virtual time only"
    for i, trouble in enumerate(world.troubles):
        if trouble.kind == "disk-hangs":
            return f"troubles[{i}].kind: a disk that hangs can be played in virtual time only"
    if world.policy == "true-state":
        return "policy: true-state sees the models, which is so in virtual time only"
    return ""


def play(world: World, seed: int) -> tuple[Ledger, dict[str, dict[str, float]], dict[str, float]]:
    """As `play_on`, on an event loop of its own."""
    return asyncio.run(play_on(world, seed))
