"""Plays a world on a ground: builds the fleet, lets clients ask, and makes trouble when it is due."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

from lupinreach.bed.peers.backend import Backend, GroupMemory
from lupinreach.bed.peers.clients import ClientHost
from lupinreach.bed.peers.registry import Entry, Registry
from lupinreach.bed.peers.servers import (
    LOAD_SAMPLE_INTERVAL_MS,
    BackendConnection,
    BackendHost,
    RegistryConnection,
    RegistryHost,
)
from lupinreach.bed.world import ledger as record_kinds
from lupinreach.bed.world.environment import Environment
from lupinreach.bed.world.network import Machine
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.bed.world.spec import Trouble, World, world_to_dict
from lupinreach.bed.world.traffic import arrivals
from lupinreach.config import ASK, BEAT, Address
from lupinreach.model import DedupScope, Idempotency

READY_WITHIN = 5.0  # s for an agent to listen
SETTLES = 1.5  # x longest client timeout: after the last arrival, until all is answered
THIEF = 2000.0  # ms of a thief's on and off together
BUSY_EVERY = 1000.0  # ms between two times that an agent's event loop is held up
NOBODY = 1  # a port that nothing listens on
UNDRAINED = 0.05  # s between the end of a drain and the end of its process


def text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


@dataclass
class Fleet:
    """What a world's backends are drawn as."""

    backends: list[Backend]
    kinds: list[str]


def draw(world: World, seed: int) -> Fleet:
    """The backends of a run; their true speeds and times come from the seed."""
    chance, rules = random_stream(seed, "fleet"), world.rules
    groups = {p.group for p in world.products if p.kind is Idempotency.DEDUPLICATED}
    memories: dict[Any, GroupMemory] = {}
    fleet = Fleet([], [])
    for kind in world.backends:
        for i in range(kind.count):
            number = len(fleet.backends)
            zones = kind.zones or tuple(range(len(world.zones)))
            zone = zones[i % len(zones)]
            cell = number // world.backend.cell_size
            shared = (
                "all" if DedupScope.ALL in groups else zone if DedupScope.ZONE in groups else ("cell", cell)
            )
            speed, idle, report = (float(chance.random()) for _ in range(3))
            fleet.backends.append(
                Backend(
                    number,
                    zone,
                    kind.cores,
                    kind.speed.at(speed),
                    world.backend,
                    rules,
                    world.backend.idle.at(idle),
                    world.backend.report_every.at(report),
                    memories.setdefault(shared, GroupMemory()),
                )
            )
            fleet.kinds.append(kind.name)
    return fleet


class Stage:
    """One run."""

    def __init__(
        self,
        world: World,
        seed: int,
        environment: Environment,
        progress: Callable[[float], None] | None = None,
    ) -> None:
        self.world = world
        self.environment = environment
        self._seed = seed
        self._progress = progress
        self._chance = random_stream(seed, "stage")
        fleet = draw(world, seed)
        self.registry = Registry()
        self.agents = [0] * world.agents  # their lives
        self.up: set[int] = set()
        self._begins: set[int] = set()  # agents that are being started; each leaves as it is up
        self._stopping: set[int] = set()  # whose process was told to stop; each leaves as it has ended
        self._twinned: dict[
            int, Trouble
        ] = {}  # agents that have a second process, and of which trouble; each leaves with that
        self._again: set[int] = set()  # of those, the ones to start after that
        self._client_machines = [Machine(f"agent {n}", n % len(world.zones)) for n in range(world.agents)]
        self.clients = [
            ClientHost(environment, world, n, self._client_machines[n], environment.addresses.agent(n))
            for n in range(world.agents)
        ]
        self._registry_machine = Machine("registry", 0)
        self.registry_host = RegistryHost(
            environment,
            self.registry,
            self._registry_machine,
            self.agents.__getitem__,
            self.machine,
            world.registry,
        )
        self.hosts: list[BackendHost] = []
        self.entries: list[Entry] = []
        for b, kind in zip(fleet.backends, fleet.kinds, strict=True):
            self._add(b, kind)
        self._starting: dict[
            asyncio.Task[None], None
        ] = {}  # agents that come back; each leaves when it is up
        self._agent_of: list[int] = []  # by API call
        self._lists: dict[int, dict[str, tuple[int, Entry]]] = {}  # kept for a return, by trouble
        self._copies: dict[int, dict[int, bytes | None]] = {}  # of disks, by the trouble that puts them back
        self._parted: Counter[tuple[str, str]] = (
            Counter()
        )  # by how many troubles; as many as the world has pairs
        self._missed: dict[
            str, int
        ] = {}  # uids of backends that changed unseen by the registry; emptied as it is back
        self._ahead = [0.0] * world.agents  # ms by which the clock of an agent that starts is wrong
        self._drift = [0.0] * world.agents  # and what it gains of each ms

    def machine(self, agent: int) -> Machine:
        return self._client_machines[agent]

    def whose(self, name: bytes) -> Machine | None:
        """The machine of the agent that a try is made through."""
        found = self._asked(name.decode("latin-1"))
        return self._client_machines[found[0]] if found else None

    def _add(self, b: Backend, kind: str, suffix: str = "") -> BackendHost:
        machine = Machine(f"backend {b.number}", b.zone)
        host = BackendHost(
            self.environment,
            self.world,
            b,
            machine,
            random_stream(self._seed, "backend", b.number),
            self._asked,
            self._fell,
        )
        self.hosts.append(host)
        self.entries.append(
            Entry(
                f"b-{b.number:04x}{suffix}",
                b.number,
                text(self.environment.addresses.backend(b.number)),
                self.world.zones[b.zone],
                kind,
                b.cell,
                float(b.cores),
            )
        )
        return host

    def _asked(self, name: str) -> tuple[int, int, int] | None:
        """Whose try it is, in which life, and its product; None if nobody asked under this name."""
        call, _, _ = name.partition(".")
        try:
            agent = self._agent_of[int(call, 16)]
        except (ValueError, IndexError):
            return None
        return self.clients[agent].open_requests.get(name)

    # From start to end.

    async def play(self) -> None:
        """All of it; the ledger holds what happened."""
        environment, world = self.environment, self.world
        facts = {**world_to_dict(world), "seed": self._seed, "mode": "", "measure": []}
        environment.ledger.add_record(record_kinds.WORLD, environment.now(), facts)
        for host in self.hosts:
            await self._serve(host)
            host.boot(cold=False)
            self.registry.set(self.entries[host.backend.number])
        for n in range(world.agents):
            await environment.serve(
                environment.addresses.registry(n),
                self._registry_machine,
                lambda n=n: RegistryConnection(self.registry_host, n),
            )  # type: ignore[misc]
        for first in range(0, world.agents, 16):
            await asyncio.gather(*(self._start_agent(n) for n in range(first, min(first + 16, world.agents))))
        calls = arrivals(world, self._seed)
        self._agent_of = [a.agent for a in calls]
        begin = environment.now()
        loop = environment.loop
        self._make_trouble()
        loop.call_later(LOAD_SAMPLE_INTERVAL_MS / 1000, self._sample)
        for number, arrival in enumerate(calls):
            wait = begin + arrival.at - environment.now()
            if wait > 0:
                await asyncio.sleep(wait / 1000)
            self.clients[arrival.agent].send_request(number, arrival)
            if self._progress and number % 64 == 0:
                self._progress(arrival.at)
        longest = max(p.timeout for p in world.products)
        await asyncio.sleep(
            max(0.0, begin + world.length - environment.now()) / 1000 + SETTLES * longest / 1000
        )

    async def _serve(self, host: BackendHost) -> None:
        address = self.environment.addresses.backend(host.backend.number)
        await self.environment.serve(address, host.machine, lambda: BackendConnection(host))

    async def _start_agent(self, n: int) -> None:
        self.agents[n] += 1
        incarnation = self.agents[n]
        self.clients[n].incarnation = incarnation
        known = self.registry.listed_entries()
        raw = self._told(n, self._raw(n, incarnation))
        self.registry_host.record_listing(n, self.registry.version, known, True)
        self.environment.ledger.add_record(
            record_kinds.AGENT, self.environment.now(), n, incarnation, "started"
        )
        async with asyncio.timeout(READY_WITHIN):
            await self.environment.start_agent(
                n, incarnation, raw, lambda: self._ended(n, incarnation), self._ahead[n], self._drift[n]
            )
        self.up.add(n)
        self._begins.discard(n)

    def _raw(self, n: int, incarnation: int) -> dict[str, Any]:
        """What an agent is told at its start."""
        known, at = self.registry.listed_entries(), self.environment.addresses
        raw = {
            "name": f"agent-{n}",
            "listen": text(at.agent(n)),
            "discovery": text(at.registry(n)),
            "seed": f"{int(random_stream(self._seed, 'agent', n, incarnation).integers(1 << 48)):x}",
            "limits": {"sockets": self.world.sockets},
            "known": {
                "rev": self.registry.version,
                "all": True,
                "targets": [self.registry_host.wire(n, e) for e in known],
            },
            "settings": self.world.settings(n),
        }
        if self.world.limits.peers:
            raw |= {
                "peer_listen": text(at.peer(n)),
                "peers_all": text(at.everybody()),
                "peers": [text(at.peer(i)) for i in range(self.world.agents)],
            }
        if self.world.store:
            raw["store"] = {"file": self.environment.carried(n)} | ({"ran": True} if self.world.ran else {})
        if self.world.in_touch:
            raw["fleet"] = {"beat_ms": BEAT, "ask_ms": ASK, "share_ms": self.world.share}
        if self.world.carry:
            raw["carry"] = {"file": self.environment.carried(n), "most_age_s": self.world.carry}
        return raw

    def _told(self, n: int, raw: dict[str, Any]) -> dict[str, Any]:
        """What an agent is told at its start, where others than the stage stand between it and its peers."""
        return raw

    def _ended(self, n: int, incarnation: int) -> None:
        self.environment.ledger.add_record(
            record_kinds.AGENT, self.environment.now(), n, incarnation, "ended"
        )
        self._stopping.discard(n)
        if n in self._again:
            self._again.discard(n)
            self._revive(n)

    def _sample(self) -> None:
        now = self.environment.now()
        for host in self.hosts:
            host.step()
            b = host.backend
            if b.up:
                self.environment.ledger.add_record(
                    record_kinds.LOAD,
                    now,
                    b.number,
                    len(b.running),
                    len(b.queue),
                    round(b.warm_fraction(now), 3),
                )
        pools = self.environment.pools()
        if pools:
            self.environment.ledger.add_record(record_kinds.POOLS, now, sorted(pools.items()))
        self.environment.loop.call_later(LOAD_SAMPLE_INTERVAL_MS / 1000, self._sample)

    # Troubles.

    def _make_trouble(self) -> None:
        """All of it, when it is due from now."""
        loop = self.environment.loop
        for number, trouble in enumerate(self.world.troubles):
            targets = self._targets(number, trouble)
            if trouble.kind == "registry-older":
                loop.call_later(max(0.0, trouble.at / 1000 - trouble.strength), self._keep_list, number)
            if trouble.kind == "disk-older":
                loop.call_later(
                    max(0.0, trouble.at / 1000 - trouble.strength), self._keep_disks, number, targets
                )
            loop.call_later(trouble.at / 1000, self._begin, number, trouble, targets)

    def _targets(self, number: int, trouble: Trouble) -> list[int]:
        """What it strikes: what the world names, else drawn."""
        if trouble.targets:
            return list(trouble.targets)
        pool = {"backends": len(self.hosts), "agents": self.world.agents, "zones": len(self.world.zones)}
        total = pool.get(trouble.target_kind, 0)
        if not total:
            return []
        wanted = max(1, round(trouble.share * total)) if trouble.target_kind != "zones" else 1
        chance = random_stream(self._seed, "trouble", number)
        return sorted(int(n) for n in chance.permutation(total)[:wanted])

    def _begin(self, number: int, trouble: Trouble, targets: list[int]) -> None:
        self.environment.ledger.add_record(
            record_kinds.TROUBLE, self.environment.now(), number, trouble.kind, "begins", targets
        )
        self._strike(trouble, targets, True)
        self.environment.loop.call_later(trouble.length / 1000, self._end, number, trouble, targets)

    def _end(self, number: int, trouble: Trouble, targets: list[int]) -> None:
        self.environment.ledger.add_record(
            record_kinds.TROUBLE, self.environment.now(), number, trouble.kind, "ends", targets
        )
        self._strike(trouble, targets, False)

    def _strike(self, trouble: Trouble, targets: list[int], on: bool) -> None:
        strike = getattr(self, "_" + trouble.kind.replace("-", "_"), None)
        if strike is not None:
            strike(trouble, targets, on)
            self.registry_host.release_held()

    def _each(self, targets: list[int], change: Callable[[BackendHost], None]) -> None:
        for n in targets:
            host = self.hosts[n]
            host.step()
            change(host)
            host.step()

    def _slow(self, t: Trouble, targets: list[int], on: bool) -> None:
        def change(host: BackendHost) -> None:
            host.backend.slower *= t.strength if on else 1 / t.strength

        self._each(targets, change)

    def _set(self, targets: list[int], name: str, value: float, machine: bool = False) -> None:
        self._each(targets, lambda host: setattr(host.machine if machine else host.backend, name, value))

    def _silent(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set(targets, "silent", t.strength if on else 0.0)

    def _fail(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set(targets, "fails", t.strength if on else 0.0)

    def _stall(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set(targets, "stalls", t.strength if on else 0.0)

    def _late_reports(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set(targets, "report_age", t.strength if on else 1.0)

    def _reset(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set(targets, "resets", t.strength if on else 0.0, machine=True)

    def _break(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set(targets, "breaks", t.strength if on else 0.0, machine=True)

    def _latency(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set(targets, "slower", t.strength if on else 0.0, machine=True)

    def _narrow(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set(targets, "narrow", t.strength if on else 0.0, machine=True)

    def _apart(self, t: Trouble, targets: list[int], on: bool, both: bool = True) -> None:
        number, total = self.world.troubles.index(t), self.world.agents
        some = random_stream(self._seed, "apart", number).permutation(total)[: round(t.strength * total)]
        pairs = [
            (self.hosts[b].machine.name, self._client_machines[int(n)].name) for b in targets for n in some
        ]
        pairs += [(agent, backend) for backend, agent in pairs] if both else []
        for pair in pairs:
            # Counted, so that one of two troubles that part the same pair doesn't heal the other's.
            self._parted[pair] += 1 if on else -1
        self.environment.paths.blocked_pairs = {pair for pair, times in self._parted.items() if times}
        if not on:
            self.environment.release_held()

    def _apart_one_way(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._apart(t, targets, on, both=False)

    def _thief(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set(targets, "stolen", t.strength if on else 0.0)
        if on:
            until = self.environment.now() + t.length

            def turn(now_on: bool) -> None:
                if self.environment.now() < until - 1:
                    self._set(targets, "stolen", t.strength if now_on else 0.0)
                    self.environment.loop.call_later(THIEF / 2000, turn, not now_on)

            self.environment.loop.call_later(THIEF / 2000, turn, False)

    def _vanish(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            host = self.hosts[n]
            host.machine.vanished = on
            if not on:
                host.reset()  # what was open is reset when it is back
            else:
                self._later(self.world.registry.silent_lag, self._unlist_lost, n, host.backend.incarnation)
        if not on:
            self.environment.release_held()
            for n in targets:
                self._announce(n, state="Ready")

    def _unlist_lost(self, n: int, incarnation: int) -> None:
        host = self.hosts[n]
        if host.backend.incarnation == incarnation and (host.machine.vanished or not host.backend.up):
            self._list(n, state="Gone")

    def _cut(self, t: Trouble, targets: list[int], on: bool) -> None:
        self.environment.paths.cut_zones = (
            self.environment.paths.cut_zones | set(targets)
            if on
            else self.environment.paths.cut_zones - set(targets)
        )
        if not on:
            self.environment.release_held()

    def _cut_reset(self, t: Trouble, targets: list[int], on: bool) -> None:
        refused = self.environment.paths.reset_zones
        self.environment.paths.reset_zones = refused | set(targets) if on else refused - set(targets)
        self.environment.reset_refused()
        if not on:
            self.environment.release_held()

    def _datagrams_doubled(self, t: Trouble, targets: list[int], on: bool) -> None:
        self.environment.paths.duplicate_share = t.strength if on else 0.0

    def _datagrams_late(self, t: Trouble, targets: list[int], on: bool) -> None:
        self.environment.paths.delayed_share, self.environment.paths.delay_ms = (
            (t.share, t.strength) if on else (0.0, 0.0)
        )

    def _loss(self, t: Trouble, targets: list[int], on: bool) -> None:
        self.environment.paths.loss = t.strength if on else self.world.network.loss

    # Backends that come and go.

    def _later(self, lag: Any, what: Callable[..., None], *args: Any) -> None:
        self.environment.loop.call_later(lag.at(float(self._chance.random())) / 1000, what, *args)

    def _announce(self, n: int, **changed: Any) -> None:
        """The registry gets to know it after its lag."""
        self._later(self.world.registry.lag, lambda: self._list(n, **changed))

    def _list(self, n: int, **changed: Any) -> None:
        entry = self.entries[n] = replace(self.entries[n], **changed)
        if not self.registry.up:
            self._missed.setdefault(entry.uid, n)  # what has no power learns of nothing
            return
        self.registry.set(entry)
        self.registry_host.changed()

    def _learn_missed(self) -> None:
        """The registry is back: what changed meanwhile reaches it after its lag, as any change does."""
        missed, self._missed = self._missed, {}
        for uid, n in missed.items():
            # Of a machine that was replaced meanwhile, only the last is there.
            gone = {"state": "Gone"} if self.entries[n].uid != uid else {}
            self._later(self.world.registry.lag, self._list_late, uid, n, gone)

    def _list_late(self, uid: str, n: int, gone: dict[str, str]) -> None:
        entry = replace(self.entries[n], uid=uid, **gone)  # type: ignore[arg-type]
        if self.registry.up:
            self.registry.set(entry)
            self.registry_host.changed()
        else:
            self._missed.setdefault(uid, n)

    def _die(self, n: int) -> None:
        host = self.hosts[n]
        host.die()
        b = host.backend
        self.environment.ledger.add_record(
            record_kinds.STATE,
            self.environment.now(),
            n,
            b.incarnation,
            "Gone",
            0.0,
            0.0,
            0.0,
            b.zone,
            b.cell,
        )

    def _return(self, n: int) -> None:
        self.hosts[n].boot(cold=True)
        self._announce(n, state="Ready", boot=int(self.environment.now()))

    def _fell(self, host: BackendHost) -> None:
        """Pushed over: it stays down."""
        host.backend.up = False
        self.environment.loop.call_soon(self._die, host.backend.number)
        self._later(
            self.world.registry.silent_lag, self._unlist_lost, host.backend.number, host.backend.incarnation
        )

    def _crash(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            if on and self.hosts[n].backend.up:
                self._die(n)
                self._later(
                    self.world.registry.silent_lag, self._unlist_lost, n, self.hosts[n].backend.incarnation
                )
            elif not on and not self.hosts[n].backend.crashed:
                self._return(n)

    def _drain(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            if on:
                b = self.hosts[n].backend
                self.environment.ledger.add_record(
                    record_kinds.STATE,
                    self.environment.now(),
                    n,
                    b.incarnation,
                    "Terminating",
                    0.0,
                    0.0,
                    0.0,
                    b.zone,
                    b.cell,
                )
                self._announce(n, state="Terminating")
            else:
                self._die(n)
                self._list(n, state="Gone")
                self.environment.loop.call_later(UNDRAINED, self._return, n)

    def _replace(self, t: Trouble, targets: list[int], on: bool) -> None:
        """As a deployment does: it drains, and another machine under another name takes its place."""
        for n in targets:
            if on:
                self._drain(t, [n], True)
                continue
            self._die(n)
            self._list(n, state="Gone")
            old = self.entries[n]
            self.entries[n] = replace(old, uid=f"{old.uid}-{self.hosts[n].backend.incarnation}")
            self.environment.loop.call_later(UNDRAINED, self._return, n)

    # The registry and the agents.

    def _registry_down(self, t: Trouble, targets: list[int], on: bool) -> None:
        if on:
            self.registry_host.down()
        else:
            self.registry.up = True
            self._learn_missed()
        self.environment.set_refusing(self._registry_machine, on)

    def _registry_back(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._registry_down(t, targets, on)
        if not on:
            self.registry.restart(self.world.registry.restart_version)

    def _keep_list(self, number: int) -> None:
        self._lists[number] = self.registry.snapshot()

    def _registry_older(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._registry_down(t, targets, on)
        if not on:
            self.registry.restore(self._lists.pop(self.world.troubles.index(t)))

    def _sleep_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            if on and n in self.up:
                self.environment.pause_agent(n, t.length)

    def _twin_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            if on is (n in self._twinned):
                continue  # one second process an agent, whatever is drawn
            if on:
                self._twinned[n] = t
                # Where nobody sends and with a registry that refuses: what it can touch is the disk.
                where = self.environment.addresses.twin(n)
                raw = self._told(n, self._raw(n, 0)) | {
                    "listen": text(where),
                    "discovery": text((where[0], NOBODY)),
                }
                if "peer_listen" in raw:
                    raw["peer_listen"] = text((where[0], where[1] + 1))
                self._run(self.environment.start_twin(n, raw))
            elif self._twinned[n] is t:
                del self._twinned[n]
                self.environment.stop_twin(n)

    def _deaf_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._unheard(self.environment.paths.not_receiving, targets, on)

    def _dumb_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._unheard(self.environment.paths.not_sending, targets, on)

    def _unheard(self, struck: set[Machine], targets: list[int], on: bool) -> None:
        machines = {self._client_machines[n] for n in targets}
        struck.update(machines) if on else struck.difference_update(machines)
        if not on:
            self.environment.release_held()

    def _clock_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            self._ahead[n] = t.strength * 1000 if on else 0.0

    # Their disks.

    def _disk_torn(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets if on else ():
            text = self.environment.disk(n).copy()
            if text is not None:
                self.environment.disk(n).put(text[: int(t.strength * len(text))])

    def _disk_lost(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets if on else ():
            self.environment.disk(n).lose_power()

    def _disk_other(self, t: Trouble, targets: list[int], on: bool) -> None:
        copies = {n: self.environment.disk((n + 1) % self.world.agents).copy() for n in targets} if on else {}
        for n, text in copies.items():
            self.environment.disk(n).put(text)

    def _disk_older(self, t: Trouble, targets: list[int], on: bool) -> None:
        copies = self._copies.pop(self.world.troubles.index(t), {}) if on else {}
        for n, text in copies.items():
            self.environment.disk(n).put(text)

    def _keep_disks(self, number: int, targets: list[int]) -> None:
        self._copies[number] = {n: self.environment.disk(n).copy() for n in targets}

    def _disk_stuck(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            self.environment.disk(n).stuck = on

    def _disk_hangs(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets if on else ():
            self.environment.disk(n).hang(t.length)

    def _drift_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            self._drift[n] = t.strength if on else 0.0

    def _restart_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._down_and_up(targets, on, "stopping", self.environment.stop_agent)

    def _kill_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._down_and_up(targets, on, "killed", self.environment.kill_agent)

    def _down_and_up(self, targets: list[int], on: bool, how: str, act: Callable[[int], None]) -> None:
        for n in targets:
            killed = how == "killed"
            if on and (n in self.up or (killed and n in self._stopping)):
                self.environment.ledger.add_record(
                    record_kinds.AGENT, self.environment.now(), n, self.agents[n], how
                )
                self.up.discard(n)
                self._again.discard(n)
                (self._stopping.discard if killed else self._stopping.add)(n)
                act(n)
            elif not on:
                self._revive(n)

    def _revive(self, n: int) -> None:
        """Start it, once the process before has ended. Guards against two that one machine would have at one address."""
        if n in self._stopping:
            self._again.add(n)
        elif n not in self.up and n not in self._begins:
            self._begins.add(n)
            self._run(self._start_agent(n))

    def _run(self, start: Coroutine[Any, Any, None]) -> None:
        task = self.environment.loop.create_task(start)
        self._starting[task] = None
        task.add_done_callback(lambda done: self._starting.pop(done, None))

    def _busy_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        if not on:
            return
        until = self.environment.now() + t.length

        def again() -> None:
            if self.environment.now() < until:
                for n in targets:
                    if n in self.up:
                        self.environment.pause_agent(n, t.strength)
                self.environment.loop.call_later(BUSY_EVERY / 1000, again)

        again()
