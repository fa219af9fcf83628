"""Messages between proxies."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, ClassVar

from lupinreach.mesh.messages.encoding import Message, register


@register
@dataclass(slots=True)
class PeerHello(Message):
    """First message of the dialling proxy."""

    NUMBER: ClassVar[int] = 10
    address: str = ""  # of its own inbound listener
    config_version: str = ""
    sent_at: float = 0.0  # by the sender's steady clock, seconds


@register
@dataclass(slots=True)
class BackendStatus(Message):
    """What the gate beside a backend says of it; sent at once and at each change."""

    NUMBER: ClassVar[int] = 11
    service: str = ""
    instance_id: str = ""  # empty: no backend is known
    available: bool = False  # takes requests: ready, not evacuated, gate not stopping
    capacity: int = 1
    cold_ms: int = 0
    running: int = 0
    waiting: int = 0
    config_version: str = ""
    takes_offers: bool = False  # of bodies that are sent when asked for


@register
@dataclass(slots=True)
class Request(Message):
    """One request handed to the gate beside the backend that is to run it."""

    NUMBER: ClassVar[int] = 12
    number: int = 0  # unique: the sender's incarnation and a count
    service: str = ""
    instance_id: str = ""
    config_version: str = ""
    remaining_ms: int = 0  # until client's deadline or route's timeout
    repeatable: bool = False
    again: bool = False  # not the first time that this request is sent to a backend
    wait_ms: int = 0  # longest time in the gate's queue
    rank: int = 0  # order in the queue, lowest first
    method: bytes = b""
    target: bytes = b""
    host: bytes = b""
    headers: bytes = b""  # whole header lines
    body: bytes = b""
    sent_at: float = 0.0  # by the sender's steady clock, seconds
    body_size: int = 0  # of a body that is sent once `BodyCredit` asks for it; 0: `body` is all
    priority: int = 0  # of its route, 0 is highest
    aim_ms: int = 0  # of its route; 0: not told
    is_call: bool = False  # made by a run at the backend beside the sender


@register
@dataclass(slots=True)
class Answer(Message):
    """A backend's whole answer."""

    NUMBER: ClassVar[int] = 13
    number: int = 0
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    running: int = 0
    waiting: int = 0
    served_ms: float = 0.0  # from the write to the backend until its answer was whole


@register
@dataclass(slots=True)
class RequestRejected(Message):
    """The gate did not pass the request on: it has not run and will not."""

    NUMBER: ClassVar[int] = 14
    number: int = 0
    reason: int = 0  # a NotTakenReason
    retry_ms: int = 0  # when there may be room
    running: int = 0
    waiting: int = 0


@register
@dataclass(slots=True)
class Failed(Message):
    """The backend gave no usable answer; `ran` says if it may have run the request."""

    NUMBER: ClassVar[int] = 15
    number: int = 0
    failure: int = 0  # an AttemptFailure
    ran: bool = True
    running: int = 0
    waiting: int = 0


@register
@dataclass(slots=True)
class Cancel(Message):
    """The client has gone; the gate drops the request and ends its backend connection."""

    NUMBER: ClassVar[int] = 16
    number: int = 0


@register
@dataclass(slots=True)
class Shuffle(Message):
    """A sample of the sender's partial view, with its configuration version; answered by `Shuffled`."""

    NUMBER: ClassVar[int] = 17
    entries: list[list[Any]] = field(default_factory=list)  # [address, age in rounds]
    config_version: str = ""
    evacuation_stamp: list[int] = field(default_factory=list)


@register
@dataclass(slots=True)
class Shuffled(Message):
    NUMBER: ClassVar[int] = 18
    entries: list[list[Any]] = field(default_factory=list)
    config_version: str = ""
    evacuation_stamp: list[int] = field(default_factory=list)


@register
@dataclass(slots=True)
class StateUpdatePull(Message):
    """Asks a neighbour for its configuration news, whose version is above one's own, or a registry for the whole."""

    NUMBER: ClassVar[int] = 19


@register
@dataclass(slots=True)
class BodyCredit(Message):
    """The sender of an offered body may send its bytes up to an offset."""

    NUMBER: ClassVar[int] = 20
    number: int = 0
    up_to: int = 0


@register
@dataclass(slots=True)
class BodyPart(Message):
    """The next bytes of an offered body."""

    NUMBER: ClassVar[int] = 21
    number: int = 0
    part: bytes = b""
