"""Connections to backends: opened when needed, kept between shots, at most so many in all."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from tornado.iostream import StreamClosedError

from lupinreach.config import Address
from lupinreach.net import http
from lupinreach.net.channel import Channel
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded
from lupinreach.net.counters import Counters
from lupinreach.net.protocol import MAX_BODY_BYTES
from lupinreach.net.sockets import Sockets

IDLE_FRACTION = 0.5  # of the time after which a backend closes an idle connection: well before it does
DEFAULT_IDLE_MS = 60_000.0  # ms, where that time is unknown
SWEEP_FRACTION = 1 / 8  # of the time that a connection may stand idle: between two looks for such
STALL_FRACTION = (
    0.4  # x the time to connect: an answer that has begun and brings nothing for longer won't end
)
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0  # ms, where the settings name no time
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


async def connect(
    sockets: Sockets,
    address: Address,
    timeout_ms: float,
    most: int = http.MOST_HEAD + http.SINGLE_BUFFER_BODY_BYTES,
    stall_timeout: float = inf,
) -> Channel:
    """A new connection, in `within` ms."""
    try:
        channel = Channel(sockets.stream(address), most, stall_timeout)
    except OSError:
        raise ConnectionEnded(ConnectionEnd.NO_DESCRIPTOR) from None
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            await channel.stream.connect(address)
    except TimeoutError:
        channel.close()
        raise ConnectionEnded(ConnectionEnd.CONNECT_TIMED_OUT) from None
    except StreamClosedError as failed:
        number = getattr(failed.real_error, "errno", None)
        raise ConnectionEnded(
            ConnectionEnd.NO_DESCRIPTOR if number in NO_DESCRIPTOR_ERRORS else ConnectionEnd.REFUSED
        ) from None
    except BaseException:
        channel.close()
        raise
    return channel


class Place(NamedTuple):
    """One backend at one address.

    Guards against an address that changes hands: what was connected to the one is never used for the other.
    """

    backend: int
    address: Address


class Pool:
    """All connections to backends. One in use belongs to its shot; the others stand idle here."""

    def __init__(
        self,
        most: int,
        connect_timeout: float,
        idle: float,
        counters: Counters,
        max_answer_bytes: int = MAX_BODY_BYTES,
        sockets: Sockets | None = None,
    ) -> None:
        self._most = most
        self._connect_timeout = connect_timeout or DEFAULT_CONNECT_TIMEOUT_MS
        self._max_idle_s = (idle or DEFAULT_IDLE_MS) * IDLE_FRACTION / 1000
        self._counters = counters
        self._sockets = sockets or Sockets()
        self.max_answer_bytes = max_answer_bytes  # bytes of a body
        self.open = 0
        # Idle connections, oldest first, and since when; one leaves when it is used, ends, gets old or has to
        # make room.
        self._idle: dict[Channel, tuple[Place, float]] = {}
        self._by_place: dict[Place, list[Channel]] = {}  # the same; a place leaves with its last
        self._kept_alive: set[Place] = set()  # to which idle connections are kept; `forget` takes them out

    async def acquire(self, place: Place) -> Channel:
        """A connection to this place for one exchange: the one that was used last, else a new one."""
        while place in self._by_place:
            channel = self._by_place[place][-1]
            self._remove(channel)
            if not channel.has_unread_input:
                return channel
            # Guards against a shot that is written to a connection that the backend has closed: a reset.
            self._close(channel, ConnectionEnd.CLOSED_BY_PEER)
        if self.open >= self._most:
            if not self._idle:
                raise ConnectionEnded(ConnectionEnd.NO_DESCRIPTOR)
            oldest = next(iter(self._idle))
            self._remove(oldest)
            self._close(oldest, ConnectionEnd.EVICTED)
        self.open += 1
        try:
            channel = await connect(
                self._sockets,
                place.address,
                self._connect_timeout,
                http.MOST_HEAD + http.SINGLE_BUFFER_BODY_BYTES,
                STALL_FRACTION * self._connect_timeout / 1000,
            )
        except BaseException:
            self.open -= 1
            raise
        self._counters.connections["backend opened"] += 1
        return channel

    def on_written(self, writing: asyncio.Future[None]) -> None:
        """A shot has been written, whole if the write has not failed."""
        # Counted by the write itself, since a shot may be called off the moment after.
        self._counters.written += not writing.cancelled() and writing.exception() is None

    def enable_keep_alive(self, place: Place) -> None:
        """From now on connections to this place are worth keeping."""
        self._kept_alive.add(place)

    def release(self, channel: Channel, place: Place) -> None:
        """Keep a connection on which nothing is out; it is dropped as soon as anything comes on it."""
        if place not in self._kept_alive:
            # Guards against a shot that ends after its backend has gone and would leave its connection here.
            self._close(channel, ConnectionEnd.IDLE)
            return
        self._idle[channel] = place, asyncio.get_running_loop().time()
        self._by_place.setdefault(place, []).append(channel)
        channel.listen().add_done_callback(lambda _: self._drop(channel, ConnectionEnd.CLOSED_BY_PEER))

    def discard(self, channel: Channel, end: ConnectionEnd) -> None:
        """Close a connection that was in use."""
        self._close(channel, end)

    def disable_keep_alive(self, place: Place) -> None:
        """Close what stands idle to a place that gets nothing more."""
        self._kept_alive.discard(place)
        for channel in list(self._by_place.get(place, ())):
            self._drop(channel, ConnectionEnd.IDLE)

    def close_unused(self, used_backends: set[int], idle: float) -> int:
        """Close what has stood idle for so many ms to any backend but these; how many that were.

        Guards against connections to backends that an agent has exchanged for others, where a backend holds only so many.
        """
        idle_since = asyncio.get_running_loop().time() - idle / 1000
        unused_channels = [
            c
            for c, (place, since) in self._idle.items()
            if since <= idle_since and place.backend not in used_backends
        ]
        for channel in unused_channels:
            self._drop(channel, ConnectionEnd.IDLE)
        return len(unused_channels)

    async def sweep(self, used: Callable[[], set[int] | None], unused: float) -> None:
        """Close what has stood idle for too long: to a backend that is not `used` for `unused` ms, 0: as to any other."""
        interval = min(self._max_idle_s * SWEEP_FRACTION, unused / 1000 or inf)
        while True:
            await asyncio.sleep(interval)
            idle_since = asyncio.get_running_loop().time() - self._max_idle_s
            while self._idle:
                channel = next(iter(self._idle))
                if self._idle[channel][1] > idle_since:
                    break
                self._drop(channel, ConnectionEnd.IDLE)
            if unused and (used_backends := used()) is not None:
                self.close_unused(used_backends, unused)

    def _drop(self, channel: Channel, end: ConnectionEnd) -> None:
        if channel in self._idle:
            self._remove(channel)
            self._close(channel, end)

    def _remove(self, channel: Channel) -> None:
        place, _ = self._idle.pop(channel)
        others = self._by_place[place]
        others.remove(channel)
        if not others:
            del self._by_place[place]

    def _close(self, channel: Channel, end: ConnectionEnd) -> None:
        self.open -= 1
        self._counters.connections[f"backend {end.value}"] += 1
        channel.close()
