"""The operator's configuration: services, limits and routes, read, checked and matched."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import orjson
from mashumaro import DataClassDictMixin
from mashumaro.exceptions import InvalidFieldValue, MissingField
from result import Err, Ok, Result

MOST_TIMEOUT_MS = 600_000
VERSION_DIGITS = 8


class RouteType(StrEnum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


@dataclass(slots=True)
class Service(DataClassDictMixin):
    name: str
    health_check_path: str = "/health"
    max_connections: int = 100
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0  # 0: no bound


@dataclass(slots=True)
class ConfigLimits(DataClassDictMixin):
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


@dataclass(slots=True)
class SplitTarget(DataClassDictMixin):
    target_service: str
    weight: float


@dataclass(slots=True)
class Route(DataClassDictMixin):
    """One route; `path_prefix` begins and ends with a slash."""

    path_prefix: str
    route_type: RouteType
    timeout_ms: float
    name: str = ""
    target_latency_ms: float = 0.0  # 0: not given
    priority: int = 0
    target_service: str | None = None
    traffic_split: list[SplitTarget] = field(default_factory=list)
    max_attempts: int = 1
    allowed_regions: list[str] = field(default_factory=list)

    @property
    def repeatable(self) -> bool:
        return self.route_type is RouteType.SAFE

    def targets(self) -> list[SplitTarget]:
        """The services that requests go to, with their weights."""
        if self.traffic_split:
            return self.traffic_split
        return [SplitTarget(self.target_service or "", 1.0)]

    def allows(self, service: str) -> bool:
        """If a request on this route may go to that service."""
        return any(target.target_service == service and target.weight > 0 for target in self.targets())


@dataclass(slots=True)
class VirtualHost(DataClassDictMixin):
    hostname: str
    path_rules: list[Route] = field(default_factory=list)


@dataclass(slots=True)
class Configuration(DataClassDictMixin):
    """One version of the whole configuration."""

    version: str
    services: list[Service]
    virtual_hosts: list[VirtualHost]
    limits: ConfigLimits = field(default_factory=ConfigLimits)


class RouteTable:
    """The configuration in force, indexed for requests."""

    def __init__(self, configuration: Configuration) -> None:
        self.version = configuration.version
        self.limits = configuration.limits
        self.services = {service.name: service for service in configuration.services}
        self._by_host: dict[str, list[Route]] = {}
        for host in configuration.virtual_hosts:
            routes = self._by_host.setdefault(host.hostname.lower(), [])
            routes.extend(host.path_rules)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._by_prefix = {
            host: {route.path_prefix: route for route in reversed(routes)} for host, routes in self._by_host.items()
        }

    def find(self, host: str, target: str) -> Route | None:
        """The route with the longest prefix of the target's path, or None."""
        prefixes = self._by_prefix.get(host.lower())
        if prefixes is None and ":" in host:
            prefixes = self._by_prefix.get(host.lower().rpartition(":")[0])
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


def version_number(version: str) -> int:
    """The order of versions; ValueError where it is not hexadecimal."""
    return int(version, 16)


def is_newer(version: str, than: str) -> bool:
    """If one version is above another; an empty one is below all."""
    if not version:
        return False
    return not than or version_number(version) > version_number(than)


def parse_configuration(data: bytes) -> Result[Configuration, str]:
    """A configuration as sent by an operator, checked, or a complaint that names the key."""
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as failed:
        return Err(f"not JSON: {failed}")
    if not isinstance(raw, dict):
        return Err("not a JSON object")
    try:
        configuration = Configuration.from_dict(raw)
    except (MissingField, InvalidFieldValue) as wrong:
        return Err(_field_path(wrong))
    problem = _problem(configuration)
    return Err(problem) if problem else Ok(configuration)


def _field_path(wrong: BaseException) -> str:
    """`virtual_hosts.path_rules.timeout_ms: ...` from the library's nested exceptions."""
    path = []
    cause: Any = wrong
    while isinstance(cause, (MissingField, InvalidFieldValue)):
        path.append(cause.field_name)
        if isinstance(cause, MissingField):
            return ".".join(path) + ": missing"
        last = cause
        cause = cause.__cause__ or cause.__context__
    value = repr(last.field_value)
    return f"{'.'.join(path)}: {value[:60]} does not fit"


def _problem(configuration: Configuration) -> str | None:
    version = configuration.version
    if len(version) != VERSION_DIGITS or not all(c in "0123456789abcdefABCDEF" for c in version):
        return f"version: {version!r} is not eight hexadecimal digits"
    names = [service.name for service in configuration.services]
    known = set(names)
    if "" in known:
        return "services.name: empty"
    if len(known) != len(names):
        return "services.name: used twice"
    for number, host in enumerate(configuration.virtual_hosts):
        if not host.hostname:
            return f"virtual_hosts[{number}].hostname: empty"
        for index, route in enumerate(host.path_rules):
            problem = _route_problem(route, known)
            if problem:
                return f"virtual_hosts[{number}].path_rules[{index}].{problem}"
    return None


def _route_problem(route: Route, services: set[str]) -> str | None:
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        return f"path_prefix: {route.path_prefix!r} does not begin and end with a slash"
    if not 0 < route.timeout_ms <= MOST_TIMEOUT_MS:
        return f"timeout_ms: {route.timeout_ms} is not above 0 and at most {MOST_TIMEOUT_MS}"
    if route.max_attempts < 1:
        return "max_attempts: below 1"
    if route.target_service is None and not route.traffic_split:
        return "target_service: missing"
    for target in route.targets():
        if target.target_service not in services:
            return f"target_service: unknown service {target.target_service!r}"
        if target.weight < 0:
            return "traffic_split.weight: negative"
    if sum(target.weight for target in route.targets()) <= 0:
        return "traffic_split.weight: all are 0"
    return None
