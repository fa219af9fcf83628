"""Bound on what is on its way to one receiver of news.

The sender of a state keeps nothing queued on a link beyond the window: while a receiver is behind, newer states take
the place of those that were not sent yet, so that a slow link delays the newest by one window at most.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

WINDOW_BYTES = 16 << 10  # unacknowledged at most; one message of any size is always allowed


class SendWindow:
    """Messages that one receiver has not acknowledged; it acknowledges each once, in their order."""

    def __init__(self) -> None:
        self._sizes: deque[int] = deque()
        self._bytes = 0

    @property
    def empty(self) -> bool:
        return not self._sizes

    def allows(self, size: int) -> bool:
        """If a message of so many bytes may be sent now."""
        return self.empty or self._bytes + size <= WINDOW_BYTES

    def sent(self, size: int) -> None:
        """A message was sent."""
        self._sizes.append(size)
        self._bytes += size

    def acknowledged(self) -> None:
        """The oldest one has arrived."""
        if self._sizes:
            self._bytes -= self._sizes.popleft()


@dataclass(slots=True)
class UpdateProgress:
    """What one receiver of news will hold once all that was sent to it has arrived."""

    config_version: str = ""
    stamp: list[int] = field(default_factory=list)  # of the news that was sent last
    window: SendWindow = field(default_factory=SendWindow)
    acknowledges: bool = True  # receivers of the version before last do not, and have no window

    def allows(self, size: int) -> bool:
        """If news of so many bytes may be sent now."""
        return not self.acknowledges or self.window.allows(size)

    def sent(self, size: int, config_version: str, stamp: list[int]) -> None:
        """News was sent."""
        self.config_version, self.stamp = config_version, stamp
        if self.acknowledges:
            self.window.sent(size)
