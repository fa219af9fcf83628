"""Other proxies: their known state, the links to them, and the attempts in flight on each link."""

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
from lupinreach.mesh.proxy.body_credit import (
    MAX_INLINE_BODY_BYTES,
    MAX_INLINE_BODY_BYTES_IF_FULL,
    BodySender,
)
from lupinreach.mesh.proxy.gate import Gate, Outcome
from lupinreach.mesh.rendezvous import rendezvous_rank
from lupinreach.mesh.tasks import spawn

PING_AFTER_SILENCE_S = 0.35  # a link with attempts in flight that is silent for this long is pinged
PING_TIMEOUT_S = 0.55  # a link on which nothing is received for this long after the first ping is silent
CHECK_INTERVAL_S = 0.15
CHECKS_PER_LINK_SELECTION = 20  # checks between two selections of the backends to hold links to
MAX_LINKS_PER_SERVICE = 12  # backends of a service that a proxy holds links to, unless none of them is usable
MAX_SAME_ZONE_LINKS = 8  # of `MAX_LINKS_PER_SERVICE`, backends in the proxy's own zone
UNUSED_LINK_TTL_S = 10.0  # a link that is no longer selected is closed after this time
REQUEST_COUNT_BITS = 32  # low bits of a request number; the bits above are the incarnation of the process
INCARNATION_BITS = 31
ANSWER_SLACK_S = 0.1  # for the answer to travel back; the remote gate enforces the deadline itself


MayFailOver = Callable[[], bool]


def never_fail_over() -> bool:
    """Failover policy for a request that may only go to one backend."""
    return False


class RequestNumbers:
    """Allocates request numbers that are unique over all proxies and all their incarnations."""

    def __init__(self, incarnation: int) -> None:
        self._next = incarnation << REQUEST_COUNT_BITS

    def allocate(self) -> int:
        """Return the next number."""
        self._next += 1
        return self._next


class Peer:
    """A backend as a target of requests: the proxy beside it and the status which that proxy reports."""

    def __init__(self, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone
        self.status = BackendStatus()
        self.status_at = 0.0  # loop time
        self.in_flight = 0  # attempts of this proxy
        self.silent = False  # a ping was not answered in time

    @property
    def service(self) -> str:
        """Name of the service that the backend runs."""
        return self.status.service

    @property
    def reachable(self) -> bool:
        """True if requests can be handed to it now."""
        raise NotImplementedError

    async def attempt(self, request: Request, may_fail_over: MayFailOver = never_fail_over) -> Outcome:
        """Hand one request to the gate beside the backend and wait for the outcome.

        `may_fail_over` is called once the link is silent; if it returns true the attempt fails, so that the
        request can go to another backend. Otherwise the attempt is awaited, as the backend may be running it.
        """
        raise NotImplementedError

    def cold(self, now: float) -> bool:
        """True if the last reported cold period of the backend has not ended."""
        return now < self.status_at + self.status.cold_ms / 1000


class LocalPeer(Peer):
    """The backend beside this proxy."""

    def __init__(self, address: str, zone: str, gate: Gate) -> None:
        super().__init__(address, zone)
        self._gate = gate
        self.status = gate.status()
        gate.on_status(self._on_status)

    def _on_status(self, status: BackendStatus) -> None:
        self.status = status
        self.status_at = asyncio.get_running_loop().time()

    @property
    def reachable(self) -> bool:
        return True

    async def attempt(self, request: Request, may_fail_over: MayFailOver = never_fail_over) -> Outcome:
        self.in_flight += 1
        try:
            return await self._gate.serve(request)
        finally:
            self.in_flight -= 1
            self.status.running = self._gate.admission.running
            self.status.waiting = self._gate.admission.waiting


class RemotePeer(Peer):
    """A backend beside another proxy, reached over a persistent link."""

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
        self._attempts: dict[int, tuple[asyncio.Future[Outcome], MayFailOver]] = {}
        self._bodies = BodySender()
        self._pinged_at = 0.0  # loop time of the first ping since anything was received; 0: none
        self._doubted_at = 0.0  # loop time since which the link has to prove that it works; 0: it has
        self._dialer = Dialer(parse_address(address), self._on_link_up, self._on_message, self._on_link_down)

    @property
    def link(self) -> Link | None:
        """The link to the other proxy, None while it is down."""
        return self._dialer.link

    @property
    def reachable(self) -> bool:
        return self._dialer.link is not None and not self.silent

    @property
    def connect_failures(self) -> int:
        """Failed connects since the last successful one."""
        return self._dialer.failures

    @property
    def unsent_bytes(self) -> int:
        """Bytes that are queued on the link to it."""
        return self._dialer.link.unsent if self._dialer.link is not None else 0

    def close(self) -> None:
        """Close the link; attempts in flight fail."""
        self._dialer.close()
        self._fail_all_attempts()

    def _on_link_up(self, link: Link) -> None:
        self.silent = False
        self._pinged_at = self._doubted_at = 0.0
        now = asyncio.get_running_loop().time()
        link.send(PeerHello(self._own_address, self._own_version(), now))

    def _on_link_down(self, link: Link) -> None:
        self.silent = False
        self.status.available = False
        self._fail_all_attempts()

    def _fail_all_attempts(self) -> None:
        attempts, self._attempts = self._attempts, {}
        for number, (future, _) in attempts.items():
            if not future.done():
                ran = not self._bodies.abandon(number)
                future.set_result(Failed(number, int(AttemptFailure.LINK_LOST), ran))

    def _on_message(self, link: Link, message: Message) -> None:
        if isinstance(message, Answer | RequestRejected | Failed):
            self.status.running = message.running
            self.status.waiting = message.waiting
            pending = self._attempts.pop(message.number, None)
            if pending is not None and not pending[0].done():
                pending[0].set_result(message)
        elif isinstance(message, BodyCredit):
            self._bodies.on_credit(link, message)
        elif isinstance(message, BackendStatus):
            self.status = message
            self.status_at = asyncio.get_running_loop().time()

    async def attempt(self, request: Request, may_fail_over: MayFailOver = never_fail_over) -> Outcome:
        link = self._dialer.link
        if link is None:
            return Failed(request.number, int(AttemptFailure.UNREACHABLE), False)
        loop = asyncio.get_running_loop()
        request.number = number = self._numbers.allocate()
        request.sent_at = loop.time()
        future: asyncio.Future[Outcome] = loop.create_future()
        self._attempts[number] = (future, may_fail_over)
        if len(request.body) > self._max_inline_bytes() and self.status.takes_offers:
            self._bodies.offer(request)
        self.in_flight += 1
        link.send(request)
        timer = loop.call_later(request.remaining_ms / 1000 + ANSWER_SLACK_S, self._on_timeout, number)
        try:
            return await future
        except asyncio.CancelledError:
            self._attempts.pop(number, None)
            link.send(Cancel(number))
            raise
        finally:
            timer.cancel()
            self._bodies.abandon(number)
            self.in_flight -= 1

    def _max_inline_bytes(self) -> int:
        """Return the size up to which a body is sent unasked: one that is refused only fills the receiver's link."""
        status = self.status
        full = status.waiting > 0 or max(status.running, self.in_flight) >= status.capacity
        return MAX_INLINE_BODY_BYTES_IF_FULL if full else MAX_INLINE_BODY_BYTES

    def _on_timeout(self, number: int) -> None:
        self._abandon_attempt(number, AttemptFailure.TIMED_OUT)

    def _abandon_attempt(self, number: int, failure: AttemptFailure) -> None:
        """Fail an attempt and cancel it at the other proxy, so that it neither starts nor continues there."""
        pending = self._attempts.pop(number, None)
        if pending is None or pending[0].done():
            return
        pending[0].set_result(Failed(number, int(failure), not self._bodies.abandon(number)))
        if self._dialer.link is not None:
            self._dialer.link.send(Cancel(number))

    def on_entry(self, entry: AgentEntry) -> None:
        """A registry reports a new state of the backend.

        While the link is up, also if it is silent, it tells the state, and tells it only once. If the registry tells
        another one, the link may be one whose far end is gone; it is pinged.
        """
        self.zone = entry.zone
        if self.link is None:
            self.status = BackendStatus(entry.service, entry.instance_id, False)
        elif (entry.instance_id, entry.available) != (self.status.instance_id, self.status.available):
            self._doubted_at = asyncio.get_running_loop().time()

    def check(self) -> None:
        """Ping a silent link; let its attempts fail over if nothing is received in time."""
        link = self._dialer.link
        if link is None or not (self._attempts or self.silent or self._doubted_at):
            return
        now = asyncio.get_running_loop().time()
        if link.last_heard > self._doubted_at:
            self._doubted_at = 0.0
        if link.last_heard > self._pinged_at:
            self._pinged_at = 0.0
            self.silent = False
        if link.silent_s() < PING_AFTER_SILENCE_S:
            return
        if not self._pinged_at:
            self._pinged_at = now
        link.send(Ping())
        if now - self._pinged_at > PING_TIMEOUT_S:
            self.silent = True
            self._fail_over()

    def _fail_over(self) -> None:
        for number, (future, may_fail_over) in list(self._attempts.items()):
            if not future.done() and (self._bodies.unfinished(number) or may_fail_over()):
                self._abandon_attempt(number, AttemptFailure.SILENT)


class PeerTable:
    """All known proxies, and links to those whose backends this proxy may use.

    Of a large service a proxy holds links to a few backends only, most of them in its own zone. They are
    selected by rendezvous hashing of both addresses, so that all proxies together use all backends evenly.
    """

    def __init__(self, own_address: str, zone: str, own_version: Callable[[], str]) -> None:
        self.entries: dict[str, AgentEntry] = {}  # other proxies, by address
        self.linked: dict[str, Peer] = {}
        self.on_proxy_added: Callable[[str], None] = lambda address: None
        self._own_address = own_address
        self._zone = zone
        self._own_version = own_version
        self._numbers = RequestNumbers(random.getrandbits(INCARNATION_BITS))
        self._unused_since: dict[str, float] = {}
        self._fully_linked_services: set[str] = set()  # services none of whose selected backends was usable
        self._check_task = spawn(self._run_checks())

    def add_local(self, peer: LocalPeer) -> None:
        """Add the backend beside this proxy as a target."""
        self.linked[peer.address] = peer

    @property
    def proxy_count(self) -> int:
        """Number of known proxies, including this one."""
        return len(self.entries) + 1

    @property
    def unsent_bytes_per_link(self) -> list[int]:
        """Bytes that are queued on each link to another proxy."""
        return [peer.unsent_bytes for peer in self.linked.values() if isinstance(peer, RemotePeer)]

    def linked_backends(self, service: str) -> list[Peer]:
        """Return the backends of a service that this proxy has links to."""
        return [peer for peer in self.linked.values() if peer.service == service]

    def link_all(self, service: str) -> None:
        """Link to all backends of a service, because none of the linked ones could be used."""
        if service not in self._fully_linked_services:
            self._fully_linked_services.add(service)
            self._update_links()

    def apply(self, entry: AgentEntry) -> None:
        """Apply a proxy's entry from a registry if its (life, sequence) is newer than the known one."""
        if entry.address == self._own_address:
            return
        known = self.entries.get(entry.address)
        if entry.removed:
            self._remove_entry(entry, known)
            return
        if known is not None and (entry.life, entry.sequence) <= (known.life, known.sequence):
            return
        self.entries[entry.address] = entry
        if known is None:
            self.on_proxy_added(entry.address)
        peer = self.linked.get(entry.address)
        if isinstance(peer, RemotePeer):
            peer.on_entry(entry)
        self._update_links()

    def _remove_entry(self, entry: AgentEntry, known: AgentEntry | None) -> None:
        peer = self.linked.get(entry.address)
        if known is None or known.life > entry.life or (peer is not None and peer.reachable):
            return
        del self.entries[entry.address]
        if isinstance(peer, RemotePeer):
            peer.close()
            del self.linked[entry.address]

    def _update_links(self) -> None:
        by_service: dict[str, list[AgentEntry]] = {}
        for entry in self.entries.values():
            by_service.setdefault(entry.service, []).append(entry)
        wanted: set[str] = set()
        for service, entries in by_service.items():
            wanted.update(self._select_addresses(service, entries))
        for address in wanted - set(self.linked):
            self._link(self.entries[address])
        self._drop_unused(wanted)

    def _select_addresses(self, service: str, entries: list[AgentEntry]) -> list[str]:
        if len(entries) <= MAX_LINKS_PER_SERVICE or service in self._fully_linked_services:
            return [entry.address for entry in entries]
        ordered = sorted(
            entries,
            key=lambda entry: (not entry.available, rendezvous_rank(self._own_address, entry.address)),
        )
        same_zone = [entry.address for entry in ordered if entry.zone == self._zone][:MAX_SAME_ZONE_LINKS]
        others = [entry.address for entry in ordered if entry.address not in same_zone]
        return same_zone + others[: MAX_LINKS_PER_SERVICE - len(same_zone)]

    def _link(self, entry: AgentEntry) -> None:
        peer = RemotePeer(entry.address, entry.zone, self._own_address, self._own_version, self._numbers)
        peer.status = BackendStatus(entry.service, entry.instance_id, False)
        self.linked[entry.address] = peer

    def _drop_unused(self, wanted: set[str]) -> None:
        now = asyncio.get_running_loop().time()
        for address, peer in list(self.linked.items()):
            if address in wanted or not isinstance(peer, RemotePeer) or peer.in_flight:
                self._unused_since.pop(address, None)
            elif now - self._unused_since.setdefault(address, now) > UNUSED_LINK_TTL_S:
                del self._unused_since[address]
                del self.linked[address]
                peer.close()

    async def _run_checks(self) -> None:
        checks = 0
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            checks += 1
            for peer in list(self.linked.values()):
                if isinstance(peer, RemotePeer):
                    peer.check()
            if checks % CHECKS_PER_LINK_SELECTION == 0:
                self._update_links()
