"""CPU time of one order at the primary and its backup, on SQLite files; messages stay within the process.

Prints CPU microseconds and disk writes per order, summed over the stores of the group, for a small
configuration and for one of 300 KB.

    python benchmarks/order_cost.py [ORDERS]
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgpack

from lupinreach.mesh.messages import Message, Order, decode, encode
from lupinreach.mesh.store.disk import SqliteRecord
from lupinreach.mesh.store.document import OrderKind
from lupinreach.mesh.store.replica import Replica
from lupinreach.mesh.store.view import Member, Tolerance

HOST_NAMES = ("a", "b", "c")
DOCUMENT_BYTES = {"small": 600, "300 KB": 300_000}
REPEATS = 5


class CountingRecord:
    """A record on disk that counts its writes."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir()
        self.record = SqliteRecord(str(folder))
        self.writes = 0

    def load(self) -> dict[str, Any]:
        return self.record.load()

    def save(self, changes: Any) -> None:
        self.writes += 1
        self.record.save(changes)


class Node:
    """One store; messages are encoded and decoded as on a link, and delivered by `deliver`."""

    def __init__(self, group: dict[str, Node], host: str, folder: Path) -> None:
        self.group, self.host = group, host
        self.record = CountingRecord(folder / host)
        self.replica = Replica(self.record, self, host, host, list(HOST_NAMES), True, Tolerance(1))
        self.inbox: list[tuple[str, bytes]] = []

    def send(self, identity: str, message: Message) -> None:
        for node in self.group.values():
            if node.replica.identity == identity:
                node.inbox.append((self.replica.identity, encode(message)))

    def log(self, event: Any, **facts: Any) -> None:
        pass

    def publish(self, stamp: list[int], document: Any) -> None:
        pass


def deliver(group: dict[str, Node]) -> None:
    """Delivers messages until all inboxes are empty."""
    while any(node.inbox for node in group.values()):
        for node in group.values():
            while node.inbox:
                sender, data = node.inbox.pop(0)
                node.replica.handle(sender, decode(msgpack.unpackb(data)))


def start_group(folder: Path) -> dict[str, Node]:
    """A serving group of stores, with the first host as the primary."""
    group: dict[str, Node] = {}
    for host in HOST_NAMES:
        group[host] = Node(group, host, folder)
    for node in group.values():
        for other in group.values():
            if other is not node:
                member = Member(other.replica.identity, other.host, other.host)
                node.replica.record_contact(member, True, 1.0)
    group["a"].replica.tick(1.0)
    deliver(group)
    assert group["a"].replica.serving
    return group


def measure(size: int, orders: int) -> tuple[float, float]:
    """CPU microseconds and disk writes per order."""
    with tempfile.TemporaryDirectory() as folder:
        group = start_group(Path(folder))
        before = sum(node.record.writes for node in group.values())
        began = time.process_time()
        for number in range(1, orders + 1):
            order = Order(number, int(OrderKind.REPLACE_CONFIGURATION), f"{number:08x}", bytes(size))
            results: list[Any] = []
            group["a"].replica.submit(order, results.append)
            deliver(group)
            assert results and not results[0].error
        cpu_s = time.process_time() - began
        writes = sum(node.record.writes for node in group.values()) - before
        return cpu_s / orders * 1e6, writes / orders


def main() -> None:
    """Prints the minimum of `REPEATS` measurements for each size."""
    orders = int(sys.argv[1]) if len(sys.argv) > 1 else 300
    for name, size in DOCUMENT_BYTES.items():
        measured = [measure(size, orders) for _ in range(REPEATS)]
        cpu_s, writes = min(measured)
        print(f"{name:8} {cpu_s:8.0f} us per order, {writes:.2f} disk writes")


if __name__ == "__main__":
    main()
