"""Randomized fault injection for a store group in simulated time, with registries and operators (`registries.py`).

Faults are crashes, lost and full disks, frozen processes, network partitions, and messages that are lost,
duplicated or delayed by seconds. The number of machines lost at once never exceeds the tolerance. A history
is fully determined by its seed and parameters.
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
from lupinreach.mesh.model.disk import DiskMode, MemoryRecord, ProcessDied
from lupinreach.mesh.model.invariants import (
    InvariantChecker,
    InvariantViolated,
    complete_replicas,
    versions_on_disk,
)
from lupinreach.mesh.model.registries import EvacuationSimulation
from lupinreach.mesh.store.document import Document, OrderKind
from lupinreach.mesh.store.replica import Replica
from lupinreach.mesh.store.view import Member, Tolerance, View

TICK_INTERVAL_S, STATUS_INTERVAL_S = 0.1, 0.2
HISTORY_LENGTH_S = 60.0
FINAL_QUIET_S = 15.0  # the last part of a history, without new faults and delayed messages
ZONE_COUNT = 3
RECOVERY_TIME_S = 5.0  # a machine still counts as lost for this long after its fault has ended
MAX_REPLACEMENT_TIME_S = 2.5  # within which the view replaces a replica whose disk refuses writes
NORMAL_DELAY_RANGE_S = (0.001, 0.02)


@dataclass(frozen=True)
class SimulationParameters:
    """Size of the simulated group and how unreliable its network is."""

    machines: int = 1  # tolerated losses at once; the group has 2 * machines + 1 stores
    max_delay_s: float = 0.4  # longest delay of a delayed or duplicated message
    delayed_fraction: float = 0.0  # of all messages; also the fraction that is duplicated
    evacuations: bool = True  # with registries and operators that start and stop evacuations


class SimulatedStore:
    """One machine and the replica on it; also serves as the replica's port."""

    def __init__(self, history: History, host: str, zone: str) -> None:
        self.history, self.host, self.zone = history, host, zone
        self.record = MemoryRecord()
        self.replica: Replica | None = None
        self.frozen_until = 0.0

    def start(self, first: bool) -> None:
        """Start a new process on the current disk content."""
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
    def running_replica(self) -> Replica | None:
        """The replica, or None while its process is down or frozen."""
        return self.replica if self.history.now >= self.frozen_until else None

    # The replica's `Port`.

    def send(self, identity: str, message: Message) -> None:
        self.history.send_message(self, identity, encode(message))

    def log(self, event: Event, **facts: Any) -> None:
        if self.history.trace is not None:
            fields_text = " ".join(f"{key}={value}" for key, value in facts.items())
            self.history.trace.append(
                f"{self.history.now:7.3f} {self.host} {event.name.lower()} {fields_text}"
            )
        if event is Event.PRIMARY_SERVING:
            assert self.replica is not None
            self.history.checker.on_primary_serving(facts["epoch"], self.replica.identity)
        if event is Event.VIEW_DECIDED:
            assert self.replica is not None
            self.history.on_view_decided(self.replica.view)

    def publish(self, stamp: list[int], document: Document) -> None:
        self.history.checker.on_published(stamp, document)
        if self.history.evacuations is not None:
            self.history.evacuations.on_published(stamp, document)


class History:
    """One randomized history; `run` raises `InvariantViolated` if an invariant fails."""

    def __init__(self, seed: int, parameters: SimulationParameters, trace: list[str] | None = None) -> None:
        self.chance = random.Random(seed)
        self.parameters = parameters
        self.trace = trace
        self.tolerance = Tolerance(parameters.machines, 0, 0)
        self.hosts = [f"h{i}" for i in range(2 * parameters.machines + 1)]
        self.stores = {
            host: SimulatedStore(self, host, f"z{i % ZONE_COUNT}") for i, host in enumerate(self.hosts)
        }
        self.now = 0.0
        self.checker = InvariantChecker()
        self.last_version_sent = 0
        self.cuts: set[tuple[str, str]] = set()  # (source host, target host)
        self.lossy = 0.0  # probability that a message is lost, and at least that of a duplicate
        self._crashes = 0
        self.counted_lost_until: dict[str, float] = {}  # end time by host
        self._events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._next_event_number = count()

        self.evacuations: EvacuationSimulation | None = None
        if parameters.evacuations:
            self.evacuations = EvacuationSimulation(
                self,
                seed,
                HISTORY_LENGTH_S - FINAL_QUIET_S,
                parameters.max_delay_s,
                parameters.delayed_fraction,
            )

    def schedule(self, delay: float, action: Any, *args: Any) -> None:
        """Schedule a call after a delay in seconds."""
        heapq.heappush(self._events, (self.now + delay, next(self._next_event_number), action, args))

    def _add_to_trace(self, text: str) -> None:
        if self.trace is not None:
            self.trace.append(f"{self.now:7.3f} {text}")

    def on_view_decided(self, view: View) -> None:
        """Check that every replica in a newly learnt view is complete or has lost its disk since."""
        self.checker.on_view_decided(
            view, complete_replicas(view, [store.record for store in self.stores.values()])
        )

    def run_step(self, store: SimulatedStore, action: Any, *args: Any) -> None:
        """Run a step of a store's process, which may die in a write."""
        try:
            action(*args)
        except ProcessDied:
            self._add_to_trace(f"{store.host}: dies in a write")
            self._crash(store, self.chance.uniform(0.2, 2.0), False)

    # The network.

    def send_message(self, source: SimulatedStore, identity: str, data: bytes) -> None:
        """Send a message, which may be lost, delayed or duplicated."""
        target = next(
            (s for s in self.stores.values() if s.replica is not None and s.replica.identity == identity),
            None,
        )
        if target is None or (source.host, target.host) in self.cuts or self.chance.random() < self.lossy:
            return
        sender = source.replica.identity if source.replica is not None else ""
        self.schedule(self._delay(), self._deliver, target, target.replica, sender, data)
        if self.chance.random() < max(self.lossy, self._current_delayed_fraction):
            late = self.chance.uniform(NORMAL_DELAY_RANGE_S[0], self.parameters.max_delay_s)
            self.schedule(late, self._deliver, target, target.replica, sender, data)

    @property
    def _current_delayed_fraction(self) -> float:
        return self.parameters.delayed_fraction if self.now < HISTORY_LENGTH_S - FINAL_QUIET_S else 0.0

    def _delay(self) -> float:
        if self.chance.random() < self._current_delayed_fraction:
            return self.chance.uniform(NORMAL_DELAY_RANGE_S[0], self.parameters.max_delay_s)
        return self.chance.uniform(*NORMAL_DELAY_RANGE_S)

    def _deliver(self, target: SimulatedStore, replica: Replica, sender: str, data: bytes) -> None:
        if target.replica is not replica:
            return  # the link closed when the receiving process ended
        if self.now < target.frozen_until:
            self.schedule(target.frozen_until - self.now, self._deliver, target, replica, sender, data)
            return
        self.run_step(target, replica.handle, sender, decode(msgpack.unpackb(data)))

    def _tick(self, store: SimulatedStore) -> None:
        self.schedule(TICK_INTERVAL_S, self._tick, store)
        if store.running_replica is not None:
            self.run_step(store, store.running_replica.tick, self.now)

    def _send_status(self, store: SimulatedStore) -> None:
        self.schedule(STATUS_INTERVAL_S, self._send_status, store)
        replica = store.running_replica
        if replica is None:
            return
        for other in self.stores.values():
            if other is not store and other.replica is not None and (store.host, other.host) not in self.cuts:
                self.schedule(0.005, self._receive_status, other, other.replica, replica, store)

    def _receive_status(
        self, other: SimulatedStore, receiver: Replica, source: Replica, store: SimulatedStore
    ) -> None:
        if other.replica is receiver and other.running_replica is not None:
            member = Member(source.identity, store.host, store.zone)
            receiver.record_contact(member, source.born_first, self.now, source.healthy, source.leaving)
            self.run_step(other, receiver.learn, source.view)

    # Operator requests.

    def _send_operator_request(self) -> None:
        """Send an order to a serving store; sometimes a read or an already sent version instead."""
        self.schedule(self.chance.uniform(0.05, 0.5), self._send_operator_request)
        serving = [
            s for s in self.stores.values() if s.running_replica is not None and s.running_replica.serving
        ]
        if not serving:
            return
        store = self.chance.choice(serving)
        random_value = self.chance.random()
        if random_value < 0.15:
            self._read(store)
            return
        if random_value > 0.25 or not self.last_version_sent:
            self.last_version_sent += 1
        self._submit_version(store, self.last_version_sent, self.chance.choice("ab"))

    def _submit_version(self, store: SimulatedStore, number: int, operator: str) -> None:
        version = f"{number:08x}"
        content = f"{version}/{operator}".encode()

        def reply(result: OrderResult) -> None:
            self.checker.on_order_result(number, content, result)
            if not result.error and store.replica is not None:
                records = [other.record for other in self.stores.values()]
                self.checker.check_durable(number, versions_on_disk(store.replica.view, records))

        assert store.replica is not None
        order = Order(number, int(OrderKind.REPLACE_CONFIGURATION), version, content)
        self.run_step(store, store.replica.submit, order, reply)

    def _read(self, store: SimulatedStore) -> None:
        confirmed_before = self.checker.highest_confirmed

        def reply(result: OrderResult) -> None:
            self.checker.on_read_result(confirmed_before, result)

        assert store.replica is not None
        self.run_step(store, store.replica.submit, Order(0, int(OrderKind.READ_CONFIGURATION)), reply)

    # Faults.

    def _inject_fault(self) -> None:
        """Inject one random fault and schedule its end, within the number of tolerated losses.

        When that number is reached, all processes are sometimes killed at once, which loses no disk.
        """
        if self.now < HISTORY_LENGTH_S - FINAL_QUIET_S:
            self.schedule(self.chance.uniform(0.3, 4.0), self._inject_fault)
        lost = [host for host, until in self.counted_lost_until.items() if until > self.now]
        if len(lost) >= self.tolerance.machines:
            if self.chance.random() < 0.1:
                self._add_to_trace("all processes are killed")
                for store in self.stores.values():
                    self._crash(store, self.chance.uniform(0.2, 1.5), False)
            return
        store = self.chance.choice([s for s in self.stores.values() if s.host not in lost])
        kind = self.chance.choice(["crash", "wipe", "freeze", "cut", "one way", "loss", "full", "dies"])
        span = self.chance.uniform(0.2, 4.0)
        self._add_to_trace(f"{store.host}: {kind} for {span:.2f} s")
        if kind != "loss":
            self.counted_lost_until[store.host] = self.now + span + RECOVERY_TIME_S
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
            store.record.mode = DiskMode.FULL
            self.schedule(span, self._free_disk, store, store.record, self._crashes, span)
        elif kind == "dies":
            store.record.mode = self.chance.choice([DiskMode.DIES_BEFORE, DiskMode.DIES_AFTER])
        else:
            self._cut(store, span, both=kind == "cut")

    def _free_disk(self, store: SimulatedStore, record: MemoryRecord, crashes: int, span: float) -> None:
        """Free a full disk; if it was the only fault, the view must have replaced its replica by now."""
        if record.mode is not DiskMode.FULL:
            return  # its process was down when the fault came, and has started since on a disk that works
        record.mode = DiskMode.WELL
        alone = sum(until > self.now for until in self.counted_lost_until.values()) == 1
        if not alone or self._crashes != crashes or self.parameters.delayed_fraction or self.lossy:
            return
        newest = max((s.replica.view for s in self.stores.values() if s.replica), key=lambda view: view.epoch)
        if span > MAX_REPLACEMENT_TIME_S and record.values["identity"] in newest.copies:
            raise InvariantViolated(f"{store.host} is a copy after {span:.2f} s without a disk")

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
        store.record.mode = DiskMode.WELL
        self._add_to_trace(f"{store.host}: starts")
        store.start(False)

    # Running a history.

    def run(self) -> None:
        """Run from the first start to the end of the quiet period, then check the final state."""
        for store in self.stores.values():
            store.start(True)
            self._tick(store)
            self._send_status(store)
        self.schedule(5.0, self._send_operator_request)
        self.schedule(8.0, self._inject_fault)
        while self.now < HISTORY_LENGTH_S:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self._check_final_state()

    def _check_final_state(self) -> None:
        serving = [s.replica for s in self.stores.values() if s.replica is not None and s.replica.serving]
        if not serving:
            raise InvariantViolated("no store serves after the calm at the end")
        newest = max(serving, key=lambda replica: replica.view.epoch)
        held = int(newest.document.version or "0", 16)
        if held < self.checker.highest_confirmed:
            raise InvariantViolated(f"the end holds {held}, confirmed was {self.checker.highest_confirmed}")
        if self.evacuations is not None:
            self.evacuations.check_final(newest.document)


def run_history(seed: int, parameters: SimulationParameters) -> tuple[int, str | None]:
    """Run one history; returns the highest confirmed version and the violated invariant, if any."""
    history = History(seed, parameters)
    try:
        history.run()
    except InvariantViolated as violation:
        return history.checker.highest_confirmed, f"history {seed} at {history.now:.3f} s: {violation}"
    return history.checker.highest_confirmed, None


def trace_history(seed: int, parameters: SimulationParameters) -> list[str]:
    """Run one history and return its event log, up to the violated invariant if there is one."""
    trace: list[str] = []
    history = History(seed, parameters, trace)
    try:
        history.run()
    except InvariantViolated as violation:
        trace.append(f"{history.now:7.3f} BROKEN: {violation}")
    return trace
