"""Every way in which a connection can end, and what that means for the shot on it."""

from __future__ import annotations

from enum import Enum

from lupinreach.model import AttemptEnd


class ConnectionEnd(Enum):
    """How a connection, or one exchange on it, ended."""

    # A whole answer came.
    SERVED = "served"
    REJECTED = "turned away"
    ERROR_STATUS = "fault"  # any other status
    # The last byte of the message was never written.
    NO_DESCRIPTOR = "no room"  # no descriptor left for it
    REFUSED = "refused"
    CONNECT_TIMED_OUT = "never up"
    SEND_FAILED = "broke while sending"
    SEND_TIMED_OUT = "out of time while sending"
    SEND_CANCELLED = "called off while sending"
    # It was written.
    CONNECTION_ERROR = "broke"
    CLOSED_EARLY = "cut short"  # the other side ended it before the answer was whole
    MALFORMED = "malformed"
    TOO_LARGE = "too large"
    STALLED = "stood still"  # an answer that had begun brought nothing more
    TIMED_OUT = "silent"
    CANCELLED = "called off"
    # Between two messages.
    CLOSED_BY_PEER = "left"  # the other side closed it
    IDLE = "idle"  # stood idle for too long
    EVICTED = "made room"  # closed for another
    STOPPED = "stopped"


# Only what was never written whole is known not to have run: a break after that is a reset.
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
    # A spoilt answer says that something is wrong, as a 500 does, and not that too much is out.
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
    """Raised to whoever uses a connection when it has ended."""

    def __init__(self, end: ConnectionEnd) -> None:
        super().__init__(end.value)
        self.end = end
