"""`ArrivalClock` and the server never place the arrival of a call later than it was, however late the call is read."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from lupinreach.mesh.arrival import ITERATIONS_UNTIL_HANDLED, MARK_INTERVAL_S, ArrivalClock
from lupinreach.mesh.http_types import HttpRequest, HttpResponse
from lupinreach.mesh.server import HttpServer
from lupinreach.mesh.server_connection import MAX_PIPELINED_REQUESTS
from mesh.world import CONTROL, World

CALL = b"POST /evacuations/za/stop HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


def test_clock_that_runs_in_time_is_few_marks_behind() -> None:
    clock = ArrivalClock(0.0)
    for number in range(1, 100):
        clock.mark(number * MARK_INTERVAL_S)
    assert clock.arrived_after() == pytest.approx((99 - ITERATIONS_UNTIL_HANDLED) * MARK_INTERVAL_S)


# Guards against a call that a registry found when it woke and takes for new.
def test_clock_counts_from_before_a_stall_until_all_was_read() -> None:
    clock = ArrivalClock(0.0)
    for number in range(20):
        clock.mark(number * MARK_INTERVAL_S)
    for number in range(ITERATIONS_UNTIL_HANDLED):
        assert clock.arrived_after() < 20 * MARK_INTERVAL_S
        clock.mark(10.0 + number * MARK_INTERVAL_S)
    clock.mark(11.0)
    assert clock.arrived_after() >= 10.0


class _Recorder:
    """A server on loopback whose clock has a mark in every iteration: the most that a stall can be followed by."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.clock = ArrivalClock(asyncio.get_running_loop().time())
        self.server = HttpServer(self._handle, arrivals=self.clock)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        return HttpResponse(200)

    async def listen(self) -> tuple[str, int]:
        self._mark_each_iteration()
        await self.server.listen(("127.0.0.1", 0))
        assert self.server._server is not None
        address: tuple[str, int] = self.server._server.sockets[0].getsockname()
        return address

    def _mark_each_iteration(self) -> None:
        loop = asyncio.get_running_loop()
        self.clock.mark(loop.time())
        self._marking = loop.call_soon(self._mark_each_iteration)

    async def requests_read(self, count: int) -> list[HttpRequest]:
        async with asyncio.timeout(10.0):
            while len(self.requests) < count:
                await asyncio.sleep(0)
        return self.requests

    def close(self) -> None:
        self._marking.cancel()
        self.server.close()
        for connection in list(self.server.connections):
            connection.close_if_idle()


# Guards against a call in the backlog of a stalled process that is dated by its reading.
@pytest.mark.parametrize("connections", [1, 200])
def test_call_found_in_the_backlog_arrived_before_it_was_sent(connections: int) -> None:
    """The loop stands still while callers connect and send; it then accepts and reads them."""

    async def run() -> None:
        recorder = _Recorder()
        address = await recorder.listen()
        await asyncio.sleep(0.01)
        callers = [socket.create_connection(address) for _ in range(connections)]
        sent_at = asyncio.get_running_loop().time()
        for caller in callers:
            caller.sendall(CALL)
        requests = await recorder.requests_read(connections)
        assert max(request.arrived_after for request in requests) <= sent_at
        recorder.close()
        for caller in callers:
            caller.close()

    asyncio.run(run())


# Guards against a call on a kept connection that is dated by its reading.
def test_call_on_a_kept_connection_arrived_before_it_was_sent() -> None:
    async def run() -> None:
        recorder = _Recorder()
        caller = socket.create_connection(await recorder.listen())
        caller.sendall(CALL)
        await recorder.requests_read(1)
        for _ in range(20):
            await asyncio.sleep(0)
        sent_at = asyncio.get_running_loop().time()
        caller.sendall(CALL)
        requests = await recorder.requests_read(2)
        assert requests[0].arrived_after < requests[1].arrived_after <= sent_at
        recorder.close()
        caller.close()

    asyncio.run(run())


# Guards against a call that waited unread behind others and is dated by its reading.
def test_call_that_waits_behind_a_full_pipeline_counts_from_the_pause() -> None:
    async def run() -> None:
        recorder = _Recorder()
        loop = asyncio.get_running_loop()
        gate = asyncio.Event()
        handle = recorder.server.handle

        async def handle_after_gate(request: HttpRequest) -> HttpResponse:
            await gate.wait()
            return await handle(request)

        recorder.server.handle = handle_after_gate
        caller = socket.create_connection(await recorder.listen())
        caller.sendall(CALL * (MAX_PIPELINED_REQUESTS + 1))
        while not any(connection._paused for connection in recorder.server.connections):
            await asyncio.sleep(0)
        sent_at = loop.time()
        caller.sendall(CALL)
        for _ in range(50):
            await asyncio.sleep(0)
        gate.set()
        requests = await recorder.requests_read(MAX_PIPELINED_REQUESTS + 2)
        assert requests[-1].arrived_after <= sent_at
        recorder.close()
        caller.close()

    asyncio.run(run())


# Guards against an evacuation order that is refused, or waits, although its registry runs in time.
def test_registry_that_runs_in_time_executes_orders_at_once(tmp_path: Path) -> None:
    world = World(tmp_path)
    try:
        world.start_small()
        assert world.loop.run_until_complete(world.replace_configuration("c1", "00000001")) == 200
        for number in range(20):
            verb = "stop" if number % 2 else "start"
            host = f"c{number % 3 + 1}"
            started_at = world.now
            status, _ = world.loop.run_until_complete(
                world.call(host, CONTROL, "POST", f"/evacuations/za/{verb}")
            )
            assert status == 200
            assert world.now - started_at < 0.05
    finally:
        world.end()


# Guards against a registry that stays shut after a stall, or holds what it can't execute until a deadline.
def test_registry_that_stood_still_refuses_at_once_and_soon_takes_orders_again(tmp_path: Path) -> None:
    world = World(tmp_path)
    try:
        world.start_small()
        assert world.loop.run_until_complete(world.replace_configuration("c1", "00000001")) == 200
        world.freeze("c3", 2.0)
        old = world.loop.create_task(world.call("c3", CONTROL, "POST", "/evacuations/za/start"))
        woken_at = world.now + 2.0
        status, _ = world.loop.run_until_complete(old)
        assert status == 503 and world.now - woken_at < 0.05
        world.run_until(woken_at + 1.0)
        status, _ = world.loop.run_until_complete(world.call("c3", CONTROL, "POST", "/evacuations/za/start"))
        assert status == 200
    finally:
        world.end()
