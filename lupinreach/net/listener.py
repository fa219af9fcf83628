"""The listener and the connections of clients: requests in, answers out, one at a time on each."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from itertools import chain, takewhile

from lupinreach.config import Address
from lupinreach.net import http, protocol
from lupinreach.net.call import ApiCall, BadRequest, compose, read_ask
from lupinreach.net.channel import FIRST_BUFFER, Channel
from lupinreach.net.ends import End, Ended
from lupinreach.net.log import Log
from lupinreach.net.reply import Reply
from lupinreach.net.serving import Serving
from lupinreach.net.sockets import Sockets
from lupinreach.net.upload import Stopped, Upload

BACKLOG = 512
AT_ONCE = 64  # connections accepted in one turn of the event loop
PAUSE = 0.1  # s without accepting when the process has run out of descriptors
LINGER = 0.5  # s in which the rest of a refused request is read, so that its client gets to see the answer,
MOST_DROPPED = 256 << 10  # bytes of it, and
LINGERING = 1 / 8  # of the connections that may do so at once
ON_ITS_WAY = 0.25  # s for which the first request on a new connection may be on its way
SILENT_FIRST = 2.0  # s from connecting for the first byte to come
WHOLE = 2.5  # s from there, or from the first byte of a later request, for all of it
PACE = 32.0  # bytes a ms beside that: half of what a client is promised
MAY_CLOSE = 2.0  # s after which a connection between two requests may be closed,
CROWDED = 1 / 2  # of those that are served: from there on it is
SHORT = 0.6  # of those that are served: from there on an answer ends its connection
SWEEP = 0.25  # s between two looks for such connections
REFUSALS = 50.0  # bad requests a second that are answered at once; past that each waits
HELD_UP = 1.0  # s
RESERVE = 1 / 8  # of the connections, 2 at least: kept to turn away those that come on top of the others
NO_ROOM, LATE = 503, 408
STATUSES = {End.MALFORMED: 400, End.TOO_LARGE: 413}


class Client:
    """One connection of a client."""

    def __init__(self, serving: Serving, listener: Listener, sock: socket.socket) -> None:
        self._serving = serving
        self._listener = listener
        self.channel = Channel(sock, http.MAX_HEAD_BYTES + http.IN_PLACE)
        self.since = serving.clock.now()  # accepted, or free for the next request
        self.fresh = True  # nothing has come yet
        self._keeps = True  # as the last request said
        self._writing: asyncio.Future[None] | None = None
        self._held = 0  # bytes of a long body that is being read
        self._body_since = 0.0
        self._old = False  # what is being answered is HTTP/1.0

    async def serve(self) -> None:
        end = End.LEFT
        try:
            while self._keeps:
                await self._one()
            end = End.STOPPED if self._serving.standing.stopping else End.LEFT
        except Ended as ended:
            end = ended.end
            if end in STATUSES:
                await self._refuse(STATUSES[end], end.value)
        except BadRequest as bad:
            end = End.MALFORMED
            await self._refuse(bad.status, str(bad))
        finally:
            self._listener.closed(self, end)

    async def _one(self) -> None:
        """One request and its answer."""
        channel, listener = self.channel, self._listener
        if channel.start == channel.end:
            listener.rests(self)
            try:
                await channel.fill()
            except Ended:
                raise Ended(End.LEFT) from None
            finally:
                listener.stirs(self)
        now = self._serving.clock.now()
        listener.reading[self] = (self.since if self.fresh else now) + WHOLE * 1000
        self.fresh = False
        try:
            head = await http.read_head(channel, answer=False)
            if b"expect" in head.headers and channel.start == channel.end:  # its body may wait for a word
                channel.write(http.CONTINUE)
            self._old = head.is_http10
            self._body_since = self._serving.clock.now()
            request = http.message(head, b"")
            upload = await self._read_body(head, request)
        except Stopped:
            # Nothing ran, so trying again is harmless; what still comes of the request is dropped.
            self._let_go()
            self._turn_back(head.headers)
            await channel.drain(MOST_DROPPED, LINGER)
            return
        except BaseException:
            self._let_go()
            raise
        finally:
            del listener.reading[self]
        if channel.end > channel.start:
            self._let_go(upload)
            # Guards against requests by the hundred on one connection: the protocol has one at a time.
            raise BadRequest("more has come than one request")
        self._keeps = request.keep_alive
        arrived = self._serving.clock.now() - channel.quiet  # of its last byte
        if request.target == protocol.READY_PATH:
            self._let_go(upload)
            self.whole(200 if self._serving.standing.ready else 503)
            await self._written()
        else:
            self._serving.counters.open += 1
            try:
                await self._api_call(request, arrived, upload)
                await self._written()
            finally:
                self._serving.counters.open -= 1

    async def _written(self) -> None:
        """Wait until the kernel has the answer."""
        if self._writing is not None:
            try:
                if not self._writing.done():
                    async with asyncio.timeout(self._serving.longest_wait / 1000):
                        await self._writing
                await self._writing
            except (OSError, TimeoutError):
                raise Ended(End.LEFT) from None

    async def _api_call(self, request: http.Message, arrived: float, upload: Upload | None) -> None:
        if self._listener.full:
            # Turned away before it reaches the module, and harmless to repeat: nothing was sent for it.
            # Guards against requests that the kernel has taken in and that nobody has a descriptor to read.
            self._let_go(upload)
            self._turn_back(request.headers)
            return
        try:
            call = ApiCall(self._serving, request, arrived, self, upload)
        except BadRequest:
            self._let_go(upload)
            raise
        self._held = 0  # the API call's now
        # To go on reading is how a client is seen to leave while its shot is out.
        reading = self.channel.listen()
        reading.add_done_callback(call.client_spoke)
        self._serving.tasks.spawn("api call", call.run())
        await call.answered
        reading.remove_done_callback(call.client_spoke)

    def _stays(self) -> bool:
        """What the answer says of the connection, and what then holds."""
        if self._serving.standing.parting or self._listener.short:
            self._keeps = False
        return self._keeps

    def whole(
        self, status: int, lines: Sequence[http.Slice | bytes] = (), body: http.Slice | bytes = b""
    ) -> None:
        """Write an answer as one piece."""
        self._writing = self.channel.write(http.response(status, lines, body, self._stays()))

    def begin(self, status: int, lines: Sequence[http.Slice | bytes], length: int | None) -> Reply:
        """An answer that will be written as it comes."""
        if length is None and self._old:
            self._keeps = False
        return Reply(self.channel, status, lines, length, self._stays(), self._old)

    def cut(self) -> None:
        self._keeps = False
        self.channel.abort()

    async def _read_body(self, head: http.Head, request: http.Message) -> Upload | None:
        """Read the body, whole if there is room to keep it; else it goes ahead to a backend."""
        if not head.chunked and (head.length or 0) <= http.IN_PLACE:
            request.body = await http.read_body(self.channel, head, http.IN_PLACE, self._came)
            return None
        body, kept = http.Body(self.channel, head, protocol.MOST_BODY), bytearray()
        while True:
            for piece in body.here():
                kept += piece
            self._came(body.size)
            if body.size > http.IN_PLACE:
                if not self._serving.kept.take(body.size - self._held, body.size):
                    return await self._send_ahead(request, kept, body)
                self._held = body.size
            if body.done:
                request.body = memoryview(kept)
                return None
            await body.more()

    async def _send_ahead(self, request: http.Message, kept: bytearray, body: http.Body) -> Upload:
        """Guards against long requests that together don't fit: this one can have one shot only."""
        serving = self._serving
        ask, _ = read_ask(None, request, serving.clock.now(), serving)
        if request.method == b"GET":
            raise BadRequest("GET is for what may run again, and has no body")
        backend = (
            None
            if self._listener.full
            else serving.balancer.choose_for_upload(serving.clock.now(), ask.product)
        )
        if backend is None:
            raise Stopped
        upload = Upload(serving.pool, serving.directory.place(backend), body.length is None)
        serving.counters.others["requests sent ahead"] += 1
        self.channel.least = (
            http.IN_PLACE
        )  # guards against a long request that is read in thousands of pieces
        left = (ask.until - serving.clock.now()) / 1000  # counts from the last byte
        try:
            await upload.run(
                compose(request, left, body.length), kept, body, self._came, serving.longest_wait / 1000
            )
        except BaseException:
            upload.let_go()
            raise
        finally:
            self.channel.least = FIRST_BUFFER
        self._let_go()
        return upload

    def _turn_back(self, headers: dict[bytes, bytes]) -> None:
        """Refuse what no shot was sent for, and end the connection."""
        kind = headers.get(protocol.KIND)
        self._serving.counters.told("no room", kind.decode() if kind in self._serving.products else None)
        self._keeps = False
        self.whole(NO_ROOM)

    def _came(self, size: int) -> None:
        """So much of a body has come: it is owed time for the rest."""
        self._listener.reading[self] = self._body_since + WHOLE * 1000 + size / PACE

    def _let_go(self, upload: Upload | None = None) -> None:
        self._serving.kept.give(self._held)
        self._held = 0
        if upload is not None:
            upload.let_go()

    async def _refuse(self, status: int, why: str) -> None:
        """Answer what is no request, and end the connection: nobody knows what else is on it."""
        self._serving.counters.answered["bad request"] += 1
        async with self._listener.refusing() as first:
            if first:
                self.turn_away(status, why)
                await self.channel.drain(MOST_DROPPED, LINGER)

    def turn_away(self, status: int, why: str) -> None:
        self.channel.write(
            http.response(status, [b"Content-Type: text/plain\r\n"], why.encode(), keep_alive=False)
        )


class Listener:
    """Accepts clients, as many as there are descriptors for."""

    def __init__(
        self,
        serving: Serving,
        sockets: Sockets,
        address: Address,
        log: Log,
        most: int,
        inherited: int | None = None,
    ) -> None:
        self._serving = serving
        self._sockets = sockets
        self._wanted = address
        self._inherited = inherited  # a descriptor: its queue is shared, and not ours to size or to end
        self._log = log
        self.changed = asyncio.Event()  # a client has gone
        self.most = most
        self.served = most - max(2, int(RESERVE * most))  # at most; the rest are turned away
        self._socket: socket.socket | None = None
        self._accepting = False
        self.clients: set[Client] = set()  # each leaves when its connection closes
        self.idle: dict[Client, None] = {}  # those between two requests, longest first
        self.fresh: dict[Client, None] = {}  # those that have sent nothing yet, longest first
        self.reading: dict[Client, float] = {}  # those in a request, and when it must be whole
        self._refused, self._refused_at = 0.0, 0.0  # bad requests of late, drained at REFUSALS
        self._lingering = 0  # those on which a refused request is held up or dropped

    def open(self) -> None:
        if self._inherited is not None:
            self._socket = self._sockets.inherited(self._inherited)
        else:
            self._socket = self._sockets.listening(self._wanted)
        self._resume()

    @property
    def address(self) -> Address:
        assert self._socket is not None
        host, port = self._socket.getsockname()[:2]
        return host, port

    def _resume(self) -> None:
        if self._socket is not None and not self._accepting:
            self._accepting = True
            if self._inherited is None:
                self._socket.listen(min(BACKLOG, self.most))
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _pause(self) -> None:
        if self._socket is not None and self._accepting:
            self._accepting = False
            # Guards against connections that the kernel would take for an agent with no room for them.
            if self._inherited is None:
                self._socket.listen(0)
            asyncio.get_running_loop().remove_reader(self._socket)

    def _accept(self, most: int = AT_ONCE) -> None:
        assert self._socket is not None
        for _ in range(most):
            spare = self._spare() if len(self.clients) >= self.served else None
            if len(self.clients) >= self.most and spare is None:
                self._pause()
                self._serving.counters.connections["accept paused"] += 1
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as failed:
                # Guards against a process out of descriptors that would spin on its listener.
                self._serving.counters.connections["accept failed"] += 1
                self._log.event("accept failed", why=str(failed))
                self._pause()
                asyncio.get_running_loop().call_later(PAUSE, self._resume)
                return
            self._serving.counters.connections["client opened"] += 1
            if spare is not None:
                self.closed(spare, End.MADE_ROOM)
            try:
                client = Client(self._serving, self, sock)
            except OSError:  # gone before it was looked at
                sock.close()
                continue
            self.clients.add(client)
            self._serving.tasks.spawn("client", client.serve())

    @property
    def short(self) -> bool:
        """If so many clients have a connection that each answer had better be the last on its own.

        Guards against clients that ask once and keep the connection: all that others may open would stand idle
        for as long as such connections have to be left alone.
        """
        return len(self.clients) - len(self.fresh) >= SHORT * self.served

    @property
    def full(self) -> bool:
        return len(self.clients) > self.served

    def _spare(self) -> Client | None:
        """One that has said nothing for a while, else the one that has stood idle longest: its client opens another.

        Guards against connections by the hundred that say nothing and would push out those of usual clients, and
        against a request on its way on a connection that was opened for it just now.
        """
        silent = self._serving.clock.now() - ON_ITS_WAY * 1000
        said_nothing = takewhile(lambda client: client.since <= silent, self.fresh)
        by_turn = chain(said_nothing, self.idle, self.fresh)
        return next((client for client in by_turn if not client.channel.heard), None)

    def rests(self, client: Client) -> None:
        """A connection is between two requests: it could make room for another."""
        client.since = self._serving.clock.now()
        (self.fresh if client.fresh else self.idle)[client] = None
        if self._serving.standing.stopping:
            self.changed.set()  # its last answer was under way and promised that it stays
        self._resume()

    def stirs(self, client: Client) -> None:
        """Something has come on it, or it has ended."""
        self.fresh.pop(client, None)
        self.idle.pop(client, None)

    async def sweep(self) -> None:
        """Close those that say nothing, don't come to an end, or stand idle where room is short."""
        while True:
            await asyncio.sleep(SWEEP)
            now = self._serving.clock.now()
            for client, due in list(self.reading.items()):
                if now >= due:
                    client.turn_away(LATE, "the request did not come whole in time")
                    self.closed(client, End.SILENT)
            for client in list(self.fresh):
                if now < client.since + SILENT_FIRST * 1000:
                    break
                if not client.channel.heard:
                    self.closed(client, End.SILENT)
            if self._serving.standing.closes_idle(now):
                self.close_idle()
            for client in list(self.idle):
                if now < client.since + MAY_CLOSE * 1000 or len(self.clients) < CROWDED * self.served:
                    break
                if not client.channel.heard:
                    self.closed(client, End.IDLE)

    @asynccontextmanager
    async def refusing(self) -> AsyncIterator[bool]:
        """Room for the end of a bad request; without it, and where such are many, the end is a plain close.

        Guards against a flood that comes again as soon as it is turned away: past so many a second each waits
        its time, which costs nothing, and so many at most hold a descriptor.
        """
        now = self._serving.clock.now()
        self._refused = max(0.0, self._refused - (now - self._refused_at) / 1000 * REFUSALS) + 1
        self._refused_at = now
        room = self._lingering < max(1, int(LINGERING * self.most))
        self._lingering += 1
        try:
            if room and self._refused > REFUSALS:
                await asyncio.sleep(HELD_UP)
            yield room
        finally:
            self._lingering -= 1

    def closed(self, client: Client, end: End) -> None:
        if client not in self.clients:
            return
        client.channel.close()
        self.clients.discard(client)
        self.stirs(client)
        self._serving.counters.connections[f"client {end.value}"] += 1
        self.changed.set()
        if len(self.clients) < self.most:
            self._resume()

    def close_idle(self) -> None:
        for client in [*self.fresh, *self.idle]:
            if not client.channel.heard:
                self.closed(client, End.STOPPED)

    def close(self, take_in: bool = True) -> None:
        """Accept no more; what has come is taken in first, unless another process will."""
        if self._socket is not None:
            if take_in:
                self._accept(BACKLOG)
            self._pause()
            self._socket.close()
            self._socket = None
