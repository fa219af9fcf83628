"""The agent's one clock: Unix time in ms, set once from the system's and monotonic from then on."""

import time


class Clock:
    def __init__(self, ahead: float = 0.0, drift: float = 0.0) -> None:
        """`ahead`: ms by which it goes before the system's; `drift`: ms that it gains each ms."""
        self._rate = 1 + drift
        self._anchor = time.time() * 1000 - time.monotonic() * 1000 * self._rate + ahead

    def now(self) -> float:
        return self._anchor + time.monotonic() * 1000 * self._rate

    def on_loop(self, at: float) -> float:
        """The event loop's time, in s, for a time of this clock."""
        return (at - self._anchor) / (1000 * self._rate)
