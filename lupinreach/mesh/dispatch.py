"""Routing of control interface requests by method and path segments."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.http_types import HttpRequest, HttpResponse, error_response

ANY_SEGMENT = "*"  # matches any non-empty segment and passes it to the handler

RequestHandler = Callable[..., Awaitable[HttpResponse]]


@dataclass(frozen=True, slots=True)
class _Route:
    method: str
    segments: tuple[str, ...]
    call: RequestHandler


class Dispatcher:
    """Routes requests to handlers by patterns such as `("POST", "instances", ANY_SEGMENT, "heartbeat")`."""

    def __init__(self) -> None:
        self._routes: list[_Route] = []

    def add(self, method: str, *segments: str, call: RequestHandler) -> None:
        """Register a handler; segments matched by `ANY_SEGMENT` are its arguments after the request."""
        self._routes.append(_Route(method, segments, call))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond with the matching handler, or with an unknown-call or method-not-allowed error."""
        path = request.target.decode("latin-1").partition("?")[0]
        segments = tuple(path.strip("/").split("/"))
        method = request.method.decode("latin-1")
        path_matches = False
        for route in self._routes:
            arguments = _match(route.segments, segments)
            if arguments is None:
                continue
            path_matches = True
            if route.method == method:
                return await route.call(request, *arguments)
        return error_response(ErrorKind.METHOD_NOT_ALLOWED if path_matches else ErrorKind.UNKNOWN_CALL)


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
