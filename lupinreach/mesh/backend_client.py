"""Connections to the application backend beside this process, one exchange at a time on each."""

from __future__ import annotations

import asyncio
import re
from typing import Any

from lupinreach.mesh.errors import AttemptFailure
from lupinreach.mesh.link import Address, tune
from lupinreach.mesh.reader import MessageReader, WholeMessage
from lupinreach.net.connection_end import ConnectionEnded

REQUEST_ID = b"lupinreach-request-id"
MOST_ANSWER = 64 << 20
MOST_SURPLUS = 4  # answers to earlier requests that are skipped ahead of the expected one
CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE = re.compile(rb"timeout=(\d+)")
IDLE_SHARE = 0.5  # of the time after which the backend closes an idle connection
DEFAULT_IDLE_S = 4.0
FRESH_IDLE_S = 1.0  # requests that can't be repeated use connections idle for no longer


class AttemptError(Exception):
    """An exchange that gave no answer; `ran` says if the backend may have run the request."""

    def __init__(self, failure: AttemptFailure, ran: bool) -> None:
        super().__init__(failure.name)
        self.failure = failure
        self.ran = ran


class BackendConnection(asyncio.Protocol):
    """One connection to the backend."""

    def __init__(self) -> None:
        self._reader = MessageReader(answers=True, most_body=MOST_ANSWER)
        self._transport: Any = None
        self._future: asyncio.Future[WholeMessage] | None = None
        self._request_id = b""
        self._surplus = 0
        self._any_id = False
        self.open = False
        self.reusable = False
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self.open = True
        tune(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = self.reusable = False
        if self._future is not None and not self._future.done():
            whole = None if exc is not None else self._reader.at_end()
            if whole is not None and self._is_expected(whole):
                self._future.set_result(whole)
            else:
                self._future.set_exception(AttemptError(AttemptFailure.BROKEN, ran=True))

    def data_received(self, data: bytes) -> None:
        if self._future is None or self._future.done():
            # Bytes that belong to no request: nothing may be sent on this connection any more.
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

    def _is_expected(self, whole: WholeMessage) -> bool:
        """Skip interim answers and those to other requests; the id tells which is which."""
        if whole.head.first[2] < 200:
            return False
        if self._any_id or whole.head.headers.get(REQUEST_ID) == self._request_id:
            return True
        self._surplus += 1
        self.reusable = False
        if self._surplus > MOST_SURPLUS or REQUEST_ID not in whole.head.headers:
            self._fail(AttemptFailure.GARBLED)
        return False

    def _finish(self, whole: WholeMessage) -> None:
        assert self._future is not None
        sent = self._transport.get_write_buffer_size() == 0  # the answer may come before a long body is read
        self.reusable = sent and whole.head.keeps and not self._reader.begun and not self._surplus
        stated = KEEP_ALIVE.search(whole.head.headers.get(b"keep-alive", b""))
        if stated:
            self.idle_limit_s = int(stated[1]) * IDLE_SHARE
        if not self._future.done():
            self._future.set_result(whole)

    def _fail(self, failure: AttemptFailure) -> None:
        if self._future is not None and not self._future.done():
            self._future.set_exception(AttemptError(failure, ran=True))
        self.close()

    async def exchange(self, data: bytes, request_id: bytes, bodiless: bool) -> WholeMessage:
        """Send one request and wait for its answer; AttemptError where none comes."""
        self._request_id = request_id
        self._surplus = 0
        self._reader.bodiless = bodiless
        self._future = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        try:
            return await self._future
        finally:
            self._future = None

    async def probe(self, data: bytes) -> WholeMessage:
        """As `exchange`, for a health request, whose answer carries no request id."""
        self._any_id = True
        try:
            return await self.exchange(data, b"", False)
        finally:
            self._any_id = False

    def close(self) -> None:
        """End the connection; a backend drops the request that was on it."""
        self.open = self.reusable = False
        if self._transport is not None:
            self._transport.abort()


class BackendPool:
    """Idle connections to one address."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.opened = 0
        self._idle: list[BackendConnection] = []

    async def take(self, repeatable: bool, timeout_s: float = CONNECT_TIMEOUT_S) -> BackendConnection:
        """A connection for one exchange; AttemptError where none comes up."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._drop_old(now)
        while self._idle and (repeatable or now - self._idle[-1].idle_since < FRESH_IDLE_S):
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
        self.opened += 1
        return connection

    def give_back(self, connection: BackendConnection) -> None:
        """Keep a connection for later, or close it where it can't be used again."""
        if connection.open and connection.reusable:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()

    def _drop_old(self, now: float) -> None:
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
        """Close all that stands idle, as when the backend has been replaced."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
