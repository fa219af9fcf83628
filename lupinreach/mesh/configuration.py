"""The operator's configuration: services, limits and routes.

Operators' JSON is parsed and validated by `configuration_check`. Between processes a validated configuration is sent
as nested lists of plain values (`to_list`, `from_list`).

Processes compare parts of a configuration in memory, and checksums of their encoding. So two equal values must be
encoded alike: the decoders in the metadata of the fields, and the defaults, give each number its one form.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import isfinite
from typing import Any

INTEGER_RANGE = range(-(2**63), 2**64)  # what the encoding between processes can carry


def read_number(value: Any) -> float:
    """A finite number, with one zero; raises ValueError, TypeError or OverflowError for anything else."""
    number = float(value)
    if not isfinite(number):
        raise ValueError(f"{value!r} is not finite")
    return number + 0.0  # turns -0.0 into 0.0, which is equal and encoded differently


def read_integer(value: Any) -> int:
    """An integer in `INTEGER_RANGE`; raises ValueError, TypeError or OverflowError for anything else."""
    integer = int(value)
    if integer not in INTEGER_RANGE:
        raise ValueError(f"{value!r} is out of range")
    return integer


def read_version(value: Any) -> str:
    """A version in lower case, as versions that differ in case are the same."""
    return str(value).lower()


# Metadata of fields for the decoder library of `configuration_check`.
_NUMBER = {"deserialize": read_number}
_INTEGER = {"deserialize": read_integer}
_VERSION = {"deserialize": read_version}


class RouteType(StrEnum):
    """Tells whether a request on a route may be retried: only `SAFE` ones may."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


@dataclass(slots=True)
class Service:
    """A service and the limits of its backends."""

    name: str
    health_check_path: str = "/health"
    max_connections: int = field(default=100, metadata=_INTEGER)
    cold_start_s: float = field(default=0.0, metadata=_NUMBER)
    cold_per_s: float = field(default=0.0, metadata=_NUMBER)  # requests per second if cold; 0: unlimited

    def to_list(self) -> list[Any]:
        """As a list of plain values."""
        return [self.name, self.health_check_path, self.max_connections, self.cold_start_s, self.cold_per_s]


@dataclass(slots=True)
class ConfigLimits:
    """Size limits and timeouts for clients."""

    max_header_bytes: int = field(default=16384, metadata=_INTEGER)
    max_body_bytes: int = field(default=67108864, metadata=_INTEGER)
    header_timeout_ms: float = field(default=3000.0, metadata=_NUMBER)
    idle_timeout_ms: float = field(default=15000.0, metadata=_NUMBER)

    def to_list(self) -> list[Any]:
        """As a list of plain values."""
        return [self.max_header_bytes, self.max_body_bytes, self.header_timeout_ms, self.idle_timeout_ms]


@dataclass(slots=True)
class SplitTarget:
    """A target service and its weight in the traffic split of a route."""

    target_service: str
    weight: float = field(metadata=_NUMBER)


@dataclass(slots=True)
class Route:
    """A route; `path_prefix` begins and ends with a slash."""

    path_prefix: str
    route_type: RouteType
    timeout_ms: float = field(metadata=_NUMBER)
    name: str = ""
    target_latency_ms: float = field(default=0.0, metadata=_NUMBER)  # 0: not given
    priority: int = field(default=0, metadata=_INTEGER)
    target_service: str | None = None
    traffic_split: list[SplitTarget] = field(default_factory=list)
    max_attempts: int = field(default=1, metadata=_INTEGER)
    allowed_regions: list[str] = field(default_factory=list)

    @property
    def repeatable(self) -> bool:
        """Whether requests on this route may be retried after they may have been executed."""
        return self.route_type is RouteType.SAFE

    def targets(self) -> list[SplitTarget]:
        """The services that receive requests of this route, with their weights."""
        if self.traffic_split:
            return self.traffic_split
        return [SplitTarget(self.target_service or "", 1.0)]

    def to_list(self) -> list[Any]:
        """As a list of plain values."""
        return [
            self.path_prefix,
            str(self.route_type),
            self.timeout_ms,
            self.name,
            self.target_latency_ms,
            self.priority,
            self.target_service,
            [[target.target_service, target.weight] for target in self.traffic_split],
            self.max_attempts,
            self.allowed_regions,
        ]

    @classmethod
    def from_list(cls, values: list[Any]) -> Route:
        """The inverse of `to_list`."""
        path_prefix, route_type, *rest = values[:10]
        route = cls(path_prefix, RouteType(route_type), *rest)
        route.traffic_split = [SplitTarget(service, weight) for service, weight in values[7]]
        return route

    def allows(self, service: str) -> bool:
        """Whether a request on this route may be sent to `service`."""
        return any(target.target_service == service and target.weight > 0 for target in self.targets())


@dataclass(slots=True)
class VirtualHost:
    """A host name and its routes."""

    hostname: str
    path_rules: list[Route] = field(default_factory=list)


@dataclass(slots=True)
class Configuration:
    """One version of the complete configuration."""

    version: str = field(metadata=_VERSION)
    services: list[Service]
    virtual_hosts: list[VirtualHost]
    limits: ConfigLimits = field(default_factory=ConfigLimits)

    def to_list(self) -> list[Any]:
        """As a list of plain values."""
        hosts = [
            [host.hostname, [route.to_list() for route in host.path_rules]] for host in self.virtual_hosts
        ]
        return [self.version, [service.to_list() for service in self.services], hosts, self.limits.to_list()]

    @classmethod
    def from_list(cls, values: list[Any]) -> Configuration:
        """The inverse of `to_list`."""
        version, services, hosts, limits = values[:4]
        return cls(
            version,
            [Service(*service[:5]) for service in services],
            [VirtualHost(name, [Route.from_list(route) for route in routes]) for name, routes in hosts],
            ConfigLimits(*limits[:4]),
        )


def version_number(version: str) -> int:
    """A version as a number, by which versions are ordered; raises ValueError if it is not hexadecimal."""
    return int(version, 16)


def is_newer(version: str, than: str) -> bool:
    """Whether `version` is higher than `than`; an empty version is lower than all others."""
    if not version:
        return False
    return not than or version_number(version) > version_number(than)
