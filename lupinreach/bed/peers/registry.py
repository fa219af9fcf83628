"""A model of the registry: the listed backends, list versions and the changes since a version. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any


@dataclass(frozen=True)
class Entry:
    """One listed backend process."""

    uid: str
    backend: int
    address: str
    zone: str
    kind: str
    cell: int
    size: float
    state: str = "Ready"
    boot: int = 0  # start of the process, Unix time in ms; 0: long ago

    def wire(self) -> dict[str, Any]:
        """The entry as it is sent to agents."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": self.zone,
            "model": self.kind,
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": self.size,
            "boot_ms": self.boot,
        }


class Registry:
    """The last state of every entry and the version at which it changed. `Gone` entries are kept for watches."""

    def __init__(self) -> None:
        self.version = 1
        self.incarnation = 1
        self.up = True
        self._entries: dict[
            str, tuple[int, Entry]
        ] = {}  # by uid: version of the last change, and the entry; bounded by the world's backends and replacements

    def set(self, entry: Entry, **changed: Any) -> int:
        """Adds an entry or changes it; returns the list version that first contains the change."""
        self.version += 1
        self._entries[entry.uid] = self.version, replace(entry, **changed)
        return self.version

    def entry(self, uid: str) -> Entry | None:
        """The entry with this uid, also if it is `Gone`."""
        versioned = self._entries.get(uid)
        return versioned[1] if versioned else None

    def listed_entries(self) -> list[Entry]:
        """All entries that are not `Gone`."""
        return [e for _, e in self._entries.values() if e.state != "Gone"]

    def changes_since(self, version: int) -> list[Entry]:
        """The entries that changed after a version, oldest change first."""
        changed = sorted(((v, e) for v, e in self._entries.values() if v > version), key=lambda pair: pair[0])
        return [e for _, e in changed]

    def succeeded(self, entry: Entry) -> bool:
        """Whether another process of the same backend is ready that started at the same time or later."""
        return any(
            e.backend == entry.backend and e.uid != entry.uid and e.state == "Ready" and e.boot >= entry.boot
            for _, e in self._entries.values()
        )

    def snapshot(self) -> dict[str, tuple[int, Entry]]:
        """A copy of the current entries, to be restored later."""
        return dict(self._entries)

    def restore(self, snapshot: dict[str, tuple[int, Entry]]) -> None:
        """Restarts with the entries of a snapshot; versions continue from the snapshot's highest."""
        self.incarnation += 1
        self._entries = dict(snapshot)
        self.version = max((version for version, _ in snapshot.values()), default=1)

    def restart(self, version: int) -> None:
        """Restarts with its present entries at another list version, which may be lower."""
        self.incarnation += 1
        self.version = version
        self._entries = {uid: (version, e) for uid, (_, e) in self._entries.items() if e.state != "Gone"}
