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
from lupinreach.fleet.life import Life, Own
from lupinreach.fleet.membership import NOBODY, Members, Selfhood
from lupinreach.fleet.recovery import ASKED, RESET_AFTER, Asking, Drains, Facts, Floor, Return, Stage, Stays
from lupinreach.fleet.wire import Drain, Message
from lupinreach.model import Listing, ListState, UpdateKind
from lupinreach.net.agent import Agent
from lupinreach.store import trust
from lupinreach.store.records import Found
from lupinreach.store.store import Store

if TYPE_CHECKING:
    from lupinreach.ops.sharing import Sharing

READ = 1000.0  # ms: the store is read before anything else, at once or not at all
JITTER = 0.2  # of a beat, so that a fleet that stood up together doesn't speak together
ASK_AGAIN = 2  # beats between two questions to who hasn't answered, while answers count
WITNESSES = 3  # agents that keep the beats of one, and whom it asks among others
MARK = 1 / 8  # of a beat: so late at most after an id of a payment was synced its witnesses are told
SPREAD = 0.5  # x the time to ask: agents that stand up together ask over as long


class Returning:
    """One agent's part in the fleet, from its start to its end. Its tables are bounded by agents, backends and drains."""

    def __init__(
        self,
        agent: Agent,
        store: Store,
        found: Found,
        config: FleetConfig,
        token: int | None = None,
        asked: Callable[[bool], None] = lambda _: None,
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
        self._drawn = 0
        now = agent.clock.now()
        kept = trust.believed(found.state)
        self._token = token if token is not None else int.from_bytes(os.urandom(4), "big")
        life = _whole(kept.get("life"))
        self.own = Own(life, self._token, _beat(kept.get("beat"), life))
        self.members = Members(self._me, settings.agents, config.beat, self._chance)
        self.floor = Floor(_whole(kept.get("floor")), settings.rules.ask_within)
        self.drains = Drains(_drains(kept))
        self.returned = Return(
            now,
            Stays(
                READ,
                config.ask * (1 + SPREAD),
                EJECTION_SLOS * max(p.slo for p in settings.products),
                settings.rules.cold,
            ),
        )
        self._cold = settings.rules.cold
        self._raw: dict[int, Listing] = {}  # by index, as the registry last said; each leaves as it goes
        self._held: set[int] = set()  # indices that the module was told to drain, though a list says ready
        self._registry = False
        # Guards against a list of before that calls ready what drains, beside a disk that remembers no drain: an older
        # copy looks like a sound one. Until peers were asked the module has the registry's own word alone.
        self._withheld = True
        self._told_asked = asked
        self._seen = dict(
            _seen(kept.get("seen"), settings.agents)
        )  # of the agents before it, as far as `WITNESSES`
        self._asking: Asking | None = None
        self._synced: asyncio.Task[None] | None = None  # the last writing
        self._marking: asyncio.Task[None] | None = None  # the last mark after payments
        self._asked = False
        self._claims_until = inf  # ms: from then on the registry's word counts against others'
        self.sharing: Sharing | None = None
        if config.share:
            from lupinreach.ops.sharing import Sharing  # an agent that shares nothing doesn't load it

            self.sharing = Sharing(
                agent,
                config,
                self.members,
                lambda: (self.own.life.number, self.own.superseded),
                lambda peer, kind, more: self._send(peer, self._message(kind, **more)),
                self._chance,
            )
            agent.tasks.spawn("sharing", self.sharing.run())
        store.put("life", self.own.life.number)
        self._put_beat()
        agent.fleet_datagram_handler, agent.revise_listings, agent.fleet_report = (
            self.hear,
            self.see,
            self.figures,
        )
        agent.directory.is_stale_version = self.older
        agent.standing.returning = not self.returned.ready

    def _chance(self) -> float:
        self._drawn += 1
        return crc32(b"fleet:%d:%d" % (self._seed, self._drawn)) * 2654435761 % 2**32 / 2**32

    # What is believed of lists.

    def older(self, version: int) -> bool:
        """If the registry that speaks with this version is older than what is known of it."""
        before = self.floor.revision
        older = self.floor.older(self._agent.clock.now(), version)
        if older:
            self._agent.counters.others["fleet: older lists"] += 1
        elif self.floor.revision < before:
            self._agent.log.event("registry reset", floor=before, revision=version)
        self._registry = self._registry or not older
        return older

    def see(self, news: UpdateKind, entries: list[Listing], older: bool) -> list[Listing]:
        """A list as the module is to have it: what drains doesn't become ready by an older one."""
        if news is UpdateKind.CACHED:
            self.floor.raised(self._agent.directory.version)
        spoken = news is not UpdateKind.CACHED and not older
        named = {e.backend for e in entries}
        if news is UpdateKind.FULL:
            for gone in [e for e in self._raw.values() if e.backend not in named]:
                del self._raw[gone.backend]
                self._lifted(gone)
        for e in entries:
            if e.state is ListState.REMOVED:
                self._raw.pop(e.backend, None)
            else:
                self._raw[e.backend] = e
            if e.state is ListState.DRAINING:
                drain = _drain(e)
                if self.drains.told(drain):
                    self._store.put(f"drain/{drain.backend}", drain.boot)
                    self._sync()  # guards against a power loss before the next beat: others have it of their disks alone
            elif spoken:
                self._lifted(e)
        if spoken:
            self._store.put("floor", self.floor.revision)
        before, self._held = self._held, self._to_hold()
        if news is UpdateKind.CACHED and self._withheld:
            return []
        self._withheld = False
        # What others' word may hold back is a share of the ready ones: with their number it changes for those not named.
        also = [self._raw[i] for i in sorted(self._held ^ before) if i in self._raw and i not in named]
        return self._as_held([*entries, *also])

    def _as_held(self, entries: Iterable[Listing]) -> list[Listing]:
        return [
            replace(e, state=ListState.DRAINING)
            if e.backend in self._held and e.state is ListState.READY
            else e
            for e in entries
        ]

    def _lifted(self, e: Listing) -> None:
        if self.drains.lifted(e.name, int(e.boot_time)):
            self._store.put(f"drain/{e.name}", None)

    def _to_hold(self) -> set[int]:
        ready = {_drain(e): e.backend for e in self._raw.values() if e.state is ListState.READY}
        names = self.drains.held(ready)
        return {index for drain, index in ready.items() if drain.backend in names}

    def _hold(self) -> None:
        """Tell the module what has changed by others' word."""
        held, before = self._to_hold(), self._held
        self._held = held
        if self._withheld:
            self._withheld = False
            self._agent.balancer.update_backends(
                self._agent.clock.now(), UpdateKind.CACHED, self._as_held(self._raw.values())
            )
            self._agent.standing.listed = self._agent.standing.listed or bool(self._raw)
            return
        changed = [
            replace(self._raw[i], state=ListState.DRAINING if i in held else ListState.READY)
            for i in sorted(held ^ before)
            if i in self._raw and self._raw[i].state is ListState.READY
        ]
        if changed:
            self._agent.counters.others["fleet: held by others' word"] += sum(
                e.state is ListState.DRAINING for e in changed
            )
            self._agent.balancer.update_backends(self._agent.clock.now(), UpdateKind.CHANGES, changed)

    # Datagrams.

    def hear(self, sender: int, data: bytes) -> None:
        """A datagram has come from the address of that peer's."""
        others, now = self._agent.counters.others, self._agent.clock.now()
        try:
            m = wire.read(data)
        except wire.Malformed:
            others["fleet: malformed"] += 1
            return
        if m.sender != sender or sender == self._me:
            # Guards against a word that is believed of another than who sent it.
            others["fleet: from a wrong address"] += 1
            return
        known = self._known(sender)  # before this word, which is of its new life
        self.members.heard(now, sender, m.life, m.beat, m.members)
        if m.remembers:
            self.floor.claimed(sender, m.revision)
        mine = [(e.life, e.beat) for e in m.members if e.agent == self._me]
        if m.kind == wire.TELL and m.known.number:
            mine.append((m.known, m.known_beat))
        for life, beat in mine:
            if self.own.hear(sender, life, beat):
                self._store.put("life", self.own.life.number)
                self._put_beat()
        if (
            self.sharing is not None
            and m.kind in (wire.NEWS, wire.WANT, wire.GRANT)
            and not self.own.superseded
        ):
            self.sharing.hear(m)
        elif m.kind == wire.ASK and not self.own.superseded:
            self._answer(m, known)
        elif m.kind == wire.BEAT and not m.members and sender in self._witnesses(-1):
            self._bear_witness()
            self._sync()
        elif m.kind == wire.TELL and self._asking is not None and self._asking.hear(m):
            self.drains.claimed(sender, m.drains)
            if self._asked:
                self._hold()

    def _message(self, kind: int, **more: object) -> Message:
        return Message(
            kind,
            self._me,
            self.own.life,
            self.members.beat,
            self.floor.revision > 0,
            self.floor.revision,
            **more,
        )  # type: ignore[arg-type]

    def _send(self, peer: int, message: Message) -> None:
        self._agent.peers.send(peer, wire.written(message))

    def _answer(self, m: Message, known: tuple[Life, int]) -> None:
        drains = self.drains.all()[: wire.DRAINS * wire.MOST_PARTS]
        parts = [tuple(drains[i : i + wire.DRAINS]) for i in range(0, len(drains), wire.DRAINS)] or [()]
        for i, part in enumerate(parts):
            self._send(
                m.sender,
                self._message(
                    wire.TELL,
                    nonce=m.nonce,
                    part=i,
                    parts=len(parts),
                    standing=self.members.count(self._agent.clock.now()),
                    known=known[0],
                    known_beat=known[1],
                    drains=part,
                ),
            )

    def figures(self) -> dict[str, object]:
        """What operators see: where it is on its way back, who it is, whom it knows, what it believes."""
        now = self._agent.clock.now()
        return {
            "stage": self.returned.stage.name.lower(),
            "life": self.own.life.number,
            "superseded": self.own.superseded,
            "own": self.members.own(now).value,
            "standing": self.members.count(now),
            "agents": {str(n): [life.number, standing.value] for n, life, standing in self.members.all(now)},
            "floor": self.floor.revision,
            "list": self._agent.directory.version,
            "drains": [d.backend for d in self.drains.all()],
            "held": len(self._held),
            "store": self._store.well,
            **({"shared": self.sharing.figures()} if self.sharing else {}),
        }

    # From start to end.

    async def run(self) -> None:
        """Return, and then keep in touch for as long as the process lasts."""
        log, clock = self._agent.log, self._agent.clock
        # Guards against a word under a number that a power loss would take back; and against a disk that hangs: the
        # writing goes on by itself, since one that is broken off would forget what it was to write.
        if not (await asyncio.wait({self._sync()}, timeout=self._config.ask / 1000))[0]:
            self._agent.counters.others["fleet: life not synced in time"] += 1
        await asyncio.sleep(SPREAD * self._config.ask * self._chance() / 1000)
        self._asking = Asking(clock.now(), self._to_ask(), self._token, self._config.ask)
        self._step()
        self._ask()
        while not self._asking.over(clock.now()):
            await asyncio.sleep(self._config.ask / 20000)
        self._conclude()
        log.event(
            "asked",
            peers=len(self._asking.peers),
            answered=len(self._asking.answers),
            life=[self.own.life.number, self.own.life.token],
            floor=self.floor.revision,
            standing=self._asking.standing(),
            held=len(self._held),
        )
        said = Selfhood.SOUND, False
        while True:
            await asyncio.sleep(self._config.beat * (1 + JITTER * (self._chance() - 0.5)) / 1000)
            now = clock.now()
            self.members.look(now)
            self._put_beat()
            self._bear_witness()
            if not self.own.superseded and now < self._claims_until and self.members.beat % ASK_AGAIN == 0:
                self._ask()  # guards against a cut that was there while it asked: what drains is known behind it
            self._step()
            if (self.members.own(now), self.own.superseded) != said:
                said = self.members.own(now), self.own.superseded
                log.event("fleet", own=said[0].value, superseded=said[1], standing=self.members.count(now))
            if not self.own.superseded:
                for peer in self.members.targets():
                    self._send(peer, self._message(wire.BEAT, members=self.members.digest(now)))
            self._sync()

    def _sync(self) -> asyncio.Task[None]:
        """Write what was put, beside the beats: guards against a disk that hangs and would silence the agent."""
        if self._synced is None or self._synced.done():
            self._synced = self._agent.tasks.spawn("store", self._flush())
        return self._synced

    async def _flush(self) -> None:
        await self._store.flush()

    def ran(self) -> None:
        """An id of a payment is being synced: before long witnesses hold a beat that no older disk has.

        Guards against a copy that is older than that id, and younger than what a few beats apart can tell.
        """
        if self._marking is None or self._marking.done():
            self._marking = self._agent.tasks.spawn("mark", self._mark())

    async def _mark(self) -> None:
        await asyncio.sleep(MARK * self._config.beat / 1000)
        # By two, and synced before it is told: the disk held the next one before.
        self.members.beat += 2
        self._put_beat()
        if await self._store.flush() and self.own.settled and not self.own.superseded:
            for peer in self._witnesses(1):
                self._send(peer, self._message(wire.BEAT))

    def _witnesses(self, step: int) -> list[int]:
        """Agents after this one, which keep its beats (1), or before it, of which it does (-1)."""
        agents = self._agent.config.settings.agents
        return [(self._me + step * far) % agents for far in range(1, min(WITNESSES, agents - 1) + 1)]

    def _put_beat(self) -> None:
        """The next one, so that by the time it is told it is synced: peers know of none that the disk doesn't."""
        self._store.put("beat", [self.own.life.number, self.members.beat + 1])

    def _known(self, agent: int) -> tuple[Life, int]:
        return max(self.members.met(agent), self._seen.get(agent, NOBODY))

    def _bear_witness(self) -> None:
        """Keep what is known of a few others: where all lose power, their disks are held against it."""
        for agent in self._witnesses(-1):
            if (known := self._known(agent)) != NOBODY:
                self._seen[agent] = known
        self._store.put(
            "seen",
            [[agent, life.number, life.token, beat] for agent, (life, beat) in sorted(self._seen.items())],
        )

    def _ask(self) -> None:
        """Those that haven't answered."""
        for peer in self._asking.peers if self._asking else ():
            if peer not in self._asking.answers:
                self._send(peer, self._message(wire.ASK, nonce=self._token))

    def _to_ask(self) -> list[int]:
        """Its witnesses, and any others."""
        agents = self._agent.config.settings.agents
        first = self._witnesses(1)
        others = [n for n in range(agents) if n != self._me and n not in first]
        return first + [
            others.pop(int(self._chance() * len(others))) for _ in range(min(ASKED - len(first), len(others)))
        ]

    def _conclude(self) -> None:
        self._asked = True
        self._claims_until = (
            self._agent.clock.now() + RESET_AFTER * self._agent.config.settings.rules.ask_within
        )
        self.own.settled = True
        self._told_asked(self.own.behind)
        self._hold()
        self._step()

    def _step(self) -> None:
        now, directory = self._agent.clock.now(), self._agent.directory
        current = directory.age is not None and directory.version >= self.floor.revision
        self._registry = self._registry or current
        if current and now >= self._claims_until and self.drains.settled():
            self._hold()
        ready = [e for e in self._raw.values() if e.state is ListState.READY]
        cold = sum(e.boot_time > 0 and now < e.boot_time + self._cold for e in ready)
        facts = Facts(
            True,
            self._asked,
            len(ready),
            self._registry,
            self._agent.counters.answered["fulfilled"] > 0,
            2 * cold >= len(ready),
        )
        for stage, took in self.returned.look(now, facts):
            self._agent.log.event(
                "returned", stage=stage.name.lower(), took_ms=round(took), to=Stage(stage + 1).name.lower()
            )
        self._agent.standing.returning = not self.returned.ready


def _drain(e: Listing) -> Drain:
    return Drain(e.name, int(e.boot_time))


def _whole(value: object) -> int:
    return value if type(value) is int and 0 <= value <= wire.MOST_REVISION else 0


def _beat(value: object, life: int) -> int:
    """The beat kept of that life; of another one it says nothing."""
    return _whole(value[1]) if isinstance(value, list) and len(value) == 2 and value[0] == life else 0


def _seen(value: object, agents: int) -> Iterable[tuple[int, tuple[Life, int]]]:
    for row in value[:WITNESSES] if isinstance(value, list) else ():
        if (
            isinstance(row, list)
            and len(row) == 4
            and all(type(n) is int and 0 <= n < 1 << 32 for n in row)
            and row[0] < agents
        ):
            yield row[0], (Life(row[1], row[2]), row[3])


def _drains(kept: dict[str, object]) -> Iterable[Drain]:
    for key, boot in kept.items():
        name, _, number = key.partition("/")
        if name == "drain" and number.isdecimal() and int(number) < 1 << 32:
            yield Drain(int(number), _whole(boot))
