"""Replication of the document: the primary's writes to all copies of its view, and how backups apply them.

A write is fenced by the view's epoch and uid, the primary's incarnation and the document's sequence, so that
late, duplicate and reordered writes change nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.messages import Message, Order, OrderResult, Outdated, Write, Written
from lupinreach.mesh.store.document import DepartureRecord, Document, OrderKind, Outcome
from lupinreach.mesh.store.state import StoreState

RESEND_AFTER_S = 0.3  # a write that a backup has not answered for this long is sent again
BACKUP_TIMEOUT_S = 0.8  # a backup that has not answered a write for this long counts as failed
MAX_QUEUED_ORDERS = 256  # orders that wait for the next write
FULL_DOCUMENT = -1  # `Write.previous` of a write that contains the complete document

Reply = Callable[[OrderResult], None]


@dataclass(slots=True)
class PendingOrder:
    """An order that is not answered yet, with the callback for its result."""

    order: Order
    reply: Reply
    outcome: Outcome = Outcome.DONE

    def refuse(self, kind: ErrorKind) -> None:
        """Answer with an error: as far as this store knows, the order was not executed."""
        self.reply(OrderResult(self.order.number, int(kind)))


@dataclass(slots=True)
class WriteRound:
    """One write to all copies, and the orders that are answered when all have confirmed it."""

    number: int
    document: Document
    waiting: set[str]  # copies that have not confirmed it, the primary itself included
    orders: list[PendingOrder]
    started_at: float
    sent_at: float = field(default=0.0)


class Primary:
    """The write rounds of a store while it is the primary of a view, between `start` and `stop`."""

    def __init__(self, state: StoreState, send: Callable[[str, Message], None]) -> None:
        self._state = state
        self._send = send
        self._held: dict[str, int] = {}  # by backup: the sequence of the document that it last confirmed
        self._queued: list[PendingOrder] = []
        self._rounds = 0
        self.round: WriteRound | None = None

    def start(self, now: float) -> None:
        """Begin a new incarnation with a round that brings all backups up to date."""
        self._held = {}
        self._state.begin_incarnation()
        self.begin_round(now)

    def stop(self) -> list[PendingOrder]:
        """Drop the current round and the queue; returns the unanswered orders."""
        unanswered = self._queued + (self.round.orders if self.round is not None else [])
        self.round = None
        self._queued = []
        return unanswered

    def submit(self, pending: PendingOrder, now: float) -> None:
        """Queue an order; it is answered once it is on all copies."""
        if len(self._queued) >= MAX_QUEUED_ORDERS:
            pending.refuse(ErrorKind.STORE_UNAVAILABLE)
            return
        self._queued.append(pending)
        if self.round is None:
            self.begin_round(now)

    @property
    def has_queued(self) -> bool:
        """Whether orders wait for the next round."""
        return bool(self._queued)

    def begin_round(self, now: float) -> None:
        """Apply the queued orders to the document and write the result to all copies."""
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
            values = document.to_list(held=previous)
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
        """A backup confirms a round's document, or requests the complete document."""
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
        """End and return the current round if all copies hold its document; else None."""
        current = self.round
        if current is None or current.waiting:
            return None
        self.round = None
        return current

    def _send_whole(self, identity: str, current: WriteRound) -> None:
        self._held.pop(identity, None)
        self._send_write(identity, current.document, current.document)

    def resend(self, now: float) -> None:
        """Send the complete document again to backups that have not answered for `RESEND_AFTER_S`."""
        current = self.round
        if current is None or now - current.sent_at <= RESEND_AFTER_S:
            return
        current.sent_at = now
        for identity in sorted(current.waiting - {self._state.identity}):
            self._send_whole(identity, current)

    def unresponsive_backups(self, now: float) -> set[str]:
        """The backups that have not answered the current write for `BACKUP_TIMEOUT_S`."""
        current = self.round
        if current is None or now - current.started_at <= BACKUP_TIMEOUT_S:
            return set()
        return current.waiting - {self._state.identity}

    def on_link_up(self, identity: str) -> None:
        """A new link to a store is up: messages sent on the previous one may be lost."""
        self._held.pop(identity, None)
        if self.round is not None and identity in self.round.waiting:
            self._send_whole(identity, self.round)


def order_results(done: WriteRound) -> list[tuple[PendingOrder, OrderResult]]:
    """The results to send for the orders of a finished round."""
    answers = []
    for pending in done.orders:
        order = pending.order
        if pending.outcome is Outcome.CONFLICT:
            result = OrderResult(order.number, int(ErrorKind.VERSION_CONFLICT), held=done.document.version)
        elif pending.outcome is Outcome.SUPERSEDED:
            result = OrderResult(
                order.number, int(ErrorKind.ORDER_SUPERSEDED), sequence=done.document.sequence
            )
        elif order.kind == OrderKind.READ_CONFIGURATION:
            result = OrderResult(order.number, 0, done.document.config)
        elif order.kind == OrderKind.RECORD_DEPARTURES:
            recorded = done.document.departures_of(DepartureRecord.unpack(order.payload))
            result = OrderResult(order.number, 0, recorded.pack())
        else:
            result = OrderResult(order.number)
        answers.append((pending, result))
    return answers


def apply_write(state: StoreState, message: Write) -> Message | None:
    """Apply a write of the primary at a backup; returns the answer, or None if it must not answer."""
    view = state.view
    if (view.epoch, view.uid) != (message.epoch, message.uid):
        is_old = view.epoch > message.epoch
        return Outdated(message.epoch, [], view.to_list()) if is_old else None
    if state.sealed or state.identity not in view.copies:
        return None
    known = state.written_by == message.incarnation and state.is_complete
    held = state.document.sequence
    if state.written_by > message.incarnation or (known and message.sequence < held):
        return None  # late: a newer write of the same view is already stored
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
