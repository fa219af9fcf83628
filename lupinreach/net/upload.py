"""Forwards a request beyond the memory limits to one backend while it is read, but for its last bytes.

A backend starts a request when it has received the last byte. Until then there is no attempt, nothing has
run, and closing the connection drops the request. The attempt consists of the last bytes and starts when the
module sends it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.net import http
from lupinreach.net.channel import Channel
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded
from lupinreach.net.pool import Place, Pool


class UploadStopped(Exception):
    """The backend does not accept the rest of the upload. The request has not run."""


class Upload:
    """A forwarded request, until the attempt takes over its connection or it is discarded."""

    def __init__(self, pool: Pool, place: Place, chunked: bool) -> None:
        self._pool = pool
        self._chunked = chunked
        self._channel: Channel | None = None
        self.place = place
        self.tail: bytes = b""  # the last bytes, which complete the request

    async def run(
        self,
        head: bytes,
        received: bytes | bytearray,
        body: http.Body,
        on_progress: Callable[[int], None],
        timeout_s: float,
    ) -> None:
        """Forward all but the last bytes; each write may take `timeout_s`.

        Raises UploadStopped if the backend's connection ends, ConnectionEnded if the client's does.
        """
        try:
            self._channel = await self._pool.acquire(self.place)
        except ConnectionEnded:
            raise UploadStopped from None
        await self._write(head, timeout_s)
        held_back = bytes(received)
        del received
        while not body.done:
            await body.wait_more()
            on_progress(body.size)
            for piece in body.take_available():
                await self._write(self._frame(held_back), timeout_s)
                held_back = bytes(piece)
        self.tail = self._frame(held_back) + (b"0\r\n\r\n" if self._chunked else b"")

    def _frame(self, piece: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(piece), piece) if self._chunked and piece else piece

    async def _write(self, data: bytes, timeout_s: float) -> None:
        assert self._channel is not None
        try:
            async with asyncio.timeout(timeout_s):
                await self._channel.write(data)
        except (OSError, TimeoutError):
            raise UploadStopped from None

    def take_channel(self) -> Channel | None:
        """Hand the connection over to the attempt; None if it has been taken already."""
        channel, self._channel = self._channel, None
        return channel

    def discard(self) -> None:
        """Close the connection unless an attempt has taken it over."""
        if (channel := self.take_channel()) is not None:
            self._pool.discard(channel, ConnectionEnd.SEND_CANCELLED)
