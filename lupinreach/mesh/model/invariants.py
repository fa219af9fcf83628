"""Invariants of the store, checked against what clients of a modelled store group have observed."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from lupinreach.mesh.messages import OrderResult
from lupinreach.mesh.model.disk import MemoryRecord
from lupinreach.mesh.store.document import Document
from lupinreach.mesh.store.view import View


class InvariantViolated(AssertionError):
    """An invariant does not hold; the message names the invariant and the conflicting values."""


def complete_replicas(view: View, records: Collection[MemoryRecord]) -> set[str]:
    """The replicas in a view whose disks mark them as complete; those whose disks are lost count too."""
    complete = set(view.copies)
    for record in records:
        if view.uid not in record.values.get("complete", {}):
            complete.discard(record.values.get("identity", ""))
    return complete


def versions_on_disk(view: View, records: Collection[MemoryRecord]) -> dict[str, int]:
    """The versions on the disks of the replicas in a view, by identity; lost disks are left out."""
    held = {}
    for record in records:
        values = record.values
        if values.get("identity") in view.copies:
            document = Document.from_list(values.get("document", Document().to_list()))
            held[values["identity"]] = int(document.version or "0", 16)
    return held


@dataclass
class InvariantChecker:
    """Checks each confirmation, read and published document against earlier ones. Versions are integers."""

    last_published: int = 0  # version that a primary published last
    highest_confirmed: int = 0  # highest version whose order was confirmed
    contents: dict[int, bytes] = field(default_factory=dict)  # confirmed content by version
    primary_by_epoch: dict[int, str] = field(
        default_factory=dict
    )  # identity of the store that served the epoch
    view_uid_by_epoch: dict[int, str] = field(default_factory=dict)
    newest_published_stamp: list[int] = field(default_factory=lambda: [0, 0])

    def on_view_decided(self, view: View, complete: Collection[str]) -> None:
        """Check that an epoch has one view, decided only once all its replicas are in `complete`.

        `complete` are the replicas that hold all acknowledged data, and those whose disks are lost.
        """
        uid = self.view_uid_by_epoch.get(view.epoch)
        if uid is not None:
            if uid != view.uid:
                raise InvariantViolated(f"epoch {view.epoch} has two views")
            return
        self.view_uid_by_epoch[view.epoch] = view.uid
        missing = sorted(set(view.copies) - set(complete))
        if missing:
            raise InvariantViolated(f"view {view.epoch} is decided before {','.join(missing)} holds all")

    def check_complete_replica(self, identity: str, held: int) -> None:
        """Check that a replica marked complete for the newest view holds the highest confirmed version."""
        if held < self.highest_confirmed:
            raise InvariantViolated(
                f"the complete copy {identity} holds {held}, confirmed was {self.highest_confirmed}"
            )

    def on_primary_serving(self, epoch: int, identity: str) -> None:
        """Check that only one store ever reports that it serves an epoch."""
        owner = self.primary_by_epoch.setdefault(epoch, identity)
        if owner != identity:
            raise InvariantViolated(f"epoch {epoch} has two primaries")

    def on_published(self, stamp: list[int], document: Document) -> None:
        """Check that a document that a primary publishes lacks nothing that was confirmed."""
        if stamp < self.newest_published_stamp:
            return  # a primary that was frozen publishes an old state, which receivers skip by its stamp
        self.newest_published_stamp = stamp
        self._check_document(
            document.version, document.config, max(self.highest_confirmed, self.last_published), "published"
        )
        self.last_published = int(document.version or "0", 16)

    def check_durable(self, version: int, held: Mapping[str, int]) -> None:
        """Check that a confirmed version is on the disk of every replica in the view."""
        for identity, version_held in held.items():
            if version_held < version:
                raise InvariantViolated(
                    f"{version} was confirmed while the copy {identity} held {version_held}"
                )

    def on_order_result(self, version: int, content: bytes, result: OrderResult) -> None:
        """Record a confirmed order; one version is never confirmed with two contents."""
        if result.error:
            return
        self.highest_confirmed = max(self.highest_confirmed, version)
        held = self.contents.setdefault(version, content)
        if held != content:
            raise InvariantViolated(
                f"version {version} was confirmed with two contents: {held!r} and {content!r}"
            )

    def on_read_result(self, confirmed_before: int, result: OrderResult) -> None:
        """Check a read against `confirmed_before`, the highest version confirmed when it was submitted."""
        if not result.error:
            version = result.payload.partition(b"/")[0].decode()
            self._check_document(version, result.payload, confirmed_before, "read")

    def _check_document(self, version: str, content: bytes, minimum: int, operation: str) -> None:
        number = int(version or "0", 16)
        if number < minimum:
            raise InvariantViolated(f"{operation} {number} after {minimum} was confirmed")
        held = self.contents.get(number)
        if held is not None and held != content:
            raise InvariantViolated(f"{operation} version {number} as {content!r}, confirmed as {held!r}")


@dataclass
class EvacuationChecker:
    """Checks that no published document contradicts what the operator of a zone was told last."""

    confirmed: dict[str, bool] = field(default_factory=dict)  # by zone, while no later order has been sent
    confirmations: int = 0
    _newest_stamp: list[int] = field(default_factory=lambda: [0, 0])

    def on_sent(self, zone: str) -> None:
        """An operator begins a new order: from here on either state of the zone may be in force."""
        self.confirmed.pop(zone, None)

    def on_confirmed(self, zone: str, active: bool) -> None:
        """An operator got its order confirmed."""
        self.confirmed[zone] = active
        self.confirmations += 1

    def on_published(self, stamp: list[int], document: Document) -> None:
        """Check a document that a primary publishes, unless receivers skip it by its stamp."""
        if stamp >= self._newest_stamp:
            self._newest_stamp = stamp
            self.check_document(document, "published")

    def check_document(self, document: Document, operation: str) -> None:
        """Check the state of each zone whose last order was confirmed."""
        for zone, active in self.confirmed.items():
            if document.evacuations.get(zone, False) != active:
                raise InvariantViolated(
                    f"{operation}: evacuation of {zone} is {not active} after {active} was confirmed"
                )
