"""The share of one proxy in the mesh's limit on repeated arrivals at a service."""

from __future__ import annotations

SHARE_OF_RATIO = 0.5  # calls of repeated runs count as repeats too, and are not seen here
SHARE_OF_SLACK = 0.4
LEAST_SAVED = 1.0


class RetryBudget:
    """Tokens for repeats: earned by first attempts, saved up to this proxy's part of the slack.

    In any window the repeats of all proxies stay within `ratio x requests + slack`: each spends at most what
    it has earned there, `SHARE_OF_RATIO x ratio` for each request, and what it had saved, `SHARE_OF_SLACK x
    slack / proxies`.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        self._earned = SHARE_OF_RATIO * ratio
        self._slack = SHARE_OF_SLACK * slack
        self._saved: dict[str, float] = {}
        self._most = LEAST_SAVED
        self.denied = 0

    def set_proxies(self, count: int) -> None:
        """How many proxies share the slack."""
        self._most = max(LEAST_SAVED, self._slack / max(1, count))

    def first(self, service: str, of_repeat: bool = False) -> None:
        """A request is sent to a service for the first time; as a call of a repeated run it is a repeat too."""
        saved = self._saved.get(service, self._most / 2)
        change = -1.0 if of_repeat else self._earned
        self._saved[service] = max(-self._most, min(self._most, saved + change))

    def spend(self, service: str) -> bool:
        """If one more attempt may be made."""
        saved = self._saved.get(service, self._most / 2)
        if saved < 1.0:
            self.denied += 1
            return False
        self._saved[service] = saved - 1.0
        return True
