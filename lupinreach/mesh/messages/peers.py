"""Messages between proxies."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, ClassVar

from lupinreach.mesh.messages.encoding import Message, register


@register
@dataclass(slots=True)
class PeerHello(Message):
    """First message of the proxy that opened the link."""

    NUMBER: ClassVar[int] = 10
    address: str = ""  # of the sender's inbound listener
    config_version: str = ""
    sent_at: float = 0.0  # the sender's monotonic clock, seconds


@register
@dataclass(slots=True)
class BackendStatus(Message):
    """State of a backend as reported by the gate beside it; sent on connect and after each change."""

    NUMBER: ClassVar[int] = 11
    service: str = ""
    instance_id: str = ""  # empty if no backend is known
    available: bool = False  # accepts requests: ready, not evacuated, gate not stopping
    capacity: int = 1
    cold_ms: int = 0
    running: int = 0
    waiting: int = 0
    config_version: str = ""
    takes_offers: bool = False  # accepts requests whose body is sent only once `BodyCredit` asks for it


@register
@dataclass(slots=True)
class Request(Message):
    """One request, sent to the gate beside the backend that is to run it."""

    NUMBER: ClassVar[int] = 12
    number: int = 0  # unique: made of the sender's incarnation and a counter
    service: str = ""
    instance_id: str = ""
    config_version: str = ""
    remaining_ms: int = 0  # until the client's deadline or the route's timeout
    repeatable: bool = False
    again: bool = False  # an earlier attempt of this request was sent to a backend
    wait_ms: int = 0  # longest wait in the gate's queue
    rank: int = 0  # time until the request is due, ms; orders the gate's queue, lowest first
    method: bytes = b""
    target: bytes = b""
    host: bytes = b""
    headers: bytes = b""  # complete header lines
    body: bytes | bytearray = b""
    sent_at: float = 0.0  # the sender's monotonic clock, seconds
    body_size: int = 0  # size of a body that is sent once `BodyCredit` asks for it; 0 if `body` is complete
    priority: int = 0  # of the route, 0 is highest
    aim_ms: int = 0  # target latency of the route; 0 if not given
    is_call: bool = False  # made by a request that runs at the backend beside the sender


@register
@dataclass(slots=True)
class Answer(Message):
    """A backend's complete response."""

    NUMBER: ClassVar[int] = 13
    number: int = 0
    status: int = 0
    headers: bytes = b""
    body: bytes = b""
    running: int = 0
    waiting: int = 0
    served_ms: float = 0.0  # from the write to the backend until its response was complete


@register
@dataclass(slots=True)
class RequestRejected(Message):
    """The gate rejected the request, or the backend declined it: it has not run and will not."""

    NUMBER: ClassVar[int] = 14
    number: int = 0
    reason: int = 0  # a NotTakenReason
    retry_ms: int = 0  # after which there may be free capacity
    running: int = 0
    waiting: int = 0


@register
@dataclass(slots=True)
class Failed(Message):
    """The backend gave no usable response; `ran` tells whether it may have run the request."""

    NUMBER: ClassVar[int] = 15
    number: int = 0
    failure: int = 0  # an AttemptFailure
    ran: bool = True
    running: int = 0
    waiting: int = 0


@register
@dataclass(slots=True)
class Cancel(Message):
    """The client disconnected: the gate drops the request and closes its backend connection."""

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
    """Answer to `Shuffle` with a sample of the answering proxy's view."""

    NUMBER: ClassVar[int] = 18
    entries: list[list[Any]] = field(default_factory=list)
    config_version: str = ""
    evacuation_stamp: list[int] = field(default_factory=list)


@register
@dataclass(slots=True)
class StateUpdatePull(Message):
    """Asks a neighbour with a newer configuration for a `StateUpdate`, or a registry for a complete one."""

    NUMBER: ClassVar[int] = 19


@register
@dataclass(slots=True)
class BodyCredit(Message):
    """Flow control of an offered body: its sender may send the bytes up to an offset."""

    NUMBER: ClassVar[int] = 20
    number: int = 0
    up_to: int = 0


@register
@dataclass(slots=True)
class BodyPart(Message):
    """The next bytes of an offered body."""

    NUMBER: ClassVar[int] = 21
    number: int = 0
    part: bytes | memoryview = b""
