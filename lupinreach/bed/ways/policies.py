"""Baselines to compare with: the agent's own module with another choice of the backend, and its mechanisms off.

They keep what the module is given by the rules (no effect twice, drains, client timeouts); how a baseline treats
cold backends is its own matter. Chance comes from the seed, as in the module.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Protocol

from lupinreach.balance import Backend, Balancer, Call
from lupinreach.bed.peers.backend import Backend as Model
from lupinreach.model import AttemptEnd, Load, Port, Settings

Decide = Callable[[Settings, int, Port], Balancer]

PAPER_WEIGHT = 0.3  # of the newest sample
MARGIN = 3.0  # x an API call's work that a cold backend must be able to take: others see the same in the same instant
PAPER_HOLD = 5000.0  # ms until an ejected backend gets its trial


class Baseline(Balancer):
    """No bound in flight, no ejection, no rest, no second copies, no credit; all ready backends alike."""

    def _choose_backend(self, now: float, call: Call) -> Backend | None:
        usable = [b for b in self._ready if call.may_use(b)]
        fresh = [b for b in usable if all(s.backend is not b for s in call.attempts)]
        return self.pick(now, call, fresh or usable) if usable else None

    def pick(self, now: float, call: Call, among: list[Backend]) -> Backend:
        raise NotImplementedError

    def _sample(self, now: float, call: Call, shot: object, ending: AttemptEnd, latency: float) -> None:  # type: ignore[override]
        """Learns nothing."""

    def _hedge(self, now: float, call: Call) -> None:
        """Sends nothing beside a late shot."""

    def _expected_ms(self, b: Backend, target: object) -> float:
        return 1.0  # turns are counted, not timed

    def _has_credit(self, now: float, b: Backend, call: Call) -> bool:
        return True

    def spend_budget(self) -> bool:
        return True


class RoundRobin(Baseline):
    """The next in turn."""

    def pick(self, now: float, call: Call, among: list[Backend]) -> Backend:
        return min(among, key=lambda b: b.finish_tag)

    def _ramp(self, now: float, b: Backend) -> float:
        return 1.0


class LeastRequest(Baseline):
    """The one with the fewest shots of this agent in flight, the next in turn of several."""

    def pick(self, now: float, call: Call, among: list[Backend]) -> Backend:
        return min(among, key=lambda b: (b.inflight, b.finish_tag))


class TwoChoices(Baseline):
    """The less loaded of two drawn at random."""

    def pick(self, now: float, call: Call, among: list[Backend]) -> Backend:
        first = among[int(self._random() * len(among))]
        second = among[int(self._random() * len(among))]
        return min(first, second, key=lambda b: b.inflight)


class Paper(Baseline):
    """QEdgeProxy as the paper has it: a pool by smoothed latency, equal shares, a trial some time after an ejection.

    What the paper leaves open is set as the design page has it: a failed shot is a sample of twice the SLO, an
    unsampled backend is expected to do as the others do, an empty pool falls back to all.
    """

    def pick(self, now: float, call: Call, among: list[Backend]) -> Backend:
        i = call.target.index
        due = [b for b in among if b.ejected_until[i] and now >= b.ejected_until[i] and b.trial is None]
        if due:
            return due[0]
        pool = [b for b in among if not b.ejected_until[i]]
        return min(pool or among, key=lambda b: b.finish_tag)

    def _sample(self, now: float, call: Call, shot: object, ending: AttemptEnd, latency: float) -> None:  # type: ignore[override]
        b, target = shot.backend, call.target  # type: ignore[attr-defined]
        i, failed = target.index, ending is not AttemptEnd.FULFILLED
        sample = 2 * target.slo if failed else latency
        if b.ejected_until[i]:
            if shot.trial:  # type: ignore[attr-defined]
                b.ejected_until[i] = 0.0 if sample <= target.slo else now + PAPER_HOLD
                b.latency_ms[i] = sample
            return
        old = b.latency_ms[i]
        b.latency_ms[i] = sample if old is None and not failed else self._paper_mix(i, old, sample)
        if (b.latency_ms[i] or 0.0) > target.slo:
            b.ejected_until[i] = now + PAPER_HOLD

    def _paper_mix(self, i: int, old: float | None, sample: float) -> float:
        if old is None:
            known = [f for o in self._ready if (f := o.latency_ms[i]) is not None]
            old = sum(known) / len(known) if known else sample
        return old + PAPER_WEIGHT * (sample - old)

    def record_attempt(
        self,
        now: float,
        call: Call,
        shot: object,
        ending: AttemptEnd,
        latency: float,  # type: ignore[override]
        load: Load | None,
    ) -> None:
        super().record_attempt(now, call, shot, ending, latency, None)  # type: ignore[arg-type]


class Nearest(Baseline):
    """The one with the lowest smoothed latency, whatever else: the paper's proximity baseline as far as it tells."""

    def pick(self, now: float, call: Call, among: list[Backend]) -> Backend:
        i = call.target.index
        return min(
            among, key=lambda b: (b.latency_ms[i] if b.latency_ms[i] is not None else -inf, b.finish_tag)
        )

    def _sample(self, now: float, call: Call, shot: object, ending: AttemptEnd, latency: float) -> None:  # type: ignore[override]
        b, i = shot.backend, call.target.index  # type: ignore[attr-defined]
        if b.latency_ms[i] is None:  # as told once: what changes later is not seen until it is refreshed
            b.latency_ms[i] = latency


class Truth(Protocol):
    """What is so, handed in by virtual time."""

    def backend(self, index: int) -> Model | None:
        """By the number under which the agent knows it; None: nothing there, or cut off from the agent."""
        ...

    def work(self, product: int) -> float:
        """Mean ms of work."""
        ...


class TrueState(Baseline):
    """Sees what every backend holds, its speed and age, a message's time late: a ceiling, nothing that an agent can do.

    The one that would be done first, of those that are not pushed over by it; refused where that is past the SLO.
    It knows backends from its list as any agent does.
    """

    truth: Truth | None = None  # handed in before the first API call

    def _choose_backend(self, now: float, call: Call) -> Backend | None:
        assert self.truth is not None
        work = self.truth.work(self.product_terms.index(call.terms)) * call.work
        left = min(call.target.slo, call.until - call.arrived) - (now - call.arrived)
        best, first = None, left if not call.attempts else inf
        # Of as many as other agents use: connections are scarce, and backends turn away what comes over too many.
        for b in self._ready[: self._subset_size()]:
            if call.may_use(b) and (model := self.truth.backend(b.index)) is not None:
                takes = model.time_to_finish(now, work)
                if takes < first and model.cold_headroom(now) >= MARGIN * work:
                    best, first = b, takes
        return best


POLICIES: dict[str, Decide] = {
    "lupinreach": Balancer,
    "round-robin": RoundRobin,
    "least-request": LeastRequest,
    "two-choices": TwoChoices,
    "paper": Paper,
    "nearest": Nearest,
    "true-state": TrueState,
}
