"""Age of a request on receipt from a link, and detection of duplicates.

Clocks of different machines are not assumed to agree: the age is the delay beyond the shortest recent one on
the same link, by the monotonic clocks of sender and receiver, which only need to run at nearly the same rate.
"""

from __future__ import annotations

from collections import OrderedDict

BUCKET_S = 60.0  # the shortest delay is of the current and the previous bucket, as clock rates may drift
MAX_REMEMBERED_REQUESTS = 2048


class LinkDelay:
    """Tracks the delay on one link as the difference between two monotonic clocks, in seconds."""

    def __init__(self) -> None:
        self._bucket_started_at = 0.0
        self._shortest: float | None = None
        self._previous_shortest: float | None = None

    def age_s(self, sent_at: float, now: float) -> float:
        """Return how much longer a message took than the fastest recent one; at most its true age."""
        difference = now - sent_at
        if self._shortest is None or now - self._bucket_started_at > BUCKET_S:
            self._previous_shortest = self._shortest
            self._shortest = difference
            self._bucket_started_at = now
        self._shortest = min(self._shortest, difference)
        known = self._shortest
        if self._previous_shortest is not None:
            known = min(known, self._previous_shortest)
        return difference - known


class SeenRequests:
    """Remembers the most recent request numbers, which are unique over all processes and incarnations."""

    def __init__(self) -> None:
        self._numbers: OrderedDict[int, None] = OrderedDict()

    def is_new(self, number: int) -> bool:
        """Return true on the first call with a number."""
        if number in self._numbers:
            return False
        self._numbers[number] = None
        if len(self._numbers) > MAX_REMEMBERED_REQUESTS:
            self._numbers.popitem(last=False)
        return True
