"""Exhaustive search of all states that a small store group can reach within a budget for each kind of event.

Time does not pass: any timer may expire, any process may die, and a store may consider any other one dead.
Messages from one store to another keep their order, as on a link, and may never arrive. Within the budget of
duplicates a message may also be delayed, or delivered and delivered again, at any later moment, as over a
second link. States are equal if everything that determines what can follow is equal. The search is breadth
first, so the first history found that violates an invariant is a shortest one.
"""

from __future__ import annotations

import copyreg
import pickle
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

import msgpack

from lupinreach.mesh.events import Event
from lupinreach.mesh.messages import Message, Order, OrderResult, decode, encode
from lupinreach.mesh.model.disk import DiskMode, MemoryRecord, ProcessDied
from lupinreach.mesh.model.invariants import (
    InvariantChecker,
    InvariantViolated,
    complete_replicas,
    versions_on_disk,
)
from lupinreach.mesh.store.document import Document, OrderKind
from lupinreach.mesh.store.replica import Replica, Role
from lupinreach.mesh.store.state import Acceptance
from lupinreach.mesh.store.view import Member, Tolerance, View

HOSTS = ("a", "b", "c")
SIMULATED_NOW_S = 1e6  # the clock of every event
LONG_AGO_S = -1e6  # far enough back for any timer to have expired


_SHARED_VALUES: list[Any] = []  # immutable values: pickled states refer to them by index and share them
_SHARED_INDEX_BY_ID: dict[int, int] = {}  # index in `_SHARED_VALUES` by `id` of the value


def _shared_value(index: int) -> Any:
    return _SHARED_VALUES[index]


def _reduce_shared(value: Any) -> tuple[Any, ...]:
    index = _SHARED_INDEX_BY_ID.get(id(value))
    if index is None:
        index = _SHARED_INDEX_BY_ID[id(value)] = len(_SHARED_VALUES)
        _SHARED_VALUES.append(value)
    return _shared_value, (index,)


for _type in (Acceptance, Document, Member, Tolerance, View):
    copyreg.pickle(_type, _reduce_shared)  # type: ignore[arg-type]


@dataclass(frozen=True)
class Budget:
    """Maximum number of events of each kind in a history; ordinary deliveries are not limited."""

    orders: int = 0
    timeouts: int = 0  # expirations of all timers of a store, which may consider another store dead
    crashes: int = 0  # restarts on the same disk
    deaths: int = 0  # of a process in the middle of a write
    wipes: int = 0  # restarts on an empty disk
    full_disks: int = 0  # disks that refuse writes until freed
    doubles: int = 0  # messages delayed, or delivered and delivered again later


Envelope = tuple[str, str, bytes]  # sender, target, message


class DeterministicIds:
    """Replaces a replica's random generator: identities and uids are counted up, waits are the shortest."""

    def __init__(self, host: str) -> None:
        self._host = host
        self.issued = 0

    def getrandbits(self, bits: int) -> int:
        """The next number; no other host gets it."""
        self.issued += 1
        return (ord(self._host) << 32) + self.issued

    def uniform(self, low: float, high: float) -> float:
        """The lower bound."""
        return low


@dataclass
class ResultHandler:
    """Passes the result of one order or read to the invariant checker; version 0 is a read."""

    cluster: Cluster
    store: ModelStore
    version: int
    content: bytes
    confirmed_before: int

    def __call__(self, result: OrderResult) -> None:
        if self.version:
            self.cluster.checker.on_order_result(self.version, self.content, result)
            if not result.error:
                self.cluster.checker.check_durable(self.version, self.cluster.versions_held(self.store))
        else:
            self.cluster.checker.on_read_result(self.confirmed_before, result)


class ModelStore:
    """One store in the group; also serves as its replica's port."""

    def __init__(self, cluster: Cluster, host: str) -> None:
        self.cluster, self.host = cluster, host
        self.record = MemoryRecord()
        self.ids = DeterministicIds(host)
        self.replica: Replica | None = None

    def start(self, first: bool) -> None:
        """Start a process; it and the other running stores learn of each other at once."""
        self.replica = Replica(
            self.record, self, self.host, "z" + self.host, list(HOSTS), first, Tolerance(1), rng=self.ids
        )  # type: ignore[arg-type]
        for other in self.cluster.stores.values():
            if other is not self and other.replica is not None:
                self._learn_about(other)
                other._learn_about(self)

    def _learn_about(self, other: ModelStore) -> None:
        assert self.replica is not None and other.replica is not None
        member = Member(other.replica.identity, other.host, "z" + other.host)
        self.replica.record_contact(member, other.replica.born_first, SIMULATED_NOW_S)

    def send(self, identity: str, message: Message) -> None:
        assert self.replica is not None
        self.cluster.in_flight.append((self.replica.identity, identity, encode(message)))

    def log(self, event: Event, **facts: Any) -> None:
        if event is Event.PRIMARY_SERVING and self.replica is not None:
            self.cluster.checker.on_primary_serving(facts["epoch"], self.replica.identity)
        if event is Event.VIEW_DECIDED and self.replica is not None:
            self.cluster.on_view_decided(self.replica.view)

    def publish(self, stamp: list[int], document: Document) -> None:
        self.cluster.checker.on_published(stamp, document)

    def key(self) -> Any:
        """Everything that determines what this store does next."""
        values = msgpack.packb(sorted(self.record.values.items()), default=str)
        if self.replica is None:
            return values, self.record.mode.value
        replica = self.replica
        proposal, current = replica._proposal, replica._primary.round
        return (
            values,
            self.record.mode.value,
            replica.role.value,
            replica.healthy,
            replica._highest_round,
            replica.state.document.sequence,
            tuple(sorted(replica.members.others)),
            proposal
            and (
                proposal.view.uid,
                proposal.ballot,
                proposal.phase.value,
                tuple(sorted(proposal.waiting)),
                tuple(sorted(proposal.promised)),
                tuple(sorted(proposal.accepted)),
            ),
            current and (current.number, current.document.version, tuple(sorted(current.waiting))),
            replica._primary._rounds,
            len(replica._primary._queued),
            tuple(sorted(replica._primary._held.items())),
        )


class Cluster:
    """A state of the search: stores, messages in flight, what clients observed, and the remaining budget."""

    def __init__(self, budget: Budget) -> None:
        self.remaining = budget
        self.checker = InvariantChecker()
        self.in_flight: list[Envelope] = []
        self.delayed: list[Envelope] = []  # to be delivered at any later moment, out of order
        self.stores = {host: ModelStore(self, host) for host in HOSTS}
        self.versions = 0

    def on_view_decided(self, view: View) -> None:
        """Check that every replica in a newly learnt view is complete or has lost its disk since."""
        self.checker.on_view_decided(
            view, complete_replicas(view, [store.record for store in self.stores.values()])
        )

    def key(self) -> Any:
        """A key that is equal for states from which the same moves and results can follow."""
        stores = tuple(store.key() for store in self.stores.values())
        checker = self.checker
        observed = (
            checker.highest_confirmed,
            tuple(sorted(checker.contents.items())),
            tuple(checker.newest_published_stamp),
        )
        links = sorted(self.in_flight, key=lambda envelope: envelope[:2])
        return hash(
            (stores, tuple(links), tuple(sorted(self.delayed)), observed, self.remaining, self.versions)
        )

    def versions_held(self, store: ModelStore) -> dict[str, int]:
        """The versions on the disks of the replicas in a store's view; lost disks are left out."""
        assert store.replica is not None
        return versions_on_disk(store.replica.view, [other.record for other in self.stores.values()])

    # Moves: the transitions between states. Each changes this state in place; the search works on a copy.

    def run(self, store: ModelStore, action: Callable[..., None], *args: Any) -> None:
        """Run a step of a store's process, which may die in a write."""
        try:
            action(*args)
        except ProcessDied:
            store.replica = None

    def apply(self, method: str, args: tuple[Any, ...]) -> None:
        """Make one move and check all complete replicas; raises `InvariantViolated`."""
        getattr(self, method)(*args)
        for store in self.stores.values():
            replica = store.replica
            if (
                replica is None
                or not self.checker.view_uid_by_epoch
                or replica.view.epoch < max(self.checker.view_uid_by_epoch)
            ):
                continue
            if replica.state.is_complete and replica.identity in replica.view.copies:
                held = int(replica.document.version or "0", 16)
                self.checker.check_complete_replica(replica.identity, held)

    def deliver(self, index: int, again: bool) -> None:
        """Deliver a message; with `again` it arrives once more later."""
        envelope = self.in_flight.pop(index)
        if again:
            self.remaining = replace(self.remaining, doubles=self.remaining.doubles - 1)
            self.delayed.append(envelope)
        self._deliver_envelope(envelope)

    def postpone(self, index: int) -> None:
        """Delay a message: it leaves its link's order and arrives at any later moment."""
        self.remaining = replace(self.remaining, doubles=self.remaining.doubles - 1)
        self.delayed.append(self.in_flight.pop(index))

    def deliver_late(self, index: int) -> None:
        """Deliver a delayed or duplicated message."""
        self._deliver_envelope(self.delayed.pop(index))

    def _deliver_envelope(self, envelope: Envelope) -> None:
        sender, target, data = envelope
        for store in self.stores.values():
            if store.replica is not None and store.replica.identity == target:
                self.run(store, store.replica.handle, sender, decode(msgpack.unpackb(data)))

    def time_out(self, host: str, dead: str) -> None:
        """Expire all timers of a store, which then considers the host `dead` dead, or none if it is empty."""
        self.remaining = replace(self.remaining, timeouts=self.remaining.timeouts - 1)
        store = self.stores[host]
        replica = store.replica
        assert replica is not None
        for known in replica.members.others.values():
            other = self.stores[known.member.host]
            known.last_contact_at = (
                LONG_AGO_S if known.member.host == dead or other.replica is None else SIMULATED_NOW_S
            )
            known.healthy = other.record.mode is not DiskMode.FULL
            known.avoided_until = 0.0
        replica._now = 0.0
        replica._retry_at = 0.0
        replica._disk_check_at = 0.0
        replica.members._started_at = LONG_AGO_S
        if replica._proposal is not None:
            replica._proposal.phase_started_at = LONG_AGO_S
        if replica._primary.round is not None:
            replica._primary.round.sent_at = LONG_AGO_S
        self.run(store, replica.tick, SIMULATED_NOW_S)

    def order(self, host: str, operator: str) -> None:
        """Submit the next version, as an operator does."""
        self.remaining = replace(self.remaining, orders=self.remaining.orders - 1)
        self.versions += 1
        version = f"{self.versions:08x}"
        content = f"{version}/{operator}".encode()
        order = Order(self.versions, int(OrderKind.REPLACE_CONFIGURATION), version, content)
        store = self.stores[host]
        assert store.replica is not None
        reply = ResultHandler(self, store, self.versions, content, self.checker.highest_confirmed)
        self.run(store, store.replica.submit, order, reply)

    def crash(self, host: str, wiped: bool) -> None:
        """Kill a process and start it again at once, on its disk or on an empty one."""
        store = self.stores[host]
        store.replica = None
        if wiped:
            self.remaining = replace(self.remaining, wipes=self.remaining.wipes - 1)
            store.record = MemoryRecord()
        else:
            self.remaining = replace(self.remaining, crashes=self.remaining.crashes - 1)
        store.record.mode = DiskMode.WELL
        store.start(False)

    def restart(self, host: str) -> None:
        """Start a process again that died in a write."""
        self.stores[host].record.mode = DiskMode.WELL
        self.stores[host].start(False)

    def doom(self, host: str, disk_mode: DiskMode) -> None:
        """Make the next writes to a disk fail, or kill the process in the next one."""
        if disk_mode is DiskMode.FULL:
            self.remaining = replace(self.remaining, full_disks=self.remaining.full_disks - 1)
        else:
            self.remaining = replace(self.remaining, deaths=self.remaining.deaths - 1)
        self.stores[host].record.mode = disk_mode

    def free(self, host: str) -> None:
        """Let a full disk accept writes again."""
        self.stores[host].record.mode = DiskMode.WELL

    def moves(self) -> Iterator[tuple[str, tuple[Any, ...]]]:
        """The moves possible from this state, as method name and arguments."""
        links = set()
        for index, (sender, target, _) in enumerate(self.in_flight):
            if (sender, target) in links:
                continue
            links.add((sender, target))
            yield "deliver", (index, False)
            if self.remaining.doubles:
                yield "deliver", (index, True)
                yield "postpone", (index,)
        for index in range(len(self.delayed)):
            yield "deliver_late", (index,)
        for host, store in self.stores.items():
            yield from self._store_moves(host, store)

    def _store_moves(self, host: str, store: ModelStore) -> Iterator[tuple[str, tuple[Any, ...]]]:
        if store.replica is None:
            yield "restart", (host,)
            return
        if self.remaining.timeouts:
            for dead in ("", *HOSTS):
                if dead != host:
                    yield "time_out", (host, dead)
        if self.remaining.orders and store.replica.role is Role.SERVING:
            yield "order", (host, "x")
        if self.remaining.crashes:
            yield "crash", (host, False)
        if self.remaining.wipes:
            yield "crash", (host, True)
        if store.record.mode is DiskMode.FULL:
            yield "free", (host,)
        elif store.record.mode is DiskMode.WELL:
            if self.remaining.full_disks:
                yield "doom", (host, DiskMode.FULL)
            if self.remaining.deaths:
                yield "doom", (host, DiskMode.DIES_BEFORE)
                yield "doom", (host, DiskMode.DIES_AFTER)

    def describe(self, method: str, args: tuple[Any, ...]) -> str:
        """Describe a move as text; to be called before the move is made."""
        if not method.startswith(("deliver", "postpone")):
            return f"{method} {' '.join(str(getattr(arg, 'value', arg)) for arg in args)}".rstrip()
        delayed = method == "deliver_late"
        sender, target, data = (self.delayed if delayed else self.in_flight)[args[0]]
        message = decode(msgpack.unpackb(data))
        how = " (late)" if delayed else " (not yet)" if method == "postpone" else ""
        if method == "deliver" and args[1]:
            how = " (and again later)"
        return f"{self._host(sender)} -> {self._host(target)} {message!r}{how}"

    def _host(self, identity: str) -> str:
        return next(
            (s.host for s in self.stores.values() if s.record.values.get("identity") == identity), "?"
        )


Step = tuple[str, tuple[Any, ...]]  # name of a `Cluster` method and its arguments


@dataclass
class SearchResult:
    """Outcome of a search: its extent, and the history that violates an invariant, if any."""

    states: int = 0
    moves: int = 0
    seconds: float = 0.0
    complete: bool = True  # no state within the budget was left out
    steps: list[Step] = field(default_factory=list)  # a shortest history that violates an invariant
    trace: list[str] = field(
        default_factory=list
    )  # the same as text; its last line is the violated invariant

    @property
    def violated(self) -> bool:
        return bool(self.trace)


def founded_cluster(budget: Budget) -> Cluster:
    """Three stores after their first start: `a` serves, with one of the others as its backup."""
    cluster = Cluster(replace(budget, timeouts=1))
    for store in cluster.stores.values():
        store.start(True)
    cluster.time_out("a", "")
    while cluster.in_flight:
        cluster.deliver(0, False)
    cluster.remaining = budget
    return cluster


def search(
    budget: Budget, max_states: int, progress: Callable[[SearchResult], None] = lambda found: None
) -> SearchResult:
    """Visit up to `max_states` states within a budget, breadth first, until an invariant is violated."""
    started_at = time.monotonic()
    found = SearchResult()
    first = founded_cluster(budget)
    queue = deque([(pickle.dumps(first), 0)])
    parents: list[tuple[int, Step]] = [(-1, ("", ()))]
    seen_keys = {first.key()}
    found.states = 1
    while queue:
        serialized, state_number = queue.popleft()
        for method, args in list(pickle.loads(serialized).moves()):
            state: Cluster = pickle.loads(serialized)
            found.moves += 1
            try:
                state.apply(method, args)
            except InvariantViolated:
                found.steps = [*_steps(parents, state_number), (method, args)]
                found.trace = replay(budget, found.steps)
                found.seconds = time.monotonic() - started_at
                return found
            key = state.key()
            if key in seen_keys:
                continue
            if found.states >= max_states:
                found.complete = False
                continue
            seen_keys.add(key)
            found.states += 1
            parents.append((state_number, (method, args)))
            queue.append((pickle.dumps(state), len(parents) - 1))
            if found.states % 10_000 == 0:
                found.seconds = time.monotonic() - started_at
                progress(found)
    found.seconds = time.monotonic() - started_at
    return found


def _steps(parents: list[tuple[int, Step]], state_number: int) -> list[Step]:
    steps = []
    while state_number > 0:
        state_number, step = parents[state_number]
        steps.append(step)
    return steps[::-1]


def replay(budget: Budget, steps: list[Step]) -> list[str]:
    """Run a history and describe each move; the last line is the violated invariant, if any."""
    state = founded_cluster(budget)
    trace = []
    for method, args in steps:
        trace.append(state.describe(method, args))
        try:
            state.apply(method, args)
        except InvariantViolated as violation:
            return [*trace, f"BROKEN: {violation}"]
    return trace
