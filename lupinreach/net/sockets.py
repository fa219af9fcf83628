"""Creates the agent's sockets; replaced by another implementation in simulations."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from lupinreach.config import Address, BadConfig


class Sockets:
    """Sockets of the operating system."""

    def stream(self, address: Address) -> socket.socket:
        """A socket to connect to this address; OSError if no descriptor is left."""
        return socket.socket(_family(address))

    def listening(self, address: Address) -> socket.socket:
        """A socket bound to this address that does not listen yet; OSError if it can't be bound."""
        sock = socket.socket(_family(address))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        return sock

    def inherited(self, descriptor: int) -> socket.socket:
        """The listening socket passed to this process; BadConfig if the descriptor is not one."""
        try:
            sock = socket.socket(fileno=descriptor)
        except OSError as failed:
            raise BadConfig(f"PROXY_FD: descriptor {descriptor}: {failed.strerror}") from None
        if (
            sock.family not in (socket.AF_INET, socket.AF_INET6)
            or sock.type != socket.SOCK_STREAM
            or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        ):
            sock.detach()  # the descriptor belongs to the caller
            raise BadConfig(f"PROXY_FD: descriptor {descriptor} is no listening TCP socket")
        sock.setblocking(False)
        return sock

    async def datagrams(self, protocol: Callable[[], asyncio.DatagramProtocol], address: Address) -> None:
        """Pass the datagrams that arrive at this address to a protocol."""
        await asyncio.get_running_loop().create_datagram_endpoint(protocol, local_addr=address)


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
