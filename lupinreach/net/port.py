"""What the module asks of the agent on sockets, handed on to the part that does it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lupinreach.net.call import ApiCall, CallOff, GiveUp, RateLimit, Send
from lupinreach.net.probes import probe

if TYPE_CHECKING:
    from lupinreach.net.agent import Agent


class AgentPort:
    """The module's port. Orders for an API call go to that API call, which carries them out in their order."""

    def __init__(self, agent: Agent) -> None:
        self._agent = agent
        self._limits = agent.config.settings.limits

    def send(self, token: ApiCall, backend: int, until: float) -> None:
        token.orders.put_nowait(Send(backend, until))

    def cancel(self, token: ApiCall, shot: int) -> None:
        token.orders.put_nowait(CallOff(shot))

    def rate_limit(self, token: ApiCall, retry_after: float) -> None:
        token.orders.put_nowait(RateLimit(retry_after))

    def error(self, token: ApiCall) -> None:
        token.orders.put_nowait(GiveUp())

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
