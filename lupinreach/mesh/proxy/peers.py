"""The other proxies: what is known of each, the link to it, and the attempts that are out on that link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.mesh.errors import AttemptFailure
from lupinreach.mesh.link import Dialer, Link, parse_address
from lupinreach.mesh.messages import (
    AgentEntry,
    Answer,
    BackendStatus,
    Cancel,
    Failed,
    Message,
    NotTaken,
    PeerHello,
    Ping,
    Request,
)
from lupinreach.mesh.proxy.gate import Gate, Outcome
from lupinreach.mesh.tasks import spawn

PING_AFTER_S = 0.35  # a link with attempts out that has been silent for so long is asked for a sign of life
SILENT_AFTER_S = 0.55  # and with none for so long after that it counts as silent
CHECK_S = 0.15
ANSWER_SLACK_S = 0.1  # for the answer to travel back, past the time that the far gate enforces


class Peer:
    """One backend as a target: the proxy beside it, and what that proxy tells."""

    def __init__(self, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone
        self.life = 0
        self.sequence = 0
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

    async def attempt(self, asked: Request) -> Outcome:
        """Hand one request to the gate beside the backend and wait for the outcome."""
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

    async def attempt(self, asked: Request) -> Outcome:
        self.in_flight += 1
        try:
            return await self._gate.serve(asked)
        finally:
            self.in_flight -= 1
            self.status.running = self._gate.admission.running
            self.status.waiting = self._gate.admission.waiting


class RemotePeer(Peer):
    """A backend behind another proxy, over a held link."""

    def __init__(self, address: str, zone: str, own_address: str, own_version: Callable[[], str]) -> None:
        super().__init__(address, zone)
        self._own_address = own_address
        self._own_version = own_version
        self._numbers = 0
        self._out: dict[int, tuple[asyncio.Future[Outcome], bool]] = {}  # with: may be repeated
        self._pinged_at = 0.0  # loop time of the first ping since anything was heard; 0: none
        self.on_other: Callable[[RemotePeer, Message], None] = lambda peer, message: None
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

    def close(self) -> None:
        """Give the peer up; attempts that are out fail."""
        self._dialer.close()
        self._fail_all()

    def _up(self, link: Link) -> None:
        self.silent = False
        self._pinged_at = 0.0
        link.send(PeerHello(self._own_address, self._own_version()))

    def _down(self, link: Link) -> None:
        self.silent = False
        self.status.available = False
        self._fail_all()

    def _fail_all(self) -> None:
        out, self._out = self._out, {}
        for number, (future, _) in out.items():
            if not future.done():
                future.set_result(Failed(number, int(AttemptFailure.LINK_LOST), True))

    def _message(self, link: Link, message: Message) -> None:
        if isinstance(message, Answer | NotTaken | Failed):
            self.status.running = message.running
            self.status.waiting = message.waiting
            found = self._out.pop(message.number, None)
            if found is not None and not found[0].done():
                found[0].set_result(message)
        elif isinstance(message, BackendStatus):
            self.status = message
            self.status_at = asyncio.get_running_loop().time()
        else:
            self.on_other(self, message)

    async def attempt(self, asked: Request) -> Outcome:
        link = self._dialer.link
        if link is None:
            return Failed(asked.number, int(AttemptFailure.UNREACHABLE), False)
        loop = asyncio.get_running_loop()
        self._numbers += 1
        asked.number = number = self._numbers
        future: asyncio.Future[Outcome] = loop.create_future()
        self._out[number] = (future, asked.repeatable)
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
            self.in_flight -= 1

    def _time_out(self, number: int) -> None:
        found = self._out.pop(number, None)
        if found is not None and not found[0].done():
            found[0].set_result(Failed(number, int(AttemptFailure.TIMED_OUT), True))

    def check(self) -> None:
        """Ask a silent link for a sign of life; give repeatable attempts up once it gives none."""
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
            self._fail_repeatable()

    def _fail_repeatable(self) -> None:
        for number, (future, repeatable) in list(self._out.items()):
            if repeatable and not future.done():
                del self._out[number]
                future.set_result(Failed(number, int(AttemptFailure.SILENT), True))


class PeerTable:
    """All known targets by address, kept in line with what registries tell."""

    def __init__(self, own_address: str, own_version: Callable[[], str]) -> None:
        self.by_address: dict[str, Peer] = {}
        self.on_other: Callable[[RemotePeer, Message], None] = lambda peer, message: None
        self._own_address = own_address
        self._own_version = own_version
        self._checker = spawn(self._check())

    def add_local(self, peer: LocalPeer) -> None:
        """Add the backend beside this proxy."""
        self.by_address[peer.address] = peer

    def of_service(self, service: str) -> list[Peer]:
        """The targets that serve a service, as far as known."""
        return [peer for peer in self.by_address.values() if peer.service == service]

    def apply(self, entry: AgentEntry) -> None:
        """Take in what a registry tells of a proxy."""
        if entry.address == self._own_address:
            return
        peer = self.by_address.get(entry.address)
        if entry.removed:
            if isinstance(peer, RemotePeer) and peer.life <= entry.life and peer.link is None:
                peer.close()
                del self.by_address[entry.address]
            return
        if peer is None:
            peer = RemotePeer(entry.address, entry.zone, self._own_address, self._own_version)
            peer.on_other = lambda peer, message: self.on_other(peer, message)
            self.by_address[entry.address] = peer
        if (entry.life, entry.sequence) <= (peer.life, peer.sequence):
            return
        peer.life, peer.sequence, peer.zone = entry.life, entry.sequence, entry.zone
        assert isinstance(peer, RemotePeer)
        if peer.link is None or not peer.status.instance_id:
            peer.status = BackendStatus(entry.service, entry.instance_id, False)

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            for peer in list(self.by_address.values()):
                if isinstance(peer, RemotePeer):
                    peer.check()
