"""The listening addresses within 127.0.0.0/8 when every connection passes a relay. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass

from lupinreach.bed.world.environment import Addresses
from lupinreach.config import Address

MAX_AGENTS = 120
MAX_BACKENDS = 1000
FIRST_BACKEND_NET = 64  # second byte of the addresses by which the first agent knows backends


def _loopback_address(net: int, number: int) -> str:
    return f"127.{net}.{number // 250}.{number % 250 + 1}"


@dataclass(frozen=True)
class RigAddresses(Addresses):
    """The addresses of the machines themselves, and those of the relay by which others reach them."""

    def agent_for_clients(self, agent: int) -> Address:
        """The address at which clients reach an agent."""
        return _loopback_address(5, agent), self.port

    def registry_for(self, agent: int) -> Address:
        """The address at which an agent reaches the registry."""
        return _loopback_address(6, agent), self.port

    def backend_for(self, agent: int, backend: int) -> Address:
        """The address at which an agent reaches a backend."""
        return _loopback_address(FIRST_BACKEND_NET + agent, backend), self.port

    def peer_for(self, agent: int, other: int) -> Address:
        """The address at which an agent reaches another, and from which it receives that agent's datagrams."""
        if agent == other:
            return self.peer(agent)
        return _loopback_address(7 + agent // 100, agent % 100 * 250 + other), self.port + 1

    def broadcast_for(self, agent: int) -> Address:
        """The address to which an agent sends datagrams for all others."""
        return _loopback_address(6, agent), self.port + 1
