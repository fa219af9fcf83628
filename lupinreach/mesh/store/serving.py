"""Writes of a primary to all copies of its view, and the backup's side of them.

A write is fenced by the view's epoch and uid, by the incarnation of the primary and by the sequence of the
document: whatever comes late, twice or out of order changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.messages import Message, Order, OrderResult, Outdated, Write, Written
from lupinreach.mesh.store.document import Document, OrderKind, Outcome
from lupinreach.mesh.store.state import StoreState

RESEND_AFTER_S = 0.3  # a write that a backup has not answered within this is sent again
BACKUP_TIMEOUT_S = 0.8  # and after so long the backup counts as failed
MAX_QUEUED_ORDERS = 256  # orders that wait for a write
FULL_DOCUMENT = -1  # `Write.previous` of one that holds the whole document

Reply = Callable[[OrderResult], None]


@dataclass(slots=True)
class PendingOrder:
    """An order and the way its result goes back."""

    order: Order
    reply: Reply
    outcome: Outcome = Outcome.DONE

    def refuse(self, kind: ErrorKind) -> None:
        """It was not carried out, as far as this store knows."""
        self.reply(OrderResult(self.order.number, int(kind)))


@dataclass(slots=True)
class WriteRound:
    """One write to all copies, and the orders that are answered once it is done."""

    number: int
    document: Document
    waiting: set[str]  # copies, the primary itself among them
    orders: list[PendingOrder]
    started_at: float
    sent_at: float = field(default=0.0)


class Primary:
    """Rounds of one store while it is the primary of a view. Ended by `stop`, begun anew by `start`."""

    def __init__(self, state: StoreState, send: Callable[[str, Message], None]) -> None:
        self._state = state
        self._send = send
        self._held: dict[str, int] = {}  # sequence that each backup is known to hold
        self._queued: list[PendingOrder] = []
        self._rounds = 0
        self.round: WriteRound | None = None

    def start(self, now: float) -> None:
        """Bring all backups up to date under a new incarnation; the first round is done when they are."""
        self._held = {}
        self._state.begin_incarnation()
        self.begin_round(now)

    def stop(self) -> list[PendingOrder]:
        """Forget what is under way; the orders that were not answered."""
        unanswered = self._queued + (self.round.orders if self.round is not None else [])
        self.round = None
        self._queued = []
        return unanswered

    def submit(self, pending: PendingOrder, now: float) -> None:
        """Take an order; it is answered once it is on all copies."""
        if len(self._queued) >= MAX_QUEUED_ORDERS:
            pending.refuse(ErrorKind.STORE_UNAVAILABLE)
            return
        self._queued.append(pending)
        if self.round is None:
            self.begin_round(now)

    @property
    def has_queued(self) -> bool:
        return bool(self._queued)

    def begin_round(self, now: float) -> None:
        """Write what the queued orders make of the document to all copies."""
        orders, self._queued = self._queued, []
        previous = self._state.document
        document = previous
        for pending in orders:
            document, pending.outcome = document.apply_order(pending.order)
        self._rounds += 1
        me = self._state.identity
        self.round = WriteRound(self._rounds, document, set(self._state.view.copies), orders, now, now)
        for identity in self._state.view.copies:
            if identity != me:
                self._send_write(identity, document, previous)
        if document is not previous:
            self._state.write(document, self._state.incarnation)
        self.round.waiting.discard(me)

    def _send_write(self, identity: str, document: Document, previous: Document) -> None:
        assert self.round is not None
        state = self._state
        if self._held.get(identity) == previous.sequence:
            base = previous.sequence
            values = document.to_list(with_config=document.version != previous.version)
        else:
            base, values = FULL_DOCUMENT, document.to_list()
        view = state.view
        self._send(
            identity,
            Write(
                view.epoch, view.uid, document.sequence, base, values, self.round.number, state.incarnation
            ),
        )

    def written(self, sender: str, message: Written) -> None:
        """A backup holds a round's document, or asks for the whole of it."""
        current = self.round
        if current is None or (message.incarnation, message.round) != (
            self._state.incarnation,
            current.number,
        ):
            return
        if message.whole:
            self._send_whole(sender, current)
            return
        self._held[sender] = message.sequence
        current.waiting.discard(sender)

    def finish_round(self) -> WriteRound | None:
        """The present round if all copies hold its document."""
        current = self.round
        if current is None or current.waiting:
            return None
        self.round = None
        return current

    def _send_whole(self, identity: str, current: WriteRound) -> None:
        self._held.pop(identity, None)
        self._send_write(identity, current.document, current.document)

    def resend(self, now: float) -> None:
        """Send the present write again, whole, to the backups that have long not answered."""
        current = self.round
        if current is None or now - current.sent_at <= RESEND_AFTER_S:
            return
        current.sent_at = now
        for identity in sorted(current.waiting - {self._state.identity}):
            self._send_whole(identity, current)

    def unresponsive_backups(self, now: float) -> set[str]:
        """The backups that have left the present write unanswered for too long."""
        current = self.round
        if current is None or now - current.started_at <= BACKUP_TIMEOUT_S:
            return set()
        return current.waiting - {self._state.identity}

    def on_link_up(self, identity: str) -> None:
        """A link to a store came up: what was sent on the one before may be lost."""
        self._held.pop(identity, None)
        if self.round is not None and identity in self.round.waiting:
            self._send_whole(identity, self.round)


def order_results(done: WriteRound) -> list[tuple[PendingOrder, OrderResult]]:
    """What each order of a finished round is answered."""
    answers = []
    for pending in done.orders:
        order = pending.order
        if pending.outcome is Outcome.CONFLICT:
            result = OrderResult(order.number, int(ErrorKind.VERSION_CONFLICT), held=done.document.version)
        elif order.kind == OrderKind.READ_CONFIGURATION:
            result = OrderResult(order.number, 0, done.document.config)
        else:
            result = OrderResult(order.number)
        answers.append((pending, result))
    return answers


def apply_write(state: StoreState, message: Write) -> Message | None:
    """A backup's answer to a write of its primary; None where it may give none."""
    view = state.view
    if (view.epoch, view.uid) != (message.epoch, message.uid):
        is_old = view.epoch > message.epoch
        return Outdated(message.epoch, [], view.to_list()) if is_old else None
    if state.sealed or state.identity not in view.copies:
        return None
    known = state.written_by == message.incarnation and state.is_complete
    held = state.document.sequence
    if state.written_by > message.incarnation or (known and message.sequence < held):
        return None  # late: a newer write of the same view is held
    if known and message.sequence == held:
        return _written(message, held)
    if message.previous == FULL_DOCUMENT:
        state.write(Document.from_list(message.document), message.incarnation)
        return _written(message, message.sequence)
    if not known or message.previous != held:
        return _written(message, held, whole=True)
    state.write(Document.from_list(message.document, state.document), message.incarnation)
    return _written(message, message.sequence)


def _written(message: Write, sequence: int, whole: bool = False) -> Written:
    return Written(message.epoch, sequence, whole, message.round, message.incarnation)
