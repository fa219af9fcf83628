"""Messages between registries and stores."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from lupinreach.mesh.messages.encoding import Message, register

NOT_FENCED = -1  # `Order.known_sequence` of a registry that does not send one


@register
@dataclass(slots=True)
class Subscribe(Message):
    """A registry's first message to a store; from then on the primary pushes `StateUpdate` messages to it."""

    NUMBER: ClassVar[int] = 70
    config_version: str = ""
    acknowledges: bool = False  # the registry answers each `StateUpdate` by `StateUpdateAcknowledged`


@register
@dataclass(slots=True)
class Order(Message):
    """An operator's order to the primary store."""

    NUMBER: ClassVar[int] = 71
    number: int = 0
    kind: int = 0  # an OrderKind
    version: str = ""
    payload: bytes = b""
    zone: str = ""
    # For an evacuation: sequence of the newest document that the registry knew when its caller still waited. The
    # order is not executed once an evacuation was ordered in a later one.
    known_sequence: int = NOT_FENCED


@register
@dataclass(slots=True)
class OrderResult(Message):
    """Result of the order with the same number."""

    NUMBER: ClassVar[int] = 72
    number: int = 0
    error: int = 0  # an ErrorKind; 0 if the order succeeded
    payload: bytes = b""  # the configuration, for a read
    held: str = ""  # for a conflict, the stored version, which has another content
    sequence: int = 0  # for a superseded order, that of the newest document
