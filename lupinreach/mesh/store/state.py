"""The durable state of one store: each method makes one change, on disk first and then in memory.

Every method may raise `DiskWriteError` and then leaves the memory unchanged, so that a store never promises
anything to another store that is not on its disk.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from lupinreach.mesh.store.disk import Record
from lupinreach.mesh.store.document import Document
from lupinreach.mesh.store.view import View, bootstrap_view

BOOTSTRAP_UID = ""  # uid of the bootstrap view

Ballot = tuple[int, str]  # round, identity of the proposer


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The last view that this store accepted, and the ballot of that vote."""

    epoch: int
    ballot: Ballot
    view: View

    def to_list(self) -> list[Any]:
        """Serialize to plain values, for the disk."""
        return [self.epoch, list(self.ballot), self.view.to_list()]

    @classmethod
    def from_list(cls, values: list[Any]) -> Acceptance:
        """Inverse of `to_list`."""
        return cls(values[0], (values[1][0], values[1][1]), View.from_list(values[2]))


class StoreState:
    """State that must survive restarts. An empty disk gets a new identity."""

    def __init__(self, record: Record, seed_hosts: list[str], first_start: bool, rng: random.Random) -> None:
        self._record = record
        values = record.load()
        self.is_new = "identity" not in values
        if self.is_new:
            values = {
                "identity": f"{rng.getrandbits(64):016x}",
                "born_first": first_start,
                "complete": {BOOTSTRAP_UID: 0} if first_start else {},
            }
            record.save(values)
        self.identity: str = values["identity"]
        self.born_first = bool(values["born_first"])
        view = values.get("view")
        self.view = View.from_list(view) if view else bootstrap_view(seed_hosts)
        promised = values.get("promised")
        self.promised: tuple[int, Ballot] = (
            (promised[0], (promised[1][0], promised[1][1])) if promised else (-1, (0, ""))
        )
        accepted = values.get("accepted")
        self.accepted = Acceptance.from_list(accepted) if accepted else None
        self.sealed_epoch = int(values.get("sealed", -1))  # writes of views up to this epoch are rejected
        document = values.get("document")
        self.document = Document.from_list(document) if document else Document()
        # Epochs by uid of the views, decided or proposed, whose acknowledged data the document includes in full.
        complete = values.get("complete", {})
        if isinstance(complete, list):  # format before 0.3.0: uids only
            complete = dict.fromkeys(complete, self.view.epoch)
        self.complete: dict[str, int] = complete
        self.incarnation = int(values.get("incarnation", 0))  # of this store as primary
        self.written_by = int(values.get("written_by", 0))  # primary's incarnation in the last applied write
        self.round = int(values.get("round", 0))  # of this store's last own ballot

    @property
    def sealed(self) -> bool:
        """Whether this store rejects all further writes of its current view."""
        return self.sealed_epoch >= self.view.epoch

    @property
    def is_complete(self) -> bool:
        """Whether the document includes everything that was acknowledged up to the current view."""
        return self.view.uid in self.complete

    def learn(self, view: View) -> None:
        """Adopt a decided view with a higher epoch; completeness marks for it and for later views are kept."""
        complete = {
            uid: epoch for uid, epoch in self.complete.items() if uid == view.uid or epoch > view.epoch
        }
        self._record.save({"view": view.to_list(), "complete": complete, "written_by": 0})
        self.view = view
        self.complete = complete
        self.written_by = 0

    def seal(self, uid: str, ballot_round: int) -> None:
        """Begin to propose a view: from here on this store rejects writes of the current one."""
        complete = self.complete | {uid: self.view.epoch + 1}
        self._record.save({"sealed": self.view.epoch, "complete": complete, "round": ballot_round})
        self.sealed_epoch = self.view.epoch
        self.complete = complete
        self.round = ballot_round

    def install(self, epoch: int, uid: str, document: Document) -> None:
        """Store the document of a proposed view and, as its proposer did, seal the views before it."""
        complete = self.complete | {uid: epoch}
        sealed = max(self.sealed_epoch, epoch - 1)
        self._record.save({"document": document.to_list(), "complete": complete, "sealed": sealed})
        self.document = document
        self.complete = complete
        self.sealed_epoch = sealed

    def promise(self, epoch: int, ballot: Ballot) -> None:
        """Promise to take part in no lower ballot for the view of an epoch."""
        self._record.save({"promised": [epoch, list(ballot)]})
        self.promised = (epoch, ballot)

    def accept(self, acceptance: Acceptance) -> None:
        """Vote for a view."""
        promised = [acceptance.epoch, list(acceptance.ballot)]
        self._record.save({"promised": promised, "accepted": acceptance.to_list()})
        self.promised = (acceptance.epoch, acceptance.ballot)
        self.accepted = acceptance

    def begin_incarnation(self) -> None:
        """Start to write as primary: writes of earlier incarnations count as older from now on."""
        self._record.save({"incarnation": self.incarnation + 1})
        self.incarnation += 1

    def write(self, document: Document, incarnation: int) -> None:
        """Store a document that an incarnation of the current view's primary has written."""
        complete = {self.view.uid: self.view.epoch}
        changes: dict[str, Any] = {"document": document.to_list()}
        if complete != self.complete or incarnation != self.written_by:
            changes |= {"complete": complete, "written_by": incarnation}
        self._record.save(changes)
        self.document = document
        self.complete = complete
        self.written_by = incarnation

    def check_disk(self) -> None:
        """Test the disk with a write that changes nothing."""
        self._record.save({"identity": self.identity})
