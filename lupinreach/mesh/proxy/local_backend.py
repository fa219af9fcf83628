"""State of the backend beside a proxy, as known from its heartbeats and answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_PAST_INSTANCES = 64


class BackendState(Enum):
    """Lifecycle state of a backend as its proxy sees it."""

    UNKNOWN = "unknown"  # no heartbeat was received since the proxy started
    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"  # connections are refused or reach another instance; the next heartbeat ends this
    DEREGISTERED = "gone"  # final for the instance


@dataclass(slots=True)
class Heartbeat:
    """Body of `POST /instances/ID/heartbeat`."""

    target_service: str
    address: str
    zone: str
    capacity: int
    state: str
    sequence: int
    version: str = ""
    cold_remaining_ms: float = 0


class LocalBackend:
    """State of the backend; each method is one transition. Times are loop times in seconds."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.instance_id = ""
        self.state = BackendState.UNKNOWN
        self.capacity = 1
        self.cold_until = 0.0
        self._cold_assumed = False
        self._sequence = -1
        self._past_instances: dict[str, None] = {}

    @property
    def serving(self) -> bool:
        """True if it takes new requests."""
        return self.state is BackendState.READY

    def cold_s(self, now: float) -> float:
        """Return the seconds for which it stays cold, as far as is known."""
        if self._cold_assumed:
            return max(0.5, self.cold_until - now)
        return max(0.0, self.cold_until - now)

    def on_heartbeat(self, instance_id: str, heartbeat: Heartbeat, now: float) -> bool:
        """Apply a heartbeat; return false if it is out of order or of a past instance and changes nothing."""
        if instance_id in self._past_instances:
            return False
        if instance_id != self.instance_id:
            self._replace_instance(instance_id)
        elif heartbeat.sequence <= self._sequence or self.state is BackendState.DEREGISTERED:
            return False
        self._sequence = heartbeat.sequence
        self.service = heartbeat.target_service
        self.capacity = max(1, heartbeat.capacity)
        self.cold_until = now + heartbeat.cold_remaining_ms / 1000
        self._cold_assumed = False
        draining = heartbeat.state != "ready" or self.state is BackendState.DRAINING
        self.state = BackendState.DRAINING if draining else BackendState.READY
        return True

    def _replace_instance(self, instance_id: str) -> None:
        if self.instance_id:
            self._past_instances[self.instance_id] = None
            if len(self._past_instances) > MAX_PAST_INSTANCES:
                del self._past_instances[next(iter(self._past_instances))]
        self.instance_id = instance_id
        self.state = BackendState.READY
        self._sequence = -1

    def on_deregister(self, instance_id: str) -> None:
        """Apply a deregistration."""
        if instance_id == self.instance_id:
            self.state = BackendState.DEREGISTERED
        else:
            self._past_instances[instance_id] = None

    def on_connection_refused(self) -> None:
        """Note that a connection to it was refused, so nothing listens at its address."""
        if self.state is BackendState.READY:
            self.state = BackendState.DOWN

    def on_misdirected(self, instance_id: str) -> None:
        """Note that the process at its address answered that it is another instance."""
        if instance_id == self.instance_id and self.state is BackendState.READY:
            self.state = BackendState.DOWN

    def on_health_response(self, instance_id: str, cold_ms: float, capacity: int, now: float) -> None:
        """Apply a health response; ignored once a heartbeat was received."""
        if self.state is not BackendState.UNKNOWN or instance_id in self._past_instances:
            return
        self.instance_id = instance_id
        self.capacity = max(1, capacity)
        self.cold_until = now + cold_ms / 1000
        self.state = BackendState.READY

    def assume_cold(self, until: float) -> None:
        """Assume that it is cold until the next heartbeat; `until` is the latest expected end."""
        self.cold_until = max(self.cold_until, until)
        self._cold_assumed = True
