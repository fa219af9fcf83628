"""The bed's clients as asyncio protocols: they send requests, time out, retry and record the outcomes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from lupinreach.bed.peers.messages import MessageReader
from lupinreach.bed.peers.servers import BODY_PREFIX
from lupinreach.bed.world import ledger as record_kinds
from lupinreach.bed.world.environment import Environment
from lupinreach.bed.world.network import Machine
from lupinreach.bed.world.spec import World
from lupinreach.bed.world.traffic import Arrival
from lupinreach.config import Address
from lupinreach.model import Idempotency
from lupinreach.net.connection_end import ConnectionEnded
from lupinreach.net.http import Head

REJECTION_STATUSES = (429, 503)
REDIAL_INTERVAL_MS = 100.0  # between the connection attempts of a client that resends a request


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One request of an API call, the first or a retry."""

    call: int
    retry_number: int
    arrival: Arrival
    first_sent_at: float  # ms, the call's first request
    name: str
    sent_at: float  # ms
    timeout: float  # ms
    timer: asyncio.TimerHandle | None = None
    redialled: bool = False  # resent on a new connection, since its first one closed without an answer
    ended: bool = False  # answered, failed or timed out


class ClientHost:
    """The client application on the machine of one agent."""

    def __init__(
        self, environment: Environment, world: World, agent: int, machine: Machine, address: Address
    ) -> None:
        self.environment = environment
        self.world = world
        self.agent = agent
        self.incarnation = 0
        self.machine = machine
        self.address = address
        self.idle_connections: list[ClientConnection] = []  # each is removed when it is used or closes
        self.open_requests: dict[
            str, tuple[int, int, int]
        ] = {}  # by request: agent, its incarnation, product
        self.connections: dict[
            int, ClientConnection
        ] = {}  # of open requests, by API call; each is removed with its answer

    def send_request(
        self, call: int, arrival: Arrival, retry_number: int = 0, first_sent_at: float | None = None
    ) -> None:
        """Sends a request of a call, unless the call's timeout is over."""
        now, world = self.environment.now(), self.world
        product = world.products[arrival.product]
        first_sent_at = now if first_sent_at is None else first_sent_at
        timeout = min(product.timeout * world.clients.try_share, first_sent_at + product.timeout - now)
        if timeout <= 1:
            return
        request = ClientRequest(
            call, retry_number, arrival, first_sent_at, f"{call:x}.{retry_number}", now, timeout
        )
        customer = world.customers[arrival.customer].name if arrival.customer >= 0 else ""
        self.environment.ledger.add_record(
            record_kinds.ASKED,
            now,
            request.name,
            call,
            retry_number,
            self.agent,
            product.name,
            customer,
            round(arrival.work, 3),
            round(timeout, 3),
        )
        self.open_requests[request.name] = self.agent, self.incarnation, arrival.product
        request.timer = self.environment.loop.call_later(timeout / 1000, self._timed_out, request)
        self._send(request)

    def _send(self, request: ClientRequest) -> None:
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.is_open:
                connection.send(request, self.request_bytes(request))
                return
        self.open_connection(request)

    def open_connection(self, request: ClientRequest) -> None:
        """Sends a request on a new connection, unless it has ended."""
        if not request.ended:
            connection = ClientConnection(self)
            connection.pending = request
            self.environment.connect(self.machine, connection, self.address)

    def request_bytes(self, request: ClientRequest) -> bytes:
        """The HTTP request as it is sent to the agent."""
        arrival, world = request.arrival, self.world
        product = world.products[arrival.product]
        header_lines = [
            b"Host: app.svc",
            b"Req-Id: " + request.name.encode(),
            b"Req-Kind: " + product.name.encode(),
        ]
        remaining = (
            request.timeout
            if not request.redialled
            else max(1.0, request.timeout - (self.environment.now() - request.sent_at))
        )
        header_lines.append(b"Req-Deadline: %.3f" % (remaining / 1000))
        if arrival.hint:
            header_lines.append(b"Req-Cost: %.1f" % (arrival.hint * 1000))
        if arrival.customer >= 0:
            header_lines.append(b"Req-Owner: " + world.customers[arrival.customer].name.encode())
        if request.retry_number and world.clients.marks:
            header_lines.append(b"Req-Retry: 1")
        path = b"/api" if arrival.key < 0 else b"/api/%x" % arrival.key
        work = b"%.3f" % arrival.work
        if product.kind is Idempotency.IDEMPOTENT:
            return b"GET %s?work=%s HTTP/1.1\r\n%s\r\n\r\n" % (path, work, b"\r\n".join(header_lines))
        header_lines.append(b"Content-Length: %d" % len(work))
        return b"POST %s HTTP/1.1\r\n%s\r\n\r\n%s" % (path, b"\r\n".join(header_lines), work)

    # The end of a request.

    def _end(self, request: ClientRequest) -> bool:
        """Marks a request as ended; False if it had ended already."""
        if request.ended:
            return False
        request.ended = True
        if request.timer is not None:
            request.timer.cancel()
        # Its id stays known for a while, since an attempt may still be on its way to a backend.
        self.environment.loop.call_later(5.0, self.open_requests.pop, request.name, None)
        return True

    def _timed_out(self, request: ClientRequest) -> None:
        if self._end(request):
            self.environment.ledger.add_record(record_kinds.LEFT, self.environment.now(), request.name)
            if request.call in self.connections:
                self.connections.pop(request.call).abort()
            self._retry(request, safe_to_retry=False, wait=0.0)

    def response_received(self, request: ClientRequest, head: Head, body: bytes) -> None:
        """Records the answer to a request and retries if it was not successful."""
        self.connections.pop(request.call, None)
        if not self._end(request):
            return
        status = head.start_line[2]
        wait = float(head.headers.get(b"retry-after", b"0")) * 1000
        body_request = (
            body[len(BODY_PREFIX) :].decode("latin-1")
            if status == 200 and body.startswith(BODY_PREFIX)
            else ""
        )
        self.environment.ledger.add_record(
            record_kinds.GOT, self.environment.now(), request.name, status, round(wait, 1), body_request
        )
        if status != 200:
            self._retry(
                request,
                safe_to_retry=status in REJECTION_STATUSES,
                wait=wait if self.world.clients.honours else 0.0,
            )

    def connection_failed(self, request: ClientRequest, why: str) -> None:
        """Records that the connection of a request ended without an answer, and retries."""
        self.connections.pop(request.call, None)
        if self._end(request):
            self.environment.ledger.add_record(record_kinds.LOST, self.environment.now(), request.name, why)
            self._retry(request, safe_to_retry=why == "refused", wait=0.0)

    def _retry(self, request: ClientRequest, safe_to_retry: bool, wait: float) -> None:
        kind = self.world.products[request.arrival.product].kind
        if request.retry_number < self.world.clients.retries and (
            safe_to_retry or kind is Idempotency.IDEMPOTENT
        ):
            after = max(wait, self.world.clients.wait)
            self.environment.loop.call_later(
                after / 1000,
                self.send_request,
                request.call,
                request.arrival,
                request.retry_number + 1,
                request.first_sent_at,
            )


class ClientConnection(asyncio.Protocol):
    """A connection of a client to its agent."""

    def __init__(self, host: ClientHost) -> None:
        self._host = host
        self._reader = MessageReader(expects_responses=True)
        self._transport: Any = None
        self.pending: ClientRequest | None = None  # sent once the connection is established
        self.request: ClientRequest | None = None  # whose answer is outstanding
        self._last_request = ""
        self._used = False

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent on it."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        request, self.pending = self.pending, None
        if request is None or request.ended:
            transport.close()
        else:
            self.send(request, self._host.request_bytes(request))

    def send(self, request: ClientRequest, request_bytes: bytes) -> None:
        self.request, self._last_request = request, request.name
        self._host.connections[request.call] = self
        self._transport.write(request_bytes)

    def data_received(self, data: bytes) -> None:
        if self.request is None:
            self._host.environment.ledger.add_record(
                record_kinds.EXTRA, self._host.environment.now(), self._last_request
            )
            self._transport.abort()
            return
        try:
            messages = self._reader.feed(data)
        except ConnectionEnded:
            self._transport.abort()
            return
        for head, body in messages:
            if head.start_line[2] < 200:
                continue
            request, self.request = self.request, None
            if request is None:
                self._host.environment.ledger.add_record(
                    record_kinds.EXTRA, self._host.environment.now(), self._last_request
                )
                self._transport.abort()
                return
            self._used = True
            self._host.response_received(request, head, body)
            if (
                head.keep_alive
                and len(self._host.idle_connections) < self._host.world.clients.connections
                and self.is_open
            ):
                self._host.idle_connections.append(self)
            else:
                self._transport.close()

    def abort(self) -> None:
        """Resets the connection; the client has given up on its request."""
        self.request = None
        if self._transport is not None:
            self._transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        host = self._host
        if self in host.idle_connections:
            host.idle_connections.remove(self)
        request, self.request = self.request or self.pending, None
        never_connected, self.pending = self.pending is not None, None
        if request is None or request.ended:
            return
        if never_connected and request.redialled and host.world.clients.replays:
            host.environment.loop.call_later(
                REDIAL_INTERVAL_MS / 1000, host.open_connection, request
            )  # repeated until the request times out
        elif never_connected:
            host.connection_failed(request, "refused")
        elif (
            (self._used or host.world.clients.replays)
            and not self._reader.has_partial_message
            and not request.redialled
        ):
            # An idle connection was closed while this request was on its way: resend it on a new connection. Clients
            # that replay requests do so whenever a connection breaks without an answer.
            request.redialled = True
            host.connections.pop(request.call, None)
            host.open_connection(request)
        else:
            host.connection_failed(request, "reset" if exc else "closed")
