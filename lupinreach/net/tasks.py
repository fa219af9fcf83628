"""The agent's tasks, and what becomes of an exception that nobody expected."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Coroutine
from typing import Any

from lupinreach.net.clock import Clock
from lupinreach.net.counters import Counters
from lupinreach.net.log import Log

FAULT_LOG_INTERVAL_MS = 1000.0  # ms between two lines about one kind of fault


class Tasks:
    """Keeps each task until it ends, in the order in which they began."""

    def __init__(self, clock: Clock, log: Log, counters: Counters) -> None:
        self._clock = clock
        self._log = log
        self._counters = counters
        self._logged_at: dict[str, float] = {}  # when each kind of fault was last logged; the kinds are few
        # Each leaves when it ends. No set: the order in which tasks are ended must not be chance.
        self.running: dict[asyncio.Task[Any], None] = {}

    def spawn(self, what: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self.running[task] = None

        def done(task: asyncio.Task[None]) -> None:
            self.running.pop(task, None)
            if not task.cancelled() and (fault := task.exception()) is not None:
                self.fault(what, fault)

        task.add_done_callback(done)
        return task

    def fault(self, what: str, fault: BaseException) -> None:
        """An exception that nobody expected: told, counted, and outlived."""
        self._counters.others[f"fault: {what}"] += 1
        now = self._clock.now()
        if now >= self._logged_at.get(what, 0.0) + FAULT_LOG_INTERVAL_MS:
            # Guards against a fault that comes with each API call and would fill the log.
            self._logged_at[what] = now
            where = traceback.format_exception(fault)[-3:]
            self._log.event("fault", what=what, why=repr(fault), where="".join(where))

    async def stop(self) -> None:
        """End all of them."""
        tasks = list(self.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
