"""Limits the memory that long bodies use, per body and in total."""

from __future__ import annotations

from lupinreach.net.http import SINGLE_BUFFER_BODY_BYTES


class BodyMemory:
    """Accounts for the bytes of long bodies in memory.

    Bodies that fit into the buffer of their connection are not counted: the number of connections is limited.
    """

    def __init__(self, max_body_bytes: int, max_total_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._max_total_bytes = max_total_bytes
        self.held = 0

    def reserve(self, more: int, size: int) -> bool:
        """Reserve `more` bytes for a body of now `size` bytes; false if a limit would be exceeded."""
        if size > self._max_body_bytes or self.held + more > self._max_total_bytes:
            return False
        self.held += more
        return True

    def release(self, size: int) -> None:
        """Release the memory of a body of that size."""
        if size > SINGLE_BUFFER_BODY_BYTES:
            self.held -= size
