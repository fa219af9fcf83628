"""How late a process of the rig is: its event loop, and what the scheduler kept from it."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

EVERY = 0.005  # s between two looks
SCALE = 1000  # histogram steps in a ms
MOST = 10_000 * SCALE


class Lateness:
    """Looks at the clock every few ms; what a look comes late is the lateness."""

    def __init__(self) -> None:
        self._took = HdrHistogram(1, MOST, 3)
        self.worst = 0.0  # ms,
        self.at = 0.0  # and when that was, in ms by the machine's clock
        self._delayed = _delayed()

    async def watch(self) -> None:
        due = time.monotonic() + EVERY
        while True:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            late = (time.monotonic() - due) * 1000
            if late > self.worst:
                self.worst, self.at = late, time.time() * 1000
            self._took.record_value(max(1, min(MOST, round(late * SCALE))))
            due = time.monotonic() + EVERY

    def told(self) -> dict[str, float]:
        """Ms: at p99.9, at most, and in all what this process waited for a core."""
        return {
            "p999": self._took.get_value_at_percentile(99.9) / SCALE,
            "most": round(self.worst, 3),
            "at": round(self.at),
            "kept_back": round(_delayed() - self._delayed, 1),
        }


def _delayed() -> float:
    """Ms that this process could have run and did not; 0 where the system doesn't tell."""
    try:
        return int(Path("/proc/self/schedstat").read_text().split()[1]) / 1e6
    except (OSError, IndexError, ValueError):
        return 0.0
