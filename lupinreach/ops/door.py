"""The operators' door: HTTP/1.1, one call to a connection, on descriptors of its own."""

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
from lupinreach.net.ends import End, Ended
from lupinreach.net.sockets import Sockets
from lupinreach.ops import figures

MOST_HELD = (
    16  # connections at once, of the agent's descriptors; with all held, the one held longest makes room
)
WHOLE_WITHIN = 2.0  # s from connecting for all of a call
WRITTEN_WITHIN = 2.0  # s for its answer to be taken
LINGER = 0.2  # s for what follows a call that was refused, so that its caller gets to see why
MOST_CALL = 4 << 10  # bytes of a body, which says nothing
MOST_DROPPED = 64 << 10
BACKLOG = 64
PAUSE = 0.1  # s without accepting when the process has run out of descriptors


@dataclass(frozen=True)
class Said:
    """An answer of the door's; the text says why not."""

    status: int
    text: str = ""
    figures: dict[str, Any] | None = None
    allow: bytes = b""

    def message(self) -> bytes:
        if self.figures is not None:
            kind, body = b"application/json", orjson.dumps(self.figures)
        else:
            kind, body = b"text/plain", self.text.encode() + b"\n"
        lines = [b"Content-Type: " + kind + b"\r\n"]
        if self.allow:
            lines.append(b"Allow: " + self.allow + b"\r\n")
        return http.response(self.status, lines, body, keep_alive=False)


class Door:
    """Answers operators beside the API calls."""

    def __init__(self, agent: Agent, address: Address, sockets: Sockets | None = None) -> None:
        self._agent = agent
        self._wanted = address
        self._sockets = sockets or Sockets()
        self._socket: socket.socket | None = None
        self._held: dict[
            Channel, asyncio.Task[None] | None
        ] = {}  # longest first; each leaves when it is closed
        # By path and method.
        self._calls: dict[bytes, tuple[bytes, Callable[[], Said]]] = {
            b"/_ready": (b"GET", self._ready),
            b"/_vars": (b"GET", self._vars),
            b"/_lameduck/on": (b"POST", lambda: self._drain(True)),
            b"/_lameduck/off": (b"POST", lambda: self._drain(False)),
        }

    def open(self) -> None:
        """Listen; OSError where the address can't be had."""
        self._socket = self._sockets.listening(self._wanted)
        self._socket.listen(BACKLOG)
        self._resume()

    @property
    def address(self) -> Address:
        assert self._socket is not None
        host, port = self._socket.getsockname()[:2]
        return host, port

    def close(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        for channel in list(self._held):
            self._end(channel)

    def _resume(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        assert self._socket is not None
        for _ in range(MOST_HELD):  # guards against callers by the hundred that would hold up API calls
            try:
                sock, _ = self._socket.accept()
                channel = Channel(sock, http.MAX_HEAD_BYTES + MOST_CALL)
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as failed:
                self._agent.log.event("accept failed", why=str(failed), at="mgmt")
                asyncio.get_running_loop().remove_reader(self._socket)
                asyncio.get_running_loop().call_later(PAUSE, self._resume)
                return
            self._agent.counters.connections["operator opened"] += 1
            if len(self._held) >= MOST_HELD:
                # Guards against callers that hold a connection and say nothing: they lock nobody out.
                self._end(next(iter(self._held)))
                self._agent.counters.connections["operator made room"] += 1
            self._held[channel] = None
            self._held[channel] = self._agent.tasks.spawn("operator", self._serve(channel))

    def _end(self, channel: Channel) -> None:
        task = self._held.pop(channel, None)
        channel.close()
        if task is not None:
            task.cancel()

    async def _serve(self, channel: Channel) -> None:
        """One call and its answer."""
        try:
            said = await self._read(channel)
            if said is not None:
                try:
                    async with asyncio.timeout(WRITTEN_WITHIN):
                        await channel.write(said.message())
                except (OSError, TimeoutError):
                    return
                if said.status >= 400:
                    await channel.drain(MOST_DROPPED, LINGER)
        finally:
            self._held.pop(channel, None)
            channel.close()

    async def _read(self, channel: Channel) -> Said | None:
        try:
            async with asyncio.timeout(WHOLE_WITHIN):
                head = await http.read_head(channel, answer=False)
                if b"expect" in head.headers and channel.start == channel.end:
                    channel.write(http.CONTINUE)
                await http.read_body(channel, head, MOST_CALL)
        except TimeoutError:
            return Said(408, "the call did not come whole in time")
        except Ended as ended:
            if ended.end is End.TOO_LARGE:
                return Said(413, "the call is too large")
            return Said(400, "the call can't be read") if ended.end is End.MALFORMED else None
        method, target, _ = head.start_line
        path = target.partition(b"?")[0]
        if path not in self._calls:
            return Said(404, f"no such path; there are {b', '.join(self._calls).decode()}")
        wanted, does = self._calls[path]
        if method != wanted:
            return Said(405, f"the method must be {wanted.decode()}", allow=wanted)
        return does()

    def _ready(self) -> Said:
        standing = self._agent.standing
        return Said(200, "yes") if standing.takes_clients else Said(503, f"no: {standing.state.value}")

    def _vars(self) -> Said:
        agent = self._agent
        products = [product.name for product in agent.config.settings.products]
        found = figures.report(
            products, agent.counters, agent.directory.listed, agent.balancer.avoided_count(agent.clock.now())
        )
        return Said(200, figures=found if agent.tells is None else found | {"fleet": agent.tells()})

    def _drain(self, on: bool) -> Said:
        self._agent.drain(on)
        return Said(200, "drained" if on else "back to work")
