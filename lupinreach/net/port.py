"""The decision module's port on sockets: passes its commands to the components that carry them out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable

from lupinreach.model import Limits
from lupinreach.net.call import ApiCall, CallEvent, CancelAttempt, FailCall, RateLimit, SendAttempt
from lupinreach.net.clock import Clock
from lupinreach.net.log import Log


class AgentPort:
    """Implements `Port`. Commands for an API call go into its event queue and are carried out in order."""

    def __init__(
        self,
        clock: Clock,
        log: Log,
        limits: Limits,
        on_timer: Callable[[float, str], None],
        request_list: Callable[[bool], None],
        probe: Callable[[int], None],
        broadcast: Callable[[bytes], None],
    ) -> None:
        self._clock = clock
        self._log = log
        self._limits = limits
        self._on_timer = on_timer
        self._request_list = request_list
        self._probe = probe
        self._broadcast = broadcast

    @staticmethod
    def _post(token: Hashable, event: CallEvent) -> None:
        assert isinstance(token, ApiCall)
        token.events.put_nowait(event)

    def send(self, token: Hashable, backend: int, until: float) -> None:
        self._post(token, SendAttempt(backend, until))

    def cancel(self, token: Hashable, attempt: int) -> None:
        self._post(token, CancelAttempt(attempt))

    def rate_limit(self, token: Hashable, retry_after: float) -> None:
        self._post(token, RateLimit(retry_after))

    def error(self, token: Hashable) -> None:
        self._post(token, FailCall())

    def wake(self, at: float, mark: str) -> None:
        asyncio.get_running_loop().call_at(self._clock.on_loop(at), self._on_timer, at, mark)

    def directory(self, follow: bool) -> None:
        self._request_list(follow)

    def probe(self, backend: int) -> None:
        if self._limits.probes:
            self._probe(backend)

    def peers(self, message: bytes) -> None:
        if self._limits.peers:
            self._broadcast(message)

    def log(self, text: str) -> None:
        self._log.event("module", text=text)
