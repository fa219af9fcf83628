"""The registry as a model: what is listed, its versions, and what changed since one. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any


@dataclass(frozen=True)
class Entry:
    uid: str
    backend: int
    address: str
    zone: str
    kind: str
    cell: int
    size: float
    state: str = "Ready"
    boot: int = 0  # Unix ms; 0 = long ago

    def wire(self) -> dict[str, Any]:
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
    """Keeps every entry's last state, and at which version it changed. `Gone` entries stay for the watches."""

    def __init__(self) -> None:
        self.version = 1
        self.incarnation = 1
        self.up = True
        self._entries: dict[
            str, tuple[int, Entry]
        ] = {}  # by uid: version of the last change; as many as the world

    def set(self, entry: Entry, **changed: Any) -> int:
        """List an entry, or change it; the version from which on it is known."""
        self.version += 1
        self._entries[entry.uid] = self.version, replace(entry, **changed)
        return self.version

    def entry(self, uid: str) -> Entry | None:
        found = self._entries.get(uid)
        return found[1] if found else None

    def whole(self) -> list[Entry]:
        return [e for _, e in self._entries.values() if e.state != "Gone"]

    def since(self, version: int) -> list[Entry]:
        """What changed after that version, oldest first."""
        found = sorted(((v, e) for v, e in self._entries.values() if v > version), key=lambda pair: pair[0])
        return [e for _, e in found]

    def succeeded(self, entry: Entry) -> bool:
        """If another process of that backend's, one that started no earlier, is ready."""
        return any(
            e.backend == entry.backend and e.uid != entry.uid and e.state == "Ready" and e.boot >= entry.boot
            for _, e in self._entries.values()
        )

    def copy(self) -> dict[str, tuple[int, Entry]]:
        """What it holds now, as a disk would keep it."""
        return dict(self._entries)

    def restore(self, held: dict[str, tuple[int, Entry]]) -> None:
        """It comes back with what it held then, and counts on from there."""
        self.incarnation += 1
        self._entries = dict(held)
        self.version = max((version for version, _ in held.values()), default=1)

    def restart(self, version: int) -> None:
        """It comes back with its entries and another count of versions, which may be lower."""
        self.incarnation += 1
        self.version = version
        self._entries = {uid: (version, e) for uid, (_, e) in self._entries.items() if e.state != "Gone"}
