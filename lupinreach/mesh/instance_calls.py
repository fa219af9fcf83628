"""The calls of backends: heartbeat and sign-off."""

from __future__ import annotations

from collections.abc import Callable

import orjson
from mashumaro.exceptions import InvalidFieldValue, MissingField
from result import Err, Ok, Result

from lupinreach.mesh.dispatch import ANY, Dispatcher
from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.proxy.local_backend import Heartbeat
from lupinreach.mesh.server import HttpAnswer, HttpRequest, error_answer

JSON_TYPE = b"Content-Type: application/json\r\n"


def parse_heartbeat(body: bytes) -> Result[Heartbeat, str]:
    """A heartbeat, or a complaint that names the key."""
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError as failed:
        return Err(f"not JSON: {failed}")
    if not isinstance(raw, dict):
        return Err("not a JSON object")
    try:
        return Ok(Heartbeat.from_dict(raw))
    except MissingField as missing:
        return Err(f"{missing.field_name}: missing")
    except InvalidFieldValue as invalid:
        return Err(f"{invalid.field_name}: {invalid.field_value!r} does not fit")


def add_instance_calls(
    dispatcher: Dispatcher, on_heartbeat: Callable[[str, Heartbeat], None], on_deregister: Callable[[str], None]
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
