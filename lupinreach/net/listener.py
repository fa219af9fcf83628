"""Accepts clients, reads their requests and writes the answers, one request at a time per connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from itertools import chain, takewhile

from lupinreach.config import Address
from lupinreach.net import http, protocol
from lupinreach.net.call import ApiCall, BadRequest, compose, parse_call
from lupinreach.net.channel import INITIAL_BUFFER_BYTES, Channel
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded
from lupinreach.net.log import Log
from lupinreach.net.reply import Reply
from lupinreach.net.serving import Serving
from lupinreach.net.sockets import Sockets
from lupinreach.net.upload import Upload, UploadStopped

ACCEPT_BACKLOG = 512
MAX_ACCEPTS_PER_TURN = 64  # per readiness event of the listening socket
ACCEPT_RETRY_S = 0.1  # pause in accepting when the process has run out of descriptors
# The rest of a refused request is read and discarded, so that its client gets to see the answer.
LINGER_S = 0.5
MAX_DISCARDED_BYTES = 256 << 10
MAX_LINGERING_FRACTION = 1 / 8  # of all connections
FIRST_REQUEST_GRACE_S = 0.25  # the first request on a new connection may still be on its way
FIRST_BYTE_TIMEOUT_S = 2.0  # from the accept to the first byte
REQUEST_TIMEOUT_S = 2.5  # from the accept, or from the first byte of a later request, to its last byte
MIN_BODY_BYTES_PER_MS = 32.0  # extends the timeout of long requests; half the rate guaranteed to clients
MIN_IDLE_S = 2.0  # idle connections may be closed after this, once the agent is crowded
CROWDED_FRACTION = 1 / 2  # of `max_served`: from here on idle connections are closed
CLOSE_AFTER_ANSWER_FRACTION = 0.6  # of `max_served`: from here on an answer closes its connection
SWEEP_INTERVAL_S = 0.25
REFUSALS_PER_S = 50.0  # bad requests that are refused at once; those beyond this rate are delayed
REFUSAL_DELAY_S = 1.0
# Connections, at least 2, reserved for rejecting clients beyond `max_served` with an answer.
RESERVED_FRACTION = 1 / 8
OVERLOADED_STATUS, TIMED_OUT_STATUS = 503, 408
REFUSAL_STATUSES = {ConnectionEnd.MALFORMED: 400, ConnectionEnd.TOO_LARGE: 413}


class Client:
    """A connection of a client."""

    def __init__(self, serving: Serving, listener: Listener, sock: socket.socket) -> None:
        self._serving = serving
        self._listener = listener
        self.channel = Channel(sock, http.MAX_HEAD_BYTES + http.SINGLE_BUFFER_BODY_BYTES)
        self.since = serving.clock.now()  # ms; time of the accept or of the end of the last call
        self.fresh = True  # nothing was received yet
        self._keep_alive = True  # as the last request asked for
        self._writing: asyncio.Future[None] | None = None
        self._held = 0  # bytes reserved in `body_memory` for the body that is being read
        self._body_since = 0.0
        self._http10 = False  # the request is HTTP/1.0

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        end = ConnectionEnd.CLOSED_BY_PEER
        try:
            while self._keep_alive:
                await self._serve_request()
            end = ConnectionEnd.STOPPED if self._serving.readiness.stopping else ConnectionEnd.CLOSED_BY_PEER
        except ConnectionEnded as ended:
            end = ended.end
            if end in REFUSAL_STATUSES:
                await self._refuse(REFUSAL_STATUSES[end], end.value)
        except BadRequest as bad:
            end = ConnectionEnd.MALFORMED
            await self._refuse(bad.status, str(bad))
        finally:
            self._listener.close_client(self, end)

    async def _serve_request(self) -> None:
        """Read one request and answer it."""
        channel, listener = self.channel, self._listener
        if channel.start == channel.end:
            listener.on_idle(self)
            try:
                await channel.fill()
            except ConnectionEnded:
                raise ConnectionEnded(ConnectionEnd.CLOSED_BY_PEER) from None
            finally:
                listener.on_active(self)
        now = self._serving.clock.now()
        listener.request_deadlines[self] = (self.since if self.fresh else now) + REQUEST_TIMEOUT_S * 1000
        self.fresh = False
        try:
            head = await http.read_head(channel, answer=False)
            if b"expect" in head.headers and channel.start == channel.end:  # the client may wait for a 100
                channel.write(http.CONTINUE)
            self._http10 = head.is_http10
            self._body_since = self._serving.clock.now()
            request = http.message(head, b"")
            upload = await self._read_body(head, request)
        except UploadStopped:
            # The request has not run, so a retry is harmless. The rest of it is discarded.
            self._release()
            self._reject(head.headers)
            await channel.drain(MAX_DISCARDED_BYTES, LINGER_S)
            return
        except BaseException:
            self._release()
            raise
        finally:
            del listener.request_deadlines[self]
        if channel.end > channel.start:
            self._release(upload)
            # The protocol allows one request at a time; guards against hundreds of pipelined requests.
            raise BadRequest("more has come than one request")
        self._keep_alive = request.keep_alive
        arrived = self._serving.clock.now() - channel.ms_since_receive  # time of its last byte
        if request.target == protocol.READY_PATH:
            self._release(upload)
            self.send_answer(200 if self._serving.readiness.ready else 503)
            await self._wait_until_written()
        else:
            self._serving.counters.open += 1
            try:
                await self._api_call(request, arrived, upload)
                await self._wait_until_written()
            finally:
                self._serving.counters.open -= 1

    async def _wait_until_written(self) -> None:
        """Wait until the kernel has taken the answer."""
        if self._writing is not None:
            try:
                if not self._writing.done():
                    async with asyncio.timeout(self._serving.longest_wait / 1000):
                        await self._writing
                await self._writing
            except (OSError, TimeoutError):
                raise ConnectionEnded(ConnectionEnd.CLOSED_BY_PEER) from None

    async def _api_call(self, request: http.Message, arrived: float, upload: Upload | None) -> None:
        if self._listener.is_full:
            # Rejected before it reaches the module; no attempt was made, so a retry is harmless. Else the
            # kernel would accept requests that the process has no descriptor to read.
            self._release(upload)
            self._reject(request.headers)
            return
        try:
            call = ApiCall(self._serving, request, arrived, self, upload)
        except BadRequest:
            self._release(upload)
            raise
        self._held = 0  # the API call releases it
        # Reading on detects a client that leaves while its attempt is in flight.
        reading = self.channel.listen()
        reading.add_done_callback(call.on_client_input)
        self._serving.tasks.spawn("api call", call.run())
        await call.answered
        reading.remove_done_callback(call.on_client_input)

    def _decide_keep_alive(self) -> bool:
        """Decide if the connection stays open after the answer, which announces it."""
        if self._serving.readiness.closes_after_answer or self._listener.is_crowded:
            self._keep_alive = False
        return self._keep_alive

    def send_answer(
        self, status: int, lines: Sequence[http.Slice | bytes] = (), body: http.Slice | bytes = b""
    ) -> None:
        """Write a complete answer."""
        self._writing = self.channel.write(http.response(status, lines, body, self._decide_keep_alive()))

    def begin_answer(self, status: int, lines: Sequence[http.Slice | bytes], length: int | None) -> Reply:
        """Start an answer whose body is streamed."""
        if length is None and self._http10:
            self._keep_alive = False
        return Reply(self.channel, status, lines, length, self._decide_keep_alive(), self._http10)

    def abort_answer(self) -> None:
        """Reset the connection, so that the client can tell that the answer is incomplete."""
        self._keep_alive = False
        self.channel.abort()

    async def _read_body(self, head: http.Head, request: http.Message) -> Upload | None:
        """Read the body into memory or, beyond the limits, forward it to a backend while it is read."""
        if not head.chunked and (head.length or 0) <= http.SINGLE_BUFFER_BODY_BYTES:
            request.body = await http.read_body(
                self.channel, head, http.SINGLE_BUFFER_BODY_BYTES, self._on_body_progress
            )
            return None
        body, received = http.Body(self.channel, head, protocol.MAX_BODY_BYTES), bytearray()
        while True:
            for piece in body.take_available():
                received += piece
            self._on_body_progress(body.size)
            if body.size > http.SINGLE_BUFFER_BODY_BYTES:
                if not self._serving.body_memory.reserve(body.size - self._held, body.size):
                    return await self._forward_while_reading(request, received, body)
                self._held = body.size
            if body.done:
                request.body = memoryview(received)
                return None
            await body.wait_more()

    async def _forward_while_reading(
        self, request: http.Message, received: bytearray, body: http.Body
    ) -> Upload:
        """Forward a request beyond the memory limits while it is read; it can have one attempt only."""
        serving = self._serving
        new_call, _ = parse_call(None, request, serving.clock.now(), serving)
        if request.method == b"GET":
            raise BadRequest("GET is for what may run again, and has no body")
        backend = (
            None
            if self._listener.is_full
            else serving.balancer.choose_for_upload(serving.clock.now(), new_call.product)
        )
        if backend is None:
            raise UploadStopped
        upload = Upload(serving.pool, serving.directory.place(backend), body.length is None)
        serving.counters.others["requests sent ahead"] += 1
        # A long request would otherwise be read in thousands of pieces.
        self.channel.min_buffer = http.SINGLE_BUFFER_BODY_BYTES
        left = (new_call.until - serving.clock.now()) / 1000  # counts from the last byte
        try:
            await upload.run(
                compose(request, left, body.length),
                received,
                body,
                self._on_body_progress,
                serving.longest_wait / 1000,
            )
        except BaseException:
            upload.discard()
            raise
        finally:
            self.channel.min_buffer = INITIAL_BUFFER_BYTES
        self._release()
        return upload

    def _reject(self, headers: dict[bytes, bytes]) -> None:
        """Answer 503 to a request for which no attempt was made, and close the connection."""
        kind = headers.get(protocol.KIND)
        self._serving.counters.count_answer(
            "no room", kind.decode() if kind in self._serving.products else None
        )
        self._keep_alive = False
        self.send_answer(OVERLOADED_STATUS)

    def _on_body_progress(self, size: int) -> None:
        """Extend the deadline of the request by the bytes of its body that have arrived."""
        self._listener.request_deadlines[self] = (
            self._body_since + REQUEST_TIMEOUT_S * 1000 + size / MIN_BODY_BYTES_PER_MS
        )

    def _release(self, upload: Upload | None = None) -> None:
        self._serving.body_memory.release(self._held)
        self._held = 0
        if upload is not None:
            upload.discard()

    async def _refuse(self, status: int, why: str) -> None:
        """Refuse a bad request and close the connection, whose further content can't be interpreted."""
        self._serving.counters.answered["bad request"] += 1
        async with self._listener.refusal_slot() as may_answer:
            if may_answer:
                self.send_refusal(status, why)
                await self.channel.drain(MAX_DISCARDED_BYTES, LINGER_S)

    def send_refusal(self, status: int, why: str) -> None:
        """Write an error answer that closes the connection."""
        self.channel.write(
            http.response(status, [b"Content-Type: text/plain\r\n"], why.encode(), keep_alive=False)
        )


class Listener:
    """Accepts as many clients as there are descriptors for."""

    def __init__(
        self,
        serving: Serving,
        sockets: Sockets,
        address: Address,
        log: Log,
        max_connections: int,
        inherited: int | None = None,
    ) -> None:
        self._serving = serving
        self._sockets = sockets
        self._address = address
        # Listening descriptor, shared with another process: its backlog is not changed.
        self._inherited = inherited
        self._log = log
        self.changed = asyncio.Event()  # set when a client connection has closed
        self.max_connections = max_connections
        # Clients beyond this are rejected.
        self.max_served = max_connections - max(2, int(RESERVED_FRACTION * max_connections))
        self._socket: socket.socket | None = None
        self._accepting = False
        self.clients: set[Client] = set()  # open connections
        self.idle: dict[Client, None] = {}  # between two requests, longest idle first
        self.fresh: dict[Client, None] = {}  # have sent nothing yet, oldest first
        self.request_deadlines: dict[Client, float] = {}  # when requests must be complete (ms)
        # Leaky bucket of bad requests, drained at REFUSALS_PER_S.
        self._recent_refusals, self._refusals_updated_at = 0.0, 0.0
        self._lingering = 0  # connections on which a refusal is delayed or input is discarded

    def open(self) -> None:
        """Bind or take over the listening socket and start to accept."""
        if self._inherited is not None:
            self._socket = self._sockets.inherited(self._inherited)
        else:
            self._socket = self._sockets.listening(self._address)
        self._resume()

    @property
    def address(self) -> Address:
        """The bound address."""
        assert self._socket is not None
        host, port = self._socket.getsockname()[:2]
        return host, port

    def _resume(self) -> None:
        if self._socket is not None and not self._accepting:
            self._accepting = True
            if self._inherited is None:
                self._socket.listen(min(ACCEPT_BACKLOG, self.max_connections))
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _pause(self) -> None:
        if self._socket is not None and self._accepting:
            self._accepting = False
            # Otherwise the kernel would accept connections that the agent has no descriptors for.
            if self._inherited is None:
                self._socket.listen(0)
            asyncio.get_running_loop().remove_reader(self._socket)

    def _accept(self, max_accepts: int = MAX_ACCEPTS_PER_TURN) -> None:
        assert self._socket is not None
        for _ in range(max_accepts):
            evicted = self._find_evictable() if len(self.clients) >= self.max_served else None
            if len(self.clients) >= self.max_connections and evicted is None:
                self._pause()
                self._serving.counters.connections["accept paused"] += 1
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as failed:
                # Out of descriptors: without the pause the event loop would spin on the readable listener.
                self._serving.counters.connections["accept failed"] += 1
                self._log.event("accept failed", why=str(failed))
                self._pause()
                asyncio.get_running_loop().call_later(ACCEPT_RETRY_S, self._resume)
                return
            self._serving.counters.connections["client opened"] += 1
            if evicted is not None:
                self.close_client(evicted, ConnectionEnd.EVICTED)
            try:
                client = Client(self._serving, self, sock)
            except OSError:  # the client has disconnected already
                sock.close()
                continue
            self.clients.add(client)
            self._serving.tasks.spawn("client", client.serve())

    @property
    def is_crowded(self) -> bool:
        """If so many clients are connected that answers close their connections.

        Guards against clients that send one request and keep the connection: idle connections may not be
        closed for some time, so these would use up the descriptors of other clients.
        """
        return len(self.clients) - len(self.fresh) >= CLOSE_AFTER_ANSWER_FRACTION * self.max_served

    @property
    def is_full(self) -> bool:
        """If more clients are connected than are served."""
        return len(self.clients) > self.max_served

    def _find_evictable(self) -> Client | None:
        """The connection to close for a new one: one that sent nothing for a while, else the longest idle.

        Hundreds of connections without a request must not displace those of usual clients. A connection that
        was just opened comes last, since its request may be on its way.
        """
        silent_since = self._serving.clock.now() - FIRST_REQUEST_GRACE_S * 1000
        silent_clients = takewhile(lambda client: client.since <= silent_since, self.fresh)
        candidates = chain(silent_clients, self.idle, self.fresh)
        return next((client for client in candidates if not client.channel.has_unread_input), None)

    def on_idle(self, client: Client) -> None:
        """The connection waits for a request and may be closed for another one."""
        client.since = self._serving.clock.now()
        (self.fresh if client.fresh else self.idle)[client] = None
        if self._serving.readiness.stopping:
            self.changed.set()  # its last answer had already announced keep-alive
        self._resume()

    def on_active(self, client: Client) -> None:
        """Input has arrived on the connection, or it has ended."""
        self.fresh.pop(client, None)
        self.idle.pop(client, None)

    async def sweep(self) -> None:
        """Close connections whose request is late, and idle ones once the agent is crowded or drained."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self._serving.clock.now()
            for client, due in list(self.request_deadlines.items()):
                if now >= due:
                    client.send_refusal(TIMED_OUT_STATUS, "the request did not come whole in time")
                    self.close_client(client, ConnectionEnd.TIMED_OUT)
            for client in list(self.fresh):
                if now < client.since + FIRST_BYTE_TIMEOUT_S * 1000:
                    break
                if not client.channel.has_unread_input:
                    self.close_client(client, ConnectionEnd.TIMED_OUT)
            if self._serving.readiness.closes_idle(now):
                self.close_idle()
            for client in list(self.idle):
                if (
                    now < client.since + MIN_IDLE_S * 1000
                    or len(self.clients) < CROWDED_FRACTION * self.max_served
                ):
                    break
                if not client.channel.has_unread_input:
                    self.close_client(client, ConnectionEnd.IDLE)

    @asynccontextmanager
    async def refusal_slot(self) -> AsyncIterator[bool]:
        """Yields whether a bad request may be answered; otherwise its connection is just closed.

        Guards against a flood of clients that return as soon as they are refused: beyond REFUSALS_PER_S each
        refusal is delayed, and the number of connections that are held for it is limited.
        """
        now = self._serving.clock.now()
        self._recent_refusals = (
            max(0.0, self._recent_refusals - (now - self._refusals_updated_at) / 1000 * REFUSALS_PER_S) + 1
        )
        self._refusals_updated_at = now
        has_slot = self._lingering < max(1, int(MAX_LINGERING_FRACTION * self.max_connections))
        self._lingering += 1
        try:
            if has_slot and self._recent_refusals > REFUSALS_PER_S:
                await asyncio.sleep(REFUSAL_DELAY_S)
            yield has_slot
        finally:
            self._lingering -= 1

    def close_client(self, client: Client, end: ConnectionEnd) -> None:
        """Close a connection and count how it ended. Idempotent."""
        if client not in self.clients:
            return
        client.channel.close()
        self.clients.discard(client)
        self.on_active(client)
        self._serving.counters.connections[f"client {end.value}"] += 1
        self.changed.set()
        if len(self.clients) < self.max_connections:
            self._resume()

    def close_idle(self) -> None:
        """Close the connections between two requests, unless input has arrived."""
        for client in [*self.fresh, *self.idle]:
            if not client.channel.has_unread_input:
                self.close_client(client, ConnectionEnd.STOPPED)

    def close(self, take_in: bool = True) -> None:
        """Stop accepting; with `take_in`, what waits in the backlog is accepted first."""
        if self._socket is not None:
            if take_in:
                self._accept(ACCEPT_BACKLOG)
            self._pause()
            self._socket.close()
            self._socket = None
