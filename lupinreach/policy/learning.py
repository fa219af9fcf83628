"""Learning from ended attempts: smoothed latencies, ejection, trials and the limit in flight."""

from __future__ import annotations

from math import sqrt

from lupinreach.known import Attempt, Backend
from lupinreach.model import AttemptEnd, Load
from lupinreach.policy.calls import Call, Target

NO_CONNECTION = frozenset({AttemptEnd.UNREACHABLE, AttemptEnd.REFUSED})
NO_ANSWER = frozenset({AttemptEnd.UNSENT, AttemptEnd.CANCELLED, AttemptEnd.TIMED_OUT, AttemptEnd.UNREACHABLE})
FAULTY = frozenset({AttemptEnd.ERRORED, AttemptEnd.RESET})  # a fault, but no sign of overload
LATENCY_WEIGHT = 0.15  # of the newest latency sample
MISS_SLOS = 2.0  # x SLO: the sample of a failed attempt, and the largest sample that counts
DEFAULT_SLO_FACTOR = 2.0  # x median smoothed latency: the SLO where none is given
OUTLIER = 2.0  # x median latency of the others: below it a slowdown is common and nothing is ejected
BUSY = 2.0  # x mean reported in flight for a backend's size: above it the backend is backed off,
SIGMAS = 3.0  # and above that mean by so many standard deviations of a count of it
MIN_POOL = 0.5  # share of the ready backends that ejection leaves in use
TYPICAL_WEIGHT = 0.02  # of the newest sample in typical latencies and failure rates
RECENT_WEIGHT = 0.05  # of the newest sample in recent latencies and, at least, in the share of slow attempts
MAX_RECENT_WEIGHT = 0.5  # of one attempt in that share, at most
SLOW_SHARE_LIMIT = 1 / 3  # share of slow attempts from which the agent's own limit in flight is reduced
LIMIT_CUT = 0.3  # reduction of the limit for an excess of 1 over that share
MIN_SHARE = 0.5  # share of the limit that calls of least value may fill; those of most value fill it all


class Learning:
    """The part of `Balancer` that records how attempts ended."""

    def record_attempt(
        self, now: float, call: Call, attempt: Attempt, end: AttemptEnd, latency: float, load: Load | None
    ) -> None:
        """Record the end of an attempt."""
        b = attempt.backend
        b.inflight -= 1
        self._inflight -= not attempt.freed
        target = call.target
        error = end is not AttemptEnd.FULFILLED
        if attempt.trial:
            b.trial = None
        if end is AttemptEnd.REFUSED:
            # Its credit stays spent: guards against agents that have all saved it up by the time it is back.
            self._mark_down(now, b)
        elif end not in NO_ANSWER:
            b.has_responded = True
            if b.down:
                b.down, b.started_at = False, attempt.sent_at
                self._reset_backend(b, b.credit)
            b.up_since = b.up_since or attempt.sent_at
        if end in (AttemptEnd.UNSENT, AttemptEnd.CANCELLED) or (attempt.overdue and error) or attempt.aborted:
            if attempt.trial and b.ejected_until[target.index]:
                b.ejected_until[target.index] = now + (self._ejection_ms if attempt.overdue else 0.0)
            return
        b.failure_rate += TYPICAL_WEIGHT * ((end in FAULTY) - b.failure_rate)
        if not error:
            target.typical += TYPICAL_WEIGHT * (latency - target.typical) if target.typical else latency
            target.recent += RECENT_WEIGHT * (latency - target.recent)
            if attempt.load < 1 and self._by_load:
                target.idle += RECENT_WEIGHT * (min(latency, target.slo) - target.idle)
            target.low = min(target.low * (1 + TYPICAL_WEIGHT**2), target.recent)
        if not attempt.overdue:
            self._sample(now, call, attempt, end, latency)
        if load is not None and load.in_flight is not None:
            # Reports only reveal extremes: agents that ranked backends by late reports would herd.
            crowd = load.in_flight / b.size
            self._reports += TYPICAL_WEIGHT * (crowd - self._reports) if self._reports else crowd
            # Guards against counts of one or two, which reach twice their mean by chance and would back off
            # the fastest backends of a fleet with little in flight.
            if crowd > self._reports + max((BUSY - 1) * self._reports, SIGMAS * sqrt(self._reports / b.size)):
                # For as long as the excess over the mean takes to be served.
                b.backoff_until = max(b.backoff_until, now + (crowd / self._reports - 1) * target.typical)
        if not error:
            b.silent_since = now
            b.fast_failures = 0
        elif latency < target.typical:
            # Guards against a backend that fails at once and, always idle, would attract every call.
            b.backoff_until = now + min(self._ejection_ms, target.typical * 2**b.fast_failures)
            b.fast_failures += 1

    def record_late_failure(self, now: float, call: Call, attempt: Attempt) -> None:
        """An attempt broke whose answer had begun and was recorded."""
        attempt.backend.failure_rate += TYPICAL_WEIGHT * (1 - attempt.backend.failure_rate)
        self._sample(now, call, attempt, AttemptEnd.RESET, 0.0)

    def _sample(self, now: float, call: Call, attempt: Attempt, end: AttemptEnd, latency: float) -> None:
        """Add a sample to the backend's latency of every SLO, scaled by the typical latencies of the SLOs."""
        # Guards against agents with little traffic that would have to learn of a slow backend once per SLO.
        b, own, error = attempt.backend, call.target, end is not AttemptEnd.FULFILLED
        b.observed_at = now
        # Guards against a wave of cold backends, slow by their age, that would cut the limit for warm ones.
        # With hardly a warm one left the cold ones count, each by the latency that it would have warm.
        cold = self._is_cold(now, b)
        aged = self._capacity(now, b) if cold else 1.0
        counts = (not cold or self._mostly_cold) and end not in NO_CONNECTION and end not in FAULTY
        if counts and not attempt.freed and not b.ejected_until[own.index]:
            self._adapt_limit(now, error or own.is_slow(latency * aged))
        latency /= max(1.0, call.work)  # guards against a long call that ejects a healthy backend
        for t in self._targets:
            scale = t.typical / own.typical if own.typical and t.typical else t.slo / own.slo
            sample = MISS_SLOS * t.slo if error else min(MISS_SLOS * t.slo, latency * scale)
            i = t.index
            old = b.latency_ms[i]
            if b.ejected_until[i]:
                if not attempt.trial:
                    continue
                if sample <= t.slo:
                    b.ejected_until[i] = 0.0
                    b.latency_ms[i] = sample
                    b.restored_at = now
                    b.finish_tag = self._vtime  # the old tag was advanced by its latency before
                    self._port.log(f"backend {b.index} restored for SLO {t.slo:.0f} ms")
                else:
                    b.ejected_until[i] = now + self._ejection_ms
                continue
            latest = b.latency_ms[i] = sample if old is None and not error else self._smooth(old, t, sample)
            if not t.has_slo:
                samples = sorted(f for o in self._ready if (f := o.latency_ms[i]) is not None) or [latest]
                t.slo = DEFAULT_SLO_FACTOR * samples[len(samples) // 2]
            if latest > t.slo:
                self._eject(now, b, t, end in FAULTY)

    def _adapt_limit(self, now: float, slow: bool) -> None:
        """Adapt the agent's limit in flight: raise it while answers are fast, cut it when many are slow."""
        # Guards against many agents with an attempt or two each at every backend, where no limit per backend
        # can be low enough: together they would still overload the fleet.
        # The share of slow ones counts, not how slow they are, so that a few long ones don't reduce it.
        # Weighted by time: an agent with an attempt or two a second must not need twenty to see an overload.
        weight = min(MAX_RECENT_WEIGHT, max(RECENT_WEIGHT, (now - self._sampled_at) / self._slow_window_ms))
        self._sampled_at = now
        self._slow_share += weight * (slow - self._slow_share)
        if self._slow_share > SLOW_SHARE_LIMIT:
            if now >= self._narrowed_at + self._typical_ms():
                self._narrowed_at = now
                excess = self._slow_share - SLOW_SHARE_LIMIT
                self._limit = min(self._limit, self._peak_inflight) * (1 - LIMIT_CUT * excess)
                self._peak_inflight = self._inflight
        elif self._by_load and self._inflight > self._limit:
            self._limit = self._inflight
        elif self._inflight + 1 >= self._limit * (1 - MIN_SHARE):
            self._limit += min(self._limit, 1 / self._limit)
        self._limit = max(self._min_limit, self._limit)

    def _typical_ms(self) -> float:
        """Typical latency of the slowest SLO's calls; 0 = none seen."""
        return max(t.typical for t in self._targets)

    def _smooth(self, old: float | None, t: Target, sample: float) -> float:
        if old is None:
            others = [f for o in self._ready if (f := o.latency_ms[t.index]) is not None]
            old = sum(others) / len(others) if others else 0.0
        return old + LATENCY_WEIGHT * (sample - old)

    def _eject(self, now: float, b: Backend, t: Target, faulty: bool) -> None:
        """Eject a backend for an SLO, unless too few would be left: then the cause is not the backend."""
        i = t.index
        ready = len(self._ready)
        left = [o.latency_ms[i] for o in self._ready if not o.ejected_until[i] and o is not b]
        known = sorted(f for f in left if f is not None)
        usual = known[len(known) // 2] if known else 0.0
        # Guards against faults that all backends have alike, and that come in runs by chance.
        usual_rate = sum(o.failure_rate for o in self._ready if o is not b) / max(1, ready - 1)
        common = faulty and b.failure_rate < OUTLIER * usual_rate
        if common or len(left) < MIN_POOL * ready or not left or (b.latency_ms[i] or 0.0) < OUTLIER * usual:
            # Guards against a common slowdown that ejects most backends and floods the few that are left.
            b.latency_ms[i] = min(b.latency_ms[i] or 0.0, MISS_SLOS * t.slo)
            return
        b.ejected_until[i] = now + self._ejection_ms
        self._port.log(f"backend {b.index} ejected for SLO {t.slo:.0f} ms at {b.latency_ms[i]:.0f} ms")
