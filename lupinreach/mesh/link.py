"""Long-lived TCP connections between mesh processes, carrying msgpack messages in both directions."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgpack

from lupinreach.mesh.delivery import is_undelivered
from lupinreach.mesh.messages import Message, Ping, Pong, UnknownMessage, decode, encode
from lupinreach.mesh.tasks import spawn

MAX_MESSAGE_BYTES = 96 << 20
MAX_SEND_BUFFER_BYTES = 80 << 20  # a link whose peer leaves more than this unread is aborted
USER_TIMEOUT_MS = 3000  # TCP_USER_TIMEOUT: unacknowledged data ends the connection
KEEPALIVE_IDLE_S = 10  # an end that has received nothing for this long lets its kernel probe the peer
KEEPALIVE_INTERVAL_S = 1  # between two probes; unanswered ones end the connection after `USER_TIMEOUT_MS`
INITIAL_RECONNECT_DELAY_S = 0.1  # doubled after each failed attempt
MIN_LINK_LIFETIME_S = 1.0  # a link that closes sooner counts as a failed attempt
ANSWERING_LIMIT_S = 0.8  # a pinged peer that has not answered for this long does not count as reached
STALL_THRESHOLD_S = 0.5  # a heartbeat that is late by more than this says that this process stood still

Address = tuple[str, int]
MessageCallback = Callable[["Link", Any], None]
ClosedCallback = Callable[["Link"], None]


@dataclass(frozen=True, slots=True)
class LinkPolicy:
    """How fast a dialler notices that a peer is gone, and how fast it connects again; times in seconds."""

    connect_timeout_s: float = 1.0
    max_reconnect_delay_s: float = 1.0
    ping_interval_s: float = 0.0  # 0: the dialler sends no pings
    answer_timeout_s: float = 0.0  # a link without a `Pong` for this long is closed and dialled again


DEFAULT_LINK_POLICY = LinkPolicy()
# Between core machines, where a partition must be noticed, and its end, well before the changes that follow are due.
CORE_LINK_POLICY = LinkPolicy(
    connect_timeout_s=0.5, max_reconnect_delay_s=0.25, ping_interval_s=0.3, answer_timeout_s=1.0
)


def parse_address(text: str) -> Address:
    """Parse `host:port`; raises ValueError for anything else."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit():
        raise ValueError(f"{text!r} is not host:port")
    return host, int(port)


class Link(asyncio.Protocol):
    """One connection. `on_message` receives each message; `on_closed` is called once, when it closes."""

    def __init__(self, on_message: MessageCallback, on_closed: ClosedCallback) -> None:
        self._on_message = on_message
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES, raw=False)
        self._loop = asyncio.get_running_loop()
        self.last_heard = self._loop.time()
        self.answered_at = self._loop.time()  # loop time of the last `Pong`; until then, of the connect
        self.open = False
        self.owner: Any = None  # set by the user of the link, for example to the peer's identity

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        tune(sock)
        enable_keepalive(sock)
        self.open = True
        self.last_heard = self.answered_at = self._loop.time()

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
        if isinstance(message, Pong):
            self.answered_at = self._loop.time()
            return
        try:
            self._on_message(self, message)
        except Exception as error:
            # An error in the handling of one message must not close the link for the others.
            context_message = f"{type(message).__name__} could not be handled"
            self._loop.call_exception_handler({"message": context_message, "exception": error})

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._on_closed(self)

    def send(self, message: Message) -> None:
        """Queue a message. On a closed link it is dropped: `on_closed` reports the close."""
        self.send_encoded(encode(message))

    def send_encoded(self, data: bytes) -> None:
        """Queue an encoded message, so that one sent to many links is encoded once."""
        if not self.open or self._transport is None:
            return
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES:
            self.abort()

    @property
    def unsent(self) -> int:
        """Bytes in the send buffer of this process, not yet handed to the kernel."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    @property
    def undelivered(self) -> bool:
        """Whether something that was sent has not arrived at the peer's machine."""
        return self.open and self._transport is not None and is_undelivered(self._transport)

    def silent_s(self) -> float:
        """Seconds since data was last received."""
        return self._loop.time() - self.last_heard

    def unanswered_s(self) -> float:
        """Seconds since the peer last answered a `Ping`."""
        return self._loop.time() - self.answered_at

    @property
    def answering(self) -> bool:
        """Whether the peer of a pinged link answered lately, which shows that both directions work."""
        return self.unanswered_s() <= ANSWERING_LIMIT_S

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()


def tune(sock: socket.socket | None) -> None:
    """Disable Nagle's algorithm, and time out a peer that acknowledges nothing."""
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def enable_keepalive(sock: socket.socket | None) -> None:
    """Let the kernel find out that the peer of an idle connection is gone: an end that only receives sees nothing of it."""
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)


class Dialer:
    """Maintains one link to an address, reconnecting with exponential backoff until closed.

    A peer that is cut off closes nothing, and an end that only receives never learns that the other one is gone. So
    where the policy says so, the dialler pings the peer and replaces a link on which it does not answer.
    """

    def __init__(
        self,
        address: Address,
        on_up: Callable[[Link], None],
        on_message: MessageCallback,
        on_down: ClosedCallback,
        policy: LinkPolicy = DEFAULT_LINK_POLICY,
    ) -> None:
        self.address = address
        self.link: Link | None = None
        self.failures = 0  # failed attempts since the last established link
        self._on_up = on_up
        self._on_message = on_message
        self._on_down = on_down
        self._policy = policy
        self._closing = False
        self._reconnect_delay_s = INITIAL_RECONNECT_DELAY_S
        self._connected_at = 0.0
        self._task = spawn(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._closing:
            link = Link(self._on_message, self._on_link_closed)
            try:
                async with asyncio.timeout(self._policy.connect_timeout_s):
                    await loop.create_connection(lambda link=link: link, *self.address)
            except (OSError, TimeoutError):
                self.failures += 1
                await self._wait_before_reconnect()
                continue
            self.failures = 0
            self.link = link
            self._connected_at = loop.time()
            self._on_up(link)
            if self._policy.ping_interval_s:
                await self._watch(link)
            return

    async def _watch(self, link: Link) -> None:
        """Ping the peer until the link closes; close it if the peer does not answer in time."""
        loop = asyncio.get_running_loop()
        while link.open:
            link.send(Ping())
            pinged_at = loop.time()
            await asyncio.sleep(self._policy.ping_interval_s)
            if loop.time() - pinged_at > self._policy.ping_interval_s + STALL_THRESHOLD_S:
                link.answered_at = loop.time()  # nothing could be received while this process stood still
            elif link.unanswered_s() > self._policy.answer_timeout_s:
                link.abort()

    async def _wait_before_reconnect(self) -> None:
        await asyncio.sleep(self._reconnect_delay_s * random.uniform(0.5, 1.0))
        self._reconnect_delay_s = min(self._policy.max_reconnect_delay_s, 2 * self._reconnect_delay_s)

    def _on_link_closed(self, link: Link) -> None:
        if link is not self.link:
            return
        self.link = None
        self._on_down(link)
        self._task.cancel()
        if not self._closing:
            self._task = spawn(self._reconnect())

    async def _reconnect(self) -> None:
        if asyncio.get_running_loop().time() - self._connected_at < MIN_LINK_LIFETIME_S:
            await self._wait_before_reconnect()
        else:
            self._reconnect_delay_s = INITIAL_RECONNECT_DELAY_S
        await self._connect()

    def close(self) -> None:
        """Stop reconnecting and close the link."""
        self._closing = True
        self._task.cancel()
        if self.link is not None:
            self.link.abort()


async def listen(address: Address, on_link: Callable[[], Link]) -> asyncio.Server:
    """Listen for incoming links on an address."""
    return await asyncio.get_running_loop().create_server(on_link, *address, backlog=1024, reuse_address=True)
