"""Forwards heartbeats and deregistrations that backends send to a registry to the proxy beside the backend.

They are acknowledged only once the proxy has applied them, since a backend whose draining was acknowledged
relies on getting no more requests. The answer names the proxy's own address for later heartbeats. A call that may have
waited here for so long that the backend has turned elsewhere is not forwarded.
"""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.link import Dialer, Link, parse_address
from lupinreach.mesh.messages import ForwardedHeartbeat, HeartbeatAccepted, Message
from lupinreach.mesh.proxy.local_backend import Heartbeat
from lupinreach.mesh.registry.agents import AgentTable

FORWARD_TIMEOUT_S = 0.9  # since its arrival; below the one second after which backends turn to another agent


class HeartbeatForwarder:
    """The registry's implementation of `InstanceSink`."""

    def __init__(self, agents: AgentTable, control_port: int) -> None:
        self._agents = agents
        self._control_port = control_port

    async def heartbeat(
        self, instance_id: str, body: bytes, beat: Heartbeat, arrived_after: float
    ) -> Result[str, ErrorKind]:
        """Forward a heartbeat; Ok with the proxy's address for later heartbeats."""
        host = beat.address.rpartition(":")[0]
        address = self._agents.local_proxy_address(instance_id, host)
        return await self._forward(address, ForwardedHeartbeat(1, instance_id, body), arrived_after)

    async def sign_off(self, instance_id: str, arrived_after: float) -> Result[str, ErrorKind]:
        """Forward a deregistration; Ok with the proxy's address."""
        address = self._agents.local_proxy_address(instance_id, "")
        return await self._forward(address, ForwardedHeartbeat(1, instance_id, None), arrived_after)

    async def _forward(
        self, address: str | None, beat: ForwardedHeartbeat, arrived_after: float
    ) -> Result[str, ErrorKind]:
        deadline = arrived_after + FORWARD_TIMEOUT_S
        if asyncio.get_running_loop().time() >= deadline:
            return Err(ErrorKind.CALL_TOO_OLD)
        if address is None:
            return Err(ErrorKind.PROXY_UNREACHABLE)
        acknowledged = asyncio.Event()

        def on_message(link: Link, message: Message) -> None:
            if isinstance(message, HeartbeatAccepted) and message.number == beat.number:
                acknowledged.set()

        dialer = Dialer(parse_address(address), lambda link: link.send(beat), on_message, lambda link: None)
        try:
            async with asyncio.timeout_at(deadline):
                await acknowledged.wait()
        except TimeoutError:
            return Err(ErrorKind.PROXY_UNREACHABLE)
        finally:
            dialer.close()
        host = address.rpartition(":")[0]
        return Ok(f"{host}:{self._control_port}")
