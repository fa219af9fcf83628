"""Deliberate mistakes in the store, applied one at a time, to show that the models detect them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from lupinreach.mesh.arrival import ArrivalClock
from lupinreach.mesh.messages import NOT_FENCED, Accepted, Install, Message, Order, Write
from lupinreach.mesh.model.disk import MemoryRecord
from lupinreach.mesh.store import replica as replica_module
from lupinreach.mesh.store.document import Document, Outcome
from lupinreach.mesh.store.members import Members
from lupinreach.mesh.store.replica import Replica
from lupinreach.mesh.store.serving import FULL_DOCUMENT, Primary, _written
from lupinreach.mesh.store.state import StoreState
from lupinreach.mesh.store.view import View
from lupinreach.mesh.store.voting import Acceptor, Phase, Proposal


@dataclass(frozen=True)
class Mistake:
    """One mistake: replaces an attribute of a class or module, or a dictionary entry.

    `build_replacement` receives the original and returns what stands in its place.
    """

    name: str
    description: str
    owner: Any
    attribute: Any
    build_replacement: Callable[[Any], Any]

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Apply the mistake for the duration of the block."""
        if isinstance(self.owner, dict):
            original = self.owner[self.attribute]
            self.owner[self.attribute] = self.build_replacement(original)
        else:
            original = self.owner.__dict__[self.attribute]
            setattr(self.owner, self.attribute, self.build_replacement(original))
        try:
            yield
        finally:
            if isinstance(self.owner, dict):
                self.owner[self.attribute] = original
            else:
                setattr(self.owner, self.attribute, original)


def _late_write(original: Any) -> Any:
    def apply_write(state: StoreState, message: Write) -> Message | None:
        if message.previous == FULL_DOCUMENT and (message.epoch, message.uid) == (
            state.view.epoch,
            state.view.uid,
        ):
            if state.sealed or state.identity not in state.view.copies:
                return None
            state.write(Document.from_list(message.document), message.incarnation)
            return _written(message, message.sequence)
        answer: Message | None = original(state, message)
        return answer

    return apply_write


def _unchecked_change(original: Any) -> Any:
    def apply_write(state: StoreState, message: Write) -> Message | None:
        same = (message.epoch, message.uid) == (state.view.epoch, state.view.uid)
        if (
            same
            and message.previous != FULL_DOCUMENT
            and not state.sealed
            and state.identity in state.view.copies
        ):
            state.write(Document.from_list(message.document, state.document), message.incarnation)
            return _written(message, message.sequence)
        answer: Message | None = original(state, message)
        return answer

    return apply_write


def _own_disk_ignored(original: Any) -> Any:
    def begin_round(self: Primary, now: float) -> None:
        try:
            original(self, now)
        except replica_module.DiskWriteError:
            assert self.round is not None
            self.round.waiting.discard(self._state.identity)

    return begin_round


def _written_by_round(original: Any) -> Any:
    def written(self: Primary, sender: str, message: Any) -> None:
        message.incarnation = self._state.incarnation
        original(self, sender, message)

    return written


def _installed_unsealed(original: Any) -> Any:
    def install(self: StoreState, epoch: int, uid: str, document: Document) -> None:
        complete = self.complete | {uid: epoch}
        self._record.save({"document": document.to_list(), "complete": complete})
        self.document = document
        self.complete = complete

    return install


def _unsynced_write(original: Any) -> Any:
    def write(self: StoreState, document: Document, incarnation: int) -> None:
        self.document = document
        self.complete = {self.view.uid: self.view.epoch}
        self.written_by = incarnation

    return write


def _unsealed(original: Any) -> Any:
    def seal(self: StoreState, uid: str, ballot_round: int) -> None:
        complete = self.complete | {uid: self.view.epoch + 1}
        self._record.save({"complete": complete, "round": ballot_round})
        self.complete = complete
        self.round = ballot_round

    return seal


def _seal_unsynced(original: Any) -> Any:
    def seal(self: StoreState, uid: str, ballot_round: int) -> None:
        record, self._record = self._record, MemoryRecord()
        original(self, uid, ballot_round)
        self._record = record

    return seal


def _marks_dropped(original: Any) -> Any:
    def learn(self: StoreState, view: View) -> None:
        self.complete = {uid: epoch for uid, epoch in self.complete.items() if uid == view.uid}
        original(self, view)

    return learn


def _no_wait_for_copies(original: Any) -> Any:
    def installed(self: Proposal, identity: str, now: float) -> Any:
        self.waiting.clear()
        return original(self, identity, now)

    return installed


def _no_adoption(original: Any) -> Any:
    def promise(self: Proposal, voter: str, message: Any, now: float) -> Any:
        message.accepted_view = None
        return original(self, voter, message, now)

    return promise


def _half_majority(original: Any) -> Any:
    return property(lambda self: max(1, len(self.voters) // 2))


def _ballots_ignored(original: Any) -> Any:
    def refusal(self: Acceptor, epoch: int, ballot: Any) -> Any:
        if self._state.view.epoch >= epoch:
            return original(self, epoch, ballot)
        return None

    return refusal


def _promise_unsynced(original: Any) -> Any:
    def promise(self: StoreState, epoch: int, ballot: Any) -> None:
        self.promised = (epoch, ballot)

    return promise


def _vote_unsynced(original: Any) -> Any:
    def accept(self: StoreState, acceptance: Any) -> None:
        self.promised = (acceptance.epoch, acceptance.ballot)
        self.accepted = acceptance

    return accept


def _one_vote(original: Any) -> Any:
    def vote(self: Proposal, voter: str, message: Accepted) -> bool:
        self.accepted.add(voter)
        return self.phase is Phase.ACCEPT and len(self.accepted) >= 1

    return vote


def _any_voter_proposes(original: Any) -> Any:
    def may_propose(self: Replica) -> bool:
        if self.view.epoch == 0:
            return bool(original.fget(self))
        return self.view.voter(self.identity) is not None

    return property(may_propose)


def _serves_at_once(original: Any) -> Any:
    def start(self: Primary, now: float) -> None:
        original(self, now)
        assert self.round is not None
        self.round.waiting.clear()

    return start


def _first_answer_counts(original: Any) -> Any:
    def written(self: Primary, sender: str, message: Any) -> None:
        original(self, sender, message)
        if self.round is not None and sender not in self.round.waiting:
            self.round.waiting.clear()

    return written


def _mark_without_document(original: Any) -> Any:
    def install(self: StoreState, epoch: int, uid: str, document: Document) -> None:
        original(self, epoch, uid, self.document)

    return install


def _same_incarnation(original: Any) -> Any:
    def begin_incarnation(self: StoreState) -> None:
        self.incarnation = 1

    return begin_incarnation


def _numbers_alone(original: Any) -> Any:
    def with_configuration(self: Document, version: str, config: bytes) -> Any:
        document, _ = original(self, version, config)
        return document, Outcome.DONE

    return with_configuration


def _late_installation(original: Any) -> Any:
    def on_install(self: Replica, sender: str, message: Any) -> None:
        if message.epoch < self.view.epoch:
            return original(self, sender, message)
        if message.epoch == self.view.epoch:
            self.state.install(message.epoch, message.uid, Document.from_list(message.document))
            return None
        return original(self, sender, message)

    return on_install


def _disk_unheeded(original: Any) -> Any:
    return lambda self, identity: not self.is_alive(identity)


def _evacuation_unfenced(original: Any) -> Any:
    def with_evacuation(self: Document, order: Order, active: bool) -> tuple[Document, Outcome]:
        result: tuple[Document, Outcome] = original(self, replace(order, known_sequence=NOT_FENCED), active)
        return result

    return with_evacuation


def _unchanged_without_sequence(original: Any) -> Any:
    def with_evacuation(self: Document, order: Order, active: bool) -> tuple[Document, Outcome]:
        document, outcome = original(self, order, active)
        unchanged = self.evacuations.get(order.zone, False) == active
        return (self if unchanged else document), outcome

    return with_evacuation


def _arrival_when_read(original: Any) -> Any:
    return lambda self: self._marks[-1]


MISTAKES = (
    Mistake(
        "late-write",
        "a write of a whole document is accepted whatever its sequence",
        replica_module,
        "apply_write",
        _late_write,
    ),
    Mistake(
        "change-unchecked",
        "a change is applied to a document of any sequence",
        replica_module,
        "apply_write",
        _unchecked_change,
    ),
    Mistake(
        "own-disk-ignored",
        "a primary acknowledges although its own disk refused the write",
        Primary,
        "begin_round",
        _own_disk_ignored,
    ),
    Mistake(
        "disk-unheeded",
        "a replica whose disk refuses writes stays one",
        Members,
        "has_failed",
        _disk_unheeded,
    ),
    Mistake(
        "numbers-alone",
        "orders are compared by number, not by content",
        Document,
        "_with_configuration",
        _numbers_alone,
    ),
    Mistake(
        "written-by-round",
        "an answer to a write of an earlier incarnation counts",
        Primary,
        "written",
        _written_by_round,
    ),
    Mistake(
        "installed-unsealed",
        "a replica in a proposed view still accepts writes of the old view",
        StoreState,
        "install",
        _installed_unsealed,
    ),
    Mistake(
        "unsynced-write", "a backup answers before its write is synced", StoreState, "write", _unsynced_write
    ),
    Mistake("unsealed", "a proposer still accepts writes of the old view", StoreState, "seal", _unsealed),
    Mistake(
        "seal-unsynced",
        "the seal is not on disk and lost with the process",
        StoreState,
        "seal",
        _seal_unsynced,
    ),
    Mistake(
        "marks-dropped",
        "learning a view late drops the completeness mark of a later one",
        StoreState,
        "learn",
        _marks_dropped,
    ),
    Mistake(
        "no-wait-for-copies",
        "a proposer does not wait for the replicas in its view",
        Proposal,
        "installed",
        _no_wait_for_copies,
    ),
    Mistake("no-adoption", "an accepted view is not adopted", Proposal, "promise", _no_adoption),
    Mistake("half-is-majority", "half of the voters decide", View, "majority", _half_majority),
    Mistake("ballots-ignored", "votes are given to lower ballots", Acceptor, "_refusal", _ballots_ignored),
    Mistake(
        "promise-unsynced",
        "a promise is not on disk and lost with the process",
        StoreState,
        "promise",
        _promise_unsynced,
    ),
    Mistake(
        "vote-unsynced",
        "a vote is not on disk and lost with the process",
        StoreState,
        "accept",
        _vote_unsynced,
    ),
    Mistake("one-vote", "one vote decides", Proposal, "vote", _one_vote),
    Mistake(
        "any-voter-proposes",
        "a voter that is not a replica in the view proposes",
        Replica,
        "_may_propose",
        _any_voter_proposes,
    ),
    Mistake(
        "serves-at-once",
        "a primary serves before its backups are up to date",
        Primary,
        "start",
        _serves_at_once,
    ),
    Mistake(
        "first-answer-counts",
        "a write counts as complete once one backup has it",
        Primary,
        "written",
        _first_answer_counts,
    ),
    Mistake(
        "mark-without-document",
        "a replica is marked complete without the document",
        StoreState,
        "install",
        _mark_without_document,
    ),
    Mistake(
        "same-incarnation",
        "a restarted primary writes under its old incarnation",
        StoreState,
        "begin_incarnation",
        _same_incarnation,
    ),
    Mistake(
        "late-installation",
        "a late installation changes a replica in the decided view",
        replica_module._HANDLERS,
        Install,
        _late_installation,
    ),
    Mistake(
        "evacuation-unfenced",
        "an evacuation order is executed whatever was ordered since its registry sent it",
        Document,
        "_with_evacuation",
        _evacuation_unfenced,
    ),
    Mistake(
        "unchanged-without-sequence",
        "an evacuation order that changes nothing takes no sequence",
        Document,
        "_with_evacuation",
        _unchanged_without_sequence,
    ),
    Mistake(
        "arrival-when-read",
        "a registry takes a call for new when it reads it, however long it stood still",
        ArrivalClock,
        "arrived_after",
        _arrival_when_read,
    ),
)
