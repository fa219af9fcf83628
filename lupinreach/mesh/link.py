"""Held TCP connections between processes of the mesh, carrying msgpack messages both ways."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from typing import Any

import msgpack

from lupinreach.mesh.messages import Message, Ping, Pong, UnknownMessage, decode, encode
from lupinreach.mesh.tasks import spawn

MOST_MESSAGE = 96 << 20  # bytes of one message
MOST_UNSENT = 80 << 20  # bytes that a peer has not taken: beyond that it is given up
USER_TIMEOUT_MS = 3000  # unacknowledged bytes end the connection after so long
CONNECT_TIMEOUT_S = 1.0
FIRST_PAUSE_S = 0.1  # between two attempts to connect, doubled each time
MOST_PAUSE_S = 1.0
LIVED_S = 1.0  # a link that ends sooner counts as a failed attempt to connect

Address = tuple[str, int]
Handler = Callable[["Link", Any], None]
Closed = Callable[["Link"], None]


def parse_address(text: str) -> Address:
    """`host:port` as a pair; ValueError where it is none."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit():
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


class Link(asyncio.Protocol):
    """One connection. `on_message` gets each message; `on_closed` is called once when it ends."""

    def __init__(self, on_message: Handler, on_closed: Closed) -> None:
        self._on_message = on_message
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._unpacker = msgpack.Unpacker(max_buffer_size=MOST_MESSAGE, raw=False)
        self._loop = asyncio.get_running_loop()
        self.last_heard = self._loop.time()
        self.open = False
        self.owner: Any = None  # whatever the holder of this link associates with it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        tune(transport.get_extra_info("socket"))
        self.open = True
        self.last_heard = self._loop.time()

    def data_received(self, data: bytes) -> None:
        self.last_heard = self._loop.time()
        try:
            self._unpacker.feed(data)
        except msgpack.exceptions.BufferFull:
            self.abort()
            return
        while self.open:
            try:
                message = decode(self._unpacker.unpack())
            except msgpack.exceptions.OutOfData:
                return
            except UnknownMessage:
                continue
            except (ValueError, TypeError, msgpack.exceptions.UnpackException):
                self.abort()
                return
            self._deliver(message)

    def _deliver(self, message: Any) -> None:
        if isinstance(message, Ping):
            self.send(Pong(message.nonce))
            return
        try:
            self._on_message(self, message)
        except Exception as fault:
            # A fault of this process in one message must not end what else the link carries.
            what = f"{type(message).__name__} could not be handled"
            self._loop.call_exception_handler({"message": what, "exception": fault})

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._on_closed(self)

    def send(self, message: Message) -> None:
        """Queue a message; silently dropped on a closed link, whose holder hears of the close."""
        self.send_encoded(encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Queue a message that is encoded already, for one sent to many."""
        if not self.open or self._transport is None:
            return
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > MOST_UNSENT:
            self.abort()

    @property
    def unsent(self) -> int:
        """Bytes that the other side has not taken yet, as far as this process holds them."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def silent_s(self) -> float:
        """Seconds since anything was received."""
        return self._loop.time() - self.last_heard

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()


def tune(sock: socket.socket | None) -> None:
    """Send small messages at once and give up on a peer that acknowledges nothing."""
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Dialer:
    """Keeps one link to an address, connecting again with a growing pause until it is closed."""

    def __init__(
        self, address: Address, on_up: Callable[[Link], None], on_message: Handler, on_down: Closed
    ) -> None:
        self.address = address
        self.link: Link | None = None
        self.failures = 0  # attempts to connect since the last that came up
        self._on_up = on_up
        self._on_message = on_message
        self._on_down = on_down
        self._closing = False
        self._pause = FIRST_PAUSE_S
        self._up_at = 0.0
        self._task = spawn(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._closing:
            link = Link(self._on_message, self._lost)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(lambda link=link: link, *self.address)
            except (OSError, TimeoutError):
                self.failures += 1
                await self._rest()
                continue
            self.failures = 0
            self.link = link
            self._up_at = loop.time()
            self._on_up(link)
            return

    async def _rest(self) -> None:
        await asyncio.sleep(self._pause * random.uniform(0.5, 1.0))
        self._pause = min(MOST_PAUSE_S, 2 * self._pause)

    def _lost(self, link: Link) -> None:
        if link is not self.link:
            return
        self.link = None
        self._on_down(link)
        if not self._closing:
            self._task = spawn(self._reconnect())

    async def _reconnect(self) -> None:
        if asyncio.get_running_loop().time() - self._up_at < LIVED_S:
            await self._rest()
        else:
            self._pause = FIRST_PAUSE_S
        await self._connect()

    def close(self) -> None:
        """Give the address up."""
        self._closing = True
        self._task.cancel()
        if self.link is not None:
            self.link.abort()


async def listen(address: Address, on_link: Callable[[], Link]) -> asyncio.Server:
    """Accept links at an address."""
    return await asyncio.get_running_loop().create_server(on_link, *address, backlog=1024, reuse_address=True)
