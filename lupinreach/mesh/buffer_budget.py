"""A bound on the message bodies that a process holds."""

from __future__ import annotations


class BufferBudget:
    """Bounds the total size of the message bodies that a process buffers."""

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity_bytes = capacity_bytes
        self.used = 0

    def take(self, size: int) -> bool:
        """Reserve `size` bytes; false if that would exceed the capacity."""
        if self.used + size > self._capacity_bytes:
            return False
        self.used += size
        return True

    def charge(self, size: int) -> None:
        """Reserve `size` bytes that are held already, also beyond the capacity."""
        self.used += size

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.used -= size
