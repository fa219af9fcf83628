"""Incremental reader of HTTP/1.1 messages from the bytes of one connection."""

from __future__ import annotations

from dataclasses import dataclass

from lupinreach.http1.message import Chunks, Head, parse_head
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded

NO_BODY_STATUSES = frozenset({204, 304})


@dataclass(slots=True)
class WholeMessage:
    """A head and its whole body, framing removed."""

    head: Head
    body: bytes


class MessageReader:
    """Feed it bytes, take whole messages out. Raises `Ended` where the bytes are no message."""

    def __init__(self, answers: bool, most_body: int) -> None:
        self.most_body = most_body
        self.head: Head | None = None  # of the message whose body is being read
        self.bodiless = False  # the next answer has no body, whatever its head says (HEAD)
        self._answers = answers
        self._pending = b""
        self._pieces: list[bytes] = []
        self._size = 0
        self._length: int | None = 0
        self._chunks: Chunks | None = None

    @property
    def begun(self) -> bool:
        """If a part of a message has come."""
        return self.head is not None or bool(self._pending)

    @property
    def body_bytes(self) -> int:
        """Bytes of the present body that are held, or announced."""
        return max(self._size, self._length or 0) if self.head is not None else 0

    def feed(self, data: bytes) -> None:
        """Take bytes from the connection."""
        self._pending = self._pending + data if self._pending else data

    def next(self) -> WholeMessage | None:
        """The next whole message, or None until more bytes come."""
        if self.head is None and not self._read_head():
            return None
        return self._read_body()

    def at_end(self) -> WholeMessage | None:
        """The message that the end of the connection completes, if any."""
        if self.head is not None and self._chunks is None and self._length is None:
            return self._finish()
        return None

    def _read_head(self) -> bool:
        if not self._answers:
            self._pending = self._pending.lstrip(b"\r\n") if self._pending[:1] in b"\r\n" else self._pending
        if not self._pending:
            return False
        head = parse_head(self._pending, 0, len(self._pending), self._answers)
        if head is None:
            return False
        self._pending = self._pending[head.size :]
        self.head = head
        self._size = 0
        self._chunks = Chunks() if head.chunked else None
        self._length = self._body_length(head)
        if self._length is not None and self._length > self.most_body:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        return True

    def _body_length(self, head: Head) -> int | None:
        if head.chunked:
            return None
        if not self._answers:
            return head.length or 0
        if self.bodiless or head.first[2] < 200 or head.first[2] in NO_BODY_STATUSES:
            return 0
        return head.length  # without one the answer ends with its connection

    def _read_body(self) -> WholeMessage | None:
        if self._chunks is not None:
            pieces, used = self._chunks.feed(memoryview(self._pending))
            self._pieces.extend([bytes(piece) for piece in pieces])
            self._size += sum(map(len, pieces))
            self._pending = self._pending[used:]
            done = self._chunks.done
        else:
            wanted = len(self._pending) if self._length is None else self._length - self._size
            piece = self._pending[:wanted]
            self._pending = self._pending[len(piece) :]
            if piece:
                self._pieces.append(piece)
            self._size += len(piece)
            done = self._size == self._length
        if self._size > self.most_body:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        return self._finish() if done else None

    def _finish(self) -> WholeMessage:
        assert self.head is not None
        whole = WholeMessage(self.head, self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces))
        self.head = None
        self._pieces = []
        self._size = 0
        return whole
