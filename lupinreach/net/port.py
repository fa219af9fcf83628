"""What the module asks of the agent on sockets, handed on to the part that does it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable

from lupinreach.model import Limits
from lupinreach.net.call import ApiCall, CallOff, GiveUp, Order, RateLimit, Send
from lupinreach.net.clock import Clock
from lupinreach.net.log import Log


class AgentPort:
    """The module's port. Orders for an API call go to that API call, which carries them out in turn."""

    def __init__(
        self,
        clock: Clock,
        log: Log,
        limits: Limits,
        woke: Callable[[float, str], None],
        ask: Callable[[bool], None],
        probe: Callable[[int], None],
        tell: Callable[[bytes], None],
    ) -> None:
        self._clock = clock
        self._log = log
        self._limits = limits
        self._woke = woke
        self._ask = ask
        self._probe = probe
        self._tell = tell

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
        asyncio.get_running_loop().call_at(self._clock.on_loop(at), self._woke, at, mark)

    def directory(self, follow: bool) -> None:
        self._ask(follow)

    def probe(self, backend: int) -> None:
        if self._limits.probes:
            self._probe(backend)

    def peers(self, message: bytes) -> None:
        if self._limits.peers:
            self._tell(message)

    def log(self, text: str) -> None:
        self._log.event("module", text=text)
