"""Who listens where on 127.0.0.0/8 when a relay stands on every link. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass

from lupinreach.bed.world.environment import Addresses
from lupinreach.config import Address

MOST_AGENTS = 120
MOST_BACKENDS = 1000
FIRST_PAIR, FIRST_PEER = 64, 192  # second byte of the addresses that one agent knows backends by


def _low(net: int, number: int) -> str:
    return f"127.{net}.{number // 250}.{number % 250 + 1}"


@dataclass(frozen=True)
class Places(Addresses):
    """The machines' own addresses, and beside them those of the relay that others know them by."""

    def front(self, agent: int) -> Address:
        """Where clients find an agent."""
        return _low(5, agent), self.port

    def registry_for(self, agent: int) -> Address:
        """Where an agent finds the registry."""
        return _low(6, agent), self.port

    def backend_for(self, agent: int, backend: int) -> Address:
        """Where an agent finds a backend."""
        return _low(FIRST_PAIR + agent, backend), self.port

    def peer_for(self, agent: int, other: int) -> Address:
        """Where an agent finds another, and from where that one's datagrams come to it."""
        if agent == other:
            return self.peer(agent)
        return _low(7 + agent // 100, agent % 100 * 250 + other), self.port + 1

    def everybody_for(self, agent: int) -> Address:
        """What an agent sends to for all others."""
        return _low(6, agent), self.port + 1
