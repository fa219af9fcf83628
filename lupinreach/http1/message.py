"""HTTP/1.1 messages: parsing of heads, chunked framing, and serialisation. Performs no I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded

MAX_HEAD_BYTES = 16 << 10
MAX_CHUNK_LINE_BYTES = 128
FRAMING_BYTES_PER_BODY_BYTE = 8  # chunked framing allowed per body byte, in addition to MAX_HEAD_BYTES
REQUEST_LINE = re.compile(rb"([A-Z]{1,16}) (/[\x21-\x7e]*) HTTP/1\.([01])\r\n")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
HEADER_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)\r\n")
CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
# Headers that apply to a single connection and are never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
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
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"connection"))
NO_CONNECTION_OPTIONS: frozenset[bytes] = frozenset()
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASON_PHRASES = {
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
    """One HTTP message. `target` is empty in a response, `status` is 0 in a request."""

    method: bytes
    target: bytes
    status: int
    headers: dict[bytes, bytes]  # by lower-case name; the last value of a repeated header
    lines: list[tuple[bytes, Slice]]  # lower-case name and the complete header line as received, in order
    body: Slice | bytes
    options: frozenset[bytes]  # tokens of the Connection header, in lower case
    keep_alive: bool  # the connection may carry another message
    is_http10: bool = False  # HTTP/1.0 peers do not understand chunked encoding

    def header(self, name: bytes) -> bytes | None:
        """The value of a header, looked up by its lower-case name."""
        return self.headers.get(name)


@dataclass(slots=True)
class Head:
    """A parsed message head; see `Message` for the fields that both share."""

    start_line: tuple[bytes, bytes, int]  # method, target, status
    headers: dict[bytes, bytes]
    lines: list[tuple[bytes, Slice]]
    options: frozenset[bytes]
    keep_alive: bool
    length: int | None  # Content-Length; None: not given
    chunked: bool
    size: int  # bytes of the head itself
    is_http10: bool = False


def parse_head(buffer: bytearray | bytes, start: int, end: int, is_response: bool) -> Head | None:
    """Parse the head that begins at `start`; None while it is incomplete.

    Raises `ConnectionEnded` for a malformed or oversized head.
    """
    head_end = buffer.find(b"\r\n\r\n", start, end)
    if head_end < 0 or head_end - start > MAX_HEAD_BYTES:
        if end - start > MAX_HEAD_BYTES:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        return None
    view = memoryview(buffer)
    start_line = (STATUS_LINE if is_response else REQUEST_LINE).match(buffer, start, head_end + 2)
    if not start_line:
        raise ConnectionEnded(ConnectionEnd.MALFORMED)
    headers: dict[bytes, bytes] = {}
    lines: list[tuple[bytes, Slice]] = []
    lengths, codings, connection_tokens = [], [], b""
    at = start_line.end()
    for line in HEADER_LINE.finditer(buffer, at, head_end + 2):
        begin, end = line.span()
        if begin != at:
            break
        name, value = line[1].lower(), line[2].rstrip(b" \t")
        headers[name] = value
        lines.append((name, view[at:end]))
        if name in FRAMING_HEADERS:
            if name == b"content-length":
                lengths.append(value)
            elif name == b"transfer-encoding":
                codings.append(value.lower())
            else:
                connection_tokens += b"," + value.lower()
        at = end
    if at != head_end + 2:
        raise ConnectionEnded(ConnectionEnd.MALFORMED)
    # Guards against request smuggling: a message whose end two parsers would place differently.
    minor = start_line[1] if is_response else start_line[3]
    if len(lengths) > 1 or (codings and (lengths or codings != [b"chunked"] or minor == b"0")):
        raise ConnectionEnded(ConnectionEnd.MALFORMED)
    if lengths and not CONTENT_LENGTH.fullmatch(lengths[0]):
        raise ConnectionEnded(ConnectionEnd.MALFORMED)
    options = (
        frozenset(o.strip() for o in connection_tokens.split(b","))
        if connection_tokens
        else NO_CONNECTION_OPTIONS
    )
    return Head(
        start_line=(b"", b"", int(start_line[2])) if is_response else (start_line[1], start_line[2], 0),
        headers=headers,
        lines=lines,
        options=options,
        keep_alive=b"close" not in options and (minor == b"1" or b"keep-alive" in options),
        length=int(lengths[0]) if lengths else None,
        chunked=bool(codings),
        size=head_end + 4 - start,
        is_http10=minor == b"0",
    )


class ChunkedDecoder:
    """Incremental decoder of the chunked transfer encoding."""

    def __init__(self, bound: bool = True) -> None:
        self._bound_framing = bound  # limit the framing overhead; off for a watch, which is endless
        self.done = False
        self._chunk_left = 0  # bytes of the current chunk not received yet
        self._expects_crlf = False  # the CRLF after a chunk is outstanding
        self._in_trailer = False
        self._framing_excess = 0  # framing bytes received, less the allowance that body bytes earn

    def feed(self, view: Slice) -> tuple[list[Slice], int]:
        """Decode a buffer: the body pieces in it, and the number of bytes consumed."""
        pieces: list[Slice] = []
        at = 0
        while at < len(view) and not self.done:
            if self._chunk_left:
                piece = view[at : at + self._chunk_left]
                pieces.append(piece)
                at += len(piece)
                self._framing_excess -= FRAMING_BYTES_PER_BODY_BYTE * len(piece)
                self._chunk_left -= len(piece)
                self._expects_crlf = not self._chunk_left
                continue
            line = bytes(view[at : at + MAX_CHUNK_LINE_BYTES])
            size = line.find(b"\n") + 1
            if not size:
                if len(line) == MAX_CHUNK_LINE_BYTES:
                    raise ConnectionEnded(ConnectionEnd.MALFORMED)
                break
            at += size
            self._framing_excess += size
            if self._bound_framing and self._framing_excess > MAX_HEAD_BYTES:
                # Guards against endless trailers and chunk extensions.
                raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
            self._line(line[:size])
        return pieces, at

    def _line(self, line: bytes) -> None:
        if self._expects_crlf:
            if line != b"\r\n":
                raise ConnectionEnded(ConnectionEnd.MALFORMED)
            self._expects_crlf = False
        elif self._in_trailer:
            self.done = line == b"\r\n"
            if not self.done and not HEADER_LINE.fullmatch(line):
                raise ConnectionEnded(ConnectionEnd.MALFORMED)
        else:
            chunk = CHUNK_SIZE_LINE.fullmatch(line)
            if not chunk:
                raise ConnectionEnded(ConnectionEnd.MALFORMED)
            self._chunk_left = int(chunk[1], 16)
            self._in_trailer = not self._chunk_left
            if self._in_trailer:
                self._framing_excess = max(0, self._framing_excess)


def message(head: Head, body: Slice | bytes) -> Message:
    """A message from its head and its complete body."""
    return Message(
        *head.start_line, head.headers, head.lines, body, head.options, head.keep_alive, head.is_http10
    )


def forwarded_headers(message: Message, excluded: frozenset[bytes]) -> list[Slice]:
    """The header lines to forward to the next hop, without hop-by-hop headers and those in `excluded`."""
    dropped = HOP_BY_HOP_HEADERS | message.options | excluded
    return [line for name, line in message.lines if name not in dropped]


def request(
    method: bytes,
    target: bytes,
    headers: Iterable[bytes | Slice],
    host: bytes | Slice,
    length: int | None = 0,
) -> bytes:
    """Serialise the head of a request; without a length the body follows in chunked encoding.

    Header slices are copied, since a write may outlive the receive buffer that they point into.
    """
    framing = (
        b"Transfer-Encoding: chunked\r\n"
        if length is None
        else (b"Content-Length: %d\r\n" % length if length or method == b"POST" else b"")
    )
    return b"".join((method, b" ", target, b" HTTP/1.1\r\nHost: ", host, b"\r\n", *headers, framing, b"\r\n"))


def response_head(status: int, headers: Iterable[bytes | Slice], keep_alive: bool, framing: bytes) -> bytes:
    """Serialise the head of a response; `framing` holds its Content-Length or Transfer-Encoding line."""
    closing = b"" if keep_alive else b"Connection: close\r\n"
    return b"".join(
        (
            b"HTTP/1.1 %d " % status,
            REASON_PHRASES.get(status, b"Error"),
            b"\r\n",
            *headers,
            closing,
            framing,
            b"\r\n",
        )
    )


def response(
    status: int, headers: Iterable[bytes | Slice] = (), body: Slice | bytes = b"", keep_alive: bool = True
) -> bytes:
    """Serialise a complete response into one buffer; header slices are copied, as in `request`."""
    return response_head(status, headers, keep_alive, b"Content-Length: %d\r\n" % len(body)) + body
