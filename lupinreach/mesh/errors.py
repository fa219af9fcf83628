"""All error kinds, and the response that a client gets for each.

The statuses 408, 421, 429 and 503 guarantee to clients that the request was not executed. A kind that can apply to a
request which may have reached a backend never maps to one of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class ErrorKind(IntEnum):
    """Why a request or an operator's order failed. The numbers are part of the wire format."""

    NONE = 0
    MALFORMED = 1  # not a valid HTTP/1.1 message
    HEAD_TOO_LARGE = 2
    BODY_TOO_LARGE = 3
    NO_REQUEST_ID = 4
    NO_ROUTE = 5
    NOT_CONFIGURED = 6  # this process has no configuration yet
    NO_BACKEND = 7  # the service has no usable backend
    FULL = 8  # all usable backends are at capacity
    OUT_OF_MEMORY = 9  # the budget for buffered bodies is used up
    STOPPING = 10
    OUTCOME_UNKNOWN = 11  # it may have been executed, and must not be retried
    TIMED_OUT = 13
    EXPIRED = 14  # its deadline passed before it was sent to a backend
    UNKNOWN_CALL = 20  # no such path on the control interface
    METHOD_NOT_ALLOWED = 21
    INVALID_CONFIGURATION = 22
    INVALID_CALL = 23
    UNKNOWN_ZONE = 24
    NO_PRIMARY = 25
    STORE_UNAVAILABLE = 26
    HEAD_TIMED_OUT = 27
    BODY_TIMED_OUT = 28
    VERSION_CONFLICT = 29  # this version exists already with different content
    PROXY_UNREACHABLE = 30  # the proxy of the backend that sent the request does not respond
    ORDER_SUPERSEDED = 31  # another evacuation was ordered after the state that the registry knew
    CALL_TOO_OLD = 32  # it may have waited here for so long that its caller has given it up
    DEPARTURE_NOT_RECORDED = (
        33  # the backend gets no new requests, but that would be forgotten with this process
    )


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response for an error kind."""

    status: int
    text: str
    retry: bool = False  # whether it carries a Retry-After header


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED: ErrorResponse(400, "malformed request"),
    ErrorKind.HEAD_TOO_LARGE: ErrorResponse(431, "request head too large"),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, "request body too large"),
    ErrorKind.NO_REQUEST_ID: ErrorResponse(400, "no request id"),
    ErrorKind.NO_ROUTE: ErrorResponse(404, "no route"),
    ErrorKind.NOT_CONFIGURED: ErrorResponse(503, "no configuration yet", retry=True),
    ErrorKind.NO_BACKEND: ErrorResponse(503, "no backend available", retry=True),
    ErrorKind.FULL: ErrorResponse(503, "all backends are full", retry=True),
    ErrorKind.OUT_OF_MEMORY: ErrorResponse(503, "no memory for the request", retry=True),
    ErrorKind.STOPPING: ErrorResponse(503, "shutting down", retry=True),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, "the outcome is unknown"),
    ErrorKind.TIMED_OUT: ErrorResponse(504, "timed out"),
    ErrorKind.EXPIRED: ErrorResponse(503, "the deadline passed before it was sent", retry=True),
    ErrorKind.UNKNOWN_CALL: ErrorResponse(404, "unknown call"),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(405, "method not allowed"),
    ErrorKind.INVALID_CONFIGURATION: ErrorResponse(400, "invalid configuration"),
    ErrorKind.INVALID_CALL: ErrorResponse(400, "invalid call"),
    ErrorKind.UNKNOWN_ZONE: ErrorResponse(404, "unknown zone"),
    ErrorKind.NO_PRIMARY: ErrorResponse(503, "no primary store", retry=True),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, "the store did not answer", retry=True),
    ErrorKind.HEAD_TIMED_OUT: ErrorResponse(408, "the request head took too long"),
    ErrorKind.PROXY_UNREACHABLE: ErrorResponse(
        503, "the proxy beside this backend does not answer", retry=True
    ),
    ErrorKind.ORDER_SUPERSEDED: ErrorResponse(503, "another evacuation was ordered meanwhile", retry=True),
    ErrorKind.CALL_TOO_OLD: ErrorResponse(503, "the call may have waited here for too long", retry=True),
    ErrorKind.DEPARTURE_NOT_RECORDED: ErrorResponse(
        503, "the stores have not recorded that this backend leaves", retry=True
    ),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(409, "this version is held with another content"),
    ErrorKind.BODY_TIMED_OUT: ErrorResponse(408, "the request body took too long"),
}


class NotTakenReason(IntEnum):
    """Why a gate did not pass a request to its backend. The numbers are part of the wire format."""

    NO_BACKEND = 1  # none is known, or a different instance than requested
    DRAINING = 2
    EVACUATED = 3
    COLD = 4  # the request rate limit of a cold backend is reached
    FULL = 5
    EXPIRED = 6  # its deadline passed in the queue
    STALE_ROUTE = 7  # a newer configuration no longer routes it to this service
    STOPPING = 8
    OUT_OF_MEMORY = 9
    BACKEND_DECLINED = 10  # the backend reported that it did not execute it


class AttemptFailure(IntEnum):
    """How an attempt at a backend failed. The numbers are part of the wire format."""

    UNREACHABLE = 1  # no connection could be opened
    BROKEN = 2  # the connection closed before the response was complete
    GARBLED = 3  # the data received is not a valid response to this request
    TIMED_OUT = 4
    LINK_LOST = 5  # the link to the other proxy closed
    SILENT = 6  # the other proxy stopped responding
