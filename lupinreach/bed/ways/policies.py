"""Baseline policies: the agent's decision module with another choice of backend and its mechanisms switched off.

They follow the same rules as the module (no effect twice, drains, client timeouts), except that each baseline treats
cold backends in its own way. Random draws come from the seed, as in the module.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Protocol

from lupinreach.balance import Backend, Balancer, Call
from lupinreach.model import AttemptEnd, Load, Port, Settings

BalancerFactory = Callable[[Settings, int, Port], Balancer]

PAPER_SMOOTHING = 0.3  # weight of the newest sample in the smoothed latency
# Multiple of a call's work that a cold backend must have spare: other agents see the same state at the same instant.
COLD_HEADROOM_FACTOR = 3.0
PAPER_EJECTION_MS = 5000.0  # until an ejected backend gets a trial attempt


class Baseline(Balancer):
    """No limit in flight, no ejection, no backoff, no hedging, no credit; treats all ready backends alike."""

    def _choose_backend(self, now: float, call: Call) -> Backend | None:
        usable = [b for b in self._ready if call.may_use(b)]
        untried = [b for b in usable if all(s.backend is not b for s in call.attempts)]
        return self.pick(now, call, untried or usable) if usable else None

    def pick(self, now: float, call: Call, candidates: list[Backend]) -> Backend:
        """Chooses one of the candidates, which are not empty."""
        raise NotImplementedError

    def _sample(self, now: float, call: Call, attempt: object, end: AttemptEnd, latency: float) -> None:  # type: ignore[override]
        """Ignores the outcome of attempts."""

    def _hedge(self, now: float, call: Call) -> None:
        """Sends no hedged attempt beside a late one."""

    def _expected_ms(self, b: Backend, target: object) -> float:
        return 1.0  # each attempt counts alike, whatever its expected latency

    def _has_credit(self, now: float, b: Backend, call: Call) -> bool:
        return True

    def spend_budget(self) -> bool:
        return True


class RoundRobin(Baseline):
    """Chooses the backend with the lowest finish tag, so that all are used in turn."""

    def pick(self, now: float, call: Call, candidates: list[Backend]) -> Backend:
        return min(candidates, key=lambda b: b.finish_tag)

    def _ramp(self, now: float, b: Backend) -> float:
        return 1.0


class LeastRequest(Baseline):
    """Chooses the backend with the fewest attempts of this agent in flight; round-robin among equals."""

    def pick(self, now: float, call: Call, candidates: list[Backend]) -> Backend:
        return min(candidates, key=lambda b: (b.inflight, b.finish_tag))


class TwoChoices(Baseline):
    """Chooses the less loaded of two backends drawn at random."""

    def pick(self, now: float, call: Call, candidates: list[Backend]) -> Backend:
        first = candidates[int(self._random() * len(candidates))]
        second = candidates[int(self._random() * len(candidates))]
        return min(first, second, key=lambda b: b.inflight)


class QEdgeProxy(Baseline):
    """QEdgeProxy as in the paper: a pool by smoothed latency, equal shares, a trial some time after an ejection.

    What the paper leaves open follows the design page: a failed attempt is a sample of twice the SLO, a backend
    without samples starts from the mean of the others, and an empty pool falls back to all backends.
    """

    def pick(self, now: float, call: Call, candidates: list[Backend]) -> Backend:
        i = call.target.index
        due = [b for b in candidates if b.ejected_until[i] and now >= b.ejected_until[i] and b.trial is None]
        if due:
            return due[0]
        pool = [b for b in candidates if not b.ejected_until[i]]
        return min(pool or candidates, key=lambda b: b.finish_tag)

    def _sample(self, now: float, call: Call, attempt: object, end: AttemptEnd, latency: float) -> None:  # type: ignore[override]
        b, target = attempt.backend, call.target  # type: ignore[attr-defined]
        i, failed = target.index, end is not AttemptEnd.FULFILLED
        sample = 2 * target.slo if failed else latency
        if b.ejected_until[i]:
            if attempt.trial:  # type: ignore[attr-defined]
                b.ejected_until[i] = 0.0 if sample <= target.slo else now + PAPER_EJECTION_MS
                b.latency_ms[i] = sample
            return
        old = b.latency_ms[i]
        b.latency_ms[i] = sample if old is None and not failed else self._smoothed(i, old, sample)
        if (b.latency_ms[i] or 0.0) > target.slo:
            b.ejected_until[i] = now + PAPER_EJECTION_MS

    def _smoothed(self, i: int, old: float | None, sample: float) -> float:
        if old is None:
            known = [f for o in self._ready if (f := o.latency_ms[i]) is not None]
            old = sum(known) / len(known) if known else sample
        return old + PAPER_SMOOTHING * (sample - old)

    def record_attempt(
        self,
        now: float,
        call: Call,
        attempt: object,
        end: AttemptEnd,
        latency: float,  # type: ignore[override]
        load: Load | None,
    ) -> None:
        super().record_attempt(now, call, attempt, end, latency, None)  # type: ignore[arg-type]


class Nearest(Baseline):
    """Chooses the lowest recorded latency: the paper's proximity baseline, as far as the paper specifies it."""

    def pick(self, now: float, call: Call, candidates: list[Backend]) -> Backend:
        i = call.target.index
        return min(
            candidates, key=lambda b: (b.latency_ms[i] if b.latency_ms[i] is not None else -inf, b.finish_tag)
        )

    def _sample(self, now: float, call: Call, attempt: object, end: AttemptEnd, latency: float) -> None:  # type: ignore[override]
        b, i = attempt.backend, call.target.index  # type: ignore[attr-defined]
        if b.latency_ms[i] is None:  # only the first sample is kept; later changes are not seen
            b.latency_ms[i] = latency


class BackendModel(Protocol):
    """What a policy that sees the true state needs of a backend's model."""

    def time_to_finish(self, now: float, work: float) -> float:
        """Ms until work that arrives now would be done, after all present work; infinite if it never would be."""
        ...

    def cold_headroom(self, now: float) -> float:
        """Ms of work that may arrive now without overloading a cold backend; infinite if warm."""
        ...


class TrueStateProvider(Protocol):
    """Access to the true state of the backends; provided by virtual time."""

    def backend(self, index: int) -> BackendModel | None:
        """The backend with this index in the agent's list; None if it is down or unreachable from the agent."""
        ...

    def work(self, product: int) -> float:
        """Mean work of a call of the product, ms."""
        ...


class TrueState(Baseline):
    """Sees each backend's queue, speed and age, a message delay late: an upper bound that no real agent reaches.

    Chooses the backend that would finish first, among those that the call would not overload; rejects a call that
    would miss its SLO. It learns of backends from its list, as any agent does.
    """

    truth: TrueStateProvider | None = None  # set before the first call

    def _choose_backend(self, now: float, call: Call) -> Backend | None:
        assert self.truth is not None
        work = self.truth.work(self.product_terms.index(call.terms)) * call.work
        remaining_ms = min(call.target.slo, call.until - call.arrived) - (now - call.arrived)
        best, best_ms = None, remaining_ms if not call.attempts else inf
        # Uses as many backends as other agents do: connections are scarce, and backends reject calls over too many.
        for b in self._ready[: self._subset_size()]:
            if call.may_use(b) and (model := self.truth.backend(b.index)) is not None:
                completion_ms = model.time_to_finish(now, work)
                if completion_ms < best_ms and model.cold_headroom(now) >= COLD_HEADROOM_FACTOR * work:
                    best, best_ms = b, completion_ms
        return best


POLICIES: dict[str, BalancerFactory] = {
    "lupinreach": Balancer,
    "round-robin": RoundRobin,
    "least-request": LeastRequest,
    "two-choices": TwoChoices,
    "paper": QEdgeProxy,
    "nearest": Nearest,
    "true-state": TrueState,
}
