"""The bed's clients as asyncio protocols: they ask, wait, try again, and book what they got."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from lupinreach.bed.peers.messages import Reader
from lupinreach.bed.peers.servers import BODY
from lupinreach.bed.world import ledger as books
from lupinreach.bed.world.ground import Ground
from lupinreach.bed.world.network import Machine
from lupinreach.bed.world.spec import World
from lupinreach.bed.world.traffic import Arrival
from lupinreach.config import Address
from lupinreach.model import Idempotency
from lupinreach.net.ends import Ended
from lupinreach.net.http import Head

REFUSED = (429, 503)
DIAL_AGAIN = 100.0  # ms until a client that sends once more dials an agent that isn't there again


@dataclass(eq=False, slots=True)
class Try:
    """One try of an API call."""

    call: int
    number: int
    arrival: Arrival
    began: float  # ms, of the first try
    name: str
    asked: float  # ms
    waits: float  # ms
    timer: asyncio.TimerHandle | None = None
    again: bool = False  # on a new connection, since the first closed between two requests
    over: bool = False


class ClientHost:
    """The application beside one agent."""

    def __init__(self, ground: Ground, world: World, agent: int, machine: Machine, address: Address) -> None:
        self.ground = ground
        self.world = world
        self.agent = agent
        self.life = 0
        self.machine = machine
        self.address = address
        self.idle: list[ClientLine] = []  # each leaves when it is used, or closes
        self.names: dict[
            str, tuple[int, int, int]
        ] = {}  # of the tries that are open: agent, its life, product
        self.lines: dict[int, ClientLine] = {}  # of open tries, by API call; each leaves with its answer

    def ask(self, call: int, arrival: Arrival, number: int = 0, began: float | None = None) -> None:
        """Begin one try."""
        now, world = self.ground.now(), self.world
        product = world.products[arrival.product]
        began = now if began is None else began
        waits = min(product.timeout * world.clients.try_share, began + product.timeout - now)
        if waits <= 1:
            return
        one = Try(call, number, arrival, began, f"{call:x}.{number}", now, waits)
        customer = world.customers[arrival.customer].name if arrival.customer >= 0 else ""
        self.ground.ledger.note(
            books.ASKED,
            now,
            one.name,
            call,
            number,
            self.agent,
            product.name,
            customer,
            round(arrival.work, 3),
            round(waits, 3),
        )
        self.names[one.name] = self.agent, self.life, arrival.product
        one.timer = self.ground.loop.call_later(waits / 1000, self._left, one)
        self._begin(one)

    def _begin(self, one: Try) -> None:
        while self.idle:
            line = self.idle.pop()
            if line.usable:
                line.send(one, self.message(one))
                return
        self.dial(one)

    def dial(self, one: Try) -> None:
        """Ask it on a new connection."""
        if not one.over:
            line = ClientLine(self)
            line.wanted = one
            self.ground.connect(self.machine, line, self.address)

    def message(self, one: Try) -> bytes:
        arrival, world = one.arrival, self.world
        product = world.products[arrival.product]
        lines = [b"Host: app.svc", b"Req-Id: " + one.name.encode(), b"Req-Kind: " + product.name.encode()]
        left = one.waits if not one.again else max(1.0, one.waits - (self.ground.now() - one.asked))
        lines.append(b"Req-Deadline: %.3f" % (left / 1000))
        if arrival.hint:
            lines.append(b"Req-Cost: %.1f" % (arrival.hint * 1000))
        if arrival.customer >= 0:
            lines.append(b"Req-Owner: " + world.customers[arrival.customer].name.encode())
        if one.number and world.clients.marks:
            lines.append(b"Req-Retry: 1")
        path = b"/api" if arrival.key < 0 else b"/api/%x" % arrival.key
        work = b"%.3f" % arrival.work
        if product.kind is Idempotency.IDEMPOTENT:
            return b"GET %s?work=%s HTTP/1.1\r\n%s\r\n\r\n" % (path, work, b"\r\n".join(lines))
        lines.append(b"Content-Length: %d" % len(work))
        return b"POST %s HTTP/1.1\r\n%s\r\n\r\n%s" % (path, b"\r\n".join(lines), work)

    # How a try ends.

    def _over(self, one: Try) -> bool:
        if one.over:
            return False
        one.over = True
        if one.timer is not None:
            one.timer.cancel()
        # Its name is known for a while: a shot may still be on its way.
        self.ground.loop.call_later(5.0, self.names.pop, one.name, None)
        return True

    def _left(self, one: Try) -> None:
        if self._over(one):
            self.ground.ledger.note(books.LEFT, self.ground.now(), one.name)
            if one.call in self.lines:
                self.lines.pop(one.call).drop()
            self._again(one, harmless=False, wait=0.0)

    def got(self, one: Try, head: Head, body: bytes) -> None:
        self.lines.pop(one.call, None)
        if not self._over(one):
            return
        status = head.start_line[2]
        wait = float(head.headers.get(b"retry-after", b"0")) * 1000
        carried = body[len(BODY) :].decode("latin-1") if status == 200 and body.startswith(BODY) else ""
        self.ground.ledger.note(books.GOT, self.ground.now(), one.name, status, round(wait, 1), carried)
        if status != 200:
            self._again(one, harmless=status in REFUSED, wait=wait if self.world.clients.honours else 0.0)

    def lost(self, one: Try, why: str) -> None:
        self.lines.pop(one.call, None)
        if self._over(one):
            self.ground.ledger.note(books.LOST, self.ground.now(), one.name, why)
            self._again(one, harmless=why == "refused", wait=0.0)

    def _again(self, one: Try, harmless: bool, wait: float) -> None:
        kind = self.world.products[one.arrival.product].kind
        if one.number < self.world.clients.retries and (harmless or kind is Idempotency.IDEMPOTENT):
            after = max(wait, self.world.clients.wait)
            self.ground.loop.call_later(
                after / 1000, self.ask, one.call, one.arrival, one.number + 1, one.began
            )


class ClientLine(asyncio.Protocol):
    """One connection of a client's to its agent."""

    def __init__(self, host: ClientHost) -> None:
        self._host = host
        self._reader = Reader(answers=True)
        self._transport: Any = None
        self.wanted: Try | None = None  # waits for the connection to come up
        self.one: Try | None = None  # whose answer is to come
        self._last = ""
        self._used = False

    @property
    def usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        one, self.wanted = self.wanted, None
        if one is None or one.over:
            transport.close()
        else:
            self.send(one, self._host.message(one))

    def send(self, one: Try, message: bytes) -> None:
        self.one, self._last = one, one.name
        self._host.lines[one.call] = self
        self._transport.write(message)

    def data_received(self, data: bytes) -> None:
        if self.one is None:
            self._host.ground.ledger.note(books.EXTRA, self._host.ground.now(), self._last)
            self._transport.abort()
            return
        try:
            messages = self._reader.feed(data)
        except Ended:
            self._transport.abort()
            return
        for head, body in messages:
            if head.start_line[2] < 200:
                continue
            one, self.one = self.one, None
            if one is None:
                self._host.ground.ledger.note(books.EXTRA, self._host.ground.now(), self._last)
                self._transport.abort()
                return
            self._used = True
            self._host.got(one, head, body)
            if (
                head.keep_alive
                and len(self._host.idle) < self._host.world.clients.connections
                and self.usable
            ):
                self._host.idle.append(self)
            else:
                self._transport.close()

    def drop(self) -> None:
        """The client has gone."""
        self.one = None
        if self._transport is not None:
            self._transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        host = self._host
        if self in host.idle:
            host.idle.remove(self)
        one, self.one = self.one or self.wanted, None
        fresh, self.wanted = self.wanted is not None, None
        if one is None or one.over:
            return
        if fresh and one.again and host.world.clients.replays:
            host.ground.loop.call_later(DIAL_AGAIN / 1000, host.dial, one)  # until it has waited long enough
        elif fresh:
            host.lost(one, "refused")
        elif (self._used or host.world.clients.replays) and not self._reader.begun and not one.again:
            # Closed between two requests, and this one crossed with that: once more on a new connection. Some do so
            # whenever a connection breaks with no answer.
            one.again = True
            host.lines.pop(one.call, None)
            host.dial(one)
        else:
            host.lost(one, "reset" if exc else "closed")
