"""The ways in which a connection can end, and the end of the attempt on it that each one means."""

from __future__ import annotations

from enum import Enum

from lupinreach.model import AttemptEnd


class ConnectionEnd(Enum):
    """How a connection, or one exchange on it, ended. The texts are counter names and log fields."""

    # A complete answer was received.
    SERVED = "served"
    REJECTED = "turned away"
    ERROR_STATUS = "fault"  # any status but success and a rejection
    # The last byte of the message was not written.
    NO_DESCRIPTOR = "no room"  # no file descriptor left
    REFUSED = "refused"
    CONNECT_TIMED_OUT = "never up"
    SEND_FAILED = "broke while sending"
    SEND_TIMED_OUT = "out of time while sending"
    SEND_CANCELLED = "called off while sending"
    # The message was written.
    CONNECTION_ERROR = "broke"
    CLOSED_EARLY = "cut short"  # the peer closed the connection before the answer was complete
    MALFORMED = "malformed"
    TOO_LARGE = "too large"
    STALLED = "stood still"  # an answer had begun, and no more bytes arrived
    TIMED_OUT = "silent"
    CANCELLED = "called off"
    # Between two messages.
    CLOSED_BY_PEER = "left"  # closed by the other side
    IDLE = "idle"  # idle for too long
    EVICTED = "made room"  # closed to free its descriptor for another connection
    STOPPED = "stopped"


# Only a request that was not written completely is known not to have run; a failure after that is a reset.
ATTEMPT_ENDS = {
    ConnectionEnd.SERVED: AttemptEnd.FULFILLED,
    ConnectionEnd.REJECTED: AttemptEnd.REJECTED,
    ConnectionEnd.ERROR_STATUS: AttemptEnd.ERRORED,
    ConnectionEnd.NO_DESCRIPTOR: AttemptEnd.UNREACHABLE,
    ConnectionEnd.REFUSED: AttemptEnd.REFUSED,
    ConnectionEnd.CONNECT_TIMED_OUT: AttemptEnd.UNREACHABLE,
    ConnectionEnd.SEND_FAILED: AttemptEnd.UNREACHABLE,
    ConnectionEnd.SEND_TIMED_OUT: AttemptEnd.UNREACHABLE,
    ConnectionEnd.SEND_CANCELLED: AttemptEnd.UNSENT,
    ConnectionEnd.CONNECTION_ERROR: AttemptEnd.RESET,
    ConnectionEnd.CLOSED_EARLY: AttemptEnd.RESET,
    # Like a 500, an invalid answer indicates a fault and not too many calls in flight.
    ConnectionEnd.MALFORMED: AttemptEnd.ERRORED,
    ConnectionEnd.TOO_LARGE: AttemptEnd.ERRORED,
    ConnectionEnd.STALLED: AttemptEnd.ERRORED,
    ConnectionEnd.TIMED_OUT: AttemptEnd.TIMED_OUT,
    ConnectionEnd.CANCELLED: AttemptEnd.CANCELLED,
    ConnectionEnd.CLOSED_BY_PEER: AttemptEnd.RESET,
    ConnectionEnd.IDLE: AttemptEnd.RESET,
    ConnectionEnd.EVICTED: AttemptEnd.RESET,
    ConnectionEnd.STOPPED: AttemptEnd.RESET,
}


class ConnectionEnded(Exception):
    """The connection in use has ended; `end` says how."""

    def __init__(self, end: ConnectionEnd) -> None:
        super().__init__(end.value)
        self.end = end
