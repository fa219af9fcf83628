"""What the module asks of the agent on sockets, handed on to the part that does it."""

from __future__ import annotations

import asyncio
from collections.abc import Hashable
from typing import TYPE_CHECKING

from lupinreach.net.call import ApiCall, CallOff, GiveUp, Order, RateLimit, Send
from lupinreach.net.probes import probe

if TYPE_CHECKING:
    from lupinreach.net.agent import Agent


class AgentPort:
    """The module's port. Orders for an API call go to that API call, which carries them out in turn."""

    def __init__(self, agent: Agent) -> None:
        self._agent = agent
        self._limits = agent.config.settings.limits

    @staticmethod
    def _order(token: Hashable, order: Order) -> None:
        assert isinstance(token, ApiCall)
        token.orders.put_nowait(order)

    def send(self, token: Hashable, backend: int, until: float) -> None:
        self._order(token, Send(backend, until))

    def cancel(self, token: Hashable, shot: int) -> None:
        self._order(token, CallOff(shot))

    def rate_limit(self, token: Hashable, retry_after: float) -> None:
        self._order(token, RateLimit(retry_after))

    def error(self, token: Hashable) -> None:
        self._order(token, GiveUp())

    def wake(self, at: float, mark: str) -> None:
        loop, clock = asyncio.get_running_loop(), self._agent.clock
        loop.call_at(clock.on_loop(at), self._agent.woke, at, mark)

    def directory(self, follow: bool) -> None:
        self._agent.directory.ask(follow)

    def probe(self, backend: int) -> None:
        if self._limits.probes:
            self._agent.spawn("probe", probe(self._agent, backend))

    def peers(self, message: bytes) -> None:
        if self._limits.peers:
            self._agent.peers.tell(message)

    def log(self, text: str) -> None:
        self._agent.log.event("module", text=text)
