"""The bed's backends and its registry as asyncio protocols, in front of their models."""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from math import inf
from typing import Any

import orjson

from lupinreach.bed.peers.backend import Backend, Job, Way
from lupinreach.bed.peers.messages import Reader, answer
from lupinreach.bed.peers.registry import Entry, Registry
from lupinreach.bed.world import ledger as books
from lupinreach.bed.world.chance import Stream
from lupinreach.bed.world.ground import Ground
from lupinreach.bed.world.network import Machine
from lupinreach.bed.world.spec import RegistrySpec, World
from lupinreach.model import Idempotency
from lupinreach.net import protocol
from lupinreach.net.ends import Ended
from lupinreach.net.http import Head

Asked = Callable[[str], tuple[int, int, int] | None]  # by the name of a try: agent, its life, product

BODY = b"ran:"
DECLINED = answer(503, b"", b"Srv-Declined: 1")
TOLD_EVERY = 0.05  # s between two looks whether an agent can be told again
SAMPLE = 1000.0  # ms between two records of a backend's load


class BackendHost:
    """One backend's machine: its connections, and the timer of its model."""

    def __init__(
        self,
        ground: Ground,
        world: World,
        backend: Backend,
        machine: Machine,
        chance: Stream,
        asked: Asked,
        fell: Callable[[BackendHost], None],
    ) -> None:
        self.ground = ground
        self.world = world
        self.backend = backend
        self.machine = machine
        self.chance = chance
        self.asked = asked
        self._fell = fell
        self.lines: dict[BackendLine, None] = {}  # each leaves when it closes
        self._timer: asyncio.TimerHandle | None = None
        self._due = inf
        self.reports = bool(world.limits.reports)

    def step(self) -> None:
        """Bring the model up to now, answer what got done, and set the timer."""
        now = self.ground.now()
        for job in self.backend.advance(now):
            self._done(now, job)
        due = self.backend.due(now)
        if due != self._due:
            if self._timer is not None:
                self._timer.cancel()
            self._due = due
            self._timer = (
                None if due == inf else self.ground.loop.call_later(max(0.001, due - now) / 1000, self._tick)
            )

    def _tick(self) -> None:
        self._timer, self._due = None, inf
        self.step()

    def _done(self, now: float, job: Job) -> None:
        if job.token is None:
            return
        self.ground.ledger.note(books.RAN, now, self.backend.number, job.name, not job.repeat)
        job.token.done(now, job)

    def come(self, line: BackendLine, name: str, work: float, product: int, key: str | None) -> None:
        """One request is whole."""
        now, backend = self.ground.now(), self.backend
        self.step()
        spec = self.world.products[product]
        mark = name if spec.kind is Idempotency.DEDUPLICATED else None
        job = Job(name, product, work, key, mark, spec.memory, line)
        self.ground.ledger.note(books.CAME, now, backend.number, backend.life, name, round(work, 3))
        way = backend.come(now, job, float(self.chance.random()))
        if backend.fallen and backend.up:
            self.ground.ledger.note(books.FELL, now, backend.number)
            self._fell(self)
            return
        if way is Way.TAKEN:
            line.job = job
        elif way is Way.TURNED_AWAY:
            self.ground.ledger.note(books.AWAY, now, backend.number, name)
            line.say(DECLINED)
        elif way is Way.FAILED:
            self.ground.ledger.note(books.FAILED, now, backend.number, name)
            line.say(answer(500, b"", *self.load(now)))
        self.step()

    def load(self, now: float) -> list[bytes]:
        return [b"Srv-Load: " + self.backend.report(now).encode()] if self.reports else []

    def called_off(self, job: Job) -> None:
        self.step()
        self.backend.call_off(job)
        self.step()

    def boot(self, cold: bool) -> None:
        """A process begins."""
        b, rules, now = self.backend, self.world.rules, self.ground.now()
        b.boot(now, cold)
        self.ground.shut(self.machine, False)
        self.ground.ledger.note(
            books.STATE,
            now,
            b.number,
            b.life,
            "Ready",
            round(b.capacity, 4),
            rules.cold if cold else 0.0,
            rules.start_capacity,
            b.zone,
            b.cell,
        )
        self.step()

    def die(self) -> None:
        """The process ends: its connections are reset, new ones refused."""
        self.step()
        self.backend.die(self.ground.now())
        self.ground.shut(self.machine, True)
        self.reset()
        self.step()

    def reset(self) -> None:
        for line in list(self.lines):
            line.job = None
            line.cut()


class BackendLine(asyncio.Protocol):
    """One connection to a backend."""

    def __init__(self, host: BackendHost) -> None:
        self._host = host
        self._reader = Reader(answers=False)
        self._transport: Any = None
        self.job: Job | None = None
        self._busy = False
        self._since = 0.0
        self._refuses = False
        self._doomed = ""

    def connection_made(self, transport: Any) -> None:
        host = self._host
        self._transport = transport
        if not host.backend.up:
            transport.abort()
            return
        host.step()
        self._refuses = len(host.lines) >= host.world.backend.connections
        host.lines[self] = None
        host.backend.charge(host.ground.now(), host.world.backend.connection_cost)
        host.step()
        self._rest()

    def _rest(self) -> None:
        self._busy = False
        self._since = self._host.ground.loop.time()
        self._host.ground.loop.call_later(self._host.backend.idle / 1000, self._idle, self._since)

    def _idle(self, since: float) -> None:
        if not self._busy and since == self._since and self._transport is not None:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        host = self._host
        if host.machine.vanished:
            return
        try:
            messages = self._reader.feed(data)
        except Ended:
            self._transport.abort()
            return
        self._busy = True
        for head, body in messages:
            self._request(head, body)

    def _request(self, head: Head, body: bytes) -> None:
        host, (_, target, _) = self._host, head.start_line
        name = head.headers.get(protocol.ID, b"").decode()
        if target in (protocol.LIVE_PATH, protocol.STATS_PATH):
            load = host.backend.report(host.ground.now()).encode() if target == protocol.STATS_PATH else b""
            self.say(answer(200, load))
            return
        found = host.asked(name)
        if found is None:
            self.say(answer(400))
            return
        agent, life, product = found
        if not host.ground.exact:
            host.ground.ledger.note(books.SENT, host.ground.now(), agent, life, host.backend.number, name)
        if self._refuses:
            host.ground.ledger.note(books.AWAY, host.ground.now(), host.backend.number, name)
            self.say(DECLINED)
            self._transport.close()
            return
        if host.machine.resets and host.chance.random() < host.machine.resets:
            self._doomed = "reset"
        key = target.rpartition(b"/")[2].decode() if target.count(b"/") > 1 else None
        work = float(body or target.rpartition(b"=")[2] or b"1")
        host.come(self, name, work, product, key.partition("?")[0] if key else None)
        if self._doomed == "reset":
            self.cut()

    def done(self, now: float, job: Job) -> None:
        """The work is done; whoever waits for it gets the answer."""
        if self.job is not job:
            return
        self.job = None
        host = self._host
        text = answer(200, BODY + job.name.encode(), *host.load(now))
        if host.backend.stalls and host.chance.random() < host.backend.stalls:
            self._transport.write(text[: len(text) // 2])
            return
        self.say(text)

    def say(self, text: bytes) -> None:
        self._transport.write(text)
        self._rest()

    def cut(self) -> None:
        self._transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._busy = True
        self._host.lines.pop(self, None)
        if self.job is not None:
            job, self.job = self.job, None
            self._host.called_off(job)


class RegistryHost:
    """The registry's service: lists and watches, and what is told to whom."""

    def __init__(
        self,
        ground: Ground,
        registry: Registry,
        machine: Machine,
        life_of: Callable[[int], int],
        machine_of: Callable[[int], Machine],
        spec: RegistrySpec,
    ) -> None:
        self.ground = ground
        self.registry = registry
        self._spec = spec
        self._free_at = 0.0  # when it is through with the calls that have come so far
        self.machine = machine
        self.life_of = life_of
        self.machine_of = machine_of
        # By agent, in order; emptied once it is reached.
        self._untold: defaultdict[int, deque[Any]] = defaultdict(deque)
        self.lines: dict[RegistryLine, None] = {}

    def turn(self) -> tuple[float, bool]:
        """Ms until a call that comes now gets its answer, and if that is what it asked for.

        One that waits too long is turned away, and worked through all the same.
        """
        now = self.ground.now()
        self._free_at = max(self._free_at, now) + self._spec.call_cost
        waits = self._free_at - now
        return min(waits, self._spec.call_wait), waits <= self._spec.call_wait

    def wire(self, agent: int, entry: Entry) -> dict[str, Any]:
        """An entry as this agent is told it."""
        return entry.wire()

    def changed(self) -> None:
        """Tell all watches what they have not been told."""
        for line in list(self.lines):
            line.follow()

    def down(self) -> None:
        self.registry.up = False
        for line in list(self.lines):
            line.cut()

    def told(
        self,
        agent: int,
        version: int,
        entries: list[Entry],
        whole: bool,
        line: RegistryLine | None = None,
    ) -> None:
        """Book what an agent is told: once it can get there, and if the connection it goes by lasts until then.

        With no line it is the list that it starts with, which it has on its own machine.
        """
        # Of a backend that was replaced, what is told of the process before says nothing of the one that is there now.
        told = [[e.backend, e.state] for e in entries if e.state == "Ready" or not self.registry.succeeded(e)]
        word = self.life_of(agent), version, told, whole
        if line is None:
            self.ground.ledger.note(books.TOLD, self.ground.now(), agent, *word)
            return
        self._untold[agent].append((line, word))
        if len(self._untold[agent]) == 1:
            self._tell(agent)

    def mended(self) -> None:
        """Who can be reached again is told now. Guards against an agent that acts on a list before it is booked."""
        for agent, waiting in self._untold.items():
            if waiting and self.ground.paths.reaches(self.machine, self.machine_of(agent)):
                self._tell(agent)

    def _tell(self, agent: int) -> None:
        waiting = self._untold[agent]
        if self.ground.paths.reaches(self.machine, self.machine_of(agent)):
            while waiting:
                line, word = waiting.popleft()
                if line.lasts:
                    self.ground.ledger.note(books.TOLD, self.ground.now(), agent, *word)
        else:
            # Guards against a word that hangs before a cut zone and would pass for heard.
            self.ground.loop.call_later(TOLD_EVERY, self._tell, agent)


class RegistryLine(asyncio.Protocol):
    """One connection of an agent's to the registry."""

    def __init__(self, host: RegistryHost, agent: int) -> None:
        self._host = host
        self._agent = agent
        self._reader = Reader(answers=False)
        self._transport: Any = None
        self._version: int | None = None  # told last on a watch; None: no watch

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        if not self._host.registry.up:
            transport.abort()
            return
        self._host.lines[self] = None

    @property
    def lasts(self) -> bool:
        """If what is written to it gets to the agent: neither end has closed it."""
        return self in self._host.lines and not self._transport.get_extra_info("left", False)

    def data_received(self, data: bytes) -> None:
        try:
            messages = self._reader.feed(data)
        except Ended:
            self._transport.abort()
            return
        for head, _ in messages:
            target = head.start_line[1]
            waits, heard = self._host.turn()
            if waits:
                self._host.ground.loop.call_later(waits / 1000, self._answer, target, heard)
            else:
                self._answer(target, heard)

    def _answer(self, target: bytes, heard: bool) -> None:
        if self not in self._host.lines:
            return  # gone meanwhile
        if not heard:
            self._transport.write(answer(503))
        elif target == protocol.LIST_PATH:
            self._transport.write(answer(200, self._whole()))
        elif target.startswith(protocol.WATCH_PATH):
            after = int(target.rpartition(b"after=")[2] or b"0")
            self._transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if after > self._host.registry.version:
                # It comes back with a lower version: what was known then belongs to another count.
                self._line(self._whole())
            self._version = min(after, self._host.registry.version)
            if after <= self._host.registry.version:
                self.follow()
            else:
                self._version = self._host.registry.version
            self._beat()
        else:
            self._transport.write(answer(404))

    def _whole(self) -> bytes:
        registry = self._host.registry
        entries = registry.whole()
        self._host.told(self._agent, registry.version, entries, True, self)
        return self._text(True, entries)

    def _text(self, whole: bool, entries: list[Entry]) -> bytes:
        return orjson.dumps(
            {
                "rev": self._host.registry.version,
                "all": whole,
                "targets": [self._host.wire(self._agent, e) for e in entries],
            }
        )

    def follow(self) -> None:
        registry = self._host.registry
        if self._version is None or self._version >= registry.version:
            return
        entries = registry.since(self._version)
        self._version = registry.version
        self._host.told(self._agent, registry.version, entries, False, self)
        self._line(self._text(False, entries))

    def _line(self, text: bytes) -> None:
        self._transport.write(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))

    def _beat(self) -> None:
        if self in self._host.lines:
            self._line(b"")
            self._host.ground.loop.call_later(protocol.BEAT / 1000, self._beat)

    def cut(self) -> None:
        self._transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._host.lines.pop(self, None)
