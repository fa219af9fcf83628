"""HTTP messages of the bed's peers: parsed whole from a byte stream, and written."""

from __future__ import annotations

from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded
from lupinreach.net.http import Head, parse_head

MAX_MESSAGE_BYTES = 4 << 20


class MessageReader:
    """Parses a byte stream into whole messages. Bodies are delimited by Content-Length only."""

    def __init__(self, expects_responses: bool) -> None:
        self._expects_responses = expects_responses
        self._buffer = bytearray()
        self._head: Head | None = None

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message has been received."""
        return bool(self._buffer) or self._head is not None

    def feed(self, data: bytes) -> list[tuple[Head, bytes]]:
        """Returns the messages that are complete with this data. Raises ConnectionEnded if the data is not HTTP."""
        if self._head is None and self._buffer:
            # Slices of the last head still reference the old buffer, which therefore can't be resized.
            self._buffer = bytearray(self._buffer)
        self._buffer += data
        if len(self._buffer) > MAX_MESSAGE_BYTES:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        messages: list[tuple[Head, bytes]] = []
        while True:
            if self._head is None:
                head = parse_head(self._buffer, 0, len(self._buffer), self._expects_responses)
                if head is None:
                    return messages
                self._head = head
                self._buffer = bytearray(self._buffer[head.size :])
            length = self._head.length or 0
            if len(self._buffer) < length:
                return messages
            messages.append((self._head, bytes(self._buffer[:length])))
            self._buffer = bytearray(self._buffer[length:])
            self._head = None


def response(status: int, body: bytes = b"", *header_lines: bytes) -> bytes:
    """A response with the given header lines, its Content-Length and body."""
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    return head + b"".join(header_line + b"\r\n" for header_line in header_lines) + b"\r\n" + body
