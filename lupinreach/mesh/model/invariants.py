"""What clients of a modelled store group have seen, and the invariants that this must keep."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from lupinreach.mesh.messages import OrderResult
from lupinreach.mesh.model.disk import MemoryRecord
from lupinreach.mesh.store.document import Document
from lupinreach.mesh.store.view import View


class Broken(AssertionError):
    """An invariant does not hold; the text says which and how."""


def complete_copies(view: View, records: Collection[MemoryRecord]) -> set[str]:
    """The copies of a view that hold all, by their disks; those whose disks are lost count as such."""
    complete = set(view.copies)
    for record in records:
        if view.uid not in record.values.get("complete", {}):
            complete.discard(record.values.get("identity", ""))
    return complete


def held_versions(view: View, records: Collection[MemoryRecord]) -> dict[str, int]:
    """The versions on the disks of a view's copies, by identity; disks that are lost hold none."""
    held = {}
    for record in records:
        values = record.values
        if values.get("identity") in view.copies:
            document = Document.from_list(values.get("document", Document().to_list()))
            held[values["identity"]] = int(document.version or "0", 16)
    return held


@dataclass
class InvariantChecker:
    """Checks every confirmation against all earlier ones. Versions are numbers here."""

    pushed: int = 0  # version that a primary published last
    highest_confirmed: int = 0  # highest version whose order was confirmed
    contents: dict[int, bytes] = field(default_factory=dict)  # confirmed or read under each version
    primaries: dict[int, str] = field(default_factory=dict)  # who served each epoch
    views: dict[int, str] = field(default_factory=dict)  # uid of the view of each epoch
    newest_stamp: list[int] = field(default_factory=lambda: [0, 0])

    def decided(self, view: View, complete: Collection[str]) -> None:
        """A store learnt that a view is decided; `complete`: the copies that hold it, or whose disks are lost."""
        uid = self.views.get(view.epoch)
        if uid is not None:
            if uid != view.uid:
                raise Broken(f"epoch {view.epoch} has two views")
            return
        self.views[view.epoch] = view.uid
        missing = sorted(set(view.copies) - set(complete))
        if missing:
            raise Broken(f"view {view.epoch} is decided before {','.join(missing)} holds all")

    def complete_copy(self, identity: str, held: int) -> None:
        """A copy that counts as complete for the newest view holds a version: none that was confirmed is newer."""
        if held < self.highest_confirmed:
            raise Broken(f"the complete copy {identity} holds {held}, confirmed was {self.highest_confirmed}")

    def served(self, epoch: int, identity: str) -> None:
        """A store says that it serves an epoch: one store does."""
        owner = self.primaries.setdefault(epoch, identity)
        if owner != identity:
            raise Broken(f"epoch {epoch} has two primaries")

    def published(self, stamp: list[int], document: Document) -> None:
        """A primary pushes a document: nothing that was confirmed is missing."""
        if stamp < self.newest_stamp:
            return  # a primary that stood still tells old news, which everybody skips by its stamp
        self.newest_stamp = stamp
        self._holds(document.version, document.config, max(self.highest_confirmed, self.pushed), "published")
        self.pushed = int(document.version or "0", 16)

    def durable(self, version: int, held: Mapping[str, int]) -> None:
        """A version was confirmed: it is on the disk of every copy of the view."""
        for identity, found in held.items():
            if found < version:
                raise Broken(f"{version} was confirmed while the copy {identity} held {found}")

    def confirmed(self, version: int, content: bytes, result: OrderResult) -> None:
        """The result of an order came back."""
        if result.error:
            return
        self.highest_confirmed = max(self.highest_confirmed, version)
        held = self.contents.setdefault(version, content)
        if held != content:
            raise Broken(f"version {version} was confirmed with two contents: {held!r} and {content!r}")

    def read(self, asked_after: int, result: OrderResult) -> None:
        """A read came back that was asked for once `asked_after` had been confirmed."""
        if not result.error:
            version = result.payload.partition(b"/")[0].decode()
            self._holds(version, result.payload, asked_after, "read")

    def _holds(self, version: str, content: bytes, least: int, what: str) -> None:
        number = int(version or "0", 16)
        if number < least:
            raise Broken(f"{what} {number} after {least} was confirmed")
        held = self.contents.get(number)
        if held is not None and held != content:
            raise Broken(f"{what} version {number} as {content!r}, confirmed as {held!r}")
