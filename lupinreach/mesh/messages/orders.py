"""Messages between registries and stores."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from lupinreach.mesh.messages.encoding import Message, register


@register
@dataclass(slots=True)
class Subscribe(Message):
    """A registry's first message to a store; the primary pushes `News` to it from then on."""

    NUMBER: ClassVar[int] = 70
    config_version: str = ""
    acknowledges: bool = False  # it answers each `News` by `NewsAcknowledged`


@register
@dataclass(slots=True)
class Order(Message):
    """An operator's order for the primary."""

    NUMBER: ClassVar[int] = 71
    number: int = 0
    kind: int = 0  # an OrderKind
    version: str = ""
    payload: bytes = b""
    zone: str = ""


@register
@dataclass(slots=True)
class OrderResult(Message):
    NUMBER: ClassVar[int] = 72
    number: int = 0
    error: int = 0  # an ErrorKind, 0 where it was done
    payload: bytes = b""  # of a read: the configuration
    held: str = ""  # of a conflict: the version that is held with another content
