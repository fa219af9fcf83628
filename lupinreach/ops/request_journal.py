"""Ids of non-idempotent API calls that may have run, kept over a power loss by the agent's store.

A client that loses its connection under a request may send it once more, by the same id. An agent that was never down knows
the id (`net/ids.py`); one that lost power in between would run a payment twice. So the id is synced before the module has
the API call, and with it before any shot; ids that come while a sync is out go with the next one.

What follows for a disk: one that hangs has its payments rate-limited, at once and truthfully, since nothing of them has run;
one that can't be written at all has them served as by an agent without this, which the log says once (`store failed`) and
the counters count. One that lies, as far as that can be told, has them errored for a client timeout: they may have run.
An id leaves the file between one and two longest client timeouts after it came.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.model import Idempotency
from lupinreach.net.agent import Agent
from lupinreach.net.ids import Remembered
from lupinreach.store import trust
from lupinreach.store.records import FileContents
from lupinreach.store.store import Store

SYNC_TIMEOUT_FRACTION = 0.2  # x the shortest client timeout of a non-idempotent product: for a sync
KEY_PREFIX = "ran/"


class RequestJournal:
    """One process's part. Its tables hold the ids of two longest client timeouts, and no more than the store's keys."""

    def __init__(self, agent: Agent, store: Store, found: FileContents) -> None:
        self._agent = agent
        self._store = store
        stored = [key for key in trust.restorable(found.state) if key.startswith(KEY_PREFIX)]
        agent.serving.ids.recall(key.removeprefix(KEY_PREFIX).encode("latin-1") for key in stored)
        self._current: list[str] = stored  # keys put since the last turn
        self._previous: list[str] = []  # and before it
        timeouts = [p.timeout for p in agent.config.settings.products if p.kind is Idempotency.NON_IDEMPOTENT]
        self._sync_timeout_s = SYNC_TIMEOUT_FRACTION * min(timeouts, default=0.0) / 1000
        self._slow_sync: asyncio.Task[bool] | None = None  # a sync that took longer
        self.on_recorded: Callable[[], None] = lambda: None  # hears of each id that is put
        if timeouts:
            agent.serving.remember = self.record
        # What is sent once more comes within a client timeout, so a disk that can't tell is in doubt for as long: one that
        # was cut or is another's; with a fleet each one until peers were asked, since an older copy looks sound.
        self._store_damaged = found.lost > 0
        in_doubt = self._store_damaged or agent.config.fleet is not None
        self._in_doubt_until = agent.clock.now() + agent.serving.longest_wait if in_doubt else 0.0
        if stored:
            agent.log.event("ran recalled", ids=len(stored))

    def peers_asked(self, store_outdated: bool) -> None:
        """Peers were asked; `behind`: they have met a later life than this disk knows of."""
        if not (store_outdated or self._store_damaged):
            self._in_doubt_until = 0.0

    async def record(self, request_id: bytes) -> Remembered:
        """Have it known to the next life that this API call may run from now on."""
        counters = self._agent.counters.others
        if self._agent.clock.now() < self._in_doubt_until:
            counters["ran: errored, the disk can't tell"] += 1
            return Remembered.UNSURE
        if self._slow_sync is not None and not self._slow_sync.done():
            counters["ran: refused, the disk hangs"] += 1
            return Remembered.NOT_NOW
        self._slow_sync = None
        key = KEY_PREFIX + request_id.decode("latin-1")
        if not self._store.put(key, 1):
            counters["ran: refused, no room"] += 1
            return Remembered.NOT_NOW
        self._current.append(key)
        self.on_recorded()
        sync = self._agent.tasks.spawn("ran", self._store.flush())
        # Guards against a disk that hangs: the writing goes on by itself, the API call doesn't.
        if not (await asyncio.wait({sync}, timeout=self._sync_timeout_s))[0]:
            self._slow_sync = sync
            counters["ran: refused, the disk hangs"] += 1
            return Remembered.NOT_NOW
        counters["ran: kept" if sync.result() else "ran: not kept"] += 1
        return Remembered.KEPT

    async def run(self) -> None:
        """Forget, turn by turn; what is dropped is written with what comes next."""
        while True:
            await asyncio.sleep(self._agent.serving.longest_wait / 1000)
            for key in self._previous:
                self._store.put(key, None)
            self._previous, self._current = self._current, []
