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
from lupinreach.mesh.model.invariants import Broken, InvariantChecker, complete_copies, held_versions
from lupinreach.mesh.model.disk import Fate, MemoryRecord, ProcessDied
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
class SimulationParameters:
    """What a history is drawn from."""

    machines: int = 1  # that may be lost at once; there are twice as many and one
    latest_s: float = 0.4  # by how much a message may be late or doubled, at most
    late_share: float = 0.0  # of all messages


class SimulatedStore:
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
            chance=random.Random(history.chance.random()),
        )

    @property
    def running_replica(self) -> Replica | None:
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
            self.history.checker.served(facts["epoch"], self.replica.identity)
        if event is Event.VIEW_DECIDED:
            assert self.replica is not None
            self.history.decided(self.replica.view)

    def publish(self, stamp: list[int], document: Document) -> None:
        self.history.checker.published(stamp, document)


class History:
    """One drawn history; `run` raises `Broken` where an invariant fails."""

    def __init__(self, seed: int, plan: SimulationParameters, trace: list[str] | None = None) -> None:
        self.chance = random.Random(seed)
        self.plan = plan
        self.trace = trace
        self.tolerance = Tolerance(plan.machines, 0, 0)
        self.hosts = [f"h{i}" for i in range(2 * plan.machines + 1)]
        self.stores = {host: SimulatedStore(self, host, f"z{i % ZONES}") for i, host in enumerate(self.hosts)}
        self.now = 0.0
        self.checker = InvariantChecker()
        self.last_version_sent = 0
        self.cuts: set[tuple[str, str]] = set()
        self.lossy = 0.0
        self._crashes = 0
        self.lost: dict[str, float] = {}  # host: until when it counts as lost
        self._events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._order = count()

    def schedule(self, delay: float, work: Any, *args: Any) -> None:
        """Do something later."""
        heapq.heappush(self._events, (self.now + delay, next(self._order), work, args))

    def _note(self, text: str) -> None:
        if self.trace is not None:
            self.trace.append(f"{self.now:7.3f} {text}")

    def decided(self, view: View) -> None:
        """A store learnt of a view: every copy of it holds all, or its disk was lost since."""
        self.checker.decided(view, complete_copies(view, [store.record for store in self.stores.values()]))

    def _run(self, store: SimulatedStore, work: Any, *args: Any) -> None:
        """Let a store's process do something, in which it may die."""
        try:
            work(*args)
        except ProcessDied:
            self._note(f"{store.host}: dies in a write")
            self._crash(store, self.chance.uniform(0.2, 2.0), False)

    # The network.

    def carry(self, source: SimulatedStore, identity: str, data: bytes) -> None:
        """A message leaves a store; it may be lost, late or doubled."""
        target = next(
            (s for s in self.stores.values() if s.replica is not None and s.replica.identity == identity),
            None,
        )
        if target is None or (source.host, target.host) in self.cuts or self.chance.random() < self.lossy:
            return
        sender = source.replica.identity if source.replica is not None else ""
        self.schedule(self._delay(), self._deliver, target, target.replica, sender, data)
        if self.chance.random() < max(self.lossy, self._late_share):
            late = self.chance.uniform(USUAL_DELAY_S[0], self.plan.latest_s)
            self.schedule(late, self._deliver, target, target.replica, sender, data)

    @property
    def _late_share(self) -> float:
        return self.plan.late_share if self.now < LENGTH_S - CALM_S else 0.0

    def _delay(self) -> float:
        if self.chance.random() < self._late_share:
            return self.chance.uniform(USUAL_DELAY_S[0], self.plan.latest_s)
        return self.chance.uniform(*USUAL_DELAY_S)

    def _deliver(self, target: SimulatedStore, replica: Replica, sender: str, data: bytes) -> None:
        if target.replica is not replica:
            return  # links end with the process
        if self.now < target.frozen_until:
            self.schedule(target.frozen_until - self.now, self._deliver, target, replica, sender, data)
            return
        self._run(target, replica.handle, sender, decode(msgpack.unpackb(data)))

    def _tick(self, store: SimulatedStore) -> None:
        self.schedule(TICK_S, self._tick, store)
        if store.running_replica is not None:
            self._run(store, store.running_replica.tick, self.now)

    def _status(self, store: SimulatedStore) -> None:
        self.schedule(STATUS_S, self._status, store)
        replica = store.running_replica
        if replica is None:
            return
        for other in self.stores.values():
            if other is not store and other.replica is not None and (store.host, other.host) not in self.cuts:
                self.schedule(0.005, self._hear, other, other.replica, replica, store)

    def _hear(self, other: SimulatedStore, living: Replica, source: Replica, store: SimulatedStore) -> None:
        if other.replica is living and other.running_replica is not None:
            member = Member(source.identity, store.host, store.zone)
            living.heard(member, source.born_first, self.now, source.healthy, source.leaving)
            self._run(other, living.learn, source.view)

    # Operators.

    def _send_operator_request(self) -> None:
        """An operator sends to a store that says that it serves; now and then an order twice, or a read."""
        self.schedule(self.chance.uniform(0.05, 0.5), self._send_operator_request)
        serving = [
            s for s in self.stores.values() if s.running_replica is not None and s.running_replica.serving
        ]
        if not serving:
            return
        store = self.chance.choice(serving)
        drawn = self.chance.random()
        if drawn < 0.15:
            self._read(store)
            return
        if drawn > 0.25 or not self.last_version_sent:
            self.last_version_sent += 1
        self._submit_version(store, self.last_version_sent, self.chance.choice("ab"))

    def _submit_version(self, store: SimulatedStore, number: int, operator: str) -> None:
        version = f"{number:08x}"
        content = f"{version}/{operator}".encode()

        def reply(result: OrderResult) -> None:
            self.checker.confirmed(number, content, result)
            if not result.error and store.replica is not None:
                records = [other.record for other in self.stores.values()]
                self.checker.durable(number, held_versions(store.replica.view, records))

        assert store.replica is not None
        order = Order(number, int(OrderKind.REPLACE_CONFIGURATION), version, content)
        self._run(store, store.replica.submit, order, reply)

    def _read(self, store: SimulatedStore) -> None:
        asked_after = self.checker.highest_confirmed

        def reply(result: OrderResult) -> None:
            self.checker.read(asked_after, result)

        assert store.replica is not None
        self._run(store, store.replica.submit, Order(0, int(OrderKind.READ_CONFIGURATION)), reply)

    # Faults.

    def _inject_fault(self) -> None:
        """One fault, within what may be lost at once; its end is planned with it."""
        if self.now < LENGTH_S - CALM_S:
            self.schedule(self.chance.uniform(0.3, 4.0), self._inject_fault)
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
        self._apply_fault(store, kind, span)

    def _apply_fault(self, store: SimulatedStore, kind: str, span: float) -> None:
        if kind in ("crash", "wipe"):
            self._crash(store, span, kind == "wipe")
        elif kind == "freeze":
            store.frozen_until = self.now + span
        elif kind == "loss":
            self.lossy = self.chance.uniform(0.0, 0.2)
            self.schedule(span, setattr, self, "lossy", 0.0)
        elif kind == "full":
            store.record.fate = Fate.FULL
            self.schedule(span, self._disk_free, store, store.record, self._crashes, span)
        elif kind == "dies":
            store.record.fate = self.chance.choice([Fate.DIES_BEFORE, Fate.DIES_AFTER])
        else:
            self._cut(store, span, both=kind == "cut")

    def _disk_free(self, store: SimulatedStore, record: MemoryRecord, crashes: int, span: float) -> None:
        """A full disk takes writes again; if nothing else happened, another copy was made in its place."""
        if record.fate is Fate.FULL:
            record.fate = Fate.WELL
        alone = sum(until > self.now for until in self.lost.values()) == 1
        if not alone or self._crashes != crashes or self.plan.late_share or self.lossy:
            return
        newest = max((s.replica.view for s in self.stores.values() if s.replica), key=lambda view: view.epoch)
        if span > REPLACED_S and record.values["identity"] in newest.copies:
            raise Broken(f"{store.host} is a copy after {span:.2f} s without a disk")

    def _cut(self, store: SimulatedStore, span: float, both: bool) -> None:
        pairs = {(store.host, host) for host in self.hosts}
        if both:
            pairs |= {(host, store.host) for host in self.hosts}
        self.cuts |= pairs
        self.schedule(span, self.cuts.difference_update, pairs)

    def _crash(self, store: SimulatedStore, span: float, wiped: bool) -> None:
        if store.replica is None:
            return
        store.replica = None
        self._crashes += 1
        if wiped:
            store.record = MemoryRecord()
        self.schedule(span, self._restart, store)

    def _restart(self, store: SimulatedStore) -> None:
        store.record.fate = Fate.WELL
        self._note(f"{store.host}: starts")
        store.start(False)

    # The whole.

    def run(self) -> None:
        """From the first start to the calm at the end."""
        for store in self.stores.values():
            store.start(True)
            self._tick(store)
            self._status(store)
        self.schedule(5.0, self._send_operator_request)
        self.schedule(8.0, self._inject_fault)
        while self.now < LENGTH_S:
            self.now, _, work, args = heapq.heappop(self._events)
            work(*args)
        self._check_final_state()

    def _check_final_state(self) -> None:
        serving = [s.replica for s in self.stores.values() if s.replica is not None and s.replica.serving]
        if not serving:
            raise Broken("no store serves after the calm at the end")
        newest = max(serving, key=lambda replica: replica.view.epoch)
        held = int(newest.document.version or "0", 16)
        if held < self.checker.highest_confirmed:
            raise Broken(f"the end holds {held}, confirmed was {self.checker.highest_confirmed}")


def play_history(seed: int, plan: SimulationParameters) -> tuple[int, str | None]:
    """Play one history: the highest version that was confirmed, and what broke, if anything."""
    history = History(seed, plan)
    try:
        history.run()
    except Broken as broken:
        return history.checker.highest_confirmed, f"history {seed} at {history.now:.3f} s: {broken}"
    return history.checker.highest_confirmed, None


def tell_history(seed: int, plan: SimulationParameters) -> list[str]:
    """What happened in a history, line by line, up to what broke."""
    trace: list[str] = []
    history = History(seed, plan, trace)
    try:
        history.run()
    except Broken as broken:
        trace.append(f"{history.now:7.3f} BROKEN: {broken}")
    return trace
