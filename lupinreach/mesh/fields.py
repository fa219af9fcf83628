"""Checked reading of small JSON objects: settings and the calls of backends.

The operator's configurations are read by `configuration_check`, which needs a library that costs a process
4 MB; this reader needs none, and is what proxies and stores load.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import orjson
from result import Err, Ok, Result

Built = TypeVar("Built")

_REQUIRED: Any = object()


class FieldError(Exception):
    """A field is missing or does not fit; its text names the key by its path."""


class Fields:
    """One JSON object, read field by field. Fields that nobody asks for are skipped."""

    def __init__(self, values: dict[str, Any], path: str = "") -> None:
        self._values = values
        self._path = path

    def _get(self, name: str, kinds: type | tuple[type, ...], default: Any) -> Any:
        value = self._values.get(name, _REQUIRED)
        if value is _REQUIRED or (value is None and default is not _REQUIRED):
            if default is _REQUIRED:
                raise FieldError(f"{self._path}{name}: missing")
            return default
        wrong_bool = isinstance(value, bool) and kinds is not bool
        if wrong_bool or not isinstance(value, kinds):
            raise FieldError(f"{self._path}{name}: {str(value)[:60]!r} does not fit")
        return value

    def text(self, name: str, default: Any = _REQUIRED) -> Any:
        """A string."""
        return self._get(name, str, default)

    def integer(self, name: str, default: Any = _REQUIRED) -> Any:
        """A whole number."""
        return self._get(name, int, default)

    def number(self, name: str, default: Any = _REQUIRED) -> Any:
        """A number of either kind."""
        return self._get(name, (int, float), default)

    def flag(self, name: str, default: Any = _REQUIRED) -> Any:
        """True or false."""
        return self._get(name, bool, default)

    def object(self, name: str) -> Fields:
        """An object inside; empty where it is absent."""
        return Fields(self._get(name, dict, {}), f"{self._path}{name}.")

    def texts(self, name: str) -> list[str]:
        """A list of strings."""
        return self._list(name, str)

    def integers(self, name: str) -> list[int]:
        """A list of whole numbers."""
        return self._list(name, int)

    def _list(self, name: str, kind: type) -> list[Any]:
        values: list[Any] = self._get(name, list, _REQUIRED)
        for index, value in enumerate(values):
            if not isinstance(value, kind):
                raise FieldError(f"{self._path}{name}[{index}]: {str(value)[:60]!r} does not fit")
        return values

    def text_map(self, name: str) -> dict[str, str]:
        """An object whose values are strings."""
        values: dict[str, str] = self._get(name, dict, _REQUIRED)
        for key, value in values.items():
            if not isinstance(value, str):
                raise FieldError(f"{self._path}{name}.{key}: {str(value)[:60]!r} does not fit")
        return values


def parse_object(data: bytes) -> Result[dict[str, Any], str]:
    """The JSON object in a text, or a complaint."""
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as failed:
        return Err(f"not JSON: {failed}")
    return Ok(raw) if isinstance(raw, dict) else Err("not a JSON object")


def read_object(data: bytes, build: Callable[[Fields], Built]) -> Result[Built, str]:
    """What `build` makes of a JSON object, or a complaint that names the key."""
    parsed = parse_object(data)
    if isinstance(parsed, Err):
        return parsed
    try:
        return Ok(build(Fields(parsed.ok_value)))
    except FieldError as wrong:
        return Err(str(wrong))
