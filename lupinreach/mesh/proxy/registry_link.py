"""One link of a proxy to a registry, and whether that registry is fit to bring news."""

from __future__ import annotations

from enum import Enum

from lupinreach.mesh.link import Dialer, Link
from lupinreach.mesh.messages import Message, RegistryStatus

SILENCE_TIMEOUT_S = 1.7  # a registry from which nothing is received for this long is replaced by another
STALE_TIMEOUT_S = 1.5  # without a primary for this long a registry is unfit; most takeovers are shorter
ISOLATED_TIMEOUT_S = 0.3  # a registry that reaches no majority of the stores for this long is unfit
CONNECT_GRACE_S = 0.6  # a link that is not up after this time is unfit
MAX_CONNECT_FAILURES = 3  # failed connects after which another registry is tried


class LossReason(Enum):
    """Why a proxy leaves a registry."""

    SILENT = "silent"
    UNREACHABLE = "unreachable"
    STALE = "stale"
    ISOLATED = "isolated"
    SURPLUS = "surplus"
    ZONE = "zone"


class RegistryLink:
    """A link to one registry, and what that registry last reported of itself."""

    def __init__(self, address: str, zone: str, now: float) -> None:
        self.address = address
        self.zone = zone
        self.dialer: Dialer | None = None
        self.started_at = now  # loop time of the selection or of the last connect
        self._fresh_at = 0.0  # loop time at which it last reported contact to a primary store
        self._isolated_since: float | None = None  # loop time

    @property
    def link(self) -> Link | None:
        """The connection, None while it is down."""
        return self.dialer.link if self.dialer is not None else None

    def send(self, message: Message) -> None:
        """Send a message if the link is up."""
        if self.link is not None:
            self.link.send(message)

    def on_up(self, now: float) -> None:
        """The link is up; what the registry reported on an earlier one no longer counts."""
        self.started_at = now
        self._isolated_since = None

    def on_status(self, status: RegistryStatus, now: float) -> None:
        """The registry reports its contact to the stores."""
        if status.fresh:
            self._fresh_at = now
        if not status.isolated:
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = now

    def loss_reason(self, now: float) -> LossReason | None:
        """Why the link must be closed whether or not there is another registry; None if it may stay."""
        if self.link is None:
            is_down = now - self.started_at > 3 * SILENCE_TIMEOUT_S
            return LossReason.UNREACHABLE if is_down else None
        return LossReason.SILENT if self.link.silent_s() > SILENCE_TIMEOUT_S else None

    def unfit_reason(self, now: float) -> LossReason | None:
        """Why another registry would be better; None if this one is fit, or still connecting."""
        if self.link is None:
            assert self.dialer is not None
            is_slow = now - self.started_at > CONNECT_GRACE_S or self.dialer.failures >= MAX_CONNECT_FAILURES
            return LossReason.UNREACHABLE if is_slow else None
        if self._isolated_since is not None and now - self._isolated_since > ISOLATED_TIMEOUT_S:
            return LossReason.ISOLATED
        stale = now - max(self._fresh_at, self.started_at) > STALE_TIMEOUT_S
        return LossReason.STALE if stale else None

    def is_proven(self, now: float) -> bool:
        """Whether the link is up and the registry has reported contact to a primary store on it."""
        return self.link is not None and self._fresh_at >= self.started_at and self.unfit_reason(now) is None
