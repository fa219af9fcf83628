"""A registry that subscribes while a write is in progress.

The news sent on subscription must carry the stamp of the committed document. With the stamp of the one being
written, the registry counts as up to date and does not get that document once it is committed.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from mesh.world import World


def _restart_registry(world: World, host: str) -> None:
    """Kill only the registry's process, and start a new one."""
    owner = world.owners.pop((host, "registry"))
    world.loop.kill(owner)
    world.loop.listeners = {at: found for at, found in world.loop.listeners.items() if found[1] != owner}
    world.loop.close_connections(owner)
    world._owner += 1
    world.loop.hosts[world._owner] = host
    world.owners[(host, "registry")] = world._owner
    with world.loop.owned_by(world._owner):
        world.loop.create_task(world._start_program(host, "registry", world.settings(host)))


def test_registry_subscribed_during_a_write_gets_its_document(tmp_path: Path) -> None:
    world = World(tmp_path)
    try:
        world.start_small()
        assert world.loop.run_until_complete(world.replace_configuration("c1", "00000001")) == 200
        primary = world.serving()[0]
        others = [host for host in world.cores if host != primary]
        for host in others:
            world.freeze(host, 0.6)
        order = world.loop.create_task(world.replace_configuration(primary, "00000002"))
        world.run_until(world.now + 0.05)
        _restart_registry(world, primary)
        world.run_until(world.now + 0.3)
        registry = world.programs[(primary, "registry")]
        assert registry.feed.history.version == "00000001"  # the write is still in progress
        world.run_until(world.now + 1.5)
        assert registry.feed.history.version == "00000002"
        assert world.programs[("s1", "proxy")].configuration.version == "00000002"
        world.loop.run_until_complete(asyncio.wait([order]))
    finally:
        world.end()
