"""Pooled HTTP connections to the local application backend, one request at a time on each."""

from __future__ import annotations

import asyncio
import re
from typing import Any

from lupinreach.mesh.buffer_budget import BufferBudget
from lupinreach.mesh.delivery import is_undelivered
from lupinreach.mesh.errors import AttemptFailure
from lupinreach.mesh.link import Address, tune
from lupinreach.mesh.reader import CompleteMessage, MessageReader
from lupinreach.mesh.tasks import spawn
from lupinreach.net.connection_end import ConnectionEnded

REQUEST_ID = b"lupinreach-request-id"
NOT_EXECUTED = b"lupinreach-not-executed"
MAX_RESPONSE_BYTES = 64 << 20
WRITE_STEP_BYTES = 256 << 10  # of a body that is handed to the connection before it must have room again
REST_TIMEOUT_S = 10.0  # for a backend to read the rest of a body that it has answered already
DELIVERY_POLL_INTERVAL_S = 0.05
MAX_STALE_RESPONSES = 4  # responses to earlier requests that are skipped before the expected one
CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
IDLE_LIMIT_FRACTION = 0.5  # of the keep-alive timeout that the backend announces
DEFAULT_IDLE_LIMIT_S = 4.0
NON_REPEATABLE_IDLE_LIMIT_S = 1.0  # for requests that can't be retried: use only recently used connections


class AttemptError(Exception):
    """A request that got no response; `ran` tells whether the backend may have executed it."""

    def __init__(self, failure: AttemptFailure, ran: bool) -> None:
        super().__init__(failure.name)
        self.failure = failure
        self.ran = ran


class BackendConnection(asyncio.Protocol):
    """One connection to the backend."""

    def __init__(self) -> None:
        self._reader = MessageReader(responses=True, body_limit=MAX_RESPONSE_BYTES)
        self._transport: Any = None
        self._future: asyncio.Future[CompleteMessage] | None = None
        self._request_id = b""
        self._stale_responses = 0
        self._accepts_any_id = False
        self._unwritten = memoryview(b"")  # rest of the body of the request in progress, or of the last one
        self._has_room: asyncio.Future[None] | None = None  # set while the transport's buffer is full
        self.open = False
        self._owes_body = False
        self.reusable = False
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self.open = True
        tune(transport.get_extra_info("socket"))

    def pause_writing(self) -> None:
        self._has_room = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        if self._has_room is not None and not self._has_room.done():
            self._has_room.set_result(None)
        self._has_room = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = self.reusable = False
        self.resume_writing()
        if self._future is not None and not self._future.done():
            whole = None if exc is not None else self._reader.at_end()
            if whole is not None and self._is_expected(whole):
                self._future.set_result(whole)
            else:
                self._future.set_exception(AttemptError(AttemptFailure.BROKEN, ran=True))

    def data_received(self, data: bytes) -> None:
        if self.owes_body:
            return  # the connection is closed once the rest of the body is written
        if self._future is None or self._future.done():
            # Bytes outside any request: a later response could not be matched, so the connection is closed.
            self.close()
            return
        self._reader.feed(data)
        try:
            whole = self._reader.next()
            while whole is not None and not self._is_expected(whole):
                whole = self._reader.next()
        except ConnectionEnded:
            self._fail(AttemptFailure.GARBLED)
            return
        if whole is not None:
            self._finish(whole)

    def _is_expected(self, whole: CompleteMessage) -> bool:
        """False for interim responses and those to earlier requests, which the request id identifies."""
        if whole.head.start_line[2] < 200:
            return False
        if self._accepts_any_id or whole.head.headers.get(REQUEST_ID) == self._request_id:
            return True
        self._stale_responses += 1
        self.reusable = False
        if self._stale_responses > MAX_STALE_RESPONSES or REQUEST_ID not in whole.head.headers:
            self._fail(AttemptFailure.GARBLED)
        return False

    def _finish(self, whole: CompleteMessage) -> None:
        assert self._future is not None
        # A response may arrive before the end of a long request body was sent, and the backend may read on.
        request_sent = not self._unwritten and self._transport.get_write_buffer_size() == 0
        self._owes_body = not request_sent and NOT_EXECUTED not in whole.head.headers
        self.reusable = (
            request_sent and whole.head.keep_alive and not self._reader.begun and not self._stale_responses
        )
        announced = KEEP_ALIVE_TIMEOUT.search(whole.head.headers.get(b"keep-alive", b""))
        if announced:
            self.idle_limit_s = int(announced[1]) * IDLE_LIMIT_FRACTION
        if not self._future.done():
            self._future.set_result(whole)

    def _fail(self, failure: AttemptFailure) -> None:
        if self._future is not None and not self._future.done():
            self._future.set_exception(AttemptError(failure, ran=True))
        self.close()

    async def exchange(
        self, data: bytes, request_id: bytes, without_body: bool, large_body: bytes | bytearray = b""
    ) -> CompleteMessage:
        """Send one request and wait for its response; raises AttemptError if none arrives.

        `data` is the head and a small body. A `large_body` follows it step by step, so that it isn't copied whole.
        """
        self._request_id = request_id
        self._stale_responses = 0
        self._reader.without_body = without_body
        self._future = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        try:
            if large_body:
                await self._write_body(large_body, self._future)
            return await self._future
        finally:
            self._future = None

    async def _write_body(self, body: bytes | bytearray, response: asyncio.Future[CompleteMessage]) -> None:
        """Write a body as the connection takes it, until it is written or the exchange has ended."""
        self._unwritten = memoryview(body)
        while self._unwritten and not response.done():
            self._write_step()
            if self._has_room is not None:
                await asyncio.wait((self._has_room, response), return_when=asyncio.FIRST_COMPLETED)

    def _write_step(self) -> None:
        step, self._unwritten = self._unwritten[:WRITE_STEP_BYTES], self._unwritten[WRITE_STEP_BYTES:]
        self._transport.write(step)

    @property
    def owes_body(self) -> bool:
        """Whether the rest of a body is still to be delivered, though its response has arrived."""
        return self.open and self._owes_body

    @property
    def unwritten_bytes(self) -> int:
        """Size of the rest of a body that was not written yet."""
        return len(self._unwritten)

    async def deliver_rest(self) -> None:
        """Write the rest of a body whose response has arrived, until the backend's machine has all of it."""
        while self._unwritten and self.open:
            self._write_step()
            if self._has_room is not None:
                await self._has_room
        while self.open and is_undelivered(self._transport):
            await asyncio.sleep(DELIVERY_POLL_INTERVAL_S)

    async def probe(self, data: bytes) -> CompleteMessage:
        """Like `exchange`, for a health check, whose response carries no request id."""
        self._accepts_any_id = True
        try:
            return await self.exchange(data, b"", False)
        finally:
            self._accepts_any_id = False

    def close(self) -> None:
        """Abort the connection; the backend then drops the request in flight on it."""
        self.open = self.reusable = False
        self._unwritten = memoryview(b"")
        if self._transport is not None:
            self._transport.abort()


class BackendPool:
    """A pool of idle keep-alive connections to one address."""

    def __init__(self, address: Address, budget: BufferBudget | None = None) -> None:
        self.address = address
        self.opened_count = 0
        self.delivering = 0  # connections on which the rest of an answered body is being written
        self._budget = budget or BufferBudget(0)
        self._idle: list[BackendConnection] = []

    async def acquire(self, repeatable: bool, timeout_s: float = CONNECT_TIMEOUT_S) -> BackendConnection:
        """A connection for one exchange, idle or new; raises AttemptError if none can be opened."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._close_expired(now)
        while self._idle and (repeatable or now - self._idle[-1].idle_since < NON_REPEATABLE_IDLE_LIMIT_S):
            connection = self._idle.pop()
            if connection.open:
                return connection
        return await self._connect(timeout_s)

    async def _connect(self, timeout_s: float) -> BackendConnection:
        connection = BackendConnection()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, *self.address)
        except (OSError, TimeoutError):
            connection.close()
            raise AttemptError(AttemptFailure.UNREACHABLE, ran=False) from None
        self.opened_count += 1
        return connection

    def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        if connection.open and connection.reusable:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        elif connection.owes_body:
            spawn(self._close_after_body(connection))
        else:
            connection.close()

    async def _close_after_body(self, connection: BackendConnection) -> None:
        """Let the backend read the whole body that it has answered; its memory stays charged meanwhile."""
        size = connection.unwritten_bytes
        self._budget.charge(size)
        self.delivering += 1
        try:
            async with asyncio.timeout(REST_TIMEOUT_S):
                await connection.deliver_rest()
        except TimeoutError:
            pass
        finally:
            self.delivering -= 1
            self._budget.release(size)
            connection.close()

    def _close_expired(self, now: float) -> None:
        kept = []
        for connection in self._idle:
            if not connection.open:
                continue
            if now - connection.idle_since > connection.idle_limit_s:
                connection.close()
            else:
                kept.append(connection)
        self._idle = kept

    def close_idle(self) -> None:
        """Close all idle connections, for example after the backend was replaced."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
