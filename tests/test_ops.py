"""The operators' endpoint, the reported metrics and draining clients, on loopback and without a bench."""

import asyncio
import itertools
import json
import time

import pytest
from helpers import OK, Peer, Site, look, run, says, target

from lupinreach.net.agent import Agent
from lupinreach.net.counters import Counters, Outcome
from lupinreach.net.readiness import DRAIN_SETTLE_MS, Readiness, State
from lupinreach.ops import metrics
from lupinreach.ops.operator_endpoint import MAX_CONNECTIONS, OperatorEndpoint

READY = b"GET /health/ready HTTP/1.1\r\n\r\n"
FAILED = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"


class Operated(Site):
    """A site whose agent has an operators' endpoint."""

    async def __aenter__(self):
        await super().__aenter__()
        self.endpoint = OperatorEndpoint(self.agent, ("127.0.0.1", 0))
        self.endpoint.open()
        return self

    async def __aexit__(self, *failed):
        self.endpoint.close()
        await super().__aexit__(*failed)

    async def call(self, method: bytes, path: bytes, more=b"", body=b"") -> tuple[int, bytes, bytes]:
        """Status, head and body of one request to the endpoint, which closes the connection."""
        reader, writer = await asyncio.open_connection(*self.endpoint.address)
        writer.write(method + b" " + path + b" HTTP/1.1\r\nHost: x\r\n" + more + b"\r\n" + body)
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        head, _, body_received = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), head, body_received

    async def metrics(self) -> dict:
        code, _, text = await self.call(b"GET", b"/_vars")
        assert code == 200
        return json.loads(text)


def code(answer: bytes) -> int:
    return int(answer.split()[1])


# The state reported to clients: the state machine against its table.


def test_state_follows_its_table_in_any_order_of_events():
    events = {
        "listed": lambda s: setattr(s, "listed", True),
        "on": lambda s: s.drain(1000.0),
        "again": lambda s: s.drain(5000.0),
        "off": lambda s: s.resume(),
        "stop": lambda s: setattr(s, "stopping", True),
    }
    for order in itertools.product(events, repeat=4):
        readiness, listed, drained, stopping = Readiness(), False, None, False
        for name in order:
            events[name](readiness)
            listed, stopping = listed or name == "listed", stopping or name == "stop"
            if name in ("on", "again"):
                drained = drained or (1000.0 if name == "on" else 5000.0)
            if name == "off":
                drained = None
            expected = (
                State.STOPPING
                if stopping
                else State.DRAINED
                if drained is not None
                else State.SERVING
                if listed
                else State.UNLISTED
            )
            assert readiness.state is expected
            assert readiness.ready == (expected is State.SERVING)
            assert readiness.closes_after_answer == (stopping or drained is not None)
            assert not readiness.serves_new_clients
            readiness.accepting = True
            assert readiness.serves_new_clients == (listed and not stopping)
            readiness.accepting = False
            for late in (-1.0, 0.0):
                assert readiness.closes_idle((drained or 0.0) + DRAIN_SETTLE_MS + late) == (
                    expected is State.DRAINED and late == 0.0
                )


# The endpoint.


@pytest.mark.parametrize(
    "method, path, more, body, expected, contained",
    [
        (b"GET", b"/_ready", b"", b"", 200, b"yes"),
        (b"GET", b"/_ready?x=1", b"", b"", 200, b"yes"),
        (b"POST", b"/_lameduck/on", b"Content-Length: 2\r\n", b"{}", 200, b"drained"),
        (
            b"POST",
            b"/_lameduck/off",
            b"Transfer-Encoding: chunked\r\n",
            b"1\r\nx\r\n0\r\n\r\n",
            200,
            b"back to work",
        ),
        (b"GET", b"/_lameduck/on", b"", b"", 405, b"Allow: POST"),
        (b"POST", b"/_vars", b"Content-Length: 0\r\n", b"", 405, b"Allow: GET"),
        (b"GET", b"/api", b"", b"", 404, b"no such path; there are /_ready"),
        (b"GET", b"/_ready", b"Content-Length: 1\r\nContent-Length: 2\r\n", b"", 400, b"can't be read"),
        (b"POST", b"/_lameduck/on", b"Content-Length: 9999999\r\n", b"", 413, b"too large"),
        (b"GET", b"/_ready", b"X: " + b"x" * 20_000 + b"\r\n", b"", 413, b"too large"),
    ],
)
def test_each_request_has_its_response(method, path, more, body, expected, contained):
    async def work():
        async with Operated(target("s-1", "127.0.0.1:9")) as site:
            status, head, text = await site.call(method, path, more, body)
            assert status == expected and contained in head + text and b"Connection: close" in head
            assert (site.agent.readiness.drained_at is not None) == (
                path == b"/_lameduck/on" and expected == 200
            )

    run(work())


def test_endpoint_is_not_ready_until_there_is_a_list():
    async def work():
        async with Operated() as site:
            assert (await site.call(b"GET", b"/_ready"))[0] == 503
            assert b"unlisted" in (await site.call(b"GET", b"/_ready"))[2]

    run(work())


def test_idle_connections_lock_nobody_out_and_are_closed():
    async def work():
        async with Operated(target("s-1", "127.0.0.1:9")) as site:
            held = [await asyncio.open_connection(*site.endpoint.address) for _ in range(3 * MAX_CONNECTIONS)]
            for _, writer in held[::2]:
                writer.write(b"GET /_re")
            started = time.monotonic()
            assert (await site.call(b"GET", b"/_ready"))[0] == 200
            assert time.monotonic() - started < 1.0
            assert len(site.endpoint._connections) <= MAX_CONNECTIONS
            ends = [await asyncio.wait_for(reader.read(), 5) for reader, _ in held]
            assert all(not end or code(end) == 408 for end in ends) and any(ends)
            while site.endpoint._connections:
                await asyncio.sleep(0)
            for _, writer in held:
                writer.close()

    run(work())


def test_agent_at_its_client_limit_still_answers_operators():
    async def work():
        settings = {"limits": {"memory_mb": 64, "sockets": 40}}
        async with Operated(target("s-1", "127.0.0.1:9"), **settings) as site:
            clients = [await site.client() for _ in range(30)]
            while (
                site.agent.listener.clients
                and len(site.agent.listener.clients) < site.agent.listener.max_served
            ):
                await asyncio.sleep(0)
            assert (await site.call(b"GET", b"/_ready"))[0] == 200
            for _, writer in clients:
                writer.close()

    run(work())


# Metrics.


def test_metrics_agree_with_what_the_peers_saw():
    async def work():
        asked, hold = 0, asyncio.Event()

        async def script(request, writer):
            nonlocal asked
            asked += 1
            if b"Req-Id: slow" in request:
                await hold.wait()
            writer.write(FAILED if b"Req-Id: bad" in request else OK)

        async with Peer(script) as backend, Operated(target("s-1", backend.address)) as site:
            for _ in range(7):
                assert code(await site.ask(look())) == 200
            pay = {"kind": b"pay", "method": b"POST", "body": b"x"}
            assert code(await site.ask(look(**pay, name=b"bad1"))) == 502
            assert code(await site.ask(look(name=b"bad2"))) == 429
            assert code(await site.ask(look(kind=b"nothing"))) == 400
            slow = asyncio.create_task(site.ask(look(name=b"slow1")))
            while (await site.metrics())["concurrent"] != 1:
                pass
            report = await site.metrics()
            assert report["success"] == {"look": 7, "pay": 0} and report["error"] == {"look": 0, "pay": 1}
            assert report["overload"] == {"look": 1, "pay": 0}
            assert report["dispatches"] == asked and report["targets"] == 1
            hold.set()
            assert code(await slow) == 200
            while (report := await site.metrics())["concurrent"]:
                pass
            assert report["success"]["look"] == 8
            assert site.agent.counters.snapshot()["written"] == report["dispatches"] == asked

    run(work())


def test_report_names_every_product_and_counts_at_most_the_listed_backends_as_avoided():
    counters = Counters()
    counters.count_answer("fulfilled", "a")
    counters.count_answer("left", "a")
    counters.count_answer("no room", None)
    report = metrics.report(["a", "b"], counters, 2, 3)
    assert report == {
        "success": {"a": 1, "b": 0},
        "overload": {"a": 0, "b": 0},
        "error": {"a": 0, "b": 0},
        "dispatches": 0,
        "concurrent": 0,
        "targets": 2,
        "targets_disabled": 2,
    }
    assert sum(sum(c.values()) for c in counters.outcomes.values()) == 1
    assert counters.outcomes[Outcome.FULFILLED]["a"] == 1


# Draining clients.


def test_drain_reports_not_ready_closes_connections_after_answers_and_idle_ones():
    async def work():
        async with Peer(says(OK)) as backend, Operated(target("s-1", backend.address)) as site:
            busy, idle, silent = [await site.client() for _ in range(3)]
            for client in (busy, idle):
                assert code(await site.ask(look(), client)) == 200
            assert code(await site.ask(READY, await site.client())) == 200
            assert (await site.call(b"POST", b"/_lameduck/on"))[0] == 200
            assert code(await site.ask(READY)) == 503
            answer = await site.ask(look(), busy)
            assert code(answer) == 200 and b"Connection: close" in answer  # served, then closed
            assert await asyncio.wait_for(busy[0].read(), 1) == b""
            for reader, _ in (idle, silent):
                assert await asyncio.wait_for(reader.read(), 3) == b""
            assert code(await site.ask(look())) == 200  # new calls are still served
            assert (await site.call(b"GET", b"/_ready"))[0] == 200  # the process keeps running
            assert (await site.call(b"POST", b"/_lameduck/on"))[0] == 200  # repeating it changes nothing
            assert (await site.call(b"POST", b"/_lameduck/off"))[0] == 200
            back = await site.client()
            assert code(await site.ask(READY, back)) == 200
            assert b"Connection: close" not in await site.ask(look(), back)

    run(work())


def test_drain_turned_off_at_once_closes_nothing():
    async def work():
        async with Peer(says(OK)) as backend, Operated(target("s-1", backend.address)) as site:
            client = await site.client()
            assert code(await site.ask(look(), client)) == 200
            for _ in range(3):
                await site.call(b"POST", b"/_lameduck/on")
                await site.call(b"POST", b"/_lameduck/off")
            await asyncio.sleep((DRAIN_SETTLE_MS + 300) / 1000)
            assert code(await site.ask(look(), client)) == 200

    run(work())


def test_endpoint_is_ready_only_once_clients_can_connect():
    async def work():
        async with Operated(target("s-1", "127.0.0.1:9")) as site:
            second = Agent(site.agent.config, site.agent.log)
            site.endpoint.close()
            site.endpoint = OperatorEndpoint(second, ("127.0.0.1", 0))
            site.endpoint.open()
            starting = asyncio.create_task(second.start(directory_wait_s=0.2))  # the directory stays silent
            while not second.readiness.listed:
                await asyncio.sleep(0)
            assert (await site.call(b"GET", b"/_ready"))[0] == 503 and not starting.done()
            await starting
            assert (await site.call(b"GET", b"/_ready"))[0] == 200
            second.listener.close()
            await second.tasks.stop()

    run(work())
