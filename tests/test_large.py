"""Long messages and all framings of HTTP/1.1, on loopback with scripted peers."""

import asyncio
import random
import socket
import threading
import time

import pytest
from helpers import OK, Peer, Site, look, read_http, run, says, target

from lupinreach.net import call, exchange, http, listener
from lupinreach.net.channel import RESET_ON_CLOSE
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded
from lupinreach.net.counters import Outcome

PAY = {"kind": b"pay", "method": b"POST"}


def status(answer: bytes) -> int:
    return int(answer.split()[1])


def random_bytes(size: int, seed: int = 7) -> bytes:
    return random.Random(seed).randbytes(size)


def chunked(body: bytes, size: int, extension=b"", trailer=b"") -> bytes:
    pieces = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x%s\r\n%s\r\n" % (len(p), extension, p) for p in pieces) + b"0\r\n" + trailer + b"\r\n"


async def read_any(reader) -> tuple[bytes, bytes, bool]:
    """Read a message of any framing; returns its head, body and whether it is complete."""
    head = await reader.readuntil(b"\r\n\r\n")
    low, body = head.lower(), bytearray()
    try:
        if b"transfer-encoding: chunked" in low:
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return head, bytes(body), True
        if b"content-length:" in low:
            body += await reader.readexactly(int(low.partition(b"content-length:")[2].split(b"\r\n")[0]))
            return head, bytes(body), True
        while piece := await reader.read(1 << 16):
            body += piece
        return head, bytes(body), True
    except (asyncio.IncompleteReadError, ConnectionError) as broken:
        return head, bytes(body) + getattr(broken, "partial", b""), False


async def ask_once(site, raw):
    reader, writer = await site.client()
    writer.write(raw)
    try:
        return await asyncio.wait_for(read_any(reader), 10)
    finally:
        writer.close()


# Answers.


@pytest.mark.parametrize("size", [0, 1, 16_384, 16_385, 65_536, 65_537, 3_000_000])
@pytest.mark.parametrize("form", ["length", "chunked", "extensions", "closes", "closes, HTTP/1.0"])
def test_answers_of_any_size_and_framing_are_passed_on_unchanged(size, form):
    body = random_bytes(size)
    answer = {
        "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + body,
        "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, 1000),
        "extensions": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunked(body, 700, b';x="y"', b"Trailer: x\r\n"),
        "closes": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
        "closes, HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\n" + body,
    }[form]

    async def script(request, writer):
        writer.write(answer)
        await writer.drain()
        if "closes" in form:
            writer.close()

    async def work():
        async with Peer(script) as backend, Site(target("s-1", backend.address)) as site:
            for old in (False, True):
                raw = look(**PAY, body=b"x")
                head, got, whole = await ask_once(site, raw.replace(b"HTTP/1.1", b"HTTP/1.0") if old else raw)
                assert status(head) == 200 and got == body and whole
                assert not (old and b"chunked" in head.lower())
            await site.settled()
            counters = site.agent.counters
            assert counters.outcomes[Outcome.FULFILLED]["pay"] == 2 and counters.shots == {"served": 2}
            assert backend.connections == (
                2 if "closes" in form else 1
            )  # a connection whose answer was read completely is reused

    run(work())


@pytest.mark.parametrize("busy", ["before it is passed on", "after it"])
def test_long_answer_that_begins_at_its_deadline_still_answers_the_client(monkeypatch, busy):
    """The event loop blocks past the attempt's deadline between the first bytes and their way to the client.

    Guards against a timer that ends the attempt in between and leaves the client without an answer.
    """

    def block_event_loop():
        time.sleep(0.25)

    class Began(call.AnswerBegan):
        def __init__(self, number):
            super().__init__(number)
            block_event_loop()

    def begin(client, *what):
        block_event_loop()
        return began(client, *what)

    async def script(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n")
        writer.write(random_bytes(100_000))
        await writer.drain()
        await asyncio.sleep(0.4)
        writer.write(random_bytes(100_000))

    async def work():
        async with Peer(script) as backend, Site(target("s-1", backend.address)) as site:
            head, got, whole = await ask_once(site, look(**PAY, body=b"x", deadline=b"0.2"))
            assert whole and (status(head) == 502 or len(got) == 200_000)
            await site.settled()

    began = listener.Client.begin_answer
    if busy == "after it":
        monkeypatch.setattr(listener.Client, "begin_answer", begin)
    else:
        monkeypatch.setattr(call, "AnswerBegan", Began)
    run(work())


@pytest.mark.parametrize("form", ["length", "chunked", "closes"])
@pytest.mark.parametrize("sent", [100_000, 2_000_000])
def test_interrupted_streamed_answer_is_recognizably_incomplete_and_not_retried(form, sent):
    head = {
        "length": b"Content-Length: 4000000\r\n",
        "chunked": b"Transfer-Encoding: chunked\r\n",
        "closes": b"Connection: close\r\n",
    }[form]

    async def script(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n")
        writer.write(chunked(random_bytes(sent), 1000)[:-5] if form == "chunked" else random_bytes(sent))
        await writer.drain()
        await asyncio.sleep(0.05)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)  # as a process that dies does
        writer.transport.abort()

    async def work():
        async with Peer(script) as backend, Site(target("s-1", backend.address)) as site:
            head, got, whole = await ask_once(site, look())
            assert status(head) == 200 and not whole and random_bytes(sent).startswith(got)
            await site.settled()
            assert (
                len(backend.requests) == 1
            )  # idempotent, but no further attempt may follow a streamed answer
            assert site.agent.counters.outcomes[Outcome.ERRORED]["look"] == 1
            assert site.agent.counters.open == 0

    run(work())


def test_truncated_small_answer_and_too_long_answer_are_errored():
    async def work():
        for answer in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nnoise",
            b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nhalf",
        ):
            async with Peer(says(answer)) as backend, Site(target("s-1", backend.address)) as site:
                assert status(await site.ask(look(**PAY, body=b"x"))) == 502

    run(work())


def test_client_that_stops_reading_throttles_its_backend_and_uses_little_memory():
    written = 0

    async def script(request, writer):
        nonlocal written
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 << 20))
        while written < 32 << 20:
            writer.write(bytes(1 << 16))
            written += 1 << 16
            await writer.drain()

    async def work():
        async with Peer(script) as backend, Site(target("s-1", backend.address)) as site:
            reader, writer = await site.client()
            reader._limit = 1 << 10
            writer.write(look())
            await reader.readuntil(b"\r\n\r\n")
            before = -1
            while before != written:  # until the transfer stalls
                before = written
                await asyncio.sleep(0.1)
            assert written < 24 << 20  # the rest is in the buffers of both kernels or was not produced
            (client,) = site.agent.listener.clients
            held = len(client.channel.buffer) + len(client.channel.stream._write_buffer)
            assert held <= 4 * exchange.STREAM_BUFFER_BYTES
            writer.transport.abort()
            await site.settled()
            assert site.agent.counters.open == 0 and site.agent.pool.open == 0

    run(work())


def test_latency_of_a_long_answer_is_that_of_its_first_bytes(monkeypatch):
    async def script(request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n")
        for _ in range(8):
            writer.write(bytes(50_000))
            await writer.drain()
            await asyncio.sleep(0.07)  # in total longer than the SLO of 400 ms

    async def work():
        async with Peer(script) as backend, Site(target("s-1", backend.address)) as site:
            balancer = site.agent.balancer
            reader, writer = await site.client()
            writer.write(look())
            await reader.readuntil(b"\r\n\r\n")
            (b,) = balancer._backends.values()
            assert (
                b.inflight == 0 and b.latency_ms[0] is not None and b.latency_ms[0] < 200
            )  # recorded, and still in transfer
            assert site.agent.counters.open == 1
            assert len(await reader.readexactly(400_000)) == 400_000
            await site.settled()
            assert b.latency_ms[0] < 200 and not b.ejected_until[0] and not balancer._open_calls
            assert site.agent.counters.shots == {"served": 1}
            writer.close()

    run(work())


# Requests.


@pytest.mark.parametrize("size", [65_536, 65_537, 700_000])
@pytest.mark.parametrize("form", ["length", "chunked", "pieces", "expect"])
def test_long_request_is_passed_on_unchanged_and_can_be_retried(size, form):
    body, seen = random_bytes(size), []

    async def script(request, writer):
        seen.append(request.partition(b"\r\n\r\n")[2])
        writer.write(
            OK if len(seen) > 1 else b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
        )

    async def work():
        async with Peer(script) as one, Site(target("s-1", one.address), target("s-2", one.address)) as site:
            reader, writer = await site.client()
            if form == "chunked":
                writer.write(
                    look(**PAY, more=b"Transfer-Encoding: chunked\r\n") + chunked(body, 999, b";a=b")
                )
            elif form == "expect":
                writer.write(look(**PAY, more=b"Expect: 100-continue\r\nContent-Length: %d\r\n" % size))
                assert b" 100 " in await reader.readuntil(b"\r\n\r\n")
                writer.write(body)
            else:
                raw = look(**PAY, body=body)
                step = len(raw) if form == "length" else 4097
                for i in range(0, len(raw), step):
                    writer.write(raw[i : i + step])
                    await asyncio.sleep(0)
            head, _, whole = await asyncio.wait_for(read_any(reader), 5)
            assert status(head) == 200 and whole and seen == [body, body]  # it never ran, so it is retried
            await site.settled()
            assert site.agent.serving.body_memory.held == 0
            writer.close()

    run(work())


def test_request_split_at_any_byte_is_read():
    raw = look(**PAY, more=b"Transfer-Encoding: chunked\r\n", name=b"XX") + chunked(b"some body", 4, b";q")

    async def work():
        async with Peer(says(OK)) as backend, Site(target("s-1", backend.address)) as site:
            connection = await site.client()
            for at in range(1, len(raw)):
                name = b"%02x" % at
                now = raw.replace(b"XX", name)
                connection[1].write(now[:at])
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                connection[1].write(now[at:])
                assert status(await asyncio.wait_for(read_http(connection[0]), 5)) == 200
            assert (
                all(r.endswith(b"\r\n\r\nsome body") for r in backend.requests) and backend.connections == 1
            )

    run(work())


def test_deadline_of_a_request_counts_from_its_last_byte():
    async def work():
        async with Peer(says(OK)) as backend, Site(target("s-1", backend.address)) as site:
            reader, writer = await site.client()
            raw = look(**PAY, deadline=b"0.3", body=b"x" * 1000)
            writer.write(raw[:30])
            await asyncio.sleep(0.2)
            writer.write(raw[30:-10])
            await asyncio.sleep(0.3)
            writer.write(raw[-10:])
            assert status(await asyncio.wait_for(read_http(reader), 2)) == 200
            deadline = backend.requests[0].partition(b"Req-Deadline: ")[2].split(b"\r\n")[0]
            assert 0.15 < float(deadline) <= 0.3

    run(work())


SMALL_LIMITS = {"limits": {"memory_mb": 32, "sockets": 256}}  # 1 MB for one body, 8 MB in total


@pytest.mark.parametrize("form", ["length", "chunked"])
@pytest.mark.parametrize("size", [1_200_000, 6_000_000])
def test_request_over_the_memory_limit_is_forwarded_while_read_in_one_attempt(size, form):
    body, seen = random_bytes(size), []

    async def script(reader, writer):
        head, got, whole = await read_any(reader)
        seen.append((head, got, whole))
        writer.write(OK)

    async def work():
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with server, Site(target("s-1", f"{host}:{port}"), **SMALL_LIMITS) as site:
            more = b"Content-Length: %d\r\n" % size if form == "length" else b"Transfer-Encoding: chunked\r\n"
            raw = look(**PAY, more=more) + (body if form == "length" else chunked(body, 4000))
            head, _, whole = await ask_once(site, raw)
            assert status(head) == 200 and whole
            await site.settled()
            ((head, got, whole),) = seen
            assert got == body and whole and (b"chunked" in head) == (form == "chunked")
            counters = site.agent.counters
            assert counters.others["requests sent ahead"] == 1 and counters.written == 1
            assert (
                counters.outcomes[Outcome.FULFILLED]["pay"] == 1 and site.agent.serving.body_memory.held == 0
            )
            assert site.agent.pool.open <= 1 and not site.agent.balancer._open_calls

    run(work())


@pytest.mark.parametrize("how, code", [("breaks", 503), ("declines", 429), ("fails", 502)])
def test_forwarded_request_that_never_ran_is_rejected_and_one_that_may_have_run_errored(how, code):
    bodies, broken = 0, asyncio.Event()

    async def script(reader, writer):
        nonlocal bodies
        if how == "breaks":
            await reader.readexactly(500_000)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
            broken.set()
            return
        await read_any(reader)
        bodies += 1
        writer.write(
            b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
            if how == "declines"
            else b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        )

    async def work():
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with (
            server,
            Site(target("s-1", f"{host}:{port}"), target("s-2", f"{host}:{port}"), **SMALL_LIMITS) as site,
        ):
            reader, writer = await site.client()
            raw = look(**PAY, body=random_bytes(3_000_000))
            writer.write(raw[:-100_000])
            if how == "breaks":
                await asyncio.wait_for(broken.wait(), 5)
            writer.write(raw[-100_000:])
            head, _, _ = await asyncio.wait_for(read_any(reader), 5)
            assert status(head) == code and bodies == (how != "breaks")
            writer.close()
            await site.settled()
            while site.agent.listener.clients:
                await asyncio.sleep(0)
            assert site.agent.serving.body_memory.held == 0 and site.agent.counters.open == 0

    run(work())


def test_disconnect_during_forwarding_releases_all_resources():
    ended = asyncio.Event()

    async def script(reader, writer):
        try:
            await read_any(reader)
        finally:
            ended.set()

    async def work():
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with server, Site(target("s-1", f"{host}:{port}"), **SMALL_LIMITS) as site:
            _, writer = await site.client()
            writer.write(look(**PAY, body=random_bytes(3_000_000))[:2_000_000])
            await writer.drain()
            while not site.agent.counters.others["requests sent ahead"]:
                await asyncio.sleep(0)
            writer.transport.abort()
            await asyncio.wait_for(ended.wait(), 5)
            while site.agent.listener.clients:
                await asyncio.sleep(0)
            assert site.agent.serving.body_memory.held == 0 and site.agent.pool.open == 0
            assert site.agent.counters.written == 0 and not site.agent.counters.taken

    run(work())


# Framing, compared with the generated input.


class Feed:
    """Stands in for a channel: delivers the given pieces, then ends."""

    def __init__(self, pieces) -> None:
        self.pieces = list(pieces)
        self.buffer, self.start, self.end = bytearray(), 0, 0

    async def fill(self, begun=False):
        if not self.pieces:
            raise ConnectionEnded(ConnectionEnd.CLOSED_EARLY)
        self.buffer = self.buffer[self.start : self.end] + self.pieces.pop(0)
        self.start, self.end = 0, len(self.buffer)

    def ensure_capacity(self, size):
        pass


def head_of(**more) -> http.Head:
    given = {
        "start_line": (b"POST", b"/", 0),
        "headers": {},
        "lines": [],
        "options": frozenset(),
        "keep_alive": True,
        "length": None,
        "chunked": False,
        "size": 0,
    }
    return http.Head(**given | more)


def test_generated_chunked_bodies_are_read_in_any_fragmentation():
    chance = random.Random(11)
    for _ in range(400):
        body = chance.randbytes(chance.choice((0, 1, 5, 300, 5000)))
        text, at = bytearray(), 0
        while at < len(body):
            size = chance.randint(1, chance.choice((1, 7, 2000)))
            piece = body[at : at + size]
            extension = chance.choice((b"", b";a", b" ;b=c"))
            digits = b"%x" % len(piece)
            text += (
                chance.choice((digits, digits.upper(), digits.zfill(4)))
                + extension
                + b"\r\n"
                + piece
                + b"\r\n"
            )
            at += size
        text += b"0\r\n" + chance.choice((b"", b"T: x\r\n")) + b"\r\n"
        rest = chance.choice((b"", b"GET / HTTP/1.1\r\n"))
        whole, pieces, at = bytes(text) + rest, [], 0
        while at < len(whole):
            size = chance.randint(1, chance.choice((1, 50, 9000)))
            pieces.append(whole[at : at + size])
            at += size
        feed = Feed(pieces)
        got = run(http.read_body(feed, head_of(chunked=True), 10_000))
        left = bytes(feed.buffer[feed.start : feed.end]) + b"".join(feed.pieces)
        assert bytes(got) == body and left == rest
        cut = chance.randrange(len(text))
        with pytest.raises(ConnectionEnded):
            run(http.read_body(Feed([bytes(text[:cut])]), head_of(chunked=True), 10_000))


def test_endless_framing_is_refused_and_many_small_chunks_are_accepted():
    many = chunked(bytes(100_000), 1)
    assert len(run(http.read_body(Feed([many]), head_of(chunked=True), 1 << 20))) == 100_000
    endless = b"1" + b";x=" + b"y" * 100 + b"\r\nx\r\n"
    with pytest.raises(ConnectionEnded) as refused:
        run(http.read_body(Feed([endless] * 10_000), head_of(chunked=True), 1 << 20))
    assert refused.value.end is ConnectionEnd.TOO_LARGE
    with pytest.raises(ConnectionEnded) as refused:
        run(http.read_body(Feed([b"0\r\n"] + [b"A: b\r\n"] * 10_000), head_of(chunked=True), 1 << 20))
    assert refused.value.end is ConnectionEnd.TOO_LARGE


def test_late_event_loop_does_not_count_as_backend_latency():
    listening = socket.create_server(("127.0.0.1", 0))
    asked_for, go = threading.Event(), threading.Event()

    def serve():
        sock, _ = listening.accept()
        with sock:
            sock.recv(1 << 16)
            asked_for.set()
            go.wait(10)
            sock.sendall(OK)

    async def work():
        host, port = listening.getsockname()
        async with Site(target("s-1", f"{host}:{port}")) as site:
            answer = asyncio.create_task(site.ask(look()))
            while not asked_for.is_set():
                await asyncio.sleep(0)
            go.set()
            time.sleep(0.3)  # the answer arrives while the event loop is blocked
            assert status(await answer) == 200
            (b,) = site.agent.balancer._backends.values()
            assert b.latency_ms[0] < 200

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    with listening:
        run(work())
    thread.join(5)
