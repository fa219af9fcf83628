"""HTTP/1.1 messages read from a channel: heads and bodies as they come."""

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
from lupinreach.net.ends import End, Ended

__all__ = [
    "CONTINUE",
    "IN_PLACE",
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

IN_PLACE = 64 << 10  # bytes of a body that is read into one buffer and is a slice of it
MOST_INTERIM = 8  # 1xx answers ahead of one

Came = Callable[[int], None]


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

    def __init__(self, channel: Channel, head: Head, most: int, until_close: bool = False) -> None:
        self.length = None if head.chunked else head.length if until_close else head.length or 0
        if (self.length or 0) > most:
            raise Ended(End.TOO_LARGE)
        self.size = 0  # bytes that were taken
        self.done = self.length == 0
        self._channel = channel
        self._most = most
        self._chunks = ChunkedDecoder() if head.chunked else None

    def here(self) -> list[Slice]:
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
        if self.size > self._most:
            raise Ended(End.TOO_LARGE)
        return pieces

    async def more(self) -> None:
        """Wait until more has come; at the end of the connection, if that is the body's, it is done."""
        try:
            await self._channel.fill(begun=True)
        except Ended as ended:
            if self.length is not None or self._chunks is not None or ended.end is not End.CUT_SHORT:
                raise
            self.done = True

    async def whole(self, came: Came = lambda size: None, at_most: float = inf) -> Slice | bytes:
        """All of it, or as much as is there once it is more than that."""
        pieces = self.here()
        came(self.size)
        if self.done or self.size > at_most:
            return pieces[0] if len(pieces) == 1 else b"".join(pieces)
        kept = bytearray().join(pieces)
        while not self.done and self.size <= at_most:
            await self.more()
            for piece in self.here():
                kept += piece
            came(self.size)
        return memoryview(kept)


async def read_body(channel: Channel, head: Head, most: int, came: Came = lambda size: None) -> Slice | bytes:
    """A whole body; `came` hears how much of it there is, and may raise."""
    body = Body(channel, head, most)
    if body.length is None or body.length > IN_PLACE:
        return await body.whole(came)
    channel.need(body.length)
    while channel.end - channel.start < body.length:
        await channel.fill(begun=True)
        came(channel.end - channel.start)
    return body.here()[0] if body.length else b""


async def read_answer_head(channel: Channel) -> Head:
    """The head of one answer; interim ones are skipped, as far as there are few."""
    for _ in range(MOST_INTERIM + 1):
        head = await read_head(channel, answer=True)
        if head.start_line[2] >= 200:
            return head
    raise Ended(End.TOO_LARGE)


def answer_body(channel: Channel, head: Head, most: int) -> Body:
    if head.start_line[2] in (204, 304):
        head.length, head.chunked = 0, False
    until_close = head.length is None and not head.chunked
    if until_close and head.keep_alive:
        # Its end would be the connection's, which was to stay: nobody could tell whether it came whole.
        raise Ended(End.CUT_SHORT)
    return Body(channel, head, most, until_close)


async def read_answer(channel: Channel, most: int) -> Message:
    """One whole answer."""
    head = await read_answer_head(channel)
    return message(head, await answer_body(channel, head, most).whole())
