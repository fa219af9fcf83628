"""HTTP requests from backends: heartbeat and deregistration."""

from __future__ import annotations

from typing import Protocol

import orjson
from result import Err, Result

from lupinreach.mesh.dispatch import ANY_SEGMENT, Dispatcher
from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.fields import Fields, read_object
from lupinreach.mesh.http_types import HttpRequest, HttpResponse, error_response
from lupinreach.mesh.proxy.local_backend import Heartbeat

JSON_CONTENT_TYPE_HEADER = b"Content-Type: application/json\r\n"


def parse_heartbeat(body: bytes) -> Result[Heartbeat, str]:
    """Parse a heartbeat; the error message names the invalid key."""
    return read_object(body, _build_heartbeat)


def _build_heartbeat(fields: Fields) -> Heartbeat:
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
    """Receives heartbeats and deregistrations of backends. For `arrived_after` see `HttpRequest`."""

    async def heartbeat(
        self, instance_id: str, body: bytes, heartbeat: Heartbeat, arrived_after: float
    ) -> Result[str, ErrorKind]:
        """Returns Ok once it is in effect, with the address for later heartbeats, or "" to keep the present one."""

    async def sign_off(self, instance_id: str, arrived_after: float) -> Result[str, ErrorKind]:
        """Returns Ok once no more requests are sent to the instance."""


def add_instance_calls(dispatcher: Dispatcher, sink: InstanceSink) -> None:
    """Register `POST /instances/ID/heartbeat` and `POST /instances/ID/deregister`."""

    async def heartbeat(request: HttpRequest, instance_id: str) -> HttpResponse:
        parsed = parse_heartbeat(request.body)
        if isinstance(parsed, Err):
            return error_response(ErrorKind.INVALID_CALL, parsed.err_value)
        return _response(
            await sink.heartbeat(instance_id, request.body, parsed.ok_value, request.arrived_after)
        )

    async def deregister(request: HttpRequest, instance_id: str) -> HttpResponse:
        return _response(await sink.sign_off(instance_id, request.arrived_after))

    dispatcher.add("POST", "instances", ANY_SEGMENT, "heartbeat", call=heartbeat)
    dispatcher.add("POST", "instances", ANY_SEGMENT, "deregister", call=deregister)


def _response(taken: Result[str, ErrorKind]) -> HttpResponse:
    if isinstance(taken, Err):
        return error_response(taken.err_value)
    payload = {"heartbeat_endpoint": taken.ok_value} if taken.ok_value else {}
    return HttpResponse(200, JSON_CONTENT_TYPE_HEADER, orjson.dumps(payload))
