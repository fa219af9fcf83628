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
from lupinreach.net.ids import IdPersistence
from lupinreach.store import trust
from lupinreach.store.records import Found
from lupinreach.store.store import Store

PATIENCE = 0.2  # x the shortest client timeout of a non-idempotent product: for a sync
PREFIX = "ran/"


class Ran:
    """One process's part. Its tables hold the ids of two longest client timeouts, and no more than the store's keys."""

    def __init__(self, agent: Agent, store: Store, found: Found) -> None:
        self._agent = agent
        self._store = store
        kept = [key for key in trust.believed(found.state) if key.startswith(PREFIX)]
        agent.serving.ids.recall(key.removeprefix(PREFIX).encode("latin-1") for key in kept)
        self._fresh: list[str] = kept  # keys put since the last turn
        self._older: list[str] = []  # and before it
        waits = [p.timeout for p in agent.config.settings.products if p.kind is Idempotency.NON_IDEMPOTENT]
        self._patience = PATIENCE * min(waits, default=0.0) / 1000
        self._hangs: asyncio.Task[bool] | None = None  # a sync that took longer
        self.kept: Callable[[], None] = lambda: None  # hears of each id that is put
        if waits:
            agent.serving.persist_id = self.keep
        # What is sent once more comes within a client timeout, so a disk that can't tell is in doubt for as long: one that
        # was cut or is another's; with a fleet each one until peers were asked, since an older copy looks sound.
        self._lost = found.lost > 0
        doubtful = self._lost or agent.config.fleet is not None
        self._unsure_until = agent.clock.now() + agent.serving.longest_wait if doubtful else 0.0
        if kept:
            agent.log.event("ran recalled", ids=len(kept))

    def asked(self, behind: bool) -> None:
        """Peers were asked; `behind`: they have met a later life than this disk knows of."""
        if not (behind or self._lost):
            self._unsure_until = 0.0

    async def keep(self, name: bytes) -> IdPersistence:
        """Have it known to the next life that this API call may run from now on."""
        counted = self._agent.counters.others
        if self._agent.clock.now() < self._unsure_until:
            counted["ran: errored, the disk can't tell"] += 1
            return IdPersistence.OUTCOME_UNKNOWN
        if self._hangs is not None and not self._hangs.done():
            counted["ran: refused, the disk hangs"] += 1
            return IdPersistence.UNAVAILABLE
        self._hangs = None
        key = PREFIX + name.decode("latin-1")
        if not self._store.put(key, 1):
            counted["ran: refused, no room"] += 1
            return IdPersistence.UNAVAILABLE
        self._fresh.append(key)
        self.kept()
        writing = self._agent.tasks.spawn("ran", self._store.flush())
        # Guards against a disk that hangs: the writing goes on by itself, the API call doesn't.
        if not (await asyncio.wait({writing}, timeout=self._patience))[0]:
            self._hangs = writing
            counted["ran: refused, the disk hangs"] += 1
            return IdPersistence.UNAVAILABLE
        counted["ran: kept" if writing.result() else "ran: not kept"] += 1
        return IdPersistence.PERSISTED

    async def run(self) -> None:
        """Forget, turn by turn; what is dropped is written with what comes next."""
        while True:
            await asyncio.sleep(self._agent.serving.longest_wait / 1000)
            for key in self._older:
                self._store.put(key, None)
            self._older, self._fresh = self._fresh, []
