"""HTTP/1.1 server of the mesh's processes: whole requests in, whole answers out, in order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from lupinreach.http1.message import CONTINUE, Head, answer_head
from lupinreach.mesh.errors import ANSWERS, ErrorKind
from lupinreach.mesh.link import Address, tune
from lupinreach.mesh.reader import MessageReader, WholeMessage
from lupinreach.mesh.tasks import spawn
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded

MOST_PIPELINED = 16  # requests read ahead on one connection
SWEEP_S = 0.5  # between two looks for connections that took too long
MIN_RETRY_AFTER_MS = 20
KEPT_BODY = 16 << 10  # bodies up to this size are not charged to the budget


@dataclass(slots=True)
class HttpRequest:
    """One whole request."""

    head: Head
    body: bytes
    received_at: float  # loop time when its last byte was read

    @property
    def method(self) -> bytes:
        return self.head.first[0]

    @property
    def target(self) -> bytes:
        return self.head.first[1]

    def header(self, name: bytes) -> bytes | None:
        """The value of a header, by its name in lower case."""
        return self.head.headers.get(name)


@dataclass(slots=True)
class HttpAnswer:
    """One whole answer; `headers` are whole lines."""

    status: int
    headers: bytes = b""
    body: bytes = b""


def error_answer(kind: ErrorKind, detail: str = "", retry_ms: float = 0.0) -> HttpAnswer:
    """The answer that the table gives for an error."""
    told = ANSWERS[kind]
    headers = b"Content-Type: text/plain\r\n"
    if told.retry:
        headers += b"Retry-After: %.3f\r\n" % (max(MIN_RETRY_AFTER_MS, retry_ms) / 1000)
    text = f"{told.text}: {detail}" if detail else told.text
    return HttpAnswer(told.status, headers, text.encode() + b"\n")


Handle = Callable[[HttpRequest], Awaitable[HttpAnswer]]


@dataclass(slots=True)
class ServerLimits:
    """What a client may send, and how long it may take; replaced when the configuration changes."""

    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class BufferBudget:
    """Bounds the bytes of message bodies that a process holds at once."""

    def __init__(self, most: int) -> None:
        self._most = most
        self.used = 0

    def take(self, size: int) -> bool:
        """Reserve so many bytes; false where there is no room."""
        if self.used + size > self._most:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Give reserved bytes back."""
        self.used -= size


@dataclass(slots=True)
class _Exchange:
    request: HttpRequest
    charged: int
    task: asyncio.Task[None] | None = None
    answer: HttpAnswer | None = None


class HttpServer:
    """Listens at one address and hands each request to a coroutine."""

    def __init__(
        self,
        handle: Handle,
        may_overlap: Callable[[HttpRequest], bool] = lambda request: False,
        budget: BufferBudget | None = None,
        on_fault: Callable[[BaseException], None] = lambda fault: None,
    ) -> None:
        self.handle = handle
        self.may_overlap = may_overlap
        self.on_fault = on_fault
        self.budget = budget or BufferBudget(64 << 20)
        self.limits = ServerLimits()
        self.stopping = False
        self.closed = False
        self.connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def listen(self, address: Address) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), *address, backlog=1024, reuse_address=True
        )
        self._sweeper = spawn(self._sweep())

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_S)
            now = loop.time()
            for connection in list(self.connections):
                connection.check(now)

    @property
    def busy(self) -> bool:
        """If a request is being read or served."""
        return any(connection.busy for connection in self.connections)

    def stop(self) -> None:
        """End each connection with its last answer from now on; idle ones at once."""
        self.stopping = True
        for connection in list(self.connections):
            connection.close_if_idle()

    def abandon(self) -> None:
        """Answer all that is still under way, as its outcome is unknown: better than a connection cut."""
        for connection in list(self.connections):
            connection.abandon()

    def close(self) -> None:
        """Stop accepting; a connection that comes up all the same is ended unread."""
        self.closed = True
        if self._server is not None:
            self._server.close()
        if self._sweeper is not None:
            self._sweeper.cancel()


@dataclass(slots=True)
class _Timing:
    """When the present phase of a connection began (loop time)."""

    since: float = 0.0
    head_done: bool = field(default=False)


class _Connection(asyncio.Protocol):
    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._reader = MessageReader(answers=False, most_body=server.limits.max_body_bytes)
        self._queue: deque[_Exchange] = deque()
        self._transport: Any = None
        self._timing = _Timing(self._loop.time())
        self._paused = False
        self._last = False  # no further request is read
        self._continued = False
        self._charged = 0  # bytes reserved for the body being read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        tune(transport.get_extra_info("socket"))
        if self._server.closed:
            self._last = True
            self._transport.abort()
            return
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._server.budget.release(self._charged)
        self._charged = 0
        for exchange in self._queue:
            self._server.budget.release(exchange.charged)
            if exchange.task is not None:
                exchange.task.cancel()
        self._queue.clear()

    @property
    def busy(self) -> bool:
        return bool(self._queue) or self._reader.begun

    def close_if_idle(self) -> None:
        if not self.busy and self._transport is not None:
            self._transport.close()

    def abandon(self) -> None:
        for exchange in self._queue:
            if exchange.answer is None:
                if exchange.task is not None:
                    exchange.task.cancel()
                begun = exchange.task is not None
                exchange.answer = error_answer(ErrorKind.OUTCOME_UNKNOWN if begun else ErrorKind.STOPPING)
        self._last = True
        self._flush()

    def check(self, now: float) -> None:
        """Enforce the time-outs of an idle connection and of a request that comes in pieces."""
        limits = self._server.limits
        if self._queue or self._last:
            return
        waited_ms = (now - self._timing.since) * 1000
        if not self._reader.begun:
            if waited_ms > limits.idle_timeout_ms:
                self._transport.close()
        elif self._reader.head is None:
            if waited_ms > limits.header_timeout_ms:
                self._refuse(ErrorKind.HEAD_TIMED_OUT)
        elif waited_ms > limits.idle_timeout_ms:
            self._refuse(ErrorKind.BODY_TIMED_OUT)

    def data_received(self, data: bytes) -> None:
        if self._last:
            return
        if not self._reader.begun or self._reader.head is not None:
            self._timing.since = self._loop.time()
        self._reader.feed(data)
        self._read()

    def _read(self) -> None:
        self._reader.most_body = self._server.limits.max_body_bytes
        while not self._last:
            if len(self._queue) >= MOST_PIPELINED:
                self._pause()
                return
            try:
                whole = self._reader.next()
            except ConnectionEnded as ended:
                self._refuse_ended(ended)
                return
            if whole is None:
                self._on_partial()
                return
            self._accept(whole)

    def _on_partial(self) -> None:
        head = self._reader.head
        if head is None:
            return
        if not self._charge(self._reader.body_bytes):
            self._refuse(ErrorKind.OUT_OF_MEMORY)
            return
        if head.headers.get(b"expect", b"").lower() == b"100-continue" and not self._continued:
            self._continued = True
            self._transport.write(CONTINUE)

    def _charge(self, size: int) -> bool:
        more = size - self._charged
        if size <= KEPT_BODY or more <= 0:
            return True
        if not self._server.budget.take(more):
            return False
        self._charged = size
        return True

    def _accept(self, whole: WholeMessage) -> None:
        self._continued = False
        if not self._charge(len(whole.body)):
            self._refuse(ErrorKind.OUT_OF_MEMORY)
            return
        self._last = not whole.head.keeps
        self._timing.since = self._loop.time()
        request = HttpRequest(whole.head, whole.body, self._timing.since)
        self._queue.append(_Exchange(request, self._charged))
        self._charged = 0
        self._start()

    def _start(self) -> None:
        """Start each request that no earlier one holds up."""
        for position, exchange in enumerate(self._queue):
            overlaps = self._server.may_overlap(exchange.request)
            if exchange.task is None and (position == 0 or overlaps):
                exchange.task = self._loop.create_task(self._serve(exchange))
            if not overlaps:
                return

    async def _serve(self, exchange: _Exchange) -> None:
        try:
            exchange.answer = await self._server.handle(exchange.request)
        except asyncio.CancelledError:
            raise
        except Exception as fault:
            self._server.on_fault(fault)
            exchange.answer = error_answer(ErrorKind.OUTCOME_UNKNOWN)
        self._flush()

    def _flush(self) -> None:
        while self._queue and self._queue[0].answer is not None:
            exchange = self._queue.popleft()
            self._server.budget.release(exchange.charged)
            assert exchange.answer is not None
            self._write(exchange.request, exchange.answer)
        self._timing.since = self._loop.time()
        if self._queue:
            self._start()
        if self._paused and len(self._queue) < MOST_PIPELINED:
            self._paused = False
            self._transport.resume_reading()
            self._read()

    def _write(self, request: HttpRequest, answer: HttpAnswer) -> None:
        ends = not self._queue and (self._last or (self._server.stopping and not self._reader.begun))
        framing = b"Content-Length: %d\r\n" % len(answer.body)
        body = b"" if request.method == b"HEAD" else answer.body
        self._transport.write(answer_head(answer.status, (answer.headers,), not ends, framing) + body)
        if ends:
            self._last = True
            self._transport.close()

    def _pause(self) -> None:
        if not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _refuse_ended(self, ended: ConnectionEnded) -> None:
        if ended.end is not ConnectionEnd.TOO_LARGE:
            self._refuse(ErrorKind.MALFORMED)
        elif self._reader.head is None:
            self._refuse(ErrorKind.HEAD_TOO_LARGE)
        else:
            self._refuse(ErrorKind.BODY_TOO_LARGE)

    def _refuse(self, kind: ErrorKind) -> None:
        """Answer what could not be read, after all that came before it, and end the connection."""
        self._last = True
        head = Head((b"GET", b"/", 0), {}, [], frozenset(), False, 0, False, 0)
        exchange = _Exchange(HttpRequest(head, b"", self._loop.time()), 0, answer=error_answer(kind))
        self._queue.append(exchange)
        self._flush()
