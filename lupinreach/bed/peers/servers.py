"""The bed's backends and registry as asyncio protocols that serve their models."""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from math import inf
from typing import Any

import orjson

from lupinreach.bed.peers.backend import Backend, Job, Outcome
from lupinreach.bed.peers.messages import MessageReader, response
from lupinreach.bed.peers.registry import Entry, Registry
from lupinreach.bed.world import ledger as record_kinds
from lupinreach.bed.world.environment import Environment
from lupinreach.bed.world.network import Machine
from lupinreach.bed.world.random_streams import RandomStream
from lupinreach.bed.world.spec import RegistrySpec, World
from lupinreach.model import Idempotency
from lupinreach.net import protocol
from lupinreach.net.connection_end import ConnectionEnded
from lupinreach.net.http import Head

RequestLookup = Callable[[str], tuple[int, int, int] | None]  # request id -> agent, its incarnation, product

BODY_PREFIX = b"ran:"
DECLINED = response(503, b"", b"Srv-Declined: 1")
DELIVERY_CHECK_INTERVAL_S = 0.05  # between checks whether an unreachable agent can be reached again
LOAD_SAMPLE_INTERVAL_MS = 1000.0  # between two LOAD records of a backend


class BackendHost:
    """The machine of one backend: its connections and the timer that drives its model."""

    def __init__(
        self,
        environment: Environment,
        world: World,
        backend: Backend,
        machine: Machine,
        rng: RandomStream,
        lookup_request: RequestLookup,
        on_crash: Callable[[BackendHost], None],
    ) -> None:
        self.environment = environment
        self.world = world
        self.backend = backend
        self.machine = machine
        self.rng = rng
        self.lookup_request = lookup_request
        self._on_crash = on_crash
        self.open_connections: dict[BackendConnection, None] = {}  # each is removed when it closes
        self._timer: asyncio.TimerHandle | None = None
        self._due = inf
        self.reports = bool(world.limits.reports)

    def step(self) -> None:
        """Advances the model to the present, answers finished requests and sets the timer."""
        now = self.environment.now()
        for job in self.backend.advance(now):
            self._done(now, job)
        due = self.backend.due(now)
        if due != self._due:
            if self._timer is not None:
                self._timer.cancel()
            self._due = due
            self._timer = (
                None
                if due == inf
                else self.environment.loop.call_later(max(0.001, due - now) / 1000, self._tick)
            )

    def _tick(self) -> None:
        self._timer, self._due = None, inf
        self.step()

    def _done(self, now: float, job: Job) -> None:
        if job.owner is None:
            return
        self.environment.ledger.add_record(
            record_kinds.RAN, now, self.backend.number, job.name, not job.duplicate
        )
        job.owner.job_done(now, job)

    def handle_request(
        self, connection: BackendConnection, name: str, work: float, product: int, key: str | None
    ) -> None:
        """Passes a complete request to the model and answers it if the model rejects or fails it."""
        now, backend = self.environment.now(), self.backend
        self.step()
        spec = self.world.products[product]
        dedup_key = name if spec.kind is Idempotency.DEDUPLICATED else None
        job = Job(name, product, work, key, dedup_key, spec.memory, connection)
        self.environment.ledger.add_record(
            record_kinds.CAME, now, backend.number, backend.incarnation, name, round(work, 3)
        )
        outcome = backend.receive(now, job, float(self.rng.random()))
        if backend.crashed and backend.up:
            self.environment.ledger.add_record(record_kinds.FELL, now, backend.number)
            self._on_crash(self)
            return
        if outcome is Outcome.ACCEPTED:
            connection.job = job
        elif outcome is Outcome.REJECTED:
            self.environment.ledger.add_record(record_kinds.AWAY, now, backend.number, name)
            connection.respond(DECLINED)
        elif outcome is Outcome.FAILED:
            self.environment.ledger.add_record(record_kinds.FAILED, now, backend.number, name)
            connection.respond(response(500, b"", *self.load_headers(now)))
        self.step()

    def load_headers(self, now: float) -> list[bytes]:
        """The header line with the load report, if backends report their load."""
        return [b"Srv-Load: " + self.backend.report(now).encode()] if self.reports else []

    def cancel(self, job: Job) -> None:
        """Cancels a job whose connection has closed."""
        self.step()
        self.backend.cancel(job)
        self.step()

    def boot(self, cold: bool) -> None:
        """Starts a new process of the backend."""
        b, rules, now = self.backend, self.world.rules, self.environment.now()
        b.boot(now, cold)
        self.environment.set_refusing(self.machine, False)
        self.environment.ledger.add_record(
            record_kinds.STATE,
            now,
            b.number,
            b.incarnation,
            "Ready",
            round(b.capacity, 4),
            rules.cold if cold else 0.0,
            rules.start_capacity,
            b.zone,
            b.cell,
        )
        self.step()

    def die(self) -> None:
        """Ends the process: resets its connections and refuses new ones."""
        self.step()
        self.backend.die(self.environment.now())
        self.environment.set_refusing(self.machine, True)
        self.reset()
        self.step()

    def reset(self) -> None:
        """Resets all connections."""
        for connection in list(self.open_connections):
            connection.job = None
            connection.abort()


class BackendConnection(asyncio.Protocol):
    """A connection of an agent to a backend."""

    def __init__(self, host: BackendHost) -> None:
        self._host = host
        self._reader = MessageReader(expects_responses=False)
        self._transport: Any = None
        self.job: Job | None = None
        self._busy = False
        self._idle_since = 0.0
        self._over_limit = False
        self._fault = ""

    def connection_made(self, transport: Any) -> None:
        host = self._host
        self._transport = transport
        if not host.backend.up:
            transport.abort()
            return
        host.step()
        self._over_limit = len(host.open_connections) >= host.world.backend.connections
        host.open_connections[self] = None
        host.backend.charge(host.environment.now(), host.world.backend.connection_cost)
        host.step()
        self._become_idle()

    def _become_idle(self) -> None:
        self._busy = False
        self._idle_since = self._host.environment.loop.time()
        self._host.environment.loop.call_later(
            self._host.backend.idle / 1000, self._close_if_idle, self._idle_since
        )

    def _close_if_idle(self, idle_since: float) -> None:
        if not self._busy and idle_since == self._idle_since and self._transport is not None:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        host = self._host
        if host.machine.vanished:
            return
        try:
            messages = self._reader.feed(data)
        except ConnectionEnded:
            self._transport.abort()
            return
        self._busy = True
        for head, body in messages:
            self._request(head, body)

    def _request(self, head: Head, body: bytes) -> None:
        host, (_, target, _) = self._host, head.start_line
        name = head.headers.get(protocol.ID, b"").decode()
        if target in (protocol.LIVE_PATH, protocol.STATS_PATH):
            load = (
                host.backend.report(host.environment.now()).encode() if target == protocol.STATS_PATH else b""
            )
            self.respond(response(200, load))
            return
        origin = host.lookup_request(name)
        if origin is None:
            self.respond(response(400))
            return
        agent, incarnation, product = origin
        if not host.environment.sees_agent_traffic:
            host.environment.ledger.add_record(
                record_kinds.SENT, host.environment.now(), agent, incarnation, host.backend.number, name
            )
        if self._over_limit:
            host.environment.ledger.add_record(
                record_kinds.AWAY, host.environment.now(), host.backend.number, name
            )
            self.respond(DECLINED)
            self._transport.close()
            return
        if host.machine.resets and host.rng.random() < host.machine.resets:
            self._fault = "reset"
        key = target.rpartition(b"/")[2].decode() if target.count(b"/") > 1 else None
        work = float(body or target.rpartition(b"=")[2] or b"1")
        host.handle_request(self, name, work, product, key.partition("?")[0] if key else None)
        if self._fault == "reset":
            self.abort()

    def job_done(self, now: float, job: Job) -> None:
        """Answers a finished request, unless it was cancelled. A stalled answer stops half-way."""
        if self.job is not job:
            return
        self.job = None
        host = self._host
        text = response(200, BODY_PREFIX + job.name.encode(), *host.load_headers(now))
        if host.backend.stalls and host.rng.random() < host.backend.stalls:
            self._transport.write(text[: len(text) // 2])
            return
        self.respond(text)

    def respond(self, text: bytes) -> None:
        """Sends a response, after which the connection is idle."""
        self._transport.write(text)
        self._become_idle()

    def abort(self) -> None:
        self._transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._busy = True
        self._host.open_connections.pop(self, None)
        if self.job is not None:
            job, self.job = self.job, None
            self._host.cancel(job)


class RegistryHost:
    """The registry's service: serves lists and watches, and records which lists each agent received."""

    def __init__(
        self,
        environment: Environment,
        registry: Registry,
        machine: Machine,
        incarnation_of: Callable[[int], int],
        machine_of: Callable[[int], Machine],
        spec: RegistrySpec,
    ) -> None:
        self.environment = environment
        self.registry = registry
        self._spec = spec
        self._free_at = 0.0  # when all requests that have arrived so far will be handled
        self.machine = machine
        self.incarnation_of = incarnation_of
        self.machine_of = machine_of
        # By agent, in order: lists that were sent and not recorded yet; emptied once the agent is reachable.
        self._undelivered: defaultdict[int, deque[Any]] = defaultdict(deque)
        self.connections: dict[RegistryConnection, None] = {}

    def reserve_slot(self) -> tuple[float, bool]:
        """Queues a request that arrives now; returns the ms until its answer and whether it is accepted.

        A request that would wait too long is rejected, but still takes its time in the queue.
        """
        now = self.environment.now()
        self._free_at = max(self._free_at, now) + self._spec.call_cost
        wait_ms = self._free_at - now
        return min(wait_ms, self._spec.call_wait), wait_ms <= self._spec.call_wait

    def wire(self, agent: int, entry: Entry) -> dict[str, Any]:
        """An entry as it is sent to this agent."""
        return entry.wire()

    def changed(self) -> None:
        """Sends pending changes to all watches."""
        for connection in list(self.connections):
            connection.send_changes()

    def down(self) -> None:
        """Stops the registry and resets its connections."""
        self.registry.up = False
        for connection in list(self.connections):
            connection.abort()

    def record_listing(
        self,
        agent: int,
        version: int,
        entries: list[Entry],
        whole: bool,
        connection: RegistryConnection | None = None,
    ) -> None:
        """Records a list sent to an agent, once it can be delivered and if its connection is still open then.

        Without a connection it is the initial list that the agent has on its own machine, recorded at once.
        """
        # An entry of a process that was replaced says nothing about the process that took its place.
        states = [
            [e.backend, e.state] for e in entries if e.state == "Ready" or not self.registry.succeeded(e)
        ]
        listing = self.incarnation_of(agent), version, states, whole
        if connection is None:
            self.environment.ledger.add_record(record_kinds.TOLD, self.environment.now(), agent, *listing)
            return
        self._undelivered[agent].append((connection, listing))
        if len(self._undelivered[agent]) == 1:
            self._record_delivered(agent)

    def release_held(self) -> None:
        """Records the lists of agents that can be reached again, before such an agent acts on an unrecorded list."""
        for agent, undelivered in self._undelivered.items():
            if undelivered and self.environment.paths.reaches(self.machine, self.machine_of(agent)):
                self._record_delivered(agent)

    def _record_delivered(self, agent: int) -> None:
        undelivered = self._undelivered[agent]
        if self.environment.paths.reaches(self.machine, self.machine_of(agent)):
            while undelivered:
                connection, listing = undelivered.popleft()
                if connection.still_open:
                    self.environment.ledger.add_record(
                        record_kinds.TOLD, self.environment.now(), agent, *listing
                    )
        else:
            # A list that is held up by a network fault must not count as received.
            self.environment.loop.call_later(DELIVERY_CHECK_INTERVAL_S, self._record_delivered, agent)


class RegistryConnection(asyncio.Protocol):
    """A connection of an agent to the registry."""

    def __init__(self, host: RegistryHost, agent: int) -> None:
        self._host = host
        self._agent = agent
        self._reader = MessageReader(expects_responses=False)
        self._transport: Any = None
        self._version: int | None = None  # last version sent on a watch; None: no watch

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        if not self._host.registry.up:
            transport.abort()
            return
        self._host.connections[self] = None

    @property
    def still_open(self) -> bool:
        """Whether neither end has closed the connection, so that data written to it can reach the agent."""
        return self in self._host.connections and not self._transport.get_extra_info("left", False)

    def data_received(self, data: bytes) -> None:
        try:
            messages = self._reader.feed(data)
        except ConnectionEnded:
            self._transport.abort()
            return
        for head, _ in messages:
            target = head.start_line[1]
            wait_ms, accepted = self._host.reserve_slot()
            if wait_ms:
                self._host.environment.loop.call_later(wait_ms / 1000, self._answer, target, accepted)
            else:
                self._answer(target, accepted)

    def _answer(self, target: bytes, accepted: bool) -> None:
        if self not in self._host.connections:
            return  # closed meanwhile
        if not accepted:
            self._transport.write(response(503))
        elif target == protocol.LIST_PATH:
            self._transport.write(response(200, self._full_list()))
        elif target.startswith(protocol.WATCH_PATH):
            after = int(target.rpartition(b"after=")[2] or b"0")
            self._transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if after > self._host.registry.version:
                # The agent's version is from before a restart at a lower version, so it needs the whole list.
                self._write_chunk(self._full_list())
            self._version = min(after, self._host.registry.version)
            if after <= self._host.registry.version:
                self.send_changes()
            else:
                self._version = self._host.registry.version
            self._send_heartbeat()
        else:
            self._transport.write(response(404))

    def _full_list(self) -> bytes:
        registry = self._host.registry
        entries = registry.listed_entries()
        self._host.record_listing(self._agent, registry.version, entries, True, self)
        return self._encode_list(True, entries)

    def _encode_list(self, whole: bool, entries: list[Entry]) -> bytes:
        return orjson.dumps(
            {
                "rev": self._host.registry.version,
                "all": whole,
                "targets": [self._host.wire(self._agent, e) for e in entries],
            }
        )

    def send_changes(self) -> None:
        """Sends the changes since the last version on a watch, if there are any."""
        registry = self._host.registry
        if self._version is None or self._version >= registry.version:
            return
        entries = registry.changes_since(self._version)
        self._version = registry.version
        self._host.record_listing(self._agent, registry.version, entries, False, self)
        self._write_chunk(self._encode_list(False, entries))

    def _write_chunk(self, text: bytes) -> None:
        self._transport.write(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))

    def _send_heartbeat(self) -> None:
        if self in self._host.connections:
            self._write_chunk(b"")
            self._host.environment.loop.call_later(protocol.WATCH_HEARTBEAT_MS / 1000, self._send_heartbeat)

    def abort(self) -> None:
        self._transport.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._host.connections.pop(self, None)
