"""Measures the delays of a process of the rig: of its event loop, and in the run queue of the system."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

SAMPLE_INTERVAL_S = 0.005  # time between two samples
STEPS_PER_MS = 1000  # resolution of the histogram
MAX_RECORDED = 10_000 * STEPS_PER_MS  # 10 s


class Lateness:
    """Samples the clock every few ms and records by how much each sample is late."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_RECORDED, 3)
        self.worst = 0.0  # ms
        self.worst_at = 0.0  # Unix time in ms of the worst sample
        self._initial_delay_ms = _run_queue_delay_ms()

    async def watch(self) -> None:
        """Takes samples until cancelled."""
        due = time.monotonic() + SAMPLE_INTERVAL_S
        while True:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            late_ms = (time.monotonic() - due) * 1000
            if late_ms > self.worst:
                self.worst, self.worst_at = late_ms, time.time() * 1000
            self._histogram.record_value(max(1, min(MAX_RECORDED, round(late_ms * STEPS_PER_MS))))
            due = time.monotonic() + SAMPLE_INTERVAL_S

    def summary(self) -> dict[str, float]:
        """The p99.9 and maximum lateness, the time of the maximum, and the time spent waiting for a core, in ms."""
        return {
            "p999": self._histogram.get_value_at_percentile(99.9) / STEPS_PER_MS,
            "most": round(self.worst, 3),
            "at": round(self.worst_at),
            "kept_back": round(_run_queue_delay_ms() - self._initial_delay_ms, 1),
        }


def _run_queue_delay_ms() -> float:
    """The time in ms that this process was runnable but not running; 0 where the system doesn't report it."""
    try:
        return int(Path("/proc/self/schedstat").read_text().split()[1]) / 1e6
    except (OSError, IndexError, ValueError):
        return 0.0
