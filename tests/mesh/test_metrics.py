"""Figures of the three programs: what names the place, and that each program tells them as text."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from result import Err, Ok

from lupinreach.mesh.metrics import MetricsPlace, read_arguments, serve_metrics
from mesh.world import World


@pytest.mark.parametrize(
    "arguments", [["--metrics"], ["--metrics", "9464"], ["--metrics", "0/m"], ["--port", "1/m"]]
)
def test_faulty_arguments_are_named(arguments: list[str]) -> None:
    read = read_arguments(arguments)
    assert isinstance(read, Err) and "--metrics" in read.err_value


def test_place() -> None:
    assert read_arguments(["--metrics", "9464/metrics"]) == Ok(MetricsPlace(9464, "metrics"))
    assert read_arguments([]) == Ok(None)


def test_programs_tell_their_figures(tmp_path: Path) -> None:
    world = World(tmp_path)
    try:
        world.start_small()
        world.loop.run_until_complete(world.order("c1", "0000000a"))
        world.run_until(4.0)
        told = {}
        for port, (key, program) in enumerate(sorted(world.programs.items()), 9500):
            with world.loop.owned_by(world.owners[key]):
                serving = world.loop.create_task(
                    serve_metrics(key[0], MetricsPlace(port, "metrics"), program.metrics)
                )
            world.loop.run_until_complete(asyncio.wait([serving]))
            status, text = world.loop.run_until_complete(world.call(key[0], port, "GET", "/metrics"))
            told[key] = text.decode()
            assert status == 200
        assert "\nlupinreach_proxy_configuration_version 10\n" in told[("s1", "proxy")]
        assert "\nlupinreach_registry_proxies_behind 0\n" in told[("c1", "registry")]
        assert sum("\nlupinreach_store_serving 1\n" in text for text in told.values()) == 1
    finally:
        world.end()
