"""Held connections after a partition: whichever end is gone, the other one notices."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from lupinreach.mesh.link import Link
from mesh.network import MemoryTransport
from mesh.world import World

PARTITION_S = 6.0  # longer than the kernel waits for an acknowledgement
CORE_LIMIT_S = 2.0  # after the partition, between core machines, and from proxies to registries
IDLE_LIMIT_S = 12.0  # after the partition, for links on which nothing is sent
Partition = Callable[[World], None]


def _cut(*pairs: tuple[str, str]) -> Partition:
    def apply(world: World) -> None:
        world.loop.cuts.update(frozenset(pair) for pair in pairs)

    return apply


def _cut_one_way(*pairs: tuple[str, str]) -> Partition:
    def apply(world: World) -> None:
        world.loop.one_way.update(pairs)

    return apply


PARTITIONS = {
    "core-machine": _cut(("c1", "c2"), ("c1", "c3")),
    "core-machine-sends-nothing": _cut_one_way(("c1", "c2"), ("c1", "c3")),
    "core-machine-hears-nothing": _cut_one_way(("c2", "c1"), ("c3", "c1")),
    "proxy-and-core": _cut(("s1", "c1"), ("s1", "c2"), ("s1", "c3")),
    "proxy-sends-nothing-to-core": _cut_one_way(("s1", "c1"), ("s1", "c2"), ("s1", "c3")),
    "proxies": _cut(("s1", "s2"), ("s1", "s3")),
    "proxy-hears-no-proxy": _cut_one_way(("s2", "s1"), ("s3", "s1")),
}


def _half_open(world: World) -> list[str]:
    """Links of which only one end is open."""

    def describe(end: MemoryTransport) -> str:
        return f"{end.host}-{end.peer.host}"

    ends = world.loop.transports
    return sorted(
        describe(end) for end in ends if end.open and not end.peer.open and isinstance(end.protocol, Link)
    )


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    """Three core machines and three proxies, with a configuration in force."""
    world = World(tmp_path)
    try:
        _start(world)
        yield world
    finally:
        world.end()


def _start(world: World) -> None:
    for number, zone in enumerate(("za", "zb", "zc"), 1):
        world.add_core(f"c{number}", zone)
        world.add_sidecar(f"s{number}", zone, "alpha")
    for host in list(world.zones):
        world.start(host)
    world.first_start = False
    world.run_until(3.0)
    assert world.loop.run_until_complete(world.replace_configuration("c1", "00000001")) == 200


# Guards against links of which one end is gone and the other one waits for it for good (incident of issue 68).
@pytest.mark.parametrize("name", PARTITIONS)
def test_no_link_stays_half_open_after_a_partition(name: str, world: World) -> None:
    PARTITIONS[name](world)
    world.run_until(world.now + PARTITION_S)
    world.loop.heal()
    world.run_until(world.now + CORE_LIMIT_S)
    diallers = [program._stores for (_, role), program in world.programs.items() if role == "registry"]
    assert [stores.heard_count for stores in diallers] == [3, 3, 3]
    assert [stores.primary() is not None for stores in diallers] == [True, True, True]
    assert world.programs[("s1", "proxy")]._registries.connected == 2
    world.run_until(world.now + IDLE_LIMIT_S - CORE_LIMIT_S)
    assert _half_open(world) == []


# Guards against a proxy that believes what a link reported before its other end was gone.
def test_backend_that_returns_during_a_partition_is_used_again(world: World) -> None:
    world.run_until(world.now + 1.0)
    peers = world.programs[("s1", "proxy")].peers
    peer = peers.linked["s2:8300"]
    assert peer.status.available
    world.stop_backend("s2")  # the proxies learn that it is away
    world.backends["s2"].state = "draining"
    world.loop.run_until_complete(world.send_heartbeat("s2"))
    world.run_until(world.now + 0.5)
    assert not peer.status.available
    _cut(("s1", "s2"))(world)
    world.run_until(world.now + 1.0)
    world.new_instance("s2")
    world.start_backend("s2")
    world.run_until(world.now + PARTITION_S)
    world.loop.heal()
    world.run_until(world.now + CORE_LIMIT_S)
    assert peers.linked["s2:8300"].status.available
    assert peers.linked["s2:8300"].status.instance_id == world.backends["s2"].instance


# Guards against orders that wait to their deadline for a result that was lost with the link.
def test_order_is_sent_again_when_its_link_to_the_primary_is_reset(world: World) -> None:
    stores = world.programs[("c2", "registry")]._stores
    order = world.loop.create_task(world.replace_configuration("c2", "00000002"))
    while not stores._in_flight:
        world.run_until(world.now + 0.0005)
    with world.loop.owned_by(world.owners[("c2", "registry")]):
        stores.primary().abort()
    world.run_until(world.now + 0.5)
    assert order.done() and order.result() == 200
