"""Ids of non-idempotent API calls that may have run, kept across a power loss in the agent's store.

A client that loses its connection during a request may send it again under the same id. An agent that has run
throughout knows the id (`net/ids.py`); one that lost power in between would run a payment twice. So the id is
synced before the balancer gets the API call, and thus before any attempt. Ids that arrive during a sync are
written with the next one.

Consequences for a disk: if it hangs, its agent's payments are rate-limited at once, which is correct since
none of them has run. If it can't be written at all, they are served as by an agent without a journal, which
the log reports once (`store failed`) and the counters count. If it may hold outdated data, as far as that can
be told, they are errored for one client timeout: they may have run. An id is removed from the file between
one and two of the longest client timeouts after it arrived.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.model import Idempotency
from lupinreach.net.agent import Agent
from lupinreach.net.ids import IdPersistence
from lupinreach.store import trust
from lupinreach.store.records import FileContents
from lupinreach.store.store import Store

SYNC_TIMEOUT_FRACTION = 0.2  # of the shortest client timeout of a non-idempotent product: time for a sync
KEY_PREFIX = "ran/"


class RequestJournal:
    """The journal of one process.

    Its tables hold the ids of two of the longest client timeouts, and at most as many as the store has keys.
    """

    def __init__(self, agent: Agent, store: Store, contents: FileContents) -> None:
        self._agent = agent
        self._store = store
        stored = [key for key in trust.restorable(contents.state) if key.startswith(KEY_PREFIX)]
        agent.serving.ids.recall(key.removeprefix(KEY_PREFIX).encode("latin-1") for key in stored)
        self._current: list[str] = stored  # keys put in the current period
        self._previous: list[str] = []  # keys put in the previous period
        timeouts = [p.timeout for p in agent.config.settings.products if p.kind is Idempotency.NON_IDEMPOTENT]
        self._sync_timeout_s = SYNC_TIMEOUT_FRACTION * min(timeouts, default=0.0) / 1000
        self._slow_sync: asyncio.Task[bool] | None = None  # a sync that exceeded its timeout
        self.on_recorded: Callable[[], None] = lambda: None  # called for each recorded id
        if timeouts:
            agent.serving.persist_id = self.record
        # A repeated request arrives within a client timeout, so an unreliable disk is in doubt for as long:
        # one that was truncated or is another agent's. In a fleet every disk is, until peers were asked,
        # since an older copy looks valid.
        self._store_damaged = contents.lost > 0
        in_doubt = self._store_damaged or agent.config.fleet is not None
        self._in_doubt_until = agent.clock.now() + agent.serving.longest_wait if in_doubt else 0.0
        if stored:
            agent.log.event("ran recalled", ids=len(stored))

    def peers_asked(self, store_outdated: bool) -> None:
        """Called after peers were asked.

        `store_outdated`: they know a later state of this agent than its disk.
        """
        if not (store_outdated or self._store_damaged):
            self._in_doubt_until = 0.0

    async def record(self, request_id: bytes) -> IdPersistence:
        """Records durably that this API call may run from now on."""
        counters = self._agent.counters.others
        if self._agent.clock.now() < self._in_doubt_until:
            counters["ran: errored, the disk can't tell"] += 1
            return IdPersistence.OUTCOME_UNKNOWN
        if self._slow_sync is not None and not self._slow_sync.done():
            counters["ran: refused, the disk hangs"] += 1
            return IdPersistence.UNAVAILABLE
        self._slow_sync = None
        key = KEY_PREFIX + request_id.decode("latin-1")
        if not self._store.put(key, 1):
            counters["ran: refused, no room"] += 1
            return IdPersistence.UNAVAILABLE
        self._current.append(key)
        self.on_recorded()
        sync = self._agent.tasks.spawn("ran", self._store.flush())
        # Guards against a disk that hangs: the sync continues in the background, the API call doesn't.
        if not (await asyncio.wait({sync}, timeout=self._sync_timeout_s))[0]:
            self._slow_sync = sync
            counters["ran: refused, the disk hangs"] += 1
            return IdPersistence.UNAVAILABLE
        counters["ran: kept" if sync.result() else "ran: not kept"] += 1
        return IdPersistence.PERSISTED

    async def run(self) -> None:
        """Removes old ids, period by period; the removal is written with the next sync."""
        while True:
            await asyncio.sleep(self._agent.serving.longest_wait / 1000)
            for key in self._previous:
                self._store.put(key, None)
            self._previous, self._current = self._current, []
