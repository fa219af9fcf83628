"""One operator's order at a registry, from the call until its result; without I/O, so that models can play it."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.messages import NOT_FENCED, Order, OrderResult
from lupinreach.mesh.store.document import OrderKind

ORDER_TIMEOUT_S = 0.9  # below the one second of silence after which operators turn to another registry


@dataclass(frozen=True, slots=True)
class OrderFailure:
    """Why an order was not confirmed."""

    kind: ErrorKind
    detail: str = ""


OrderOutcome = Result[bytes, OrderFailure]


class OperatorOrder:
    """An order that is sent to the primary store, again where it was not executed, until its deadline.

    An evacuation has no version that would order it among others. So it is sent only while its caller still waits for
    this registry, and together with the newest sequence that the registry knew at such a time: any order that
    the caller, or whoever took over from it, gets confirmed elsewhere after that has a higher one, and the store then
    refuses this order, however late it comes.
    """

    def __init__(
        self,
        kind: OrderKind,
        deadline: float,
        version: str = "",
        payload: bytes = b"",
        zone: str = "",
        known_sequence: int = NOT_FENCED,
    ) -> None:
        self.kind = kind
        self.deadline = deadline  # loop time; later the caller may have given the order up
        self.version = version
        self.zone = zone
        self.failure = OrderFailure(ErrorKind.CALL_TOO_OLD)  # the answer if the deadline passes now
        self.may_resend_at_once = False
        self._payload = payload
        self._known_sequence = known_sequence

    def expired(self, now: float) -> bool:
        """Whether it must not be sent any more."""
        return now >= self.deadline

    def message(self, number: int) -> Order:
        """The next message to the primary store."""
        self.failure = OrderFailure(ErrorKind.STORE_UNAVAILABLE)
        self.may_resend_at_once = False
        return Order(number, int(self.kind), self.version, self._payload, self.zone, self._known_sequence)

    def no_primary(self) -> None:
        """Note that there is no primary store to send it to."""
        self.failure = OrderFailure(ErrorKind.NO_PRIMARY)

    def on_result(self, result: OrderResult) -> OrderOutcome | None:
        """Process the result of a message; returns the outcome, or None if the order may be sent again."""
        if not result.error:
            return Ok(result.payload)
        if result.error == ErrorKind.VERSION_CONFLICT:
            return Err(OrderFailure(ErrorKind.VERSION_CONFLICT, f"version {result.held}"))
        if result.error == ErrorKind.ORDER_SUPERSEDED:
            self.failure = OrderFailure(ErrorKind.ORDER_SUPERSEDED)
            self.may_resend_at_once = True
            self._known_sequence = result.sequence
        return None
