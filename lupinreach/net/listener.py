"""The listener and the connections of clients: requests in, answers out, one at a time on each."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from lupinreach.config import Address
from lupinreach.net import http, protocol
from lupinreach.net.call import ApiCall, BadRequest
from lupinreach.net.channel import Channel
from lupinreach.net.ends import End, Ended

if TYPE_CHECKING:
    from lupinreach.net.agent import Agent

BACKLOG = 512
AT_ONCE = 64  # connections accepted in one turn of the event loop
PAUSE = 0.1  # s without accepting when the process has run out of descriptors
LINGER = 1.0  # s in which the rest of a refused request is read, so that its client gets to see the answer
RESERVE = 1 / 8  # of the connections, 2 at least: kept to turn away those that come on top of the others
NO_ROOM = 503
STATUSES = {End.MALFORMED: 400, End.TOO_LARGE: 413}


class Client:
    """One connection of a client."""

    def __init__(self, agent: Agent, listener: Listener, sock: socket.socket) -> None:
        self._agent = agent
        self._listener = listener
        self.channel = Channel(sock, http.MOST_HEAD + protocol.MOST_BODY)
        self._keeps = True  # as the last request said
        self._writing: asyncio.Future[None] | None = None

    async def serve(self) -> None:
        end = End.LEFT
        try:
            while self._keeps:
                await self._one()
            end = End.STOPPED if self._agent.stopping else End.LEFT
        except Ended as ended:
            end = ended.end
            if end in STATUSES:
                await self._refuse(STATUSES[end], end.value)
        except TimeoutError:
            end = End.SILENT
        finally:
            self._listener.closed(self, end)

    async def _one(self) -> None:
        """One request and its answer."""
        channel, within = self.channel, self._agent.longest_wait / 1000
        if channel.start == channel.end:
            self._listener.rests(self)
            try:
                await channel.fill()
            except Ended:
                raise Ended(End.LEFT) from None
            finally:
                self._listener.idle.pop(self, None)
        arrived = self._agent.clock.now() - channel.quiet
        async with asyncio.timeout(within):
            head = await http.read_head(channel, answer=False)
            expects = bytes(head.headers.get(b"expect", b"")).lower()
            if expects == b"100-continue" and channel.start == channel.end:  # its body waits for a word
                channel.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request = http.message(head, await http.read_body(channel, head, protocol.MOST_BODY))
        self._keeps = request.keeps
        if request.target == protocol.READY_PATH:
            self._reply(http.answer(200 if self._agent.ready else 503, keeps=self._stays()))
        else:
            await self._api_call(request, arrived)
        if self._writing is not None:
            async with asyncio.timeout(within):
                try:
                    await self._writing
                except OSError:
                    raise Ended(End.LEFT) from None
        self._keeps = self._stays()

    async def _api_call(self, request: http.Message, arrived: float) -> None:
        try:
            call = ApiCall(self._agent, request, arrived, self._reply, self._stays)
        except BadRequest as bad:
            self._agent.counters.answered["bad request"] += 1
            self._reply(http.answer(400, [b"Content-Type: text/plain\r\n"], str(bad).encode(), self._stays()))
            return
        if self._listener.full:
            # Turned away before it reaches the module, and harmless to repeat: nothing was sent for it.
            # Guards against requests that the kernel has taken in and that nobody has a descriptor to read.
            self._agent.counters.answered["no room"] += 1
            self._keeps = False
            self._reply(http.answer(NO_ROOM, keeps=False))
            return
        # To go on reading is how a client is seen to leave while its shot is out.
        reading = self.channel.listen()
        reading.add_done_callback(call.client_spoke)
        self._agent.spawn("api call", call.run())
        await call.answered
        reading.remove_done_callback(call.client_spoke)

    def _stays(self) -> bool:
        return self._keeps and not self._agent.stopping

    def _reply(self, answer: bytes) -> None:
        self._writing = self.channel.write(answer)

    async def _refuse(self, status: int, why: str) -> None:
        """Answer what is no request, and read on for a moment.

        Guards against a close with bytes unread, which would take the answer away from the client.
        """
        self._agent.counters.answered["bad request"] += 1
        self.channel.write(http.answer(status, [b"Content-Type: text/plain\r\n"], why.encode(), keeps=False))
        try:
            async with asyncio.timeout(LINGER):
                self.channel.stream.socket.shutdown(socket.SHUT_WR)
                while True:
                    self.channel.start = self.channel.end
                    await self.channel.fill()
        except (Ended, OSError):
            pass


class Listener:
    """Accepts clients, as many as there are descriptors for."""

    def __init__(self, agent: Agent, most: int) -> None:
        self._agent = agent
        self.most = most
        self.served = most - max(2, int(RESERVE * most))  # at most; the rest are turned away
        self._socket: socket.socket | None = None
        self._accepting = False
        self.clients: set[Client] = set()  # each leaves when its connection closes
        self.idle: dict[Client, None] = {}  # those between two requests, longest first

    def open(self) -> None:
        host, port = self._agent.config.listen
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        self._socket = sock
        self._resume()

    @property
    def address(self) -> Address:
        assert self._socket is not None
        host, port = self._socket.getsockname()[:2]
        return host, port

    def _resume(self) -> None:
        if self._socket is not None and not self._accepting:
            self._accepting = True
            self._socket.listen(min(BACKLOG, self.most))
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _pause(self) -> None:
        if self._socket is not None and self._accepting:
            self._accepting = False
            # Guards against connections that the kernel would take for an agent with no room for them.
            self._socket.listen(0)
            asyncio.get_running_loop().remove_reader(self._socket)

    def _accept(self, most: int = AT_ONCE) -> None:
        assert self._socket is not None
        for _ in range(most):
            spare = self._spare() if len(self.clients) >= self.served else None
            if len(self.clients) >= self.most and spare is None:
                self._pause()
                self._agent.counters.connections["accept paused"] += 1
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as failed:
                # Guards against a process out of descriptors that would spin on its listener.
                self._agent.counters.connections["accept failed"] += 1
                self._agent.log.event("accept failed", why=str(failed))
                self._pause()
                asyncio.get_running_loop().call_later(PAUSE, self._resume)
                return
            self._agent.counters.connections["client opened"] += 1
            if spare is not None:
                self.closed(spare, End.MADE_ROOM)
            try:
                client = Client(self._agent, self, sock)
            except OSError:  # gone before it was looked at
                sock.close()
                continue
            self.clients.add(client)
            self._agent.spawn("client", client.serve())

    @property
    def full(self) -> bool:
        return len(self.clients) > self.served

    def _spare(self) -> Client | None:
        """The connection that has stood idle longest; its client opens another when it needs one."""
        return next((client for client in self.idle if not client.channel.heard), None)

    def rests(self, client: Client) -> None:
        """A connection is between two requests: it could make room for another."""
        self.idle[client] = None
        self._resume()

    def closed(self, client: Client, end: End) -> None:
        if client not in self.clients:
            return
        client.channel.close()
        self.clients.discard(client)
        self.idle.pop(client, None)
        self._agent.counters.connections[f"client {end.value}"] += 1
        self._agent.changed.set()
        if len(self.clients) < self.most:
            self._resume()

    def close_idle(self) -> None:
        for client in list(self.idle):
            if not client.channel.heard:
                self.closed(client, End.STOPPED)

    def close(self) -> None:
        """Take in what has come and accept no more."""
        if self._socket is not None:
            self._accept(BACKLOG)
            self._pause()
            self._socket.close()
            self._socket = None
