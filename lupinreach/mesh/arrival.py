"""Lower bound on when received data arrived, for calls that must not be executed once their caller has given up.

A process that was stopped or starved finds calls in its socket buffers when it runs again. Neither their content nor
the state of their connections tells how long they have waited there. But an event loop reads whatever is readable in
each of its iterations, so data that is read now arrived after the iteration that ran a few iterations earlier.
"""

from __future__ import annotations

import asyncio
from collections import deque

MARK_INTERVAL_S = 0.03
# Iterations from the one that finds a new connection to the one that handles the first call on it: accept, create the
# transport, register it, read, start the call; and the one during which the connection may have been established.
ITERATIONS_UNTIL_HANDLED = 6


class ArrivalClock:
    """Marks iterations of the event loop; `run` adds a mark at most once an iteration."""

    def __init__(self, now: float) -> None:
        # Before the first mark nothing can have arrived: the listeners of the process are not open yet.
        self._marks: deque[float] = deque([now], maxlen=ITERATIONS_UNTIL_HANDLED + 1)

    def mark(self, now: float) -> None:
        """Note that an iteration of the event loop runs at this loop time."""
        self._marks.append(now)

    def arrived_after(self) -> float:
        """The loop time after which data that is read in this iteration has arrived on this machine."""
        return self._marks[0]

    async def run(self) -> None:
        """Add marks until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(MARK_INTERVAL_S)
            self.mark(loop.time())
