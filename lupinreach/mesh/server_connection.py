"""One client connection of an HTTP server: its queue of pipelined requests, its timeouts and its end.

Data that reaches a closed socket resets its connection, and the kernel then drops what it has not sent yet. So a
connection whose last response says that it closes is closed in one direction first, and read, without use, until the
client has closed it; any other one is closed only when the client's kernel has everything.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from lupinreach.http1.message import CONTINUE, Head, response_head
from lupinreach.mesh.arrival import ArrivalClock
from lupinreach.mesh.buffer_budget import BufferBudget
from lupinreach.mesh.delivery import is_undelivered
from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.http_types import HttpRequest, HttpResponse, RequestHandler, ServerLimits, error_response
from lupinreach.mesh.link import tune
from lupinreach.mesh.reader import CompleteMessage, MessageReader
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded

MAX_PIPELINED_REQUESTS = 16  # requests read ahead per connection
LINGER_S = 2.0  # a client that has the last response and sends nothing for this long should have closed
MAX_LINGER_S = 10.0  # from the moment at which the last response was written until the connection is aborted
UNCHARGED_BODY_BYTES = 16 << 10  # bodies up to this size don't count against the buffer budget


class Server(Protocol):
    """What a connection uses of its server."""

    handle: RequestHandler
    may_overlap: Callable[[HttpRequest], bool]
    on_fault: Callable[[BaseException], None]
    arrivals: ArrivalClock | None
    budget: BufferBudget
    limits: ServerLimits
    stopping: bool  # each connection closes after its last response
    closed: bool  # no request is read that begins now
    connections: set[ServerConnection]


@dataclass(slots=True)
class _Exchange:
    """A queued request, its budget reservation and its response once known."""

    request: HttpRequest
    reserved_bytes: int
    task: asyncio.Task[None] | None = None
    response: HttpResponse | None = None


class ServerConnection(asyncio.Protocol):
    """One client connection with its queue of pipelined requests."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._reader = MessageReader(responses=False, body_limit=server.limits.max_body_bytes)
        self._queue: deque[_Exchange] = deque()
        self._transport: Any = None
        # Loop time; phases are receiving, serving, being idle, and the silence before the end.
        self._phase_started_at = self._loop.time()
        self._paused = False
        self._arrived_after = 0.0  # see `HttpRequest`; of the request being received
        self._arrived_while_paused = False  # the next data may have waited since reading was paused
        self._stops_reading = False  # no further request is read from this connection
        self._sent_continue = False
        self._reserved_bytes = 0  # budget reserved for the body being received
        self._lingers_since: float | None = None  # loop time at which the last response was written

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        tune(transport.get_extra_info("socket"))
        if self._server.closed:
            self._stops_reading = True
            self._transport.abort()
            return
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._server.budget.release(self._reserved_bytes)
        self._reserved_bytes = 0
        for exchange in self._queue:
            self._server.budget.release(exchange.reserved_bytes)
            if exchange.task is not None:
                exchange.task.cancel()
        self._queue.clear()

    @property
    def busy(self) -> bool:
        """True while a request is being received or served on this connection, or a response is being sent."""
        return self._awaits_response or self.sending

    @property
    def _awaits_response(self) -> bool:
        return bool(self._queue) or self._reader.begun

    @property
    def sending(self) -> bool:
        """True while a part of a response has not arrived: it could be lost with this process, or with the connection."""
        return self._transport is not None and is_undelivered(self._transport)

    def close_if_idle(self) -> None:
        """Close the connection if no request on it awaits its response and the last response has arrived."""
        if self._transport is None:
            return
        if self._lingers_since is not None:
            self._end_linger(self._loop.time(), self._lingers_since)
        elif not self.busy:
            self._transport.close()

    def _linger(self) -> None:
        """Send nothing more, and read until the client has closed: the last response says that it should."""
        self._stops_reading = True
        self._drop_partial_request()
        if self._transport.is_closing():
            return
        self._lingers_since = self._loop.time()
        try:
            self._transport.write_eof()
        except OSError:  # the client has reset the connection
            self._transport.abort()
            return
        if self._paused:
            self._paused = False
            self._transport.resume_reading()

    def _drop_partial_request(self) -> None:
        """Free the memory of a request that is not read to its end."""
        self._reader = MessageReader(responses=False, body_limit=0)
        self._server.budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _end_linger(self, now: float, since: float) -> None:
        """Close the connection if its client has had the time to do so."""
        if now - since > MAX_LINGER_S:
            self._transport.abort()
        elif now - max(since, self._phase_started_at) > LINGER_S and not self.sending:
            self._transport.close()

    def abandon(self) -> None:
        """Answer all queued requests with an error and read no more; see `HttpServer.abandon`."""
        for exchange in self._queue:
            if exchange.response is None:
                if exchange.task is not None:
                    exchange.task.cancel()
                begun = exchange.task is not None
                exchange.response = error_response(ErrorKind.OUTCOME_UNKNOWN if begun else ErrorKind.STOPPING)
        self._stops_reading = True
        self._flush()

    def check_timeouts(self, now: float) -> None:
        """Enforce the timeouts for idle connections and partly received requests."""
        limits = self._server.limits
        if self._lingers_since is not None:
            self._end_linger(now, self._lingers_since)
        if self._queue or self._stops_reading:
            return
        waited_ms = (now - self._phase_started_at) * 1000
        if not self._reader.begun:
            if waited_ms > limits.idle_timeout_ms:
                self._on_idle_timeout(now)
        elif self._reader.head is None:
            if waited_ms > limits.header_timeout_ms:
                self._reject(ErrorKind.HEAD_TIMED_OUT)
        elif waited_ms > limits.idle_timeout_ms:
            self._reject(ErrorKind.BODY_TIMED_OUT)

    def _on_idle_timeout(self, now: float) -> None:
        """Close the connection; its client is not idle while a response is on its way."""
        if self.sending:
            self._phase_started_at = now
        else:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        if self._stops_reading:
            self._phase_started_at = self._loop.time()
            return
        if self._server.closed and not self._reader.begun:
            self._refuse_to_read()
            return
        if not self._reader.begun or self._reader.head is not None:
            self._phase_started_at = self._loop.time()
        if not self._reader.begun:
            self._note_arrival()
        self._reader.feed(data)
        self._read()

    def _refuse_to_read(self) -> None:
        """Read no request that begins now; the response before it says that the connection closes, or one of its own."""
        self._stops_reading = True
        if not self._queue:
            self._reject(ErrorKind.STOPPING)

    def _note_arrival(self) -> None:
        """Note when the first byte of a request can have arrived at the earliest."""
        if self._server.arrivals is not None and not self._arrived_while_paused:
            self._arrived_after = self._server.arrivals.arrived_after()
        self._arrived_while_paused = False

    def _read(self) -> None:
        self._reader.body_limit = self._server.limits.max_body_bytes
        while not self._stops_reading:
            if len(self._queue) >= MAX_PIPELINED_REQUESTS:
                self._pause()
                return
            try:
                whole = self._reader.next()
            except ConnectionEnded as ended:
                self._reject_invalid(ended)
                return
            if whole is None:
                self._on_partial()
                return
            self._accept(whole)

    def _on_partial(self) -> None:
        """Reserve budget for a partly received body, and send `100 Continue` if it was requested."""
        head = self._reader.head
        if head is None:
            return
        if not self._charge(self._reader.body_bytes):
            self._reject(ErrorKind.OUT_OF_MEMORY)
            return
        if head.headers.get(b"expect", b"").lower() == b"100-continue" and not self._sent_continue:
            self._sent_continue = True
            self._transport.write(CONTINUE)

    def _charge(self, size: int) -> bool:
        """Extend the reservation to `size` bytes; false if the budget does not allow it."""
        extra_bytes = size - self._reserved_bytes
        if size <= UNCHARGED_BODY_BYTES or extra_bytes <= 0:
            return True
        if not self._server.budget.take(extra_bytes):
            return False
        self._reserved_bytes = size
        return True

    def _accept(self, whole: CompleteMessage) -> None:
        self._sent_continue = False
        if not self._charge(len(whole.body)):
            self._reject(ErrorKind.OUT_OF_MEMORY)
            return
        self._stops_reading = not whole.head.keep_alive
        self._phase_started_at = self._loop.time()
        request = HttpRequest(whole.head, whole.body, self._phase_started_at, self._arrived_after)
        self._queue.append(_Exchange(request, self._reserved_bytes))
        self._reserved_bytes = 0
        self._start()

    def _start(self) -> None:
        """Start each queued request that need not wait for an earlier one."""
        for position, exchange in enumerate(self._queue):
            may_overlap = self._server.may_overlap(exchange.request)
            if exchange.task is None and (position == 0 or may_overlap):
                exchange.task = self._loop.create_task(self._serve(exchange))
            if not may_overlap:
                return

    async def _serve(self, exchange: _Exchange) -> None:
        try:
            exchange.response = await self._server.handle(exchange.request)
        except asyncio.CancelledError:
            raise
        except Exception as fault:
            self._server.on_fault(fault)
            exchange.response = error_response(ErrorKind.OUTCOME_UNKNOWN)
        self._flush()

    def _flush(self) -> None:
        """Write the responses that are due in request order, then start and read further requests."""
        while self._queue and self._queue[0].response is not None:
            exchange = self._queue.popleft()
            self._server.budget.release(exchange.reserved_bytes)
            assert exchange.response is not None
            self._write(exchange.request, exchange.response)
        self._phase_started_at = self._loop.time()
        if self._queue:
            self._start()
        if self._paused and len(self._queue) < MAX_PIPELINED_REQUESTS:
            self._paused = False
            self._transport.resume_reading()
            self._read()

    def _write(self, request: HttpRequest, response: HttpResponse) -> None:
        closes = not self._queue and (
            self._stops_reading or (self._server.stopping and not self._reader.begun)
        )
        framing = b"Content-Length: %d\r\n" % len(response.body)
        body = b"" if request.method == b"HEAD" else response.body
        self._transport.write(response_head(response.status, (response.headers,), not closes, framing) + body)
        if closes:
            self._linger()

    def _pause(self) -> None:
        if not self._paused:
            self._paused = True
            self._arrived_while_paused = True
            self._transport.pause_reading()

    def _reject_invalid(self, ended: ConnectionEnded) -> None:
        if ended.end is not ConnectionEnd.TOO_LARGE:
            self._reject(ErrorKind.MALFORMED)
        elif self._reader.head is None:
            self._reject(ErrorKind.HEAD_TOO_LARGE)
        else:
            self._reject(ErrorKind.BODY_TOO_LARGE)

    def _reject(self, kind: ErrorKind) -> None:
        """Queue an error response for an unreadable request behind those before it, then close the connection."""
        self._stops_reading = True
        self._drop_partial_request()
        head = Head((b"GET", b"/", 0), {}, [], frozenset(), False, 0, False, 0)
        exchange = _Exchange(HttpRequest(head, b"", self._loop.time()), 0, response=error_response(kind))
        self._queue.append(exchange)
        self._flush()
