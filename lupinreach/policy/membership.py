"""What the directory lists, what a process hands on to the next, and loads that lists tell."""

from __future__ import annotations

from math import ceil, inf

from lupinreach.known import Backend
from lupinreach.model import BackendSnapshot, Listing, ListState, PolicySnapshot, UpdateKind
from lupinreach.policy.calls import SLOW_SLOS
from lupinreach.policy.cold import INITIAL_LIMIT, MAX_SIZE
from lupinreach.policy.learning import LATENCY_WEIGHT, MIN_POOL_SHARE

USERS_PER_BACKEND = 8.0  # so many that each backend is used by as many agents, and 2
MIN_SUBSET = 3  # backends that an agent uses where the list tells loads and agents outnumber backends
TARGET_LOAD = (
    0.65  # x SLO over what a shot takes where there is room: API calls held a core that come back in time
)
MIN_ADMITTED, ADMIT_CUT, ADMIT_GROWTH = (
    0.01,
    0.4,
    1.5,
)  # the least share admitted, and how far one list moves it
RELIST_SPREAD = 2.0  # x what the call that failed took, where that is more


class Membership:
    """The part of `Balancer` that keeps the backends."""

    # What another process may go on with.

    def snapshot(self) -> PolicySnapshot:
        """What stays true for whoever asks next. Loads, bounds, credit, states and shots out don't."""
        return PolicySnapshot(
            self._slos,
            self._by_load,
            tuple((t.typical, t.recent, t.low, t.idle) for t in self._targets),
            tuple(
                BackendSnapshot(b.name, b.boot_time, b.weight, tuple(b.latency_ms), b.failure_rate)
                for b in self._ready
            ),
        )

    def restore(self, learnt: PolicySnapshot) -> bool:
        """Begin with that, before the first list; false, with nothing taken, if it means something else."""
        if learnt.slos != self._slos or learnt.live_weights is not self._by_load:
            return False
        for t, (typical, recent, ease, base) in zip(self._targets, learnt.slo_latencies, strict=True):
            t.typical, t.recent, t.low, t.idle = typical, recent or t.recent, ease or t.low, base or t.idle
        self._restored = {met.name: met for met in learnt.backends}
        return True

    def _restore_backend(self, now: float, b: Backend, e: Listing) -> None:
        met = self._restored.pop(e.name, None)
        if met is None or met.boot_time != e.boot_time or e.state is not ListState.READY:
            return
        b.latency_ms, b.failure_rate = list(met.latencies_ms), met.failure_rate
        b.weight = met.weight if self._by_load else 0.0
        # What was too slow gets a trial, due at once, and no turn before it.
        b.ejected_until = [
            now if (f or 0.0) > t.slo else 0.0 for f, t in zip(b.latency_ms, self._targets, strict=True)
        ]

    def update_backends(self, now: float, news: UpdateKind, entries: list[Listing]) -> None:
        """The directory has spoken."""
        if news is UpdateKind.FAILED:
            # Guards against a directory that turns away a crowd, works through it all the same, and meets it
            # again in step: each agent comes back at its own time, within a span in which the directory gets
            # through what was ahead of this call and as much again.
            # Of a crowd that it can't get through, each comes as late as an agent may go without asking.
            took = max(0.0, now - self._requested_at)
            span = max(
                self._relist_min, min(max(self._relist_wait, RELIST_SPREAD * took), self._relist_max - took)
            )
            self._port.wake(now + span * (1 + self._random()) / 2, "ask")
            self._relist_wait = 2 * span
            return
        if news is not UpdateKind.CACHED:
            self._relist_wait = self._relist_min
        for e in entries:
            b = self._backends.get(e.backend)
            if b is None:
                b = self._backends[e.backend] = Backend(e.backend, len(self._targets))
                self._restore_backend(now, b, e)
                b.finish_tag = self._vtime
                if self._by_load:
                    b.finish_tag -= self._random() * min(t.slo for t in self._targets) * SLOW_SLOS
                b.credit = self._initial_credit() if e.boot_time else 0.0
                b.started_at = e.boot_time
            elif e.boot_time > b.boot_time:
                if e.boot_time > b.started_at:
                    self._reset_backend(b)
                b.started_at, b.down = e.boot_time, False
            b.name, b.zone, b.cell = e.name, e.zone, e.cell
            weight = e.size or 1.0
            if self._by_load and not 0 < weight < (self._mean_weight * MAX_SIZE or inf):
                weight = b.weight or 1.0  # guards against one wrong weight that would be the highest for good
            # Guards against a load that is taken for a size: homes and credit would wander with it.
            b.weight = max(b.weight, weight) if self._by_load else weight
            b.load = b.weight / weight - 1
            b.state, b.boot_time = e.state, max(b.boot_time, e.boot_time)
        if news is not UpdateKind.CHANGES:
            named = {e.backend for e in entries}
            for b in self._backends.values():
                if b.index not in named:
                    b.state = ListState.REMOVED
        for b in [b for b in self._backends.values() if b.state is ListState.REMOVED and not b.inflight]:
            del self._backends[b.index]
        if news is not UpdateKind.CACHED:
            self._restored.clear()
            if self._no_list_yet:
                self._no_list_yet = False
                for b in self._backends.values():
                    if b.presumed_down:  # what it does not name has not changed
                        b.down, b.presumed_down, b.started_at = False, False, b.boot_time
        known = {b.index for b in self._ready if b.state is ListState.READY}
        self._ready = [b for b in self._ready if b.state is ListState.READY]
        for b in self._backends.values():
            if b.state is ListState.READY and b.index not in known:
                self._ready.insert(int(self._random() * (len(self._ready) + 1)), b)
        self._mean_weight = mean = (
            sum(b.weight for b in self._ready) / len(self._ready) if self._ready else 1.0
        )
        for b in self._ready:
            # Guards against a list of changes, whose few raw sizes would mix with shares of the mean.
            b.size = b.weight / mean
        if self._by_load and self._ready:
            self._update_load(now, news)
        for t in self._targets:
            held = sorted(
                (b for b in self._ready if b.ejected_until[t.index]),
                key=lambda b: b.latency_ms[t.index] or 0.0,
            )
            for b in held[: max(0, len(held) - int((1 - MIN_POOL_SHARE) * len(self._ready)))]:
                # Guards against a list that shrinks to the ejected: they'd get shots but no way back.
                b.ejected_until[t.index] = 0.0
        # Guards against agents that stay narrow on a fleet that grows: two shots for each ready backend,
        # shared among the agents, are not what chokes it.
        # Guards against a backend whose load is up to one or two agents.
        self._min_subset = max(
            MIN_SUBSET if self._by_load else 2, ceil(USERS_PER_BACKEND * len(self._ready) / self._agents)
        )
        self._min_limit = INITIAL_LIMIT * max(1, len(self._ready)) / self._agents
        self._limit = max(self._min_limit, self._limit)
        if self._no_list_yet:
            self._presume_down(now, self._ready, True)
        self.drain_queue(now)

    def _update_load(self, now: float, news: UpdateKind) -> None:
        """What the list says of the fleet: how much it holds, how old that is, and the share to admit.

        Guards against hundreds of agents with a shot or two a second, each of which sees the fleet fill up
        only when it is full, while the list, late as it is, tells all of them.
        """
        loads = sorted(b.load for b in self._ready)
        middle = loads[
            len(loads) // 4 : -(len(loads) // 4) or None
        ]  # a few that hang say nothing of the fleet
        before, self._mean_load = self._mean_load, sum(middle) / len(middle)
        if news is UpdateKind.CHANGES and self._listed_at:
            gap = now - self._listed_at
            self._list_gap += LATENCY_WEIGHT * (gap - self._list_gap) if self._list_gap else gap
        self._listed_at = now
        # What a backend would hold by the time the next list comes if all were sent alike (Little): one that
        # holds less has room for the difference. Guards against all agents that rush to what was idle then.
        self._full_load = self._mean_load * (
            1 + self._list_gap / (self._slowest_typical() or max(self._list_gap, 1.0))
        )
        self._limit_by_list = self._agents > len(self._ready)
        if self._list_gap:
            # By the trend, half of the excess at a time: guards against a share that swings with late lists.
            excess = (
                2 * self._mean_load - before - min(TARGET_LOAD * t.slo / t.idle for t in self._targets)
            ) / 2
            answered = self._list_gap / max(
                t.idle for t in self._targets
            )  # by a core, alone, until the next list
            step = min(ADMIT_GROWTH, max(ADMIT_CUT, 1 - excess / answered))
            self._admitted = min(1.0, max(MIN_ADMITTED, self._admitted * step))

    def _reset_backend(self, b: Backend, left: float = inf) -> None:
        """What was known of the old process says nothing of the new one; credit no more than what is left of it.

        Guards against shots that found out that it stands, and that the first answer would make unspent.
        """
        b.latency_ms = [None] * len(self._targets)
        b.ejected_until = [0.0] * len(self._targets)
        b.backoff_until, b.fast_failures = 0.0, 0
        b.credit, b.up_since = min(left, self._initial_credit()), 0.0

    def _mark_down(self, now: float, b: Backend) -> None:
        """No process listens there: what comes from it next is a fresh one's, whatever the list says."""
        b.down, b.presumed_down, b.up_since, b.refused_at = True, False, 0.0, now
        self._presume_down(now, [o for o in self._ready if o.has_responded or o.down], False)

    def _presume_down(self, now: float, known: list[Backend], by_list: bool) -> None:
        """Where most of what is known is down or cold, take what was never heard of for no better.

        Guards against a list from before a power loss, by which the rest of the fleet is warm. What an old
        list says counts until the registry speaks; refusals count beside its word: it learns late of a death.
        """
        if sum(self._is_cold(now, b) for b in known) >= max(INITIAL_LIMIT, MIN_POOL_SHARE * len(known)):
            for b in self._ready:
                if not b.has_responded and not self._is_cold(now, b):
                    b.down, b.presumed_down, b.refused_at = True, by_list, now

    def _initial_credit(self) -> float:
        # Guards against agents that hear of a cold backend together, earn alike, and all send in one instant.
        return self._random() - 0.5  # nothing in the mean
