"""Retry budget: the share of one proxy in the mesh-wide limit on retries that arrive at a service."""

from __future__ import annotations

RATIO_FRACTION = 0.5  # calls of retried runs count as retries too, and this proxy may not see them
SLACK_FRACTION = 0.4
MIN_TOKEN_LIMIT = 1.0  # tokens per service, however many proxies share the slack


class RetryBudget:
    """Token bucket for retries: filled by first attempts, limited to this proxy's part of the slack.

    In any window the retries of all proxies stay within `ratio * requests + slack`: each proxy spends at most
    the tokens earned in the window, `RATIO_FRACTION * ratio` for each request, and those saved before it,
    `SLACK_FRACTION * slack / proxies`.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        self._tokens_per_request = RATIO_FRACTION * ratio
        self._slack = SLACK_FRACTION * slack
        self._tokens: dict[str, float] = {}
        self._token_limit = MIN_TOKEN_LIMIT
        self.denied = 0

    def set_proxy_count(self, count: int) -> None:
        """Set the number of proxies that share the slack."""
        self._token_limit = max(MIN_TOKEN_LIMIT, self._slack / max(1, count))

    def record_first_attempt(self, service: str, in_retried_run: bool = False) -> None:
        """Record the first attempt of a request; as a call of a retried run it counts as a retry itself."""
        tokens = self._tokens.get(service, self._token_limit / 2)
        change = -1.0 if in_retried_run else self._tokens_per_request
        self._tokens[service] = max(-self._token_limit, min(self._token_limit, tokens + change))

    def try_spend(self, service: str) -> bool:
        """Take a token for a retry; return false if there is none."""
        tokens = self._tokens.get(service, self._token_limit / 2)
        if tokens < 1.0:
            self.denied += 1
            return False
        self._tokens[service] = tokens - 1.0
        return True
