"""How old a request is when it is taken from a link, and whether it was taken before.

Neither trusts clocks of different machines to agree: an age is the delay beyond the shortest one seen lately on
the same link, by the senders' and the receiver's steady clocks, which need only run at nearly the same pace.
"""

from __future__ import annotations

from collections import OrderedDict

BUCKET_S = 60.0  # the shortest delay is that of the present bucket and the one before; pace may drift
MOST_REMEMBERED = 2048  # requests


class LinkDelay:
    """Delays on one link, as differences between two steady clocks (seconds)."""

    def __init__(self) -> None:
        self._bucket_began = 0.0
        self._shortest: float | None = None
        self._shortest_before: float | None = None

    def age_s(self, sent_at: float, now: float) -> float:
        """Seconds by which a message took longer than the fastest of late; at most its true age."""
        difference = now - sent_at
        if self._shortest is None or now - self._bucket_began > BUCKET_S:
            self._shortest_before = self._shortest
            self._shortest = difference
            self._bucket_began = now
        self._shortest = min(self._shortest, difference)
        known = self._shortest
        if self._shortest_before is not None:
            known = min(known, self._shortest_before)
        return difference - known


class SeenRequests:
    """Remembers the newest request numbers; they are unique over all processes and their lives."""

    def __init__(self) -> None:
        self._numbers: OrderedDict[int, None] = OrderedDict()

    def is_new(self, number: int) -> bool:
        """True the first time that a number is asked about."""
        if number in self._numbers:
            return False
        self._numbers[number] = None
        if len(self._numbers) > MOST_REMEMBERED:
            self._numbers.popitem(last=False)
        return True
