"""What a run stands on: a clock, a network and agents, in virtual time or on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from lupinreach.bed.ledger import Ledger
from lupinreach.bed.network import Machine, Paths
from lupinreach.config import Address

EPOCH = 1_700_000_000_000.0  # ms: when virtual runs begin


class Ground(Protocol):
    loop: asyncio.AbstractEventLoop
    paths: Paths
    ledger: Ledger
    exact: bool  # it sees itself when an agent sends, and when connections are cut

    def now(self) -> float:
        """Unix ms on the clock that agents have too."""
        ...

    async def serve(self, address: Address, machine: Machine,
                    protocol: Callable[[], asyncio.Protocol]) -> None: ...

    def connect(self, machine: Machine, protocol: asyncio.Protocol, address: Address) -> None: ...

    async def start_agent(self, number: int, life: int, raw: dict[str, Any], ended: Callable[[], None]) -> None:
        """Returns once it listens."""
        ...

    def stop_agent(self, number: int) -> None: ...

    def kill_agent(self, number: int) -> None: ...

    def hold_agent(self, number: int, ms: float) -> None: ...

    def mended(self) -> None: ...

    def pools(self) -> dict[int, int]:
        """How many agents have each backend in a pool, as far as that can be seen."""
        ...


def backend_address(number: int) -> Address:
    return f"127.2.{number >> 8}.{(number & 255) + 1}", 8000


def agent_address(number: int) -> Address:
    return f"127.1.{number >> 8}.{(number & 255) + 1}", 7000


def registry_address(agent: int) -> Address:
    """Each agent has an address of the registry's for itself, so that it is known who asks."""
    return f"127.3.{agent >> 8}.{(agent & 255) + 1}", 9000


def peer_address(agent: int) -> Address:
    return f"127.1.{agent >> 8}.{(agent & 255) + 1}", 7001


EVERYBODY: Address = ("127.4.0.1", 7001)
