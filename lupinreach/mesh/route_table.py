"""The configuration in force, indexed for requests, and how it goes from one version to a later one."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any
from zlib import crc32

import msgpack

from lupinreach.mesh.configuration import ConfigLimits, Configuration, Route, Service, VirtualHost

CHECKSUM_BITS = 0xFFFFFFFF

Routes = dict[str, dict[str, Route]]  # by host in lower case, by path prefix


class RouteTable:
    """One version. It never changes: `with_changes` makes another that shares what stayed the same."""

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
        """The route with the longest prefix of the target's path, or None."""
        prefixes = self.hosts.get(host.lower())
        if prefixes is None and ":" in host:
            prefixes = self.hosts.get(host.lower().rpartition(":")[0])
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while end > 0:
            slash = path.rfind("/", 0, end)
            if slash < 0:
                return None
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def configuration(self) -> Configuration:
        """All of it, as it travels; routes that another of the same host and prefix hid are left out."""
        hosts = [VirtualHost(host, list(routes.values())) for host, routes in self.hosts.items()]
        return Configuration(self.version, list(self.services.values()), hosts, self.limits)

    @property
    def checksum(self) -> int:
        """Over all routes, services and limits, whatever their order."""
        if self._checksum is None:
            total = settings_checksum(self.services.values(), self.limits)
            for host, routes in self.hosts.items():
                total += sum([route_checksum(host, route) for route in routes.values()])
            self._checksum = total & CHECKSUM_BITS
        return self._checksum

    def with_changes(
        self,
        version: str,
        changes: dict[str, dict[str, Route | None]],
        services: list[Service] | None,
        limits: ConfigLimits | None,
    ) -> RouteTable:
        """A later version: routes that are added, replaced or (None) removed; services and limits if changed."""
        table: RouteTable = object.__new__(RouteTable)
        table.version = version
        table.limits = limits if limits is not None else self.limits
        table.services = {s.name: s for s in services} if services is not None else self.services
        table.hosts = dict(self.hosts)
        total = self.checksum - settings_checksum(self.services.values(), self.limits)
        total += settings_checksum(table.services.values(), table.limits)
        for host, routes in changes.items():
            held = dict(table.hosts.get(host, {}))
            for prefix, route in routes.items():
                before = held.pop(prefix, None)
                if before is not None:
                    total -= route_checksum(host, before)
                if route is not None:
                    held[prefix] = route
                    total += route_checksum(host, route)
            if held:
                table.hosts[host] = held
            else:
                table.hosts.pop(host, None)
        table._checksum = total & CHECKSUM_BITS
        return table


def route_checksum(host: str, route: Route) -> int:
    """Of one route at its host."""
    return crc32(_packed([host, route.to_list()]))


def settings_checksum(services: Iterable[Service], limits: ConfigLimits) -> int:
    """Of what is not a route."""
    return crc32(_packed([[service.to_list() for service in services], limits.to_list()]))


def _packed(values: list[Any]) -> bytes:
    packed: bytes = msgpack.packb(values)
    return packed
