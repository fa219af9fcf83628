"""The agent's readiness as clients see it: a state machine without I/O.

    state      /health/ready   an answer ends its connection   idle connections are closed
    unlisted   no              no                              no
    serving    yes             no                              no
    drained    no              yes                             DRAIN_SETTLE_MS after the drain began
    stopping   no              yes                             as `Agent.stop` does it
    succeeded  yes, or no      yes                             as `Agent.stop` does it
               where drained

`succeeded` means to stop while another process serves on the same socket. `stopping` and `succeeded` take
precedence over all other states and are final; `drained` takes precedence over the other two. Repeated calls
have no effect.
"""

from __future__ import annotations

from enum import Enum

DRAIN_SETTLE_MS = 500.0  # from the first negative health check until clients no longer open connections here


class State(Enum):
    """States of the agent; the texts are shown to operators."""

    UNLISTED = "unlisted"  # no backend list yet
    SERVING = "serving"
    DRAINED = "drained"
    STOPPING = "stopping"
    SUCCEEDED = "succeeded"


class Readiness:
    """Whether the agent can serve: it has a backend list, is not drained and does not stop."""

    def __init__(self) -> None:
        self.listed = False
        self.returning = False  # after a start, until the fleet's start order lets the agent serve
        self.accepting = False  # the listener of this process is open
        self.stopping = False
        self.succeeded = False  # another process takes over the clients; set before `stopping`
        self.drained_at: float | None = None  # ms; start of the current drain

    @property
    def state(self) -> State:
        """The current state."""
        if self.stopping:
            return State.SUCCEEDED if self.succeeded else State.STOPPING
        if self.drained_at is not None:
            return State.DRAINED
        return State.SERVING if self.listed and not self.returning else State.UNLISTED

    @property
    def ready(self) -> bool:
        """The answer of `/health/ready`."""
        # Clients see both processes as one agent: the answer of the old one on a connection that it still has
        # must not send them away.
        return self.state is State.SERVING or (self.state is State.SUCCEEDED and self.drained_at is None)

    @property
    def serves_new_clients(self) -> bool:
        """If this process serves new clients, drained or not: `/_ready` on the operators' port."""
        return self.accepting and self.listed and not self.stopping

    @property
    def closes_after_answer(self) -> bool:
        """If answers close their connection."""
        return self.stopping or self.drained_at is not None

    def closes_idle(self, now: float) -> bool:
        """If idle connections are to be closed."""
        # Before that time clients may still be sent here and would open another connection.
        return self.state is State.DRAINED and now >= (self.drained_at or 0.0) + DRAIN_SETTLE_MS

    def drain(self, now: float) -> None:
        """Start the drain, unless it has started."""
        if self.drained_at is None:
            self.drained_at = now

    def resume(self) -> None:
        """End the drain."""
        self.drained_at = None
