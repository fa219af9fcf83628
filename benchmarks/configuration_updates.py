"""Cost of a configuration change, sent as an update or as the whole configuration, by the number of routes.

One process without a network does the work of the registry (accept a version, build the update) and of the
proxy (apply it), then packs and unpacks the whole configuration. Prints medians of `RUNS` runs in
milliseconds.

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
ROUTES_PER_HOST = 5
SERVICE_COUNT = 43


def configuration(routes: int, version: int) -> Configuration:
    """A generated configuration; the timeout of its first route depends on the version."""
    hosts = []
    for host_index in range(routes // ROUTES_PER_HOST):
        rules = [
            Route(
                f"/path{host_index}{route_index}/",
                RouteType.SAFE,
                2000.0 + (version if host_index == route_index == 0 else 0),
                f"route-{host_index}-{route_index}",
                400.0,
                2,
                f"service-{host_index % SERVICE_COUNT}",
                [],
                2,
                [],
            )
            for route_index in range(ROUTES_PER_HOST)
        ]
        hosts.append(VirtualHost(f"host{host_index}.example", rules))
    services = [Service(f"service-{service_index}") for service_index in range(SERVICE_COUNT)]
    return Configuration(f"{version:08x}", services, hosts)


def timed(work: Callable[[], Any]) -> tuple[float, Any]:
    """The duration of the work in milliseconds, and its result."""
    began = time.perf_counter()
    result = work()
    return 1000 * (time.perf_counter() - began), result


def measure(routes: int) -> dict[str, float]:
    """The median costs for a number of routes."""
    history = ConfigurationHistory()
    history.advance(configuration(routes, 1))
    assert history.table is not None
    current = unpack_configuration(pack_configuration(history.table))
    current.checksum  # noqa: B018  # a proxy computes it once, with its first update
    costs: dict[str, list[float]] = {}
    for version in range(2, RUNS + 2):
        newer = configuration(routes, version)
        base = history.version
        take_ms, _ = timed(lambda newer=newer: history.advance(newer))
        update_ms, (_, packed) = timed(lambda base=base: history.packed_from(base))
        apply_ms, (_, current) = timed(
            lambda packed=packed, current=current: ConfigurationUpdate.unpack(packed).apply(current)
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
    return {name: statistics.median(measured) for name, measured in costs.items()}


if __name__ == "__main__":
    for count in [int(argument) for argument in sys.argv[1:]] or [320, 1000, 3300]:
        print(count, ", ".join(f"{name} {cost:.2f}" for name, cost in measure(count).items()))
