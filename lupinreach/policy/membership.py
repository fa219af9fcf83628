"""Updates of the backend list, snapshots for the next process, and loads told by the list."""

from __future__ import annotations

from math import ceil, inf

from lupinreach.known import Backend
from lupinreach.model import BackendSnapshot, Listing, ListState, PolicySnapshot, UpdateKind
from lupinreach.policy.calls import SLOW_SLOS
from lupinreach.policy.cold import INITIAL_LIMIT, MAX_SIZE
from lupinreach.policy.learning import LATENCY_WEIGHT, MIN_POOL

USERS = 8.0  # agents by which each backend is used
MIN_USED = 3  # backends that an agent uses at least where the list tells loads; 2 elsewhere
TARGET_LOAD = 0.65  # x SLO over latency of an idle backend: calls held a core that are answered in time
MIN_ADMITTED, ADMIT_CUT, ADMIT_GROWTH = 0.01, 0.4, 1.5  # minimum of the share, its change by one update
SPREAD = 2.0  # x duration of the failed request: delay of the next one, where that is longer


class Membership:
    """The part of `Balancer` that keeps the list of backends."""

    def snapshot(self) -> PolicySnapshot:
        """What holds for the next process too: no loads, limits, credit, states or attempts in flight."""
        return PolicySnapshot(
            self._slos,
            self._by_load,
            tuple((t.typical, t.recent, t.low, t.idle) for t in self._targets),
            tuple(
                BackendSnapshot(b.name, b.boot_time, b.weight, tuple(b.latency_ms), b.failure_rate)
                for b in self._ready
            ),
        )

    def restore(self, earlier: PolicySnapshot) -> bool:
        """Start from a snapshot, before the first update; False, and no change, if it does not apply."""
        if earlier.slos != self._slos or earlier.live_weights is not self._by_load:
            return False
        for t, (typical, recent, low, idle) in zip(self._targets, earlier.slo_latencies, strict=True):
            t.typical, t.recent, t.low, t.idle = typical, recent or t.recent, low or t.low, idle or t.idle
        self._restored = {kept.name: kept for kept in earlier.backends}
        return True

    def _restore_backend(self, now: float, b: Backend, e: Listing) -> None:
        kept = self._restored.pop(e.name, None)
        if kept is None or kept.boot_time != e.boot_time or e.state is not ListState.READY:
            return
        b.latency_ms, b.failure_rate = list(kept.latencies_ms), kept.failure_rate
        b.weight = kept.weight if self._by_load else 0.0
        # One that was too slow starts ejected, its trial due at once.
        b.ejected_until = [
            now if (f or 0.0) > t.slo else 0.0 for f, t in zip(b.latency_ms, self._targets, strict=True)
        ]

    def update_backends(self, now: float, kind: UpdateKind, entries: list[Listing]) -> None:
        """Apply an update of the backend list, or schedule a new request if the last one failed."""
        if kind is UpdateKind.FAILED:
            # Guards against a directory that rejects many agents, works on their requests all the same, and
            # gets them again in step: each retries at a random time within twice what its request took. If
            # the directory can't serve them all, the delay grows to the longest allowed without a list.
            took = max(0.0, now - self._requested_at)
            span = max(self._relist_min, min(max(self._relist_wait, SPREAD * took), self._relist_max - took))
            self._port.wake(now + span * (1 + self._random()) / 2, "ask")
            self._relist_wait = 2 * span
            return
        if kind is not UpdateKind.CACHED:
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
            if self._by_load and not 0 < weight < (self._mean * MAX_SIZE or inf):
                weight = b.weight or 1.0  # one wrong weight would be the highest for good
            # Guards against a load taken for a size: homes and credit would move with it.
            b.weight = max(b.weight, weight) if self._by_load else weight
            b.load = b.weight / weight - 1
            b.state, b.boot_time = e.state, max(b.boot_time, e.boot_time)
        if kind is not UpdateKind.CHANGES:
            named = {e.backend for e in entries}
            for b in self._backends.values():
                if b.index not in named:
                    b.state = ListState.REMOVED
        for b in [b for b in self._backends.values() if b.state is ListState.REMOVED and not b.inflight]:
            del self._backends[b.index]
        if kind is not UpdateKind.CACHED:
            self._restored.clear()
            if self._no_list_yet:
                self._no_list_yet = False
                for b in self._backends.values():
                    if b.presumed_down:  # one that it did not list has not changed
                        b.down, b.presumed_down, b.started_at = False, False, b.boot_time
        known = {b.index for b in self._ready if b.state is ListState.READY}
        self._ready = [b for b in self._ready if b.state is ListState.READY]
        for b in self._backends.values():
            if b.state is ListState.READY and b.index not in known:
                self._ready.insert(int(self._random() * (len(self._ready) + 1)), b)
        self._mean = mean = sum(b.weight for b in self._ready) / len(self._ready) if self._ready else 1.0
        for b in self._ready:
            # All of them: an update of changes has raw weights, which must not mix with shares of the mean.
            b.size = b.weight / mean
        if self._by_load and self._ready:
            self._update_load(now, kind)
        for t in self._targets:
            ejected = sorted(
                (b for b in self._ready if b.ejected_until[t.index]),
                key=lambda b: b.latency_ms[t.index] or 0.0,
            )
            for b in ejected[: max(0, len(ejected) - int((1 - MIN_POOL) * len(self._ready)))]:
                # Guards against a list that shrinks to ejected ones: they would never be restored.
                b.ejected_until[t.index] = 0.0
        # Guards against a backend whose load depends on one or two agents; and against limits that stay low
        # while the fleet grows: two attempts per ready backend, split among the agents, do not overload it.
        self._min_used = max(MIN_USED if self._by_load else 2, ceil(USERS * len(self._ready) / self._agents))
        self._min_limit = INITIAL_LIMIT * max(1, len(self._ready)) / self._agents
        self._limit = max(self._min_limit, self._limit)
        if self._no_list_yet:
            self._presume_down(now, self._ready, True)
        self.drain_queue(now)

    def _update_load(self, now: float, kind: UpdateKind) -> None:
        """Update the fleet's load, the interval of updates and the share to admit."""
        # Guards against hundreds of agents with an attempt or two a second, each of which sees an overload
        # only when it is there, while the list, late as it is, tells all of them.
        loads = sorted(b.load for b in self._ready)
        middle = loads[len(loads) // 4 : -(len(loads) // 4) or None]  # leaves out the few that hang
        before, self._load = self._load, sum(middle) / len(middle)
        if kind is UpdateKind.CHANGES and self._listed_at:
            gap = now - self._listed_at
            self._gap += LATENCY_WEIGHT * (gap - self._gap) if self._gap else gap
        self._listed_at = now
        # By Little's law, the load of each at the next update if all were sent alike: one with less has room
        # for the difference. Guards against all agents rushing to the one that was idle at the last update.
        self._full_load = self._load * (1 + self._gap / (self._typical_ms() or max(self._gap, 1.0)))
        self._by_list = self._agents > len(self._ready)
        if self._gap:
            # By the trend, half of the excess at a time, so that late lists do not make the share oscillate.
            excess = (2 * self._load - before - min(TARGET_LOAD * t.slo / t.idle for t in self._targets)) / 2
            answered = self._gap / max(t.idle for t in self._targets)  # calls a core until the next update
            step = min(ADMIT_GROWTH, max(ADMIT_CUT, 1 - excess / answered))
            self._admitted = min(1.0, max(MIN_ADMITTED, self._admitted * step))

    def _reset_backend(self, b: Backend, left: float = inf) -> None:
        """Forget what was known of the old process; the credit is initial, but no more than what is left."""
        # Guards against refunding credit spent on the attempts that found out that it is up.
        b.latency_ms = [None] * len(self._targets)
        b.ejected_until = [0.0] * len(self._targets)
        b.backoff_until, b.fast_failures = 0.0, 0
        b.credit, b.up_since = min(left, self._initial_credit()), 0.0

    def _mark_down(self, now: float, b: Backend) -> None:
        """No process listens there: the next answer is from a new process, whatever the list says."""
        b.down, b.presumed_down, b.up_since, b.refused_at = True, False, 0.0, now
        self._presume_down(now, [o for o in self._ready if o.has_responded or o.down], False)

    def _presume_down(self, now: float, known: list[Backend], by_list: bool) -> None:
        """Where most known backends are down or cold, presume the same of those that never answered."""
        # Guards against a list from before a power loss, by which the rest of the fleet is warm. An old list
        # counts until the registry answers, refusals beside it too, as the registry learns late of a death.
        if sum(self._is_cold(now, b) for b in known) >= max(INITIAL_LIMIT, MIN_POOL * len(known)):
            for b in self._ready:
                if not b.has_responded and not self._is_cold(now, b):
                    b.down, b.presumed_down, b.refused_at = True, by_list, now

    def _initial_credit(self) -> float:
        # Random: guards against agents that learn of a cold backend together, earn alike and send at once.
        return self._random() - 0.5  # 0 on average
