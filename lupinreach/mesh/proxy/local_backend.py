"""What a proxy knows of the backend beside it, from its heartbeats and from its answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MOST_PAST_INSTANCES = 64


class BackendState(Enum):
    """Life of a backend as its proxy sees it."""

    UNKNOWN = "unknown"  # nothing was heard of it in this life of the proxy
    READY = "ready"
    DRAINING = "draining"
    DOWN = "down"  # connections are refused; the next heartbeat ends this
    GONE = "gone"  # it signed off


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
        self._cold_unknown = False
        self._sequence = -1
        self._past: dict[str, None] = {}

    @property
    def serving(self) -> bool:
        return self.state is BackendState.READY

    def cold_s(self, now: float) -> float:
        """Seconds for which it stays cold, as far as is known."""
        if self._cold_unknown:
            return max(0.5, self.cold_until - now)
        return max(0.0, self.cold_until - now)

    def on_heartbeat(self, instance_id: str, beat: Heartbeat, now: float) -> bool:
        """Take a heartbeat in; false where it is late or of a past instance and changes nothing."""
        if instance_id in self._past:
            return False
        if instance_id != self.instance_id:
            self._replace(instance_id)
        elif beat.sequence <= self._sequence or self.state is BackendState.GONE:
            return False
        self._sequence = beat.sequence
        self.service = beat.target_service
        self.capacity = max(1, beat.capacity)
        self.cold_until = now + beat.cold_remaining_ms / 1000
        self._cold_unknown = False
        draining = beat.state != "ready" or self.state is BackendState.DRAINING
        self.state = BackendState.DRAINING if draining else BackendState.READY
        return True

    def _replace(self, instance_id: str) -> None:
        if self.instance_id:
            self._past[self.instance_id] = None
            if len(self._past) > MOST_PAST_INSTANCES:
                del self._past[next(iter(self._past))]
        self.instance_id = instance_id
        self.state = BackendState.READY
        self._sequence = -1

    def on_deregister(self, instance_id: str) -> None:
        """It signed off."""
        if instance_id == self.instance_id:
            self.state = BackendState.GONE
        else:
            self._past[instance_id] = None

    def on_refused(self) -> None:
        """A connection to it was refused: nothing listens at its address."""
        if self.state is BackendState.READY:
            self.state = BackendState.DOWN

    def on_misdirected(self, instance_id: str) -> None:
        """The process at its address says that it is another instance."""
        if instance_id == self.instance_id and self.state is BackendState.READY:
            self.state = BackendState.DOWN

    def on_health(self, instance_id: str, cold_ms: float, capacity: int, now: float) -> None:
        """A health answer came in before any heartbeat of this life of the proxy."""
        if self.state is not BackendState.UNKNOWN or instance_id in self._past:
            return
        self.instance_id = instance_id
        self.capacity = max(1, capacity)
        self.cold_until = now + cold_ms / 1000
        self.state = BackendState.READY

    def assume_cold(self, until: float) -> None:
        """It may have gone cold unseen; holds until the next heartbeat tells."""
        self.cold_until = max(self.cold_until, until)
        self._cold_unknown = True
