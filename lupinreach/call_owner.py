"""The interface through which the handle of a call acts on the balancer that made it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

from lupinreach.known import Attempt
from lupinreach.model import AttemptEnd, Load

CallT = TypeVar("CallT", contravariant=True)
TermsT = TypeVar("TermsT", covariant=True)


class CallOwner(Protocol[CallT, TermsT]):
    """The settings and decisions that a call uses; times are in ms."""

    @property
    def product_terms(self) -> Sequence[TermsT]:
        """What the decisions need to know of each product, by its number."""
        ...

    @property
    def max_attempts(self) -> int:
        """Attempts that a call may have."""
        ...

    @property
    def may_hedge(self) -> bool:
        """Whether a call may have an attempt beside a late one."""
        ...

    @property
    def step(self) -> float:
        """Resolution of the clock."""
        ...

    def record_attempt(
        self,
        now: float,
        call: CallT,
        attempt: Attempt,
        end: AttemptEnd,
        latency: float,
        load: Load | None,
    ) -> None:
        """Learn from the end of an attempt."""

    def record_late_failure(self, now: float, call: CallT, attempt: Attempt) -> None:
        """Learn from an attempt that failed after its answer had begun."""

    def cancel_pending(self, call: CallT, but: Attempt | None = None) -> None:
        """Cancel the pending attempts of a call, except for one."""

    def drain_queue(self, now: float) -> None:
        """Dispatch queued calls while there is room for them."""

    def dispatch(self, now: float, call: CallT) -> None:
        """Send the next attempt of a call, queue the call or answer it."""

    def spend_budget(self) -> bool:
        """Whether one more attempt that may repeat work is within the retry budget."""
        ...

    def give_up(self, now: float, call: CallT) -> None:
        """Answer a call that gets no further attempt."""

    def finish(self, call: CallT, now: float) -> None:
        """Note that a call needs no further answer."""

    def forget(self, call: CallT) -> None:
        """Drop a call for which no further event can come."""
