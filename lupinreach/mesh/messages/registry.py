"""Messages between registries and proxies, and between registries."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, ClassVar

from lupinreach.mesh.messages.encoding import Message, register


@register
@dataclass(slots=True)
class AgentHello(Message):
    """First message of a proxy on its link to a registry."""

    NUMBER: ClassVar[int] = 30
    address: str = ""  # of the proxy's inbound listener
    life: int = 0  # start of the process, Unix ms
    config_version: str = ""
    config_stamp: list[int] = field(default_factory=list)
    takes_updates: bool = False  # accepts configuration differences as well as complete configurations


@register
@dataclass(slots=True)
class AgentEntry(Message):
    """What is known of one proxy and the backend beside it; the highest (life, sequence) is valid."""

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
class StateUpdate(Message):
    """Configuration and evacuations as committed by the store, under one stamp."""

    NUMBER: ClassVar[int] = 32
    stamp: list[int] = field(default_factory=list)  # epoch, sequence
    config_version: str = ""
    # Registries get it as the operator sent it; proxies get it packed, complete or as a difference. None if
    # the receiver holds it already.
    config: bytes | None = None
    evacuations: dict[str, bool] = field(default_factory=dict)
    fresh: bool = True  # the sender is in contact with a primary store; otherwise the state may be old
    base: str = ""  # `config` is a difference from this version; empty if it is complete


@register
@dataclass(slots=True)
class StateUpdateAcknowledged(Message):
    """The receiver has processed the oldest `StateUpdate` in flight to it and now holds this state."""

    NUMBER: ClassVar[int] = 33
    stamp: list[int] = field(default_factory=list)
    config_version: str = ""


@register
@dataclass(slots=True)
class RegistryStatus(Message):
    """Heartbeat that a registry sends on its links."""

    NUMBER: ClassVar[int] = 34
    fresh: bool = False  # the registry is in contact with a primary store
    registries: list[list[str]] = field(default_factory=list)  # [link address, zone] of all registries
    isolated: bool = (
        False  # none of the stores that it reaches is in a majority: a primary can't be among them
    )


@register
@dataclass(slots=True)
class RegistryHello(Message):
    """First message between registries."""

    NUMBER: ClassVar[int] = 35
    address: str = ""


@register
@dataclass(slots=True)
class AliveAgents(Message):
    """The proxies connected to the sending registry, as [address, life]."""

    NUMBER: ClassVar[int] = 36
    agents: list[list[Any]] = field(default_factory=list)


@register
@dataclass(slots=True)
class ForwardedHeartbeat(Message):
    """A backend's heartbeat or deregistration that a registry received, for the proxy beside that backend."""

    NUMBER: ClassVar[int] = 37
    number: int = 0
    instance_id: str = ""
    body: bytes | None = None  # the heartbeat as received; None for a deregistration


@register
@dataclass(slots=True)
class HeartbeatAccepted(Message):
    """The proxy has applied a forwarded heartbeat or deregistration."""

    NUMBER: ClassVar[int] = 38
    number: int = 0


@register
@dataclass(slots=True)
class RecordDepartures(Message):
    """Asks a registry to have the stores record which backends leave; without any it only asks what is recorded."""

    NUMBER: ClassVar[int] = 40
    number: int = 0
    address: str = ""  # of the proxy beside these backends
    instances: list[str] = field(default_factory=list)


@register
@dataclass(slots=True)
class DeparturesRecorded(Message):
    """Answer to `RecordDepartures` with the same number."""

    NUMBER: ClassVar[int] = 41
    number: int = 0
    recorded: bool = False  # false: not confirmed by the stores, and given up
    instances: list[str] = field(default_factory=list)  # all that are recorded of that proxy
