"""A TCP connection and the buffer its messages are read into."""

from __future__ import annotations

import asyncio
import socket
import struct
from math import inf
from typing import Any, cast

from tornado.iostream import IOStream, StreamClosedError

from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded

INITIAL_BUFFER_BYTES = 4096
MIN_FREE_BUFFER_BYTES = 512  # with less free space the next read gets a larger or a new buffer
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: close drops unsent data and sends a reset
TCPI_LAST_DATA_RECV = slice(52, 56)  # tcpi_last_data_recv (ms) in Linux's tcp_info


class Channel:
    """Reads and writes one connection.

    Messages are slices of `buffer[start:end]`. Bytes that were read are never overwritten: a full buffer is
    replaced by a new one, so slices stay valid for as long as they are referenced.
    """

    def __init__(self, sock: socket.socket, max_unread: int, stall_timeout: float = inf) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = IOStream(sock, max_buffer_size=2 * max_unread)
        self._max_unread = max_unread  # limit of the unread bytes
        self.stall_timeout = stall_timeout  # s without new bytes after which a partial message is given up
        self.min_buffer = INITIAL_BUFFER_BYTES  # bytes of a new buffer
        self.buffer = bytearray(INITIAL_BUFFER_BYTES)
        self.start = self.end = 0
        self._reading: asyncio.Future[int] | None = None

    def listen(self) -> asyncio.Future[int]:
        """Start or continue a read; the future is done when bytes arrive or the connection ends."""
        if self._reading is None:
            self._ensure_space()
            try:
                # Tornado accepts any writable buffer.
                target = cast(bytearray, memoryview(self.buffer)[self.end :])
                self._reading = cast("asyncio.Future[int]", self.stream.read_into(target, partial=True))
            except StreamClosedError as closed:
                self._reading = _failed(closed)
        return self._reading

    async def fill(self, begun: bool = False) -> None:
        """Wait until more bytes have been read, for at most the stall timeout if a message has begun.

        Raises ConnectionEnded.
        """
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
        """Make sure that the buffer can hold a message of that many bytes in one piece."""
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
            # Idle connections must not keep the large buffer of one large message.
            self._replace_buffer(max(self.min_buffer, 2 * unread))

    def _replace_buffer(self, size: int) -> None:
        old, self.buffer = self.buffer, bytearray(min(size, self._max_unread))
        unread = self.end - self.start
        self.buffer[:unread] = memoryview(old)[self.start : self.end]
        self.start, self.end = 0, unread

    @property
    def has_input(self) -> bool:
        """If the event loop has seen bytes or the end of the connection since the last message."""
        return self.end > self.start or self.stream.closed() or self.listen().done()

    @property
    def has_unread_input(self) -> bool:
        """If bytes or the end of the connection have arrived, including those still in the kernel."""
        return self.has_input or self._pending()

    def _pending(self) -> bool:
        """If the kernel holds input that the event loop has not seen, such as a close by the peer."""
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    @property
    def ms_since_receive(self) -> float:
        """Ms since the kernel received the last bytes of this connection; 0 where it can't tell.

        Time lost in a late event loop or before the accept must count towards the client's deadline.
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
        """Write all data, in one system call if possible; the future is done once the kernel has taken it."""
        try:
            return self.stream.write(data)
        except StreamClosedError as closed:
            return _failed(closed)

    async def drain(self, max_bytes: int, timeout_s: float) -> None:
        """Shut down our side and discard input, up to `max_bytes` and for `timeout_s` at most.

        Closing with unread input would send a reset, which can discard the last answer at the peer.
        """
        try:
            async with asyncio.timeout(timeout_s):
                self.stream.socket.shutdown(socket.SHUT_WR)
                while max_bytes > 0:
                    self.start = self.end
                    await self.fill()
                    max_bytes -= self.end - self.start
        except (ConnectionEnded, OSError, TimeoutError):
            pass

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()

    def abort(self) -> None:
        """Reset the connection, so that the peer can tell that the message is incomplete."""
        if not self.stream.closed():
            self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.stream.close()


def _failed(why: Exception) -> asyncio.Future[Any]:
    future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
    future.set_exception(why)
    future.exception()  # marks it as retrieved; whoever awaits the future still gets it
    return future
