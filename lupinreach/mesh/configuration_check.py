"""Parsing and validation of operators' configurations.

Only the registry and the command line import this module, since its decoder library costs memory.
"""

from __future__ import annotations

from typing import Any

from mashumaro.codecs.basic import BasicDecoder
from mashumaro.exceptions import InvalidFieldValue, MissingField
from result import Err, Ok, Result

from lupinreach.mesh.configuration import Configuration, Route
from lupinreach.mesh.fields import parse_object

MAX_TIMEOUT_MS = 600_000
VERSION_DIGITS = 8

_DECODER = BasicDecoder(Configuration)


def decode_configuration(data: bytes) -> Result[Configuration, str]:
    """Parse a configuration that was validated when it was ordered; the error message names the invalid key."""
    raw = parse_object(data)
    if isinstance(raw, Err):
        return raw
    try:
        return Ok(_DECODER.decode(raw.ok_value))
    except (MissingField, InvalidFieldValue) as invalid:
        return Err(_field_path(invalid))


def parse_configuration(data: bytes) -> Result[Configuration, str]:
    """Parse and validate an operator's configuration; the error message names the invalid key."""
    decoded = decode_configuration(data)
    if isinstance(decoded, Err):
        return decoded
    problem = _find_problem(decoded.ok_value)
    return Err(problem) if problem else decoded


def _field_path(invalid: BaseException) -> str:
    """The error message with the path of the key, such as `virtual_hosts.path_rules.timeout_ms: ...`.

    The path is taken from the nested exceptions of the decoder library.
    """
    path = []
    cause: Any = invalid
    while isinstance(cause, (MissingField, InvalidFieldValue)):
        path.append(cause.field_name)
        if isinstance(cause, MissingField):
            return ".".join(path) + ": missing"
        innermost = cause
        cause = cause.__cause__ or cause.__context__
    value = repr(innermost.field_value)
    return f"{'.'.join(path)}: {value[:60]} does not fit"


def _find_problem(configuration: Configuration) -> str | None:
    version = configuration.version
    if len(version) != VERSION_DIGITS or not all(c in "0123456789abcdefABCDEF" for c in version):
        return f"version: {version!r} is not eight hexadecimal digits"
    names = [service.name for service in configuration.services]
    service_names = set(names)
    if "" in service_names:
        return "services.name: empty"
    if len(service_names) != len(names):
        return "services.name: used twice"
    for number, host in enumerate(configuration.virtual_hosts):
        if not host.hostname:
            return f"virtual_hosts[{number}].hostname: empty"
        for index, route in enumerate(host.path_rules):
            problem = _find_route_problem(route, service_names)
            if problem:
                return f"virtual_hosts[{number}].path_rules[{index}].{problem}"
    return None


def _find_route_problem(route: Route, services: set[str]) -> str | None:
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        return f"path_prefix: {route.path_prefix!r} does not begin and end with a slash"
    if not 0 < route.timeout_ms <= MAX_TIMEOUT_MS:
        return f"timeout_ms: {route.timeout_ms} is not above 0 and at most {MAX_TIMEOUT_MS}"
    if route.max_attempts < 1:
        return "max_attempts: below 1"
    if route.target_service is None and not route.traffic_split:
        return "target_service: missing"
    if route.target_service and route.target_service not in services:
        return f"target_service: unknown service {route.target_service!r}"
    for target in route.targets():
        if target.target_service not in services:
            return f"traffic_split.target_service: unknown service {target.target_service!r}"
        if target.weight < 0:
            return "traffic_split.weight: negative"
    if sum(target.weight for target in route.targets()) <= 0:
        return "traffic_split.weight: all are 0"
    return None
