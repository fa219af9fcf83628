"""A process that is told to end first hands complete answers over to the kernel."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from lupinreach.mesh.http_types import HttpRequest, HttpResponse
from lupinreach.mesh.messages import PeerHello, encode
from lupinreach.mesh.server import HttpServer
from mesh.network import MemoryTransport
from mesh.world import INBOUND, OUTBOUND, World

CALL = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
ANSWER_BYTES = 32 << 20  # more than the kernel buffers on both sides of a loopback connection


# Guards against a server that counts as idle while a part of an answer is still in its buffer.
@pytest.mark.parametrize("stop_first", [False, True])
def test_server_is_busy_until_the_answer_is_handed_over(stop_first: bool) -> None:
    async def run() -> None:
        async def handle(request: HttpRequest) -> HttpResponse:
            return HttpResponse(200, body=bytes(ANSWER_BYTES))

        server = HttpServer(handle)
        await server.listen(("127.0.0.1", 0))
        assert server._server is not None
        reader, writer = await asyncio.open_connection(*server._server.sockets[0].getsockname(), limit=1024)
        writer.write(CALL)
        async with asyncio.timeout(10.0):
            head = await reader.readuntil(b"\r\n\r\n")
        if stop_first:
            server.stop()
        received = 0
        while received < ANSWER_BYTES:
            missing_beyond_kernel = ANSWER_BYTES - received > 16 << 20
            assert server.sending or not missing_beyond_kernel
            assert server.busy == server.sending
            async with asyncio.timeout(10.0):
                piece = await reader.read(1 << 20)
            assert piece
            received += len(piece)
        assert b"200 OK" in head
        async with asyncio.timeout(1.0):
            while server.busy:  # until the client's kernel has acknowledged the end
                await asyncio.sleep(0.001)
        if stop_first:
            async with asyncio.timeout(10.0):
                assert await reader.read() == b""  # nothing more is read from a client after that
        writer.close()
        server.close()

    asyncio.run(run())


def _open_connection(world: World, host: str, port: int, first_bytes: bytes) -> MemoryTransport:
    """The host's end of a connection that stays open."""

    async def connect() -> MemoryTransport:
        transport, _ = await world.loop.create_connection(asyncio.Protocol, host, port)
        transport.write(first_bytes)
        await asyncio.sleep(0.1)
        peer: MemoryTransport = transport.peer
        return peer

    with world.loop.owned_by(0):
        world.loop.hosts.setdefault(0, host)
        return world.loop.run_until_complete(connect())


# Guards against a proxy that ends, told to, with answers in its buffers that a client, or another proxy, is still reading.
@pytest.mark.parametrize(("port", "first_bytes"), [(OUTBOUND, b""), (INBOUND, encode(PeerHello("s9:8300")))])
@pytest.mark.parametrize(("sending_s", "ends_after_s"), [(0.0, 2.7), (4.5, 4.6), (5.6, 5.75), (60.0, 5.75)])
def test_proxy_ends_once_its_answers_are_sent(
    sending_s: float,
    ends_after_s: float,
    port: int,
    first_bytes: bytes,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(tmp_path)
    try:
        world.start_small()
        assert world.loop.run_until_complete(world.replace_configuration("c1", "00000001")) == 200
        world.run_until(5.0)
        transport = _open_connection(world, "s1", port, first_bytes)
        started_at = world.now
        monkeypatch.setattr(
            MemoryTransport,
            "get_write_buffer_size",
            lambda self: int(self is transport and world.now < started_at + sending_s),
        )
        # A transport that is closed stays until it has sent its buffer.
        monkeypatch.setattr(
            MemoryTransport, "close", lambda self: None if self is transport else self.abort()
        )
        program = world.programs[("s1", "proxy")]
        with world.loop.owned_by(world.owners[("s1", "proxy")]):
            stopping = world.loop.create_task(program.stop())
        world.loop.run_until_complete(stopping)
        assert world.now - started_at == pytest.approx(ends_after_s, abs=0.12)
    finally:
        world.end()
