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
class StateUpdate(Message):
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
class StateUpdateAcknowledged(Message):
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
class ForwardedHeartbeat(Message):
    """A backend's heartbeat or sign-off that reached a registry, for the proxy beside that backend."""

    NUMBER: ClassVar[int] = 37
    number: int = 0
    instance_id: str = ""
    body: bytes | None = None  # of the heartbeat, as it came; None: it signs off


@register
@dataclass(slots=True)
class HeartbeatAccepted(Message):
    """The proxy has put a forwarded beat in force."""

    NUMBER: ClassVar[int] = 38
    number: int = 0
