"""Typed messages between the processes of the mesh, and their msgpack encoding.

On the wire a message is a msgpack array: its number, then its fields in order. A receiver ignores surplus
trailing fields and fills absent ones with defaults, so that two adjacent versions understand each other.
Numbers are never reused.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any, ClassVar

import msgpack


class UnknownMessage(Exception):
    """The number belongs to no message of this version; the receiver skips it."""


class Message:
    """Base of all messages. Subclasses are dataclasses with a `NUMBER` of their own."""

    NUMBER: ClassVar[int] = 0

    __slots__ = ()


_TYPES: dict[int, tuple[type[Any], int]] = {}
_FIELDS: dict[type[Any], tuple[str, ...]] = {}


def register(cls: type[Any]) -> type[Any]:
    """Class decorator: make a message known to `decode`."""
    if cls.NUMBER in _TYPES:
        raise ValueError(f"message number {cls.NUMBER} is used twice")
    names = tuple(f.name for f in fields(cls))
    _TYPES[cls.NUMBER] = (cls, len(names))
    _FIELDS[cls] = names
    return cls


def encode(message: Message) -> bytes:
    """The message as bytes, without framing (msgpack values delimit themselves)."""
    cls = type(message)
    values = [cls.NUMBER]
    values.extend([getattr(message, name) for name in _FIELDS[cls]])
    packed: bytes = msgpack.packb(values)
    return packed


def decode(values: Any) -> Any:
    """The message that an array of values stands for; UnknownMessage where this version has none."""
    if not isinstance(values, list):
        raise TypeError("a message is an array")
    found = _TYPES.get(values[0]) if values else None
    if found is None:
        raise UnknownMessage(values[0] if values else None)
    cls, count = found
    return cls(*values[1 : count + 1])


# Any link.


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


# Proxy to proxy.


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
class NotTaken(Message):
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
class NewsPull(Message):
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


# Registry to proxy and back.


@register
@dataclass(slots=True)
class AgentHello(Message):
    """First message of a proxy on its link to a registry."""

    NUMBER: ClassVar[int] = 30
    address: str = ""  # of its inbound listener
    life: int = 0  # start of the process, Unix ms
    config_version: str = ""
    config_stamp: list[int] = field(default_factory=list)
    takes_updates: bool = False  # differences of the configuration, beside whole ones


@register
@dataclass(slots=True)
class AgentEntry(Message):
    """What is known of one proxy and the backend beside it; the newest (life, sequence) holds."""

    NUMBER: ClassVar[int] = 31
    address: str = ""
    life: int = 0
    sequence: int = 0
    service: str = ""
    zone: str = ""
    instance_id: str = ""
    available: bool = False
    removed: bool = False


@register
@dataclass(slots=True)
class News(Message):
    """Configuration and evacuations as committed by the store, in one numbered change."""

    NUMBER: ClassVar[int] = 32
    stamp: list[int] = field(default_factory=list)  # epoch, sequence
    config_version: str = ""
    # To registries as sent by the operator; to proxies packed, whole or an update; None: as the receiver holds it.
    config: bytes | None = None
    evacuations: dict[str, bool] = field(default_factory=dict)
    fresh: bool = True  # the sender is in contact with a primary; else it may be an old state
    base: str = ""  # `config` is an update from this version; empty: it is whole


@register
@dataclass(slots=True)
class NewsAcknowledged(Message):
    """A receiver has dealt with the oldest `News` that was out to it, and holds this state now."""

    NUMBER: ClassVar[int] = 33
    stamp: list[int] = field(default_factory=list)
    config_version: str = ""


@register
@dataclass(slots=True)
class RegistryStatus(Message):
    """Heartbeat of a registry on its links."""

    NUMBER: ClassVar[int] = 34
    fresh: bool = False  # it hears a primary store
    registries: list[list[str]] = field(default_factory=list)  # [address for links, zone] of all registries


@register
@dataclass(slots=True)
class RegistryHello(Message):
    """First message between registries."""

    NUMBER: ClassVar[int] = 35
    address: str = ""


@register
@dataclass(slots=True)
class AliveAgents(Message):
    """Which proxies are connected to the sending registry, as [address, life]."""

    NUMBER: ClassVar[int] = 36
    agents: list[list[Any]] = field(default_factory=list)


@register
@dataclass(slots=True)
class ForwardedBeat(Message):
    """A backend's heartbeat or sign-off that reached a registry, for the proxy beside that backend."""

    NUMBER: ClassVar[int] = 37
    number: int = 0
    instance_id: str = ""
    body: bytes | None = None  # of the heartbeat, as it came; None: it signs off


@register
@dataclass(slots=True)
class BeatTaken(Message):
    """The proxy has put a forwarded beat in force."""

    NUMBER: ClassVar[int] = 38
    number: int = 0


# Store to store.


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


# Registry to store and back.


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
