"""Configuration updates: applying one yields exactly the sender's configuration, or it is rejected as unfit."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgpack
import orjson
import pytest
from result import Err, Ok

from lupinreach.bed.ways.loop import VirtualLoop
from lupinreach.mesh.configuration import Configuration, Route, RouteType, Service, VirtualHost
from lupinreach.mesh.configuration_check import parse_configuration
from lupinreach.mesh.configuration_update import (
    MAX_REMEMBERED_VERSIONS,
    Applied,
    ConfigurationHistory,
    ConfigurationUpdate,
    unpack_configuration,
)
from lupinreach.mesh.messages import AgentHello, Message, StateUpdate, StateUpdateAcknowledged, decode
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.registry.news_feed import RESEND_AFTER_S, NewsFeed
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


def _random_versions(rng: random.Random, count: int) -> list[Configuration]:
    """Random versions: each adds, changes or removes routes, and some add services."""
    routes = {(f"h{number % 5}.example", f"/p{number}/"): 1000.0 for number in range(200)}
    versions = []
    for number in range(1, count + 1):
        for _ in range(rng.randrange(4)):
            key = (f"h{rng.randrange(5)}.example", f"/p{rng.randrange(250)}/")
            if rng.random() < 0.3:
                routes.pop(key, None)
            else:
                routes[key] = float(rng.randrange(1, 5000))
        versions.append(_configuration(7 * number, dict(routes), 1 + number // 15))
    return versions


def _has_content_of(table: RouteTable, wanted: Configuration) -> bool:
    other = RouteTable(wanted)
    return (table.version, table.hosts, table.services) == (other.version, other.hosts, other.services)


def test_update_applies_to_every_version_from_its_base_up_to_its_own() -> None:
    rng = random.Random(5)
    versions = _random_versions(rng, 40)
    history = ConfigurationHistory()
    for version in versions:
        history.advance(version)
    for first in range(0, 40, 7):
        base, packed = history.packed_from(versions[first].version)
        assert base == versions[first].version
        for held in range(first, 40):
            applied, table = ConfigurationUpdate.unpack(packed).apply(RouteTable(versions[held]))
            assert applied is (Applied.IN_FORCE if held < 39 else Applied.NOT_NEWER)
            assert table is not None and _has_content_of(table, versions[39])
        if first:
            assert (
                ConfigurationUpdate.unpack(packed).apply(RouteTable(versions[first - 1]))[0] is Applied.UNFIT
            )


def test_update_is_unfit_if_the_sender_missed_a_change_that_was_reverted() -> None:
    routes = {("h.example", f"/p{number}/"): 1000.0 for number in range(10)}
    key = ("h.example", "/p3/")
    before, missed = _configuration(1, routes), _configuration(2, routes | {key: 5.0})
    after = _configuration(3, routes | {("h.example", "/p4/"): 9.0})
    history = ConfigurationHistory()
    history.advance(before)
    history.advance(after)
    _, packed = history.packed_from(history.base_for(missed.version))
    assert ConfigurationUpdate.unpack(packed).apply(RouteTable(missed))[0] is Applied.UNFIT
    applied, table = ConfigurationUpdate.unpack(packed).apply(RouteTable(before))
    assert applied is Applied.IN_FORCE and table is not None and _has_content_of(table, after)


def test_forgotten_versions_and_large_changes_get_the_full_configuration() -> None:
    versions = _random_versions(random.Random(6), MAX_REMEMBERED_VERSIONS + 5)
    history = ConfigurationHistory()
    for version in versions:
        history.advance(version)
    assert history.base_for(versions[0].version) == "" == history.base_for("")
    assert history.base_for(versions[6].version) == versions[6].version
    history.advance(_configuration(0xFFFF, {("new.example", f"/n{number}/"): 1.0 for number in range(50)}))
    base, packed = history.packed_from(versions[-1].version)
    assert base == "" and unpack_configuration(packed).version == "0000ffff"


class _QueuedLink:
    """A link that delivers queued messages on `flush`."""

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


class _NullLog:
    """An event log that discards all events."""

    def write(self, event: Any, **facts: Any) -> None:
        pass


def _update_from_two_registries(seed: int) -> None:
    """Two registries, each missing some versions, update one proxy over links that deliver at random times."""
    rng = random.Random(seed)
    versions = _random_versions(rng, 60)
    holder = ConfigurationState()
    feeds, links = [], []
    for _ in range(2):
        feed = NewsFeed(lambda: True, _NullLog())  # type: ignore[arg-type]

        def deliver(message: Message, feed: NewsFeed = feed, number: int = len(feeds)) -> None:
            assert isinstance(message, StateUpdate)
            link = links[number]
            if holder.apply(message) is Applied.UNFIT:
                feed.on_pull(link)
            feed.on_acknowledged(link, StateUpdateAcknowledged(list(holder.stamp), holder.version))

        link: Any = _QueuedLink(deliver)
        feeds.append(feed)
        links.append(link)
        feed.join(link, AgentHello("s1:1", 1, "", [], True))
    last_version = ""
    for sequence, version in enumerate(versions, 1):
        for number, (feed, link) in enumerate(zip(feeds, links, strict=True)):
            if rng.random() < 0.7 or sequence == len(versions):
                feed.history.advance(version)
                feed.publish([1, sequence], {"za": sequence % 3 == 0})
            if rng.random() < 0.4:
                link.flush()
            if rng.random() < 0.05:  # a new link: queued messages are lost
                link.queued.clear()
                feed.leave(link)
                feed.join(link, AgentHello("s1:1", 1, holder.version, [], True))
            assert holder.version >= last_version, number
            last_version = holder.version
            if holder.table is not None:
                expected = next(one for one in versions if one.version == holder.version)
                assert _has_content_of(holder.table, expected)
    for _ in range(6):
        for link in links:
            link.flush()
    assert holder.version == versions[-1].version
    assert all(receiver.behind_since is None for feed in feeds for receiver in feed.receivers)


def test_proxy_of_two_registries_never_mixes_versions_and_ends_with_the_newest() -> None:
    loop = VirtualLoop()

    async def play() -> None:
        for seed in range(40):
            _update_from_two_registries(seed)

    try:
        loop.run_until_complete(play())
    finally:
        loop.end()
        loop.close()


def test_superseded_versions_are_not_sent() -> None:
    async def play() -> None:
        feed = NewsFeed(lambda: True, _NullLog())  # type: ignore[arg-type]
        link: Any = _QueuedLink(lambda message: None)
        feed.join(link, AgentHello("s1:1", 1, "", [], True))
        routes = {("h.example", f"/p{number}/"): 1.0 for number in range(400)}
        for number in range(1, 50):
            feed.history.advance(_configuration(number, {key: float(number) for key in routes}))
            feed.publish([1, number], {})
        assert len(link.queued) == 1
        feed.on_acknowledged(link, StateUpdateAcknowledged([1, 1], "00000001"))
        assert len(link.queued) == 2 and feed.receivers[0].progress.config_version == f"{49:08x}"

    asyncio.run(play())


# Spellings of equal values, the first of them the default.
SPELLINGS: dict[str, list[Any]] = {
    "max_body_bytes": [67108864, 67108864.0, "67108864"],
    "header_timeout_ms": [3000, 3000.0, "3000"],
    "target_latency_ms": [0, 0.0, -0.0, "-0"],
    "cold_per_s": [0, -0.0, 0.0],
    "max_attempts": [1, 1.0, True],
    "priority": [0, -0.0, False],
}


def _spelled_version(rng: random.Random, number: int, timeout_ms: float) -> bytes:
    def draw(*keys: str) -> dict[str, Any]:
        return {key: rng.choice(SPELLINGS[key]) for key in keys if rng.random() < 0.7}

    def route(prefix: str, timeout: float) -> dict[str, Any]:
        fixed = {
            "path_prefix": prefix,
            "route_type": "safe",
            "timeout_ms": timeout,
            "target_service": "alpha",
        }
        return fixed | draw("target_latency_ms", "max_attempts", "priority")

    rules = [route("/changing/", timeout_ms), *(route(f"/p{index}/", 1000) for index in range(6))]
    version = f"{number:08x}"
    whole = {
        "version": rng.choice([version, version.upper()]),
        "services": [{"name": "alpha"} | draw("cold_per_s")],
        "limits": draw("max_body_bytes", "header_timeout_ms"),
        "virtual_hosts": [{"hostname": rng.choice(["h.example", "H.example"]), "path_rules": rules}],
    }
    return orjson.dumps(whole)


# Guards against updates that every receiver rejects, as equal values were encoded differently (review/4).
def test_updates_fit_however_equal_values_are_spelled() -> None:
    rng = random.Random(7)
    history, held = ConfigurationHistory(), None
    for number in range(10, 200):
        parsed = parse_configuration(_spelled_version(rng, number, float(number)))
        assert isinstance(parsed, Ok)
        history.advance(parsed.ok_value)
        if held is None:
            held = RouteTable(parsed.ok_value)
            continue
        base, packed = history.packed_from(held.version)
        assert base, "the difference is small"
        applied, held = ConfigurationUpdate.unpack(packed).apply(held)
        assert applied is Applied.IN_FORCE, number


# Guards against configurations that are acknowledged and can't be encoded for the proxies.
@pytest.mark.parametrize(
    ("limits", "key"),
    [
        ({"max_body_bytes": 1e30}, "limits.max_body_bytes"),
        ({"idle_timeout_ms": "inf"}, "limits.idle_timeout_ms"),
    ],
)
def test_number_that_no_message_can_carry_is_refused_by_its_key(limits: dict[str, Any], key: str) -> None:
    whole = orjson.loads(_spelled_version(random.Random(1), 1, 1000.0)) | {"limits": limits}
    refused = parse_configuration(orjson.dumps(whole))
    assert isinstance(refused, Err) and refused.err_value.startswith(f"{key}:")


# Guards against a proxy that counts as up to date because it was sent what it did not put in force (review/4).
def test_proxy_that_reports_an_older_version_is_sent_the_whole_again() -> None:
    loop = VirtualLoop()

    async def play() -> None:
        feed = NewsFeed(lambda: True, _NullLog())  # type: ignore[arg-type]
        sent: list[StateUpdate] = []
        link: Any = _QueuedLink(sent.append)
        feed.join(link, AgentHello("s1:1", 1, "", [], True))
        for number in (1, 2):
            feed.history.advance(_configuration(number, {("h.example", "/p/"): float(number)}))
            feed.publish([1, number], {})
            link.flush()
            feed.on_acknowledged(link, StateUpdateAcknowledged([1, number], "00000001"))
        assert feed.receivers[0].behind_since is not None
        for _ in range(3):
            feed.resend(loop.time())
            link.flush()
            assert len(sent) == 2  # not at once: its reason may last
            await asyncio.sleep(RESEND_AFTER_S)
            feed.resend(loop.time())
            link.flush()
            assert (sent.pop().base, sent[-1].config_version) == ("", "00000002")
            feed.on_acknowledged(link, StateUpdateAcknowledged([1, 2], "00000001"))
        feed.on_acknowledged(link, StateUpdateAcknowledged([1, 2], "00000002"))
        assert feed.receivers[0].behind_since is None
        feed.resend(loop.time() + RESEND_AFTER_S)
        link.flush()
        assert len(sent) == 2

    try:
        loop.run_until_complete(play())
    finally:
        loop.end()
        loop.close()
