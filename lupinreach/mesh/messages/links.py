"""Messages used on links of every kind."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, ClassVar

from lupinreach.mesh.messages.encoding import Message, register


@register
@dataclass(slots=True)
class Ping(Message):
    """Asks the peer for a `Pong`; sent on a link that has been silent."""

    NUMBER: ClassVar[int] = 1
    nonce: int = 0


@register
@dataclass(slots=True)
class Pong(Message):
    """Answer to `Ping` with the same nonce."""

    NUMBER: ClassVar[int] = 2
    nonce: int = 0


@register
@dataclass(slots=True)
class Describe(Message):
    """Asks a process for its state, on behalf of an operator; answered by `Description`."""

    NUMBER: ClassVar[int] = 3


@register
@dataclass(slots=True)
class Description(Message):
    """State of a process. The keys are meant for people and may change between versions."""

    NUMBER: ClassVar[int] = 4
    facts: dict[str, Any] = field(default_factory=dict)
