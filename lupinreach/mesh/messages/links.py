"""Messages of any link."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, ClassVar

from lupinreach.mesh.messages.encoding import Message, register


@register
@dataclass(slots=True)
class Ping(Message):
    """Asks the other side for a `Pong`; sent when a link has been silent."""

    NUMBER: ClassVar[int] = 1
    nonce: int = 0


@register
@dataclass(slots=True)
class Pong(Message):
    NUMBER: ClassVar[int] = 2
    nonce: int = 0


@register
@dataclass(slots=True)
class Describe(Message):
    """Asks a process what it holds, for operators."""

    NUMBER: ClassVar[int] = 3


@register
@dataclass(slots=True)
class Description(Message):
    """What the process holds; the names of the facts are for people and may change."""

    NUMBER: ClassVar[int] = 4
    facts: dict[str, Any] = field(default_factory=dict)
