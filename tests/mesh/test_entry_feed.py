"""Entries on a link without room: the newest of each proxy goes once there is room, nothing piles up."""

from __future__ import annotations

import asyncio
from typing import Any

import msgpack

from lupinreach.bed.ways.loop import VirtualLoop
from lupinreach.mesh.messages import AgentEntry, decode
from lupinreach.mesh.registry.agents import AgentTable
from lupinreach.mesh.registry.entry_feed import MOST_UNSENT, EntryFeed
from lupinreach.mesh.send_window import UpdateProgress


class _Link:
    def __init__(self) -> None:
        self.unsent = 0
        self.got: list[AgentEntry] = []

    def send_encoded(self, data: bytes) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        unpacker.feed(data)
        self.got += [decode(values) for values in unpacker]


def _entry(number: int, sequence: int, removed: bool = False) -> AgentEntry:
    return AgentEntry(f"s{number}:1", 1, sequence, "alpha", "za", f"i-{number}", True, removed)


async def _play() -> None:
    agents = AgentTable()
    feed = EntryFeed(agents)
    slow, quick = _Link(), _Link()
    links: list[Any] = [slow, quick]
    for number, link in enumerate(links):
        agents.apply(_entry(number, 1), 0.0)
        agents.connect(f"s{number}:1", 1, link, 0.0)
        feed.join(link)
    await asyncio.sleep(0.1)
    assert [entry.address for entry in slow.got] == ["s0:1", "s1:1"] == [entry.address for entry in quick.got]
    slow.unsent = MOST_UNSENT + 1
    for sequence in range(2, 102):
        agents.apply(_entry(0, sequence), 0.0)
        feed.changed(_entry(0, sequence))
        if sequence == 50:
            feed.changed(_entry(1, 2, removed=True))
        await asyncio.sleep(0.05)
    assert len(slow.got) == 2 and len(quick.got) == 2 + 101
    slow.unsent = 0
    await asyncio.sleep(0.1)
    assert [(entry.address, entry.sequence, entry.removed) for entry in slow.got[2:]] == [
        ("s0:1", 101, False),
        ("s1:1", 2, True),
    ]


def test_the_newest_of_each_goes_once_there_is_room() -> None:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(_play())
    finally:
        loop.end()
        loop.close()


class _CountedTable(AgentTable):
    """Counts how often the whole table is asked for."""

    reads = 0

    def entries(self) -> list[AgentEntry]:
        self.reads += 1
        return super().entries()


async def _join_without_room() -> None:
    agents = _CountedTable()
    feed = EntryFeed(agents)
    link: Any = _Link()
    agents.apply(_entry(0, 1), 0.0)
    agents.connect("s0:1", 1, link, 0.0)
    link.unsent = MOST_UNSENT + 1
    feed.join(link)
    await asyncio.sleep(3.0)
    assert agents.reads == 0 and link.got == []
    link.unsent = 0
    await asyncio.sleep(0.1)
    assert agents.reads == 1 and [entry.address for entry in link.got] == ["s0:1"]


def test_the_table_is_not_packed_for_a_link_without_room() -> None:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(_join_without_room())
    finally:
        loop.end()
        loop.close()


def test_nothing_is_counted_for_a_receiver_that_never_acknowledges() -> None:
    progress = UpdateProgress(acknowledges=False)
    for sequence in range(1000):
        assert progress.allows(60_000)
        progress.sent(60_000, "00000001", [1, sequence])
    assert progress.window.empty and progress.stamp == [1, 999]
