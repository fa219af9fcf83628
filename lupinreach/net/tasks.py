"""Runs the agent's tasks and reports unexpected exceptions."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Coroutine
from typing import Any

from lupinreach.net.clock import Clock
from lupinreach.net.counters import Counters
from lupinreach.net.log import Log

FAULT_LOG_INTERVAL_MS = 1000.0  # between two log lines about one kind of fault


class Tasks:
    """Holds a reference to each running task, in the order of start."""

    def __init__(self, clock: Clock, log: Log, counters: Counters) -> None:
        self._clock = clock
        self._log = log
        self._counters = counters
        self._logged_at: dict[str, float] = {}  # by kind of fault, of which there are few
        # A dict and not a set: the order in which tasks are cancelled must be deterministic.
        self.running: dict[asyncio.Task[Any], None] = {}

    def spawn(self, what: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task; an exception that ends it is reported as a fault named `what`."""
        task = asyncio.get_running_loop().create_task(work)
        self.running[task] = None

        def done(task: asyncio.Task[None]) -> None:
            self.running.pop(task, None)
            if not task.cancelled() and (fault := task.exception()) is not None:
                self.fault(what, fault)

        task.add_done_callback(done)
        return task

    def fault(self, what: str, fault: BaseException) -> None:
        """Count and log an unexpected exception; the agent goes on."""
        self._counters.others[f"fault: {what}"] += 1
        now = self._clock.now()
        if now >= self._logged_at.get(what, 0.0) + FAULT_LOG_INTERVAL_MS:
            # A fault that occurs with each API call must not fill the log.
            self._logged_at[what] = now
            where = traceback.format_exception(fault)[-3:]
            self._log.event("fault", what=what, why=repr(fault), where="".join(where))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self.running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
