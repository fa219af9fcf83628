"""A request that is too long to be kept: it goes on to one backend while it comes, all but its last bytes.

A backend begins a request when its last byte has come. So what goes ahead is no shot yet, has never run, and ends
for good with its connection; the shot is the last bytes, and begins when the module orders it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.net import http
from lupinreach.net.channel import Channel
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded
from lupinreach.net.pool import Place, Pool


class UploadStopped(Exception):
    """The backend takes no more of it. Nothing ran."""


class Upload:
    """What went ahead, until the shot takes it over or it is let go."""

    def __init__(self, pool: Pool, place: Place, chunked: bool) -> None:
        self._pool = pool
        self._chunked = chunked
        self._channel: Channel | None = None
        self.place = place
        self.tail: bytes = b""  # what makes it whole

    async def run(
        self,
        head: bytes,
        received: bytes | bytearray,
        body: http.Body,
        on_progress: Callable[[int], None],
        timeout_s: float,
    ) -> None:
        """Send it ahead; each write may take so many s. Raises Stopped for the backend's end, Ended for the client's."""
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
        """The connection, for the shot that ends it; None once it was taken."""
        channel, self._channel = self._channel, None
        return channel

    def discard(self) -> None:
        """End what no shot took over."""
        if (channel := self.take_channel()) is not None:
            self._pool.discard(channel, ConnectionEnd.SEND_CANCELLED)
