"""Every way in which a connection can end, and what that means for the shot on it."""

from __future__ import annotations

from enum import Enum

from lupinreach.model import AttemptEnd


class ConnectionEnd(Enum):
    """How a connection, or one exchange on it, ended."""

    # A whole answer came.
    SERVED = "served"
    TURNED_AWAY = "turned away"
    FAULT = "fault"  # any other status
    # The last byte of the message was never written.
    NO_ROOM = "no room"  # no descriptor left for it
    REFUSED = "refused"
    NEVER_UP = "never up"
    BROKE_SENDING = "broke while sending"
    LATE_SENDING = "out of time while sending"
    CALLED_OFF_SENDING = "called off while sending"
    # It was written.
    BROKE = "broke"
    CUT_SHORT = "cut short"  # the other side ended it before the answer was whole
    MALFORMED = "malformed"
    TOO_LARGE = "too large"
    STOOD_STILL = "stood still"  # an answer that had begun brought nothing more
    SILENT = "silent"
    CALLED_OFF = "called off"
    # Between two messages.
    LEFT = "left"  # the other side closed it
    IDLE = "idle"  # stood idle for too long
    MADE_ROOM = "made room"  # closed for another
    STOPPED = "stopped"


# Only what was never written whole is known not to have run: a break after that is a reset.
ATTEMPT_ENDS = {
    ConnectionEnd.SERVED: AttemptEnd.FULFILLED,
    ConnectionEnd.TURNED_AWAY: AttemptEnd.REJECTED,
    ConnectionEnd.FAULT: AttemptEnd.ERRORED,
    ConnectionEnd.NO_ROOM: AttemptEnd.UNREACHABLE,
    ConnectionEnd.REFUSED: AttemptEnd.REFUSED,
    ConnectionEnd.NEVER_UP: AttemptEnd.UNREACHABLE,
    ConnectionEnd.BROKE_SENDING: AttemptEnd.UNREACHABLE,
    ConnectionEnd.LATE_SENDING: AttemptEnd.UNREACHABLE,
    ConnectionEnd.CALLED_OFF_SENDING: AttemptEnd.UNSENT,
    ConnectionEnd.BROKE: AttemptEnd.RESET,
    ConnectionEnd.CUT_SHORT: AttemptEnd.RESET,
    # A spoilt answer says that something is wrong, as a 500 does, and not that too much is out.
    ConnectionEnd.MALFORMED: AttemptEnd.ERRORED,
    ConnectionEnd.TOO_LARGE: AttemptEnd.ERRORED,
    ConnectionEnd.STOOD_STILL: AttemptEnd.ERRORED,
    ConnectionEnd.SILENT: AttemptEnd.TIMED_OUT,
    ConnectionEnd.CALLED_OFF: AttemptEnd.CANCELLED,
    ConnectionEnd.LEFT: AttemptEnd.RESET,
    ConnectionEnd.IDLE: AttemptEnd.RESET,
    ConnectionEnd.MADE_ROOM: AttemptEnd.RESET,
    ConnectionEnd.STOPPED: AttemptEnd.RESET,
}


class ConnectionEnded(Exception):
    """Raised to whoever uses a connection when it has ended."""

    def __init__(self, end: ConnectionEnd) -> None:
        super().__init__(end.value)
        self.end = end
