"""Dispatch of calls on method and path segments."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.server import HttpRequest, HttpResponse, error_response

ANY_SEGMENT = "*"  # a segment that is handed to the call

Call = Callable[..., Awaitable[HttpResponse]]


@dataclass(frozen=True, slots=True)
class _Pattern:
    method: str
    segments: tuple[str, ...]
    call: Call


class Dispatcher:
    """Finds the call for a request: `("POST", "instances", ANY, "heartbeat")` and so on."""

    def __init__(self) -> None:
        self._patterns: list[_Pattern] = []

    def add(self, method: str, *segments: str, call: Call) -> None:
        """Register a call; its `ANY` segments become arguments after the request."""
        self._patterns.append(_Pattern(method, segments, call))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request by the call that fits it."""
        path = request.target.decode("latin-1").partition("?")[0]
        segments = tuple(path.strip("/").split("/"))
        method = request.method.decode("latin-1")
        known = False
        for pattern in self._patterns:
            arguments = _match(pattern.segments, segments)
            if arguments is None:
                continue
            known = True
            if pattern.method == method:
                return await pattern.call(request, *arguments)
        return error_response(ErrorKind.METHOD_NOT_ALLOWED if known else ErrorKind.UNKNOWN_CALL)


def _match(pattern: tuple[str, ...], segments: tuple[str, ...]) -> list[str] | None:
    if len(pattern) != len(segments):
        return None
    arguments = []
    for expected, found in zip(pattern, segments, strict=True):
        if expected == ANY_SEGMENT and found:
            arguments.append(found)
        elif expected != found:
            return None
    return arguments
