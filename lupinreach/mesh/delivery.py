"""Whether the peer of a connection has received what was written to it, as far as the kernel knows."""

from __future__ import annotations

import asyncio
import socket
import struct

# Layout of `struct tcp_info` (linux/tcp.h).
_TCP_INFO_BYTES = 192
_UNACKNOWLEDGED = (struct.Struct("I"), 24)  # segments sent and not acknowledged
_NOT_SENT = (struct.Struct("I"), 144)  # bytes not sent yet


def is_undelivered(transport: asyncio.WriteTransport) -> bool:
    """True while something that was written waits in this process or its kernel, or is on its way."""
    if transport.get_write_buffer_size() > 0:
        return True
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:  # the socket is closed
        return False
    return any(
        field.unpack_from(info, offset)[0] > 0
        for field, offset in (_UNACKNOWLEDGED, _NOT_SENT)
        if len(info) >= offset + field.size
    )
