"""Typed reading of small JSON objects: settings, and requests from backends.

Operators' configurations are read by `configuration_check`, whose decoder library costs a process 4 MB of memory.
This reader needs no library, so proxies and stores use it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import orjson
from result import Err, Ok, Result

ParsedT = TypeVar("ParsedT")

_NO_DEFAULT: Any = object()


class FieldError(Exception):
    """A field is missing or has the wrong type; the message names the path of the key."""


class Fields:
    """One JSON object, read field by field; unread fields are ignored."""

    def __init__(self, values: dict[str, Any], path: str = "") -> None:
        self._values = values
        self._path = path

    def _get(self, name: str, types: type | tuple[type, ...], default: Any) -> Any:
        value = self._values.get(name, _NO_DEFAULT)
        if value is _NO_DEFAULT or (value is None and default is not _NO_DEFAULT):
            if default is _NO_DEFAULT:
                raise FieldError(f"{self._path}{name}: missing")
            return default
        unexpected_bool = isinstance(value, bool) and types is not bool
        if unexpected_bool or not isinstance(value, types):
            raise FieldError(f"{self._path}{name}: {str(value)[:60]!r} does not fit")
        return value

    def text(self, name: str, default: Any = _NO_DEFAULT) -> Any:
        """A string field."""
        return self._get(name, str, default)

    def integer(self, name: str, default: Any = _NO_DEFAULT) -> Any:
        """An integer field."""
        return self._get(name, int, default)

    def number(self, name: str, default: Any = _NO_DEFAULT) -> Any:
        """An integer or floating point field."""
        return self._get(name, (int, float), default)

    def flag(self, name: str, default: Any = _NO_DEFAULT) -> Any:
        """A boolean field."""
        return self._get(name, bool, default)

    def object(self, name: str) -> Fields:
        """A nested object; empty if the field is absent."""
        return Fields(self._get(name, dict, {}), f"{self._path}{name}.")

    def texts(self, name: str) -> list[str]:
        """A required list of strings."""
        return self._list(name, str)

    def integers(self, name: str) -> list[int]:
        """A required list of integers."""
        return self._list(name, int)

    def _list(self, name: str, item_type: type) -> list[Any]:
        values: list[Any] = self._get(name, list, _NO_DEFAULT)
        for index, value in enumerate(values):
            if not isinstance(value, item_type):
                raise FieldError(f"{self._path}{name}[{index}]: {str(value)[:60]!r} does not fit")
        return values

    def text_map(self, name: str) -> dict[str, str]:
        """A required object whose values are strings."""
        values: dict[str, str] = self._get(name, dict, _NO_DEFAULT)
        for key, value in values.items():
            if not isinstance(value, str):
                raise FieldError(f"{self._path}{name}.{key}: {str(value)[:60]!r} does not fit")
        return values


def parse_object(data: bytes) -> Result[dict[str, Any], str]:
    """Parse a JSON object, or return an error message."""
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as failed:
        return Err(f"not JSON: {failed}")
    return Ok(raw) if isinstance(raw, dict) else Err("not a JSON object")


def read_object(data: bytes, build: Callable[[Fields], ParsedT]) -> Result[ParsedT, str]:
    """Parse a JSON object and convert it with `build`; the error message names the invalid key."""
    parsed = parse_object(data)
    if isinstance(parsed, Err):
        return parsed
    try:
        return Ok(build(Fields(parsed.ok_value)))
    except FieldError as invalid:
        return Err(str(invalid))
