"""Updates lead every receiver to the sender's content, or are found unfit."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgpack

from lupinreach.bed.ways.loop import VirtualLoop
from lupinreach.mesh.configuration import Configuration, Route, RouteType, Service, VirtualHost
from lupinreach.mesh.configuration_update import (
    MOST_VERSIONS,
    Applied,
    ConfigurationHistory,
    ConfigurationUpdate,
    unpack_whole,
)
from lupinreach.mesh.messages import AgentHello, Message, News, NewsAcknowledged, decode
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.registry.news_feed import NewsFeed
from lupinreach.mesh.route_table import RouteTable


def _route(prefix: str, timeout: float) -> Route:
    return Route(prefix, RouteType.SAFE, timeout, f"r{prefix}", 400.0, 1, "alpha", [], 2, [])


def _configuration(version: int, routes: dict[tuple[str, str], float], services: int = 1) -> Configuration:
    hosts: dict[str, list[Route]] = {}
    for (host, prefix), timeout in routes.items():
        hosts.setdefault(host, []).append(_route(prefix, timeout))
    return Configuration(
        f"{version:08x}",
        [Service(f"service-{number}") for number in range(services)],
        [VirtualHost(host, rules) for host, rules in hosts.items()],
    )


def _drawn(chance: random.Random, count: int) -> list[Configuration]:
    """Versions in which routes are added, changed and removed, and services now and then."""
    routes = {(f"h{number % 5}.example", f"/p{number}/"): 1000.0 for number in range(200)}
    versions = []
    for number in range(1, count + 1):
        for _ in range(chance.randrange(4)):
            key = (f"h{chance.randrange(5)}.example", f"/p{chance.randrange(250)}/")
            if chance.random() < 0.3:
                routes.pop(key, None)
            else:
                routes[key] = float(chance.randrange(1, 5000))
        versions.append(_configuration(7 * number, dict(routes), 1 + number // 15))
    return versions


def _same(table: RouteTable, wanted: Configuration) -> bool:
    other = RouteTable(wanted)
    return (table.version, table.hosts, table.services) == (other.version, other.hosts, other.services)


def test_an_update_leads_from_every_version_between_its_base_and_its_own() -> None:
    chance = random.Random(5)
    versions = _drawn(chance, 40)
    history = ConfigurationHistory()
    for version in versions:
        history.take(version)
    for first in range(0, 40, 7):
        base, packed = history.packed_from(versions[first].version)
        assert base == versions[first].version
        for held in range(first, 40):
            applied, table = ConfigurationUpdate.unpack(packed).apply(RouteTable(versions[held]))
            assert applied is (Applied.IN_FORCE if held < 39 else Applied.NOT_NEWER)
            assert table is not None and _same(table, versions[39])
        if first:
            assert (
                ConfigurationUpdate.unpack(packed).apply(RouteTable(versions[first - 1]))[0] is Applied.UNFIT
            )


def test_what_changed_and_changed_back_in_a_version_the_sender_missed_is_unfit() -> None:
    routes = {("h.example", f"/p{number}/"): 1000.0 for number in range(10)}
    key = ("h.example", "/p3/")
    before, missed = _configuration(1, routes), _configuration(2, routes | {key: 5.0})
    after = _configuration(3, routes | {("h.example", "/p4/"): 9.0})
    history = ConfigurationHistory()
    history.take(before)
    history.take(after)
    _, packed = history.packed_from(history.base_for(missed.version))
    assert ConfigurationUpdate.unpack(packed).apply(RouteTable(missed))[0] is Applied.UNFIT
    applied, table = ConfigurationUpdate.unpack(packed).apply(RouteTable(before))
    assert applied is Applied.IN_FORCE and table is not None and _same(table, after)


def test_versions_too_old_to_remember_and_large_changes_get_the_whole() -> None:
    versions = _drawn(random.Random(6), MOST_VERSIONS + 5)
    history = ConfigurationHistory()
    for version in versions:
        history.take(version)
    assert history.base_for(versions[0].version) == "" == history.base_for("")
    assert history.base_for(versions[6].version) == versions[6].version
    history.take(_configuration(0xFFFF, {("new.example", f"/n{number}/"): 1.0 for number in range(50)}))
    base, packed = history.packed_from(versions[-1].version)
    assert base == "" and unpack_whole(packed).version == "0000ffff"


class _Wire:
    """A link that hands messages over when it is told to."""

    def __init__(self, deliver: Callable[[Any], None]) -> None:
        self.queued: list[bytes] = []
        self.unsent = 0
        self._deliver = deliver

    def send_encoded(self, data: bytes) -> None:
        self.queued.append(data)

    def flush(self) -> None:
        queued, self.queued = self.queued, []
        for data in queued:
            self._deliver(decode(msgpack.unpackb(data)))


class _Quiet:
    def write(self, event: Any, **facts: Any) -> None:
        pass


def _play(seed: int) -> None:
    """Two registries that each miss versions tell a proxy over links that deliver at drawn moments."""
    chance = random.Random(seed)
    versions = _drawn(chance, 60)
    holder = ConfigurationState()
    feeds, wires = [], []
    for _ in range(2):
        feed = NewsFeed(lambda: True, _Quiet())  # type: ignore[arg-type]

        def deliver(message: Message, feed: NewsFeed = feed, number: int = len(feeds)) -> None:
            assert isinstance(message, News)
            wire = wires[number]
            if holder.apply(message) is Applied.UNFIT:
                feed.pulled(wire)
            feed.acknowledged(wire, NewsAcknowledged(list(holder.stamp), holder.version))

        wire: Any = _Wire(deliver)
        feeds.append(feed)
        wires.append(wire)
        feed.join(wire, AgentHello("s1:1", 1, "", [], True))
    seen = ""
    for sequence, version in enumerate(versions, 1):
        for number, (feed, wire) in enumerate(zip(feeds, wires, strict=True)):
            if chance.random() < 0.7 or sequence == len(versions):
                feed.history.take(version)
                feed.publish([1, sequence], {"za": sequence % 3 == 0})
            if chance.random() < 0.4:
                wire.flush()
            if chance.random() < 0.05:  # a new link: what was queued is lost
                wire.queued.clear()
                feed.leave(wire)
                feed.join(wire, AgentHello("s1:1", 1, holder.version, [], True))
            assert holder.version >= seen, number
            seen = holder.version
            if holder.table is not None:
                told = next(one for one in versions if one.version == holder.version)
                assert _same(holder.table, told)
    for _ in range(6):
        for wire in wires:
            wire.flush()
    assert holder.version == versions[-1].version
    assert all(receiver.behind_since is None for feed in feeds for receiver in feed.receivers)


def test_a_proxy_of_two_registries_ends_with_the_newest_and_never_holds_a_mixture() -> None:
    loop = VirtualLoop()

    async def play() -> None:
        for seed in range(40):
            _play(seed)

    try:
        loop.run_until_complete(play())
    finally:
        loop.end()
        loop.close()


def test_what_was_overtaken_is_not_sent() -> None:
    async def play() -> None:
        feed = NewsFeed(lambda: True, _Quiet())  # type: ignore[arg-type]
        wire: Any = _Wire(lambda message: None)
        feed.join(wire, AgentHello("s1:1", 1, "", [], True))
        routes = {("h.example", f"/p{number}/"): 1.0 for number in range(400)}
        for number in range(1, 50):
            feed.history.take(_configuration(number, {key: float(number) for key in routes}))
            feed.publish([1, number], {})
        assert len(wire.queued) == 1
        feed.acknowledged(wire, NewsAcknowledged([1, 1], "00000001"))
        assert len(wire.queued) == 2 and feed.receivers[0].progress.config_version == f"{49:08x}"

    asyncio.run(play())
