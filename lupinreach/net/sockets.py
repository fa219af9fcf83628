"""Where the agent's sockets come from: the system, unless another kind is handed in."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from lupinreach.config import Address, BadConfig


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

    def inherited(self, descriptor: int) -> socket.socket:
        """The listening socket that this process was started with; BadConfig where it is none."""
        try:
            sock = socket.socket(fileno=descriptor)
        except OSError as failed:
            raise BadConfig(f"PROXY_FD: descriptor {descriptor}: {failed.strerror}") from None
        if (
            sock.family not in (socket.AF_INET, socket.AF_INET6)
            or sock.type != socket.SOCK_STREAM
            or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        ):
            sock.detach()  # not ours to close
            raise BadConfig(f"PROXY_FD: descriptor {descriptor} is no listening TCP socket")
        sock.setblocking(False)
        return sock

    async def datagrams(self, protocol: Callable[[], asyncio.DatagramProtocol], address: Address) -> None:
        """Hand the datagrams that come to this address to a protocol."""
        await asyncio.get_running_loop().create_datagram_endpoint(protocol, local_addr=address)


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
