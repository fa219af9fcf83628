"""A disk in memory for models: what was saved stays unless the disk is lost; it may refuse to take more."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from lupinreach.mesh.store.disk import DiskFailed


class MemoryRecord:
    """As `SqliteRecord`, without a file."""

    def __init__(self) -> None:
        self.values: dict[str, Any] = {}
        self.full = False

    def load(self) -> dict[str, Any]:
        """All values."""
        return dict(self.values)

    def save(self, changes: Mapping[str, Any]) -> None:
        """Keep the values, or raise `DiskFailed` where the disk is full."""
        if self.full:
            raise DiskFailed("no space")
        self.values.update(changes)
