"""An answer that goes on to the client while it comes from the backend."""

from __future__ import annotations

import asyncio

from lupinreach.net import http
from lupinreach.net.channel import Channel

STALLS = 10.0  # s for which a client may take nothing of an answer


class ClientGone(Exception):
    """The client's connection takes nothing more."""


class Reply:
    """One answer, written piece by piece. Each write ends when the kernel has taken it, which holds the backend back."""

    def __init__(
        self,
        channel: Channel,
        status: int,
        lines: list[http.Slice | bytes],
        length: int | None,
        keep_alive: bool,
        old: bool,
    ) -> None:
        """`length` of the body, where it is known; `old`: the client knows no chunks, so it ends with its connection."""
        self._channel = channel
        self._chunked = length is None and not old
        framing = (
            b"Transfer-Encoding: chunked\r\n"
            if self._chunked
            else (b"" if length is None else b"Content-Length: %d\r\n" % length)
        )
        self._head = http.response_head(status, lines, keep_alive, framing)

    async def write(self, piece: http.Slice | bytes) -> None:
        head, self._head = self._head, b""
        if self._chunked:
            piece = b"".join((head, b"%x\r\n" % len(piece), piece, b"\r\n"))
        elif head:
            piece = head + piece
        await self._hand_over(piece)

    async def end(self) -> None:
        if self._chunked:
            await self._hand_over(self._head + b"0\r\n\r\n")

    async def _hand_over(self, data: http.Slice | bytes) -> None:
        writing = self._channel.write(data)
        try:
            if not writing.done():
                async with asyncio.timeout(STALLS):
                    await writing
            await writing
        except (OSError, TimeoutError):
            raise ClientGone from None
