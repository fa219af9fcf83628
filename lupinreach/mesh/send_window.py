"""Flow control for state updates to one receiver.

A sender queues no more than one window of unacknowledged updates on a link. While a receiver is behind, a newer state
replaces those not sent yet, so a slow link delays the newest state by at most one window.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

WINDOW_BYTES = 16 << 10  # limit on unacknowledged bytes; a single message of any size is always allowed


class SendWindow:
    """Unacknowledged messages to one receiver, which acknowledges each one once and in order."""

    def __init__(self) -> None:
        self._sizes: deque[int] = deque()
        self._bytes = 0

    @property
    def empty(self) -> bool:
        """True if every message has been acknowledged."""
        return not self._sizes

    def allows(self, size: int) -> bool:
        """Whether a message of `size` bytes may be sent now."""
        return self.empty or self._bytes + size <= WINDOW_BYTES

    def sent(self, size: int) -> None:
        """Record a sent message."""
        self._sizes.append(size)
        self._bytes += size

    def acknowledged(self) -> None:
        """Record the acknowledgement of the oldest message."""
        if self._sizes:
            self._bytes -= self._sizes.popleft()


@dataclass(slots=True)
class UpdateProgress:
    """The state that one receiver will hold once everything sent to it has arrived."""

    config_version: str = ""
    stamp: list[int] = field(default_factory=list)  # of the last update sent
    window: SendWindow = field(default_factory=SendWindow)
    acknowledges: bool = True  # false for receivers two releases older, which get no flow control

    def allows(self, size: int) -> bool:
        """Whether an update of `size` bytes may be sent now."""
        return not self.acknowledges or self.window.allows(size)

    def sent(self, size: int, config_version: str, stamp: list[int]) -> None:
        """Record a sent update."""
        self.config_version, self.stamp = config_version, stamp
        if self.acknowledges:
            self.window.sent(size)
