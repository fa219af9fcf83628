"""The operators' HTTP/1.1 endpoint: one request per connection, on file descriptors of its own."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from lupinreach.config import Address
from lupinreach.net import http
from lupinreach.net.agent import Agent
from lupinreach.net.channel import Channel
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded
from lupinreach.net.sockets import Sockets
from lupinreach.ops import metrics

MAX_CONNECTIONS = 16  # concurrent connections; when all are in use, a new one closes the oldest
REQUEST_TIMEOUT_S = 2.0  # from connecting until the whole request has arrived
WRITE_TIMEOUT_S = 2.0  # until the response has been written
LINGER_S = 0.2  # reading on after a rejected request, so that its sender gets to see the response
MAX_BODY_BYTES = 4 << 10  # a body is accepted and ignored
MAX_DISCARDED_BYTES = 64 << 10  # read on after a rejected request
BACKLOG = 64
ACCEPT_PAUSE_S = 0.1  # after the process has run out of file descriptors


@dataclass(frozen=True)
class Response:
    """A response: `payload` as JSON, or a line of text."""

    status: int
    text: str = ""
    payload: dict[str, Any] | None = None
    allow: bytes = b""

    def message(self) -> bytes:
        """The response as HTTP bytes."""
        if self.payload is not None:
            kind, body = b"application/json", orjson.dumps(self.payload)
        else:
            kind, body = b"text/plain", self.text.encode() + b"\n"
        lines = [b"Content-Type: " + kind + b"\r\n"]
        if self.allow:
            lines.append(b"Allow: " + self.allow + b"\r\n")
        return http.response(self.status, lines, body, keep_alive=False)


class OperatorEndpoint:
    """Serves operators' requests beside the API calls."""

    def __init__(self, agent: Agent, address: Address, sockets: Sockets | None = None) -> None:
        self._agent = agent
        self._address = address
        self._sockets = sockets or Sockets()
        self._socket: socket.socket | None = None
        self._connections: dict[Channel, asyncio.Task[None] | None] = {}  # oldest first; removed when closed
        # Method and handler by path.
        self._routes: dict[bytes, tuple[bytes, Callable[[], Response]]] = {
            b"/_ready": (b"GET", self._ready),
            b"/_vars": (b"GET", self._vars),
            b"/_lameduck/on": (b"POST", lambda: self._drain(True)),
            b"/_lameduck/off": (b"POST", lambda: self._drain(False)),
        }

    def open(self) -> None:
        """Listens; raises OSError if the address can't be bound."""
        self._socket = self._sockets.listening(self._address)
        self._socket.listen(BACKLOG)
        self._start_accepting()

    @property
    def address(self) -> Address:
        assert self._socket is not None
        host, port = self._socket.getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        for channel in list(self._connections):
            self._drop(channel)

    def _start_accepting(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        assert self._socket is not None
        for _ in range(
            MAX_CONNECTIONS
        ):  # guards against hundreds of connections at once that would delay API calls
            try:
                sock, _ = self._socket.accept()
                channel = Channel(sock, http.MAX_HEAD_BYTES + MAX_BODY_BYTES)
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as failed:
                self._agent.log.event("accept failed", why=str(failed), at="mgmt")
                asyncio.get_running_loop().remove_reader(self._socket)
                asyncio.get_running_loop().call_later(ACCEPT_PAUSE_S, self._start_accepting)
                return
            self._agent.counters.connections["operator opened"] += 1
            if len(self._connections) >= MAX_CONNECTIONS:
                # Guards against idle connections that would lock others out.
                self._drop(next(iter(self._connections)))
                self._agent.counters.connections["operator made room"] += 1
            self._connections[channel] = None
            self._connections[channel] = self._agent.tasks.spawn("operator", self._serve(channel))

    def _drop(self, channel: Channel) -> None:
        task = self._connections.pop(channel, None)
        channel.close()
        if task is not None:
            task.cancel()

    async def _serve(self, channel: Channel) -> None:
        """Handles one request and writes its response."""
        try:
            response = await self._handle_request(channel)
            if response is not None:
                try:
                    async with asyncio.timeout(WRITE_TIMEOUT_S):
                        await channel.write(response.message())
                except (OSError, TimeoutError):
                    return
                if response.status >= 400:
                    await channel.drain(MAX_DISCARDED_BYTES, LINGER_S)
        finally:
            self._connections.pop(channel, None)
            channel.close()

    async def _handle_request(self, channel: Channel) -> Response | None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                head = await http.read_head(channel, answer=False)
                if b"expect" in head.headers and channel.start == channel.end:
                    channel.write(http.CONTINUE)
                await http.read_body(channel, head, MAX_BODY_BYTES)
        except TimeoutError:
            return Response(408, "the call did not come whole in time")
        except ConnectionEnded as error:
            if error.end is ConnectionEnd.TOO_LARGE:
                return Response(413, "the call is too large")
            return Response(400, "the call can't be read") if error.end is ConnectionEnd.MALFORMED else None
        method, target, _ = head.start_line
        path = target.partition(b"?")[0]
        if path not in self._routes:
            return Response(404, f"no such path; there are {b', '.join(self._routes).decode()}")
        expected_method, handler = self._routes[path]
        if method != expected_method:
            return Response(405, f"the method must be {expected_method.decode()}", allow=expected_method)
        return handler()

    def _ready(self) -> Response:
        readiness = self._agent.readiness
        return (
            Response(200, "yes")
            if readiness.serves_new_clients
            else Response(503, f"no: {readiness.state.value}")
        )

    def _vars(self) -> Response:
        agent = self._agent
        products = [product.name for product in agent.config.settings.products]
        metrics_report = metrics.report(
            products, agent.counters, agent.directory.listed, agent.balancer.avoided_count(agent.clock.now())
        )
        return Response(
            200,
            payload=metrics_report
            if agent.fleet_report is None
            else metrics_report | {"fleet": agent.fleet_report()},
        )

    def _drain(self, on: bool) -> Response:
        self._agent.drain(on)
        return Response(200, "drained" if on else "back to work")
