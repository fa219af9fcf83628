"""Sockets in memory: what the agent's IOStream and the bed's asyncio protocols talk through in virtual time.

An agent's end looks like a non-blocking `socket.socket`, as far as IOStream and the channel use one; a peer's end
is an asyncio transport. Between the two stands `network.Paths`.
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

WINDOW = 64 << 10  # bytes on their way that a sender may have out
FIRST_FD = 1 << 20  # far from any that the process has
TCP_INFO_SIZE, LAST_RECEIVED = 104, 52
GIVES_UP = 3000.0  # ms after which a connection that never comes up ends by itself
RST = object()

Opened = Callable[["Line"], asyncio.Protocol]


class Side:
    """One end of a connection: what has come in, and the way to the other end."""

    def __init__(self, net: MemoryNet, machine: Machine) -> None:
        self.net = net
        self.machine = machine
        self.other: Side | None = None
        self.closed = False
        self.unsent: list[Any] = []  # held while the other end can't be reached; emptied when it can
        self._last = 0.0  # when the last piece arrives: nothing overtakes
        self.on_way = 0  # bytes sent and not yet taken by the other end

    def put(self, what: Any) -> None:
        """Bytes, b"" for the end, or RST, on their way to the other end."""
        other = self.other
        if other is None or other.closed:
            return
        paths, loop = self.net.paths, self.net.loop
        if self.unsent or not paths.reaches(self.machine, other.machine):
            if what is RST:
                self.unsent.clear()  # what is reset sends nothing that it still had to send
            self.unsent.append(what)
            self.net.waiting[self] = None
            return
        size = len(what) if isinstance(what, bytes | bytearray) else 0
        self._last = (
            max(self._last, loop.time() + paths.delay(self.machine, other.machine) / 1000)
            + paths.transmission_ms(self.machine, other.machine, size) / 1000
        )
        loop.call_at(self._last, self._arrive, other, what, context=self.net.context)

    def _arrive(self, other: Side, what: Any) -> None:
        if not self.net.paths.reaches(self.machine, other.machine):
            self.unsent.append(what)  # cut while it was on its way
            self.net.waiting[self] = None
        elif not other.closed:
            other.take(what)

    def again(self) -> None:
        """What was held goes on, where the other end can be reached now."""
        held, self.unsent = self.unsent, []
        for what in held:
            self.put(what)

    def take(self, what: Any) -> None:
        raise NotImplementedError

    def room(self) -> None:
        """The other end has taken some of what was on its way."""


class MemorySocket(Side):
    """The agent's end, in the manner of `socket.socket`."""

    family = socket.AF_INET
    type = socket.SOCK_STREAM
    proto = 0

    def __init__(self, net: MemoryNet, machine: Machine) -> None:
        super().__init__(net, machine)
        self._fd = net.number()
        self._inbox = bytearray()
        self._ended = False  # the other end sends nothing more
        self._error = 0
        self.connected = False
        self._connecting = False
        self._shut = False
        self.stopped = False  # takes nothing more: it is about to break
        self._received = net.loop.time()
        self.address: Address | None = None
        self.owner = OWNER.get()
        net.loop.open(self)
        net.of_owner.setdefault(self.owner, {})[self] = None

    # As the event loop sees it.

    def fileno(self) -> int:
        return -1 if self.closed else self._fd

    def readable(self) -> bool:
        return bool(self._inbox or self._ended or self._error)

    def writable(self) -> bool:
        return bool(self._error or (self.connected and self.on_way < WINDOW and not self.stopped))

    # As IOStream and the channel use it.

    def setblocking(self, flag: bool) -> None:
        assert not flag

    def setsockopt(self, *_: Any) -> None:
        pass

    def getsockopt(self, level: int, option: int, size: int = 0) -> Any:
        if level == socket.SOL_SOCKET and option == socket.SO_ERROR:
            error, self._error = self._error, 0
            if error:
                self._ended = True
            return error
        if level == socket.IPPROTO_TCP and option == socket.TCP_INFO:
            info = bytearray(TCP_INFO_SIZE)
            ago = int((self.net.loop.time() - self._received) * 1000)
            info[LAST_RECEIVED : LAST_RECEIVED + 4] = struct.pack("=I", max(0, ago))
            return bytes(info[:size])
        return 0

    def connect(self, address: Address) -> None:
        if not self._connecting:
            self._connecting, self.address = True, address
            self.net.dial(self, address)
        raise BlockingIOError(errno.EINPROGRESS, "in progress")

    def recv_into(self, buffer: Any, size: int = 0) -> int:
        if self._inbox:
            size = min(size or len(buffer), len(self._inbox))
            buffer[:size] = self._inbox[:size]
            del self._inbox[:size]
            return size
        self._raise()
        if self._ended:
            return 0
        raise BlockingIOError(errno.EAGAIN, "nothing there")

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not self._inbox:
            self._raise(keep=True)
            if self._ended:
                return b""
            raise BlockingIOError(errno.EAGAIN, "nothing there")
        found = bytes(self._inbox[:size])
        if not flags & socket.MSG_PEEK:
            del self._inbox[:size]
        return found

    def send(self, data: Any) -> int:
        self._raise()
        if self._shut or self._ended and self.other is None:
            raise BrokenPipeError(errno.EPIPE, "broken pipe")
        if self.on_way >= WINDOW or self.stopped:
            raise BlockingIOError(errno.EAGAIN, "no room")
        piece = bytes(data[: WINDOW - self.on_way])
        taken = len(piece)
        if self.net.sends is not None:
            piece, taken = self.net.sends(self, piece)
        if piece:
            self.on_way += len(piece)
            self.put(piece)
        return taken

    def shutdown(self, how: int) -> None:
        if how in (socket.SHUT_WR, socket.SHUT_RDWR) and not self._shut:
            self._shut = True
            self.put(b"")

    def close(self) -> None:
        if self.closed:
            return
        # A close with bytes unread takes away what was still on its way.
        self.put(RST if self._inbox else b"" if not self._shut else RST)
        self.end()

    def end(self) -> None:
        """Nothing more is told of it."""
        self.net.loop.shut(self)
        self.closed = True
        self.net.of_owner.get(self.owner, {}).pop(self, None)

    def _raise(self, keep: bool = False) -> None:
        if self._error:
            error = self._error
            if not keep:
                self._error, self._ended = 0, True
            raise OSError(error, os.strerror(error))

    # What comes.

    def up(self, other: Side) -> None:
        if not self.closed:
            self.other, self.connected = other, True
            self._received = self.net.loop.time()
            self.net.loop.changed(self)

    def fail(self, error: int) -> None:
        if not self.closed:
            self._error = error
            self.net.loop.changed(self)

    def take(self, what: Any) -> None:
        if what is RST:
            self._inbox.clear()
            self.other = None
            self._error = errno.ECONNRESET
        elif what:
            self._inbox += what
            self._received = self.net.loop.time()
        else:
            self._ended = True
        self.net.loop.changed(self)

    def room(self) -> None:
        if not self.closed:
            self.net.loop.changed(self)


class MemoryListener:
    """The socket that an agent listens on."""

    def __init__(self, net: MemoryNet, machine: Machine, address: Address) -> None:
        self.net = net
        self.machine = machine
        self._fd = net.number()
        self._address = address
        self._waiting: deque[MemorySocket] = deque()
        self._most = 0
        self.owner = OWNER.get()
        net.loop.open(self)
        if address in net.listeners:
            raise OSError(errno.EADDRINUSE, "address in use")
        net.listeners[address] = self

    def fileno(self) -> int:
        return self._fd

    def readable(self) -> bool:
        return bool(self._waiting)

    def writable(self) -> bool:
        return False

    def listen(self, most: int) -> None:
        self._most = most

    def getsockname(self) -> Address:
        return self._address

    def accept(self) -> tuple[MemorySocket, Address]:
        if not self._waiting:
            raise BlockingIOError(errno.EAGAIN, "nobody waits")
        return self._waiting.popleft(), ("127.0.0.1", 1)

    def come(self, line: Line) -> bool:
        """A connection of a client's; false where the backlog is full."""
        if len(self._waiting) > self._most:
            return False
        with self.net.loop.owned_by(self.owner):
            sock = MemorySocket(self.net, self.machine)
        sock.other, sock.connected = line, True
        line.other = sock
        self._waiting.append(sock)
        self.net.loop.changed(self)
        return True

    def close(self) -> None:
        self.net.loop.shut(self)
        if self.net.listeners.get(self._address) is self:
            del self.net.listeners[self._address]
        for sock in self._waiting:
            sock.put(RST)
            sock.end()
        self._waiting.clear()


class Line(Side, asyncio.Transport):
    """A peer's end: a transport for an asyncio protocol."""

    def __init__(self, net: MemoryNet, machine: Machine, protocol: asyncio.Protocol) -> None:
        Side.__init__(self, net, machine)
        asyncio.Transport.__init__(self)
        self.protocol = protocol
        self._closing = False

    def take(self, what: Any) -> None:
        other = self.other
        if what is RST:
            self._lost(ConnectionResetError(errno.ECONNRESET, "reset"))
        elif what:
            if other is not None:
                other.on_way -= len(what)
                other.room()
            self.protocol.data_received(what)
        elif not self.protocol.eof_received():
            self.close()

    def _lost(self, why: Exception | None) -> None:
        if not self.closed:
            self.closed = self._closing = True
            self.protocol.connection_lost(why)

    def write(self, data: Any) -> None:
        if not self._closing:
            self.put(bytes(data))

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            self.put(b"")
            self.net.loop.call_soon(self._lost, None, context=self.net.context)

    def abort(self) -> None:
        if not self.closed:
            self.put(RST)
            self._closing = True
            self.net.loop.call_soon(self._lost, None, context=self.net.context)

    def is_closing(self) -> bool:
        return self._closing

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "left":  # the other end has closed, whether or not word of that has come
            return self.other is None or self.other.closed
        return self.machine if name == "machine" else default

    def up(self) -> None:
        self.protocol.connection_made(self)

    def fail(self, why: Exception) -> None:
        self._lost(why)


@dataclass(eq=False)
class Post:
    """Where datagrams for one process come to."""

    machine: Machine
    address: Address
    protocol: asyncio.DatagramProtocol
    owner: int


class MemoryNet:
    """All connections of one run."""

    def __init__(self, loop: VirtualLoop, paths: Paths) -> None:
        self.loop = loop
        self.paths = paths
        self.context = contextvars.copy_context()  # the bed's own: what arrives is nobody's work yet
        self.listeners: dict[Address, MemoryListener] = {}  # each leaves when it closes
        self.servers: dict[Address, tuple[Machine, Callable[[], asyncio.Protocol]]] = {}
        self.waiting: dict[Side, None] = {}  # ends with something held; emptied by `mended`
        self.dials: list[tuple[MemorySocket, Address]] = []  # that never came up; emptied by `mended`
        self.of_owner: dict[int, dict[MemorySocket, None]] = {}  # an owner's open sockets
        self.posts: dict[Address, Post] = {}  # each leaves with its agent
        # Sees each piece that an agent sends; gives what goes on its way, and how much the agent is told went.
        self.sends: Callable[[MemorySocket, bytes], tuple[bytes, int]] | None = None
        self.everybody: Address | None = None  # what is sent there goes to all
        self._fds = FIRST_FD

    def number(self) -> int:
        self._fds += 1
        return self._fds

    def serve(self, address: Address, machine: Machine, protocol: Callable[[], asyncio.Protocol]) -> None:
        """Peers that agents connect to."""
        self.servers[address] = machine, protocol

    def dial(self, sock: MemorySocket, address: Address) -> None:
        """An agent connects: there and back once before the first byte."""
        found = self.servers.get(address)
        if found is None:
            self.loop.call_later(0.0, sock.fail, errno.ECONNREFUSED, context=self.context)
            return
        machine, protocol = found
        if self.paths.refuses(sock.machine, machine):
            self.loop.call_later(0.0, sock.fail, errno.ECONNREFUSED, context=self.context)
            return
        if not self.paths.reaches(sock.machine, machine):
            self.dials.append((sock, address))
            return
        there = self.paths.delay(sock.machine, machine) / 1000
        back = self.paths.delay(machine, sock.machine) / 1000
        self.loop.call_later(there, self._dialled, sock, address, back, context=self.context)

    def _dialled(self, sock: MemorySocket, address: Address, back: float) -> None:
        if sock.closed:
            return
        machine, protocol = self.servers[address]
        if not self.paths.reaches(sock.machine, machine) or not self.paths.reaches(machine, sock.machine):
            self.dials.append((sock, address))  # nothing came, or no answer to it
        elif machine.refusing:
            self.loop.call_later(back, sock.fail, errno.ECONNREFUSED, context=self.context)
        else:
            line = Line(self, machine, protocol())
            line.other = sock
            line.up()
            self.loop.call_later(back, sock.up, line, context=self.context)

    def connect(self, machine: Machine, protocol: asyncio.Protocol, address: Address) -> None:
        """A client connects to an agent's listener."""
        line = Line(self, machine, protocol)
        listener = self.listeners.get(address)
        if listener is None or not listener.come(line):
            why = ConnectionRefusedError(errno.ECONNREFUSED, "refused")
            self.loop.call_soon(line.fail, why, context=self.context)
        else:
            self.loop.call_soon(line.up, context=self.context)

    def release_held(self) -> None:
        """Something can be reached again: what was held goes on."""
        held, self.waiting = list(self.waiting), {}
        for side in held:
            if not side.closed or side.unsent:
                side.again()
        dials, self.dials = self.dials, []
        for sock, address in dials:
            if not sock.closed:
                self.dial(sock, address)

    def die(self, owner: int) -> None:
        """An owner's process is killed: its connections are reset, its listeners gone."""
        for listener in [s for s in self.listeners.values() if s.owner == owner]:
            listener.close()
        for sock in list(self.of_owner.pop(owner, {})):
            sock.put(RST)
            sock.end()
        self.posts = {at: post for at, post in self.posts.items() if post.owner != owner}

    def refuse(self) -> None:
        """What is open between machines that refuse each other is reset, at both ends at once."""
        for sockets in list(self.of_owner.values()):
            for sock in list(sockets):
                other = sock.other
                if other is not None and self.paths.refuses(sock.machine, other.machine):
                    for side in (sock, other):
                        if not side.closed:
                            self.loop.call_soon(side.take, RST, context=self.context)

    # Datagrams between agents.

    def tell(self, machine: Machine, source: Address, address: Address, data: bytes) -> None:
        for post in self._at(address, source):
            for took in self.paths.datagram_delays(machine, post.machine):
                self.loop.call_later(took / 1000, self._hear, post, data, source, context=self.context)

    def _at(self, address: Address, source: Address) -> list[Post]:
        if address == self.everybody:
            return [post for post in self.posts.values() if post.address != source]
        return [self.posts[address]] if address in self.posts else []

    def _hear(self, post: Post, data: bytes, source: Address) -> None:
        """Its own process takes it, in its turn; one that is gone takes nothing."""
        if self.posts.get(post.address) is post:
            with self.loop.owned_by(post.owner):
                self.loop.call_soon(post.protocol.datagram_received, data, source)


class MemorySockets(Sockets):
    """One agent's way to the network, handed to it in place of the system's."""

    def __init__(self, net: MemoryNet, machine: Machine, most: int = 1 << 16) -> None:
        self._net = net
        self._machine = machine
        self._most = most  # sockets that the process may have open

    def stream(self, address: Address) -> Any:
        if len(self._net.of_owner.get(OWNER.get(), ())) >= self._most:
            raise OSError(errno.EMFILE, "too many open files")
        return MemorySocket(self._net, self._machine)

    def listening(self, address: Address) -> Any:
        return MemoryListener(self._net, self._machine, address)

    async def datagrams(self, protocol: Callable[[], asyncio.DatagramProtocol], address: Address) -> None:
        post = Post(self._machine, address, protocol(), OWNER.get())
        post.protocol.connection_made(_Datagrams(self._net, post))  # type: ignore[arg-type]
        self._net.posts[address] = post


class _Datagrams:
    """The transport of an agent's datagrams."""

    def __init__(self, net: MemoryNet, post: Post) -> None:
        self._net, self._post = net, post

    def sendto(self, data: bytes, address: Address) -> None:
        self._net.tell(self._post.machine, self._post.address, address, data)

    def close(self) -> None:
        if self._net.posts.get(self._post.address) is self._post:
            del self._net.posts[self._post.address]
