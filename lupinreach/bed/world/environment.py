"""The environment of a run: its clock, network and agents, in virtual time or on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from lupinreach.bed.world.ledger import Ledger
from lupinreach.bed.world.network import Machine, Paths
from lupinreach.config import Address

VIRTUAL_EPOCH_MS = 1_700_000_000_000.0  # Unix time at which virtual runs begin


class Environment(Protocol):
    """The operations that the simulated fleet needs from virtual time or from loopback sockets."""

    paths: Paths
    ledger: Ledger
    addresses: Addresses
    sees_agent_traffic: bool  # records itself when an agent sends and when connections are cut

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...

    def now(self) -> float:
        """Unix time in ms, on the clock that the agents use too."""
        ...

    async def serve(
        self, address: Address, machine: Machine, protocol: Callable[[], asyncio.Protocol]
    ) -> None:
        """Listens on an address; connections to it end at the given machine."""
        ...

    def connect(self, machine: Machine, protocol: asyncio.Protocol, address: Address) -> None:
        """Opens a connection from a machine to an address."""
        ...

    async def start_agent(
        self,
        number: int,
        incarnation: int,
        raw: dict[str, Any],
        ended: Callable[[], None],
        ahead: float = 0.0,
        drift: float = 0.0,
    ) -> None:
        """Starts an agent and returns once it listens.

        Its clock is `ahead` ms ahead of the run's clock and gains `drift` ms per ms. `ended` is called when its
        process ends.
        """
        ...

    async def start_twin(self, number: int, raw: dict[str, Any]) -> None:
        """Starts a second process that uses the same disk as the agent; `stop_twin` ends it."""
        ...

    def stop_twin(self, number: int) -> None:
        """Kills the second process of an agent."""
        ...

    def stop_agent(self, number: int) -> None:
        """Asks an agent to shut down gracefully."""
        ...

    def kill_agent(self, number: int) -> None:
        """Kills an agent's process at once."""
        ...

    def pause_agent(self, number: int, ms: float) -> None:
        """Pauses an agent, or its event loop, for so many ms."""
        ...

    def disk(self, number: int) -> Any:
        """The agent's disk, with `copy`, `put`, `writes_fail` and `lose_power`."""
        ...

    def carried(self, number: int) -> str:
        """Path of the file in which the agent keeps its state across restarts."""
        ...

    def release_held(self) -> None:
        """Delivers what was held back by a network fault and can get through again."""
        ...

    def reset_refused(self) -> None:
        """Resets the open connections that the network refuses from now on."""
        ...

    def set_refusing(self, machine: Machine, on: bool) -> None:
        """Makes a machine refuse new connections, or accept them again."""
        ...

    def pools(self) -> dict[int, int]:
        """Number of agents that have each backend in their connection pool, as far as the environment can tell."""
        ...


@dataclass(frozen=True)
class Addresses:
    """Listening addresses within 127.0.0.0/8. Concurrent runs use different values of `port`."""

    port: int

    def agent(self, number: int) -> Address:
        return _loopback_address(1, number), self.port

    def backend(self, number: int) -> Address:
        return _loopback_address(2, number), self.port

    def registry(self, agent: int) -> Address:
        """The registry's address for one agent; each agent has its own, which identifies the requester."""
        return _loopback_address(3, agent), self.port

    def peer(self, agent: int) -> Address:
        return _loopback_address(1, agent), self.port + 1

    def twin(self, agent: int) -> Address:
        """The address of an agent's second process, which no other process is given."""
        return _loopback_address(9, agent), self.port

    def everybody(self) -> Address:
        """The address that reaches the peer port of every agent."""
        return _loopback_address(4, 0), self.port + 1


def _loopback_address(net: int, number: int) -> str:
    return f"127.{net}.{number // 250}.{number % 250 + 1}"
