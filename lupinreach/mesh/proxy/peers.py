"""The other proxies: what is known of each, the link to it, and the attempts that are out on that link."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from lupinreach.mesh.errors import AttemptFailure
from lupinreach.mesh.link import Dialer, Link, parse_address
from lupinreach.mesh.messages import (
    AgentEntry,
    Answer,
    BackendStatus,
    BodyCredit,
    Cancel,
    Failed,
    Message,
    PeerHello,
    Ping,
    Request,
    RequestRejected,
)
from lupinreach.mesh.proxy.body_credit import OFFER_FROM, BodySender
from lupinreach.mesh.proxy.gate import Gate, Outcome
from lupinreach.mesh.rendezvous import rendezvous_rank
from lupinreach.mesh.tasks import spawn

PING_AFTER_S = 0.35  # a link with attempts out that has been silent for so long is asked for a sign of life
SILENT_AFTER_S = 0.55  # and with none for so long after that it counts as silent
CHECK_S = 0.15
CHOOSE_CHECKS = 20  # checks between two looks at which backends to hold links to
MOST_LINKS = 12  # backends of a service that a proxy holds links to
MOST_NEAR_LINKS = 8  # of these in its own zone
UNUSED_S = 10.0  # a link that is not wanted any more is kept for so long
COUNT_BITS = 32  # of a request's number; the bits above are the process's incarnation
INCARNATION_BITS = 31
ANSWER_SLACK_S = 0.1  # for the answer to travel back, past the time that the far gate enforces


MayFailOver = Callable[[], bool]


def never() -> bool:
    """For requests that go to one backend only."""
    return False


class RequestNumbers:
    """Numbers for requests to other proxies: never the same twice, by whatever process, in whatever life."""

    def __init__(self, incarnation: int) -> None:
        self._next = incarnation << COUNT_BITS

    def draw(self) -> int:
        """The next number."""
        self._next += 1
        return self._next


class Peer:
    """One backend as a target: the proxy beside it, and what that proxy tells."""

    def __init__(self, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone
        self.status = BackendStatus()
        self.status_at = 0.0
        self.in_flight = 0  # attempts of this proxy that are out
        self.silent = False

    @property
    def service(self) -> str:
        return self.status.service

    @property
    def reachable(self) -> bool:
        raise NotImplementedError

    async def attempt(self, asked: Request, may_fail_over: MayFailOver = never) -> Outcome:
        """Hand one request to the gate beside the backend and wait for the outcome.

        `may_fail_over` is asked once nothing is heard from there any more: if the request goes to another
        backend instead. Otherwise this attempt is waited for, as it may well be at work.
        """
        raise NotImplementedError

    def cold(self, now: float) -> bool:
        """If its backend was last said to be cold for longer than until now."""
        return now < self.status_at + self.status.cold_ms / 1000


class LocalPeer(Peer):
    """The backend beside this proxy."""

    def __init__(self, address: str, zone: str, gate: Gate) -> None:
        super().__init__(address, zone)
        self._gate = gate
        self.status = gate.status()
        gate.on_status(self._told)

    def _told(self, status: BackendStatus) -> None:
        self.status = status
        self.status_at = asyncio.get_running_loop().time()

    @property
    def reachable(self) -> bool:
        return True

    async def attempt(self, asked: Request, may_fail_over: MayFailOver = never) -> Outcome:
        self.in_flight += 1
        try:
            return await self._gate.serve(asked)
        finally:
            self.in_flight -= 1
            self.status.running = self._gate.admission.running
            self.status.waiting = self._gate.admission.waiting


class RemotePeer(Peer):
    """A backend behind another proxy, over a held link."""

    def __init__(
        self,
        address: str,
        zone: str,
        own_address: str,
        own_version: Callable[[], str],
        numbers: RequestNumbers,
    ) -> None:
        super().__init__(address, zone)
        self._own_address = own_address
        self._own_version = own_version
        self._numbers = numbers
        self._out: dict[int, tuple[asyncio.Future[Outcome], MayFailOver]] = {}
        self._bodies = BodySender()
        self._pinged_at = 0.0  # loop time of the first ping since anything was heard; 0: none
        self._dialer = Dialer(parse_address(address), self._up, self._message, self._down)

    @property
    def link(self) -> Link | None:
        return self._dialer.link

    @property
    def reachable(self) -> bool:
        return self._dialer.link is not None and not self.silent

    @property
    def connect_failures(self) -> int:
        return self._dialer.failures

    @property
    def unsent(self) -> int:
        """Bytes that wait on the link to it."""
        return self._dialer.link.unsent if self._dialer.link is not None else 0

    def close(self) -> None:
        """Give the peer up; attempts that are out fail."""
        self._dialer.close()
        self._fail_all()

    def _up(self, link: Link) -> None:
        self.silent = False
        self._pinged_at = 0.0
        now = asyncio.get_running_loop().time()
        link.send(PeerHello(self._own_address, self._own_version(), now))

    def _down(self, link: Link) -> None:
        self.silent = False
        self.status.available = False
        self._fail_all()

    def _fail_all(self) -> None:
        out, self._out = self._out, {}
        for number, (future, _) in out.items():
            if not future.done():
                ran = not self._bodies.abandon(number)
                future.set_result(Failed(number, int(AttemptFailure.LINK_LOST), ran))

    def _message(self, link: Link, message: Message) -> None:
        if isinstance(message, Answer | RequestRejected | Failed):
            self.status.running = message.running
            self.status.waiting = message.waiting
            found = self._out.pop(message.number, None)
            if found is not None and not found[0].done():
                found[0].set_result(message)
        elif isinstance(message, BodyCredit):
            self._bodies.on_credit(link, message)
        elif isinstance(message, BackendStatus):
            self.status = message
            self.status_at = asyncio.get_running_loop().time()

    async def attempt(self, asked: Request, may_fail_over: MayFailOver = never) -> Outcome:
        link = self._dialer.link
        if link is None:
            return Failed(asked.number, int(AttemptFailure.UNREACHABLE), False)
        loop = asyncio.get_running_loop()
        asked.number = number = self._numbers.draw()
        asked.sent_at = loop.time()
        future: asyncio.Future[Outcome] = loop.create_future()
        self._out[number] = (future, may_fail_over)
        if len(asked.body) > OFFER_FROM and self.status.takes_offers:
            self._bodies.offer(asked)
        self.in_flight += 1
        link.send(asked)
        timer = loop.call_later(asked.remaining_ms / 1000 + ANSWER_SLACK_S, self._time_out, number)
        try:
            return await future
        except asyncio.CancelledError:
            self._out.pop(number, None)
            link.send(Cancel(number))
            raise
        finally:
            timer.cancel()
            self._bodies.abandon(number)
            self.in_flight -= 1

    def _time_out(self, number: int) -> None:
        self._give_up(number, AttemptFailure.TIMED_OUT)

    def _give_up(self, number: int, failure: AttemptFailure) -> None:
        """The attempt has failed here; the other side is told, so that it neither begins nor goes on."""
        found = self._out.pop(number, None)
        if found is None or found[0].done():
            return
        found[0].set_result(Failed(number, int(failure), not self._bodies.abandon(number)))
        if self._dialer.link is not None:
            self._dialer.link.send(Cancel(number))

    def check(self) -> None:
        """Ask a silent link for a sign of life; let attempts fail over once it gives none."""
        link = self._dialer.link
        if link is None or not (self._out or self.silent):
            return
        now = asyncio.get_running_loop().time()
        if link.last_heard > self._pinged_at:
            self._pinged_at = 0.0
            self.silent = False
        if link.silent_s() < PING_AFTER_S:
            return
        if not self._pinged_at:
            self._pinged_at = now
        link.send(Ping())
        if now - self._pinged_at > SILENT_AFTER_S:
            self.silent = True
            self._fail_over()

    def _fail_over(self) -> None:
        for number, (future, may_fail_over) in list(self._out.items()):
            if not future.done() and (self._bodies.unfinished(number) or may_fail_over()):
                self._give_up(number, AttemptFailure.SILENT)


class PeerTable:
    """All known proxies, and links to those whose backends this one may use.

    Of a large service a proxy holds links to a few backends only: most of them in its own zone, chosen by a
    hash of both addresses so that all proxies together use all backends alike.
    """

    def __init__(self, own_address: str, zone: str, own_version: Callable[[], str]) -> None:
        self.entries: dict[str, AgentEntry] = {}  # other proxies, by address
        self.linked: dict[str, Peer] = {}
        self.on_new: Callable[[str], None] = lambda address: None
        self._own_address = own_address
        self._zone = zone
        self._own_version = own_version
        self._numbers = RequestNumbers(random.getrandbits(INCARNATION_BITS))
        self._unused_since: dict[str, float] = {}
        self._wide: set[str] = set()  # services whose chosen backends did not do
        self._checker = spawn(self._check())

    def add_local(self, peer: LocalPeer) -> None:
        """Add the backend beside this proxy."""
        self.linked[peer.address] = peer

    @property
    def proxies(self) -> int:
        """How many proxies are known, this one among them."""
        return len(self.entries) + 1

    @property
    def unsent(self) -> list[int]:
        """Bytes that wait on each link to another proxy."""
        return [peer.unsent for peer in self.linked.values() if isinstance(peer, RemotePeer)]

    def of_service(self, service: str) -> list[Peer]:
        """The linked backends of a service."""
        return [peer for peer in self.linked.values() if peer.service == service]

    def widen(self, service: str) -> None:
        """None of the linked backends of a service could be used: link to all of them."""
        if service not in self._wide:
            self._wide.add(service)
            self._choose_links()

    def apply(self, entry: AgentEntry) -> None:
        """Take in what a registry tells of a proxy."""
        if entry.address == self._own_address:
            return
        known = self.entries.get(entry.address)
        if entry.removed:
            self._remove(entry, known)
            return
        if known is not None and (entry.life, entry.sequence) <= (known.life, known.sequence):
            return
        self.entries[entry.address] = entry
        if known is None:
            self.on_new(entry.address)
        peer = self.linked.get(entry.address)
        if peer is not None:
            peer.zone = entry.zone
            if not peer.reachable:
                peer.status = BackendStatus(entry.service, entry.instance_id, False)
        self._choose_links()

    def _remove(self, entry: AgentEntry, known: AgentEntry | None) -> None:
        peer = self.linked.get(entry.address)
        if known is None or known.life > entry.life or (peer is not None and peer.reachable):
            return
        del self.entries[entry.address]
        if isinstance(peer, RemotePeer):
            peer.close()
            del self.linked[entry.address]

    def _choose_links(self) -> None:
        by_service: dict[str, list[AgentEntry]] = {}
        for entry in self.entries.values():
            by_service.setdefault(entry.service, []).append(entry)
        wanted: set[str] = set()
        for service, entries in by_service.items():
            wanted.update(self._chosen(service, entries))
        for address in wanted - set(self.linked):
            self._link(self.entries[address])
        self._drop_unused(wanted)

    def _chosen(self, service: str, entries: list[AgentEntry]) -> list[str]:
        if len(entries) <= MOST_LINKS or service in self._wide:
            return [entry.address for entry in entries]
        ordered = sorted(
            entries,
            key=lambda entry: (not entry.available, rendezvous_rank(self._own_address, entry.address)),
        )
        near = [entry.address for entry in ordered if entry.zone == self._zone][:MOST_NEAR_LINKS]
        far = [entry.address for entry in ordered if entry.address not in near]
        return near + far[: MOST_LINKS - len(near)]

    def _link(self, entry: AgentEntry) -> None:
        peer = RemotePeer(entry.address, entry.zone, self._own_address, self._own_version, self._numbers)
        peer.status = BackendStatus(entry.service, entry.instance_id, False)
        self.linked[entry.address] = peer

    def _drop_unused(self, wanted: set[str]) -> None:
        now = asyncio.get_running_loop().time()
        for address, peer in list(self.linked.items()):
            if address in wanted or not isinstance(peer, RemotePeer) or peer.in_flight:
                self._unused_since.pop(address, None)
            elif now - self._unused_since.setdefault(address, now) > UNUSED_S:
                del self._unused_since[address]
                del self.linked[address]
                peer.close()

    async def _check(self) -> None:
        checks = 0
        while True:
            await asyncio.sleep(CHECK_S)
            checks += 1
            for peer in list(self.linked.values()):
                if isinstance(peer, RemotePeer):
                    peer.check()
            if checks % CHOOSE_CHECKS == 0:
                self._choose_links()
