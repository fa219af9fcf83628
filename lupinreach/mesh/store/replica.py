"""The state machine of one store. Pure: time, messages and the disk come in and go out through a port.

Orders are written to every copy of the view before they are acknowledged; voters never see them. What voters
decide, one epoch after the other, is the next view: a register with rounds (prepare, accept). Only a copy of
the present view that is complete for it may propose the next, so whatever was acknowledged is in its hands;
it seals itself first, after which the old primary can acknowledge nothing more, and brings the new copies up
to date before the view is decided. See `docs/mesh.md`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
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
    OrderResult,
    Outdated,
    Prepare,
    Promise,
    Write,
    Written,
)
from lupinreach.mesh.store.disk import Record
from lupinreach.mesh.store.document import Document, OrderKind
from lupinreach.mesh.store.view import (
    Liveness,
    Member,
    Tolerance,
    View,
    founding_view,
    next_copies,
    next_voters,
    seed_identity,
)

SUSPECT_S = 0.8  # a member not heard for so long counts as down
LONG_DEAD_S = 1.5  # and after so long its vote may go to another
TAKEOVER_STEP_S = 0.4  # more patience for each place further back in the order of copies
PROPOSAL_S = 0.8  # a proposal that is not decided within this is made again
FOUNDING_S = 2.5  # the longest wait for as many members as the tolerance asks for
FOUNDING_STEP_S = 0.6  # more patience for each place further back among the seeds
RESEND_S = 0.3  # a write that a backup has not answered within this is sent again
STALL_S = 0.5  # a tick later than this: the process stood still, and has heard nobody for that reason
ORDER_LIMIT = 256  # orders that wait for a write

Ballot = tuple[int, str]


class Role(Enum):
    """What a store is doing."""

    FOLLOWING = "following"  # backup, witness or newcomer
    PROPOSING = "proposing"
    ACTIVATING = "activating"  # primary of a decided view, bringing its backups up to date
    SERVING = "serving"


class Phase(Enum):
    """Steps of a proposal."""

    INSTALL = 1
    PREPARE = 2
    ACCEPT = 3


class Port(Protocol):
    """The world of a replica."""

    def send(self, identity: str, message: Message) -> None: ...

    def log(self, event: Event, **facts: Any) -> None: ...

    def publish(self, stamp: list[int], document: Document) -> None: ...


Reply = Callable[[OrderResult], None]


@dataclass(slots=True)
class _Proposal:
    view: View
    ballot: Ballot
    began: float
    phase: Phase = Phase.INSTALL
    waiting: set[str] = field(default_factory=set)  # copies that are not up to date yet
    promised: dict[str, tuple[Ballot, View] | None] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Round:
    """One write to all backups, and the orders that are answered once it is done."""

    number: int
    document: Document
    waiting: set[str]
    orders: list[tuple[Order, Reply]]
    sent_at: float = 0.0


class Replica:
    """One store."""

    def __init__(
        self,
        record: Record,
        port: Port,
        host: str,
        zone: str,
        seed_hosts: list[str],
        first_start: bool,
        tolerance: Tolerance,
        region_of: Callable[[str], str] = lambda zone: zone,
        chance: random.Random | None = None,
    ) -> None:
        self._record = record
        self._port = port
        self._seeds = seed_hosts
        self._tolerance = tolerance
        self._region_of = region_of
        self._chance = chance or random.Random(random.getrandbits(64))
        self._load(record.load(), host, zone, first_start)
        self.role = Role.FOLLOWING
        self._proposal: _Proposal | None = None
        self._round: _Round | None = None
        self._rounds = 0
        self._backup_sequence: dict[str, int] = {}  # what each backup is known to hold
        self._queued: list[tuple[Order, Reply]] = []
        self._heard: dict[str, float] = {}
        self._members: dict[str, tuple[Member, bool]] = {}  # with: born at the first start
        self._now = 0.0
        self._began: float | None = None
        self._retry_at = 0.0
        self._highest_round = 0
        self.committed: Document | None = None  # as primary: the newest acknowledged document

    # The durable part.

    def _load(self, values: dict[str, Any], host: str, zone: str, first_start: bool) -> None:
        if "identity" not in values:
            identity = f"{self._chance.getrandbits(64):016x}"
            values = {
                "identity": identity,
                "born_first": first_start,
                "complete": [""] if first_start else [],
            }
            self._record.save(values)
            self._port.log(Event.IDENTITY_DRAWN, identity=identity, first_start=first_start)
        self.me = Member(values["identity"], host, zone)
        self.born_first = bool(values["born_first"])
        view = values.get("view")
        self.view = View.from_list(view) if view else founding_view(self._seeds)
        self._promised: tuple[int, Ballot] = _epoch_ballot(values.get("promised"))
        accepted = values.get("accepted")
        self._accepted: tuple[int, Ballot, View] | None = None
        if accepted:
            self._accepted = (accepted[0], tuple(accepted[1]), View.from_list(accepted[2]))
        self._sealed_epoch = int(values.get("sealed", -1))
        document = values.get("document")
        self.document = Document.from_list(document) if document else Document()
        self._complete = set(values.get("complete", []))

    def _save_document(self, document: Document, complete: set[str]) -> None:
        self._record.save({"document": document.to_list(), "complete": sorted(complete)})
        self.document = document
        self._complete = complete

    @property
    def identity(self) -> str:
        return self.me.identity

    @property
    def serving(self) -> bool:
        return self.role is Role.SERVING

    @property
    def stamp(self) -> list[int]:
        return [self.view.epoch, self.document.sequence]

    @property
    def _is_copy(self) -> bool:
        """If this store may propose the next view: it holds all that was acknowledged in this one."""
        if self.view.uid not in self._complete:
            return False
        if self.view.epoch == 0:
            return self.born_first and self.me.host in self._seeds
        return self.identity in self.view.copies

    def _voter_names(self, identity: str) -> set[str]:
        """The names under which a store may vote."""
        if identity == self.identity:
            return {identity, seed_identity(self.me.host)} if self.born_first else {identity}
        found = self._members.get(identity)
        if found is None:
            return {identity}
        member, born_first = found
        return {identity, seed_identity(member.host)} if born_first else {identity}

    def _may_vote(self, view: View) -> bool:
        return any(view.voter(name) is not None for name in self._voter_names(self.identity))

    # Time and membership.

    def heard(self, member: Member, born_first: bool, now: float) -> None:
        """A store gave a sign of life."""
        for identity, (known, _) in list(self._members.items()):
            if known.host == member.host and identity != member.identity:
                del self._members[identity]
                self._heard.pop(identity, None)
        self._members[member.identity] = (member, born_first)
        self._heard[member.identity] = now

    def learn(self, view: View) -> None:
        """A view is known to be decided."""
        if view.epoch <= self.view.epoch:
            return
        complete = {view.uid} if view.uid in self._complete else set()
        self._record.save({"view": view.to_list(), "complete": sorted(complete)})
        self.view = view
        self._complete = complete
        self._port.log(
            Event.VIEW_DECIDED, epoch=view.epoch, primary=view.primary, copies=",".join(view.copies)
        )
        self._step_down()

    def _step_down(self) -> None:
        """Follow: whatever was under way here as primary or proposer is over."""
        if self.role is Role.SERVING:
            self._port.log(Event.PRIMARY_STEPPED_DOWN, epoch=self.view.epoch)
        self.role = Role.FOLLOWING
        self._proposal = None
        self.committed = None
        waiting = self._queued + (self._round.orders if self._round else [])
        self._round = None
        self._queued = []
        for order, reply in waiting:
            reply(OrderResult(order.number, int(ErrorKind.STORE_UNAVAILABLE)))

    def tick(self, now: float) -> None:
        """To be called several times a second."""
        if self._began is None:
            self._began = now
        if now - self._now > STALL_S and self._now:
            self._heard = dict.fromkeys(self._heard, now)
        self._now = now
        if self.role is Role.PROPOSING:
            assert self._proposal is not None
            if now - self._proposal.began > PROPOSAL_S:
                self._proposal = None
                self.role = Role.FOLLOWING
                self._retry_at = now + self._chance.uniform(0.1, 0.5)
        elif self.role is Role.FOLLOWING:
            self._tick_following(now)
        else:
            self._tick_primary(now)

    def _silent_s(self, identity: str) -> float:
        if identity == self.identity:
            return 0.0
        began = self._began if self._began is not None else self._now
        return self._now - self._heard.get(identity, began)

    def _alive(self) -> dict[str, Member]:
        alive = {self.identity: self.me}
        for identity, (member, _) in self._members.items():
            if self._silent_s(identity) < SUSPECT_S:
                alive[identity] = member
        return alive

    def _tick_following(self, now: float) -> None:
        if now < self._retry_at or not self._is_copy:
            return
        if self.view.epoch == 0:
            self._tick_founding(now)
        elif self._sealed_epoch == self.view.epoch:
            self._propose(now)  # the view can acknowledge nothing any more: only a next one helps
        elif self.view.primary == self.identity:
            self._activate(now)
        else:
            place = self.view.copies.index(self.identity)
            if self._silent_s(self.view.primary) > SUSPECT_S + TAKEOVER_STEP_S * (place - 1):
                self._port.log(Event.MEMBER_SUSPECTED, member=self.view.primary)
                self._propose(now)

    def _tick_founding(self, now: float) -> None:
        assert self._began is not None
        place = self._seeds.index(self.me.host)
        known = len(self._alive())
        if (
            place == 0
            and known >= max(self._tolerance.least_voters, len(self._seeds))
            or now - self._began > FOUNDING_S + FOUNDING_STEP_S * place
        ):
            self._propose(now)

    def _tick_primary(self, now: float) -> None:
        if self._needs_new_view():
            self._propose(now)
        elif self._round is not None and now - self._round.sent_at > RESEND_S:
            self._resend(now)

    def _needs_new_view(self) -> bool:
        view = self.view
        if any(self._silent_s(identity) > SUSPECT_S for identity in view.copies):
            return True
        return set(next_voters(view, self._liveness(), self._tolerance)) != set(view.voters)

    def _liveness(self) -> Liveness:
        dead = [voter.identity for voter in self.view.voters if self._silent_s(voter.identity) > LONG_DEAD_S]
        return Liveness(self._alive(), dead)

    # Proposing a view.

    def _propose(self, now: float) -> None:
        liveness = self._liveness()
        voters = next_voters(self.view, liveness, self._tolerance)
        copies = next_copies(
            self.me, self.view.copies, voters, liveness.alive, self._tolerance, self._region_of
        )
        self._retry_at = now + self._chance.uniform(0.2, 0.4)
        if copies is None:
            if self.role is Role.SERVING:
                self._step_down()
            return
        uid = f"{self._chance.getrandbits(64):016x}"
        view = View(self.view.epoch + 1, uid, self.identity, copies, voters)
        self._seal(uid)
        self._step_down()
        self._highest_round += 1
        self.role = Role.PROPOSING
        self._proposal = _Proposal(view, (self._highest_round, self.identity), now)
        self._proposal.waiting = set(copies) - {self.identity}
        self._port.log(Event.VIEW_PROPOSED, epoch=view.epoch, copies=",".join(copies), voters=len(voters))
        for identity in sorted(self._proposal.waiting):
            self._port.send(identity, Install(view.epoch, uid, self.document.to_list()))
        self._prepare_once_installed()

    def _seal(self, uid: str) -> None:
        """From here on nothing more is acknowledged in the present view with this copy's help."""
        self._sealed_epoch = self.view.epoch
        self._complete = self._complete | {uid}
        self._record.save({"sealed": self._sealed_epoch, "complete": sorted(self._complete)})

    def on_install(self, sender: str, message: Install) -> None:
        if message.epoch <= self.view.epoch:
            self._port.send(sender, Outdated(message.epoch, [], self.view.to_list()))
            return
        if self.role in (Role.SERVING, Role.ACTIVATING):
            self._step_down()
        self._save_document(Document.from_list(message.document), self._complete | {message.uid})
        self._port.send(sender, Installed(message.epoch, message.uid))

    def on_installed(self, sender: str, message: Installed) -> None:
        proposal = self._proposal
        if proposal is not None and proposal.view.uid == message.uid:
            proposal.waiting.discard(sender)
            self._prepare_once_installed()

    def _prepare_once_installed(self) -> None:
        proposal = self._proposal
        if proposal is None or proposal.waiting or proposal.phase is not Phase.INSTALL:
            return
        proposal.phase = Phase.PREPARE
        self._to_voters(Prepare(proposal.view.epoch, list(proposal.ballot), self.view.to_list()))

    def _to_voters(self, message: Message) -> None:
        """Send to all voters of the present view, itself among them."""
        for identity in [self.identity, *self._members]:
            if any(self.view.voter(name) for name in self._voter_names(identity)):
                if identity == self.identity:
                    self.handle(identity, message)
                else:
                    self._port.send(identity, message)

    def on_prepare(self, sender: str, message: Prepare) -> None:
        base = View.from_list(message.base)
        ballot: Ballot = (message.ballot[0], message.ballot[1])
        if self.view.epoch < base.epoch:
            self.learn(base)
        if not self._takes_part(sender, message.epoch, ballot):
            return
        self._record.save({"promised": [message.epoch, list(ballot)]})
        self._promised = (message.epoch, ballot)
        promise = Promise(message.epoch, list(ballot))
        if self._accepted is not None and self._accepted[0] == message.epoch:
            promise.accepted_ballot = list(self._accepted[1])
            promise.accepted_view = self._accepted[2].to_list()
        self._reply(sender, promise)

    def _takes_part(self, sender: str, epoch: int, ballot: Ballot) -> bool:
        """If this store votes on the view of an epoch under a ballot; a proposer that is late is told."""
        if self.view.epoch >= epoch:
            self._reply(sender, Outdated(epoch, [], self.view.to_list()))
            return False
        if self.view.epoch != epoch - 1 or not self._may_vote(self.view):
            return False
        if self._promised > (epoch, ballot):
            self._reply(sender, Outdated(epoch, list(self._promised[1])))
            return False
        return True

    def _reply(self, sender: str, message: Message) -> None:
        if sender == self.identity:
            self.handle(sender, message)
        else:
            self._port.send(sender, message)

    def _vote_of(self, sender: str) -> str | None:
        """The name among the voters that a store's vote counts for."""
        return next((name for name in self._voter_names(sender) if self.view.voter(name)), None)

    def on_promise(self, sender: str, message: Promise) -> None:
        proposal = self._proposal
        vote = self._vote_of(sender)
        if proposal is None or proposal.phase is not Phase.PREPARE or vote is None:
            return
        if message.epoch != proposal.view.epoch or tuple(message.ballot) != proposal.ballot:
            return
        accepted = None
        if message.accepted_view is not None and message.accepted_ballot is not None:
            ballot: Ballot = (message.accepted_ballot[0], message.accepted_ballot[1])
            accepted = (ballot, View.from_list(message.accepted_view))
        proposal.promised[vote] = accepted
        if len(proposal.promised) < self.view.majority:
            return
        earlier = [found for found in proposal.promised.values() if found is not None]
        if earlier:
            proposal.view = max(earlier, key=lambda found: found[0])[1]
        proposal.phase = Phase.ACCEPT
        self._to_voters(Accept(proposal.view.epoch, list(proposal.ballot), proposal.view.to_list()))

    def on_accept(self, sender: str, message: Accept) -> None:
        ballot: Ballot = (message.ballot[0], message.ballot[1])
        if not self._takes_part(sender, message.epoch, ballot):
            return
        view = View.from_list(message.view)
        self._record.save(
            {
                "promised": [message.epoch, list(ballot)],
                "accepted": [message.epoch, list(ballot), view.to_list()],
            }
        )
        self._promised = (message.epoch, ballot)
        self._accepted = (message.epoch, ballot, view)
        self._reply(sender, Accepted(message.epoch, list(ballot)))

    def on_accepted(self, sender: str, message: Accepted) -> None:
        proposal = self._proposal
        vote = self._vote_of(sender)
        if proposal is None or proposal.phase is not Phase.ACCEPT or vote is None:
            return
        if message.epoch != proposal.view.epoch or tuple(message.ballot) != proposal.ballot:
            return
        proposal.accepted.add(vote)
        if len(proposal.accepted) < self.view.majority:
            return
        view = proposal.view
        told = Decided(view.to_list())
        for identity in self._members:
            self._port.send(identity, told)
        self.learn(view)
        if view.primary == self.identity and self._is_copy:
            self._activate(self._now)

    def on_outdated(self, sender: str, message: Outdated) -> None:
        if message.view is not None:
            self.learn(View.from_list(message.view))
        elif message.ballot and self._proposal is not None and message.epoch == self._proposal.view.epoch:
            self._highest_round = max(self._highest_round, message.ballot[0])
            self._proposal = None
            self.role = Role.FOLLOWING
            self._retry_at = self._now + self._chance.uniform(0.1, 0.5)

    def on_decided(self, sender: str, message: Decided) -> None:
        self.learn(View.from_list(message.view))

    # Serving as primary.

    def _activate(self, now: float) -> None:
        """Primary of a decided view: bring the backups up to date, then serve."""
        self.role = Role.ACTIVATING
        self._backup_sequence = {}
        self._begin_round(now)

    def submit(self, order: Order, reply: Reply) -> None:
        """Take an order; the reply comes once it is on all copies, or can't be."""
        if self.role is not Role.SERVING:
            reply(OrderResult(order.number, int(ErrorKind.NO_PRIMARY)))
        elif len(self._queued) >= ORDER_LIMIT:
            reply(OrderResult(order.number, int(ErrorKind.STORE_UNAVAILABLE)))
        else:
            self._queued.append((order, reply))
            if self._round is None:
                self._begin_round(self._now)

    def _begin_round(self, now: float) -> None:
        orders, self._queued = self._queued, []
        document = self.document
        for order, _ in orders:
            document = document.after(OrderKind(order.kind), order.version, order.payload, order.zone)
        self._rounds += 1
        backups = set(self.view.copies) - {self.identity}
        self._round = _Round(self._rounds, document, set(backups), orders, now)
        previous = self.document
        for identity in sorted(backups):
            self._send_write(identity, document, previous)
        if document is not previous:
            self._save_document(document, self._complete)
        self._commit_if_written()

    def _send_write(self, identity: str, document: Document, previous: Document) -> None:
        assert self._round is not None
        follows = self._backup_sequence.get(identity) == previous.sequence
        if document.sequence == previous.sequence and follows:
            base, values = document.sequence, document.to_list(with_config=False)
        elif follows:
            base, values = (
                previous.sequence,
                document.to_list(with_config=document.version != previous.version),
            )
        else:
            base, values = -1, document.to_list()
        self._port.send(
            identity,
            Write(self.view.epoch, self.view.uid, document.sequence, base, values, self._round.number),
        )

    def on_write(self, sender: str, message: Write) -> None:
        view = self.view
        if (view.epoch, view.uid) != (message.epoch, message.uid) or self.identity not in view.copies:
            if view.epoch > message.epoch:
                self._port.send(sender, Outdated(message.epoch, [], view.to_list()))
            return
        if self._sealed_epoch == view.epoch:
            return
        if message.previous < 0:
            self._save_document(Document.from_list(message.document), {view.uid})
        elif message.previous != self.document.sequence or view.uid not in self._complete:
            self._port.send(sender, Written(message.epoch, self.document.sequence, True, message.round))
            return
        elif message.sequence != self.document.sequence:
            self._save_document(Document.from_list(message.document, self.document), {view.uid})
        self._port.send(sender, Written(message.epoch, message.sequence, False, message.round))

    def on_written(self, sender: str, message: Written) -> None:
        current = self._round
        if current is None or message.epoch != self.view.epoch or message.round != current.number:
            return
        if message.whole:
            self._backup_sequence.pop(sender, None)
            self._send_write(sender, current.document, current.document)
            return
        self._backup_sequence[sender] = message.sequence
        current.waiting.discard(sender)
        self._commit_if_written()

    def _commit_if_written(self) -> None:
        current = self._round
        if current is None or current.waiting:
            return
        self._round = None
        if self.role is Role.ACTIVATING:
            self.role = Role.SERVING
            self._port.log(Event.PRIMARY_SERVING, epoch=self.view.epoch, sequence=self.document.sequence)
        if self.committed is not current.document:
            self.committed = current.document
            self._port.publish(self.stamp, current.document)
        for order, reply in current.orders:
            payload = current.document.config if order.kind == OrderKind.READ_CONFIGURATION else b""
            reply(OrderResult(order.number, 0, payload))
        if self._queued and self._round is None and self.role is Role.SERVING:
            self._begin_round(self._now)

    def _resend(self, now: float) -> None:
        """Send the present write again, whole, to the backups that have not answered."""
        assert self._round is not None
        self._round.sent_at = now
        for identity in sorted(self._round.waiting):
            self._backup_sequence.pop(identity, None)
            self._send_write(identity, self._round.document, self._round.document)

    def link_up(self, identity: str) -> None:
        """A link to a store came up: what was sent on the one before may be lost."""
        self._backup_sequence.pop(identity, None)
        current = self._round
        if current is not None and identity in current.waiting:
            self._send_write(identity, current.document, current.document)

    # Messages.

    def handle(self, sender: str, message: Message) -> None:
        """Take in a message of another store; `sender` is its identity."""
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, sender, message)


def _epoch_ballot(values: list[Any] | None) -> tuple[int, Ballot]:
    if not values:
        return -1, (0, "")
    return values[0], (values[1][0], values[1][1])


_HANDLERS: dict[type[Message], Callable[[Replica, str, Any], None]] = {
    Install: Replica.on_install,
    Installed: Replica.on_installed,
    Prepare: Replica.on_prepare,
    Promise: Replica.on_promise,
    Accept: Replica.on_accept,
    Accepted: Replica.on_accepted,
    Outdated: Replica.on_outdated,
    Decided: Replica.on_decided,
    Write: Replica.on_write,
    Written: Replica.on_written,
}
