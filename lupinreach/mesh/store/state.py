"""The durable state of one store: one method for each change, which is on disk before it is in memory.

Every method may raise `DiskWriteError`; memory is then as before, so that nothing that is not on disk is ever
promised to another store.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from lupinreach.mesh.store.disk import Record
from lupinreach.mesh.store.document import Document
from lupinreach.mesh.store.view import View, bootstrap_view

BOOTSTRAP_UID = ""  # of the view before the first one

Ballot = tuple[int, str]  # round, identity of the proposer


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The view that this store accepted last, and under which ballot."""

    epoch: int
    ballot: Ballot
    view: View

    def to_list(self) -> list[Any]:
        """As plain values, for the disk."""
        return [self.epoch, list(self.ballot), self.view.to_list()]

    @classmethod
    def from_list(cls, values: list[Any]) -> Acceptance:
        """The inverse of `to_list`."""
        return cls(values[0], (values[1][0], values[1][1]), View.from_list(values[2]))


class StoreState:
    """What a store must never forget. A disk that is empty makes a new identity."""

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
        self.sealed_epoch = int(values.get("sealed", -1))  # views up to this one: nothing is written any more
        document = values.get("document")
        self.document = Document.from_list(document) if document else Document()
        # Views, decided or proposed, for which the document holds all: their epochs by uid.
        complete = values.get("complete", {})
        if isinstance(complete, list):  # written before 0.3.0: uids alone
            complete = dict.fromkeys(complete, self.view.epoch)
        self.complete: dict[str, int] = complete
        self.incarnation = int(values.get("incarnation", 0))  # of this store as a primary
        self.written_by = int(values.get("written_by", 0))  # incarnation whose write was taken last
        self.round = int(values.get("round", 0))  # of the newest ballot of its own

    @property
    def sealed(self) -> bool:
        """If this store takes no write of its present view any more."""
        return self.sealed_epoch >= self.view.epoch

    @property
    def is_complete(self) -> bool:
        """If the document holds all that was acknowledged up to the present view."""
        return self.view.uid in self.complete

    def learn(self, view: View) -> None:
        """A view above the present one is known to be decided; what later ones count on is kept."""
        complete = {
            uid: epoch for uid, epoch in self.complete.items() if uid == view.uid or epoch > view.epoch
        }
        self._record.save({"view": view.to_list(), "complete": complete, "written_by": 0})
        self.view = view
        self.complete = complete
        self.written_by = 0

    def seal(self, uid: str, ballot_round: int) -> None:
        """Propose a view: nothing more is written in the present one with this store's help."""
        complete = self.complete | {uid: self.view.epoch + 1}
        self._record.save({"sealed": self.view.epoch, "complete": complete, "round": ballot_round})
        self.sealed_epoch = self.view.epoch
        self.complete = complete
        self.round = ballot_round

    def install(self, epoch: int, uid: str, document: Document) -> None:
        """Hold the document of a proposed view; the views before it are sealed, as they are at its proposer."""
        complete = self.complete | {uid: epoch}
        sealed = max(self.sealed_epoch, epoch - 1)
        self._record.save({"document": document.to_list(), "complete": complete, "sealed": sealed})
        self.document = document
        self.complete = complete
        self.sealed_epoch = sealed

    def promise(self, epoch: int, ballot: Ballot) -> None:
        """Take part in no lower ballot on the view of an epoch."""
        self._record.save({"promised": [epoch, list(ballot)]})
        self.promised = (epoch, ballot)

    def accept(self, acceptance: Acceptance) -> None:
        """Vote for a view."""
        promised = [acceptance.epoch, list(acceptance.ballot)]
        self._record.save({"promised": promised, "accepted": acceptance.to_list()})
        self.promised = (acceptance.epoch, acceptance.ballot)
        self.accepted = acceptance

    def begin_incarnation(self) -> None:
        """Start to write as primary: what an earlier start of it sent is older from now on."""
        self._record.save({"incarnation": self.incarnation + 1})
        self.incarnation += 1

    def write(self, document: Document, incarnation: int) -> None:
        """Hold a document written in the present view by an incarnation of its primary."""
        complete = {self.view.uid: self.view.epoch}
        changes: dict[str, Any] = {"document": document.to_list()}
        if complete != self.complete or incarnation != self.written_by:
            changes |= {"complete": complete, "written_by": incarnation}
        self._record.save(changes)
        self.document = document
        self.complete = complete
        self.written_by = incarnation

    def check_disk(self) -> None:
        """Write something that changes nothing."""
        self._record.save({"identity": self.identity})
