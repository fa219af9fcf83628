"""What a change of the configuration costs as a difference and as a whole, by the number of routes.

One process, no network: the registry's part (take a version, make the update), the proxy's part (apply it), and the
same with the whole configuration. Medians of a few runs, in milliseconds of this machine.

    python benchmarks/configuration_updates.py 320 1000 3300
"""

from __future__ import annotations

import statistics
import sys
import time
from collections.abc import Callable
from typing import Any

from lupinreach.mesh.configuration import Configuration, Route, RouteType, Service, VirtualHost
from lupinreach.mesh.configuration_update import (
    ConfigurationHistory,
    ConfigurationUpdate,
    pack_configuration,
    unpack_configuration,
)

RUNS = 9
ROUTES_A_HOST = 5
SERVICES = 43


def configuration(routes: int, version: int) -> Configuration:
    """A drawn one; one route's time-out differs by version."""
    hosts = []
    for number in range(routes // ROUTES_A_HOST):
        rules = [
            Route(
                f"/path{number}{index}/",
                RouteType.SAFE,
                2000.0 + (version if number == index == 0 else 0),
                f"route-{number}-{index}",
                400.0,
                2,
                f"service-{number % SERVICES}",
                [],
                2,
                [],
            )
            for index in range(ROUTES_A_HOST)
        ]
        hosts.append(VirtualHost(f"host{number}.example", rules))
    services = [Service(f"service-{number}") for number in range(SERVICES)]
    return Configuration(f"{version:08x}", services, hosts)


def timed(work: Callable[[], Any]) -> tuple[float, Any]:
    """Milliseconds, and what the work gives."""
    began = time.perf_counter()
    given = work()
    return 1000 * (time.perf_counter() - began), given


def measure(routes: int) -> dict[str, float]:
    """The costs for so many routes."""
    history = ConfigurationHistory()
    history.advance(configuration(routes, 1))
    assert history.table is not None
    held = unpack_configuration(pack_configuration(history.table))
    held.checksum  # noqa: B018  # a proxy computes it once, with its first update
    costs: dict[str, list[float]] = {}
    for version in range(2, RUNS + 2):
        newer = configuration(routes, version)
        base = history.version
        take_ms, _ = timed(lambda newer=newer: history.advance(newer))
        update_ms, (_, packed) = timed(lambda base=base: history.packed_from(base))
        apply_ms, (_, held) = timed(
            lambda packed=packed, held=held: ConfigurationUpdate.unpack(packed).apply(held)
        )
        pack_ms, whole = timed(lambda: pack_configuration(history.table))
        unpack_ms, _ = timed(lambda whole=whole: unpack_configuration(whole))
        for name, cost in (
            ("take ms", take_ms),
            ("update ms", update_ms),
            ("update bytes", len(packed)),
            ("apply ms", apply_ms),
            ("pack whole ms", pack_ms),
            ("whole bytes", len(whole)),
            ("unpack whole ms", unpack_ms),
        ):
            costs.setdefault(name, []).append(cost)
    return {name: statistics.median(found) for name, found in costs.items()}


if __name__ == "__main__":
    for count in [int(word) for word in sys.argv[1:]] or [320, 1000, 3300]:
        print(count, ", ".join(f"{name} {cost:.2f}" for name, cost in measure(count).items()))
