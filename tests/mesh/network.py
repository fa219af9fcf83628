"""Simulated TCP between named hosts: delay, limited rates, partitions, retransmission, timeouts and keepalive.

What a partition holds up is sent again at growing intervals, as by a kernel. An end whose data stays unacknowledged for
its `TCP_USER_TIMEOUT` is closed; its peer, which cannot be told, stays open until it sends something itself or its
keepalive probes fail. Close notices are lost in the same way. Data that arrives at a closed end resets the connection, and
so does closing with unread data: what the closed end's kernel has not sent yet is then lost.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

from lupinreach.bed.ways.loop import OWNER, VirtualLoop

ONE_WAY_DELAY_S = 0.001  # between hosts
MIN_RETRANSMISSION_S = 0.2  # doubled for each further retransmission
INITIAL_SYN_RETRANSMISSION_S = 1.0
DEFAULT_USER_TIMEOUT_S = 900.0  # of a socket without `TCP_USER_TIMEOUT`
CONNECT_LIMIT_S = 60.0
TIMER_RESOLUTION_S = 0.001  # no timer of the kernel is shorter
KERNEL = 0  # owner of callbacks that no process runs


class SimulatedSocket:
    """Holds the options that a program sets on its socket."""

    def __init__(self, unacknowledged: Callable[[], bool]) -> None:
        self._options: dict[tuple[int, int], int] = {}
        self._unacknowledged = unacknowledged

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """`TCP_INFO` with the number of unacknowledged segments, of which there is one or none."""
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        return struct.pack("24xI", self._unacknowledged()).ljust(size, b"\0")

    def setsockopt(self, level: int, option: int, value: int) -> None:
        self._options[(level, option)] = value

    def _tcp_seconds(self, option: int, default: float) -> float:
        return self._options.get((socket.IPPROTO_TCP, option), default)

    @property
    def user_timeout_s(self) -> float:
        """How long data may stay unacknowledged."""
        return self._tcp_seconds(socket.TCP_USER_TIMEOUT, DEFAULT_USER_TIMEOUT_S * 1000) / 1000

    @property
    def keepalive_idle_s(self) -> float | None:
        """Idle seconds after which the peer is probed; None without keepalive."""
        if not self._options.get((socket.SOL_SOCKET, socket.SO_KEEPALIVE)):
            return None
        return self._tcp_seconds(socket.TCP_KEEPIDLE, 7200)

    @property
    def keepalive_interval_s(self) -> float:
        """Seconds between two unanswered probes."""
        return self._tcp_seconds(socket.TCP_KEEPINTVL, 75)


class MemoryTransport(asyncio.Transport):
    """One end of a simulated connection; `owner` is the simulated process that holds it."""

    def __init__(self, loop: MeshLoop, host: str, owner: int, protocol: Any) -> None:
        super().__init__()
        self.loop, self.host, self.owner, self.protocol = loop, host, owner, protocol
        self.peer: MemoryTransport
        self.socket = SimulatedSocket(self._has_unacknowledged)
        self.open = True
        self.last_arrival = (
            0.0  # loop time at which the last chunk sent arrives; later ones don't overtake it
        )
        self.last_heard_at = loop.time()  # loop time at which the peer's kernel last answered
        self._paused_data: list[bytes] | None = None
        self._held: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()  # not delivered yet
        self._unacknowledged_since: float | None = None  # loop time
        self._probing_since: float | None = None  # loop time of the first unanswered keepalive probe
        self._sent_eof = False
        # What the kernel holds for the process; None: no limit.
        self.receive_window_bytes: int | None = getattr(protocol, "receive_window_bytes", None)
        self._buffer = bytearray()  # of the process: what the peer's window has no room for
        self._unread_bytes = 0  # sent and not read by the peer's process
        self._writing_paused = False
        self._in_flight: deque[tuple[float, asyncio.TimerHandle]] = deque()  # by time of arrival

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.socket if name == "socket" else default

    def get_write_buffer_size(self) -> int:
        return len(self._buffer)

    def is_closing(self) -> bool:
        return not self.open

    def connected(self) -> None:
        """Hand the connection to its protocol, and start keepalive if that has enabled it."""
        self.protocol.connection_made(self)
        if self.socket.keepalive_idle_s is not None:
            self._schedule(self.socket.keepalive_idle_s, self._keep_alive)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not self.open:
            return
        assert not self._sent_eof
        self._buffer += data
        self._fill_window()
        if self._buffer and not self._writing_paused:
            self._writing_paused = True
            self.protocol.pause_writing()

    def _fill_window(self) -> None:
        """Hand as much of the buffer to the kernel as the peer's window has room for."""
        window_bytes = self.peer.receive_window_bytes
        room = len(self._buffer) if window_bytes is None else max(0, window_bytes - self._unread_bytes)
        data, self._buffer = bytes(self._buffer[:room]), self._buffer[room:]
        if data:
            self._unread_bytes += len(data)
            self.send(self.peer._receive, data)
        if not self._buffer and self._writing_paused:
            self._writing_paused = False
            self.protocol.resume_writing()

    def _on_read(self, size: int) -> None:
        """The peer's process has read some data, which makes room in its window."""
        self._unread_bytes -= size
        if self.open and self._buffer:
            self._fill_window()

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        """Close the direction to the peer, behind all data."""
        if self.open and not self._sent_eof:
            self._sent_eof = True
            self.send(self.peer._on_peer_eof)

    def _has_unacknowledged(self) -> bool:
        return bool(self._held) or self.loop.time() < self.last_arrival + ONE_WAY_DELAY_S

    def on_sent(self, arrives_at: float, handle: asyncio.TimerHandle) -> None:
        """Note what was sent and when it arrives."""
        while self._in_flight and self._in_flight[0][0] <= self.loop.time():
            self._in_flight.popleft()
        self._in_flight.append((arrives_at, handle))

    def _discard_unsent(self) -> None:
        """Drop what waits in this kernel, as the link or the peer's window had no room for it."""
        for arrives_at, handle in self._in_flight:
            if arrives_at > self.loop.time() + ONE_WAY_DELAY_S:
                handle.cancel()
        self._held.clear()

    def _schedule(self, delay_s: float, work: Callable[..., None], *args: Any) -> None:
        with self.loop.owned_by(KERNEL):
            self.loop.call_later(max(TIMER_RESOLUTION_S, delay_s), work, *args)

    # Sending.

    def send(self, work: Callable[..., None], *args: Any) -> None:
        """Let something happen at the peer once it arrives there; what is held up is sent again later."""
        if not self._held and self.loop.passes(self.host, self.peer.host):
            self.loop.deliver(self, work, *args)
        else:
            self._held.append((work, args))
        if self._held or not self.loop.passes(self.peer.host, self.host):
            self._await_acknowledgement()

    def _await_acknowledgement(self) -> None:
        if self._unacknowledged_since is None:
            self._unacknowledged_since = self.loop.time()
            self._schedule(MIN_RETRANSMISSION_S, self._retransmit, MIN_RETRANSMISSION_S)

    def _retransmit(self, interval_s: float) -> None:
        if self._unacknowledged_since is None:
            return
        timeout_at = self._unacknowledged_since + self.socket.user_timeout_s
        if self.loop.passes(self.host, self.peer.host):
            held, self._held = self._held, deque()
            for work, args in held:
                self.loop.deliver(self, work, *args)
            if self.loop.passes(self.peer.host, self.host):
                self._unacknowledged_since = None
                return
        if self.loop.time() >= timeout_at:
            self._time_out()
            return
        next_s = min(2 * interval_s, timeout_at - self.loop.time())
        self._schedule(next_s, self._retransmit, 2 * interval_s)

    def _time_out(self) -> None:
        """The kernel gives the connection up; the peer is not told."""
        self._held.clear()
        self._unacknowledged_since = None
        self._end(TimeoutError("connection timed out"))

    def _end(self, error: Exception) -> None:
        if self.open:
            self.open = False
            self.loop.run_as(self.owner, self.protocol.connection_lost, error)

    def _keep_alive(self) -> None:
        """Probe an idle peer, and close the connection if the peer is gone."""
        idle_limit_s = self.socket.keepalive_idle_s
        if not self.open or idle_limit_s is None:
            return
        now = self.loop.time()
        idle_s = now - self.last_heard_at
        if idle_s < idle_limit_s:
            self._schedule(idle_limit_s - idle_s, self._keep_alive)
        elif self.loop.passes(self.host, self.peer.host) and self.loop.passes(self.peer.host, self.host):
            self.last_heard_at, self._probing_since = now, None
            if not self.peer.open:
                self._end(ConnectionResetError())
            self._schedule(idle_limit_s, self._keep_alive)
        elif self._probing_since is not None and idle_s >= self.socket.user_timeout_s:
            self._time_out()
        else:
            self._probing_since = now
            self._schedule(self.socket.keepalive_interval_s, self._keep_alive)

    # Receiving.

    def _receive(self, data: bytes) -> None:
        if not self.open:
            self._reset_peer()
            return
        self.last_heard_at = self.loop.time()
        if self._paused_data is not None:
            self._paused_data.append(data)
        else:
            self.peer._on_read(len(data))
            self.protocol.data_received(data)

    def _reset_peer(self) -> None:
        """Tell the peer that this end is gone, once: a reset is not sent again, and overtakes what was not sent."""
        self._discard_unsent()
        if self.peer.open and self.loop.passes(self.host, self.peer.host):
            self.last_arrival = self.loop.time()
            self.loop.deliver(self, self.peer._on_peer_reset)

    def pause_reading(self) -> None:
        self._paused_data = self._paused_data or []

    def resume_reading(self) -> None:
        paused_data, self._paused_data = self._paused_data or [], None
        for data in paused_data:
            self._receive(data)

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if self.open:
            self.close_socket()
            self.loop.run_as(self.owner, self.protocol.connection_lost, None)

    def close_socket(self) -> None:
        """Close this end, also without its process, and send a close notice."""
        self.open = False
        if self._paused_data:
            self._reset_peer()
        elif not self._sent_eof:
            self._sent_eof = True
            self.send(self.peer._on_peer_eof)

    def _on_peer_eof(self) -> None:
        """The peer sends no more: this end closes, too, unless its protocol goes on."""
        if self.open and not self.protocol.eof_received():
            self.abort()

    def _on_peer_reset(self) -> None:
        if self.open:
            self.open = False
            self.protocol.connection_lost(ConnectionResetError())


class MemoryServer:
    """A listener of a simulated host."""

    def __init__(self, loop: MeshLoop, address: tuple[str, int]) -> None:
        self._loop, self._address = loop, address

    def close(self) -> None:
        self._loop.listeners.pop(self._address, None)


class MeshLoop(VirtualLoop):
    """Event loop with connections between named hosts: delay, limited rates, partitions, hosts that are down."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[tuple[str, int], tuple[Callable[[], Any], int]] = {}
        self.hosts: dict[int, str] = {}  # by owner
        self.cuts: set[frozenset[str]] = set()  # pairs of hosts without any traffic
        self.one_way: set[tuple[str, str]] = set()  # (source, target) without traffic in this direction
        self.down: set[str] = set()
        self.transports: list[MemoryTransport] = []
        self.rates: dict[str, float] = {}  # bytes per second into a host; absent: no limit
        self.extra_delays: dict[tuple[str, str], float] = {}  # seconds, by (source, target)
        self._busy_until: dict[str, float] = {}  # loop time at which the link into a host is idle

    def run_as(self, owner: int, work: Callable[..., Any], *args: Any) -> None:
        """Schedule a callback that runs as a simulated process."""
        with self.owned_by(owner):
            self.call_soon(work, *args)

    def passes(self, source: str, target: str) -> bool:
        """True if data sent from one host reaches another."""
        blocked = frozenset((source, target)) in self.cuts or (source, target) in self.one_way
        return not blocked and not {source, target} & self.down

    def heal(self) -> None:
        """End all partitions and extra delays."""
        self.cuts.clear()
        self.one_way.clear()
        self.extra_delays.clear()

    def deliver(self, end: MemoryTransport, work: Callable[..., Any], *args: Any) -> None:
        """Schedule a callback at the peer of a transport after the delay of the link."""
        end.last_arrival = max(end.last_arrival, self.time() + self._delay_s(end, args))
        end.last_heard_at = max(end.last_heard_at, end.last_arrival)
        owner = end.peer.owner
        with self.owned_by(KERNEL if owner in self._killed else owner):
            end.on_sent(end.last_arrival, self.call_at(end.last_arrival, work, *args))

    def _delay_s(self, end: MemoryTransport, chunks: tuple[Any, ...]) -> float:
        if end.host == end.peer.host:
            return 0.0
        extra_s = self.extra_delays.get((end.host, end.peer.host), 0.0)
        return ONE_WAY_DELAY_S + extra_s + self._queueing_s(end.peer.host, chunks)

    def _queueing_s(self, host: str, chunks: tuple[Any, ...]) -> float:
        """Return how long the link into a host takes for the queued bytes and these chunks."""
        rate_bytes_per_s = self.rates.get(host)
        if rate_bytes_per_s is None:
            return 0.0
        size_bytes = sum(len(chunk) for chunk in chunks if isinstance(chunk, bytes))
        carried_at = max(self.time(), self._busy_until.get(host, 0.0)) + size_bytes / rate_bytes_per_s
        self._busy_until[host] = carried_at
        return carried_at - self.time()

    async def create_server(self, factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        self.listeners[(host, port)] = (factory, OWNER.get())
        return MemoryServer(self, (host, port))

    async def create_connection(self, factory: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        source, owner = self.hosts.get(OWNER.get(), "outside"), OWNER.get()
        await asyncio.sleep(ONE_WAY_DELAY_S)
        await self._handshake(source, host)
        listener = self.listeners.get((host, port))
        if listener is None or listener[1] in self._killed:
            raise ConnectionRefusedError
        client_end = MemoryTransport(self, source, owner, factory())
        server_end = MemoryTransport(self, host, listener[1], listener[0]())
        client_end.peer, server_end.peer = server_end, client_end
        self.transports += [client_end, server_end]
        client_end.connected()
        self.run_as(listener[1], server_end.connected)
        return client_end, client_end.protocol

    async def _handshake(self, source: str, target: str) -> None:
        """Wait until an opening packet and its answer pass; it is sent again at growing intervals."""
        interval_s, waited_s = INITIAL_SYN_RETRANSMISSION_S, 0.0
        while not self.passes(source, target) or not self.passes(target, source):
            if waited_s >= CONNECT_LIMIT_S:
                raise TimeoutError("no answer to the opening packet")
            await asyncio.sleep(interval_s)
            waited_s += interval_s
            interval_s *= 2

    def close_connections(self, owner: int) -> None:
        """Close all connections of a killed process, as its kernel does."""
        for transport in self.transports:
            if transport.owner == owner and transport.open:
                transport.close_socket()
