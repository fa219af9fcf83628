"""The calls of backends: heartbeat and sign-off."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Result

from lupinreach.mesh.dispatch import ANY, Dispatcher
from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.fields import Fields, read_object
from lupinreach.mesh.proxy.local_backend import Heartbeat
from lupinreach.mesh.server import HttpAnswer, HttpRequest, error_answer

JSON_TYPE = b"Content-Type: application/json\r\n"


def parse_heartbeat(body: bytes) -> Result[Heartbeat, str]:
    """A heartbeat, or a complaint that names the key."""
    return read_object(body, _heartbeat)


def _heartbeat(fields: Fields) -> Heartbeat:
    return Heartbeat(
        target_service=fields.text("target_service"),
        address=fields.text("address"),
        zone=fields.text("zone"),
        capacity=fields.integer("capacity"),
        state=fields.text("state"),
        sequence=fields.integer("sequence"),
        version=fields.text("version", ""),
        cold_remaining_ms=fields.number("cold_remaining_ms", 0),
    )


def add_instance_calls(
    dispatcher: Dispatcher,
    on_heartbeat: Callable[[str, Heartbeat], None],
    on_deregister: Callable[[str], None],
) -> None:
    """Register `POST /instances/ID/heartbeat` and `POST /instances/ID/deregister`."""

    async def heartbeat(request: HttpRequest, instance_id: str) -> HttpAnswer:
        parsed = parse_heartbeat(request.body)
        if isinstance(parsed, Err):
            return error_answer(ErrorKind.INVALID_CALL, parsed.err_value)
        on_heartbeat(instance_id, parsed.ok_value)
        return HttpAnswer(200, JSON_TYPE, b"{}")

    async def deregister(request: HttpRequest, instance_id: str) -> HttpAnswer:
        on_deregister(instance_id)
        return HttpAnswer(200, JSON_TYPE, b"{}")

    dispatcher.add("POST", "instances", ANY, "heartbeat", call=heartbeat)
    dispatcher.add("POST", "instances", ANY, "deregister", call=deregister)
