"""SLOs, products and calls as the decisions use them, and the rules checked before every attempt."""

from __future__ import annotations

from lupinreach.call_owner import CallOwner
from lupinreach.known import Attempt, Backend
from lupinreach.model import NEVER_RAN, AttemptEnd, DedupScope, Idempotency, ListState, Load, NewCall, Product

SLOW_SLOS = 0.4  # x SLO: an attempt that takes longer is slow
SLOW_FACTOR = 3.0  # x the lowest latency of late: an attempt that takes longer is slow as well,
MIN_SLOW_SLOS = 0.2  # x SLO: unless it takes less than this


class Target:
    """One latency SLO and the latencies of its calls, in ms."""

    __slots__ = ("index", "slo", "has_slo", "typical", "recent", "low", "idle")

    def __init__(self, index: int, slo: float) -> None:
        self.index = index
        self.slo = slo
        self.has_slo = slo > 0
        self.typical = 0.0  # smoothed over about 50 answers; 0 = none seen
        self.recent = self.low = 0.0  # smoothed over about 20 answers, and the lowest of that of late
        self.idle = 0.0  # smoothed, of backends that have capacity left by the list

    def is_slow(self, latency: float) -> bool:
        """If an attempt took so long that backends must be overloaded."""
        # Guards against short calls, of which one delayed by a late event loop would count as overload.
        return latency > min(SLOW_SLOS * self.slo, max(SLOW_FACTOR * self.low, MIN_SLOW_SLOS * self.slo))


class ProductTerms:
    """What the decisions need to know of a product."""

    __slots__ = ("kind", "group", "memory", "target", "accepts_late", "value")

    def __init__(self, product: Product, target: Target) -> None:
        self.kind = product.kind
        self.group = product.group
        self.memory = product.memory
        self.target = target
        self.accepts_late = product.late_value > 0
        self.value = max(product.billed_value, 1e-9)


class Call:
    """The handle of one API call, by which the front reports its events."""

    __slots__ = (
        "_to",
        "token",
        "terms",
        "target",
        "until",
        "arrived",
        "key",
        "work",
        "limit_share",
        "attempts",
        "pending",
        "done",
        "streaming",
        "queued",
        "pinned_to",
    )

    def __init__(
        self, to: CallOwner[Call, ProductTerms], now: float, incoming: NewCall, work: float, share: float
    ) -> None:
        self._to = to
        self.token = incoming.token
        self.terms = to.product_terms[incoming.product]
        self.target = self.terms.target
        self.until = incoming.until
        self.arrived = now
        self.key = incoming.key
        self.work = work
        self.limit_share = share  # the part of the limit in flight that calls of this value may fill
        self.attempts: list[Attempt] = []
        self.pending = 0
        self.done = False
        self.streaming = False
        self.queued = False
        self.pinned_to = incoming.pinned_to

    @property
    def closed(self) -> bool:
        """True once no further event can come for this handle."""
        return self.done and not self.pending

    # The rules, checked before every attempt and every rate-limit reply.

    def may_send(self, now: float) -> bool:
        """If a further attempt is allowed at all; `may_use` says at which backends."""
        to = self._to
        if self.done or self.streaming or now >= self.until or len(self.attempts) >= to.max_attempts:
            return False
        if (self.pending and not to.may_hedge) or (self.pinned_to is not None and self.attempts):
            return False
        if self.terms.kind is Idempotency.NON_IDEMPOTENT:
            return not any(s.may_have_run for s in self.attempts)
        if self.terms.kind is Idempotency.DEDUPLICATED:
            first = min((s.sent_at for s in self.attempts if s.may_have_run), default=None)
            return first is None or now + to.step < first + self.terms.memory
        return True

    def may_use(self, b: Backend) -> bool:
        """If an attempt that `may_send` allows may go to this backend."""
        if b.state is not ListState.READY or (self.pinned_to is not None and b.index != self.pinned_to):
            return False
        if self.terms.kind is Idempotency.DEDUPLICATED and self.terms.group is not DedupScope.ALL:
            zone = self.terms.group is DedupScope.ZONE
            for s in self.attempts:
                if s.may_have_run and (s.backend.zone != b.zone if zone else s.backend.cell != b.cell):
                    return False
        return True

    def may_rate_limit(self) -> bool:
        """If the client may be told that a retry is harmless."""
        if self.terms.kind is Idempotency.IDEMPOTENT:
            return True
        if self.terms.kind is Idempotency.DEDUPLICATED and self.terms.group is DedupScope.ALL:
            return True
        return not any(s.may_have_run for s in self.attempts)

    # Events of the call.

    def on_head(
        self, now: float, number: int, latency: float | None = None, load: Load | None = None
    ) -> None:
        """The answer has begun to stream to the client, who gets it from this attempt."""
        # A latency given is that to the first bytes, and the attempt's: the transfer after them tells nothing
        # of the backend's load. Without one, the attempt's latency is that of the whole answer.
        attempt, to = self.attempts[number], self._to
        self.streaming = True
        if latency is not None and attempt.pending and not attempt.answer_begun:
            attempt.may_have_run = attempt.answer_begun = True
            to.record_attempt(now, self, attempt, AttemptEnd.FULFILLED, latency, load)
            to.cancel_pending(self, attempt)
        attempt.overdue = True
        to.drain_queue(now)

    def on_client_left(self, now: float) -> None:
        """The client has disconnected; it needs no answer."""
        self._to.finish(self, now)

    def on_attempt_ended(
        self,
        now: float,
        number: int,
        end: AttemptEnd,
        latency: float,
        complete: bool,
        load: Load | None = None,
    ) -> None:
        """An attempt has ended."""
        attempt = self.attempts[number]
        if not attempt.pending:
            return
        attempt.pending = False
        attempt.may_have_run = end not in NEVER_RAN
        self.pending -= 1
        to = self._to
        if not attempt.answer_begun:
            to.record_attempt(now, self, attempt, end, latency, load)
        elif end is not AttemptEnd.FULFILLED and end is not AttemptEnd.CANCELLED:
            # A transfer may break at any backend: that counts towards ejection, not towards the limit.
            to.record_late_failure(now, self, attempt)
        if complete:
            to.finish(self, now)
        elif not self.done and not self.pending and not self.streaming:
            if attempt.may_have_run and not attempt.aborted and not to.spend_budget():
                to.give_up(now, self)
            else:
                to.dispatch(now, self)
        to.drain_queue(now)
        if self.closed:
            to.forget(self)
