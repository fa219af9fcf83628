"""One TCP connection and the buffer that its messages are read into."""

from __future__ import annotations

import asyncio
import socket
import struct
from math import inf
from typing import Any, cast

from tornado.iostream import IOStream, StreamClosedError

from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded

INITIAL_BUFFER_BYTES = 4096
MIN_FREE_BUFFER_BYTES = 512  # bytes of free buffer below which a read gets a larger or a fresh one
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: a close that drops what is unsent and resets
TCPI_LAST_DATA_RECV = slice(52, 56)  # where Linux's tcp_info says how long ago data last came


class Channel:
    """Reads and writes one connection.

    Messages are slices of `buffer[start:end]`. Bytes once read are never overwritten: a full buffer is
    replaced by a new one, so a slice stays good for as long as somebody holds it.
    """

    def __init__(self, sock: socket.socket, max_unread: int, stall_timeout: float = inf) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = IOStream(sock, max_buffer_size=2 * max_unread)
        self._max_unread = max_unread  # bytes that may stand unread
        self.stall_timeout = stall_timeout  # s for which a message that has begun may stand still
        self.min_buffer = INITIAL_BUFFER_BYTES  # bytes of a fresh buffer
        self.buffer = bytearray(INITIAL_BUFFER_BYTES)
        self.start = self.end = 0
        self._reading: asyncio.Future[int] | None = None

    def listen(self) -> asyncio.Future[int]:
        """Go on reading; the future is done when something has come or the connection has ended."""
        if self._reading is None:
            self._ensure_space()
            try:
                target = cast(bytearray, memoryview(self.buffer)[self.end :])  # a slice serves as well
                self._reading = cast("asyncio.Future[int]", self.stream.read_into(target, partial=True))
            except StreamClosedError as closed:
                self._reading = _failed(closed)
        return self._reading

    async def fill(self, begun: bool = False) -> None:
        """Wait until more has been read; not for long where a message has begun."""
        reading = self.listen()
        while begun and self.stall_timeout < inf and not reading.done():
            await asyncio.wait([reading], timeout=self.stall_timeout)
            if not reading.done() and not self._pending():
                raise ConnectionEnded(ConnectionEnd.STALLED)
        try:
            self.end += await reading
        except StreamClosedError:
            raise ConnectionEnded(
                ConnectionEnd.CONNECTION_ERROR if self.stream.error else ConnectionEnd.CLOSED_EARLY
            ) from None
        self._reading = None

    def ensure_capacity(self, size: int) -> None:
        """Make the next reads fit a message of that many bytes."""
        if size > self._max_unread:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        if self._reading is None and len(self.buffer) - self.start < size:
            self._replace_buffer(size + MIN_FREE_BUFFER_BYTES)

    def _ensure_space(self) -> None:
        unread = self.end - self.start
        if unread >= self._max_unread:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        if len(self.buffer) - self.end < MIN_FREE_BUFFER_BYTES or (
            not unread and len(self.buffer) > self.min_buffer
        ):
            # Guards against idle connections that keep the large buffer of one large message.
            self._replace_buffer(max(self.min_buffer, 2 * unread))

    def _replace_buffer(self, size: int) -> None:
        old, self.buffer = self.buffer, bytearray(min(size, self._max_unread))
        unread = self.end - self.start
        self.buffer[:unread] = memoryview(old)[self.start : self.end]
        self.start, self.end = 0, unread

    @property
    def has_input(self) -> bool:
        """If bytes, or the end of the connection, have come since the last message, as the event loop sees it."""
        return self.end > self.start or self.stream.closed() or self.listen().done()

    @property
    def has_unread_input(self) -> bool:
        """If bytes, or the end of the connection, have come in that nobody has asked for yet."""
        return self.has_input or self._pending()

    def _pending(self) -> bool:
        """What the kernel holds and the event loop has not seen, such as a close by the other side."""
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    @property
    def ms_since_receive(self) -> float:
        """Ms since the kernel took in the last bytes of this connection, 0 where it doesn't say.

        Guards against a late event loop, or a wait to be accepted, that would pass for time not yet used.
        """
        if not hasattr(socket, "TCP_INFO") or self.stream.closed():
            return 0.0
        info = self.stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCPI_LAST_DATA_RECV.stop)
        return (
            float(struct.unpack("=I", info[TCPI_LAST_DATA_RECV])[0])
            if len(info) >= TCPI_LAST_DATA_RECV.stop
            else 0.0
        )

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Hand all of it to the kernel, in one write if it takes it; the future is done once it has."""
        try:
            return self.stream.write(data)
        except StreamClosedError as closed:
            return _failed(closed)

    async def drain(self, max_bytes: int, within: float) -> None:
        """End our side and drop what still comes, as far as that is little and soon over.

        Guards against a close with bytes unread, which would take the last answer away from the other side.
        """
        try:
            async with asyncio.timeout(within):
                self.stream.socket.shutdown(socket.SHUT_WR)
                while max_bytes > 0:
                    self.start = self.end
                    await self.fill()
                    max_bytes -= self.end - self.start
        except (ConnectionEnded, OSError, TimeoutError):
            pass

    def close(self) -> None:
        self.stream.close()

    def abort(self) -> None:
        """End it so that the other side can tell that what came is not whole."""
        if not self.stream.closed():
            self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.stream.close()


def _failed(why: Exception) -> asyncio.Future[Any]:
    future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
    future.set_exception(why)
    future.exception()  # counts as seen: whoever needs it asks again
    return future
