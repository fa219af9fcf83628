"""A proxy that is told to end closes a connection on which its last answer is still under way.

A client keeps four `safe` requests under way on one connection. The proxy is stopped while it answers. It closes the
connection as soon as it has handed the answers to its kernel, and reads nothing more; the client's next request then
meets a closed socket, whose kernel resets the connection and drops the rest of the answers. Rule LOST: a process has
read a whole request, has passed it on, and the connection ends without a complete answer.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    Backend,
    ConnectionBroken,
    Machine,
    Mesh,
    Record,
    configuration,
    new_request_id,
    read_response,
    request_bytes,
    route,
    run_case,
)

WORK_S = 0.048
ANSWER_BYTES = 30_000  # the largest answer to a ticket look-up
OUTSTANDING = 4  # requests that a client has sent and not got answered
DEADLINE_MS = 4000
LEAD_S = 2.0  # of traffic before the SIGTERM
AFTER_S = 3.0
LINK_DELAY_S = 0.008  # one way, from a zone to its clients
LINK_BYTES_PER_S = 2_700_000 / 8  # of a machine whose link has 2.7 Mbit/s
LINK_STEP_BYTES = 1350
LINK_WINDOW_BYTES = 8192  # links have small windows


class SlowLink:
    """Relays connections of one client to a proxy, with the delay, the bandwidth and the window of a link."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str) -> tuple[str, int]:
        """Accept connections on a free port; returns the address."""
        server = await asyncio.start_server(self._on_client, host, 0)
        return server.sockets[0].getsockname()

    async def _on_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        proxy = socket.socket()
        proxy.setblocking(False)
        proxy.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LINK_WINDOW_BYTES)
        proxy.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, LINK_STEP_BYTES)
        proxy.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await loop.sock_connect(proxy, self._target)
        except OSError:
            writer.transport.abort()
            return
        upwards = asyncio.create_task(self._to_proxy(reader, proxy))
        try:
            await self._to_client(proxy, writer)
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            upwards.cancel()
            proxy.close()

    async def _to_proxy(self, reader: asyncio.StreamReader, proxy: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while data := await reader.read(65536):
            await asyncio.sleep(LINK_DELAY_S)
            try:
                await loop.sock_sendall(proxy, data)
            except OSError:
                return

    async def _to_client(self, proxy: socket.socket, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        free_at = loop.time()  # when the link has carried what it was given
        while True:
            try:
                data = await loop.sock_recv(proxy, LINK_STEP_BYTES)
            except OSError:
                loop.call_later(LINK_DELAY_S, writer.transport.abort)
                return
            if not data:
                loop.call_later(LINK_DELAY_S, writer.close)
                return
            loop.call_later(LINK_DELAY_S, writer.write, data)
            free_at = max(free_at, loop.time()) + len(data) / LINK_BYTES_PER_S
            await asyncio.sleep(max(0.0, free_at - loop.time()))


class Client:
    """Keeps `OUTSTANDING` `safe` requests under way on one connection, until that ends."""

    def __init__(self, record: Record) -> None:
        self.unanswered: list[str] = []  # in the order of sending
        self.answer_begun = asyncio.Event()
        self._record = record

    async def run(self, address: tuple[str, int]) -> None:
        """Send until the connection ends or an answer says that it will."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            while True:
                while len(self.unanswered) < OUTSTANDING:
                    self._send(writer)
                if await self._read(reader):
                    return
        except (ConnectionBroken, asyncio.IncompleteReadError, ConnectionError) as ended:
            self._record.write(f"client: connection ended, {ended!r}; without an answer: {self.unanswered}")
        finally:
            writer.close()

    def _send(self, writer: asyncio.StreamWriter) -> None:
        request_id = new_request_id()
        self.unanswered.append(request_id)
        self._record.write(f"client sends {request_id}")
        writer.write(request_bytes("GET", "/read/ticket", request_id, DEADLINE_MS))

    async def _read(self, reader: asyncio.StreamReader) -> bool:
        """Read one answer; returns whether it says that its connection closes."""
        first = await reader.readexactly(1)
        self.answer_begun.set()
        response = await read_response(_Rest(first, reader))
        self.answer_begun.clear()
        request_id = self.unanswered.pop(0)
        closes = response.headers.get(b"connection") == b"close"
        ending = ", and the connection closes" if closes else ""
        self._record.write(
            f"client gets {response.status}, {len(response.body)} bytes, for {request_id}{ending}"
        )
        return closes


class _Rest:
    """A stream of which the first byte was already read."""

    def __init__(self, first: bytes, reader: asyncio.StreamReader) -> None:
        self._first = first
        self._reader = reader

    async def readuntil(self, separator: bytes) -> bytes:
        return self._first + await self._reader.readuntil(separator)

    async def readexactly(self, count: int) -> bytes:
        return await self._reader.readexactly(count)


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; returns whether the rule held."""
    mesh = Mesh(record, folder)
    backends = [Backend(mesh, machine, WORK_S, ANSWER_BYTES) for machine in mesh.sidecars]
    stopped: Machine = mesh.sidecars[0]
    try:
        await mesh.start(configuration(1, [route("/read/", "safe", DEADLINE_MS, 1000)]), backends)
        await asyncio.sleep(2.0)
        client = Client(record)
        address = await SlowLink(stopped.address("outbound")).listen(stopped.host)
        sending = asyncio.create_task(client.run(address))
        await asyncio.sleep(LEAD_S)
        if trouble:
            client.answer_begun.clear()
            await client.answer_begun.wait()
            mesh.send_signal(stopped, signal.SIGTERM)
        await asyncio.wait((sending,), timeout=AFTER_S)
        sending.cancel()
        return judge(record, client, backends, trouble)
    finally:
        await mesh.stop_all()


def judge(record: Record, client: Client, backends: list[Backend], trouble: bool) -> bool:
    """Whether each request that was passed on got its whole answer."""
    if not trouble:
        return len(client.unanswered) <= OUTSTANDING  # those under way when the case ended
    run_ids = {request_id for backend in backends for request_id in backend.runs}
    lost = [request_id for request_id in client.unanswered if request_id in run_ids]
    for request_id in lost:
        record.write(
            f"LOST: {request_id} was passed on and answered, and its connection ended before the answer did"
        )
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).resolve().parent), case))
