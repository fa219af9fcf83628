"""The HTTP parser with complete, fragmented, malformed and generated messages."""

import random

import pytest
from helpers import run

from lupinreach.net import http
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded


class Feed:
    """Stands in for a channel: delivers the given pieces, then ends."""

    def __init__(self, *pieces: bytes) -> None:
        self.pieces = list(pieces)
        self.buffer = bytearray()
        self.start = 0

    @property
    def end(self):
        return len(self.buffer)

    def ensure_capacity(self, size):
        pass

    async def fill(self, begun=False):
        if not self.pieces:
            raise ConnectionEnded(ConnectionEnd.CLOSED_EARLY)
        self.buffer = self.buffer + self.pieces.pop(
            0
        )  # a new buffer, so that slices of the old one stay valid


async def request(feed):
    head = await http.read_head(feed, answer=False)
    return http.message(head, await http.read_body(feed, head, 100))


def answer(*pieces, most=100):
    return run(http.read_answer(Feed(*pieces), most))


def end_of(work) -> ConnectionEnd:
    with pytest.raises(ConnectionEnded) as ended:
        run(work)
    return ended.value.end


def split(rng, raw):
    cuts = sorted(rng.sample(range(len(raw) + 1), rng.randrange(6)))
    return [raw[a:b] for a, b in zip([0, *cuts], [*cuts, len(raw)], strict=True)]


def test_generated_requests_are_parsed_in_any_fragmentation():
    rng = random.Random(5)
    for _ in range(300):
        body = rng.randbytes(rng.randrange(60))
        headers = {b"x%d" % i: b"v%d" % rng.randrange(99) for i in range(rng.randrange(5))}
        lines = b"".join(
            k.upper() + rng.choice((b":", b": ", b":\t ")) + v + rng.choice((b"\r\n", b"  \r\n"))
            for k, v in headers.items()
        )
        if rng.random() < 0.5:
            framing, sent = b"Content-Length: %d\r\n" % len(body), body
        else:
            framing, sent, rest = b"Transfer-Encoding: Chunked\r\n", b"", body
            while rest:
                size = rng.randrange(1, len(rest) + 1)
                sent += b"%X%s\r\n" % (size, rng.choice((b"", b";a=b"))) + rest[:size] + b"\r\n"
                rest = rest[size:]
            sent += b"0\r\n" + rng.choice((b"", b"T: 1\r\n")) + b"\r\n"
        raw = b"\r\n" * rng.randrange(2) + b"POST /a?b HTTP/1.1\r\n" + lines + framing + b"\r\n" + sent
        feed = Feed(*split(rng, raw + b"GET"))
        got = run(request(feed))
        assert (got.method, got.target, bytes(got.body)) == (b"POST", b"/a?b", body)
        assert {k: bytes(got.headers[k]) for k in headers} == headers and got.keep_alive
        left = bytes(feed.buffer[feed.start :]) + b"".join(feed.pieces)
        assert left == b"GET"  # the bytes after the message are not consumed


def test_body_is_a_slice_of_its_read_buffer():
    feed = Feed(b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
    body = run(request(feed)).body
    assert isinstance(body, memoryview) and body.obj is feed.buffer


@pytest.mark.parametrize(
    "first, line",
    [
        (b"GET / HTTP/2.0", b""),
        (b"get / HTTP/1.1", b""),
        (b"GET  / HTTP/1.1", b""),
        (b"GET /\x80 HTTP/1.1", b""),
        (b"\x16\x03\x01", b""),
        *(
            (b"POST / HTTP/1.1", line)
            for line in (
                b"No colon",
                b"Space : 1",
                b"A: 1\r\n folded",
                b"A: \x00",
                b"A: 1\nB: 2",
                b": 1",
                b"Content-Length: 1\r\nContent-Length: 2",
                b"Content-Length: -1",
                b"Content-Length:",
                b"Content-Length: 1\r\nTransfer-Encoding: chunked",
                b"Transfer-Encoding: gzip",
                b"Content-Length: 1\r\nContent-Length: 1",
            )
        ),
        (b"POST / HTTP/1.0", b"Transfer-Encoding: chunked"),
        (b"GET x HTTP/1.1", b""),
    ],
)
def test_malformed_requests_are_refused(first, line):
    assert end_of(request(Feed(first + b"\r\n" + line + b"\r\n\r\n"))) is ConnectionEnd.MALFORMED


@pytest.mark.parametrize(
    "chunks",
    [
        b"x\r\n",
        b"3\r\nabcd\r\n",
        b"1\nab",
        b"-1\r\n",
        b"1" * 200,
        b"0\r\nbad trailer\r\n",
    ],
)
def test_malformed_chunks_are_refused(chunks):
    raw = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
    assert end_of(request(Feed(raw))) is ConnectionEnd.MALFORMED


def test_header_values_are_stripped_and_lines_are_unchanged():
    read = run(request(Feed(b"GET / HTTP/1.1\r\nA: \t b c \t\r\nB:\r\na:d\r\n\r\n")))
    assert read.headers == {b"a": b"d", b"b": b""} and all(type(v) is bytes for v in read.headers.values())
    assert [(n, bytes(line)) for n, line in read.lines] == [
        (b"a", b"A: \t b c \t\r\n"),
        (b"b", b"B:\r\n"),
        (b"a", b"a:d\r\n"),
    ]


def test_sizes_are_limited():
    post = b"POST / HTTP/1.1\r\n"
    assert end_of(request(Feed(post + b"A: " + b"x" * http.MAX_HEAD_BYTES))) is ConnectionEnd.TOO_LARGE
    assert end_of(request(Feed(post + b"Content-Length: 101\r\n\r\n"))) is ConnectionEnd.TOO_LARGE
    endless = post + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"A: trailer\r\n" * http.MAX_HEAD_BYTES
    assert end_of(request(Feed(endless))) is ConnectionEnd.TOO_LARGE
    many = b"".join(b"1\r\nx\r\n" for _ in range(101))
    assert (
        end_of(request(Feed(post + b"Transfer-Encoding: chunked\r\n\r\n" + many))) is ConnectionEnd.TOO_LARGE
    )


def test_corrupted_answers_are_parsed_or_refused_with_a_reason():
    rng = random.Random(9)
    whole = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n4\r\nfine\r\n0\r\n\r\n"
    for _ in range(2000):
        raw = bytearray(whole)
        for _ in range(rng.randrange(1, 4)):
            raw[rng.randrange(len(raw))] = rng.randrange(256)
        try:
            assert len(answer(bytes(raw)).body) <= 100
        except ConnectionEnded as ended:
            assert ended.end in (ConnectionEnd.MALFORMED, ConnectionEnd.TOO_LARGE, ConnectionEnd.CLOSED_EARLY)


def test_answers_are_parsed():
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    assert answer(interim + b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").body == b"ok"
    assert answer(b"HTTP/1.1 204\r\n\r\n").body == b""
    assert not answer(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: Close\r\n\r\n").keep_alive
    assert not answer(b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n").keep_alive
    for cut in (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", b"HTTP/1.1 200 OK\r\n\r\nno end told"):
        assert end_of(http.read_answer(Feed(cut), 100)) is ConnectionEnd.CLOSED_EARLY


def test_hop_by_hop_headers_are_not_passed_on():
    got = answer(
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: 5\r\nA: 1\r\nB: 2\r\nC: 3\r\n"
        b"Connection: keep-alive, c\r\n\r\n"
    )
    assert got.keep_alive and [bytes(line) for line in http.forwarded_headers(got, frozenset((b"b",)))] == [
        b"A: 1\r\n"
    ]
