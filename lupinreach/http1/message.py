"""HTTP/1.1 messages: parsing of heads, chunked framing, and serialisation. Performs no I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded

MOST_HEAD = 16 << 10
MOST_CHUNK_LINE = 128
FRAMED = 8  # bytes of chunked framing for each of the body, beside what a head may hold
REQUEST = re.compile(rb"([A-Z]{1,16}) (/[\x21-\x7e]*) HTTP/1\.([01])\r\n")
ANSWER = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
HEADER = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)\r\n")
LENGTH = re.compile(rb"[0-9]{1,15}")
CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
# Headers that belong to one connection and are never passed on.
OF_CONNECTION = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"host",
    )
)
FRAMING = frozenset((b"content-length", b"transfer-encoding", b"connection"))
NO_OPTIONS: frozenset[bytes] = frozenset()
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

Slice = memoryview


@dataclass(slots=True)
class Message:
    """One message. `target` is empty in an answer, `status` 0 in a request."""

    method: bytes
    target: bytes
    status: int
    headers: dict[bytes, bytes]  # the last of each name, in lower case
    lines: list[tuple[bytes, Slice]]  # each whole header line with its name, as it came
    body: Slice | bytes
    options: frozenset[bytes]  # what its Connection header names
    keeps: bool  # the connection may carry another message
    old: bool = False  # HTTP/1.0: knows no chunks

    def header(self, name: bytes) -> bytes | None:
        return self.headers.get(name)


@dataclass(slots=True)
class Head:
    first: tuple[bytes, bytes, int]  # method, target, status
    headers: dict[bytes, bytes]
    lines: list[tuple[bytes, Slice]]
    options: frozenset[bytes]
    keeps: bool
    length: int | None  # None: not given
    chunked: bool
    size: int  # of the head itself
    old: bool = False


def parse_head(buffer: bytearray | bytes, start: int, end: int, answer: bool) -> Head | None:
    """The head that begins at `start`, or None while it is not whole."""
    stop = buffer.find(b"\r\n\r\n", start, end)
    if stop < 0 or stop - start > MOST_HEAD:
        if end - start > MOST_HEAD:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        return None
    area = memoryview(buffer)
    first = (ANSWER if answer else REQUEST).match(buffer, start, stop + 2)
    if not first:
        raise ConnectionEnded(ConnectionEnd.MALFORMED)
    headers: dict[bytes, bytes] = {}
    lines: list[tuple[bytes, Slice]] = []
    lengths, codings, said = [], [], b""
    at = first.end()
    for line in HEADER.finditer(buffer, at, stop + 2):
        begin, end = line.span()
        if begin != at:
            break
        name, value = line[1].lower(), line[2].rstrip(b" \t")
        headers[name] = value
        lines.append((name, area[at:end]))
        if name in FRAMING:
            if name == b"content-length":
                lengths.append(value)
            elif name == b"transfer-encoding":
                codings.append(value.lower())
            else:
                said += b"," + value.lower()
        at = end
    if at != stop + 2:
        raise ConnectionEnded(ConnectionEnd.MALFORMED)
    # Guards against a message whose end two readers would find at different places.
    minor = first[1] if answer else first[3]
    if len(lengths) > 1 or (codings and (lengths or codings != [b"chunked"] or minor == b"0")):
        raise ConnectionEnded(ConnectionEnd.MALFORMED)
    if lengths and not LENGTH.fullmatch(lengths[0]):
        raise ConnectionEnded(ConnectionEnd.MALFORMED)
    options = frozenset(o.strip() for o in said.split(b",")) if said else NO_OPTIONS
    return Head(
        first=(b"", b"", int(first[2])) if answer else (first[1], first[2], 0),
        headers=headers,
        lines=lines,
        options=options,
        keeps=b"close" not in options and (minor == b"1" or b"keep-alive" in options),
        length=int(lengths[0]) if lengths else None,
        chunked=bool(codings),
        size=stop + 4 - start,
        old=minor == b"0",
    )


class Chunks:
    """Takes chunked framing off, as bytes come."""

    def __init__(self, bound: bool = True) -> None:
        self._bound = bound  # of a message that must end; a watch need not
        self.done = False
        self._left = 0  # bytes of the present chunk still to come
        self._ends = False  # the line break after a chunk is still to come
        self._trailer = False
        self._framing = 0  # bytes that are none of the body, less what its bytes allow

    def feed(self, area: Slice) -> tuple[list[Slice], int]:
        """The pieces of the body in this area, and how much of it has been used up."""
        pieces: list[Slice] = []
        at = 0
        while at < len(area) and not self.done:
            if self._left:
                piece = area[at : at + self._left]
                pieces.append(piece)
                at += len(piece)
                self._framing -= FRAMED * len(piece)
                self._left -= len(piece)
                self._ends = not self._left
                continue
            line = bytes(area[at : at + MOST_CHUNK_LINE])
            size = line.find(b"\n") + 1
            if not size:
                if len(line) == MOST_CHUNK_LINE:
                    raise ConnectionEnded(ConnectionEnd.MALFORMED)
                break
            at += size
            self._framing += size
            if self._bound and self._framing > MOST_HEAD:
                # Guards against trailers and extensions without end.
                raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
            self._line(line[:size])
        return pieces, at

    def _line(self, line: bytes) -> None:
        if self._ends:
            if line != b"\r\n":
                raise ConnectionEnded(ConnectionEnd.MALFORMED)
            self._ends = False
        elif self._trailer:
            self.done = line == b"\r\n"
            if not self.done and not HEADER.fullmatch(line):
                raise ConnectionEnded(ConnectionEnd.MALFORMED)
        else:
            chunk = CHUNK.fullmatch(line)
            if not chunk:
                raise ConnectionEnded(ConnectionEnd.MALFORMED)
            self._left = int(chunk[1], 16)
            self._trailer = not self._left
            if self._trailer:
                self._framing = max(0, self._framing)


def message(head: Head, body: Slice | bytes) -> Message:
    return Message(*head.first, head.headers, head.lines, body, head.options, head.keeps, head.old)


def passed_on(message: Message, but: frozenset[bytes]) -> list[Slice]:
    """The header lines that go on to the next side."""
    stays = OF_CONNECTION | message.options | but
    return [line for name, line in message.lines if name not in stays]


def request(
    method: bytes,
    target: bytes,
    headers: Iterable[bytes | Slice],
    host: bytes | Slice,
    length: int | None = 0,
) -> bytes:
    """The head of a request, copied since a write may outlive the buffer; no length: its body comes in chunks."""
    framing = (
        b"Transfer-Encoding: chunked\r\n"
        if length is None
        else (b"Content-Length: %d\r\n" % length if length or method == b"POST" else b"")
    )
    return b"".join((method, b" ", target, b" HTTP/1.1\r\nHost: ", host, b"\r\n", *headers, framing, b"\r\n"))


def answer_head(status: int, headers: Iterable[bytes | Slice], keeps: bool, framing: bytes) -> bytes:
    closing = b"" if keeps else b"Connection: close\r\n"
    return b"".join(
        (
            b"HTTP/1.1 %d " % status,
            REASONS.get(status, b"Error"),
            b"\r\n",
            *headers,
            closing,
            framing,
            b"\r\n",
        )
    )


def answer(
    status: int, headers: Iterable[bytes | Slice] = (), body: Slice | bytes = b"", keeps: bool = True
) -> bytes:
    """An answer as one piece, copied once as a request is."""
    return answer_head(status, headers, keeps, b"Content-Length: %d\r\n" % len(body)) + body
