"""Complete HTTP requests and responses, as handlers of the mesh's servers see them, and the limits of a server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lupinreach.http1.message import Head
from lupinreach.mesh.errors import ERROR_RESPONSES, ErrorKind

MIN_RETRY_AFTER_MS = 20


@dataclass(slots=True)
class HttpRequest:
    """One complete request."""

    head: Head
    body: bytes | bytearray
    received_at: float  # loop time when its last byte was read
    # Loop time before which none of it was here; 0 if the server has no `ArrivalClock`.
    arrived_after: float = 0.0

    @property
    def method(self) -> bytes:
        """Request method, such as `GET`."""
        return self.head.start_line[0]

    @property
    def target(self) -> bytes:
        """Request target: path and query."""
        return self.head.start_line[1]

    def header(self, name: bytes) -> bytes | None:
        """The value of a header, looked up by its lower-case name."""
        return self.head.headers.get(name)


@dataclass(slots=True)
class HttpResponse:
    """One complete response; `headers` are complete lines, each ending in CRLF."""

    status: int
    headers: bytes = b""
    body: bytes = b""


def error_response(kind: ErrorKind, detail: str = "", retry_ms: float = 0.0) -> HttpResponse:
    """The response for an error kind, from `ERROR_RESPONSES`."""
    template = ERROR_RESPONSES[kind]
    headers = b"Content-Type: text/plain\r\n"
    if template.retry:
        headers += b"Retry-After: %.3f\r\n" % (max(MIN_RETRY_AFTER_MS, retry_ms) / 1000)
    text = f"{template.text}: {detail}" if detail else template.text
    return HttpResponse(template.status, headers, text.encode() + b"\n")


RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@dataclass(slots=True)
class ServerLimits:
    """Size limits and timeouts for clients; replaced when the configuration changes."""

    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000
