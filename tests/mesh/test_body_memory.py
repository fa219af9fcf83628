"""Large bodies are held once, and no more of them than the budget of the process allows."""

from __future__ import annotations

import asyncio
import tracemalloc
from pathlib import Path
from typing import Any

import pytest

from lupinreach.mesh.backend_client import (
    DELIVERY_POLL_INTERVAL_S,
    WRITE_STEP_BYTES,
    AttemptError,
    BackendConnection,
    BackendPool,
)
from lupinreach.mesh.buffer_budget import BufferBudget
from lupinreach.mesh.errors import AttemptFailure
from lupinreach.mesh.reader import MessageReader
from mesh.world import APP, World

BODY = bytes(range(256)) * (4 << 10)  # 1 MB
RESPONSE = b"HTTP/1.1 200 OK\r\nLupinreach-Request-Id: a\r\nContent-Length: 2\r\n\r\nok"


# Guards against a body that stands in memory twice while its parts are joined.
def test_large_body_is_received_without_a_second_copy() -> None:
    size = 16 << 20
    piece_bytes = 64 << 10
    reader = MessageReader(responses=False, body_limit=size)
    tracemalloc.start()
    try:
        reader.feed(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size)
        whole = reader.next()
        for _ in range(size // piece_bytes):
            assert whole is None
            reader.feed(bytes(piece_bytes))
            whole = reader.next()
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert whole is not None and len(whole.body) == size
    assert peak_bytes < 1.2 * size


class _SlowTransport:
    """A transport whose buffer is full after each write until `take` is called."""

    def __init__(self) -> None:
        self.written = bytearray()
        self.steps: list[int] = []
        self._pending = 0
        self.aborted = False
        self.protocol: BackendConnection

    def get_extra_info(self, name: str) -> Any:
        return None

    def get_write_buffer_size(self) -> int:
        return self._pending

    def write(self, data: Any) -> None:
        self.written += data
        self.steps.append(len(data))
        self._pending = len(data)
        self.protocol.pause_writing()

    def take(self) -> None:
        self._pending = 0
        self.protocol.resume_writing()

    def abort(self) -> None:
        self.aborted = True


async def _begin_exchange() -> tuple[BackendConnection, _SlowTransport, asyncio.Task[Any]]:
    connection, transport = BackendConnection(), _SlowTransport()
    transport.protocol = connection
    connection.connection_made(transport)  # type: ignore[arg-type]
    work = asyncio.create_task(connection.exchange(b"head", b"a", False, BODY))
    await asyncio.sleep(0)
    return connection, transport, work


async def _take_step(transport: _SlowTransport) -> None:
    transport.take()
    for _ in range(5):
        await asyncio.sleep(0)


# Guards against a body that is copied whole into the buffer of its connection.
def test_large_body_is_written_only_as_its_connection_takes_it() -> None:
    async def run() -> None:
        connection, transport, work = await _begin_exchange()
        assert len(transport.written) <= len(b"head") + WRITE_STEP_BYTES
        while len(transport.written) < len(b"head") + len(BODY):
            written = len(transport.written)
            await _take_step(transport)
            assert 0 < len(transport.written) - written <= WRITE_STEP_BYTES
        assert bytes(transport.written) == b"head" + BODY
        transport.take()
        connection.data_received(RESPONSE)
        assert (await work).body == b"ok"
        assert connection.reusable

    asyncio.run(run())


# Guards against a connection that is used again while the rest of a body is still due on it, and against a body that the
# backend never gets to its end although it has answered and reads on (review/5).
def test_response_before_the_end_of_a_large_body_is_returned_and_the_rest_is_delivered() -> None:
    async def run() -> None:
        connection, transport, work = await _begin_exchange()
        await _take_step(transport)
        transport.take()
        connection.data_received(RESPONSE)
        assert (await work).body == b"ok"
        written = len(transport.written)
        assert written < len(BODY)
        assert connection.owes_body and not connection.reusable
        budget = BufferBudget(0)
        pool = BackendPool(("h", 1), budget)
        pool.release(connection)
        while len(transport.written) < len(b"head") + len(BODY):
            written = len(transport.written)
            await _take_step(transport)
            assert 0 < len(transport.written) - written <= WRITE_STEP_BYTES
            assert pool.delivering == 1 and budget.used > 0 and not transport.aborted
        assert bytes(transport.written) == b"head" + BODY
        await _take_step(transport)
        await asyncio.sleep(2 * DELIVERY_POLL_INTERVAL_S)
        assert transport.aborted and pool.delivering == 0 == budget.used

    asyncio.run(run())


# Guards against a body that is sent on to a backend that has said that it does not run it.
def test_response_that_declines_ends_the_writing() -> None:
    async def run() -> None:
        connection, transport, work = await _begin_exchange()
        await _take_step(transport)
        transport.take()
        connection.data_received(RESPONSE.replace(b"\r\n\r\n", b"\r\nLupinreach-Not-Executed: 1\r\n\r\n"))
        assert (await work).body == b"ok"
        written = len(transport.written)
        BackendPool(("h", 1)).release(connection)
        await _take_step(transport)
        assert len(transport.written) == written < len(BODY)
        assert not connection.reusable and transport.aborted

    asyncio.run(run())


# Guards against an exchange that waits for room on a connection that has ended.
def test_connection_that_ends_within_a_large_body_breaks_the_exchange() -> None:
    async def run() -> None:
        connection, transport, work = await _begin_exchange()
        await _take_step(transport)
        connection.connection_lost(ConnectionResetError())
        with pytest.raises(AttemptError) as failed:
            await work
        assert failed.value.failure is AttemptFailure.BROKEN

    asyncio.run(run())


# Guards against bodies from other proxies that outgrow the memory of the process beside their backend.
def test_gate_receives_no_more_bodies_than_the_budget_allows(tmp_path: Path) -> None:
    size, uploads, capacity = 60_000, 12, 150_000
    world = World(tmp_path)
    try:
        for host, zone in (("c1", "za"), ("c2", "zb"), ("c3", "zc")):
            world.add_core(host, zone)
        for host in ("s1", "s2"):
            world.add_sidecar(host, "za", "alpha")
        for host in list(world.zones):
            world.start(host)
        world.first_start = False
        world.run_until(3.0)
        assert world.loop.run_until_complete(world.replace_configuration("c1", "00000001")) == 200
        world.stop_backend("s2")
        world.run_until(6.0)
        program = world.programs[("s1", "proxy")]
        budget = program._outbound_server.budget
        budget._capacity_bytes = capacity
        clients = [
            world.loop.create_task(world.send_request("s2", "/unsafe/x", f"u{number}", 2000, "POST", size))
            for number in range(uploads)
        ]
        most_used = 0
        while not all(client.done() for client in clients):
            world.run_until(world.now + 0.0005)
            most_used = max(most_used, budget.used)
        assert size <= most_used <= capacity  # charged at all, and never beyond the budget
        assert budget.used == 0
        statuses = [client.result() for client in clients]
        assert statuses.count(200) >= 2 and set(statuses) <= {200, 503}
        assert sum(world.run_count(f"u{number}") for number in range(uploads)) == statuses.count(200)
    finally:
        world.end()


class _EarlyBackend(asyncio.Protocol):
    """Answers as soon as the head of a request is there, and reads the body only later."""

    READS_ON_AFTER_S = 0.3
    receive_window_bytes = 64 << 10

    def __init__(self, received: bytearray, heads: list[bytes]) -> None:
        self._received, self._heads = received, heads
        self._head = b""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._head:
            self._received += data
            return
        self._head, _, body = data.partition(b"\r\n\r\n")
        self._heads.append(self._head)
        self._received += body
        request_id = next(line for line in self._head.split(b"\r\n") if b"request-id" in line.lower())
        self._transport.write(
            b"HTTP/1.1 200 OK\r\n"
            + request_id
            + b"\r\nLupinreach-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"
        )
        self._transport.pause_reading()
        asyncio.get_running_loop().call_later(self.READS_ON_AFTER_S, self._transport.resume_reading)


# Guards against an upload that is answered with success and never reaches its backend whole (review/5).
def test_backend_that_answers_early_gets_the_whole_upload(tmp_path: Path) -> None:
    size = 3 << 20
    world = World(tmp_path)
    received: bytearray = bytearray()
    heads: list[bytes] = []

    def accept() -> _EarlyBackend:
        return _EarlyBackend(received, heads)

    try:
        world.start_small()
        assert world.loop.run_until_complete(world.replace_configuration("c1", "00000001")) == 200
        world.run_until(5.0)
        world.loop.listeners[("s1", APP)] = (accept, world.owners[("s1", "backend")])
        upload = world.loop.create_task(world.send_request("s1", "/unsafe/x", "u", 4000, "POST", size))
        world.run_until(world.now + 3.0)
        assert upload.result() == 200 and world.answers["u"][1] < _EarlyBackend.READS_ON_AFTER_S
        assert len(heads) == 1 and len(received) == size
        assert world.programs[("s1", "proxy")].gate._pool.delivering == 0
    finally:
        world.end()
