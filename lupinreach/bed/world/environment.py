"""What a run stands on: a clock, a network and agents, in virtual time or on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from lupinreach.bed.world.ledger import Ledger
from lupinreach.bed.world.network import Machine, Paths
from lupinreach.config import Address

VIRTUAL_EPOCH_MS = 1_700_000_000_000.0  # ms: when virtual runs begin


class Environment(Protocol):
    paths: Paths
    ledger: Ledger
    addresses: Addresses
    sees_agent_traffic: bool  # it sees itself when an agent sends, and when connections are cut

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...

    def now(self) -> float:
        """Unix ms on the clock that agents have too."""
        ...

    async def serve(
        self, address: Address, machine: Machine, protocol: Callable[[], asyncio.Protocol]
    ) -> None: ...

    def connect(self, machine: Machine, protocol: asyncio.Protocol, address: Address) -> None: ...

    async def start_agent(
        self,
        number: int,
        incarnation: int,
        raw: dict[str, Any],
        ended: Callable[[], None],
        ahead: float = 0.0,
        drift: float = 0.0,
    ) -> None:
        """Returns once it listens. Its clock is so many ms ahead of the run's, and gains so much of a ms each ms."""
        ...

    async def start_twin(self, number: int, raw: dict[str, Any]) -> None:
        """A second process beside the agent's, with its disk; `stop_twin` ends it."""
        ...

    def stop_twin(self, number: int) -> None: ...

    def stop_agent(self, number: int) -> None: ...

    def kill_agent(self, number: int) -> None: ...

    def pause_agent(self, number: int, ms: float) -> None: ...

    def disk(self, number: int) -> Any:
        """The agent's folder: `copy`, `put`, `stuck`, `lose_power`; and `carried`, the file's path."""
        ...

    def carried(self, number: int) -> str: ...

    def release_held(self) -> None: ...

    def reset_refused(self) -> None:
        """Connections that the paths refuse from now on are reset."""
        ...

    def set_refusing(self, machine: Machine, on: bool) -> None:
        """Connections to it are refused, or accepted again."""
        ...

    def pools(self) -> dict[int, int]:
        """How many agents have each backend in a pool, as far as that can be seen."""
        ...


@dataclass(frozen=True)
class Addresses:
    """Who listens where, on 127.0.0.0/8. Runs beside each other differ in `port`."""

    port: int

    def agent(self, number: int) -> Address:
        return _on(1, number), self.port

    def backend(self, number: int) -> Address:
        return _on(2, number), self.port

    def registry(self, agent: int) -> Address:
        """Each agent has an address of the registry's for itself, so that it is known who asks."""
        return _on(3, agent), self.port

    def peer(self, agent: int) -> Address:
        return _on(1, agent), self.port + 1

    def twin(self, agent: int) -> Address:
        """Where a second process of an agent's stands; nobody is told."""
        return _on(9, agent), self.port

    def everybody(self) -> Address:
        return _on(4, 0), self.port + 1


def _on(net: int, number: int) -> str:
    return f"127.{net}.{number // 250}.{number % 250 + 1}"
