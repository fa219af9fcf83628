"""A registry that subscribes while a write is in progress.

The news sent on subscription must carry the stamp of the committed document. With the stamp of the one being
written, the registry counts as up to date and does not get that document once it is committed.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from result import Err

from lupinreach.mesh.configuration_check import decode_configuration
from lupinreach.mesh.events import Event
from lupinreach.mesh.registry import program as registry_program
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


# Guards against a registry that counts as up to date with a configuration that it could not read.
def test_registry_gets_a_configuration_again_that_it_could_not_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = World(tmp_path)
    readable_at = 0.0

    def decode(data: bytes) -> Any:
        return decode_configuration(data) if world.now >= readable_at else Err("version: unreadable")

    try:
        world.start_small()
        assert world.loop.run_until_complete(world.replace_configuration("c1", "00000001")) == 200
        monkeypatch.setattr(registry_program, "decode_configuration", decode)
        readable_at = world.now + 3.0
        assert world.loop.run_until_complete(world.replace_configuration("c1", "00000002")) == 200
        world.run_until(readable_at - 0.5)
        assert world.programs[("s1", "proxy")].configuration.version == "00000001"
        unreadable = [name for _, name, event, _ in world.recorded_events if event is Event.NEWS_UNREADABLE]
        assert {"c1/registry", "c2/registry", "c3/registry"} == set(unreadable)
        assert len(unreadable) < 30  # it is asked for with each status, not in a circle
        world.run_until(readable_at + 1.0)
        assert world.programs[("s1", "proxy")].configuration.version == "00000002"
    finally:
        world.end()
