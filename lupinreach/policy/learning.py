"""Learning from what came back: smoothed latencies, ejection, trials and the bound in flight."""

from __future__ import annotations

from math import sqrt

from lupinreach.known import Attempt, Backend
from lupinreach.model import AttemptEnd, Load
from lupinreach.policy.calls import Call, Target

NO_CONNECTION = frozenset({AttemptEnd.UNREACHABLE, AttemptEnd.REFUSED})
NO_RESPONSE = frozenset(
    {AttemptEnd.UNSENT, AttemptEnd.CANCELLED, AttemptEnd.TIMED_OUT, AttemptEnd.UNREACHABLE}
)  # of life
FAULTY = frozenset({AttemptEnd.ERRORED, AttemptEnd.RESET})  # something is wrong, but not that too much is out
LATENCY_WEIGHT = 0.15  # weight of the newest latency sample
MISS_SLOS = 2.0  # a failed shot counts as a sample of this many SLOs; no sample counts for more
DEFAULT_SLO_FACTOR = 2.0  # with no SLO given: this many times the median smoothed latency
OUTLIER_FACTOR = 2.0  # x median figure of the others: below it a miss is shared and does not eject
BUSY_FACTOR = 2.0  # x mean reported in flight for a backend's size: above it the backend rests, and so many
BUSY_SIGMAS = 3.0  # standard deviations of a count of that mean
MIN_POOL_SHARE = 0.5  # share of the ready backends that ejection leaves in a pool
SLOW_WEIGHT = (
    0.02  # weight of the newest sample in what an SLO's API calls usually take, and how many are spoilt
)
RECENT_WEIGHT = 0.05  # weight of the newest shot in the share of slow ones
MAX_RECENT_WEIGHT = 0.5  # one shot never weighs more than this
SLOW_SHARE_LIMIT = 1 / 3  # share of shots slower than FULL_AT from which the agent's own bound narrows
LIMIT_CUT = 0.3  # how far the bound narrows, for a share of slow shots that is over by 1
MIN_LIMIT_SHARE = (
    0.5  # share of the bound that the API calls of least value may fill; the dearest fill it all
)


class Learning:
    """The part of `Balancer` that books how shots ended."""

    # Learning from what came back.

    def record_attempt(
        self, now: float, call: Call, attempt: Attempt, end: AttemptEnd, latency: float, load: Load | None
    ) -> None:
        """Book the end of a shot."""
        b = attempt.backend
        b.inflight -= 1
        self._inflight -= not attempt.uncounted
        target = call.target
        failed = end is not AttemptEnd.FULFILLED
        if attempt.trial:
            b.trial = None
        if end is AttemptEnd.REFUSED:
            # Its credit is spent: guards against agents that have all saved it up by the time it is back.
            self._mark_down(now, b)
        elif end not in NO_RESPONSE:
            b.has_responded = True
            if b.down:
                b.down, b.started_at = False, attempt.sent_at
                self._reset_backend(b, b.credit)
            b.up_since = b.up_since or attempt.sent_at
        if (
            end in (AttemptEnd.UNSENT, AttemptEnd.CANCELLED)
            or (attempt.overdue and failed)
            or attempt.cancelled
        ):
            if attempt.trial and b.ejected_until[target.index]:
                b.ejected_until[target.index] = now + (self._ejection_ms if attempt.overdue else 0.0)
            return
        b.failure_rate += SLOW_WEIGHT * ((end in FAULTY) - b.failure_rate)
        if not failed:
            target.typical += SLOW_WEIGHT * (latency - target.typical) if target.typical else latency
            target.recent += RECENT_WEIGHT * (latency - target.recent)
            if attempt.load < 1 and self._by_load:
                target.idle += RECENT_WEIGHT * (min(latency, target.slo) - target.idle)
            target.low = min(target.low * (1 + SLOW_WEIGHT**2), target.recent)
        if not attempt.overdue:
            self._sample(now, call, attempt, end, latency)
        if load is not None and load.in_flight is not None:
            # A report spots extremes and ranks nothing: agents that rank by late reports herd.
            crowd = load.in_flight / b.size
            self._reported += SLOW_WEIGHT * (crowd - self._reported) if self._reported else crowd
            # Guards against counts of one or two, which stray to twice their mean by chance and would rest
            # the fastest backends of a fleet that has little out.
            if crowd > self._reported + max(
                (BUSY_FACTOR - 1) * self._reported, BUSY_SIGMAS * sqrt(self._reported / b.size)
            ):
                # As long as what is over the mean takes to be worked off.
                b.backoff_until = max(b.backoff_until, now + (crowd / self._reported - 1) * target.typical)
        if not failed:
            b.silent_since = now
            b.fast_failures = 0
        elif latency < target.typical:
            # Guards against a backend that fails at once and, always idle, would draw every turn.
            b.backoff_until = now + min(self._ejection_ms, target.typical * 2**b.fast_failures)
            b.fast_failures += 1

    def record_late_failure(self, now: float, call: Call, attempt: Attempt) -> None:
        """A shot broke whose answer had begun and was booked."""
        attempt.backend.failure_rate += SLOW_WEIGHT * (1 - attempt.backend.failure_rate)
        self._sample(now, call, attempt, AttemptEnd.RESET, 0.0)

    def _sample(self, now: float, call: Call, attempt: Attempt, end: AttemptEnd, latency: float) -> None:
        """One sample for the backend's figure of every SLO, scaled to what each SLO's API calls usually take.

        Guards against agents with little traffic that would learn of a slow backend once for each product.
        """
        b, own, failed = attempt.backend, call.target, end is not AttemptEnd.FULFILLED
        b.observed_at = now
        # Guards against a wave of cold backends, slow by their age, that would narrow what the warm ones get.
        # But with hardly a warm one left it is the cold that tell, each by what it would have taken warm.
        cold = self._is_cold(now, b)
        aged = self._capacity(now, b) if cold else 1.0
        tells = (not cold or self._mostly_cold) and end not in NO_CONNECTION and end not in FAULTY
        if tells and not attempt.uncounted and not b.ejected_until[own.index]:
            self._adapt_limit(now, failed or own.is_slow(latency * aged))
        latency /= max(1.0, call.work)  # guards against a long API call that ejects a sound backend
        for t in self._targets:
            scale = t.typical / own.typical if own.typical and t.typical else t.slo / own.slo
            sample = MISS_SLOS * t.slo if failed else min(MISS_SLOS * t.slo, latency * scale)
            i = t.index
            old = b.latency_ms[i]
            if b.ejected_until[i]:
                if not attempt.trial:
                    continue
                if sample <= t.slo:
                    b.ejected_until[i] = 0.0
                    b.latency_ms[i] = sample
                    b.restored_at = now
                    b.finish_tag = self._vtime  # what it stood at was counted by what it took before
                    self._port.log(f"backend {b.index} restored for SLO {t.slo:.0f} ms")
                else:
                    b.ejected_until[i] = now + self._ejection_ms
                continue
            figure = b.latency_ms[i] = sample if old is None and not failed else self._smooth(old, t, sample)
            if not t.has_slo:
                figures = sorted(f for o in self._ready if (f := o.latency_ms[i]) is not None) or [figure]
                t.slo = DEFAULT_SLO_FACTOR * figures[len(figures) // 2]
            if figure > t.slo:
                self._eject(now, b, t, end in FAULTY)

    def _adapt_limit(self, now: float, slow: bool) -> None:
        """The agent's bound on all its shots: widen while answers come well in time, narrow when they don't.

        Guards against many agents with a shot or two each on every backend, where no backend's own bound can
        get low enough: together they would still choke the fleet.
        """
        # Counted by how many are late and not by how much, so that a few long ones don't narrow it.
        # An agent with a shot or two a second must not need twenty of them to see that the fleet is full.
        weight = min(MAX_RECENT_WEIGHT, max(RECENT_WEIGHT, (now - self._sampled_at) / self._slow_window_ms))
        self._sampled_at = now
        self._slow_share += weight * (slow - self._slow_share)
        if self._slow_share > SLOW_SHARE_LIMIT:
            if now >= self._narrowed_at + self._slowest_typical():
                self._narrowed_at = now
                excess = self._slow_share - SLOW_SHARE_LIMIT
                self._limit = min(self._limit, self._peak_inflight) * (1 - LIMIT_CUT * excess)
                self._peak_inflight = self._inflight
        elif self._by_load and self._inflight > self._limit:
            self._limit = self._inflight
        elif self._inflight + 1 >= self._limit * (1 - MIN_LIMIT_SHARE):
            self._limit += min(self._limit, 1 / self._limit)
        self._limit = max(self._min_limit, self._limit)

    def _slowest_typical(self) -> float:
        """What the slowest product usually takes, 0 = none seen."""
        return max(t.typical for t in self._targets)

    def _smooth(self, old: float | None, t: Target, sample: float) -> float:
        if old is None:
            others = [f for o in self._ready if (f := o.latency_ms[t.index]) is not None]
            old = sum(others) / len(others) if others else 0.0
        return old + LATENCY_WEIGHT * (sample - old)

    def _eject(self, now: float, b: Backend, t: Target, spoilt: bool) -> None:
        """Take a backend out of a pool, unless too few would be left: then the cause is not the backend."""
        i = t.index
        ready = len(self._ready)
        left = [o.latency_ms[i] for o in self._ready if not o.ejected_until[i] and o is not b]
        known = sorted(f for f in left if f is not None)
        usual = known[len(known) // 2] if known else 0.0
        # Guards against breaks and spoilt answers that come from any backend alike, and in runs by chance.
        ill = sum(o.failure_rate for o in self._ready if o is not b) / max(1, ready - 1)
        alike = spoilt and b.failure_rate < OUTLIER_FACTOR * ill
        if (
            alike
            or len(left) < MIN_POOL_SHARE * ready
            or not left
            or (b.latency_ms[i] or 0.0) < OUTLIER_FACTOR * usual
        ):
            # Guards against a shared slowdown that empties the pool and floods the few that are left.
            b.latency_ms[i] = min(b.latency_ms[i] or 0.0, MISS_SLOS * t.slo)
            return
        b.ejected_until[i] = now + self._ejection_ms
        self._port.log(f"backend {b.index} ejected for SLO {t.slo:.0f} ms at {b.latency_ms[i]:.0f} ms")
