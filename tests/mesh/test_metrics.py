"""Figures of the three programs: what names the place, and that each program tells them as text."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from result import Err, Ok

from lupinreach.mesh.errors import NotTakenReason
from lupinreach.mesh.events import Event
from lupinreach.mesh.metrics import MetricsPlace, read_arguments, render, serve_metrics
from lupinreach.mesh.proxy.gate_counts import GateCounts
from lupinreach.mesh.proxy.request_kind import RequestKind
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
        world.loop.run_until_complete(world.replace_configuration("c1", "0000000a"))
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


class _Written:
    """Keeps the events that are logged."""

    def __init__(self) -> None:
        self.events: list[tuple[Event, dict[str, object]]] = []

    def write(self, event: Event, **facts: object) -> None:
        self.events.append((event, facts))


def test_a_kind_that_a_gate_hardly_takes_is_told() -> None:
    counts, log = GateCounts(), _Written()
    usual, starved = RequestKind(2, 400), RequestKind(0, 1000)
    for _ in range(60):
        counts.count_taken(usual)
        counts.count_refused(usual, NotTakenReason.FULL)
    for _ in range(6):
        counts.count_refused(starved, NotTakenReason.FULL)
    counts.check(log)  # type: ignore[arg-type]
    facts = {"kind": "p0-1000ms", "taken": 0, "asked": 6, "of_all": 0.48}
    assert log.events == [(Event.KIND_STARVED, facts)]
    counts.check(log)  # type: ignore[arg-type]
    assert len(log.events) == 1  # nothing came since
    text = render(counts.metrics()).decode()
    assert 'lupinreach_proxy_gate_refused_total{kind="p0-1000ms",reason="full"} 6\n' in text
    assert text.count("# HELP lupinreach_proxy_gate_taken_total") == 1
