"""Credit of cold backends: they earn their attempts from what warm ones are sent."""

from __future__ import annotations

from lupinreach.known import Backend
from lupinreach.policy.calls import Call
from lupinreach.policy.learning import MIN_POOL, SLOW_SHARE_LIMIT

MAX_SIZE = 1e3  # x mean size: no weight is as large
INITIAL_LIMIT = 2.0  # attempts in flight for a backend of mean size, before anything is known
MAX_CREDIT = 1.5  # x its part by size: credit of a fast backend while the fleet is mostly cold
LIMIT_GROWTH = 2.0  # e-folds within `fall` of the limit of each cold backend, while attempts are fast
RARE_BOOST = 4.0  # x its part, at most: extra credit of an agent with hardly a call within `fall`
ADVANCE = 0.5  # calls: half the range of initial credits, and the advance on credit while mostly cold


class ColdCredit:
    """The part of `Balancer` that limits what a cold backend is sent."""

    def _is_cold(self, now: float, b: Backend) -> bool:
        return b.down or b.started_at > 0 and now < b.started_at + self._cold_ms

    def _capacity(self, now: float, b: Backend) -> float:
        """The part of its capacity that a backend has at least by its age."""
        age = 0.0 if b.down else max(0.0, now - b.started_at)
        return min(1.0, self._start_capacity + (1 - self._start_capacity) * age / self._cold_ms)

    def _ramp(self, now: float, b: Backend) -> float:
        """Weight of a backend in the choice: less while it is cold or just restored from ejection."""
        ramp = self._capacity(now, b) if self._is_cold(now, b) else 1.0
        if b.restored_at and now < b.restored_at + self._ejection_ms:
            ramp *= max(self._start_capacity, (now - b.restored_at) / self._ejection_ms)
        return ramp

    def _earn_credit(self, now: float) -> None:
        """Credit cold backends with their part of what a warm one is sent."""
        # Guards against overloading a backend that has just started: each agent grants only a part of what it
        # sends to a warm one itself, so that the sum over all agents stays in proportion.
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
            # Falls slowly: guards against losing the rate, and all credit with it, while the warm ones fail.
            self._warm_rate = max(rate, self._warm_rate * (1 - passed / self._cold_ms))
        few_warm = self._by_load or len(warm) < MIN_POOL * len(self._ready)
        rate = self._warm_rate * (self._boost if few_warm else 1.0)
        self._mostly_cold = len(warm) < MIN_POOL**2 * len(self._ready)
        self._cold_limit = self._cold_limit if self._mostly_cold else INITIAL_LIMIT
        rates = self._cold_credit_rates(now, passed) if self._mostly_cold else None
        for b in rates or self._ready:
            if self._is_cold(now, b):
                earned = rates[b] if rates else rate * b.size * self._capacity(now, b)
                # Guards against agents that have all saved up credit by the time it is up again.
                most = ADVANCE if b.down and rates else max(earned * self._fall_ms / 2, 1.0)
                b.credit = min(most, b.credit + earned * passed)

    def _cold_credit_rates(self, now: float, passed: float) -> dict[Backend, float]:
        """Credit per ms of each backend in use, while hardly a warm one shows what one can be sent."""
        # It is its part of this agent's demand, and so over all agents; the part of a fast backend is larger.
        used, t = self._ready[: self._subset_size()], self._targets[0]
        speed = {b: b.size / self._expected_ms(b, t) for b in used}
        calls, speeds, sizes = self._demand / self._demand_ms, sum(speed.values()), sum(b.size for b in used)
        # Guards against the first one listed, which would get the whole demand: by Little's law none gets
        # more than `_cold_limit` attempts in flight, of all agents, until the fleet is seen to bear them.
        grown, slow = 1 + LIMIT_GROWTH * passed / self._fall_ms, self._slow_share / SLOW_SHARE_LIMIT
        self._cold_limit *= grown if slow < 0.5 else 1 / grown if slow > 1 else 1.0
        self._cold_limit = max(INITIAL_LIMIT, min(MAX_SIZE, self._cold_limit))
        # Guards against an agent with few calls that earns by its mean, half of which would lapse. Agents
        # send no more than they get, and none of this counts before the fleet is seen to bear it.
        calls *= max(1.0, min(1 + RARE_BOOST / (1 + calls * self._fall_ms), self._cold_limit / INITIAL_LIMIT))
        by_all, rates = self._agents * len(used) / max(1, len(self._ready)), {}
        for b in used:
            # One that has answered nothing since its start may be the slowest of all.
            part, sampled = self._capacity(now, b), b.latency_ms[0] is not None and not b.down
            took = self._expected_ms(b, t) / (part if b.latency_ms[0] is None else 1.0)
            share = min(speed[b] / speeds, MAX_CREDIT * b.size / sizes) * (self._boost if sampled else 1.0)
            rates[b] = min(calls * share * part, self._cold_limit * b.size / (took * by_all))
        return rates

    def _has_credit(self, now: float, b: Backend, call: Call) -> bool:
        """If the backend is warm, or has credit for the call."""
        # Where each agent earns an attempt at each backend in half a minute, an advance of half an attempt
        # lets all of them together send what they earn from the start.
        return not self._is_cold(now, b) or b.credit + (ADVANCE if self._mostly_cold else 0.0) >= call.work
