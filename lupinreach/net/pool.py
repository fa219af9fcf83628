"""The pool of connections to backends: opened on demand, reused, limited in number."""

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

IDLE_FRACTION = 0.5  # of the backends' own idle timeout, to close before they do
DEFAULT_IDLE_MS = 60_000.0  # idle timeout where the settings name none
SWEEP_FRACTION = 1 / 8  # of the idle limit: interval between two sweeps
STALL_FRACTION = 0.4  # of the connect timeout: an answer that pauses for longer is taken for lost
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0  # where the settings name none
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


async def connect(
    sockets: Sockets,
    address: Address,
    timeout_ms: float,
    max_unread: int = http.MAX_HEAD_BYTES + http.SINGLE_BUFFER_BODY_BYTES,
    stall_timeout: float = inf,
) -> Channel:
    """Open a connection within `timeout_ms`; raises ConnectionEnded."""
    try:
        channel = Channel(sockets.stream(address), max_unread, stall_timeout)
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
    """A backend at its address.

    Connections are pooled by both: after an address has passed to another backend, the connections to the
    former one are not used for it.
    """

    backend: int
    address: Address


class Pool:
    """All connections to backends. One in use belongs to its attempt, idle ones are kept here."""

    def __init__(
        self,
        max_connections: int,
        connect_timeout: float,
        idle: float,
        counters: Counters,
        max_answer_bytes: int = MAX_BODY_BYTES,
        sockets: Sockets | None = None,
    ) -> None:
        self._max_connections = max_connections
        self._connect_timeout = connect_timeout or DEFAULT_CONNECT_TIMEOUT_MS
        self._max_idle_s = (idle or DEFAULT_IDLE_MS) * IDLE_FRACTION / 1000
        self._counters = counters
        self._sockets = sockets or Sockets()
        self.max_answer_bytes = max_answer_bytes  # limit of an answer's body
        self.open = 0
        # Idle connections, oldest first, with their place and since when they are idle (s, loop time). One is
        # removed when it is used, ends, expires or is evicted.
        self._idle: dict[Channel, tuple[Place, float]] = {}
        self._by_place: dict[Place, list[Channel]] = {}  # the idle connections of each place, oldest first
        self._kept_alive: set[Place] = set()  # places whose connections are kept when idle

    async def acquire(self, place: Place) -> Channel:
        """A connection for one exchange: the most recently used idle one, else a new one.

        Raises ConnectionEnded if none can be had.
        """
        while place in self._by_place:
            channel = self._by_place[place][-1]
            self._remove(channel)
            if not channel.has_unread_input:
                return channel
            # The backend has closed it; an attempt written to it would end in a reset.
            self._close(channel, ConnectionEnd.CLOSED_BY_PEER)
        if self.open >= self._max_connections:
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
                http.MAX_HEAD_BYTES + http.SINGLE_BUFFER_BODY_BYTES,
                STALL_FRACTION * self._connect_timeout / 1000,
            )
        except BaseException:
            self.open -= 1
            raise
        self._counters.connections["backend opened"] += 1
        return channel

    def on_written(self, writing: asyncio.Future[None]) -> None:
        """Count an attempt as written unless the write has failed."""
        # Called by the write's future, since the attempt may be cancelled right after the write.
        self._counters.written += not writing.cancelled() and writing.exception() is None

    def enable_keep_alive(self, place: Place) -> None:
        """Keep idle connections to this place from now on."""
        self._kept_alive.add(place)

    def release(self, channel: Channel, place: Place) -> None:
        """Return a connection whose exchange is complete; input while it is idle closes it."""
        if place not in self._kept_alive:
            # The backend was removed while the attempt was in flight.
            self._close(channel, ConnectionEnd.IDLE)
            return
        self._idle[channel] = place, asyncio.get_running_loop().time()
        self._by_place.setdefault(place, []).append(channel)
        channel.listen().add_done_callback(lambda _: self._drop(channel, ConnectionEnd.CLOSED_BY_PEER))

    def discard(self, channel: Channel, end: ConnectionEnd) -> None:
        """Close a connection that was in use."""
        self._close(channel, end)

    def disable_keep_alive(self, place: Place) -> None:
        """Close the idle connections to a place that gets no more attempts."""
        self._kept_alive.discard(place)
        for channel in list(self._by_place.get(place, ())):
            self._drop(channel, ConnectionEnd.IDLE)

    def close_unused(self, used_backends: set[int], idle: float) -> int:
        """Close connections idle for `idle` ms to backends other than these; returns their number.

        Backends accept a limited number of connections, so an agent must not keep those to backends outside
        its subset.
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
        """Close expired idle connections periodically.

        Connections to backends not in `used()` expire after `unused` ms; 0: after the usual time.
        """
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
