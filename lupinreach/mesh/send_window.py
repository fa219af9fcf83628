"""Bound on what is on its way to one receiver of news.

The sender of a state keeps nothing queued on a link beyond the window: while a receiver is behind, newer states take
the place of those that were not sent yet, so that a slow link delays the newest by one window at most.
"""

from __future__ import annotations

from collections import deque

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
