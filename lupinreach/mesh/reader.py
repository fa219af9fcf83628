"""Incremental parser of the HTTP/1.1 messages on one connection."""

from __future__ import annotations

from dataclasses import dataclass

from lupinreach.http1.message import ChunkedDecoder, Head, parse_head
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded

NO_BODY_STATUSES = frozenset({204, 304})
LARGE_BODY_BYTES = 64 << 10  # from here on a body of known length is received in place, without a second copy


@dataclass(slots=True)
class CompleteMessage:
    """A complete message: its head, and its body without transfer framing."""

    head: Head
    body: bytes | bytearray


class MessageReader:
    """Turns received bytes into complete messages. Raises `ConnectionEnded` for invalid or oversized ones."""

    def __init__(self, responses: bool, body_limit: int) -> None:
        self.body_limit = body_limit
        self.head: Head | None = None  # of the message whose body is being received
        self.without_body = False  # the next response answers a HEAD request: no body, whatever its head says
        self._responses = responses
        self._pending = b""
        self._pieces: list[bytes] = []
        self._large_body: bytearray | None = None
        self._size = 0
        self._length: int | None = 0
        self._chunked_decoder: ChunkedDecoder | None = None

    @property
    def begun(self) -> bool:
        """True while a message is partly received."""
        return self.head is not None or bool(self._pending)

    @property
    def body_bytes(self) -> int:
        """Size of the body being received: the larger of the bytes held and the announced length."""
        return max(self._size, self._length or 0) if self.head is not None else 0

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._pending = self._pending + data if self._pending else data

    def next(self) -> CompleteMessage | None:
        """The next complete message, or None if more bytes are needed."""
        if self.head is None and not self._read_head():
            return None
        return self._read_body()

    def at_end(self) -> CompleteMessage | None:
        """The response that is complete because the connection was closed, if any."""
        if self.head is not None and self._chunked_decoder is None and self._length is None:
            return self._take_message()
        return None

    def _read_head(self) -> bool:
        if not self._responses:
            self._pending = self._pending.lstrip(b"\r\n") if self._pending[:1] in b"\r\n" else self._pending
        if not self._pending:
            return False
        head = parse_head(self._pending, 0, len(self._pending), self._responses)
        if head is None:
            return False
        self._pending = self._pending[head.size :]
        self.head = head
        self._size = 0
        self._chunked_decoder = ChunkedDecoder() if head.chunked and not self._is_bodyless(head) else None
        self._length = self._body_length(head)
        if self._length is not None and self._length > self.body_limit:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        if self._length is not None and self._length > LARGE_BODY_BYTES:
            self._large_body = bytearray(self._length)
        return True

    def _is_bodyless(self, head: Head) -> bool:
        """Whether it is a response that has no body, whatever its head says."""
        if not self._responses:
            return False
        status = head.start_line[2]
        return self.without_body or status < 200 or status in NO_BODY_STATUSES

    def _body_length(self, head: Head) -> int | None:
        if self._is_bodyless(head):
            return 0
        if head.chunked:
            return None
        if not self._responses:
            return head.length or 0
        return head.length  # None: the body ends when the connection is closed

    def _read_body(self) -> CompleteMessage | None:
        if self._chunked_decoder is not None:
            pieces, used = self._chunked_decoder.feed(memoryview(self._pending))
            self._pieces.extend([bytes(piece) for piece in pieces])
            self._size += sum(map(len, pieces))
            self._pending = self._pending[used:]
            done = self._chunked_decoder.done
        else:
            missing_bytes = len(self._pending) if self._length is None else self._length - self._size
            piece = self._pending[:missing_bytes]
            self._pending = self._pending[len(piece) :]
            if self._large_body is not None:
                self._large_body[self._size : self._size + len(piece)] = piece
            elif piece:
                self._pieces.append(piece)
            self._size += len(piece)
            done = self._size == self._length
        if self._size > self.body_limit:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        return self._take_message() if done else None

    def _take_message(self) -> CompleteMessage:
        assert self.head is not None
        body: bytes | bytearray
        if self._large_body is not None:
            body, self._large_body = self._large_body, None
        else:
            body = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        whole = CompleteMessage(self.head, body)
        self.head = None
        self._pieces = []
        self._size = 0
        return whole
