"""HTTP/1.1 server of the mesh processes: complete requests in, complete responses out, in request order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.mesh.arrival import ArrivalClock
from lupinreach.mesh.buffer_budget import BufferBudget
from lupinreach.mesh.http_types import HttpRequest, RequestHandler, ServerLimits
from lupinreach.mesh.link import Address
from lupinreach.mesh.server_connection import ServerConnection
from lupinreach.mesh.tasks import spawn

TIMEOUT_SWEEP_INTERVAL_S = 0.5
STOP_SWEEP_INTERVAL_S = 0.05  # between two looks for connections that a stopping server can close


class HttpServer:
    """Listens on one address and passes each request to a coroutine.

    Pipelined requests are served one after the other, except those that `may_overlap` allows to run at once.
    """

    def __init__(
        self,
        handle: RequestHandler,
        may_overlap: Callable[[HttpRequest], bool] = lambda request: False,
        budget: BufferBudget | None = None,
        on_fault: Callable[[BaseException], None] = lambda fault: None,
        arrivals: ArrivalClock | None = None,
    ) -> None:
        self.handle = handle
        self.arrivals = arrivals
        self.may_overlap = may_overlap
        self.on_fault = on_fault
        self.budget = budget or BufferBudget(64 << 20)
        self.limits = ServerLimits()
        self.stopping = False
        self.closed = False
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self._idle_closer: asyncio.Task[None] | None = None

    async def listen(self, address: Address) -> None:
        """Start accepting connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), *address, backlog=1024, reuse_address=True
        )
        self._sweeper = spawn(self._sweep_timeouts())

    async def _sweep_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TIMEOUT_SWEEP_INTERVAL_S)
            now = loop.time()
            for connection in list(self.connections):
                connection.check_timeouts(now)

    @property
    def busy(self) -> bool:
        """True while any request is being received or served, or a response has not arrived."""
        return any(connection.busy for connection in self.connections)

    @property
    def sending(self) -> bool:
        """True while a part of any response has not arrived at its client's machine."""
        return any(connection.sending for connection in self.connections)

    def stop(self) -> None:
        """Start a graceful shutdown: close each connection after its last response, and idle ones at once."""
        self.stopping = True
        self._close_idle()
        self._idle_closer = spawn(self._close_until_none_is_left())

    def _close_idle(self) -> None:
        for connection in list(self.connections):
            connection.close_if_idle()

    async def _close_until_none_is_left(self) -> None:
        while self.connections:
            await asyncio.sleep(STOP_SWEEP_INTERVAL_S)
            self._close_idle()

    async def finish(self, timeout_s: float) -> None:
        """Accept no more connections, and wait until all requests are answered and the answers have arrived."""
        self.close()
        self.stop()
        deadline = asyncio.get_running_loop().time() + timeout_s
        while self.busy and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(STOP_SWEEP_INTERVAL_S)

    def abandon(self) -> None:
        """Answer all requests still in progress as outcome unknown, and unstarted ones as stopping.

        A client learns more from that than from a closed connection.
        """
        for connection in list(self.connections):
            connection.abandon()

    def close(self) -> None:
        """Stop accepting, and reading requests on open connections.

        A connection accepted after this is aborted without reading from it.
        """
        self.closed = True
        if self._server is not None:
            self._server.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
