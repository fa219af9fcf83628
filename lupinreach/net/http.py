"""HTTP/1.1 messages read from a channel: heads and bodies as they come."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from lupinreach.http1.message import (
    CONTINUE,
    MOST_HEAD,
    Chunks,
    Head,
    Message,
    Slice,
    answer,
    answer_head,
    message,
    parse_head,
    passed_on,
    request,
)
from lupinreach.net.channel import Channel
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded

__all__ = [
    "CONTINUE",
    "SINGLE_BUFFER_BODY_BYTES",
    "MOST_HEAD",
    "Body",
    "Chunks",
    "Head",
    "Message",
    "Slice",
    "answer",
    "answer_body",
    "answer_head",
    "message",
    "passed_on",
    "read_answer",
    "read_answer_head",
    "read_body",
    "read_head",
    "request",
]

SINGLE_BUFFER_BODY_BYTES = 64 << 10  # bytes of a body that is read into one buffer and is a slice of it
MAX_INTERIM_ANSWERS = 8  # 1xx answers ahead of one

OnProgress = Callable[[int], None]


async def read_head(channel: Channel, answer: bool) -> Head:
    while True:
        if not answer:
            while channel.buffer.startswith(b"\r\n", channel.start, channel.end):
                channel.start += 2  # an empty line before a request says nothing
        head = parse_head(channel.buffer, channel.start, channel.end, answer)
        if head is not None:
            channel.start += head.size
            return head
        await channel.fill(begun=channel.end > channel.start)


class Body:
    """The body of one message as it comes, its framing taken off.

    `until_close` is for an answer whose end is that of its connection.
    """

    def __init__(self, channel: Channel, head: Head, max_bytes: int, until_close: bool = False) -> None:
        self.length = None if head.chunked else head.length if until_close else head.length or 0
        if (self.length or 0) > max_bytes:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        self.size = 0  # bytes that were taken
        self.done = self.length == 0
        self._channel = channel
        self._max_bytes = max_bytes
        self._chunks = Chunks() if head.chunked else None

    def take_available(self) -> list[Slice]:
        """What has come and was not taken yet."""
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
        """Wait until more has come; at the end of the connection, if that is the body's, it is done."""
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
        """All of it, or as much as is there once it is more than that."""
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
    """A whole body; `came` hears how much of it there is, and may raise."""
    body = Body(channel, head, max_bytes)
    if body.length is None or body.length > SINGLE_BUFFER_BODY_BYTES:
        return await body.read_all(on_progress)
    channel.ensure_capacity(body.length)
    while channel.end - channel.start < body.length:
        await channel.fill(begun=True)
        on_progress(channel.end - channel.start)
    return body.take_available()[0] if body.length else b""


async def read_answer_head(channel: Channel) -> Head:
    """The head of one answer; interim ones are skipped, as far as there are few."""
    for _ in range(MAX_INTERIM_ANSWERS + 1):
        head = await read_head(channel, answer=True)
        if head.first[2] >= 200:
            return head
    raise ConnectionEnded(ConnectionEnd.TOO_LARGE)


def answer_body(channel: Channel, head: Head, max_bytes: int) -> Body:
    if head.first[2] in (204, 304):
        head.length, head.chunked = 0, False
    until_close = head.length is None and not head.chunked
    if until_close and head.keeps:
        # Its end would be the connection's, which was to stay: nobody could tell whether it came whole.
        raise ConnectionEnded(ConnectionEnd.CLOSED_EARLY)
    return Body(channel, head, max_bytes, until_close)


async def read_answer(channel: Channel, max_bytes: int) -> Message:
    """One whole answer."""
    head = await read_answer_head(channel)
    return message(head, await answer_body(channel, head, max_bytes).read_all())
