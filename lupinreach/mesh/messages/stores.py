"""Messages between stores."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, ClassVar

from lupinreach.mesh.messages.encoding import Message, register


@register
@dataclass(slots=True)
class StoreHello(Message):
    NUMBER: ClassVar[int] = 50
    identity: str = ""
    address: str = ""
    zone: str = ""
    born_first: bool = False  # its disk was first used at the first start of the system


@register
@dataclass(slots=True)
class StoreStatus(Message):
    """Heartbeat between stores, and to registries."""

    NUMBER: ClassVar[int] = 51
    identity: str = ""
    epoch: int = 0
    view: list[Any] | None = None  # the decided view, where the receiver may lack it
    serving: bool = False  # is the primary and acknowledges orders
    stamp: list[int] = field(default_factory=list)
    stores: list[list[Any]] = field(default_factory=list)  # [identity, address, zone, born_first]
    healthy: bool = True  # its disk takes writes
    leaving: bool = False  # its process was told to end


@register
@dataclass(slots=True)
class Prepare(Message):
    NUMBER: ClassVar[int] = 52
    epoch: int = 0  # of the view to be decided
    ballot: list[Any] = field(default_factory=list)  # round, identity
    base: list[Any] = field(default_factory=list)  # the decided view before it


@register
@dataclass(slots=True)
class Promise(Message):
    NUMBER: ClassVar[int] = 53
    epoch: int = 0
    ballot: list[Any] = field(default_factory=list)
    accepted_ballot: list[Any] | None = None
    accepted_view: list[Any] | None = None


@register
@dataclass(slots=True)
class Accept(Message):
    NUMBER: ClassVar[int] = 54
    epoch: int = 0
    ballot: list[Any] = field(default_factory=list)
    view: list[Any] = field(default_factory=list)


@register
@dataclass(slots=True)
class Accepted(Message):
    NUMBER: ClassVar[int] = 55
    epoch: int = 0
    ballot: list[Any] = field(default_factory=list)


@register
@dataclass(slots=True)
class Outdated(Message):
    """Answer to `Prepare` or `Accept` that comes too late: a higher ballot, or a view already decided."""

    NUMBER: ClassVar[int] = 56
    epoch: int = 0
    ballot: list[Any] = field(default_factory=list)
    view: list[Any] | None = None


@register
@dataclass(slots=True)
class Decided(Message):
    NUMBER: ClassVar[int] = 57
    view: list[Any] = field(default_factory=list)


@register
@dataclass(slots=True)
class Install(Message):
    """The whole document for a copy of a view that is yet to be decided."""

    NUMBER: ClassVar[int] = 58
    epoch: int = 0
    uid: str = ""  # of the proposed view
    document: list[Any] = field(default_factory=list)


@register
@dataclass(slots=True)
class Installed(Message):
    NUMBER: ClassVar[int] = 59
    epoch: int = 0
    uid: str = ""


@register
@dataclass(slots=True)
class Write(Message):
    """The primary's document, or what of it changed after `previous`, to a backup of its view."""

    NUMBER: ClassVar[int] = 60
    epoch: int = 0
    uid: str = ""
    sequence: int = 0
    previous: int = -1  # -1: whole
    document: list[Any] = field(default_factory=list)
    round: int = 0  # number of the primary's write, echoed by `Written`
    incarnation: int = 0  # of the primary, echoed too; a lower one is fenced off


@register
@dataclass(slots=True)
class Written(Message):
    NUMBER: ClassVar[int] = 61
    epoch: int = 0
    sequence: int = 0
    whole: bool = False  # the change did not follow what is held: send the whole document
    round: int = 0
    incarnation: int = 0
