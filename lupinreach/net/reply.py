"""Streams an answer to the client while it arrives from the backend."""

from __future__ import annotations

import asyncio

from lupinreach.net import http
from lupinreach.net.channel import Channel

CLIENT_STALL_TIMEOUT_S = 10.0  # longest time in which a client may accept no byte of an answer


class ClientDisconnected(Exception):
    """The client has disconnected or stalled."""


class Reply:
    """One answer, written piece by piece.

    Each write waits until the kernel has taken the piece, which applies backpressure to the backend.
    """

    def __init__(
        self,
        channel: Channel,
        status: int,
        lines: list[http.Slice | bytes],
        length: int | None,
        keep_alive: bool,
        http10: bool,
    ) -> None:
        """`length` of the body if known; otherwise an HTTP/1.0 client reads until the connection closes."""
        self._channel = channel
        self._chunked = length is None and not http10
        framing = (
            b"Transfer-Encoding: chunked\r\n"
            if self._chunked
            else (b"" if length is None else b"Content-Length: %d\r\n" % length)
        )
        self._head = http.response_head(status, lines, keep_alive, framing)

    async def write(self, piece: http.Slice | bytes) -> None:
        """Write a piece of the body, the first one with the head; raises ClientDisconnected."""
        head, self._head = self._head, b""
        if self._chunked:
            piece = b"".join((head, b"%x\r\n" % len(piece), piece, b"\r\n"))
        elif head:
            piece = head + piece
        await self._write(piece)

    async def end(self) -> None:
        """Write the end of a chunked body."""
        if self._chunked:
            await self._write(self._head + b"0\r\n\r\n")

    async def _write(self, data: http.Slice | bytes) -> None:
        writing = self._channel.write(data)
        try:
            if not writing.done():
                async with asyncio.timeout(CLIENT_STALL_TIMEOUT_S):
                    await writing
            await writing
        except (OSError, TimeoutError):
            raise ClientDisconnected from None
