"""What an agent keeps of a backend and of an attempt: plain types."""

from __future__ import annotations

from lupinreach.model import ListState


class Backend:
    """What this agent knows of a backend; dropped once it is not listed and has nothing in flight."""

    __slots__ = (
        "index",
        "name",
        "zone",
        "cell",
        "weight",
        "size",
        "load",
        "state",
        "boot_time",
        "latency_ms",
        "ejected_until",
        "trial",
        "silent_since",
        "inflight",
        "backoff_until",
        "fast_failures",
        "finish_tag",
        "credit",
        "restored_at",
        "sent_work",
        "failure_rate",
        "started_at",
        "down",
        "presumed_down",
        "has_responded",
        "observed_at",
        "cost_factor",
        "up_since",
        "refused_at",
    )

    def __init__(self, index: int, targets: int) -> None:
        self.index = index
        self.name = self.zone = self.cell = 0
        self.weight = 0.0  # as the directory lists it; the highest so far, where it falls with load
        self.size = 1.0  # the weight as a share of the mean
        self.load = 0.0  # calls of all agents held per core, where the weights fall with them
        self.state = ListState.REMOVED
        self.boot_time = 0.0  # by the directory
        self.started_at = 0.0  # start of its process, as far as known; 0 = long ago
        self.down = False  # it refused a connection, or is presumed down, and has not answered since
        self.presumed_down = False  # because other backends are down, not for anything that it did
        self.observed_at = 0.0  # time of its last sample
        self.cost_factor = 1.0  # on the cost of a turn, by other agents' reports, where they are shared
        self.up_since = 0.0  # when its present process first answered an attempt; 0 = not yet
        self.refused_at = 0.0  # when it last refused a connection
        self.has_responded = False  # anything has come from it since this agent started
        self.latency_ms: list[float | None] = [None] * targets  # smoothed, per SLO; None = unsampled
        # Per SLO: 0 = not ejected, else the time at which a trial is due.
        self.ejected_until: list[float] = [0.0] * targets
        self.trial: Attempt | None = None  # the pending trial
        self.silent_since = 0.0  # with attempts pending: the last answer, or the first attempt after it
        self.inflight = 0
        self.backoff_until = 0.0  # no turn until then, after fast failures
        self.fast_failures = 0  # since the last answer
        self.finish_tag = 0.0  # virtual time at which its last turn ends
        self.credit = 0.0  # work that it may be sent while cold
        self.restored_at = 0.0  # end of its last ejection
        self.sent_work = 0.0  # since credit was last earned, while warm
        self.failure_rate = 0.0  # smoothed share of attempts that failed by a fault


class Attempt:
    """An attempt of a call at a backend; kept as long as the call."""

    __slots__ = (
        "number",
        "backend",
        "sent_at",
        "load",
        "pending",
        "may_have_run",
        "overdue",
        "trial",
        "aborted",
        "answer_begun",
        "freed",
    )

    def __init__(self, number: int, backend: Backend, sent: float) -> None:
        self.number = number
        self.backend = backend
        self.sent_at = sent
        self.load = backend.load  # when it was sent
        self.pending = True
        self.may_have_run = True  # until its end proves that it did not run
        self.overdue = False  # already sampled as slow, or its answer has begun
        self.trial = False
        self.aborted = False  # cancelled by this agent
        self.freed = False  # not counted against the limit any more: its backend has sent nothing since
        self.answer_begun = False  # its answer is passed on to the client, and was recorded when it began
