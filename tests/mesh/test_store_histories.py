"""Drawn histories of the store: crashes, lost disks, freezes, cuts and lost messages; nothing acknowledged is ever gone."""

from __future__ import annotations

import heapq
import random
from collections.abc import Mapping
from itertools import count
from typing import Any

import msgpack
import pytest

from lupinreach.mesh.events import Event
from lupinreach.mesh.messages import Message, Order, OrderResult, decode, encode
from lupinreach.mesh.store.document import Document, OrderKind
from lupinreach.mesh.store.replica import Replica
from lupinreach.mesh.store.view import Member, Tolerance

TICK_S, STATUS_S = 0.1, 0.2
HISTORIES = 40
LENGTH_S = 60.0
CALM_S = 15.0


class MemoryRecord:
    """A disk: what was saved stays, unless the disk is lost."""

    def __init__(self) -> None:
        self.values: dict[str, Any] = {}

    def load(self) -> dict[str, Any]:
        return dict(self.values)

    def save(self, changes: Mapping[str, Any]) -> None:
        self.values.update(changes)


class Store:
    """One machine with its replica."""

    def __init__(self, history: History, host: str, zone: str) -> None:
        self.history, self.host, self.zone = history, host, zone
        self.record = MemoryRecord()
        self.replica: Replica | None = None
        self.frozen_until = 0.0
        self.late: list[tuple[str, bytes]] = []

    def start(self, first: bool) -> None:
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

    def send(self, identity: str, message: Message) -> None:
        self.history.carry(self, identity, encode(message))

    def log(self, event: Event, **facts: Any) -> None:
        if event is Event.PRIMARY_SERVING:
            assert self.replica is not None
            owner = self.history.served.setdefault(facts["epoch"], self.replica.identity)
            assert owner == self.replica.identity, f"epoch {facts['epoch']} has two primaries"

    def publish(self, stamp: list[int], document: Document) -> None:
        if stamp < self.history.newest_stamp:
            return  # a primary that stood still tells old news, which everybody skips by its stamp
        self.history.newest_stamp = stamp
        held, told = int(document.version or "0", 16), self.history.acknowledged
        assert held >= told, f"{self.host} publishes {held} after {told} was acknowledged"


class History:
    """Stores on simulated time under drawn faults; at most what the tolerance allows is lost at once."""

    def __init__(self, seed: int, machines: int) -> None:
        self.chance = random.Random(seed)
        self.tolerance = Tolerance(machines, 0, 0)
        size = 2 * machines + 1
        self.hosts = [f"h{i}" for i in range(size)]
        self.stores = {host: Store(self, host, f"z{i % 3}") for i, host in enumerate(self.hosts)}
        self.now = 0.0
        self.events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self.order = count()
        self.served: dict[int, str] = {}
        self.acknowledged = 0
        self.newest_stamp = [0, 0]
        self.sent = 0
        self.cuts: set[tuple[str, str]] = set()
        self.lossy = 0.0
        self.lost: dict[str, float] = {}  # host: until when it counts as lost

    def at(self, delay: float, work: Any, *args: Any) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), work, args))

    def carry(self, source: Store, identity: str, data: bytes) -> None:
        target = next(
            (s for s in self.stores.values() if s.replica is not None and s.replica.identity == identity),
            None,
        )
        if target is None or (source.host, target.host) in self.cuts or self.chance.random() < self.lossy:
            return
        sender = source.replica.identity if source.replica is not None else ""
        self.at(self.chance.uniform(0.001, 0.02), self.deliver, target, target.replica, sender, data)
        if self.chance.random() < self.lossy:
            self.at(self.chance.uniform(0.001, 0.4), self.deliver, target, target.replica, sender, data)

    def deliver(self, target: Store, replica: Replica, sender: str, data: bytes) -> None:
        if target.replica is not replica:
            return
        if self.now < target.frozen_until:
            self.at(target.frozen_until - self.now, self.deliver, target, replica, sender, data)
            return
        replica.handle(sender, decode(msgpack.unpackb(data)))

    def tick(self, store: Store) -> None:
        self.at(TICK_S, self.tick, store)
        if store.replica is not None and self.now >= store.frozen_until:
            store.replica.tick(self.now)

    def status(self, store: Store) -> None:
        self.at(STATUS_S, self.status, store)
        replica = store.replica
        if replica is None or self.now < store.frozen_until:
            return
        for other in self.stores.values():
            if other is not store and other.replica is not None and (store.host, other.host) not in self.cuts:
                self.at(0.005, self.hear, other, other.replica, replica, store)

    def hear(self, other: Store, living: Replica, source: Replica, store: Store) -> None:
        if other.replica is living and self.now >= other.frozen_until:
            living.heard(Member(source.identity, store.host, store.zone), source.born_first, self.now)
            living.learn(source.view)

    def operate(self) -> None:
        """An operator sends the next version to whichever store says that it serves."""
        self.at(self.chance.uniform(0.05, 0.5), self.operate)
        serving = [
            s for s in self.stores.values() if s.replica and s.replica.serving and self.now >= s.frozen_until
        ]
        if serving:
            self.sent += 1
            version = f"{self.sent:08x}"

            def reply(result: OrderResult, number: int = self.sent) -> None:
                if not result.error:
                    self.acknowledged = max(self.acknowledged, number)

            order = Order(self.sent, int(OrderKind.REPLACE_CONFIGURATION), version, version.encode())
            replica = self.chance.choice(serving).replica
            assert replica is not None
            replica.submit(order, reply)

    def trouble(self) -> None:
        """One fault, within what may be lost at once; its end is planned with it."""
        if self.now < LENGTH_S - CALM_S:
            self.at(self.chance.uniform(0.3, 4.0), self.trouble)
        lost = [host for host, until in self.lost.items() if until > self.now]
        if len(lost) >= self.tolerance.machines:
            if self.chance.random() < 0.1:
                for store in self.stores.values():
                    self.crash(store, self.chance.uniform(0.2, 1.5), False)
            return
        store = self.chance.choice([s for s in self.stores.values() if s.host not in lost])
        kind = self.chance.choice(["crash", "wipe", "freeze", "cut", "one way", "loss"])
        span = self.chance.uniform(0.2, 4.0)
        if kind != "loss":
            self.lost[store.host] = self.now + span + 5.0
        if kind in ("crash", "wipe"):
            self.crash(store, span, kind == "wipe")
        elif kind == "freeze":
            store.frozen_until = self.now + span
        elif kind == "loss":
            self.lossy = self.chance.uniform(0.0, 0.2)
            self.at(span, setattr, self, "lossy", 0.0)
        else:
            pairs = {(store.host, host) for host in self.hosts}
            if kind == "cut":
                pairs |= {(host, store.host) for host in self.hosts}
            self.cuts |= pairs
            self.at(span, self.cuts.difference_update, pairs)

    def crash(self, store: Store, span: float, wiped: bool) -> None:
        if store.replica is None:
            return
        store.replica = None
        if wiped:
            store.record = MemoryRecord()
        self.at(span, store.start, False)

    def play(self) -> None:
        for store in self.stores.values():
            store.start(True)
            self.tick(store)
            self.status(store)
        self.at(5.0, self.operate)
        self.at(8.0, self.trouble)
        while self.now < LENGTH_S:
            self.now, _, work, args = heapq.heappop(self.events)
            work(*args)

    def newest(self) -> int:
        """The version that the serving store holds at the end."""
        serving = [s.replica for s in self.stores.values() if s.replica is not None and s.replica.serving]
        assert serving, "no store serves after the calm at the end"
        newest = max(serving, key=lambda replica: replica.view.epoch)
        return int(newest.document.version or "0", 16)


@pytest.mark.parametrize("machines", [1, 2])
def test_nothing_acknowledged_is_lost(machines: int) -> None:
    acknowledged = 0
    for seed in range(HISTORIES):
        history = History(seed, machines)
        try:
            history.play()
            assert history.newest() >= history.acknowledged
        except AssertionError as broken:
            raise AssertionError(f"history {seed}: {broken}") from broken
        acknowledged += history.acknowledged
    assert acknowledged > HISTORIES * 20
