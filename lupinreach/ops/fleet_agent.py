"""An agent's return and its place among the others, on sockets: what the pure modules of `fleet` decide is done here.

Everything it changes in the agent goes through hooks that are empty without it: which list is believed, which backends are
held to drain, and what `/health/ready` says.
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
from lupinreach.model import ListedState, Listing, UpdateKind
from lupinreach.net.agent import Agent
from lupinreach.store import trust
from lupinreach.store.records import FileContents
from lupinreach.store.store import Store

if TYPE_CHECKING:
    from lupinreach.ops.sharing import Sharing

READ_LIMIT_MS = 1000.0  # ms: the store is read before anything else, at once or not at all
HEARTBEAT_JITTER = 0.2  # of a beat, so that a fleet that stood up together doesn't speak together
QUERY_INTERVAL_HEARTBEATS = 2  # beats between two questions to who hasn't answered, while answers count
WITNESSES = 3  # agents that keep the beats of one, and whom it asks among others
MARK_DELAY_HEARTBEATS = (
    1 / 8
)  # of a beat: so late at most after an id of a payment was synced its witnesses are told
QUERY_DELAY_SPREAD = 0.5  # x the time to ask: agents that stand up together ask over as long


class FleetAgent:
    """One agent's part in the fleet, from its start to its end. Its tables are bounded by agents, backends and drains."""

    def __init__(
        self,
        agent: Agent,
        store: Store,
        found: FileContents,
        config: FleetConfig,
        token: int | None = None,
        on_peers_asked: Callable[[bool], None] = lambda _: None,
    ) -> None:
        """`token` tells two lives with one number apart; the system's chance unless given.

        `asked` hears when peers were, and if they have met a later life than the disk knows of.
        """
        settings = agent.config.settings
        self._agent = agent
        self._store = store
        self._config = config
        self._me = settings.me
        self._seed = agent.config.seed
        self._draws = 0
        now = agent.clock.now()
        kept = trust.restorable(found.state)
        self._token = token if token is not None else int.from_bytes(os.urandom(4), "big")
        life = _valid_integer(kept.get("life"))
        self.own = OwnIncarnation(life, self._token, _valid_heartbeat(kept.get("beat"), life))
        self.members = Members(self._me, settings.agents, config.beat, self._draw)
        self.floor = RevisionFloor(_valid_integer(kept.get("floor")), settings.rules.ask_within)
        self.drains = DrainSet(_drains(kept))
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
        self._listed: dict[int, Listing] = {}  # by index, as the registry last said; each leaves as it goes
        self._withheld_indices: set[int] = (
            set()
        )  # indices that the module was told to drain, though a list says ready
        self._registry_heard = False
        # Guards against a list of before that calls ready what drains, beside a disk that remembers no drain: an older
        # copy looks like a sound one. Until peers were asked the module has the registry's own word alone.
        self._cached_withheld = True
        self._on_peers_asked = on_peers_asked
        self._witnessed = dict(
            _witnessed(kept.get("seen"), settings.agents)
        )  # of the agents before it, as far as `WITNESSES`
        self._query: PeerQuery | None = None
        self._sync_task: asyncio.Task[None] | None = None  # the last writing
        self._mark_task: asyncio.Task[None] | None = None  # the last mark after payments
        self._query_done = False
        self._claims_expire_at = inf  # ms: from then on the registry's word counts against others'
        self.sharing: Sharing | None = None
        if config.share:
            from lupinreach.ops.sharing import Sharing  # an agent that shares nothing doesn't load it

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
        self._put_beat()
        agent.hears, agent.sees, agent.tells = self.on_datagram, self.apply_list, self.metrics
        agent.directory.older = self.is_older_list
        agent.standing.returning = not self.startup.ready

    def _draw(self) -> float:
        self._draws += 1
        return crc32(b"fleet:%d:%d" % (self._seed, self._draws)) * 2654435761 % 2**32 / 2**32

    # What is believed of lists.

    def is_older_list(self, version: int) -> bool:
        """If the registry that speaks with this version is older than what is known of it."""
        before = self.floor.revision
        older = self.floor.is_older(self._agent.clock.now(), version)
        if older:
            self._agent.counters.others["fleet: older lists"] += 1
        elif self.floor.revision < before:
            self._agent.log.event("registry reset", floor=before, revision=version)
        self._registry_heard = self._registry_heard or not older
        return older

    def apply_list(self, news: UpdateKind, entries: list[Listing], older: bool) -> list[Listing]:
        """A list as the module is to have it: what drains doesn't become ready by an older one."""
        if news is UpdateKind.CACHED:
            self.floor.raise_to(self._agent.directory.version)
        from_registry = news is not UpdateKind.CACHED and not older
        named = {e.backend for e in entries}
        if news is UpdateKind.FULL:
            for removed in [e for e in self._listed.values() if e.backend not in named]:
                del self._listed[removed.backend]
                self._lift(removed)
        for e in entries:
            if e.state is ListedState.REMOVED:
                self._listed.pop(e.backend, None)
            else:
                self._listed[e.backend] = e
            if e.state is ListedState.DRAINING:
                drain = _drain(e)
                if self.drains.add(drain):
                    self._store.put(f"drain/{drain.backend}", drain.boot)
                    self._start_sync()  # guards against a power loss before the next beat: others have it of their disks alone
            elif from_registry:
                self._lift(e)
        if from_registry:
            self._store.put("floor", self.floor.revision)
        before, self._withheld_indices = self._withheld_indices, self._withheld_set()
        if news is UpdateKind.CACHED and self._cached_withheld:
            return []
        self._cached_withheld = False
        # What others' word may hold back is a share of the ready ones: with their number it changes for those not named.
        also = [
            self._listed[i]
            for i in sorted(self._withheld_indices ^ before)
            if i in self._listed and i not in named
        ]
        return self._with_withheld([*entries, *also])

    def _with_withheld(self, entries: Iterable[Listing]) -> list[Listing]:
        return [
            replace(e, state=ListedState.DRAINING)
            if e.backend in self._withheld_indices and e.state is ListedState.READY
            else e
            for e in entries
        ]

    def _lift(self, e: Listing) -> None:
        if self.drains.lift(e.name, int(e.boot_time)):
            self._store.put(f"drain/{e.name}", None)

    def _withheld_set(self) -> set[int]:
        ready = {_drain(e): e.backend for e in self._listed.values() if e.state is ListedState.READY}
        names = self.drains.withheld(ready)
        return {index for drain, index in ready.items() if drain.backend in names}

    def _apply_withheld(self) -> None:
        """Tell the module what has changed by others' word."""
        held, before = self._withheld_set(), self._withheld_indices
        self._withheld_indices = held
        if self._cached_withheld:
            self._cached_withheld = False
            self._agent.balancer.update_backends(
                self._agent.clock.now(), UpdateKind.CACHED, self._with_withheld(self._listed.values())
            )
            self._agent.standing.listed = self._agent.standing.listed or bool(self._listed)
            return
        changed = [
            replace(self._listed[i], state=ListedState.DRAINING if i in held else ListedState.READY)
            for i in sorted(held ^ before)
            if i in self._listed and self._listed[i].state is ListedState.READY
        ]
        if changed:
            self._agent.counters.others["fleet: held by others' word"] += sum(
                e.state is ListedState.DRAINING for e in changed
            )
            self._agent.balancer.update_backends(self._agent.clock.now(), UpdateKind.CHANGES, changed)

    # Datagrams.

    def on_datagram(self, sender: int, data: bytes) -> None:
        """A datagram has come from the address of that peer's."""
        others, now = self._agent.counters.others, self._agent.clock.now()
        try:
            m = wire.decode(data)
        except wire.Malformed:
            others["fleet: malformed"] += 1
            return
        if m.sender != sender or sender == self._me:
            # Guards against a word that is believed of another than who sent it.
            others["fleet: from a wrong address"] += 1
            return
        known = self._latest_known(sender)  # before this word, which is of its new life
        self.members.receive(now, sender, m.incarnation, m.heartbeat, m.members)
        if m.remembers:
            self.floor.add_claim(sender, m.revision)
        mine = [(e.incarnation, e.heartbeat) for e in m.members if e.agent == self._me]
        if m.kind == wire.REPLY and m.known.number:
            mine.append((m.known, m.known_heartbeat))
        for life, beat in mine:
            if self.own.observe(sender, life, beat):
                self._store.put("life", self.own.incarnation.number)
                self._put_beat()
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
        """What operators see: where it is on its way back, who it is, whom it knows, what it believes."""
        now = self._agent.clock.now()
        return {
            "stage": self.startup.stage.name.lower(),
            "life": self.own.incarnation.number,
            "superseded": self.own.superseded,
            "own": self.members.self_status(now).value,
            "standing": self.members.alive_count(now),
            "agents": {
                str(n): [life.number, standing.value] for n, life, standing in self.members.statuses(now)
            },
            "floor": self.floor.revision,
            "list": self._agent.directory.version,
            "drains": [d.backend for d in self.drains.all()],
            "held": len(self._withheld_indices),
            "store": self._store.writable,
            **({"shared": self.sharing.metrics()} if self.sharing else {}),
        }

    # From start to end.

    async def run(self) -> None:
        """Return, and then keep in touch for as long as the process lasts."""
        log, clock = self._agent.log, self._agent.clock
        # Guards against a word under a number that a power loss would take back; and against a disk that hangs: the
        # writing goes on by itself, since one that is broken off would forget what it was to write.
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
        said = SelfStatus.HEALTHY, False
        while True:
            await asyncio.sleep(self._config.beat * (1 + HEARTBEAT_JITTER * (self._draw() - 0.5)) / 1000)
            now = clock.now()
            self.members.tick(now)
            self._put_beat()
            self._record_witnessed()
            if (
                not self.own.superseded
                and now < self._claims_expire_at
                and self.members.heartbeat % QUERY_INTERVAL_HEARTBEATS == 0
            ):
                self._send_query()  # guards against a cut that was there while it asked: what drains is known behind it
            self._advance_startup()
            if (self.members.self_status(now), self.own.superseded) != said:
                said = self.members.self_status(now), self.own.superseded
                log.event(
                    "fleet", own=said[0].value, superseded=said[1], standing=self.members.alive_count(now)
                )
            if not self.own.superseded:
                for peer in self.members.draw_targets():
                    self._send(peer, self._message(wire.HEARTBEAT, members=self.members.digest(now)))
            self._start_sync()

    def _start_sync(self) -> asyncio.Task[None]:
        """Write what was put, beside the beats: guards against a disk that hangs and would silence the agent."""
        if self._sync_task is None or self._sync_task.done():
            self._sync_task = self._agent.tasks.spawn("store", self._flush())
        return self._sync_task

    async def _flush(self) -> None:
        await self._store.flush()

    def record_synced(self) -> None:
        """An id of a payment is being synced: before long witnesses hold a beat that no older disk has.

        Guards against a copy that is older than that id, and younger than what a few beats apart can tell.
        """
        if self._mark_task is None or self._mark_task.done():
            self._mark_task = self._agent.tasks.spawn("mark", self._mark())

    async def _mark(self) -> None:
        await asyncio.sleep(MARK_DELAY_HEARTBEATS * self._config.beat / 1000)
        # By two, and synced before it is told: the disk held the next one before.
        self.members.heartbeat += 2
        self._put_beat()
        if await self._store.flush() and self.own.settled and not self.own.superseded:
            for peer in self._witnesses(1):
                self._send(peer, self._message(wire.HEARTBEAT))

    def _witnesses(self, step: int) -> list[int]:
        """Agents after this one, which keep its beats (1), or before it, of which it does (-1)."""
        agents = self._agent.config.settings.agents
        return [(self._me + step * far) % agents for far in range(1, min(WITNESSES, agents - 1) + 1)]

    def _put_beat(self) -> None:
        """The next one, so that by the time it is told it is synced: peers know of none that the disk doesn't."""
        self._store.put("beat", [self.own.incarnation.number, self.members.heartbeat + 1])

    def _latest_known(self, agent: int) -> tuple[Incarnation, int]:
        return max(self.members.latest(agent), self._witnessed.get(agent, NEVER_HEARD))

    def _record_witnessed(self) -> None:
        """Keep what is known of a few others: where all lose power, their disks are held against it."""
        for agent in self._witnesses(-1):
            if (known := self._latest_known(agent)) != NEVER_HEARD:
                self._witnessed[agent] = known
        self._store.put(
            "seen",
            [
                [agent, life.number, life.token, beat]
                for agent, (life, beat) in sorted(self._witnessed.items())
            ],
        )

    def _send_query(self) -> None:
        """Those that haven't answered."""
        for peer in self._query.peers if self._query else ():
            if peer not in self._query.answers:
                self._send(peer, self._message(wire.QUERY, nonce=self._token))

    def _query_targets(self) -> list[int]:
        """Its witnesses, and any others."""
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
        ready = [e for e in self._listed.values() if e.state is ListedState.READY]
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
        self._agent.standing.returning = not self.startup.ready


def _drain(e: Listing) -> Drain:
    return Drain(e.name, int(e.boot_time))


def _valid_integer(value: object) -> int:
    return value if type(value) is int and 0 <= value <= wire.MAX_REVISION else 0


def _valid_heartbeat(value: object, life: int) -> int:
    """The beat kept of that life; of another one it says nothing."""
    return _valid_integer(value[1]) if isinstance(value, list) and len(value) == 2 and value[0] == life else 0


def _witnessed(value: object, agents: int) -> Iterable[tuple[int, tuple[Incarnation, int]]]:
    for row in value[:WITNESSES] if isinstance(value, list) else ():
        if (
            isinstance(row, list)
            and len(row) == 4
            and all(type(n) is int and 0 <= n < 1 << 32 for n in row)
            and row[0] < agents
        ):
            yield row[0], (Incarnation(row[1], row[2]), row[3])


def _drains(kept: dict[str, object]) -> Iterable[Drain]:
    for key, boot in kept.items():
        name, _, number = key.partition("/")
        if name == "drain" and number.isdecimal() and int(number) < 1 << 32:
            yield Drain(int(number), _valid_integer(boot))
