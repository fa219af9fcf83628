"""HTTP as the bed's peers read it: whole messages out of bytes that come in pieces."""

from __future__ import annotations

from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded
from lupinreach.net.http import Head, parse_head

MOST = 4 << 20


class Reader:
    """Feed it bytes; it hands out whole messages. Bodies come by Content-Length."""

    def __init__(self, answers: bool) -> None:
        self._answers = answers
        self._buffer = bytearray()
        self._head: Head | None = None

    @property
    def begun(self) -> bool:
        """If part of a message is there."""
        return bool(self._buffer) or self._head is not None

    def feed(self, data: bytes) -> list[tuple[Head, bytes]]:
        """Raises Ended where what comes is no HTTP."""
        if self._head is None and self._buffer:
            # The head's slices hold the old buffer, so that it can't grow.
            self._buffer = bytearray(self._buffer)
        self._buffer += data
        if len(self._buffer) > MOST:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        found: list[tuple[Head, bytes]] = []
        while True:
            if self._head is None:
                head = parse_head(self._buffer, 0, len(self._buffer), self._answers)
                if head is None:
                    return found
                self._head = head
                self._buffer = bytearray(self._buffer[head.size :])
            length = self._head.length or 0
            if len(self._buffer) < length:
                return found
            found.append((self._head, bytes(self._buffer[:length])))
            self._buffer = bytearray(self._buffer[length:])
            self._head = None


def answer(status: int, body: bytes = b"", *lines: bytes) -> bytes:
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    return head + b"".join(line + b"\r\n" for line in lines) + b"\r\n" + body
