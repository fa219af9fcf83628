"""Exhaustive search through all states that a small store group can reach, within budgets for each kind of event.

No time passes: any timer may run out, any process may die, a store may take any other for dead. Messages from
one store to another keep their order, as on a link, and may never come; those within the budget of doubled ones
come later, or once more later, at any moment, as over a second link. States are compared by everything that decides what
may follow; the first history found to a broken invariant is a shortest one.
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
from lupinreach.mesh.model.disk import Fate, MemoryRecord, ProcessDied
from lupinreach.mesh.model.ledger import Broken, Ledger, complete_copies, held_versions
from lupinreach.mesh.store.document import Document, OrderKind
from lupinreach.mesh.store.replica import Replica, Role
from lupinreach.mesh.store.state import Acceptance
from lupinreach.mesh.store.view import Member, Tolerance, View

HOSTS = ("a", "b", "c")
NOW = 1e6  # the time at which everything happens
LONG_AGO = -1e6


_SHARED: list[Any] = []  # values that never change: copies of a state hold the same ones
_SHARED_AT: dict[int, int] = {}  # their places, by id


def _shared_value(place: int) -> Any:
    return _SHARED[place]


def _reduce_shared(value: Any) -> tuple[Any, ...]:
    place = _SHARED_AT.get(id(value))
    if place is None:
        place = _SHARED_AT[id(value)] = len(_SHARED)
        _SHARED.append(value)
    return _shared_value, (place,)


for _type in (Acceptance, Document, Member, Tolerance, View):
    copyreg.pickle(_type, _reduce_shared)  # type: ignore[arg-type]


@dataclass(frozen=True)
class Budget:
    """How many events of each kind a history may hold; deliveries are not counted."""

    orders: int = 0
    timeouts: int = 0  # timers that run out, each with a choice of who is taken for dead
    crashes: int = 0
    deaths: int = 0  # of a process in the middle of a write
    wipes: int = 0
    full_disks: int = 0
    doubles: int = 0  # messages delivered and delivered again later


Envelope = tuple[str, str, bytes]  # sender, target, message


class Names:
    """Stands in for chance: identities and uids in the order in which they are drawn; no waiting."""

    def __init__(self, host: str) -> None:
        self._host = host
        self.drawn = 0

    def getrandbits(self, bits: int) -> int:
        """A number of the host's own."""
        self.drawn += 1
        return (ord(self._host) << 32) + self.drawn

    def uniform(self, low: float, high: float) -> float:
        """The least wait."""
        return low


@dataclass
class Results:
    """Takes the result of one order or read."""

    cluster: Cluster
    store: SmallStore
    version: int
    content: bytes
    asked_after: int

    def __call__(self, result: OrderResult) -> None:
        if self.version:
            self.cluster.ledger.confirmed(self.version, self.content, result)
            if not result.error:
                self.cluster.ledger.durable(self.version, self.cluster.held(self.store))
        else:
            self.cluster.ledger.read(self.asked_after, result)


class SmallStore:
    """One store of the group, and its replica's port."""

    def __init__(self, cluster: Cluster, host: str) -> None:
        self.cluster, self.host = cluster, host
        self.record = MemoryRecord()
        self.names = Names(host)
        self.replica: Replica | None = None

    def start(self, first: bool) -> None:
        """Begin a life of the process; it knows the other stores that run."""
        self.replica = Replica(
            self.record, self, self.host, "z" + self.host, list(HOSTS), first, Tolerance(1), rng=self.names
        )  # type: ignore[arg-type]
        for other in self.cluster.stores.values():
            if other is not self and other.replica is not None:
                self._meet(other)
                other._meet(self)

    def _meet(self, other: SmallStore) -> None:
        assert self.replica is not None and other.replica is not None
        member = Member(other.replica.identity, other.host, "z" + other.host)
        self.replica.record_contact(member, other.replica.born_first, NOW)

    def send(self, identity: str, message: Message) -> None:
        assert self.replica is not None
        self.cluster.in_flight.append((self.replica.identity, identity, encode(message)))

    def log(self, event: Event, **facts: Any) -> None:
        if event is Event.PRIMARY_SERVING and self.replica is not None:
            self.cluster.ledger.served(facts["epoch"], self.replica.identity)
        if event is Event.VIEW_DECIDED and self.replica is not None:
            self.cluster.decided(self.replica.view)

    def publish(self, stamp: list[int], document: Document) -> None:
        self.cluster.ledger.published(stamp, document)

    def key(self) -> Any:
        """All that decides what this store does next."""
        values = msgpack.packb(sorted(self.record.values.items()), default=str)
        if self.replica is None:
            return values, self.record.fate.value
        replica = self.replica
        proposal, current = replica._proposal, replica._primary.round
        return (
            values,
            self.record.fate.value,
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
    """A state of the search: stores, messages in flight, what clients saw, and what is left of the budget."""

    def __init__(self, budget: Budget) -> None:
        self.left = budget
        self.ledger = Ledger()
        self.in_flight: list[Envelope] = []
        self.late: list[Envelope] = []  # delivered before, and to come once more
        self.stores = {host: SmallStore(self, host) for host in HOSTS}
        self.versions = 0

    def decided(self, view: View) -> None:
        """A store learnt of a view: every copy of it holds all, or its disk was lost since."""
        self.ledger.decided(view, complete_copies(view, [store.record for store in self.stores.values()]))

    def key(self) -> Any:
        """The same for states from which the same may follow."""
        stores = tuple(store.key() for store in self.stores.values())
        ledger = self.ledger
        seen = (ledger.acknowledged, tuple(sorted(ledger.contents.items())), tuple(ledger.newest_stamp))
        links = sorted(self.in_flight, key=lambda envelope: envelope[:2])
        return hash((stores, tuple(links), tuple(sorted(self.late)), seen, self.left, self.versions))

    def held(self, store: SmallStore) -> dict[str, int]:
        """The versions on the disks of the copies of a store's view, lost ones left out."""
        assert store.replica is not None
        return held_versions(store.replica.view, [other.record for other in self.stores.values()])

    # Moves. Each changes this state; the search copies it before.

    def run(self, store: SmallStore, work: Callable[..., None], *args: Any) -> None:
        """Let a process do something, in which it may die."""
        try:
            work(*args)
        except ProcessDied:
            store.replica = None

    def make(self, method: str, args: tuple[Any, ...]) -> None:
        """Make one move; `Broken` where an invariant fails with it."""
        getattr(self, method)(*args)
        for store in self.stores.values():
            replica = store.replica
            if replica is None or not self.ledger.views or replica.view.epoch < max(self.ledger.views):
                continue
            if replica.state.is_complete and replica.identity in replica.view.copies:
                held = int(replica.document.version or "0", 16)
                self.ledger.complete_copy(replica.identity, held)

    def deliver(self, index: int, again: bool) -> None:
        """A message arrives; it may come once more later."""
        envelope = self.in_flight.pop(index)
        if again:
            self.left = replace(self.left, doubles=self.left.doubles - 1)
            self.late.append(envelope)
        self._arrive(envelope)

    def postpone(self, index: int) -> None:
        """A message travels on a second link, and comes at some later moment."""
        self.left = replace(self.left, doubles=self.left.doubles - 1)
        self.late.append(self.in_flight.pop(index))

    def deliver_late(self, index: int) -> None:
        """A message arrives once more."""
        self._arrive(self.late.pop(index))

    def _arrive(self, envelope: Envelope) -> None:
        sender, target, data = envelope
        for store in self.stores.values():
            if store.replica is not None and store.replica.identity == target:
                self.run(store, store.replica.handle, sender, decode(msgpack.unpackb(data)))

    def time_out(self, host: str, dead: str) -> None:
        """All timers of a store run out; it takes another for dead, or none."""
        self.left = replace(self.left, timeouts=self.left.timeouts - 1)
        store = self.stores[host]
        replica = store.replica
        assert replica is not None
        for known in replica.members.others.values():
            other = self.stores[known.member.host]
            known.last_contact_at = LONG_AGO if known.member.host == dead or other.replica is None else NOW
            known.healthy = other.record.fate is not Fate.FULL
            known.avoided_until = 0.0
        replica._now = 0.0
        replica._retry_at = 0.0
        replica._disk_check_at = 0.0
        replica.members._started_at = LONG_AGO
        if replica._proposal is not None:
            replica._proposal.phase_started_at = LONG_AGO
        if replica._primary.round is not None:
            replica._primary.round.sent_at = LONG_AGO
        self.run(store, replica.tick, NOW)

    def order(self, host: str, operator: str) -> None:
        """An operator orders the next version."""
        self.left = replace(self.left, orders=self.left.orders - 1)
        self.versions += 1
        version = f"{self.versions:08x}"
        content = f"{version}/{operator}".encode()
        order = Order(self.versions, int(OrderKind.REPLACE_CONFIGURATION), version, content)
        store = self.stores[host]
        assert store.replica is not None
        reply = Results(self, store, self.versions, content, self.ledger.acknowledged)
        self.run(store, store.replica.submit, order, reply)

    def crash(self, host: str, wiped: bool) -> None:
        """A process dies; it is started again at once, on its disk or an empty one."""
        store = self.stores[host]
        store.replica = None
        if wiped:
            self.left = replace(self.left, wipes=self.left.wipes - 1)
            store.record = MemoryRecord()
        else:
            self.left = replace(self.left, crashes=self.left.crashes - 1)
        store.record.fate = Fate.WELL
        store.start(False)

    def restart(self, host: str) -> None:
        """A process that died in a write starts again."""
        self.stores[host].record.fate = Fate.WELL
        self.stores[host].start(False)

    def doom(self, host: str, fate: Fate) -> None:
        """The next write of a disk will not go well."""
        if fate is Fate.FULL:
            self.left = replace(self.left, full_disks=self.left.full_disks - 1)
        else:
            self.left = replace(self.left, deaths=self.left.deaths - 1)
        self.stores[host].record.fate = fate

    def free(self, host: str) -> None:
        """A full disk takes writes again."""
        self.stores[host].record.fate = Fate.WELL

    def moves(self) -> Iterator[tuple[str, tuple[Any, ...]]]:
        """What may happen next: method and arguments."""
        links = set()
        for index, (sender, target, _) in enumerate(self.in_flight):
            if (sender, target) in links:
                continue
            links.add((sender, target))
            yield "deliver", (index, False)
            if self.left.doubles:
                yield "deliver", (index, True)
                yield "postpone", (index,)
        for index in range(len(self.late)):
            yield "deliver_late", (index,)
        for host, store in self.stores.items():
            yield from self._moves_of(host, store)

    def _moves_of(self, host: str, store: SmallStore) -> Iterator[tuple[str, tuple[Any, ...]]]:
        if store.replica is None:
            yield "restart", (host,)
            return
        if self.left.timeouts:
            for dead in ("", *HOSTS):
                if dead != host:
                    yield "time_out", (host, dead)
        if self.left.orders and store.replica.role is Role.SERVING:
            yield "order", (host, "x")
        if self.left.crashes:
            yield "crash", (host, False)
        if self.left.wipes:
            yield "crash", (host, True)
        if store.record.fate is Fate.FULL:
            yield "free", (host,)
        elif store.record.fate is Fate.WELL:
            if self.left.full_disks:
                yield "doom", (host, Fate.FULL)
            if self.left.deaths:
                yield "doom", (host, Fate.DIES_BEFORE)
                yield "doom", (host, Fate.DIES_AFTER)

    def tell(self, method: str, args: tuple[Any, ...]) -> str:
        """A move in words, told before it is made."""
        if not method.startswith(("deliver", "postpone")):
            return f"{method} {' '.join(str(getattr(arg, 'value', arg)) for arg in args)}".rstrip()
        late = method == "deliver_late"
        sender, target, data = (self.late if late else self.in_flight)[args[0]]
        message = decode(msgpack.unpackb(data))
        how = " (late)" if late else " (not yet)" if method == "postpone" else ""
        if method == "deliver" and args[1]:
            how = " (and again later)"
        return f"{self._host(sender)} -> {self._host(target)} {message!r}{how}"

    def _host(self, identity: str) -> str:
        return next(
            (s.host for s in self.stores.values() if s.record.values.get("identity") == identity), "?"
        )


Step = tuple[str, tuple[Any, ...]]  # method of a cluster and its arguments


@dataclass
class Found:
    """What a search saw."""

    states: int = 0
    moves: int = 0
    seconds: float = 0.0
    complete: bool = True  # no state within the budget was left out
    steps: list[Step] = field(default_factory=list)  # shortest history to a broken invariant
    story: list[str] = field(default_factory=list)  # the same in words; what broke is last

    @property
    def broken(self) -> bool:
        return bool(self.story)


def founded(budget: Budget) -> Cluster:
    """Three stores after their first start: `a` serves, with one of the others as its backup."""
    cluster = Cluster(replace(budget, timeouts=1))
    for store in cluster.stores.values():
        store.start(True)
    cluster.time_out("a", "")
    while cluster.in_flight:
        cluster.deliver(0, False)
    cluster.left = budget
    return cluster


def search(budget: Budget, most: int, progress: Callable[[Found], None] = lambda found: None) -> Found:
    """All states within a budget, nearest first, `most` of them at most."""
    began = time.monotonic()
    found = Found()
    first = founded(budget)
    line = deque([(pickle.dumps(first), 0)])
    parents: list[tuple[int, Step]] = [(-1, ("", ()))]
    known = {first.key()}
    found.states = 1
    while line:
        packed, number = line.popleft()
        for method, args in list(pickle.loads(packed).moves()):
            state: Cluster = pickle.loads(packed)
            found.moves += 1
            try:
                state.make(method, args)
            except Broken:
                found.steps = [*_steps(parents, number), (method, args)]
                found.story = replay(budget, found.steps)
                found.seconds = time.monotonic() - began
                return found
            key = state.key()
            if key in known:
                continue
            if found.states >= most:
                found.complete = False
                continue
            known.add(key)
            found.states += 1
            parents.append((number, (method, args)))
            line.append((pickle.dumps(state), len(parents) - 1))
            if found.states % 10_000 == 0:
                found.seconds = time.monotonic() - began
                progress(found)
    found.seconds = time.monotonic() - began
    return found


def _steps(parents: list[tuple[int, Step]], number: int) -> list[Step]:
    steps = []
    while number > 0:
        number, step = parents[number]
        steps.append(step)
    return steps[::-1]


def replay(budget: Budget, steps: list[Step]) -> list[str]:
    """A history in words; what broke is last, if anything did."""
    state = founded(budget)
    story = []
    for method, args in steps:
        story.append(state.tell(method, args))
        try:
            state.make(method, args)
        except Broken as broken:
            return [*story, f"BROKEN: {broken}"]
    return story
