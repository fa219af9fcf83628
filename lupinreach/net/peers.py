"""Datagrams between agents, where the settings allow them. Delivery is not guaranteed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lupinreach.config import Address
from lupinreach.net.counters import Counters
from lupinreach.net.protocol import MAX_DATAGRAM_BYTES
from lupinreach.net.sockets import Sockets


class Peers(asyncio.DatagramProtocol):
    """Sends to and receives from the other agents, numbered by their position in the configuration."""

    def __init__(
        self,
        peers: tuple[Address, ...],
        broadcast_address: Address | None,
        counters: Counters,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        self._addresses = peers
        self._peer_numbers = {address: number for number, address in enumerate(peers)}
        self._broadcast_address = broadcast_address
        self._counters = counters
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, sockets: Sockets, address: Address) -> None:
        """Bind the address; raises OSError."""
        await sockets.datagrams(lambda: self, address)

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        number = self._peer_numbers.get(addr[:2])
        if number is None or len(data) > MAX_DATAGRAM_BYTES:
            self._counters.others["datagrams ignored"] += 1
            return
        self._counters.others["datagrams heard"] += 1
        self._on_message(number, data)

    def error_received(self, exc: Exception) -> None:
        self._counters.others["datagrams failed"] += 1

    def broadcast(self, message: bytes) -> None:
        """Send to all peers; a message over the size limit is dropped."""
        if self._transport is None or self._broadcast_address is None or len(message) > MAX_DATAGRAM_BYTES:
            self._counters.others["datagrams not sent"] += 1
            return
        self._counters.others["datagrams sent"] += 1
        self._transport.sendto(message, self._broadcast_address)

    def send(self, number: int, message: bytes) -> None:
        """Send to one peer; a message to an unknown number or over the size limit is dropped."""
        if (
            self._transport is None
            or not 0 <= number < len(self._addresses)
            or len(message) > MAX_DATAGRAM_BYTES
        ):
            self._counters.others["datagrams not sent"] += 1
            return
        self._counters.others["datagrams sent"] += 1
        self._counters.others["datagram bytes sent"] += len(message)
        self._transport.sendto(message, self._addresses[number])

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
