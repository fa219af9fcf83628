"""The calls of backends: heartbeat and sign-off."""

from __future__ import annotations

from typing import Protocol

import orjson
from result import Err, Result

from lupinreach.mesh.dispatch import ANY_SEGMENT, Dispatcher
from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.fields import Fields, read_object
from lupinreach.mesh.proxy.local_backend import Heartbeat
from lupinreach.mesh.server import HttpRequest, HttpResponse, error_response

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


class InstanceSink(Protocol):
    """Whoever takes what backends say of themselves."""

    async def heartbeat(self, instance_id: str, body: bytes, beat: Heartbeat) -> Result[str, ErrorKind]:
        """Ok once it is in force, with the address for later heartbeats; empty: this one."""

    async def sign_off(self, instance_id: str) -> Result[str, ErrorKind]:
        """Ok once nothing more is sent to the instance."""


def add_instance_calls(dispatcher: Dispatcher, sink: InstanceSink) -> None:
    """Register `POST /instances/ID/heartbeat` and `POST /instances/ID/deregister`."""

    async def heartbeat(request: HttpRequest, instance_id: str) -> HttpResponse:
        parsed = parse_heartbeat(request.body)
        if isinstance(parsed, Err):
            return error_response(ErrorKind.INVALID_CALL, parsed.err_value)
        return _answer(await sink.heartbeat(instance_id, request.body, parsed.ok_value))

    async def deregister(request: HttpRequest, instance_id: str) -> HttpResponse:
        return _answer(await sink.sign_off(instance_id))

    dispatcher.add("POST", "instances", ANY_SEGMENT, "heartbeat", call=heartbeat)
    dispatcher.add("POST", "instances", ANY_SEGMENT, "deregister", call=deregister)


def _answer(taken: Result[str, ErrorKind]) -> HttpResponse:
    if isinstance(taken, Err):
        return error_response(taken.err_value)
    told = {"heartbeat_endpoint": taken.ok_value} if taken.ok_value else {}
    return HttpResponse(200, JSON_TYPE, orjson.dumps(told))
