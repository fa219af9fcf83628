"""Messages between stores."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, ClassVar

from lupinreach.mesh.messages.encoding import Message, register


@register
@dataclass(slots=True)
class StoreHello(Message):
    """First message of a store on a link to another store."""

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
    view: list[Any] | None = None  # the decided view, if the receiver may lack it
    serving: bool = False  # the sender is the primary and acknowledges orders
    stamp: list[int] = field(default_factory=list)
    stores: list[list[Any]] = field(default_factory=list)  # [identity, address, zone, born_first]
    healthy: bool = True  # the sender's disk accepts writes
    leaving: bool = False  # the sender's process is shutting down
    in_majority: bool = True  # the sender and a majority of the voters reach each other
    records_departures: bool = False  # the sender executes `OrderKind.RECORD_DEPARTURES`


@register
@dataclass(slots=True)
class Prepare(Message):
    """First phase of the vote on a view: asks a voter to join no lower ballot."""

    NUMBER: ClassVar[int] = 52
    epoch: int = 0  # of the view to be decided
    ballot: list[Any] = field(default_factory=list)  # round, identity of the proposer
    base: list[Any] = field(default_factory=list)  # the decided view that it follows


@register
@dataclass(slots=True)
class Promise(Message):
    """Answer to `Prepare`: the voter joins no lower ballot; carries the view it accepted last, if any."""

    NUMBER: ClassVar[int] = 53
    epoch: int = 0
    ballot: list[Any] = field(default_factory=list)
    accepted_ballot: list[Any] | None = None
    accepted_view: list[Any] | None = None


@register
@dataclass(slots=True)
class Accept(Message):
    """Second phase of the vote on a view: asks a voter to accept it."""

    NUMBER: ClassVar[int] = 54
    epoch: int = 0
    ballot: list[Any] = field(default_factory=list)
    view: list[Any] = field(default_factory=list)


@register
@dataclass(slots=True)
class Accepted(Message):
    """Answer to `Accept`: the voter accepted the view."""

    NUMBER: ClassVar[int] = 55
    epoch: int = 0
    ballot: list[Any] = field(default_factory=list)


@register
@dataclass(slots=True)
class Outdated(Message):
    """Refusal of a vote, installation or write: a higher ballot was joined, or a view is decided."""

    NUMBER: ClassVar[int] = 56
    epoch: int = 0
    ballot: list[Any] = field(default_factory=list)
    view: list[Any] | None = None


@register
@dataclass(slots=True)
class Decided(Message):
    """A majority of the voters accepted this view."""

    NUMBER: ClassVar[int] = 57
    view: list[Any] = field(default_factory=list)


@register
@dataclass(slots=True)
class Install(Message):
    """The complete document, sent to a replica in a view that is yet to be decided."""

    NUMBER: ClassVar[int] = 58
    epoch: int = 0
    uid: str = ""  # of the proposed view
    document: list[Any] = field(default_factory=list)


@register
@dataclass(slots=True)
class Installed(Message):
    """Answer to `Install`: the document is on disk."""

    NUMBER: ClassVar[int] = 59
    epoch: int = 0
    uid: str = ""


@register
@dataclass(slots=True)
class Write(Message):
    """The primary's document, or its changes since sequence `previous`, sent to a backup in its view."""

    NUMBER: ClassVar[int] = 60
    epoch: int = 0
    uid: str = ""
    sequence: int = 0
    previous: int = -1  # -1 if the document is complete
    document: list[Any] = field(default_factory=list)
    round: int = 0  # number of the primary's write round, echoed by `Written`
    incarnation: int = 0  # of the primary, echoed too; writes of a lower incarnation are fenced off


@register
@dataclass(slots=True)
class Written(Message):
    """Answer to `Write`: the backup has it on disk, or needs the complete document."""

    NUMBER: ClassVar[int] = 61
    epoch: int = 0
    sequence: int = 0
    whole: bool = False  # the change does not follow the document held: send the complete one
    round: int = 0
    incarnation: int = 0
