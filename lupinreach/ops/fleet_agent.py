"""An agent's startup and its membership in the fleet, over sockets.

It carries out what the pure modules of `fleet` decide.

It changes the rest of the agent only through hooks that do nothing without it: which backend list is trusted,
which backends are treated as draining, and what `/health/ready` reports.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Iterable
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING
from zlib import crc32

from lupinreach.balance import EJECTION_SLOS
from lupinreach.config import FleetConfig
from lupinreach.fleet import wire
from lupinreach.fleet.incarnation import Incarnation, OwnIncarnation
from lupinreach.fleet.membership import NEVER_HEARD, Members, SelfStatus
from lupinreach.fleet.recovery import (
    QUERIED_PEERS,
    RESET_AFTER,
    DrainSet,
    PeerQuery,
    RevisionFloor,
    Stage,
    StageLimits,
    StartupFacts,
    StartupSequence,
)
from lupinreach.fleet.wire import Drain, Message
from lupinreach.model import Listing, ListState, UpdateKind
from lupinreach.net.agent import Agent
from lupinreach.store import trust
from lupinreach.store.records import FileContents
from lupinreach.store.store import Store

if TYPE_CHECKING:
    from lupinreach.ops.sharing import Sharing

READ_LIMIT_MS = 1000.0  # the store is read before anything else, at once or not at all
HEARTBEAT_JITTER = 0.2  # of a heartbeat interval, so that agents that started together don't send together
# Heartbeats between two queries to peers that haven't answered, while their answers still count.
QUERY_INTERVAL_HEARTBEATS = 2
WITNESSES = 3  # agents that store the heartbeats of one agent, and that it queries among others
# Of a heartbeat interval: longest delay from the sync of a payment's id to the heartbeat for its witnesses.
MARK_DELAY_HEARTBEATS = 1 / 8
QUERY_DELAY_SPREAD = 0.5  # x the query time: agents that start together spread their queries over it


class FleetAgent:
    """One agent as a member of the fleet, from start to end.

    Its tables are bounded by agents, backends and drains.
    """

    def __init__(
        self,
        agent: Agent,
        store: Store,
        contents: FileContents,
        config: FleetConfig,
        token: int | None = None,
        on_peers_asked: Callable[[bool], None] = lambda _: None,
    ) -> None:
        """`token` distinguishes two incarnations with one number; random unless given.

        `on_peers_asked` is called after the query, with whether peers know a later state of this agent than
        the disk.
        """
        settings = agent.config.settings
        self._agent = agent
        self._store = store
        self._config = config
        self._me = settings.me
        self._seed = agent.config.seed
        self._draws = 0
        now = agent.clock.now()
        stored = trust.restorable(contents.state)
        self._token = token if token is not None else int.from_bytes(os.urandom(4), "big")
        stored_number = _valid_integer(stored.get("life"))
        self.own = OwnIncarnation(
            stored_number, self._token, _valid_heartbeat(stored.get("beat"), stored_number)
        )
        self.members = Members(self._me, settings.agents, config.beat, self._draw)
        self.floor = RevisionFloor(_valid_integer(stored.get("floor")), settings.rules.ask_within)
        self.drains = DrainSet(_drains(stored))
        self.startup = StartupSequence(
            now,
            StageLimits(
                READ_LIMIT_MS,
                config.ask * (1 + QUERY_DELAY_SPREAD),
                EJECTION_SLOS * max(p.slo for p in settings.products),
                settings.rules.cold,
            ),
        )
        self._cold = settings.rules.cold
        # By index, as the registry last reported; entries end with a removal.
        self._listed: dict[int, Listing] = {}
        self._withheld_indices: set[int] = set()  # ready in the list, but draining for the balancer
        self._registry_heard = False
        # Guards against a stored list that has draining backends as ready, with a disk that remembers no
        # drain: an older copy looks like a valid one. Until peers were asked, the balancer gets lists of the
        # registry itself only.
        self._cached_withheld = True
        self._on_peers_asked = on_peers_asked
        # Newest state of the `WITNESSES` agents before this one.
        self._witnessed = dict(_witnessed(stored.get("seen"), settings.agents))
        self._query: PeerQuery | None = None
        self._sync_task: asyncio.Task[None] | None = None  # the last write
        self._mark_task: asyncio.Task[None] | None = None  # the last extra heartbeat after a payment
        self._query_done = False
        self._claims_expire_at = inf  # ms: from then on the registry overrules the claims of peers
        self.sharing: Sharing | None = None
        if config.share:
            from lupinreach.ops.sharing import Sharing  # loaded only by agents that share

            self.sharing = Sharing(
                agent,
                config,
                self.members,
                lambda: (self.own.incarnation.number, self.own.superseded),
                lambda peer, kind, more: self._send(peer, self._message(kind, **more)),
                self._draw,
            )
            agent.tasks.spawn("sharing", self.sharing.run())
        store.put("life", self.own.incarnation.number)
        self._store_heartbeat()
        agent.fleet_datagram_handler, agent.revise_listings, agent.fleet_report = (
            self.on_datagram,
            self.apply_list,
            self.metrics,
        )
        agent.directory.is_stale_version = self.is_older_list
        agent.readiness.returning = not self.startup.ready

    def _draw(self) -> float:
        """The next pseudo-random number from 0 to 1."""
        self._draws += 1
        return crc32(b"fleet:%d:%d" % (self._seed, self._draws)) * 2654435761 % 2**32 / 2**32

    # Backend lists.

    def is_older_list(self, version: int) -> bool:
        """Whether a registry that reports this version is older than the floor."""
        before = self.floor.revision
        older = self.floor.is_older(self._agent.clock.now(), version)
        if older:
            self._agent.counters.others["fleet: older lists"] += 1
        elif self.floor.revision < before:
            self._agent.log.event("registry reset", floor=before, revision=version)
        self._registry_heard = self._registry_heard or not older
        return older

    def apply_list(self, update: UpdateKind, entries: list[Listing], older: bool) -> list[Listing]:
        """A list as the balancer is to get it: an older one doesn't make a draining backend ready."""
        if update is UpdateKind.CACHED:
            self.floor.raise_to(self._agent.directory.version)
        from_registry = update is not UpdateKind.CACHED and not older
        named = {e.backend for e in entries}
        if update is UpdateKind.FULL:
            for removed in [e for e in self._listed.values() if e.backend not in named]:
                del self._listed[removed.backend]
                self._lift(removed)
        for e in entries:
            if e.state is ListState.REMOVED:
                self._listed.pop(e.backend, None)
            else:
                self._listed[e.backend] = e
            if e.state is ListState.DRAINING:
                drain = _drain(e)
                if self.drains.add(drain):
                    self._store.put(f"drain/{drain.backend}", drain.boot)
                    # Guards against a power loss before the next heartbeat: other agents may know it only
                    # from their disks.
                    self._start_sync()
            elif from_registry:
                self._lift(e)
        if from_registry:
            self._store.put("floor", self.floor.revision)
        before, self._withheld_indices = self._withheld_indices, self._withheld_set()
        if update is UpdateKind.CACHED and self._cached_withheld:
            return []
        self._cached_withheld = False
        # Peers' claims may withhold a share of the ready backends, so a list can change the state of backends
        # it doesn't name.
        also = [
            self._listed[i]
            for i in sorted(self._withheld_indices ^ before)
            if i in self._listed and i not in named
        ]
        return self._with_withheld([*entries, *also])

    def _with_withheld(self, entries: Iterable[Listing]) -> list[Listing]:
        """The entries with withheld backends as draining."""
        return [
            replace(e, state=ListState.DRAINING)
            if e.backend in self._withheld_indices and e.state is ListState.READY
            else e
            for e in entries
        ]

    def _lift(self, e: Listing) -> None:
        if self.drains.lift(e.name, int(e.boot_time)):
            self._store.put(f"drain/{e.name}", None)

    def _withheld_set(self) -> set[int]:
        ready = {_drain(e): e.backend for e in self._listed.values() if e.state is ListState.READY}
        names = self.drains.withheld(ready)
        return {index for drain, index in ready.items() if drain.backend in names}

    def _apply_withheld(self) -> None:
        """Gives the balancer what has changed by peers' claims."""
        held, before = self._withheld_set(), self._withheld_indices
        self._withheld_indices = held
        if self._cached_withheld:
            self._cached_withheld = False
            self._agent.balancer.update_backends(
                self._agent.clock.now(), UpdateKind.CACHED, self._with_withheld(self._listed.values())
            )
            self._agent.readiness.listed = self._agent.readiness.listed or bool(self._listed)
            return
        changed = [
            replace(self._listed[i], state=ListState.DRAINING if i in held else ListState.READY)
            for i in sorted(held ^ before)
            if i in self._listed and self._listed[i].state is ListState.READY
        ]
        if changed:
            self._agent.counters.others["fleet: held by others' word"] += sum(
                e.state is ListState.DRAINING for e in changed
            )
            self._agent.balancer.update_backends(self._agent.clock.now(), UpdateKind.CHANGES, changed)

    # Datagrams.

    def on_datagram(self, sender: int, data: bytes) -> None:
        """Handles a datagram that came from the address of peer `sender`."""
        counters, now = self._agent.counters.others, self._agent.clock.now()
        try:
            m = wire.decode(data)
        except wire.Malformed:
            counters["fleet: malformed"] += 1
            return
        if m.sender != sender or sender == self._me:
            # Guards against a datagram under another agent's number.
            counters["fleet: from a wrong address"] += 1
            return
        known = self._latest_known(sender)  # before this datagram, which is of the sender's new incarnation
        self.members.receive(now, sender, m.incarnation, m.heartbeat, m.members)
        if m.remembers:
            self.floor.add_claim(sender, m.revision)
        own_claims = [(e.incarnation, e.heartbeat) for e in m.members if e.agent == self._me]
        if m.kind == wire.REPLY and m.known.number:
            own_claims.append((m.known, m.known_heartbeat))
        for incarnation, heartbeat in own_claims:
            if self.own.observe(sender, incarnation, heartbeat):
                self._store.put("life", self.own.incarnation.number)
                self._store_heartbeat()
        if (
            self.sharing is not None
            and m.kind in (wire.UPDATE, wire.BORROW, wire.GRANT)
            and not self.own.superseded
        ):
            self.sharing.on_message(m)
        elif m.kind == wire.QUERY and not self.own.superseded:
            self._send_reply(m, known)
        elif m.kind == wire.HEARTBEAT and not m.members and sender in self._witnesses(-1):
            self._record_witnessed()
            self._start_sync()
        elif m.kind == wire.REPLY and self._query is not None and self._query.add_answer(m):
            self.drains.add_claims(sender, m.drains)
            if self._query_done:
                self._apply_withheld()

    def _message(self, kind: int, **more: object) -> Message:
        return Message(
            kind,
            self._me,
            self.own.incarnation,
            self.members.heartbeat,
            self.floor.revision > 0,
            self.floor.revision,
            **more,
        )  # type: ignore[arg-type]

    def _send(self, peer: int, message: Message) -> None:
        self._agent.peers.send(peer, wire.encode(message))

    def _send_reply(self, m: Message, known: tuple[Incarnation, int]) -> None:
        drains = self.drains.all()[: wire.MAX_DRAINS * wire.MAX_PARTS]
        parts = [tuple(drains[i : i + wire.MAX_DRAINS]) for i in range(0, len(drains), wire.MAX_DRAINS)] or [
            ()
        ]
        for i, part in enumerate(parts):
            self._send(
                m.sender,
                self._message(
                    wire.REPLY,
                    nonce=m.nonce,
                    part=i,
                    parts=len(parts),
                    alive=self.members.alive_count(self._agent.clock.now()),
                    known=known[0],
                    known_heartbeat=known[1],
                    drains=part,
                ),
            )

    def metrics(self) -> dict[str, object]:
        """The `fleet` object of the reported metrics."""
        now = self._agent.clock.now()
        return {
            "stage": self.startup.stage.name.lower(),
            "life": self.own.incarnation.number,
            "superseded": self.own.superseded,
            "own": self.members.self_status(now).value,
            "standing": self.members.alive_count(now),
            "agents": {
                str(n): [incarnation.number, status.value]
                for n, incarnation, status in self.members.statuses(now)
            },
            "floor": self.floor.revision,
            "list": self._agent.directory.version,
            "drains": [d.backend for d in self.drains.all()],
            "held": len(self._withheld_indices),
            "store": self._store.writable,
            **({"shared": self.sharing.metrics()} if self.sharing else {}),
        }

    # Startup and heartbeats.

    async def run(self) -> None:
        """Runs the startup query, then sends heartbeats for as long as the process runs."""
        log, clock = self._agent.log, self._agent.clock
        # Guards against a datagram under a number that a power loss would undo, and against a disk that
        # hangs: the write continues in the background, since a cancelled one would lose what it was to write.
        if not (await asyncio.wait({self._start_sync()}, timeout=self._config.ask / 1000))[0]:
            self._agent.counters.others["fleet: life not synced in time"] += 1
        await asyncio.sleep(QUERY_DELAY_SPREAD * self._config.ask * self._draw() / 1000)
        self._query = PeerQuery(clock.now(), self._query_targets(), self._token, self._config.ask)
        self._advance_startup()
        self._send_query()
        while not self._query.is_over(clock.now()):
            await asyncio.sleep(self._config.ask / 20000)
        self._finish_query()
        log.event(
            "asked",
            peers=len(self._query.peers),
            answered=len(self._query.answers),
            life=[self.own.incarnation.number, self.own.incarnation.token],
            floor=self.floor.revision,
            standing=self._query.alive(),
            held=len(self._withheld_indices),
        )
        reported = SelfStatus.HEALTHY, False
        while True:
            await asyncio.sleep(self._config.beat * (1 + HEARTBEAT_JITTER * (self._draw() - 0.5)) / 1000)
            now = clock.now()
            self.members.tick(now)
            self._store_heartbeat()
            self._record_witnessed()
            if (
                not self.own.superseded
                and now < self._claims_expire_at
                and self.members.heartbeat % QUERY_INTERVAL_HEARTBEATS == 0
            ):
                # Guards against a partition during the query: drains may be known on its other side.
                self._send_query()
            self._advance_startup()
            if (self.members.self_status(now), self.own.superseded) != reported:
                reported = self.members.self_status(now), self.own.superseded
                log.event(
                    "fleet",
                    own=reported[0].value,
                    superseded=reported[1],
                    standing=self.members.alive_count(now),
                )
            if not self.own.superseded:
                for peer in self.members.draw_targets():
                    self._send(peer, self._message(wire.HEARTBEAT, members=self.members.digest(now)))
            self._start_sync()

    def _start_sync(self) -> asyncio.Task[None]:
        """Starts writing what was put, in the background: a hanging disk must not stop the heartbeats."""
        if self._sync_task is None or self._sync_task.done():
            self._sync_task = self._agent.tasks.spawn("store", self._flush())
        return self._sync_task

    async def _flush(self) -> None:
        await self._store.flush()

    def record_synced(self) -> None:
        """Called while a payment's id is synced: soon witnesses have a heartbeat that no older disk has.

        Guards against a copy that is older than that id by less time than regular heartbeats can tell.
        """
        if self._mark_task is None or self._mark_task.done():
            self._mark_task = self._agent.tasks.spawn("mark", self._send_extra_heartbeat())

    async def _send_extra_heartbeat(self) -> None:
        await asyncio.sleep(MARK_DELAY_HEARTBEATS * self._config.beat / 1000)
        # Raised by two, and synced before it is sent: the disk already held the next number.
        self.members.heartbeat += 2
        self._store_heartbeat()
        if await self._store.flush() and self.own.settled and not self.own.superseded:
            for peer in self._witnesses(1):
                self._send(peer, self._message(wire.HEARTBEAT))

    def _witnesses(self, step: int) -> list[int]:
        """The agents after this one, which store its heartbeats (1), or before it, whose it stores (-1)."""
        agents = self._agent.config.settings.agents
        return [(self._me + step * far) % agents for far in range(1, min(WITNESSES, agents - 1) + 1)]

    def _store_heartbeat(self) -> None:
        """Stores the next heartbeat number before it is sent: peers never know one that the disk doesn't."""
        self._store.put("beat", [self.own.incarnation.number, self.members.heartbeat + 1])

    def _latest_known(self, agent: int) -> tuple[Incarnation, int]:
        return max(self.members.latest(agent), self._witnessed.get(agent, NEVER_HEARD))

    def _record_witnessed(self) -> None:
        """Stores the newest state of a few other agents: if all lose power, it shows outdated disks."""
        for agent in self._witnesses(-1):
            if (known := self._latest_known(agent)) != NEVER_HEARD:
                self._witnessed[agent] = known
        self._store.put(
            "seen",
            [
                [agent, incarnation.number, incarnation.token, heartbeat]
                for agent, (incarnation, heartbeat) in sorted(self._witnessed.items())
            ],
        )

    def _send_query(self) -> None:
        """Sends the query to the peers that haven't answered."""
        for peer in self._query.peers if self._query else ():
            if peer not in self._query.answers:
                self._send(peer, self._message(wire.QUERY, nonce=self._token))

    def _query_targets(self) -> list[int]:
        """The peers to query: the witnesses, and random others."""
        agents = self._agent.config.settings.agents
        first = self._witnesses(1)
        others = [n for n in range(agents) if n != self._me and n not in first]
        return first + [
            others.pop(int(self._draw() * len(others)))
            for _ in range(min(QUERIED_PEERS - len(first), len(others)))
        ]

    def _finish_query(self) -> None:
        self._query_done = True
        self._claims_expire_at = (
            self._agent.clock.now() + RESET_AFTER * self._agent.config.settings.rules.ask_within
        )
        self.own.settled = True
        self._on_peers_asked(self.own.behind)
        self._apply_withheld()
        self._advance_startup()

    def _advance_startup(self) -> None:
        now, directory = self._agent.clock.now(), self._agent.directory
        current = directory.age is not None and directory.version >= self.floor.revision
        self._registry_heard = self._registry_heard or current
        if current and now >= self._claims_expire_at and self.drains.drop_claims():
            self._apply_withheld()
        ready = [e for e in self._listed.values() if e.state is ListState.READY]
        cold = sum(e.boot_time > 0 and now < e.boot_time + self._cold for e in ready)
        facts = StartupFacts(
            True,
            self._query_done,
            len(ready),
            self._registry_heard,
            self._agent.counters.answered["fulfilled"] > 0,
            2 * cold >= len(ready),
        )
        for stage, took in self.startup.advance(now, facts):
            self._agent.log.event(
                "returned", stage=stage.name.lower(), took_ms=round(took), to=Stage(stage + 1).name.lower()
            )
        self._agent.readiness.returning = not self.startup.ready


def _drain(e: Listing) -> Drain:
    """The drain that a draining entry stands for."""
    return Drain(e.name, int(e.boot_time))


def _valid_integer(value: object) -> int:
    """A stored number, or 0 if it is not valid."""
    return value if type(value) is int and 0 <= value <= wire.MAX_REVISION else 0


def _valid_heartbeat(value: object, number: int) -> int:
    """The stored heartbeat number of that incarnation; 0 if it is another one's."""
    return (
        _valid_integer(value[1]) if isinstance(value, list) and len(value) == 2 and value[0] == number else 0
    )


def _witnessed(value: object, agents: int) -> Iterable[tuple[int, tuple[Incarnation, int]]]:
    for row in value[:WITNESSES] if isinstance(value, list) else ():
        if (
            isinstance(row, list)
            and len(row) == 4
            and all(type(n) is int and 0 <= n < 1 << 32 for n in row)
            and row[0] < agents
        ):
            yield row[0], (Incarnation(row[1], row[2]), row[3])


def _drains(stored: dict[str, object]) -> Iterable[Drain]:
    for key, boot in stored.items():
        name, _, number = key.partition("/")
        if name == "drain" and number.isdecimal() and int(number) < 1 << 32:
            yield Drain(int(number), _valid_integer(boot))
