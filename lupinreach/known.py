"""What an agent keeps of one backend and of one shot: plain types. Nothing here decides anything."""

from __future__ import annotations

from lupinreach.model import ListState


class Backend:
    """What this agent knows of one backend. Emptied when the directory drops it and nothing is out."""

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
        self.weight = 0.0  # as the directory gives it, and where that moves with load, at its highest
        self.size = 1.0  # that as a share of the mean
        self.load = 0.0  # API calls of all agents that it holds a core, where the weights fall with them
        self.state = ListState.REMOVED
        self.boot_time = 0.0  # as the directory says
        self.started_at = 0.0  # when it started, as far as that is known by now; 0 = long ago
        self.down = False  # it refused, or must be taken to have: nothing has come from it since
        self.presumed_down = False  # for what was seen of others, not of it
        self.observed_at = 0.0  # when its last sample came
        self.cost_factor = 1.0  # what a turn costs more by others' word, where agents share what they met
        self.up_since = 0.0  # when the process that is there now first answered a shot; 0 = not yet
        self.refused_at = 0.0  # when it last refused a connection
        self.has_responded = False  # anything has come from it, in this agent's life
        self.latency_ms: list[float | None] = [None] * targets  # smoothed latency per SLO, None = unsampled
        self.ejected_until: list[float] = [
            0.0
        ] * targets  # per SLO: 0 = in the pool, else when a trial is due
        self.trial: Attempt | None = None
        self.silent_since = 0.0  # with shots out: the last answer, or the first send after it
        self.inflight = 0
        self.backoff_until = 0.0  # after a quick failure no turn until then
        self.fast_failures = 0  # quick failures since the last answer
        self.finish_tag = 0.0
        self.credit = 0.0
        self.restored_at = 0.0
        self.sent_work = 0.0
        self.failure_rate = 0.0  # smoothed share of shots that were spoilt


class Attempt:
    """One shot of an API call; lives as long as its API call."""

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
        self.load = backend.load  # at sending
        self.pending = True
        self.may_have_run = True  # may have run, until its ending proves that it didn't
        self.overdue = False
        self.trial = False
        self.aborted = False
        self.freed = False  # its backend has sent nothing since: it takes up no room of the bound any more
        self.answer_begun = False  # its answer is on its way to the client, and was booked when it began
