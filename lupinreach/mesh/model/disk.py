"""A disk in memory for models: what was saved stays unless the disk is lost; a write may be refused or cut."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any

from lupinreach.mesh.store.disk import DiskWriteError


class Fate(Enum):
    """What becomes of the writes of a disk."""

    WELL = "well"
    FULL = "full"  # refused
    DIES_BEFORE = "dies before"  # the process dies at the next one, which is lost
    DIES_AFTER = "dies after"  # the process dies once the next one is done


class ProcessDied(Exception):
    """The process of a store ended in the middle of a write."""


class MemoryRecord:
    """As `SqliteRecord`, without a file."""

    def __init__(self) -> None:
        self.values: dict[str, Any] = {}
        self.fate = Fate.WELL

    def load(self) -> dict[str, Any]:
        """All values."""
        return dict(self.values)

    def save(self, changes: Mapping[str, Any]) -> None:
        """Keep the values; raises as the disk's fate has it."""
        if self.fate is Fate.FULL:
            raise DiskWriteError("no space")
        if self.fate is Fate.DIES_BEFORE:
            raise ProcessDied
        self.values.update(changes)
        if self.fate is Fate.DIES_AFTER:
            raise ProcessDied
