"""What the agent says of itself to clients: one state machine, without I/O.

    state      /health/ready   an answer ends its connection   idle connections are closed
    unlisted   no              no                              no
    serving    yes             no                              no
    drained    no              yes                             SETTLES after the drain began
    stopping   no              yes                             in the steps of `Agent.stop`
    succeeded  yes, or no      yes                             in the steps of `Agent.stop`
               where drained

`stopping` and `succeeded`, which is to stop while another process serves on the same socket, go before all
others and are never left; `drained` goes before the other two. Calls repeated change nothing.
"""

from __future__ import annotations

from enum import Enum

DRAIN_SETTLE_MS = 500.0  # ms from the first no until nobody is sent here any more


class State(Enum):
    UNLISTED = "unlisted"  # no list of backends yet
    SERVING = "serving"
    DRAINED = "drained"
    STOPPING = "stopping"
    SUCCEEDED = "succeeded"


class Readiness:
    """If the agent can serve: it has a list of backends, is not drained, and is to stay."""

    def __init__(self) -> None:
        self.listed = False
        self.returning = False  # after a start, until the fleet's order of return lets it serve
        self.accepting = False  # clients can connect to this process
        self.stopping = False
        self.succeeded = False  # set before `stopping`: another process takes the clients
        self.drained_at: float | None = None  # ms, when the drain that holds began

    @property
    def state(self) -> State:
        if self.stopping:
            return State.SUCCEEDED if self.succeeded else State.STOPPING
        if self.drained_at is not None:
            return State.DRAINED
        return State.SERVING if self.listed and not self.returning else State.UNLISTED

    @property
    def ready(self) -> bool:
        """What `/health/ready` says."""
        # Clients see one agent: what the old process says on a connection it still has must not turn them away.
        return self.state is State.SERVING or (self.state is State.SUCCEEDED and self.drained_at is None)

    @property
    def serves_new_clients(self) -> bool:
        """If this process serves whatever comes, sent here or not: what the door's `/_ready` says."""
        return self.accepting and self.listed and not self.stopping

    @property
    def closes_after_answer(self) -> bool:
        """If an answer ends its connection."""
        return self.stopping or self.drained_at is not None

    def closes_idle(self, now: float) -> bool:
        """If connections between two requests are to be closed."""
        # Guards against clients that would open another one here, as long as they are still sent here.
        return self.state is State.DRAINED and now >= (self.drained_at or 0.0) + DRAIN_SETTLE_MS

    def drain(self, now: float) -> None:
        if self.drained_at is None:
            self.drained_at = now

    def resume(self) -> None:
        self.drained_at = None
