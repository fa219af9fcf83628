"""Base class of the messages between the processes of the mesh, and their msgpack encoding.

On the wire a message is a msgpack array: its number, then its fields in order. A receiver ignores surplus
trailing fields and fills absent ones with defaults, so that two adjacent versions understand each other.
Numbers are never reused.
"""

from __future__ import annotations

from dataclasses import fields
from typing import Any, ClassVar

import msgpack


class UnknownMessage(Exception):
    """No message of this version has this number; the receiver skips the message."""


class Message:
    """Base class of all messages. Subclasses are dataclasses, each with a unique `NUMBER`."""

    NUMBER: ClassVar[int] = 0

    __slots__ = ()


_TYPES: dict[int, tuple[type[Any], int]] = {}
_FIELDS: dict[type[Any], tuple[str, ...]] = {}


def register(cls: type[Any]) -> type[Any]:
    """Class decorator that registers a message for `encode` and `decode`."""
    if cls.NUMBER in _TYPES:
        raise ValueError(f"message number {cls.NUMBER} is used twice")
    names = tuple(f.name for f in fields(cls))
    _TYPES[cls.NUMBER] = (cls, len(names))
    _FIELDS[cls] = names
    return cls


def encode(message: Message) -> bytes:
    """Encode a message, without framing, as msgpack values delimit themselves."""
    cls = type(message)
    values = [cls.NUMBER]
    values.extend([getattr(message, name) for name in _FIELDS[cls]])
    packed: bytes = msgpack.packb(values)
    return packed


def decode(values: Any) -> Any:
    """Build the message from an unpacked array; raises `UnknownMessage` for a number without a message."""
    if not isinstance(values, list):
        raise TypeError("a message is an array")
    found = _TYPES.get(values[0]) if values else None
    if found is None:
        raise UnknownMessage(values[0] if values else None)
    cls, count = found
    return cls(*values[1 : count + 1])
