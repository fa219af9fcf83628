"""State of the backend beside a proxy, as known from its heartbeats and answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

MAX_PAST_INSTANCES = 64  # remembered of each kind
RETURN_AFTER_HEARTBEATS = 2  # newer ones, after which a superseded instance counts as the running one again


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


@dataclass(slots=True)
class _Superseded:
    """An instance after which another one came."""

    sequence: int  # the last one known
    heartbeats: int = 0  # newer ones since

    def returns_with(self, sequence: int) -> bool:
        """Note a heartbeat; returns whether enough have come since, so that the instance runs after all."""
        if sequence <= self.sequence:
            return False
        self.sequence = sequence
        self.heartbeats += 1
        return self.heartbeats >= RETURN_AFTER_HEARTBEATS


class LocalBackend:
    """State of the backend; each method is one transition. Times are loop times in seconds."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.instance_id = ""
        self.state = BackendState.UNKNOWN
        self.capacity = 1
        self.cold_until = 0.0
        self._cold_assumed = False
        self.heartbeats = 0  # applied, of this instance
        self._sequence = -1
        self._superseded: dict[str, _Superseded] = {}  # by instance
        self._deregistered: dict[str, None] = {}
        self.departed: dict[str, None] = {}  # instances that were ever draining or signed off, oldest first
        self.departures_known = (
            True  # false in a restarted proxy that does not know what it acknowledged before
        )

    @property
    def serving(self) -> bool:
        """True if it takes new requests."""
        return self.state is BackendState.READY and self.departures_known

    def cold_s(self, now: float) -> float:
        """Return the seconds for which it stays cold, as far as is known."""
        if self._cold_assumed:
            return max(0.5, self.cold_until - now)
        return max(0.0, self.cold_until - now)

    def on_heartbeat(self, instance_id: str, heartbeat: Heartbeat, now: float) -> bool:
        """Apply a heartbeat; return false if it is out of order or of an instance that has ended, and changes nothing.

        A heartbeat of an unknown instance may be a late one of an instance that ended long ago. The one that it
        supersedes therefore returns if it goes on sending heartbeats.
        """
        if heartbeat.state != "ready":
            self._depart(instance_id)
        if instance_id in self._deregistered:
            return False
        if instance_id in self.departed and self.instance_id not in ("", instance_id):
            return False
        if instance_id != self.instance_id:
            superseded = self._superseded.get(instance_id)
            if superseded is not None and not superseded.returns_with(heartbeat.sequence):
                return False
            self._replace_instance(instance_id)
        elif heartbeat.sequence <= self._sequence:
            return False
        self._sequence = heartbeat.sequence
        self.service = heartbeat.target_service
        self.capacity = max(1, heartbeat.capacity)
        cold_until = now + heartbeat.cold_remaining_ms / 1000
        # The first heartbeat that a process gets may be a late one, and the health response the newer report.
        self.cold_until = max(self.cold_until, cold_until) if self.heartbeats == 0 else cold_until
        self.heartbeats += 1
        self._cold_assumed = False
        self.state = BackendState.DRAINING if instance_id in self.departed else BackendState.READY
        return True

    def _replace_instance(self, instance_id: str) -> None:
        if self.instance_id:
            self._superseded[self.instance_id] = _Superseded(self._sequence)
            _forget_oldest(self._superseded)
        self._superseded.pop(instance_id, None)
        self.instance_id = instance_id
        self.state = BackendState.READY
        self.cold_until = 0.0
        self.heartbeats = 0
        self._sequence = -1

    def on_deregister(self, instance_id: str) -> None:
        """Apply a deregistration."""
        self._depart(instance_id)
        self._deregistered[instance_id] = None
        _forget_oldest(self._deregistered)
        if instance_id == self.instance_id:
            self.state = BackendState.DEREGISTERED

    def on_departed(self, instances: list[str]) -> None:
        """Apply departures that this proxy acknowledged, also in an earlier life: these instances get no new requests."""
        for instance_id in instances:
            self._depart(instance_id)

    def on_departures_learned(self) -> None:
        """All acknowledged departures are known."""
        self.departures_known = True

    def forget_heartbeats(self) -> None:
        """Go back to the state before the first heartbeat, as those received may be from before a departure."""
        self.instance_id = ""
        self.state = BackendState.UNKNOWN
        self._sequence = -1

    def _depart(self, instance_id: str) -> None:
        """Note that an instance leaves, for good."""
        self.departed[instance_id] = None
        _forget_oldest(self.departed)
        if instance_id == self.instance_id and self.state is not BackendState.DEREGISTERED:
            self.state = BackendState.DRAINING

    def on_connection_refused(self) -> None:
        """Note that a connection to it was refused, so nothing listens at its address."""
        if self.state is BackendState.READY:
            self.state = BackendState.DOWN

    def on_misdirected(self, instance_id: str) -> None:
        """Note that the process at its address answered that it is another instance."""
        if instance_id == self.instance_id and self.state is BackendState.READY:
            self.state = BackendState.DOWN

    def on_health_response(self, instance_id: str, cold_ms: float, capacity: int, now: float) -> None:
        """Apply a health response; once a heartbeat was received, only that it is colder than the first one said."""
        cold_until = now + cold_ms / 1000
        if instance_id == self.instance_id and self.heartbeats <= 1:
            self.cold_until = max(self.cold_until, cold_until)
        if self.state is not BackendState.UNKNOWN or instance_id in self.departed:
            return
        self.instance_id = instance_id
        self.capacity = max(1, capacity)
        self.cold_until = cold_until
        self.state = BackendState.READY

    def assume_cold(self, until: float) -> None:
        """Assume that it is cold until the next heartbeat; `until` is the latest expected end."""
        self.cold_until = max(self.cold_until, until)
        self._cold_assumed = True


def _forget_oldest(instances: dict[str, Any]) -> None:
    if len(instances) > MAX_PAST_INSTANCES:
        del instances[next(iter(instances))]
