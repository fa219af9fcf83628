"""SLOs, products and API calls as the decisions use them, and the rules asked before every shot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lupinreach.known import Attempt, Backend
from lupinreach.model import (
    NEVER_RAN,
    AttemptEnd,
    DedupScope,
    Idempotency,
    ListState,
    Load,
    NewCall,
    Product,
)

if TYPE_CHECKING:
    from lupinreach.balance import Balancer

SLOW_SLOS = 0.4  # x SLO: a shot that takes longer is a slow one, and so is one that takes
SLOW_FACTOR = 3.0  # x what the SLO's API calls took when they last took least, but never one that takes under
MIN_SLOW_SLOS = 0.2  # x SLO


class Target:
    """One latency SLO and what its API calls usually take."""

    __slots__ = ("index", "slo", "has_slo", "typical", "recent", "low", "idle")

    def __init__(self, index: int, slo: float) -> None:
        self.index = index
        self.slo = slo
        self.has_slo = slo > 0
        self.typical = 0.0  # ms from send to answer; 0 = none seen
        self.recent = self.low = 0.0  # smoothed latency, and its lowest of late
        self.idle = 0.0  # smoothed latency at backends that the list says have room

    def is_slow(self, latency: float) -> bool:
        """If a shot took so long that backends must be holding too many."""
        # Guards against quick API calls, of which one that met a late loop would pass for a full backend.
        return latency > min(SLOW_SLOS * self.slo, max(SLOW_FACTOR * self.low, MIN_SLOW_SLOS * self.slo))


class ProductTerms:
    """A product as the decisions use it."""

    __slots__ = ("kind", "group", "memory", "target", "accepts_late", "value")

    def __init__(self, product: Product, target: Target) -> None:
        self.kind = product.kind
        self.group = product.group
        self.memory = product.memory
        self.target = target
        self.accepts_late = product.late_value > 0
        self.value = max(product.billed_value, 1e-9)


class Call:
    """The handle of one API call."""

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

    def __init__(self, to: Balancer, now: float, incoming: NewCall, work: float, limit_share: float) -> None:
        self._to = to
        self.token = incoming.token
        self.terms = to.product_terms[incoming.product]
        self.target = self.terms.target
        self.until = incoming.until
        self.arrived = now
        self.key = incoming.key
        self.work = work
        self.limit_share = limit_share
        self.attempts: list[Attempt] = []
        self.pending = 0
        self.done = False
        self.streaming = False
        self.queued = False
        self.pinned_to = incoming.pinned_to

    @property
    def closed(self) -> bool:
        """True once nothing more can come for this handle."""
        return self.done and not self.pending

    # The rules, asked before every shot and every rate-limit reply.

    def may_send(self, now: float) -> bool:
        """If any further shot is allowed at all; `may_use` says where to."""
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
        """If a shot that `may_send` allows may go to this backend."""
        if b.state is not ListState.READY or (self.pinned_to is not None and b.index != self.pinned_to):
            return False
        if self.terms.kind is Idempotency.DEDUPLICATED and self.terms.group is not DedupScope.ALL:
            zone = self.terms.group is DedupScope.ZONE
            for s in self.attempts:
                if s.may_have_run and (s.backend.zone != b.zone if zone else s.backend.cell != b.cell):
                    return False
        return True

    def may_rate_limit(self) -> bool:
        """If telling the client that trying again is harmless would be true."""
        if self.terms.kind is Idempotency.IDEMPOTENT:
            return True
        if self.terms.kind is Idempotency.DEDUPLICATED and self.terms.group is DedupScope.ALL:
            return True
        return not any(s.may_have_run for s in self.attempts)

    # What happens to the API call.

    def on_head(
        self, now: float, number: int, latency: float | None = None, load: Load | None = None
    ) -> None:
        """The answer has begun to stream: this shot is now the client's.

        With a latency, that is the shot's, to its first bytes: what comes after is transfer and says nothing
        of how full the backend is. Without one, all of it is the shot's.
        """
        attempt, to = self.attempts[number], self._to
        self.streaming = True
        if latency is not None and attempt.pending and not attempt.answer_begun:
            attempt.may_have_run = attempt.answer_begun = True
            to.record_attempt(now, self, attempt, AttemptEnd.FULFILLED, latency, load)
            to.cancel_pending(self, attempt)
        attempt.overdue = True
        to.drain_queue(now)

    def on_client_left(self, now: float) -> None:
        """The client has gone; nothing more is owed."""
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
        """A shot has ended."""
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
            # What broke under way may be any backend's; it ejects like a break, and narrows no bound.
            to.record_late_failure(now, self, attempt)
        if complete:
            to.finish(self, now)
        elif not self.done and not self.pending and not self.streaming:
            if attempt.may_have_run and not attempt.cancelled and not to.spend_budget():
                to.give_up(now, self)
            else:
                to.dispatch(now, self)
        to.drain_queue(now)
        if self.closed:
            to.forget(self)
