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
from lupinreach.net.counters import Counters
from lupinreach.net.ends import End, Ended
from lupinreach.net.protocol import MOST_BODY
from lupinreach.net.sockets import Sockets

IDLE_SHARE = 0.5  # of the time after which a backend closes an idle connection: well before it does
MOST_IDLE = 60_000.0  # ms, where that time is unknown
SWEEP = 1 / 8  # of the time that a connection may stand idle: between two looks for such
STANDS_STILL = 0.4  # x the time to connect: an answer that has begun and brings nothing for longer won't end
CONNECT_WITHIN = 1000.0  # ms, where the settings name no time
OUT_OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


async def connect(
    sockets: Sockets,
    address: Address,
    within: float,
    most: int = http.MAX_HEAD_BYTES + http.IN_PLACE,
    patience: float = inf,
) -> Channel:
    """A new connection, in `within` ms."""
    try:
        channel = Channel(sockets.stream(address), most, patience)
    except OSError:
        raise Ended(End.NO_ROOM) from None
    try:
        async with asyncio.timeout(within / 1000):
            await channel.stream.connect(address)
    except TimeoutError:
        channel.close()
        raise Ended(End.NEVER_UP) from None
    except StreamClosedError as failed:
        number = getattr(failed.real_error, "errno", None)
        raise Ended(End.NO_ROOM if number in OUT_OF_DESCRIPTORS else End.REFUSED) from None
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
        most_answer: int = MOST_BODY,
        sockets: Sockets | None = None,
    ) -> None:
        self._most = most
        self._connect_timeout = connect_timeout or CONNECT_WITHIN
        self._idle_for = (idle or MOST_IDLE) * IDLE_SHARE / 1000
        self._counters = counters
        self._sockets = sockets or Sockets()
        self.most_answer = most_answer  # bytes of a body
        self.open = 0
        # Idle connections, oldest first, and since when; one leaves when it is used, ends, gets old or has to
        # make room.
        self._idle: dict[Channel, tuple[Place, float]] = {}
        self._by_place: dict[Place, list[Channel]] = {}  # the same; a place leaves with its last
        self._kept: set[Place] = set()  # to which idle connections are kept; `forget` takes them out

    async def take(self, place: Place) -> Channel:
        """A connection to this place for one exchange: the one that was used last, else a new one."""
        while place in self._by_place:
            channel = self._by_place[place][-1]
            self._remove(channel)
            if not channel.heard:
                return channel
            # Guards against a shot that is written to a connection that the backend has closed: a reset.
            self._close(channel, End.LEFT)
        if self.open >= self._most:
            if not self._idle:
                raise Ended(End.NO_ROOM)
            oldest = next(iter(self._idle))
            self._remove(oldest)
            self._close(oldest, End.MADE_ROOM)
        self.open += 1
        try:
            channel = await connect(
                self._sockets,
                place.address,
                self._connect_timeout,
                http.MAX_HEAD_BYTES + http.IN_PLACE,
                STANDS_STILL * self._connect_timeout / 1000,
            )
        except BaseException:
            self.open -= 1
            raise
        self._counters.connections["backend opened"] += 1
        return channel

    def wrote(self, writing: asyncio.Future[None]) -> None:
        """A shot has been written, whole if the write has not failed."""
        # Counted by the write itself, since a shot may be called off the moment after.
        self._counters.written += not writing.cancelled() and writing.exception() is None

    def keep(self, place: Place) -> None:
        """From now on connections to this place are worth keeping."""
        self._kept.add(place)

    def give_back(self, channel: Channel, place: Place) -> None:
        """Keep a connection on which nothing is out; it is dropped as soon as anything comes on it."""
        if place not in self._kept:
            # Guards against a shot that ends after its backend has gone and would leave its connection here.
            self._close(channel, End.IDLE)
            return
        self._idle[channel] = place, asyncio.get_running_loop().time()
        self._by_place.setdefault(place, []).append(channel)
        channel.listen().add_done_callback(lambda _: self._drop(channel, End.LEFT))

    def discard(self, channel: Channel, end: End) -> None:
        """Close a connection that was in use."""
        self._close(channel, end)

    def forget(self, place: Place) -> None:
        """Close what stands idle to a place that gets nothing more."""
        self._kept.discard(place)
        for channel in list(self._by_place.get(place, ())):
            self._drop(channel, End.IDLE)

    def leave(self, but: set[int], idle: float) -> int:
        """Close what has stood idle for so many ms to any backend but these; how many that were.

        Guards against connections to backends that an agent has exchanged for others, where a backend holds only so many.
        """
        old = asyncio.get_running_loop().time() - idle / 1000
        left = [c for c, (place, since) in self._idle.items() if since <= old and place.backend not in but]
        for channel in left:
            self._drop(channel, End.IDLE)
        return len(left)

    async def sweep(self, used: Callable[[], set[int] | None], unused: float) -> None:
        """Close what has stood idle for too long: to a backend that is not `used` for `unused` ms, 0: as to any other."""
        every = min(self._idle_for * SWEEP, unused / 1000 or inf)
        while True:
            await asyncio.sleep(every)
            old = asyncio.get_running_loop().time() - self._idle_for
            while self._idle:
                channel = next(iter(self._idle))
                if self._idle[channel][1] > old:
                    break
                self._drop(channel, End.IDLE)
            if unused and (but := used()) is not None:
                self.leave(but, unused)

    def _drop(self, channel: Channel, end: End) -> None:
        if channel in self._idle:
            self._remove(channel)
            self._close(channel, end)

    def _remove(self, channel: Channel) -> None:
        place, _ = self._idle.pop(channel)
        beside = self._by_place[place]
        beside.remove(channel)
        if not beside:
            del self._by_place[place]

    def _close(self, channel: Channel, end: End) -> None:
        self.open -= 1
        self._counters.connections[f"backend {end.value}"] += 1
        channel.close()
