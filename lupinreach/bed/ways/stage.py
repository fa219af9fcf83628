"""Plays a world in an environment: builds the fleet, sends the clients' requests, causes the troubles."""

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
from lupinreach.config import FLEET_HEARTBEAT_MS, FLEET_QUERY_TIMEOUT_MS, Address
from lupinreach.model import DedupScope, Idempotency

AGENT_START_TIMEOUT_S = 5.0  # until an agent listens
SETTLE_TIMEOUTS = 1.5  # run time after the last arrival, in multiples of the longest client timeout
STEAL_CYCLE_MS = 2000.0  # one on and off phase of CPU theft (`thief`)
BUSY_INTERVAL_MS = 1000.0  # between two times that `busy-agents` blocks an event loop
UNUSED_PORT = 1  # a port without a listener
RESTART_DELAY_S = 0.05  # from the end of a drained backend's process to its restart


def format_address(address: Address) -> str:
    """The address as `host:port`."""
    return f"{address[0]}:{address[1]}"


@dataclass
class Fleet:
    """The backends drawn for a run, with the kind of each."""

    backends: list[Backend]
    kinds: list[str]


def draw_fleet(world: World, seed: int) -> Fleet:
    """Draws the backends of a run; their true speeds and times come from the seed."""
    rng, rules = random_stream(seed, "fleet"), world.rules
    groups = {p.group for p in world.products if p.kind is Idempotency.DEDUPLICATED}
    dedup_memories: dict[Any, GroupMemory] = {}
    fleet = Fleet([], [])
    for kind in world.backends:
        for i in range(kind.count):
            number = len(fleet.backends)
            zones = kind.zones or tuple(range(len(world.zones)))
            zone = zones[i % len(zones)]
            cell = number // world.backend.cell_size
            memory_scope = (
                "all" if DedupScope.ALL in groups else zone if DedupScope.ZONE in groups else ("cell", cell)
            )
            speed, idle, report = (float(rng.random()) for _ in range(3))
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
                    dedup_memories.setdefault(memory_scope, GroupMemory()),
                )
            )
            fleet.kinds.append(kind.name)
    return fleet


class Stage:
    """Plays one run: holds the fleet, starts and stops agents, and causes troubles.

    Each kind of trouble has a handler method of its name, with `_` for `-`; the other kinds change the traffic only.
    """

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
        self._rng = random_stream(seed, "stage")
        fleet = draw_fleet(world, seed)
        self.registry = Registry()
        self.incarnations = [0] * world.agents  # by agent, counted from 1
        self.up: set[int] = set()
        self._starting_agents: set[int] = set()  # agents that are being started
        self._stopping: set[int] = set()  # agents that were asked to stop and have not ended
        # By agent with a second process: the trouble it belongs to.
        self._twin_troubles: dict[int, Trouble] = {}
        self._restart_after_stop: set[int] = set()  # agents to start once they have stopped
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
            self.incarnations.__getitem__,
            self.machine,
            world.registry,
        )
        self.hosts: list[BackendHost] = []
        self.entries: list[Entry] = []
        for b, kind in zip(fleet.backends, fleet.kinds, strict=True):
            self._add_host(b, kind)
        self._start_tasks: dict[asyncio.Task[None], None] = {}  # removed when the agent is up
        self._agent_by_call: list[int] = []  # by call number
        # Registry contents by trouble that restores them.
        self._saved_lists: dict[int, dict[str, tuple[int, Entry]]] = {}
        # Disk contents by trouble that restores them.
        self._saved_disks: dict[int, dict[int, bytes | None]] = {}
        # Troubles that cut each pair; bounded by the world's pairs.
        self._cut_pair_counts: Counter[tuple[str, str]] = Counter()
        self._missed_changes: dict[str, int] = {}  # uids of backends that changed while the registry was down
        self._clock_ahead_ms = [0.0] * world.agents  # clock error of an agent that starts
        self._clock_drift = [0.0] * world.agents  # ms gained per ms

    def machine(self, agent: int) -> Machine:
        """The machine that an agent and its clients run on."""
        return self._client_machines[agent]

    def client_machine_of(self, request_id: bytes) -> Machine | None:
        """The machine of the agent that an attempt with this request id goes through; None if unknown."""
        attempt = self._find_attempt(request_id.decode("latin-1"))
        return self._client_machines[attempt[0]] if attempt else None

    def _add_host(self, b: Backend, kind: str, suffix: str = "") -> BackendHost:
        machine = Machine(f"backend {b.number}", b.zone)
        host = BackendHost(
            self.environment,
            self.world,
            b,
            machine,
            random_stream(self._seed, "backend", b.number),
            self._find_attempt,
            self._on_overload_crash,
        )
        self.hosts.append(host)
        self.entries.append(
            Entry(
                f"b-{b.number:04x}{suffix}",
                b.number,
                format_address(self.environment.addresses.backend(b.number)),
                self.world.zones[b.zone],
                kind,
                b.cell,
                float(b.cores),
            )
        )
        return host

    def _find_attempt(self, request_id: str) -> tuple[int, int, int] | None:
        """The agent of a client's attempt, its incarnation, and the product; None for an unknown request id."""
        call, _, _ = request_id.partition(".")
        try:
            agent = self._agent_by_call[int(call, 16)]
        except (ValueError, IndexError):
            return None
        return self.clients[agent].open_requests.get(request_id)

    # The course of a run.

    async def play(self) -> None:
        """Plays the whole run and records it in the ledger."""
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
        self._agent_by_call = [a.agent for a in calls]
        begin = environment.now()
        loop = environment.loop
        self._schedule_troubles()
        loop.call_later(LOAD_SAMPLE_INTERVAL_MS / 1000, self._record_load)
        for number, arrival in enumerate(calls):
            wait = begin + arrival.at - environment.now()
            if wait > 0:
                await asyncio.sleep(wait / 1000)
            self.clients[arrival.agent].send_request(number, arrival)
            if self._progress and number % 64 == 0:
                self._progress(arrival.at)
        longest = max(p.timeout for p in world.products)
        await asyncio.sleep(
            max(0.0, begin + world.length - environment.now()) / 1000 + SETTLE_TIMEOUTS * longest / 1000
        )

    async def _serve(self, host: BackendHost) -> None:
        address = self.environment.addresses.backend(host.backend.number)
        await self.environment.serve(address, host.machine, lambda: BackendConnection(host))

    async def _start_agent(self, n: int) -> None:
        self.incarnations[n] += 1
        incarnation = self.incarnations[n]
        self.clients[n].incarnation = incarnation
        known = self.registry.listed_entries()
        raw = self._adapt_agent_config(n, self._agent_config(n, incarnation))
        self.registry_host.record_listing(n, self.registry.version, known, True)
        self.environment.ledger.add_record(
            record_kinds.AGENT, self.environment.now(), n, incarnation, "started"
        )
        async with asyncio.timeout(AGENT_START_TIMEOUT_S):
            await self.environment.start_agent(
                n,
                incarnation,
                raw,
                lambda: self._on_agent_ended(n, incarnation),
                self._clock_ahead_ms[n],
                self._clock_drift[n],
            )
        self.up.add(n)
        self._starting_agents.discard(n)

    def _agent_config(self, n: int, incarnation: int) -> dict[str, Any]:
        """The configuration of an agent that starts."""
        known, at = self.registry.listed_entries(), self.environment.addresses
        raw = {
            "name": f"agent-{n}",
            "listen": format_address(at.agent(n)),
            "discovery": format_address(at.registry(n)),
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
                "peer_listen": format_address(at.peer(n)),
                "peers_all": format_address(at.everybody()),
                "peers": [format_address(at.peer(i)) for i in range(self.world.agents)],
            }
        if self.world.store:
            raw["store"] = {"file": self.environment.carried(n)} | ({"ran": True} if self.world.ran else {})
        if self.world.in_touch:
            raw["fleet"] = {
                "beat_ms": FLEET_HEARTBEAT_MS,
                "ask_ms": FLEET_QUERY_TIMEOUT_MS,
                "share_ms": self.world.share,
            }
        if self.world.carry:
            raw["carry"] = {"file": self.environment.carried(n), "most_age_s": self.world.carry}
        return raw

    def _adapt_agent_config(self, n: int, raw: dict[str, Any]) -> dict[str, Any]:
        """Hook for stages with relays between an agent and its peers: adapts the addresses in its configuration."""
        return raw

    def _on_agent_ended(self, n: int, incarnation: int) -> None:
        self.environment.ledger.add_record(
            record_kinds.AGENT, self.environment.now(), n, incarnation, "ended"
        )
        self._stopping.discard(n)
        if n in self._restart_after_stop:
            self._restart_after_stop.discard(n)
            self._start_once_stopped(n)

    def _record_load(self) -> None:
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
        self.environment.loop.call_later(LOAD_SAMPLE_INTERVAL_MS / 1000, self._record_load)

    # Troubles.

    def _schedule_troubles(self) -> None:
        """Schedules all troubles of the world, counted from now."""
        loop = self.environment.loop
        for number, trouble in enumerate(self.world.troubles):
            targets = self._choose_targets(number, trouble)
            if trouble.kind == "registry-older":
                loop.call_later(max(0.0, trouble.at / 1000 - trouble.strength), self._save_list, number)
            if trouble.kind == "disk-older":
                loop.call_later(
                    max(0.0, trouble.at / 1000 - trouble.strength), self._save_disks, number, targets
                )
            loop.call_later(trouble.at / 1000, self._begin_trouble, number, trouble, targets)

    def _choose_targets(self, number: int, trouble: Trouble) -> list[int]:
        """The targets of a trouble: those that the world names, else drawn at random."""
        if trouble.targets:
            return list(trouble.targets)
        pool = {"backends": len(self.hosts), "agents": self.world.agents, "zones": len(self.world.zones)}
        total = pool.get(trouble.target_kind, 0)
        if not total:
            return []
        wanted = max(1, round(trouble.share * total)) if trouble.target_kind != "zones" else 1
        rng = random_stream(self._seed, "trouble", number)
        return sorted(int(n) for n in rng.permutation(total)[:wanted])

    def _begin_trouble(self, number: int, trouble: Trouble, targets: list[int]) -> None:
        self.environment.ledger.add_record(
            record_kinds.TROUBLE, self.environment.now(), number, trouble.kind, "begins", targets
        )
        self._apply_trouble(trouble, targets, True)
        self.environment.loop.call_later(trouble.length / 1000, self._end_trouble, number, trouble, targets)

    def _end_trouble(self, number: int, trouble: Trouble, targets: list[int]) -> None:
        self.environment.ledger.add_record(
            record_kinds.TROUBLE, self.environment.now(), number, trouble.kind, "ends", targets
        )
        self._apply_trouble(trouble, targets, False)

    def _apply_trouble(self, trouble: Trouble, targets: list[int], on: bool) -> None:
        handler = getattr(self, "_" + trouble.kind.replace("-", "_"), None)
        if handler is not None:
            handler(trouble, targets, on)
            self.registry_host.release_held()

    def _change_backends(self, targets: list[int], change: Callable[[BackendHost], None]) -> None:
        for n in targets:
            host = self.hosts[n]
            host.step()
            change(host)
            host.step()

    def _slow(self, t: Trouble, targets: list[int], on: bool) -> None:
        def change(host: BackendHost) -> None:
            host.backend.slower *= t.strength if on else 1 / t.strength

        self._change_backends(targets, change)

    def _set_attribute(self, targets: list[int], name: str, value: float, machine: bool = False) -> None:
        self._change_backends(
            targets, lambda host: setattr(host.machine if machine else host.backend, name, value)
        )

    def _silent(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set_attribute(targets, "silent", t.strength if on else 0.0)

    def _fail(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set_attribute(targets, "fails", t.strength if on else 0.0)

    def _stall(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set_attribute(targets, "stalls", t.strength if on else 0.0)

    def _late_reports(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set_attribute(targets, "report_age", t.strength if on else 1.0)

    def _reset(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set_attribute(targets, "resets", t.strength if on else 0.0, machine=True)

    def _break(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set_attribute(targets, "breaks", t.strength if on else 0.0, machine=True)

    def _latency(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set_attribute(targets, "slower", t.strength if on else 0.0, machine=True)

    def _narrow(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set_attribute(targets, "narrow", t.strength if on else 0.0, machine=True)

    def _apart(self, t: Trouble, targets: list[int], on: bool, both: bool = True) -> None:
        number, total = self.world.troubles.index(t), self.world.agents
        chosen_agents = random_stream(self._seed, "apart", number).permutation(total)[
            : round(t.strength * total)
        ]
        pairs = [
            (self.hosts[b].machine.name, self._client_machines[int(n)].name)
            for b in targets
            for n in chosen_agents
        ]
        pairs += [(agent, backend) for backend, agent in pairs] if both else []
        for pair in pairs:
            # Counted, so that of two troubles cutting the same pair the first to end doesn't restore the path.
            self._cut_pair_counts[pair] += 1 if on else -1
        self.environment.paths.blocked_pairs = {
            pair for pair, times in self._cut_pair_counts.items() if times
        }
        if not on:
            self.environment.release_held()

    def _apart_one_way(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._apart(t, targets, on, both=False)

    def _thief(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._set_attribute(targets, "stolen", t.strength if on else 0.0)
        if on:
            until = self.environment.now() + t.length

            def toggle(now_on: bool) -> None:
                if self.environment.now() < until - 1:
                    self._set_attribute(targets, "stolen", t.strength if now_on else 0.0)
                    self.environment.loop.call_later(STEAL_CYCLE_MS / 2000, toggle, not now_on)

            self.environment.loop.call_later(STEAL_CYCLE_MS / 2000, toggle, False)

    def _vanish(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            host = self.hosts[n]
            host.machine.vanished = on
            if not on:
                host.reset()  # open connections are reset when the machine is back
            else:
                self._call_after_lag(
                    self.world.registry.silent_lag, self._remove_lost_backend, n, host.backend.incarnation
                )
        if not on:
            self.environment.release_held()
            for n in targets:
                self._announce_after_lag(n, state="Ready")

    def _remove_lost_backend(self, n: int, incarnation: int) -> None:
        host = self.hosts[n]
        if host.backend.incarnation == incarnation and (host.machine.vanished or not host.backend.up):
            self._update_registry(n, state="Gone")

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

    # Backends that stop and return.

    def _call_after_lag(self, lag: Any, action: Callable[..., None], *args: Any) -> None:
        self.environment.loop.call_later(lag.at(float(self._rng.random())) / 1000, action, *args)

    def _announce_after_lag(self, n: int, **changed: Any) -> None:
        """Reports a change of a backend to the registry after the registry's lag."""
        self._call_after_lag(self.world.registry.lag, lambda: self._update_registry(n, **changed))

    def _update_registry(self, n: int, **changed: Any) -> None:
        entry = self.entries[n] = replace(self.entries[n], **changed)
        if not self.registry.up:
            self._missed_changes.setdefault(entry.uid, n)  # a registry that is down receives no changes
            return
        self.registry.set(entry)
        self.registry_host.changed()

    def _replay_missed_changes(self) -> None:
        """Reports the changes that a returning registry missed, after its lag as with any change."""
        missed, self._missed_changes = self._missed_changes, {}
        for uid, n in missed.items():
            # If a backend was replaced meanwhile, all but its last uid are reported as gone.
            changed_state = {"state": "Gone"} if self.entries[n].uid != uid else {}
            self._call_after_lag(self.world.registry.lag, self._update_missed, uid, n, changed_state)

    def _update_missed(self, uid: str, n: int, changed_state: dict[str, str]) -> None:
        entry = replace(self.entries[n], uid=uid, **changed_state)  # type: ignore[arg-type]
        if self.registry.up:
            self.registry.set(entry)
            self.registry_host.changed()
        else:
            self._missed_changes.setdefault(uid, n)

    def _stop_backend(self, n: int) -> None:
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

    def _restart_backend(self, n: int) -> None:
        self.hosts[n].boot(cold=True)
        self._announce_after_lag(n, state="Ready", boot=int(self.environment.now()))

    def _on_overload_crash(self, host: BackendHost) -> None:
        """A backend crashed from overload while cold; it stays down."""
        host.backend.up = False
        self.environment.loop.call_soon(self._stop_backend, host.backend.number)
        self._call_after_lag(
            self.world.registry.silent_lag,
            self._remove_lost_backend,
            host.backend.number,
            host.backend.incarnation,
        )

    def _crash(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            if on and self.hosts[n].backend.up:
                self._stop_backend(n)
                self._call_after_lag(
                    self.world.registry.silent_lag,
                    self._remove_lost_backend,
                    n,
                    self.hosts[n].backend.incarnation,
                )
            elif not on and not self.hosts[n].backend.crashed:
                self._restart_backend(n)

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
                self._announce_after_lag(n, state="Terminating")
            else:
                self._stop_backend(n)
                self._update_registry(n, state="Gone")
                self.environment.loop.call_later(RESTART_DELAY_S, self._restart_backend, n)

    def _replace(self, t: Trouble, targets: list[int], on: bool) -> None:
        """Replaces backends as a deployment does: each drains, then a machine with a new uid takes its place."""
        for n in targets:
            if on:
                self._drain(t, [n], True)
                continue
            self._stop_backend(n)
            self._update_registry(n, state="Gone")
            old = self.entries[n]
            self.entries[n] = replace(old, uid=f"{old.uid}-{self.hosts[n].backend.incarnation}")
            self.environment.loop.call_later(RESTART_DELAY_S, self._restart_backend, n)

    # The registry and the agents.

    def _registry_down(self, t: Trouble, targets: list[int], on: bool) -> None:
        if on:
            self.registry_host.down()
        else:
            self.registry.up = True
            self._replay_missed_changes()
        self.environment.set_refusing(self._registry_machine, on)

    def _registry_back(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._registry_down(t, targets, on)
        if not on:
            self.registry.restart(self.world.registry.restart_version)

    def _save_list(self, number: int) -> None:
        self._saved_lists[number] = self.registry.snapshot()

    def _registry_older(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._registry_down(t, targets, on)
        if not on:
            self.registry.restore(self._saved_lists.pop(self.world.troubles.index(t)))

    def _sleep_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            if on and n in self.up:
                self.environment.pause_agent(n, t.length)

    def _twin_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            if on is (n in self._twin_troubles):
                continue  # at most one second process per agent, whatever targets are drawn
            if on:
                self._twin_troubles[n] = t
                # At an unused address and without a registry: the disk is all that it can affect.
                where = self.environment.addresses.twin(n)
                raw = self._adapt_agent_config(n, self._agent_config(n, 0)) | {
                    "listen": format_address(where),
                    "discovery": format_address((where[0], UNUSED_PORT)),
                }
                if "peer_listen" in raw:
                    raw["peer_listen"] = format_address((where[0], where[1] + 1))
                self._spawn(self.environment.start_twin(n, raw))
            elif self._twin_troubles[n] is t:
                del self._twin_troubles[n]
                self.environment.stop_twin(n)

    def _deaf_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._isolate_agents(self.environment.paths.not_receiving, targets, on)

    def _dumb_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._isolate_agents(self.environment.paths.not_sending, targets, on)

    def _isolate_agents(self, struck: set[Machine], targets: list[int], on: bool) -> None:
        machines = {self._client_machines[n] for n in targets}
        struck.update(machines) if on else struck.difference_update(machines)
        if not on:
            self.environment.release_held()

    def _clock_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            self._clock_ahead_ms[n] = t.strength * 1000 if on else 0.0

    # The agents' disks.

    def _disk_torn(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets if on else ():
            data = self.environment.disk(n).copy()
            if data is not None:
                self.environment.disk(n).put(data[: int(t.strength * len(data))])

    def _disk_lost(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets if on else ():
            self.environment.disk(n).lose_power()

    def _disk_other(self, t: Trouble, targets: list[int], on: bool) -> None:
        copies = {n: self.environment.disk((n + 1) % self.world.agents).copy() for n in targets} if on else {}
        for n, data in copies.items():
            self.environment.disk(n).put(data)

    def _disk_older(self, t: Trouble, targets: list[int], on: bool) -> None:
        copies = self._saved_disks.pop(self.world.troubles.index(t), {}) if on else {}
        for n, data in copies.items():
            self.environment.disk(n).put(data)

    def _save_disks(self, number: int, targets: list[int]) -> None:
        self._saved_disks[number] = {n: self.environment.disk(n).copy() for n in targets}

    def _disk_stuck(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            self.environment.disk(n).writes_fail = on

    def _disk_hangs(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets if on else ():
            self.environment.disk(n).hang(t.length)

    def _drift_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        for n in targets:
            self._clock_drift[n] = t.strength if on else 0.0

    def _restart_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._stop_and_restart(targets, on, "stopping", self.environment.stop_agent)

    def _kill_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        self._stop_and_restart(targets, on, "killed", self.environment.kill_agent)

    def _stop_and_restart(self, targets: list[int], on: bool, how: str, act: Callable[[int], None]) -> None:
        for n in targets:
            killed = how == "killed"
            if on and (n in self.up or (killed and n in self._stopping)):
                self.environment.ledger.add_record(
                    record_kinds.AGENT, self.environment.now(), n, self.incarnations[n], how
                )
                self.up.discard(n)
                self._restart_after_stop.discard(n)
                (self._stopping.discard if killed else self._stopping.add)(n)
                act(n)
            elif not on:
                self._start_once_stopped(n)

    def _start_once_stopped(self, n: int) -> None:
        """Starts an agent, once its previous process has ended: two processes can't share one address."""
        if n in self._stopping:
            self._restart_after_stop.add(n)
        elif n not in self.up and n not in self._starting_agents:
            self._starting_agents.add(n)
            self._spawn(self._start_agent(n))

    def _spawn(self, start: Coroutine[Any, Any, None]) -> None:
        task = self.environment.loop.create_task(start)
        self._start_tasks[task] = None
        task.add_done_callback(lambda done: self._start_tasks.pop(done, None))

    def _busy_agents(self, t: Trouble, targets: list[int], on: bool) -> None:
        if not on:
            return
        until = self.environment.now() + t.length

        def again() -> None:
            if self.environment.now() < until:
                for n in targets:
                    if n in self.up:
                        self.environment.pause_agent(n, t.strength)
                self.environment.loop.call_later(BUSY_INTERVAL_MS / 1000, again)

        again()
