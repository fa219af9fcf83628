"""An in-memory disk for models: saved values survive a crash; a write may be refused or interrupted."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any

from lupinreach.mesh.store.disk import DiskWriteError


class DiskMode(Enum):
    """How a disk treats writes."""

    WELL = "well"
    FULL = "full"  # writes are refused
    DIES_BEFORE = "dies before"  # the process dies in the next write, which is lost
    DIES_AFTER = "dies after"  # the process dies after the next write is stored


class ProcessDied(Exception):
    """The process of a store ended in the middle of a write."""


class MemoryRecord:
    """In-memory counterpart of `SqliteRecord`."""

    def __init__(self) -> None:
        self.values: dict[str, Any] = {}
        self.mode = DiskMode.WELL

    def load(self) -> dict[str, Any]:
        """Return a copy of all values."""
        return dict(self.values)

    def save(self, changes: Mapping[str, Any]) -> None:
        """Store the values; raises `DiskWriteError` or `ProcessDied` as the disk's mode demands."""
        if self.mode is DiskMode.FULL:
            raise DiskWriteError("no space")
        if self.mode is DiskMode.DIES_BEFORE:
            raise ProcessDied
        self.values.update(changes)
        if self.mode is DiskMode.DIES_AFTER:
            raise ProcessDied
