"""Where the agent's sockets come from: the system, unless another kind is handed in."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from lupinreach.config import Address


class Sockets:
    """The system's own."""

    def stream(self, address: Address) -> socket.socket:
        """A socket that can be connected to this address; OSError where none is left."""
        return socket.socket(_family(address))

    def listening(self, address: Address) -> socket.socket:
        """A socket bound to this address, that doesn't listen yet; OSError where it can't be bound."""
        sock = socket.socket(_family(address))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        return sock

    async def datagrams(self, protocol: Callable[[], asyncio.DatagramProtocol], address: Address) -> None:
        """Hand the datagrams that come to this address to a protocol."""
        await asyncio.get_running_loop().create_datagram_endpoint(protocol, local_addr=address)


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
