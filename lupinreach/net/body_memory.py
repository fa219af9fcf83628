"""How many bytes of long messages may be held at once, over all API calls."""

from __future__ import annotations

from lupinreach.net.http import SINGLE_BUFFER_BODY_BYTES


class BodyMemory:
    """Counts what is held. Bodies that fit the buffer of their connection count for nothing: connections are bounded."""

    def __init__(self, max_body_bytes: int, max_total_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._max_total_bytes = max_total_bytes
        self.held = 0

    def reserve(self, more: int, size: int) -> bool:
        """Hold so many bytes more of a message that now has `size`; false where there is no room for them."""
        if size > self._max_body_bytes or self.held + more > self._max_total_bytes:
            return False
        self.held += more
        return True

    def release(self, size: int) -> None:
        """Let go of a message of that size."""
        if size > SINGLE_BUFFER_BODY_BYTES:
            self.held -= size
