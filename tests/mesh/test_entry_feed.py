"""Proxy entries on a congested link: once it drains, only the newest entry of each proxy is sent; none pile up."""

from __future__ import annotations

import asyncio
from typing import Any

import msgpack

from lupinreach.bed.ways.loop import VirtualLoop
from lupinreach.mesh.messages import AgentEntry, decode
from lupinreach.mesh.registry.agents import AgentTable
from lupinreach.mesh.registry.entry_feed import MAX_UNSENT_BYTES, EntryFeed
from lupinreach.mesh.send_window import UpdateProgress


class _Link:
    """A link that records the entries sent on it."""

    def __init__(self) -> None:
        self.unsent = 0
        self.received: list[AgentEntry] = []

    def send_encoded(self, data: bytes) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        unpacker.feed(data)
        self.received += [decode(values) for values in unpacker]


def _entry(number: int, sequence: int, removed: bool = False) -> AgentEntry:
    return AgentEntry(f"s{number}:1", 1, sequence, "alpha", "za", f"i-{number}", True, removed)


async def _send_to_two_links() -> None:
    agents = AgentTable()
    feed = EntryFeed(agents)
    slow, fast = _Link(), _Link()
    links: list[Any] = [slow, fast]
    for number, link in enumerate(links):
        agents.apply(_entry(number, 1), 0.0)
        agents.connect(f"s{number}:1", 1, link, 0.0)
        feed.join(link)
    await asyncio.sleep(0.1)
    assert (
        [entry.address for entry in slow.received]
        == ["s0:1", "s1:1"]
        == [entry.address for entry in fast.received]
    )
    slow.unsent = MAX_UNSENT_BYTES + 1
    for sequence in range(2, 102):
        agents.apply(_entry(0, sequence), 0.0)
        feed.changed(_entry(0, sequence))
        if sequence == 50:
            feed.changed(_entry(1, 2, removed=True))
        await asyncio.sleep(0.05)
    assert len(slow.received) == 2 and len(fast.received) == 2 + 101
    slow.unsent = 0
    await asyncio.sleep(0.1)
    assert [(entry.address, entry.sequence, entry.removed) for entry in slow.received[2:]] == [
        ("s0:1", 101, False),
        ("s1:1", 2, True),
    ]


def test_congested_link_gets_the_newest_entry_of_each_proxy_once_it_drains() -> None:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(_send_to_two_links())
    finally:
        loop.end()
        loop.close()


class _CountedTable(AgentTable):
    """Counts the reads of the complete table."""

    reads = 0

    def entries(self) -> list[AgentEntry]:
        self.reads += 1
        return super().entries()


async def _join_while_congested() -> None:
    agents = _CountedTable()
    feed = EntryFeed(agents)
    link: Any = _Link()
    agents.apply(_entry(0, 1), 0.0)
    agents.connect("s0:1", 1, link, 0.0)
    link.unsent = MAX_UNSENT_BYTES + 1
    feed.join(link)
    await asyncio.sleep(3.0)
    assert agents.reads == 0 and link.received == []
    link.unsent = 0
    await asyncio.sleep(0.1)
    assert agents.reads == 1 and [entry.address for entry in link.received] == ["s0:1"]


def test_full_table_is_not_encoded_for_a_congested_link() -> None:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(_join_while_congested())
    finally:
        loop.end()
        loop.close()


def test_send_window_is_not_used_for_a_receiver_without_acknowledgements() -> None:
    progress = UpdateProgress(acknowledges=False)
    for sequence in range(1000):
        assert progress.allows(60_000)
        progress.sent(60_000, "00000001", [1, sequence])
    assert progress.window.empty and progress.stamp == [1, 999]
