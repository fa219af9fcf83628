"""The state machine of one store, without I/O: time and messages are passed in, and `Record` and `Port` are injected.

Orders are written to every copy of the view before they are acknowledged; voters never see them. Voters only
decide the next view, one epoch after the other (`voting.py`). Only a copy that is complete for the current view
may propose the next, so that the proposer holds everything that was acknowledged. It seals itself first, after
which the primary can acknowledge nothing more, and brings the new copies up to date before the view is decided.
`docs/control.md` lists the invariants and how they are enforced.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum
from itertools import takewhile
from typing import Any, Protocol

from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.events import Event
from lupinreach.mesh.messages import (
    Accept,
    Accepted,
    Decided,
    Install,
    Installed,
    Message,
    Order,
    Outdated,
    Prepare,
    Promise,
    Write,
    Written,
)
from lupinreach.mesh.store.disk import DiskWriteError, Record
from lupinreach.mesh.store.document import Document
from lupinreach.mesh.store.members import SUSPECT_AFTER_S, Members
from lupinreach.mesh.store.serving import PendingOrder, Primary, Reply, apply_write, order_results
from lupinreach.mesh.store.state import StoreState
from lupinreach.mesh.store.view import Liveness, Member, RegionOf, Tolerance, View, next_copies, next_voters
from lupinreach.mesh.store.voting import Acceptor, Phase, Proposal

TAKEOVER_STEP_S = 0.4  # additional takeover delay for each earlier backup in the order of copies
PROPOSAL_PHASE_TIMEOUT_S = 0.8  # a proposal that stays in one phase for this long is abandoned and made anew
BOOTSTRAP_TIMEOUT_S = 2.5  # longest wait for all seeds and the voters that the tolerance needs
BOOTSTRAP_STEP_S = 0.6  # additional wait for each earlier seed in the list
STALL_THRESHOLD_S = 0.5  # a longer gap between ticks is a stall of this process; peers don't count as silent
DISK_CHECK_INTERVAL_S = 0.5  # between two test writes to a failed disk


class Role(Enum):
    """Current role of a store."""

    FOLLOWING = "following"  # backup, witness or newcomer
    PROPOSING = "proposing"  # proposer of a next view
    ACTIVATING = "activating"  # primary of a decided view that brings its backups up to date
    SERVING = "serving"


class Port(Protocol):
    """Outgoing interface of a replica."""

    def send(self, identity: str, message: Message) -> None:
        """Send a message to another store, if there is a link to it."""
        ...

    def log(self, event: Event, **facts: Any) -> None:
        """Write an event to the log."""
        ...

    def publish(self, stamp: list[int], document: Document) -> None:
        """Announce a newly committed document."""
        ...


class Replica:
    """State machine of one store, whether it is primary, backup or witness."""

    def __init__(
        self,
        record: Record,
        port: Port,
        host: str,
        zone: str,
        seed_hosts: list[str],
        first_start: bool,
        tolerance: Tolerance,
        region_of: RegionOf = str,
        rng: random.Random | None = None,
    ) -> None:
        self._port = port
        self._seeds = seed_hosts
        self._tolerance = tolerance
        self._region_of = region_of
        self._rng = rng or random.Random(random.getrandbits(64))
        self.state = StoreState(record, seed_hosts, first_start, self._rng)
        if self.state.is_new:
            port.log(Event.IDENTITY_DRAWN, identity=self.state.identity, first_start=first_start)
        self.me = Member(self.state.identity, host, zone)
        self.members = Members(self.me, self.state.born_first)
        self.role = Role.FOLLOWING
        self.healthy = True  # the disk takes writes
        self.leaving = False  # this process is shutting down
        self.committed: Document | None = None  # as primary: the newest document that all copies hold
        self._acceptor = Acceptor(self.state, self.members, self._learn)
        self._primary = Primary(self.state, port.send)
        self._proposal: Proposal | None = None
        self._highest_round = self.state.round  # of all ballots known to this store
        self._now = 0.0
        self._retry_at = 0.0
        self._disk_check_at = 0.0

    # Public state.

    @property
    def identity(self) -> str:
        return self.state.identity

    @property
    def born_first(self) -> bool:
        return self.state.born_first

    @property
    def view(self) -> View:
        return self.state.view

    @property
    def document(self) -> Document:
        return self.state.document

    @property
    def serving(self) -> bool:
        """Whether it accepts orders and reads: primary of its view, and in contact with a majority."""
        return self.role is Role.SERVING and self.members.reaches_majority(self.view)

    @property
    def stamp(self) -> list[int]:
        """Epoch of the view and sequence of the document."""
        return [self.view.epoch, self.document.sequence]

    @property
    def handed_over(self) -> bool:
        """Whether no data depends on this store any more: it is not a copy of the current view."""
        return self.view.epoch > 0 and self.identity not in self.view.copies

    # Inputs. The disk may fail during any of these.

    def record_contact(
        self, member: Member, born_first: bool, now: float, healthy: bool = True, leaving: bool = False
    ) -> None:
        """Record a hello or heartbeat of a store."""
        self.members.record_contact(member, born_first, now, healthy, leaving)

    def on_link_up(self, identity: str) -> None:
        """A new link to a store is up: messages sent on the previous one may be lost."""
        self._primary.on_link_up(identity)

    def learn(self, view: View) -> None:
        """Adopt a view that is known to be decided, if it is newer."""
        self._handling_disk_errors(self._learn, view)

    def handle(self, sender: str, message: Message) -> None:
        """Process a message of another store; `sender` is its identity."""
        self._handling_disk_errors(self._dispatch, sender, message)

    def tick(self, now: float) -> None:
        """Advance timers; to be called several times a second."""
        self._handling_disk_errors(self._tick, now)

    def submit(self, order: Order, reply: Reply) -> None:
        """Execute an order; the reply follows once it is on all copies, or has failed."""
        pending = PendingOrder(order, reply)
        if not self.serving:
            pending.refuse(ErrorKind.NO_PRIMARY)
            return
        self._handling_disk_errors(self._submit, pending)

    def leave(self) -> None:
        """This process is shutting down: other stores are to take over its copy and its roles."""
        self.leaving = True

    def _handling_disk_errors(self, work: Callable[..., None], *arguments: Any) -> None:
        try:
            work(*arguments)
        except DiskWriteError as failed:
            self._disk_failed(failed)

    def _dispatch(self, sender: str, message: Message) -> None:
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, sender, message)

    def _reply(self, sender: str, message: Message | None) -> None:
        if message is None:
            return
        if sender == self.identity:
            self._dispatch(sender, message)
        else:
            self._port.send(sender, message)

    # The disk.

    def _disk_failed(self, failed: DiskWriteError) -> None:
        """Step down; this store promises nothing to others until the disk takes writes again."""
        if self.healthy:
            self._port.log(Event.DISK_FAILED, why=str(failed))
        self.healthy = False
        self._disk_check_at = self._now + DISK_CHECK_INTERVAL_S
        self._step_down()

    def _check_disk(self, now: float) -> None:
        if now < self._disk_check_at:
            return
        self.state.check_disk()
        self.healthy = True
        self._port.log(Event.DISK_RECOVERED)

    # Changes of the view.

    def _learn(self, view: View) -> None:
        if view.epoch <= self.view.epoch:
            return
        self.state.learn(view)
        self._port.log(
            Event.VIEW_DECIDED, epoch=view.epoch, primary=view.primary, copies=",".join(view.copies)
        )
        self._step_down()

    def _step_down(self) -> None:
        """Become a follower: drop any proposal, and reject unanswered orders."""
        if self.role is Role.SERVING:
            self._port.log(Event.PRIMARY_STEPPED_DOWN, epoch=self.view.epoch)
        self.role = Role.FOLLOWING
        self._proposal = None
        self.committed = None
        for pending in self._primary.stop():
            pending.refuse(ErrorKind.STORE_UNAVAILABLE)

    @property
    def _may_propose(self) -> bool:
        """Whether this store is a copy of the current view and holds everything that was acknowledged up to it."""
        if not self.state.is_complete:
            return False
        if self.view.epoch == 0:
            return self.born_first and self.me.host in self._seeds
        return self.identity in self.view.copies

    # Time.

    def _tick(self, now: float) -> None:
        stalled = bool(self._now) and now - self._now > STALL_THRESHOLD_S
        self._now = now
        self.members.advance(now, stalled)
        if stalled and self._primary.round is not None:
            self._primary.round.started_at = now
        if not self.healthy:
            self._check_disk(now)
        elif self.role is Role.PROPOSING:
            self._tick_proposing(now)
        elif self.role is Role.FOLLOWING:
            self._tick_following(now)
        else:
            self._tick_primary(now)

    def _tick_proposing(self, now: float) -> None:
        proposal = self._proposal
        assert proposal is not None
        if now - proposal.phase_started_at <= PROPOSAL_PHASE_TIMEOUT_S:
            return
        if proposal.phase is Phase.INSTALL:
            for identity in proposal.waiting:
                self.members.avoid(identity)
        self._abandon_proposal()

    def _abandon_proposal(self) -> None:
        self._proposal = None
        self.role = Role.FOLLOWING
        self._retry_at = self._now + self._rng.uniform(0.1, 0.5)

    def _tick_following(self, now: float) -> None:
        if now < self._retry_at or not self._may_propose:
            return
        if self.view.epoch == 0:
            self._tick_bootstrap(now)
        elif self.state.sealed:
            self._propose(now)  # a sealed view can't acknowledge orders any more: a new view is needed
        elif self.view.primary == self.identity:
            self._activate(now)
        elif self._is_takeover_due():
            self._port.log(Event.MEMBER_SUSPECTED, member=self.view.primary)
            self._propose(now)

    def _is_takeover_due(self) -> bool:
        """Whether this backup should take over: the first fit one at once, later ones after a longer silence."""
        primary = self.view.primary
        backups = self.view.copies[1:]
        place = len(list(takewhile(lambda identity: identity != self.identity, backups)))
        if self.members.silent_s(primary) > SUSPECT_AFTER_S + TAKEOVER_STEP_S * place:
            return True
        if not self.members.has_failed(primary) and not self.members.is_leaving(primary):
            return False
        return self.members.is_alive(primary) and all(map(self.members.has_failed, backups[:place]))

    def _tick_bootstrap(self, now: float) -> None:
        place = self._seeds.index(self.me.host)
        known = len(self.members.liveness(self.view).alive)
        enough = known >= max(self._tolerance.min_voters, len(self._seeds))
        if place == 0 and enough or self.members.age_s() > BOOTSTRAP_TIMEOUT_S + BOOTSTRAP_STEP_S * place:
            self._propose(now)

    def _tick_primary(self, now: float) -> None:
        for identity in self._primary.unresponsive_backups(now):
            self.members.avoid(identity)
        if self._needs_new_view():
            self._propose(now)
        else:
            self._primary.resend(now)

    def _needs_new_view(self) -> bool:
        view = self.view
        if any(self.members.has_failed(identity) for identity in view.copies):
            return True
        if self.leaving:
            return False  # a backup takes over and proposes the next view
        liveness = self.members.liveness(view)
        if set(next_voters(view, liveness, self._tolerance, self._region_of)) != set(view.voters):
            return True
        if not any(self.members.is_leaving(identity) for identity in view.copies):
            return False
        remaining_copies = self._choose_copies(
            liveness, view.voters, set(liveness.copy_candidates) - set(liveness.leaving)
        )
        return remaining_copies is not None

    # Proposing a view.

    def _choose_copies(
        self, liveness: Liveness, voters: tuple[Member, ...], candidates: set[str]
    ) -> tuple[str, ...] | None:
        return next_copies(self.me, self.view.copies, voters, candidates, self._tolerance, self._region_of)

    def _next_view(self, uid: str) -> View | None:
        """The view to propose; None if too few stores are alive to hold its copies."""
        liveness = self.members.liveness(self.view)
        voters = next_voters(self.view, liveness, self._tolerance, self._region_of)
        available = set(liveness.copy_candidates)
        for candidates in (available - set(liveness.leaving), available, set(liveness.alive)):
            copies = self._choose_copies(liveness, voters, candidates)
            if copies is not None:
                return View(self.view.epoch + 1, uid, self.identity, copies, voters)
        return None

    def _propose(self, now: float) -> None:
        self._retry_at = now + self._rng.uniform(0.2, 0.4)
        uid = f"{self._rng.getrandbits(64):016x}"
        view = self._next_view(uid)
        if view is None:
            if self.role is Role.SERVING:
                self._step_down()
            return
        self._highest_round += 1
        self.state.seal(uid, self._highest_round)
        self._step_down()
        self.role = Role.PROPOSING
        proposal = Proposal(self.view, view, (self._highest_round, self.identity), now)
        proposal.waiting = set(view.copies) - {self.identity}
        self._proposal = proposal
        self._port.log(
            Event.VIEW_PROPOSED, epoch=view.epoch, copies=",".join(view.copies), voters=len(view.voters)
        )
        install = Install(view.epoch, uid, self.document.to_list())
        for identity in sorted(proposal.waiting):
            self._port.send(identity, install)
        if not proposal.waiting:
            self._to_voters(proposal.installed(self.identity, now))

    def _to_voters(self, message: Message | None) -> None:
        """Send to all voters of the current view, this store included."""
        if message is None:
            return
        for identity in self.members.voters(self.view):
            if identity == self.identity:
                self._dispatch(identity, message)
            else:
                self._port.send(identity, message)

    def _on_install(self, sender: str, message: Install) -> None:
        if message.epoch <= self.view.epoch:
            self._port.send(sender, Outdated(message.epoch, [], self.view.to_list()))
            return
        if self.role in (Role.SERVING, Role.ACTIVATING):
            self._step_down()
        self.state.install(message.epoch, message.uid, Document.from_list(message.document))
        self._retry_at = self._now + PROPOSAL_PHASE_TIMEOUT_S + self._rng.uniform(0.2, 0.6)
        self._port.send(sender, Installed(message.epoch, message.uid))

    def _on_installed(self, sender: str, message: Installed) -> None:
        proposal = self._proposal
        if proposal is not None and proposal.view.uid == message.uid:
            self._to_voters(proposal.installed(sender, self._now))

    def _on_prepare(self, sender: str, message: Prepare) -> None:
        self._reply(sender, self._acceptor.prepare(message))

    def _on_accept(self, sender: str, message: Accept) -> None:
        self._reply(sender, self._acceptor.accept(message))

    def _on_promise(self, sender: str, message: Promise) -> None:
        proposal = self._proposal
        vote = self.members.voter_name_in(self.view, sender)
        if proposal is not None and vote is not None:
            self._to_voters(proposal.promise(vote, message, self._now))

    def _on_accepted(self, sender: str, message: Accepted) -> None:
        proposal = self._proposal
        vote = self.members.voter_name_in(self.view, sender)
        if proposal is None or vote is None or not proposal.vote(vote, message):
            return
        view = proposal.view
        decided = Decided(view.to_list())
        for identity in self.members.others:
            self._port.send(identity, decided)
        self._learn(view)
        if view.primary == self.identity and self._may_propose:
            self._activate(self._now)

    def _on_outdated(self, sender: str, message: Outdated) -> None:
        if message.view is not None:
            self._learn(View.from_list(message.view))
            return
        if not message.ballot:
            return
        self._highest_round = max(self._highest_round, message.ballot[0])
        if self._proposal is not None and message.epoch == self._proposal.view.epoch:
            self._abandon_proposal()

    def _on_decided(self, sender: str, message: Decided) -> None:
        self._learn(View.from_list(message.view))

    # Replication, as primary and as backup.

    def _activate(self, now: float) -> None:
        """As primary of a decided view, bring the backups up to date before serving."""
        self.role = Role.ACTIVATING
        self._primary.start(now)
        self._finish_rounds()

    def _submit(self, pending: PendingOrder) -> None:
        self._primary.submit(pending, self._now)
        self._finish_rounds()

    def _on_write(self, sender: str, message: Write) -> None:
        self._reply(sender, apply_write(self.state, message))

    def _on_written(self, sender: str, message: Written) -> None:
        self._primary.written(sender, message)
        self._finish_rounds()

    def _finish_rounds(self) -> None:
        """Answer the orders that are on all copies, and begin a round for those queued meanwhile."""
        while (done := self._primary.finish_round()) is not None:
            if self.role is Role.ACTIVATING:
                self.role = Role.SERVING
                self._port.log(Event.PRIMARY_SERVING, epoch=self.view.epoch, sequence=self.document.sequence)
            if self.committed is not done.document:
                self.committed = done.document
                self._port.publish(self.stamp, done.document)
            for pending, result in order_results(done):
                pending.reply(result)
            if self._primary.has_queued and self._primary.round is None and self.role is Role.SERVING:
                self._primary.begin_round(self._now)


_HANDLERS: dict[type[Message], Callable[[Replica, str, Any], None]] = {
    Install: Replica._on_install,
    Installed: Replica._on_installed,
    Prepare: Replica._on_prepare,
    Promise: Replica._on_promise,
    Accept: Replica._on_accept,
    Accepted: Replica._on_accepted,
    Outdated: Replica._on_outdated,
    Decided: Replica._on_decided,
    Write: Replica._on_write,
    Written: Replica._on_written,
}
