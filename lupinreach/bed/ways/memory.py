"""In-memory sockets that connect the agent's IOStream and the bed's asyncio protocols in virtual time.

The agent's end implements the part of a non-blocking `socket.socket` that IOStream and the channel use; a peer's
end is an asyncio transport. Delays, cuts and losses between the two ends come from `network.Paths`.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lupinreach.bed.ways.loop import OWNER, VirtualLoop
from lupinreach.bed.world.network import Machine, Paths
from lupinreach.config import Address
from lupinreach.net.sockets import Sockets

SEND_WINDOW_BYTES = 64 << 10  # bytes in transit that a sender may have unacknowledged
FIRST_FD = 1 << 20  # above any descriptor of the process itself
TCP_INFO_BYTES, LAST_RECEIVED_OFFSET = 104, 52  # struct tcp_info: size, offset of tcpi_last_data_recv
RST = object()  # sent in place of bytes: the connection is reset


class ConnectionEnd:
    """One end of a connection: sends bytes to the remote end and receives what arrives from it."""

    def __init__(self, net: MemoryNet, machine: Machine) -> None:
        self.net = net
        self.machine = machine
        self.remote: ConnectionEnd | None = None
        self.closed = False
        self.unsent: list[Any] = []  # chunks held until the remote end is reachable again
        self._last_arrival = 0.0  # s, when the last chunk sent arrives; later chunks don't overtake it
        self.bytes_in_transit = 0  # sent and not yet received by the remote end

    def transmit(self, chunk: Any) -> None:
        """Sends a chunk to the remote end: bytes, b"" for end of stream, or RST."""
        remote = self.remote
        if remote is None or remote.closed:
            return
        paths, loop = self.net.paths, self.net.loop
        if self.unsent or not paths.reaches(self.machine, remote.machine):
            if chunk is RST:
                self.unsent.clear()  # a reset discards what was not yet sent
            self.unsent.append(chunk)
            self.net.blocked_ends[self] = None
            return
        size = len(chunk) if isinstance(chunk, bytes | bytearray) else 0
        self._last_arrival = (
            max(self._last_arrival, loop.time() + paths.delay(self.machine, remote.machine) / 1000)
            + paths.transmission_ms(self.machine, remote.machine, size) / 1000
        )
        loop.call_at(self._last_arrival, self._arrive, remote, chunk, context=self.net.context)

    def _arrive(self, remote: ConnectionEnd, chunk: Any) -> None:
        if not self.net.paths.reaches(self.machine, remote.machine):
            self.unsent.append(chunk)  # the path was cut while the chunk was in transit
            self.net.blocked_ends[self] = None
        elif not remote.closed:
            remote.receive(chunk)

    def flush_unsent(self) -> None:
        """Sends the held chunks again; they are held once more if the remote end is still unreachable."""
        blocked, self.unsent = self.unsent, []
        for chunk in blocked:
            self.transmit(chunk)

    def receive(self, chunk: Any) -> None:
        """Handles a chunk that arrived from the remote end."""
        raise NotImplementedError

    def on_window_update(self) -> None:
        """The remote end received some of the bytes in transit, so more can be sent."""


class MemorySocket(ConnectionEnd):
    """The agent's end of a connection, with the interface of a non-blocking `socket.socket`."""

    family = socket.AF_INET
    type = socket.SOCK_STREAM
    proto = 0

    def __init__(self, net: MemoryNet, machine: Machine) -> None:
        super().__init__(net, machine)
        self._fd = net.next_fd()
        self._receive_buffer = bytearray()
        self._peer_closed = False  # the remote end sends nothing more
        self._error = 0
        self.connected = False
        self._connecting = False
        self._shut = False
        self.write_blocked = False  # accepts no more bytes because the connection is about to break
        self._received = net.loop.time()
        self.address: Address | None = None
        self.owner = OWNER.get()
        net.loop.register_socket(self)
        net.sockets_by_owner.setdefault(self.owner, {})[self] = None

    # Interface for the event loop.

    def fileno(self) -> int:
        return -1 if self.closed else self._fd

    def readable(self) -> bool:
        return bool(self._receive_buffer or self._peer_closed or self._error)

    def writable(self) -> bool:
        return bool(
            self._error
            or (self.connected and self.bytes_in_transit < SEND_WINDOW_BYTES and not self.write_blocked)
        )

    # Interface for IOStream and the channel.

    def setblocking(self, flag: bool) -> None:
        assert not flag

    def setsockopt(self, *_: Any) -> None:
        pass

    def getsockopt(self, level: int, option: int, size: int = 0) -> Any:
        if level == socket.SOL_SOCKET and option == socket.SO_ERROR:
            error, self._error = self._error, 0
            if error:
                self._peer_closed = True
            return error
        if level == socket.IPPROTO_TCP and option == socket.TCP_INFO:
            info = bytearray(TCP_INFO_BYTES)
            ago = int((self.net.loop.time() - self._received) * 1000)
            info[LAST_RECEIVED_OFFSET : LAST_RECEIVED_OFFSET + 4] = struct.pack("=I", max(0, ago))
            return bytes(info[:size])
        return 0

    def connect(self, address: Address) -> None:
        if not self._connecting:
            self._connecting, self.address = True, address
            self.net.dial(self, address)
        raise BlockingIOError(errno.EINPROGRESS, "in progress")

    def recv_into(self, buffer: Any, size: int = 0) -> int:
        if self._receive_buffer:
            size = min(size or len(buffer), len(self._receive_buffer))
            buffer[:size] = self._receive_buffer[:size]
            del self._receive_buffer[:size]
            return size
        self._raise_pending_error()
        if self._peer_closed:
            return 0
        raise BlockingIOError(errno.EAGAIN, "nothing there")

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not self._receive_buffer:
            self._raise_pending_error(keep_error=True)
            if self._peer_closed:
                return b""
            raise BlockingIOError(errno.EAGAIN, "nothing there")
        found = bytes(self._receive_buffer[:size])
        if not flags & socket.MSG_PEEK:
            del self._receive_buffer[:size]
        return found

    def send(self, data: Any) -> int:
        self._raise_pending_error()
        if self._shut or self._peer_closed and self.remote is None:
            raise BrokenPipeError(errno.EPIPE, "broken pipe")
        if self.bytes_in_transit >= SEND_WINDOW_BYTES or self.write_blocked:
            raise BlockingIOError(errno.EAGAIN, "no room")
        piece = bytes(data[: SEND_WINDOW_BYTES - self.bytes_in_transit])
        taken = len(piece)
        if self.net.on_agent_send is not None:
            piece, taken = self.net.on_agent_send(self, piece)
        if piece:
            self.bytes_in_transit += len(piece)
            self.transmit(piece)
        return taken

    def shutdown(self, how: int) -> None:
        if how in (socket.SHUT_WR, socket.SHUT_RDWR) and not self._shut:
            self._shut = True
            self.transmit(b"")

    def close(self) -> None:
        if self.closed:
            return
        # As in TCP, closing with unread bytes sends a reset, which discards what was still in transit.
        self.transmit(RST if self._receive_buffer else b"" if not self._shut else RST)
        self.release()

    def release(self) -> None:
        """Removes the socket from the event loop and from its owner."""
        self.net.loop.unregister_socket(self)
        self.closed = True
        self.net.sockets_by_owner.get(self.owner, {}).pop(self, None)

    def _raise_pending_error(self, keep_error: bool = False) -> None:
        if self._error:
            error = self._error
            if not keep_error:
                self._error, self._peer_closed = 0, True
            raise OSError(error, os.strerror(error))

    # Events from the network.

    def on_connected(self, remote: ConnectionEnd) -> None:
        if not self.closed:
            self.remote, self.connected = remote, True
            self._received = self.net.loop.time()
            self.net.loop.notify_readiness(self)

    def on_connect_failed(self, error: int) -> None:
        if not self.closed:
            self._error = error
            self.net.loop.notify_readiness(self)

    def receive(self, chunk: Any) -> None:
        if chunk is RST:
            self._receive_buffer.clear()
            self.remote = None
            self._error = errno.ECONNRESET
        elif chunk:
            self._receive_buffer += chunk
            self._received = self.net.loop.time()
        else:
            self._peer_closed = True
        self.net.loop.notify_readiness(self)

    def on_window_update(self) -> None:
        if not self.closed:
            self.net.loop.notify_readiness(self)


class MemoryListener:
    """The listening socket of an agent."""

    def __init__(self, net: MemoryNet, machine: Machine, address: Address) -> None:
        self.net = net
        self.machine = machine
        self._fd = net.next_fd()
        self._address = address
        self._accept_queue: deque[MemorySocket] = deque()
        self._backlog = 0
        self.owner = OWNER.get()
        net.loop.register_socket(self)
        if address in net.listeners:
            raise OSError(errno.EADDRINUSE, "address in use")
        net.listeners[address] = self

    def fileno(self) -> int:
        return self._fd

    def readable(self) -> bool:
        return bool(self._accept_queue)

    def writable(self) -> bool:
        return False

    def listen(self, backlog: int) -> None:
        self._backlog = backlog

    def getsockname(self) -> Address:
        return self._address

    def accept(self) -> tuple[MemorySocket, Address]:
        if not self._accept_queue:
            raise BlockingIOError(errno.EAGAIN, "no connection waits")
        return self._accept_queue.popleft(), ("127.0.0.1", 1)

    def add_connection(self, transport: Line) -> bool:
        """Queues a connection of a client; False if the backlog is full."""
        if len(self._accept_queue) > self._backlog:
            return False
        with self.net.loop.owned_by(self.owner):
            sock = MemorySocket(self.net, self.machine)
        sock.remote, sock.connected = transport, True
        transport.remote = sock
        self._accept_queue.append(sock)
        self.net.loop.notify_readiness(self)
        return True

    def close(self) -> None:
        self.net.loop.unregister_socket(self)
        if self.net.listeners.get(self._address) is self:
            del self.net.listeners[self._address]
        for sock in self._accept_queue:
            sock.transmit(RST)
            sock.release()
        self._accept_queue.clear()


class Line(ConnectionEnd, asyncio.Transport):
    """The end of a client, backend or registry: a transport for its asyncio protocol."""

    def __init__(self, net: MemoryNet, machine: Machine, protocol: asyncio.Protocol) -> None:
        ConnectionEnd.__init__(self, net, machine)
        asyncio.Transport.__init__(self)
        self.protocol = protocol
        self._closing = False

    def receive(self, chunk: Any) -> None:
        remote = self.remote
        if chunk is RST:
            self._connection_lost(ConnectionResetError(errno.ECONNRESET, "reset"))
        elif chunk:
            if remote is not None:
                remote.bytes_in_transit -= len(chunk)
                remote.on_window_update()
            self.protocol.data_received(chunk)
        elif not self.protocol.eof_received():
            self.close()

    def _connection_lost(self, why: Exception | None) -> None:
        if not self.closed:
            self.closed = self._closing = True
            self.protocol.connection_lost(why)

    def write(self, data: Any) -> None:
        if not self._closing:
            self.transmit(bytes(data))

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            self.transmit(b"")
            self.net.loop.call_soon(self._connection_lost, None, context=self.net.context)

    def abort(self) -> None:
        if not self.closed:
            self.transmit(RST)
            self._closing = True
            self.net.loop.call_soon(self._connection_lost, None, context=self.net.context)

    def is_closing(self) -> bool:
        return self._closing

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "left":  # true once the remote end has closed, even before its b"" or RST arrives
            return self.remote is None or self.remote.closed
        return self.machine if name == "machine" else default

    def on_connected(self) -> None:
        self.protocol.connection_made(self)

    def on_connect_failed(self, why: Exception) -> None:
        self._connection_lost(why)


@dataclass(eq=False)
class DatagramEndpoint:
    """Receives the datagrams sent to one process."""

    machine: Machine
    address: Address
    protocol: asyncio.DatagramProtocol
    owner: int


class MemoryNet:
    """All connections and datagram endpoints of one run."""

    def __init__(self, loop: VirtualLoop, paths: Paths) -> None:
        self.loop = loop
        self.paths = paths
        self.context = contextvars.copy_context()  # the bed's own: callbacks run in it belong to no owner
        self.listeners: dict[Address, MemoryListener] = {}  # removed when they close
        self.servers: dict[Address, tuple[Machine, Callable[[], asyncio.Protocol]]] = {}
        self.blocked_ends: dict[ConnectionEnd, None] = {}  # with unsent chunks; emptied by `flush_blocked`
        self.blocked_dials: list[tuple[MemorySocket, Address]] = []  # unanswered; emptied by `flush_blocked`
        self.sockets_by_owner: dict[int, dict[MemorySocket, None]] = {}  # open sockets
        self.datagram_endpoints: dict[Address, DatagramEndpoint] = {}  # removed with their agent
        # Called with each piece that an agent sends; returns the bytes to transmit and the count reported to the agent.
        self.on_agent_send: Callable[[MemorySocket, bytes], tuple[bytes, int]] | None = None
        self.broadcast_address: Address | None = None  # datagrams sent there go to every other endpoint
        self._last_fd = FIRST_FD

    def next_fd(self) -> int:
        """Returns a descriptor number that was never used in this run."""
        self._last_fd += 1
        return self._last_fd

    def serve(self, address: Address, machine: Machine, protocol: Callable[[], asyncio.Protocol]) -> None:
        """Registers a server that agents connect to."""
        self.servers[address] = machine, protocol

    def dial(self, sock: MemorySocket, address: Address) -> None:
        """Connects an agent's socket; this takes one round trip."""
        found = self.servers.get(address)
        if found is None:
            self.loop.call_later(0.0, sock.on_connect_failed, errno.ECONNREFUSED, context=self.context)
            return
        machine, protocol = found
        if self.paths.refuses(sock.machine, machine):
            self.loop.call_later(0.0, sock.on_connect_failed, errno.ECONNREFUSED, context=self.context)
            return
        if not self.paths.reaches(sock.machine, machine):
            self.blocked_dials.append((sock, address))
            return
        forward_delay = self.paths.delay(sock.machine, machine) / 1000
        return_delay = self.paths.delay(machine, sock.machine) / 1000
        self.loop.call_later(
            forward_delay, self._on_dial_arrived, sock, address, return_delay, context=self.context
        )

    def _on_dial_arrived(self, sock: MemorySocket, address: Address, return_delay: float) -> None:
        if sock.closed:
            return
        machine, protocol = self.servers[address]
        if not self.paths.reaches(sock.machine, machine) or not self.paths.reaches(machine, sock.machine):
            self.blocked_dials.append((sock, address))  # the connection request or its answer was lost
        elif machine.refusing:
            self.loop.call_later(
                return_delay, sock.on_connect_failed, errno.ECONNREFUSED, context=self.context
            )
        else:
            transport = Line(self, machine, protocol())
            transport.remote = sock
            transport.on_connected()
            self.loop.call_later(return_delay, sock.on_connected, transport, context=self.context)

    def connect(self, machine: Machine, protocol: asyncio.Protocol, address: Address) -> None:
        """Connects a client to an agent's listener."""
        transport = Line(self, machine, protocol)
        listener = self.listeners.get(address)
        if listener is None or not listener.add_connection(transport):
            why = ConnectionRefusedError(errno.ECONNREFUSED, "refused")
            self.loop.call_soon(transport.on_connect_failed, why, context=self.context)
        else:
            self.loop.call_soon(transport.on_connected, context=self.context)

    def flush_blocked(self) -> None:
        """Sends held chunks and retries unanswered connections after a path has become reachable again."""
        blocked, self.blocked_ends = list(self.blocked_ends), {}
        for end in blocked:
            if not end.closed or end.unsent:
                end.flush_unsent()
        blocked_dials, self.blocked_dials = self.blocked_dials, []
        for sock, address in blocked_dials:
            if not sock.closed:
                self.dial(sock, address)

    def close_owner(self, owner: int) -> None:
        """Ends an owner's process: closes its listeners, resets its connections, removes its datagram endpoints."""
        for listener in [s for s in self.listeners.values() if s.owner == owner]:
            listener.close()
        for sock in list(self.sockets_by_owner.pop(owner, {})):
            sock.transmit(RST)
            sock.release()
        self.datagram_endpoints = {
            at: endpoint for at, endpoint in self.datagram_endpoints.items() if endpoint.owner != owner
        }

    def reset_refused(self) -> None:
        """Resets open connections between machines that refuse each other, at both ends at the same time."""
        for sockets in list(self.sockets_by_owner.values()):
            for sock in list(sockets):
                remote = sock.remote
                if remote is not None and self.paths.refuses(sock.machine, remote.machine):
                    for end in (sock, remote):
                        if not end.closed:
                            self.loop.call_soon(end.receive, RST, context=self.context)

    # Datagrams between agents.

    def send_datagram(self, machine: Machine, source: Address, address: Address, data: bytes) -> None:
        """Sends a datagram to one endpoint, or to all others through the broadcast address."""
        for endpoint in self._datagram_endpoints_at(address, source):
            for delay_ms in self.paths.datagram_delays(machine, endpoint.machine):
                self.loop.call_later(
                    delay_ms / 1000, self._deliver_datagram, endpoint, data, source, context=self.context
                )

    def _datagram_endpoints_at(self, address: Address, source: Address) -> list[DatagramEndpoint]:
        if address == self.broadcast_address:
            return [endpoint for endpoint in self.datagram_endpoints.values() if endpoint.address != source]
        return [self.datagram_endpoints[address]] if address in self.datagram_endpoints else []

    def _deliver_datagram(self, endpoint: DatagramEndpoint, data: bytes, source: Address) -> None:
        """Delivers a datagram as a callback of the receiving process; dropped if the endpoint was removed."""
        if self.datagram_endpoints.get(endpoint.address) is endpoint:
            with self.loop.owned_by(endpoint.owner):
                self.loop.call_soon(endpoint.protocol.datagram_received, data, source)


class MemorySockets(Sockets):
    """Socket factory given to one agent in place of the operating system's."""

    def __init__(self, net: MemoryNet, machine: Machine, max_sockets: int = 1 << 16) -> None:
        self._net = net
        self._machine = machine
        self._max_sockets = max_sockets  # limit of open sockets of the process

    def stream(self, address: Address) -> Any:
        if len(self._net.sockets_by_owner.get(OWNER.get(), ())) >= self._max_sockets:
            raise OSError(errno.EMFILE, "too many open files")
        return MemorySocket(self._net, self._machine)

    def listening(self, address: Address) -> Any:
        return MemoryListener(self._net, self._machine, address)

    async def datagrams(self, protocol: Callable[[], asyncio.DatagramProtocol], address: Address) -> None:
        endpoint = DatagramEndpoint(self._machine, address, protocol(), OWNER.get())
        endpoint.protocol.connection_made(_Datagrams(self._net, endpoint))  # type: ignore[arg-type]
        self._net.datagram_endpoints[address] = endpoint


class _Datagrams:
    """Transport for the datagrams of one agent."""

    def __init__(self, net: MemoryNet, endpoint: DatagramEndpoint) -> None:
        self._net, self._post = net, endpoint

    def sendto(self, data: bytes, address: Address) -> None:
        self._net.send_datagram(self._post.machine, self._post.address, address, data)

    def close(self) -> None:
        if self._net.datagram_endpoints.get(self._post.address) is self._post:
            del self._net.datagram_endpoints[self._post.address]
