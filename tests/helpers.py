"""Shared by the tests: settings, a recording port, a reference model of the rules, scripted peers."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import re
import tempfile
from dataclasses import dataclass, field
from typing import Any

from lupinreach.balance import Balancer
from lupinreach.config import read_agent
from lupinreach.model import (
    NEVER_RAN,
    AttemptEnd,
    DedupScope,
    Idempotency,
    Limits,
    Listing,
    ListState,
    NewCall,
    Product,
    Rules,
    Settings,
    UpdateKind,
)
from lupinreach.net.agent import Agent
from lupinreach.net.clock import Clock
from lupinreach.net.log import Log

READY, DRAINING, REMOVED = ListState.READY, ListState.DRAINING, ListState.REMOVED


def settings(
    kinds=((Idempotency.IDEMPOTENT, DedupScope.ALL),),
    slo=400.0,
    timeout=2000.0,
    memory=1000.0,
    attempts=4,
    hedging=True,
    cold=10_000.0,
    start=0.2,
    agents=1,
    customers=(),
    **more: Any,
) -> Settings:
    products = tuple(
        Product(f"p{i}", slo, timeout, 1.0 + i, kind, group, memory) for i, (kind, group) in enumerate(kinds)
    )
    return Settings(
        products,
        Rules(500.0, 3.0, 2000.0, start, cold, 10_000.0, 20.0),
        Limits(attempts, hedging, True, retry_after=True, max_retry_after=1000.0),
        customers=customers,
        agents=agents,
        step=1.0,
        **more,
    )


class Recorder:
    """A port that records what the decision module requests."""

    def __init__(self) -> None:
        self.sent: list[tuple[Any, int, float]] = []
        self.cancelled: list[tuple[Any, int]] = []
        self.answers: list[tuple[str, Any]] = []
        self.retry_after: list[float] = []
        self.wakes: list[tuple[float, str]] = []
        self.asked = 0
        self.logged: list[str] = []

    def send(self, token, backend, until):
        self.sent.append((token, backend, until))

    def cancel(self, token, attempt):
        self.cancelled.append((token, attempt))

    def rate_limit(self, token, retry_after):
        self.answers.append(("rate-limited", token))
        self.retry_after.append(retry_after)

    def error(self, token):
        self.answers.append(("errored", token))

    def wake(self, at, mark):
        self.wakes.append((at, mark))

    def directory(self, follow):
        self.asked += 1

    def probe(self, backend):
        raise AssertionError("no probe is expected")

    def peers(self, message):
        raise AssertionError("no message is expected")

    def log(self, text):
        self.logged.append(text)


class Bench:
    """One balancer with a clock that the test advances; timers fire on the way."""

    def __init__(self, given: Settings, backends=4, seed=7, entries=None) -> None:
        self.port = Recorder()
        self.now = 1_000_000.0
        self.agent = Balancer(given, seed, self.port)
        self.agent.start(self.now)
        self.calls: dict[Any, Any] = {}
        ready = [Listing(i, READY, zone=i % 2, cell=i % 3) for i in range(backends)]
        self.list(UpdateKind.CACHED, entries or ready)

    def list(self, news, entries):
        self.agent.update_backends(self.now, news, entries)

    def move(self, ms: float) -> None:
        until = self.now + ms
        while True:
            due = min((w for w in self.port.wakes if w[0] <= until), default=None)
            if due is None:
                break
            self.port.wakes.remove(due)
            self.now = max(self.now, due[0])
            self.agent.on_timer(self.now, due[1])
        self.now = until

    def submit(self, token, product=0, left=2000.0, **more):
        call = self.agent.submit(self.now, NewCall(token, product, self.now + left, **more))
        self.calls[token] = call
        return call

    def sent_to(self, token) -> list[int]:
        return [b for t, b, _ in self.port.sent if t == token]

    def answer(self, token, latency=100.0, end=AttemptEnd.FULFILLED, number=None) -> None:
        number = len(self.sent_to(token)) - 1 if number is None else number
        self.calls[token].on_attempt_ended(self.now, number, end, latency, end is AttemptEnd.FULFILLED)

    def serve(self, token, latency=100.0, end=AttemptEnd.FULFILLED, product=0) -> int:
        """Serve one call from arrival to its end; returns the backend of its first attempt."""
        self.submit(token, product)
        backend = self.sent_to(token)[0]
        self.move(latency)
        self.answer(token, latency, end, 0)
        return backend


def simulate_list_requests(starts, step, most, until=10 * 60_000.0):
    """Agents request the list at `starts`; the directory takes `step` ms each and rejects after `most` ms.

    Returns when each got its list, by seed; and for each rejected request, when it was made and repeated.
    All in ms since the first; nothing begins after `until`.
    """
    benches = [Bench(settings(), seed=seed) for seed in range(len(starts))]
    begun, free, got, turned = benches[0].now, 0.0, {}, []
    queue = [(begun + at, seed) for seed, at in enumerate(starts)]
    while queue:
        queue.sort()
        at, seed = queue.pop(0)
        if at > begun + until:
            break
        bench = benches[seed]
        free = max(free, at) + step
        if free <= at + most:
            got[seed] = free - begun
            continue
        bench.now = at + most
        bench.list(UpdateKind.FAILED, [])
        again, mark = bench.port.wakes.pop()
        bench.agent.on_timer(again, mark)
        queue.append((again, seed))
        turned.append((at - begun, again - begun))
    return got, turned


@dataclass
class PlainAttempt:
    """An attempt as the reference model keeps it."""

    backend: int
    at: float
    end: AttemptEnd | None = None

    @property
    def may_have_run(self) -> bool:
        return self.end is None or self.end not in NEVER_RAN


@dataclass
class PlainCall:
    """Reference model of the rules for one call, written from the protocol's page without regard to speed."""

    product: Product
    limits: Limits
    until: float
    attempts: list[PlainAttempt] = field(default_factory=list)
    final: list[str] = field(default_factory=list)

    def violation_of_send(self, now: float, backend: Listing, listings: dict[int, Listing]) -> str | None:
        maybe = [s for s in self.attempts if s.may_have_run]
        if self.final:
            return "an attempt after the final answer"
        if backend.state is not READY:
            return "an attempt at a backend that is not ready"
        if now >= self.until:
            return "an attempt after the client timeout"
        if len(self.attempts) >= self.limits.max_attempts:
            return "more attempts than allowed"
        if any(s.end is None for s in self.attempts) and not self.limits.allow_hedging:
            return "two attempts in flight at once"
        if self.product.kind is Idempotency.NON_IDEMPOTENT and maybe:
            return "a non-idempotent call that may have run was sent again"
        if self.product.kind is Idempotency.DEDUPLICATED and maybe:
            if now >= min(s.at for s in maybe) + self.product.memory:
                return "a repeat after the deduplication period"
            for s in maybe:
                other = listings[s.backend]
                if self.product.group is DedupScope.ZONE and other.zone != backend.zone:
                    return "a repeat in another zone"
                if self.product.group is DedupScope.CELL and other.cell != backend.cell:
                    return "a repeat in another cell"
        return None

    def violation_of_answer(self, what: str) -> str | None:
        maybe = [s for s in self.attempts if s.may_have_run]
        if self.final:
            return "a second final answer"
        if what == "rate-limited" and maybe and self.product.kind is not Idempotency.IDEMPOTENT:
            if self.product.kind is Idempotency.NON_IDEMPOTENT or self.product.group is not DedupScope.ALL:
                return "a rate-limit reply for what may have run"
        return None


# The agent on loopback sockets, with scripted backends, directory and clients.

AGENT_SETTINGS = {
    "categories": [
        {"name": "look", "semantics": "repeatable", "aim": 400.0, "give_up": 2000.0, "credit": 1.0},
        {"name": "pay", "semantics": "once", "aim": 400.0, "give_up": 2000.0, "credit": 5.0},
    ],
    "ceilings": {
        "max_attempts": 3,
        "may_cancel": True,
        "retry_after": True,
        "max_retry_after": 1000.0,
        "connect_timeout": 200.0,
        "conn_idle": 60_000.0,
        "probes": True,
        "peer_messages": True,
    },
    "invariants": {"ask_within": 4000.0, "answer_slack": 20.0, "start_capacity": 0.2, "cold": 10_000.0},
    "report": {"fields": ["outstanding", "backlog"], "how": "inline"},
    "discovery": "on_request",
    "zones": ["a", "b"],
}
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"


class Peer:
    """A scripted server: `script(message, writer)` is awaited for each complete request."""

    def __init__(self, script) -> None:
        self.script = script
        self.requests: list[bytes] = []
        self.connections = 0
        self.serving: set[asyncio.Task] = set()  # one per open connection
        self.gone = asyncio.Event()  # a connection has ended

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for task in self.serving:
            task.cancel()

    async def _serve(self, reader, writer):
        self.connections += 1
        self.serving.add(task := asyncio.current_task())
        task.add_done_callback(self.serving.discard)
        try:
            while True:
                request = await read_http(reader)
                self.requests.append(request)
                await self.script(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            self.gone.set()
        finally:
            writer.close()


def says(answer: bytes):
    """A script that always sends this answer."""

    async def script(request, writer):
        writer.write(answer)

    return script


async def read_http(reader) -> bytes:
    """Read one message with a Content-Length, or without a body."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: *(\d+)", head)
    return head + await reader.readexactly(int(length[1]) if length else 0)


def target(uid: str, address: str, state="Ready", **more) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": address,
        "az": "a",
        "model": "m",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    } | more


def full_list(*targets, rev=1, whole=True) -> dict[str, Any]:
    return {"rev": rev, "all": whole, "targets": list(targets)}


class Site:
    """One agent with its clients; the directory is silent unless a peer is given for it."""

    def __init__(self, *targets, directory="127.0.0.1:9", settings=None, **config) -> None:
        self.raw = {
            "name": "n",
            "listen": "127.0.0.1:0",
            "seed": "07",
            "discovery": directory,
            "known": full_list(*targets),
            "settings": settings or AGENT_SETTINGS,
        } | config

    async def __aenter__(self):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(self.raw, file)
            file.flush()
            config = read_agent({"PROXY_CONFIG": file.name})
        self.sink, self.log = os.pipe()
        self.agent = Agent(config, Log("n", Clock(), self.log))
        await self.agent.start()
        self.address = self.agent.listener.address
        return self

    async def __aexit__(self, *_):
        if not self.agent.readiness.stopping:
            self.agent.listener.close()
            await self.agent.tasks.stop()
        os.close(self.sink)
        os.close(self.log)

    async def client(self):
        return await asyncio.open_connection(*self.address)

    async def ask(self, raw: bytes, connection=None) -> bytes:
        reader, writer = connection or await self.client()
        writer.write(raw)
        return await asyncio.wait_for(read_http(reader), 5)

    async def settled(self) -> None:
        """Wait until no call and no attempt is running."""
        while any(
            t.get_coro().__qualname__ in ("ApiCall.run", "Exchange.run") for t in self.agent.tasks.running
        ):
            await asyncio.sleep(0)


numbers = itertools.count(0x9B1F)


def look(kind=b"look", deadline=b"1.5", more=b"", method=b"GET", path=b"/api", body=b"", name=None) -> bytes:
    """Build a request with a unique id."""
    name = b"%x" % next(numbers) if name is None else name
    length = b"Content-Length: %d\r\n" % len(body) if body else b""
    return (
        method
        + b" "
        + path
        + b" HTTP/1.1\r\nHost: app.svc\r\nReq-Id: "
        + name
        + b"\r\nReq-Kind: "
        + kind
        + b"\r\nReq-Deadline: "
        + deadline
        + b"\r\n"
        + more
        + length
        + b"\r\n"
        + body
    )


def run(work) -> Any:
    """Run a coroutine, for 20 s at most."""
    return asyncio.run(asyncio.wait_for(work, 20))
