"""The agent's clock: Unix time in ms, set once from the system clock and monotonic from then on."""

import time


class Clock:
    """Monotonic Unix time in ms."""

    def __init__(self, ahead: float = 0.0, drift: float = 0.0) -> None:
        """`ahead`: offset to the system clock in ms; `drift`: ms gained in each ms."""
        self._rate = 1 + drift
        self._anchor = time.time() * 1000 - time.monotonic() * 1000 * self._rate + ahead

    def now(self) -> float:
        """The current time."""
        return self._anchor + time.monotonic() * 1000 * self._rate

    def on_loop(self, at: float) -> float:
        """The event loop's time (s) for a time of this clock."""
        return (at - self._anchor) / (1000 * self._rate)
