"""Agreement on the next view: single-decree Paxos for each epoch among the voters of the current view.

A proposer that finds an already accepted view adopts it. Ballots are never reused, since the round is on disk
before it is used. Methods return the message to send.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from lupinreach.mesh.messages import Accept, Accepted, Message, Outdated, Prepare, Promise
from lupinreach.mesh.store.members import Members
from lupinreach.mesh.store.state import Acceptance, Ballot, StoreState
from lupinreach.mesh.store.view import View


class Acceptor:
    """The Paxos acceptor of one store."""

    def __init__(self, state: StoreState, members: Members, learn: Callable[[View], None]) -> None:
        self._state = state
        self._members = members
        self._learn = learn

    def prepare(self, message: Prepare) -> Message | None:
        """Return a promise, a rejection, or None if this store has no vote."""
        base = View.from_list(message.base)
        if self._state.view.epoch < base.epoch:
            self._learn(base)
        ballot: Ballot = (message.ballot[0], message.ballot[1])
        refusal = self._refusal(message.epoch, ballot)
        if refusal is not None:
            return refusal
        if not self._may_vote(message.epoch):
            return None
        self._state.promise(message.epoch, ballot)
        promise = Promise(message.epoch, list(ballot))
        accepted = self._state.accepted
        if accepted is not None and accepted.epoch == message.epoch:
            promise.accepted_ballot = list(accepted.ballot)
            promise.accepted_view = accepted.view.to_list()
        return promise

    def accept(self, message: Accept) -> Message | None:
        """Return the vote, a rejection, or None if this store has no vote."""
        ballot: Ballot = (message.ballot[0], message.ballot[1])
        refusal = self._refusal(message.epoch, ballot)
        if refusal is not None:
            return refusal
        if not self._may_vote(message.epoch):
            return None
        self._state.accept(Acceptance(message.epoch, ballot, View.from_list(message.view)))
        return Accepted(message.epoch, list(ballot))

    def _may_vote(self, epoch: int) -> bool:
        view = self._state.view
        return (
            view.epoch == epoch - 1
            and self._members.voter_name_in(view, self._members.me.identity) is not None
        )

    def _refusal(self, epoch: int, ballot: Ballot) -> Outdated | None:
        """The rejection for a proposer whose view is already decided or whose ballot is outbid; else None."""
        if self._state.view.epoch >= epoch:
            return Outdated(epoch, [], self._state.view.to_list())
        if self._state.promised > (epoch, ballot):
            return Outdated(epoch, list(self._state.promised[1]))
        return None


class Phase(Enum):
    """Phase of a proposal."""

    INSTALL = 1
    PREPARE = 2
    ACCEPT = 3


@dataclass(slots=True)
class Proposal:
    """One attempt to have a next view decided."""

    base: View
    view: View
    ballot: Ballot
    phase_started_at: float
    phase: Phase = Phase.INSTALL
    waiting: set[str] = field(default_factory=set)  # copies that have not confirmed the document yet
    promised: dict[str, Acceptance | None] = field(default_factory=dict)  # by voter: its earlier vote
    accepted: set[str] = field(default_factory=set)  # voters that accepted the view

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self.phase_started_at = now

    def installed(self, identity: str, now: float) -> Prepare | None:
        """A copy holds the document; returns the `Prepare` for the voters once all copies do."""
        self.waiting.discard(identity)
        if self.waiting or self.phase is not Phase.INSTALL:
            return None
        self._enter(Phase.PREPARE, now)
        return Prepare(self.view.epoch, list(self.ballot), self.base.to_list())

    def promise(self, voter: str, message: Promise, now: float) -> Accept | None:
        """A voter promised; with a majority, returns the `Accept` for the view or for one accepted before."""
        if self.phase is not Phase.PREPARE or not self._is_answer(message.epoch, message.ballot):
            return None
        accepted = None
        if message.accepted_view is not None and message.accepted_ballot is not None:
            ballot: Ballot = (message.accepted_ballot[0], message.accepted_ballot[1])
            accepted = Acceptance(message.epoch, ballot, View.from_list(message.accepted_view))
        self.promised[voter] = accepted
        if len(self.promised) < self.base.majority:
            return None
        earlier = [found for found in self.promised.values() if found is not None]
        if earlier:
            self.view = max(earlier, key=lambda found: found.ballot).view
        self._enter(Phase.ACCEPT, now)
        return Accept(self.view.epoch, list(self.ballot), self.view.to_list())

    def vote(self, voter: str, message: Accepted) -> bool:
        """A voter accepted; returns whether a majority has, which decides the view."""
        if self.phase is not Phase.ACCEPT or not self._is_answer(message.epoch, message.ballot):
            return False
        self.accepted.add(voter)
        return len(self.accepted) >= self.base.majority

    def _is_answer(self, epoch: int, ballot: list[object]) -> bool:
        return epoch == self.view.epoch and tuple(ballot) == self.ballot
