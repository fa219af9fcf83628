"""Credit of cold backends: they earn their shots from what warm ones are sent."""

from __future__ import annotations

from lupinreach.known import Backend
from lupinreach.policy.calls import Call
from lupinreach.policy.learning import MIN_POOL_SHARE, SLOW_SHARE_LIMIT

MAX_SIZE = 1e3  # x mean size: no weight is as large
INITIAL_LIMIT = 2.0  # shots in flight that a backend of mean size is given before anything is known
MAX_CREDIT = 1.5  # x its part by size: a quick backend of a fleet without a warm one
LIMIT_GROWTH = 2.0  # e-folds within `fall` of what each of them may hold, while shots come well in time
RARE_BOOST = 4.0  # x its part, at most: what an agent with hardly an API call within `fall` earns more
CREDIT_SPREAD = 0.5  # API calls: half of what first credits are spread over


class ColdCredit:
    """The part of `Balancer` that says what a cold backend may get."""

    # Cold backends.

    def _is_cold(self, now: float, b: Backend) -> bool:
        return b.down or b.started_at > 0 and now < b.started_at + self._cold_ms

    def _capacity(self, now: float, b: Backend) -> float:
        """The part of its capacity that a backend surely has by now."""
        age = 0.0 if b.down else max(0.0, now - b.started_at)
        return min(1.0, self._start_capacity + (1 - self._start_capacity) * age / self._cold_ms)

    def _ramp(self, now: float, b: Backend) -> float:
        """A fresh or returning backend counts for less in the choice, by its age."""
        ramp = self._capacity(now, b) if self._is_cold(now, b) else 1.0
        if b.restored_at and now < b.restored_at + self._ejection_ms:
            ramp *= max(self._start_capacity, (now - b.restored_at) / self._ejection_ms)
        return ramp

    def _earn_credit(self, now: float) -> None:
        """Credit cold backends with their part of what a warm one is sent.

        Guards against pushing over a backend that has just started: summed over agents, what the backend gets
        stays in proportion, since each agent gives out only a part of what it itself sends a warm one.
        """
        passed = now - self._earned_at
        if passed < self.step:
            return
        self._earned_at = now
        keep = max(0.0, 1 - passed / self._fall_ms)
        self._demand, self._demand_ms = self._demand * keep + self._new_work, self._demand_ms * keep + passed
        self._new_work = 0.0
        warm = [b for b in self._ready if not self._is_cold(now, b)]
        if warm:
            size = sum(b.size for b in warm)
            sent = sum(b.sent_work for b in warm) / size
            for b in warm:
                b.sent_work = 0.0
            rate = self._warm_rate * keep + (1 - keep) * sent / passed
            # Falls slowly: guards against losing the rate, and with it all credit, while the warm ones fail.
            self._warm_rate = max(rate, self._warm_rate * (1 - passed / self._cold_ms))
        few = self._by_load or len(warm) < MIN_POOL_SHARE * len(self._ready)
        rate = self._warm_rate * (self._few_warm_boost if few else 1.0)
        self._mostly_cold = len(warm) < MIN_POOL_SHARE**2 * len(self._ready)
        self._cold_limit = self._cold_limit if self._mostly_cold else INITIAL_LIMIT
        earns = self._cold_credit_rates(now, passed) if self._mostly_cold else None
        for b in earns or self._ready:
            if self._is_cold(now, b):
                earned = earns[b] if earns else rate * b.size * self._capacity(now, b)
                # Guards against agents that have all saved up by the time that it stands again.
                most = CREDIT_SPREAD if b.down and earns else max(earned * self._fall_ms / 2, 1.0)
                b.credit = min(most, b.credit + earned * passed)

    def _cold_credit_rates(self, now: float, passed: float) -> dict[Backend, float]:
        """What each backend that this agent uses earns a ms while no warm one tells what one is sent.

        That is its part of what this agent is asked, and so over all agents; a quick one's is larger.
        """
        used, t = self._ready[: self._subset_size()], self._targets[0]
        pace = {b: b.size / self._expected_ms(b, t) for b in used}
        asked, paces, sizes = self._demand / self._demand_ms, sum(pace.values()), sum(b.size for b in used)
        # Guards against the first to be listed, which would get all that is asked: by Little's law none gets
        # more than `lanes` shots in flight, of all agents, until the fleet is seen to hold them.
        grown, slow = 1 + LIMIT_GROWTH * passed / self._fall_ms, self._slow_share / SLOW_SHARE_LIMIT
        self._cold_limit *= grown if slow < 0.5 else 1 / grown if slow > 1 else 1.0
        self._cold_limit = max(INITIAL_LIMIT, min(MAX_SIZE, self._cold_limit))
        # Guards against credit by the mean for an agent that is asked now and then: half of it would lapse. It sends no more
        # than it is asked, so what all send stays under that; and none of this counts before the fleet is seen to hold it.
        asked *= max(1.0, min(1 + RARE_BOOST / (1 + asked * self._fall_ms), self._cold_limit / INITIAL_LIMIT))
        by_all, earns = self._agents * len(used) / max(1, len(self._ready)), {}
        for b in used:
            # What has answered nothing as it is now may be the slowest there is.
            part, met = self._capacity(now, b), b.latency_ms[0] is not None and not b.down
            took = self._expected_ms(b, t) / (part if b.latency_ms[0] is None else 1.0)
            share = min(pace[b] / paces, MAX_CREDIT * b.size / sizes) * (self._few_warm_boost if met else 1.0)
            earns[b] = min(asked * share * part, self._cold_limit * b.size / (took * by_all))
        return earns

    def _has_credit(self, now: float, b: Backend, call: Call) -> bool:
        # Where what each agent earns of each backend is a shot in half a minute, half a shot ahead lets all
        # of them together send what they earn, from the first moment on.
        return (
            not self._is_cold(now, b) or b.credit + (CREDIT_SPREAD if self._mostly_cold else 0.0) >= call.work
        )
