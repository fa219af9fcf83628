"""A connection that a process closes delivers what was written on it: the peer may still send, and links are slow.

Data that reaches a closed end resets the connection, and what that end's kernel has not sent yet is lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from lupinreach.mesh.buffer_budget import BufferBudget
from lupinreach.mesh.http_types import HttpRequest, HttpResponse, ServerLimits
from lupinreach.mesh.link import Link
from lupinreach.mesh.messages import Answer, PeerHello, Ping, Request, encode
from lupinreach.mesh.messages import Message as MeshMessage
from lupinreach.mesh.reader import MessageReader
from lupinreach.mesh.server import HttpServer
from mesh.network import MeshLoop
from mesh.world import CONTROL, INBOUND, OUTBOUND, World

ANSWER_BYTES = 30_000
LINK_BYTES_PER_S = 2_700_000 / 8  # of a machine whose link has 2.7 Mbit/s: 90 ms for one answer
OUTSTANDING = 4
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class Client(asyncio.Protocol):
    """Keeps requests under way on one connection until an answer says that it closes."""

    def __init__(self, outstanding: int = 0) -> None:
        self.answers: list[tuple[int, int]] = []  # status and size
        self.closes = False  # an answer said so
        self.closes_when_told = True
        self.ended_by: str = ""
        self.sent = 0
        self.outstanding = outstanding
        self._reader = MessageReader(responses=True, body_limit=1 << 20)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._fill()

    def send(self, data: bytes = b"") -> None:
        """Send a request, or other bytes."""
        self.sent += not data
        self.transport.write(data or self._request())

    def _request(self) -> bytes:
        return (
            b"GET /safe/x HTTP/1.1\r\nHost: h.example\r\nLupinreach-Request-Deadline: 4000\r\n"
            b"Lupinreach-Request-Id: q%d\r\n\r\n" % self.sent
        )

    def _fill(self) -> None:
        while self.outstanding and not self.closes and self.sent - len(self.answers) < self.outstanding:
            self.send()

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        while (whole := self._reader.next()) is not None:
            self.answers.append((whole.head.start_line[2], len(whole.body)))
            if not whole.head.keep_alive:
                self.closes = True
                if self.closes_when_told:
                    self.transport.close()
                return
        self._fill()

    def eof_received(self) -> bool:
        return not self.closes_when_told

    def connection_lost(self, exc: BaseException | None) -> None:
        self.ended_by = type(exc).__name__ if exc is not None else "end of stream"


@pytest.fixture
def loop() -> Iterator[MeshLoop]:
    """Connections between the hosts `server` and `client`; the link into `client` is slow."""
    mesh_loop = MeshLoop()
    mesh_loop.hosts |= {1: "server", 2: "client"}
    mesh_loop.rates["client"] = LINK_BYTES_PER_S
    yield mesh_loop
    mesh_loop.end()
    mesh_loop.close()


async def _large_answer(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, body=bytes(ANSWER_BYTES))


def _connect(loop: MeshLoop, client: Client, limits: ServerLimits | None = None) -> HttpServer:
    server = HttpServer(_large_answer)
    server.limits = limits or server.limits
    with loop.owned_by(1):
        loop.run_until_complete(server.listen(("server", 80)))
    with loop.owned_by(2):
        loop.run_until_complete(loop.create_connection(lambda: client, "server", 80))
    return server


def _run(loop: MeshLoop, seconds: float) -> None:
    loop.run_until_complete(asyncio.sleep(seconds))


# Guards against answers lost at SIGTERM: all were handed to the kernel, and the next request met a closed socket (review/8).
def test_stopping_server_delivers_answers_under_way(loop: MeshLoop) -> None:
    client = Client()
    server = _connect(loop, client)
    for _ in range(OUTSTANDING):
        client.send()
    _run(loop, 0.12)
    assert len(client.answers) == 1
    loop.call_soon(server.stop)
    _run(loop, 0.01)
    client.send()
    _run(loop, 2.0)
    assert client.answers == [(200, ANSWER_BYTES)] * (OUTSTANDING + 1)
    assert client.closes and not server.connections


# Guards against a server that keeps connections open for good whose last answer did not say that they close.
def test_stopping_server_closes_a_connection_once_its_answers_are_delivered(loop: MeshLoop) -> None:
    client = Client()
    server = _connect(loop, client)
    client.send()
    _run(loop, 0.05)
    loop.call_soon(server.stop)
    _run(loop, 0.0)
    assert server.sending
    _run(loop, 0.5)
    assert client.answers == [(200, ANSWER_BYTES)]
    assert client.ended_by == "end of stream" and not server.connections and not server.sending


# Guards against answers lost because requests behind the last one were not read, or came after it.
@pytest.mark.parametrize("late_s", [0.0, 0.05, 0.2])
def test_answer_that_closes_is_delivered_though_the_client_goes_on(loop: MeshLoop, late_s: float) -> None:
    client = Client()
    server = _connect(loop, client)
    client.send()
    client.send(REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
    _run(loop, late_s)
    for _ in range(3):
        client.send()
    _run(loop, 1.0)
    assert client.answers == [(200, ANSWER_BYTES)] * 2 and client.closes
    assert not server.connections


# Guards against an error reply, and the answers before it, lost to the rest of the request that it rejects.
@pytest.mark.parametrize(
    ("first", "rest", "status"),
    [
        (b"nonsense\r\n\r\n", b"more nonsense", 400),
        (b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n", b"x" * 5000, 413),
        (b"GET /a HTTP/1.1\r\nHost: h\r\nX: ", b"x" * 70000, 431),
    ],
    ids=["malformed", "body-too-large", "head-too-large"],
)
def test_error_reply_is_delivered_while_the_rest_of_its_request_comes(
    loop: MeshLoop, first: bytes, rest: bytes, status: int
) -> None:
    client = Client()
    server = _connect(loop, client, ServerLimits(max_body_bytes=8000))
    client.send()
    client.send(first)
    for _ in range(5):
        _run(loop, 0.02)
        client.send(rest)
    _run(loop, 1.0)
    assert [found for found, _ in client.answers] == [200, status]
    assert client.closes and not server.connections


# Guards against memory that stays reserved, and a process that stays busy, for a request that was refused and still comes.
def test_refused_upload_holds_no_memory_while_its_rest_comes(loop: MeshLoop) -> None:
    client = Client()
    client.closes_when_told = False
    server = _connect(loop, client)
    server.budget = BufferBudget(100_000)
    client.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + b"x" * 50_000)
    other = Client()
    other.closes_when_told = False
    with loop.owned_by(2):
        loop.run_until_complete(loop.create_connection(lambda: other, "server", 80))
    other.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 80000\r\n\r\n" + b"x" * 20_000)
    _run(loop, 0.3)
    assert [status for status, _ in other.answers] == [503]
    assert server.budget.used == 90_000
    other.send(b"x" * 20_000)
    client.send(b"x" * 40_000)
    _run(loop, 0.5)
    assert [status for status, _ in client.answers] == [200]
    assert server.budget.used == 0 and not server.busy
    assert len(server.connections) == 2  # the refused one lingers


# Guards against an idle timeout that runs while an answer is still under way, and resets it.
def test_idle_timeout_counts_from_the_delivery_of_the_answer(loop: MeshLoop) -> None:
    client = Client()
    loop.rates["client"] = ANSWER_BYTES / 4.0
    server = _connect(loop, client, ServerLimits(idle_timeout_ms=1500))
    client.send()
    _run(loop, 3.0)
    client.send()
    _run(loop, 6.0)
    assert client.answers == [(200, ANSWER_BYTES)] * 2
    _run(loop, 3.0)
    assert client.ended_by == "end of stream" and not server.connections


# Guards against closed connections that stay for good as their client does not close, or goes on sending.
@pytest.mark.parametrize(("sends_for_s", "most_s"), [(0.0, 3.0), (4.0, 7.0), (20.0, 11.0)])
def test_client_that_never_closes_is_let_go(loop: MeshLoop, sends_for_s: float, most_s: float) -> None:
    client = Client()
    client.data_received = lambda data: None  # type: ignore[method-assign]
    client.eof_received = lambda: True  # type: ignore[method-assign]
    server = _connect(loop, client)
    client.send(REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
    started_at = loop.time()
    while server.connections:
        if loop.time() < started_at + sends_for_s:
            client.send()
        _run(loop, 0.5)
    assert min(sends_for_s, 9.0) < loop.time() - started_at <= most_s


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    """A small mesh with a second proxy and a client behind a slow link."""
    world = World(tmp_path)
    try:
        world.loop.rates["client"] = LINK_BYTES_PER_S
        world.add_sidecar("s2", "zb", "alpha")
        world.start_small()
        assert world.loop.run_until_complete(world.replace_configuration("c1", "00000001")) == 200
        world.run_until(5.0)
        yield world
    finally:
        world.end()


def _open(world: World, host: str, port: int, factory: Callable[[], Any]) -> Any:
    """Open a connection from the client; returns its protocol."""
    world.loop.hosts[9999] = "client"
    with world.loop.owned_by(9999):
        return world.loop.run_until_complete(world.loop.create_connection(factory, host, port))[1]


def _stop(world: World, host: str, role: str) -> None:
    """SIGTERM to a process, which ends once it has stopped."""
    program, owner = world.programs[(host, role)], world.owners[(host, role)]

    async def stop() -> None:
        await program.stop()
        with world.loop.owned_by(0):
            world.loop.kill(owner)
            world.loop.close_connections(owner)

    with world.loop.owned_by(owner):
        world.loop.create_task(stop())


# Guards against requests that were run and lost at SIGTERM on a connection that always has some under way (review/8).
@pytest.mark.parametrize("after_s", [0.0, 0.03, 0.06, 0.09])
def test_proxy_that_is_told_to_end_answers_what_it_read(world: World, after_s: float) -> None:
    for backend in world.backends.values():
        backend.answer_bytes = ANSWER_BYTES
    client = _open(world, "s1", OUTBOUND, lambda: Client(OUTSTANDING))
    world.run_until(world.now + 1.0 + after_s)
    _stop(world, "s1", "proxy")
    world.run_until(world.now + 8.0)
    executed = {name for backend in world.backends.values() for name in backend.ran}
    assert client.closes and len(client.answers) >= len(executed), client.ended_by


# Guards against clients that always send the next request before the last answer: they were served until the grace
# period broke their requests off.
def test_busy_connection_ends_with_an_answer_in_time(world: World) -> None:
    for backend in world.backends.values():
        backend.work_ms = 400
    client = _open(world, "s1", OUTBOUND, lambda: Client(1))
    world.run_until(world.now + 0.2)
    client.outstanding = 2  # from here on in turn, so that one is always under way
    client.send()
    world.run_until(world.now + 1.0)
    _stop(world, "s1", "proxy")
    started_at = world.now
    while not client.closes and world.now < started_at + 8.0:
        world.run_until(world.now + 0.05)
    assert {status for status, _ in client.answers} == {200}
    assert world.now - started_at < 4.0


class Sender(asyncio.Protocol):
    """The end of a link of another proxy, which sends a request and goes on to send pings."""

    def __init__(self, request: Request) -> None:
        self.received: list[MeshMessage] = []
        self._link = Link(lambda link, message: self.received.append(message), lambda link: None)
        self._request = request

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._link.connection_made = lambda transport: None  # type: ignore[method-assign]
        self._link.open, self._link._transport = True, transport
        transport.write(encode(PeerHello("s9:8300")) + encode(self._request))

    def data_received(self, data: bytes) -> None:
        self._link.data_received(data)

    def ping(self) -> None:
        self.transport.write(encode(Ping()))


# Guards against an answer to another proxy that is lost as its kernel had not sent it when the process ended.
def test_proxy_that_is_told_to_end_delivers_answers_to_other_proxies(world: World) -> None:
    backend = world.backends["s2"]
    backend.answer_bytes, backend.work_ms = ANSWER_BYTES, 1000
    world.loop.rates["client"] = ANSWER_BYTES / 3.0
    gate = world.programs[("s2", "proxy")].gate
    request = Request(
        (7 << 32) + 1, "alpha", gate.backend.instance_id, "00000001", 6000, wait_ms=1000, rank=5000, method=b"GET",
        target=b"/safe/x", host=b"h.example", headers=b"Lupinreach-Request-Id: far\r\n",
    )  # fmt: skip
    sender = _open(world, "s2", INBOUND, lambda: Sender(request))
    world.run_until(world.now + 0.5)
    _stop(world, "s2", "proxy")
    for _ in range(60):
        world.run_until(world.now + 0.1)
        sender.ping()
    answers = [message for message in sender.received if isinstance(message, Answer)]
    assert [len(answer.body) for answer in answers] == [ANSWER_BYTES]


# Guards against an operator's order that is carried out and not answered, as the registry ends meanwhile.
def test_registry_that_is_told_to_end_answers_orders(world: World) -> None:
    order = world.loop.create_task(world.replace_configuration("c2", "00000002"))
    while not world.programs[("c2", "registry")]._stores._in_flight:
        world.run_until(world.now + 0.0005)
    _stop(world, "c2", "registry")
    world.run_until(world.now + 1.5)
    assert order.done() and order.result() == 200


# Guards against a read-back that is cut off: its bytes were handed to the kernel when the registry ended.
def test_registry_that_is_told_to_end_delivers_its_answers(world: World) -> None:
    world.loop.run_until_complete(world.replace_configuration("c1", "00000003", routes=300))
    client = _open(world, "c2", CONTROL, Client)
    describe = b"GET /configuration/describe HTTP/1.1\r\nHost: h\r\n\r\n"
    client.send(describe)
    world.run_until(world.now + 0.05)
    assert not client.answers
    _stop(world, "c2", "registry")
    world.run_until(world.now + 0.01)
    client.send(describe)
    world.run_until(world.now + 2.0)
    assert client.answers and client.answers[0][0] == 200
