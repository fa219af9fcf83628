"""The configuration in force, indexed for route lookup, with incremental changes to a later version."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any
from zlib import crc32

import msgpack

from lupinreach.mesh.configuration import ConfigLimits, Configuration, Route, Service, VirtualHost

CHECKSUM_MASK = 0xFFFFFFFF

Routes = dict[str, dict[str, Route]]  # by host in lower case, by path prefix


class RouteTable:
    """One immutable version of the configuration.

    `with_changes` builds a later version that shares the unchanged routes with this one.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.version
        self.limits = configuration.limits
        self.services = {service.name: service for service in configuration.services}
        self.hosts: Routes = {}
        self._checksum: int | None = None
        for host in configuration.virtual_hosts:
            routes = self.hosts.setdefault(host.hostname.lower(), {})
            for route in host.path_rules:
                routes.setdefault(route.path_prefix, route)

    def find(self, host: str, target: str) -> Route | None:
        """The route whose prefix is the longest match for the path of the target, or None."""
        prefixes = self.hosts.get(host.lower())
        if prefixes is None and ":" in host:
            prefixes = self.hosts.get(host.lower().rpartition(":")[0])
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while end > 0:
            last_slash = path.rfind("/", 0, end)
            if last_slash < 0:
                return None
            route = prefixes.get(path[: last_slash + 1])
            if route is not None:
                return route
            end = last_slash
        return None

    def configuration(self) -> Configuration:
        """As a configuration message; routes shadowed by an earlier one of the same host and prefix are left out."""
        hosts = [VirtualHost(host, list(routes.values())) for host, routes in self.hosts.items()]
        return Configuration(self.version, list(self.services.values()), hosts, self.limits)

    @property
    def checksum(self) -> int:
        """Checksum of all routes, services and limits, independent of the order of the routes."""
        if self._checksum is None:
            checksum_sum = services_and_limits_checksum(self.services.values(), self.limits)
            for host, routes in self.hosts.items():
                checksum_sum += sum([route_checksum(host, route) for route in routes.values()])
            self._checksum = checksum_sum & CHECKSUM_MASK
        return self._checksum

    def with_changes(
        self,
        version: str,
        changes: dict[str, dict[str, Route | None]],
        services: list[Service] | None,
        limits: ConfigLimits | None,
    ) -> RouteTable:
        """A later version with routes added, replaced or removed (None); services and limits are None if unchanged."""
        table: RouteTable = object.__new__(RouteTable)
        table.version = version
        table.limits = limits if limits is not None else self.limits
        table.services = {s.name: s for s in services} if services is not None else self.services
        table.hosts = dict(self.hosts)
        checksum_sum = self.checksum - services_and_limits_checksum(self.services.values(), self.limits)
        checksum_sum += services_and_limits_checksum(table.services.values(), table.limits)
        for host, routes in changes.items():
            host_routes = dict(table.hosts.get(host, {}))
            for prefix, route in routes.items():
                replaced = host_routes.pop(prefix, None)
                if replaced is not None:
                    checksum_sum -= route_checksum(host, replaced)
                if route is not None:
                    host_routes[prefix] = route
                    checksum_sum += route_checksum(host, route)
            if host_routes:
                table.hosts[host] = host_routes
            else:
                table.hosts.pop(host, None)
        table._checksum = checksum_sum & CHECKSUM_MASK
        return table


def route_checksum(host: str, route: Route) -> int:
    """Checksum of one route under its host."""
    return crc32(_pack([host, route.to_list()]))


def services_and_limits_checksum(services: Iterable[Service], limits: ConfigLimits) -> int:
    """Checksum of everything except the routes."""
    return crc32(_pack([[service.to_list() for service in services], limits.to_list()]))


def _pack(values: list[Any]) -> bytes:
    packed: bytes = msgpack.packb(values)
    return packed
