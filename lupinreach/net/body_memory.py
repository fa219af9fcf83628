"""How many bytes of long messages may be held at once, over all API calls."""

from __future__ import annotations

from lupinreach.net.http import IN_PLACE


class BodyMemory:
    """Counts what is held. Bodies that fit the buffer of their connection count for nothing: connections are bounded."""

    def __init__(self, each: int, most: int) -> None:
        self._each = each
        self._most = most
        self.held = 0

    def take(self, more: int, size: int) -> bool:
        """Hold so many bytes more of a message that now has `size`; false where there is no room for them."""
        if size > self._each or self.held + more > self._most:
            return False
        self.held += more
        return True

    def give(self, size: int) -> None:
        """Let go of a message of that size."""
        if size > IN_PLACE:
            self.held -= size
