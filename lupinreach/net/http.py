"""Reads HTTP/1.1 heads and bodies from a channel."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from lupinreach.http1.message import (
    CONTINUE,
    MAX_HEAD_BYTES,
    ChunkedDecoder,
    Head,
    Message,
    Slice,
    forwarded_headers,
    message,
    parse_head,
    request,
    response,
    response_head,
)
from lupinreach.net.channel import Channel
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded

__all__ = [
    "CONTINUE",
    "SINGLE_BUFFER_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "Body",
    "ChunkedDecoder",
    "Head",
    "Message",
    "Slice",
    "response",
    "answer_body",
    "response_head",
    "message",
    "forwarded_headers",
    "read_answer",
    "read_answer_head",
    "read_body",
    "read_head",
    "request",
]

SINGLE_BUFFER_BODY_BYTES = 64 << 10  # bodies up to this size are read into one buffer without a copy
MAX_INTERIM_ANSWERS = 8  # 1xx answers before the final one

OnProgress = Callable[[int], None]


async def read_head(channel: Channel, answer: bool) -> Head:
    """Read one head, of an answer or of a request."""
    while True:
        if not answer:
            while channel.buffer.startswith(b"\r\n", channel.start, channel.end):
                channel.start += 2  # empty lines before a request are ignored
        head = parse_head(channel.buffer, channel.start, channel.end, answer)
        if head is not None:
            channel.start += head.size
            return head
        await channel.fill(begun=channel.end > channel.start)


class Body:
    """Reads the body of one message incrementally and removes its framing.

    `until_close`: the body of an answer that ends with its connection.
    """

    def __init__(self, channel: Channel, head: Head, max_bytes: int, until_close: bool = False) -> None:
        self.length = None if head.chunked else head.length if until_close else head.length or 0
        if (self.length or 0) > max_bytes:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        self.size = 0  # bytes taken so far
        self.done = self.length == 0
        self._channel = channel
        self._max_bytes = max_bytes
        self._chunks = ChunkedDecoder() if head.chunked else None

    def take_available(self) -> list[Slice]:
        """The bytes that have arrived and were not taken yet."""
        channel = self._channel
        area = memoryview(channel.buffer)[channel.start : channel.end]
        if self._chunks is not None:
            pieces, used = self._chunks.feed(area)
            self.size += sum(map(len, pieces))
            self.done = self._chunks.done
        else:
            piece = area if self.length is None else area[: self.length - self.size]
            pieces, used = [piece] if len(piece) else [], len(piece)
            self.size += used
            self.done = self.done or self.size == self.length
        channel.start += used
        if self.size > self._max_bytes:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        return pieces

    async def wait_more(self) -> None:
        """Wait until more bytes have arrived; a body that ends with its connection is done when it closes."""
        try:
            await self._channel.fill(begun=True)
        except ConnectionEnded as ended:
            if (
                self.length is not None
                or self._chunks is not None
                or ended.end is not ConnectionEnd.CLOSED_EARLY
            ):
                raise
            self.done = True

    async def read_all(
        self, on_progress: OnProgress = lambda size: None, stop_after: float = inf
    ) -> Slice | bytes:
        """Read all of the body, or stop once more than `stop_after` bytes were read."""
        pieces = self.take_available()
        on_progress(self.size)
        if self.done or self.size > stop_after:
            return pieces[0] if len(pieces) == 1 else b"".join(pieces)
        collected = bytearray().join(pieces)
        while not self.done and self.size <= stop_after:
            await self.wait_more()
            for piece in self.take_available():
                collected += piece
            on_progress(self.size)
        return memoryview(collected)


async def read_body(
    channel: Channel, head: Head, max_bytes: int, on_progress: OnProgress = lambda size: None
) -> Slice | bytes:
    """Read a complete body; `on_progress` is called with the bytes read so far and may raise."""
    body = Body(channel, head, max_bytes)
    if body.length is None or body.length > SINGLE_BUFFER_BODY_BYTES:
        return await body.read_all(on_progress)
    channel.ensure_capacity(body.length)
    while channel.end - channel.start < body.length:
        await channel.fill(begun=True)
        on_progress(channel.end - channel.start)
    return body.take_available()[0] if body.length else b""


async def read_answer_head(channel: Channel) -> Head:
    """Read the head of the final answer; a limited number of interim answers is skipped."""
    for _ in range(MAX_INTERIM_ANSWERS + 1):
        head = await read_head(channel, answer=True)
        if head.start_line[2] >= 200:
            return head
    raise ConnectionEnded(ConnectionEnd.TOO_LARGE)


def answer_body(channel: Channel, head: Head, max_bytes: int) -> Body:
    """The body of an answer, framed as its head says."""
    if head.start_line[2] in (204, 304):
        head.length, head.chunked = 0, False
    until_close = head.length is None and not head.chunked
    if until_close and head.keep_alive:
        # A body without a length ends with its connection, but the head announces keep-alive: whether it is
        # complete could not be told.
        raise ConnectionEnded(ConnectionEnd.CLOSED_EARLY)
    return Body(channel, head, max_bytes, until_close)


async def read_answer(channel: Channel, max_bytes: int) -> Message:
    """Read one complete answer."""
    head = await read_answer_head(channel)
    return message(head, await answer_body(channel, head, max_bytes).read_all())
