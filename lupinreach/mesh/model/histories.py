"""Drawn histories of a store group on simulated time.

Crashes, lost and full disks, freezes, cuts, and messages that are lost, doubled and seconds late; never more
machines lost at once than the tolerance allows. A history is named by its seed and is the same each time.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from itertools import count
from typing import Any

import msgpack

from lupinreach.mesh.events import Event
from lupinreach.mesh.messages import Message, Order, OrderResult, decode, encode
from lupinreach.mesh.model.disk import Fate, MemoryRecord, ProcessDied
from lupinreach.mesh.model.ledger import Broken, Ledger, complete_copies, held_versions
from lupinreach.mesh.store.document import Document, OrderKind
from lupinreach.mesh.store.replica import Replica
from lupinreach.mesh.store.view import Member, Tolerance, View

TICK_S, STATUS_S = 0.1, 0.2
LENGTH_S = 60.0
CALM_S = 15.0
ZONES = 3
CATCH_UP_S = 5.0  # after a loss, until the next may come
REPLACED_S = 2.5  # a copy without a disk is replaced within this
USUAL_DELAY_S = (0.001, 0.02)


@dataclass(frozen=True)
class Plan:
    """What a history is drawn from."""

    machines: int = 1  # that may be lost at once; there are twice as many and one
    latest_s: float = 0.4  # by how much a message may be late or doubled, at most
    late_share: float = 0.0  # of all messages


class Store:
    """One machine with its replica."""

    def __init__(self, history: History, host: str, zone: str) -> None:
        self.history, self.host, self.zone = history, host, zone
        self.record = MemoryRecord()
        self.replica: Replica | None = None
        self.frozen_until = 0.0

    def start(self, first: bool) -> None:
        """Begin a new life of the process on the disk as it is."""
        history = self.history
        self.replica = Replica(
            self.record,
            self,
            self.host,
            self.zone,
            history.hosts[:3],
            first,
            history.tolerance,
            rng=random.Random(history.chance.random()),
        )

    @property
    def awake(self) -> Replica | None:
        """The replica, if its process runs now."""
        return self.replica if self.history.now >= self.frozen_until else None

    # The replica's port.

    def send(self, identity: str, message: Message) -> None:
        self.history.carry(self, identity, encode(message))

    def log(self, event: Event, **facts: Any) -> None:
        if self.history.trace is not None:
            told = " ".join(f"{key}={value}" for key, value in facts.items())
            self.history.trace.append(f"{self.history.now:7.3f} {self.host} {event.name.lower()} {told}")
        if event is Event.PRIMARY_SERVING:
            assert self.replica is not None
            self.history.ledger.served(facts["epoch"], self.replica.identity)
        if event is Event.VIEW_DECIDED:
            assert self.replica is not None
            self.history.decided(self.replica.view)

    def publish(self, stamp: list[int], document: Document) -> None:
        self.history.ledger.published(stamp, document)


class History:
    """One drawn history; `play` raises `Broken` where an invariant fails."""

    def __init__(self, seed: int, plan: Plan, trace: list[str] | None = None) -> None:
        self.chance = random.Random(seed)
        self.plan = plan
        self.trace = trace
        self.tolerance = Tolerance(plan.machines, 0, 0)
        self.hosts = [f"h{i}" for i in range(2 * plan.machines + 1)]
        self.stores = {host: Store(self, host, f"z{i % ZONES}") for i, host in enumerate(self.hosts)}
        self.now = 0.0
        self.ledger = Ledger()
        self.sent = 0
        self.cuts: set[tuple[str, str]] = set()
        self.lossy = 0.0
        self._crashes = 0
        self.lost: dict[str, float] = {}  # host: until when it counts as lost
        self._events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._order = count()

    def at(self, delay: float, work: Any, *args: Any) -> None:
        """Do something later."""
        heapq.heappush(self._events, (self.now + delay, next(self._order), work, args))

    def _note(self, text: str) -> None:
        if self.trace is not None:
            self.trace.append(f"{self.now:7.3f} {text}")

    def decided(self, view: View) -> None:
        """A store learnt of a view: every copy of it holds all, or its disk was lost since."""
        self.ledger.decided(view, complete_copies(view, [store.record for store in self.stores.values()]))

    def _run(self, store: Store, work: Any, *args: Any) -> None:
        """Let a store's process do something, in which it may die."""
        try:
            work(*args)
        except ProcessDied:
            self._note(f"{store.host}: dies in a write")
            self._crash(store, self.chance.uniform(0.2, 2.0), False)

    # The network.

    def carry(self, source: Store, identity: str, data: bytes) -> None:
        """A message leaves a store; it may be lost, late or doubled."""
        target = next(
            (s for s in self.stores.values() if s.replica is not None and s.replica.identity == identity),
            None,
        )
        if target is None or (source.host, target.host) in self.cuts or self.chance.random() < self.lossy:
            return
        sender = source.replica.identity if source.replica is not None else ""
        self.at(self._delay(), self._deliver, target, target.replica, sender, data)
        if self.chance.random() < max(self.lossy, self._late_share):
            late = self.chance.uniform(USUAL_DELAY_S[0], self.plan.latest_s)
            self.at(late, self._deliver, target, target.replica, sender, data)

    @property
    def _late_share(self) -> float:
        return self.plan.late_share if self.now < LENGTH_S - CALM_S else 0.0

    def _delay(self) -> float:
        if self.chance.random() < self._late_share:
            return self.chance.uniform(USUAL_DELAY_S[0], self.plan.latest_s)
        return self.chance.uniform(*USUAL_DELAY_S)

    def _deliver(self, target: Store, replica: Replica, sender: str, data: bytes) -> None:
        if target.replica is not replica:
            return  # links end with the process
        if self.now < target.frozen_until:
            self.at(target.frozen_until - self.now, self._deliver, target, replica, sender, data)
            return
        self._run(target, replica.handle, sender, decode(msgpack.unpackb(data)))

    def _tick(self, store: Store) -> None:
        self.at(TICK_S, self._tick, store)
        if store.awake is not None:
            self._run(store, store.awake.tick, self.now)

    def _status(self, store: Store) -> None:
        self.at(STATUS_S, self._status, store)
        replica = store.awake
        if replica is None:
            return
        for other in self.stores.values():
            if other is not store and other.replica is not None and (store.host, other.host) not in self.cuts:
                self.at(0.005, self._hear, other, other.replica, replica, store)

    def _hear(self, other: Store, living: Replica, source: Replica, store: Store) -> None:
        if other.replica is living and other.awake is not None:
            member = Member(source.identity, store.host, store.zone)
            living.record_contact(member, source.born_first, self.now, source.healthy, source.leaving)
            self._run(other, living.learn, source.view)

    # Operators.

    def _operate(self) -> None:
        """An operator sends to a store that says that it serves; now and then an order twice, or a read."""
        self.at(self.chance.uniform(0.05, 0.5), self._operate)
        serving = [s for s in self.stores.values() if s.awake is not None and s.awake.serving]
        if not serving:
            return
        store = self.chance.choice(serving)
        drawn = self.chance.random()
        if drawn < 0.15:
            self._read(store)
            return
        if drawn > 0.25 or not self.sent:
            self.sent += 1
        self._order_version(store, self.sent, self.chance.choice("ab"))

    def _order_version(self, store: Store, number: int, operator: str) -> None:
        version = f"{number:08x}"
        content = f"{version}/{operator}".encode()

        def reply(result: OrderResult) -> None:
            self.ledger.confirmed(number, content, result)
            if not result.error and store.replica is not None:
                records = [other.record for other in self.stores.values()]
                self.ledger.durable(number, held_versions(store.replica.view, records))

        assert store.replica is not None
        order = Order(number, int(OrderKind.REPLACE_CONFIGURATION), version, content)
        self._run(store, store.replica.submit, order, reply)

    def _read(self, store: Store) -> None:
        asked_after = self.ledger.acknowledged

        def reply(result: OrderResult) -> None:
            self.ledger.read(asked_after, result)

        assert store.replica is not None
        self._run(store, store.replica.submit, Order(0, int(OrderKind.READ_CONFIGURATION)), reply)

    # Faults.

    def _trouble(self) -> None:
        """One fault, within what may be lost at once; its end is planned with it."""
        if self.now < LENGTH_S - CALM_S:
            self.at(self.chance.uniform(0.3, 4.0), self._trouble)
        lost = [host for host, until in self.lost.items() if until > self.now]
        if len(lost) >= self.tolerance.machines:
            if self.chance.random() < 0.1:
                self._note("all processes are killed")
                for store in self.stores.values():
                    self._crash(store, self.chance.uniform(0.2, 1.5), False)
            return
        store = self.chance.choice([s for s in self.stores.values() if s.host not in lost])
        kind = self.chance.choice(["crash", "wipe", "freeze", "cut", "one way", "loss", "full", "dies"])
        span = self.chance.uniform(0.2, 4.0)
        self._note(f"{store.host}: {kind} for {span:.2f} s")
        if kind != "loss":
            self.lost[store.host] = self.now + span + CATCH_UP_S
        self._strike(store, kind, span)

    def _strike(self, store: Store, kind: str, span: float) -> None:
        if kind in ("crash", "wipe"):
            self._crash(store, span, kind == "wipe")
        elif kind == "freeze":
            store.frozen_until = self.now + span
        elif kind == "loss":
            self.lossy = self.chance.uniform(0.0, 0.2)
            self.at(span, setattr, self, "lossy", 0.0)
        elif kind == "full":
            store.record.fate = Fate.FULL
            self.at(span, self._disk_free, store, store.record, self._crashes, span)
        elif kind == "dies":
            store.record.fate = self.chance.choice([Fate.DIES_BEFORE, Fate.DIES_AFTER])
        else:
            self._cut(store, span, both=kind == "cut")

    def _disk_free(self, store: Store, record: MemoryRecord, crashes: int, span: float) -> None:
        """A full disk takes writes again; if nothing else happened, another copy was made in its place."""
        if record.fate is Fate.FULL:
            record.fate = Fate.WELL
        alone = sum(until > self.now for until in self.lost.values()) == 1
        if not alone or self._crashes != crashes or self.plan.late_share or self.lossy:
            return
        newest = max((s.replica.view for s in self.stores.values() if s.replica), key=lambda view: view.epoch)
        if span > REPLACED_S and record.values["identity"] in newest.copies:
            raise Broken(f"{store.host} is a copy after {span:.2f} s without a disk")

    def _cut(self, store: Store, span: float, both: bool) -> None:
        pairs = {(store.host, host) for host in self.hosts}
        if both:
            pairs |= {(host, store.host) for host in self.hosts}
        self.cuts |= pairs
        self.at(span, self.cuts.difference_update, pairs)

    def _crash(self, store: Store, span: float, wiped: bool) -> None:
        if store.replica is None:
            return
        store.replica = None
        self._crashes += 1
        if wiped:
            store.record = MemoryRecord()
        self.at(span, self._restart, store)

    def _restart(self, store: Store) -> None:
        store.record.fate = Fate.WELL
        self._note(f"{store.host}: starts")
        store.start(False)

    # The whole.

    def play(self) -> None:
        """From the first start to the calm at the end."""
        for store in self.stores.values():
            store.start(True)
            self._tick(store)
            self._status(store)
        self.at(5.0, self._operate)
        self.at(8.0, self._trouble)
        while self.now < LENGTH_S:
            self.now, _, work, args = heapq.heappop(self._events)
            work(*args)
        self._judge_end()

    def _judge_end(self) -> None:
        serving = [s.replica for s in self.stores.values() if s.replica is not None and s.replica.serving]
        if not serving:
            raise Broken("no store serves after the calm at the end")
        newest = max(serving, key=lambda replica: replica.view.epoch)
        held = int(newest.document.version or "0", 16)
        if held < self.ledger.acknowledged:
            raise Broken(f"the end holds {held}, confirmed was {self.ledger.acknowledged}")


def play_history(seed: int, plan: Plan) -> tuple[int, str | None]:
    """Play one history: the highest version that was confirmed, and what broke, if anything."""
    history = History(seed, plan)
    try:
        history.play()
    except Broken as broken:
        return history.ledger.acknowledged, f"history {seed} at {history.now:.3f} s: {broken}"
    return history.ledger.acknowledged, None


def tell_history(seed: int, plan: Plan) -> list[str]:
    """What happened in a history, line by line, up to what broke."""
    trace: list[str] = []
    history = History(seed, plan, trace)
    try:
        history.play()
    except Broken as broken:
        trace.append(f"{history.now:7.3f} BROKEN: {broken}")
    return trace
