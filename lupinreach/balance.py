"""Every decision of the client-side balancer: where a call goes, when it is retried, hedged or refused.

A front builds `Balancer(settings, seed, port)`, calls `start(now)`, then `submit(now, incoming)` for each,
which returns its `Call`; later events of a call are methods of that handle (`on_head`, `on_attempt_ended`,
`on_client_left`). Other events are `update_backends`, `on_timer`, `on_probe` and `on_peer_message`. It acts
only through the `Port` of model.py, reads no clock and draws random numbers from its seed alone.
The design and its mechanisms: docs/design.md; the parts by concern: `lupinreach.policy`.
"""

from __future__ import annotations

from bisect import insort
from heapq import nlargest
from math import ceil, inf, log
from zlib import crc32

from lupinreach.known import Attempt, Backend
from lupinreach.model import (
    AttemptEnd,
    BackendSnapshot,
    Idempotency,
    ListState,
    Load,
    NewCall,
    Port,
    Settings,
    SharedEstimates,
)
from lupinreach.policy.calls import SLOW_FACTOR, SLOW_SLOS, Call, ProductTerms, Target
from lupinreach.policy.cold import INITIAL_LIMIT, ColdCredit
from lupinreach.policy.learning import MIN_SHARE, MISS_SLOS, SLOW_SHARE_LIMIT, TYPICAL_WEIGHT, Learning
from lupinreach.policy.membership import Membership

EJECTION_SLOS = 4.0  # x longest SLO: from an ejection to the trial
MAX_SPEEDUP = 4.0  # a backend this many times faster than usual gets no further turns for being faster
CROWDED_FACTOR = 1.0  # x mean in flight for a backend's size: above it, others are chosen first
SUBSET_PER_CALL = 0.25  # backends in use per call of an ejection period (at least `_min_used`)
SWAP_PERIODS = 2.0  # x ejection period: time between two replacements of the slowest backend in use
HOMES_PER_KEY = 5  # home backends of a key, where backends do less work for keys that they have seen
CALM_LOAD = 1.5  # calls held a core: up to it, or the full load, a key stays at its first home
MIN_PACE = 0.05  # share of its turns that a backend above the full load keeps
SLOW_WINDOW_SLOS = 4.0  # x longest SLO: window of the share of slow attempts
QUEUE_WAIT_SLOS = 0.1  # x SLO: how long a call may wait in the queue
LATE_SLOS = 0.8  # x SLO: age at which an attempt is hedged, or cancelled and retried without hedging
RETRIES_PER_CALL = 0.05  # further attempts that may repeat work, earned by each call
BUDGET_MAX = 10.0  # the most that may be saved up; and calls that a customer may have sent beyond its share
TRIALS_PER_CALL = 0.05  # trials earned by each call
RETRY_AFTER_SLOS = 0.25  # x SLO: delay that a rate-limited client is told to wait
SILENT_FACTOR = 4.0  # x the backend's latency: one attempt pending longer than that and its SLO ejects
MIN_LEFT_SLOS = 0.1  # x SLO: less time left reduces a call's share of the limit no further
SWEEP_SLOS = 0.05  # x shortest SLO: interval of sweeps while calls are queued
COLD_SUBSET = 0.5  # x backends in use while most are cold, to learn sooner which are fast
FALL_FRACTION = 0.5  # x fall_multiple: credit factor of cold backends while too few are warm
RELIST_MIN, RELIST_MAX = 0.1, 0.9  # x ask_within: bounds of the delay before the list is requested again


class Balancer(Learning, ColdCredit, Membership):
    """The balancer of one agent. Agents share no state but what `apply_shared` is given."""

    def __init__(self, settings: Settings, seed: int, port: Port) -> None:
        self._port = port
        self._seed = seed
        self._draws = 0
        slos = sorted({p.slo for p in settings.products})
        self._slos = tuple(slos)
        self._targets = [Target(i, slo) for i, slo in enumerate(slos)]
        self.product_terms = [ProductTerms(p, self._targets[slos.index(p.slo)]) for p in settings.products]
        given = [s for s in slos if s > 0] or [min(p.timeout for p in settings.products) / MISS_SLOS]
        for t in self._targets:
            t.slo = t.slo or given[0]
            t.idle = t.slo * SLOW_SLOS / SLOW_FACTOR
            t.recent = t.low = t.slo * SLOW_SLOS / SLOW_FACTOR
        self._by_work = settings.value_by_work
        limits, rules = settings.limits, settings.rules
        self.max_attempts = limits.max_attempts
        self.may_hedge = limits.allow_hedging
        self.step = settings.step
        self._may_cancel = limits.may_cancel
        self._max_retry_after = limits.max_retry_after if limits.retry_after else 0.0
        self._ejection_ms = EJECTION_SLOS * given[-1]
        self._sweep_ms = max(settings.step, SWEEP_SLOS * given[0])
        self._fall_ms = rules.fall
        self._cold_ms = rules.cold or 1.0
        self._boost = max(1.0, rules.fall_multiple * FALL_FRACTION)
        self._start_capacity = rules.start_capacity
        self._must_ask = settings.must_ask
        self._relist_min, self._relist_max = RELIST_MIN * rules.ask_within, RELIST_MAX * rules.ask_within
        self._relist_wait = self._relist_min
        self._requested_at = 0.0
        self._fractions = [c.fraction for c in settings.customers]
        self._excess = [0.0] * len(settings.customers)  # calls beyond the share, drained by each call
        self._backends: dict[int, Backend] = {}  # by index, until the directory drops them
        self._ready: list[Backend] = []  # the ready ones, in an order of this agent's own
        self._warm_keys = settings.warm_keys
        self._vtime = 0.0  # virtual time: finish tag of the last turn
        self._inflight = 0
        self._slow_share = 0.0  # smoothed share of slow attempts at backends that are not ejected
        self._limit = self._min_limit = 1.0  # attempts that this agent may have in flight, and its minimum
        self._narrowed_at = self._sampled_at = self._sent_at = 0.0
        self._slow_window_ms = SLOW_WINDOW_SLOS * given[-1]
        self._agents = settings.agents
        self._min_used, self._swap_at = 2, 0.0
        self._by_load = settings.live_weights  # the list's weights tell the load of each backend
        self._gap = self._listed_at = 0.0  # ms between two updates, smoothed; when the last one came
        self._full_load = 0.0  # load from which a backend has no capacity left until the next update
        self._mean = 0.0  # of the ready backends; 0 = none seen
        self._admitted = 1.0  # share of the calls admitted, in place of the limit where `_by_list`
        self._by_list = False  # agents outnumber backends, so that the list tells more than own attempts
        self._load = 0.0  # of the middle half of the ready backends
        self._reports = 0.0  # mean reported in flight for a backend's size
        self._peak_inflight = 0  # since the limit was last reduced
        self._open_calls: dict[Call, None] = {}  # with pending attempts; removed when the last one ends
        self._queue: list[Call] = []  # waiting for capacity, at most for QUEUE_WAIT_SLOS
        self._cost = 0.0  # mean cost hint of the calls; 0 = none seen
        self._budget = BUDGET_MAX / 2
        self._trials = 1.0
        self._trial_rate: float | None = None  # this agent's part of the fleet's trials, per ms
        self._fleet_over_share: frozenset[int] | None = None  # customers over their share, by all agents
        self._call_rate = self._submitted_at = 0.0  # calls of an ejection period, smoothed; last call
        self._warm_rate = 0.0  # work (calls of mean cost) per ms sent to a warm backend, smoothed over `fall`
        self._earned_at = 0.0
        self._new_work = 0.0  # work submitted since then
        self._demand, self._demand_ms = 0.0, 0.0  # work submitted, smoothed over `fall`, and the ms it covers
        self._no_list_yet = True  # the directory has not answered since the start
        self._mostly_cold = False  # hardly a ready backend is warm
        self._cold_limit = INITIAL_LIMIT  # in flight at a backend of mean size, of all agents, while so
        self._sweep_at = inf  # when the next sweep is due
        self._restored: dict[int, BackendSnapshot] = {}  # by name, until listed or the first update
        # Shown to operators beside the front's own counters; a fixed set of keys.
        self.counts = {"cold shots": 0, "bound full": 0, "empty list": 0, "no turn": 0, "late or used up": 0}

    # Events that belong to no call.

    def start(self, now: float) -> None:
        """Start the agent; requests the backend list where the directory does not push it."""
        self._earned_at = now
        if self._must_ask:
            self._request_list(now)

    def _request_list(self, now: float) -> None:
        self._requested_at = now
        self._port.directory(True)

    def submit(self, now: float, incoming: NewCall) -> Call:
        """Accept a call; it gets exactly one final answer."""
        terms = self.product_terms[incoming.product]
        work = 1.0
        if incoming.cost:
            self._cost += TYPICAL_WEIGHT * (incoming.cost - self._cost) if self._cost else incoming.cost
            work = incoming.cost / self._cost
        share = MIN_SHARE + (1 - MIN_SHARE) * self._value(terms) / max(map(self._value, self.product_terms))
        if self._is_over_share(incoming.customer):
            share *= MIN_SHARE
        if self._by_load:
            # Guards against clients that retry at once, many times, with little time left.
            left = (incoming.until - now) / terms.target.slo
            share *= (MIN_SHARE if incoming.is_retry else 1.0) * min(1.0, max(MIN_LEFT_SLOS, left))
        call = Call(self, now, incoming, work, share)
        self._new_work += work
        self._budget = min(BUDGET_MAX, self._budget + RETRIES_PER_CALL)
        part = TRIALS_PER_CALL if self._trial_rate is None else self._trial_rate * (now - self._submitted_at)
        self._trials = min(1.0, self._trials + min(TRIALS_PER_CALL, part))
        self._call_rate = 1 + self._call_rate * max(0.0, 1 - (now - self._submitted_at) / self._ejection_ms)
        self._submitted_at = now
        self.dispatch(now, call)
        return call

    def _value(self, terms: ProductTerms) -> float:
        """Billed value per work of a call, as far as the work is known."""
        return terms.value if self._by_work else terms.value / (terms.target.typical or terms.target.slo)

    def on_timer(self, now: float, mark: str) -> None:
        """A timer set through `Port.wake` has expired."""
        if mark == "ask":
            self._request_list(now)
        elif mark == "look":
            if now >= self._sweep_at:
                self._sweep_at = inf
                self._sweep(now)

    # Sharing between agents; without it nothing of this is called.

    def relative_latencies(self) -> list[tuple[Backend, float]]:
        """Each ready backend and its latency as a share of the first SLO; the usual one if unsampled."""
        t = self._targets[0]
        return [(b, (t.recent if b.latency_ms[0] is None else b.latency_ms[0]) / t.slo) for b in self._ready]

    def recently_started(self, now: float) -> list[Backend]:
        """The ready backends that this agent found to be cold and the directory does not list as such."""
        return [b for b in self._ready if self._is_cold(now, b) and (b.down or b.started_at > b.boot_time)]

    def used_backends(self) -> set[int] | None:
        """The backends that this agent uses, if it uses only some; None: any may be next."""
        return None if self._warm_keys else {b.index for b in self._ready[: self._subset_size()]}

    def apply_shared(self, now: float, shared: SharedEstimates) -> None:
        """Apply what other agents observed: turns move and trials come sooner, nothing is ejected."""
        self._fleet_over_share, self._trial_rate = shared.over_share, shared.trials_per_ms
        for b in self._ready:
            b.cost_factor = shared.cost_factors.get(b.name, 1.0)
            up = shared.up_since.get(b.name, inf)
            if up < (inf if b.down else b.started_at if b.started_at > b.boot_time else 0.0):
                # Guards against a backend that this agent saw late, or not yet, and would take for new.
                if b.down:
                    self._reset_backend(b, b.credit)
                b.started_at, b.down, b.presumed_down = up, False, False
            if b.name in shared.trial_due and b.trial is None:
                b.ejected_until = [min(h, now) for h in b.ejected_until]

    def avoided_count(self, now: float) -> int:
        """Listed backends that get no turn now: draining, backed off, silent, or ejected for every SLO."""
        least = min(t.slo for t in self._targets)
        return sum(
            b.state is ListState.DRAINING
            or now < b.backoff_until
            or all(b.ejected_until)
            or (b.inflight > 0 and now - b.silent_since > SLOW_SLOS * least)
            for b in self._backends.values()
            if b.state is not ListState.REMOVED
        )

    def on_probe(self, now: float, backend: int, end: AttemptEnd, latency: float, load: Load | None) -> None:
        """The outcome of a probe; this version sends none."""

    def on_peer_message(self, now: float, sender: int, message: bytes) -> None:
        """A message from another agent; this version sends none and ignores them."""

    # Choosing a backend and sending.

    def dispatch(self, now: float, call: Call) -> None:
        """Send the call to a backend, queue it, or answer it at once."""
        if not call.may_send(now) or (not call.terms.accepts_late and now >= call.arrived + call.target.slo):
            self.counts["late or used up"] += 1
            self.give_up(now, call)
            return
        b = self._choose_backend(now, call)
        if b is not None:
            self._send(now, call, b)
            return
        why = "empty list" if not self._ready else "bound full" if self._at_limit(now, call) else "no turn"
        self.counts[why] += 1
        refused = why == "bound full" and self._by_list  # waiting frees nothing of an admitted share
        if now < self._queued_until(call) and self._ready and call.pinned_to is None and not refused:
            self._enqueue(now, call)
        else:
            self.give_up(now, call)

    def give_up(self, now: float, call: Call) -> None:
        """Give the final answer: rate-limited where a retry is harmless, else an error."""
        if call.may_rate_limit() and now < call.until:
            self._port.rate_limit(call.token, min(RETRY_AFTER_SLOS * call.target.slo, self._max_retry_after))
        else:
            self._port.error(call.token)
        self.finish(call, now)

    def finish(self, call: Call, now: float) -> None:
        """The call is over; cancel its pending attempts."""
        if call.done:
            return
        call.done = True
        if not call.pending:
            # A call whose last attempt ended before it was queued: no further end of one would remove it.
            self.forget(call)
        if call.queued:
            call.queued = False
            self._queue.remove(call)
        if not call.streaming:
            self.cancel_pending(call)

    def cancel_pending(self, call: Call, but: Attempt | None = None) -> None:
        """Cancel the pending attempts of the call, all but one."""
        if self._may_cancel:
            for s in call.attempts:
                if s.pending and not s.aborted and s is not but:
                    s.aborted = True
                    self._port.cancel(call.token, s.number)

    def forget(self, call: Call) -> None:
        self._open_calls.pop(call, None)

    def spend_budget(self) -> bool:
        """Take one further attempt out of the retry budget; none while attempts are slow in general."""
        if self._budget < 1 or self._slow_share > SLOW_SHARE_LIMIT / 2:
            return False
        self._budget -= 1
        return True

    def _enqueue(self, now: float, call: Call) -> None:
        """Queue the call behind those of at least its value per work."""
        # Guards against calls held only to be rejected: the queue is no longer than what the attempts in
        # flight make room for within the wait limit.
        call.queued = True
        insort(self._queue, call, key=lambda c: -c.limit_share)
        typical = self._typical_ms() or call.target.slo
        if len(self._queue) > max(1.0, self._inflight * QUEUE_WAIT_SLOS * call.target.slo / typical):
            self.give_up(now, self._queue[-1])
        self._schedule_sweep(now, inf)

    def drain_queue(self, now: float) -> None:
        """Send queued calls, highest value first, until one finds no backend."""
        while self._queue:
            call = self._queue[0]
            b = self._choose_backend(now, call) if call.may_send(now) else None
            if b is None:
                return
            call.queued = False
            del self._queue[0]
            self._send(now, call, b)

    def _expire_queued(self, now: float) -> None:
        """Answer the calls that have waited too long."""
        for call in [c for c in self._queue if now >= self._queued_until(c) or not c.may_send(now)]:
            self.give_up(now, call)

    def _queued_until(self, call: Call) -> float:
        # Two sweeps early: guards against a client timeout that falls between two sweeps.
        return min(call.arrived + QUEUE_WAIT_SLOS * call.target.slo, call.until - 2 * self._sweep_ms)

    def _choose_backend(self, now: float, call: Call) -> Backend | None:
        """The next backend for this call, due trials first; None if it finds no capacity."""
        t = call.target.index
        if call.pinned_to is not None:
            # Chosen when its first bytes were sent ahead: no other backend and no further check of the limit.
            return next((b for b in self._ready if call.may_use(b)), None)
        if self._at_limit(now, call):
            return None
        tried = {s.backend for s in call.attempts}
        usable = [b for b in self._ready if call.may_use(b)] if tried else self._ready
        if tried and any(b not in tried for b in usable):
            usable = [b for b in usable if b not in tried]
        pool = [b for b in usable if not b.ejected_until[t]]
        if self._trials >= 1 and call.terms.kind is not Idempotency.NON_IDEMPOTENT and not call.attempts:
            for b in usable:
                if (
                    b.ejected_until[t]
                    and now >= b.ejected_until[t]
                    and b.trial is None
                    and self._has_credit(now, b, call)
                ):
                    return b
        self._earn_credit(now)
        pool = pool or usable
        if self._warm_keys and call.key is not None:
            homes = self._key_homes(pool, call.key)
            calm = max(self._full_load, CALM_LOAD)
            b = self._next_backend(now, call, homes[:1] if homes and homes[0].load <= calm else homes)
            if b is not None:
                return b
        awake = [b for b in pool if now >= b.backoff_until]
        most = self._subset_size()
        used = awake[:most]
        if self._by_load and most < len(self._ready):
            first = set(self._ready[:most])
            used = [b for b in awake if b in first]
        if len(used) < 2:
            # Guards against a subset emptied by ejection and backoff; while two are left, no new connection.
            used = awake[: self._min_used]
        if len(used) < len(awake) and now >= self._swap_at:
            self._swap_at = now + self._ejection_ms * SWAP_PERIODS
            worst = max(used, key=lambda b: b.latency_ms[t] or 0.0)
            if (worst.latency_ms[t] or 0.0) > sum(b.latency_ms[t] or 0.0 for b in used) / len(used):
                # One backend of the subset is replaced now and then: the slowest, by the next in order.
                self._ready.remove(worst)
                self._ready.append(worst)
        return self._next_backend(now, call, used)

    def _subset_size(self) -> int:
        """How many backends this agent uses."""
        most = max(self._min_used, int(SUBSET_PER_CALL * self._call_rate))
        return max(2, ceil(COLD_SUBSET * most)) if self._mostly_cold else most

    def choose_for_upload(self, now: float, product: int) -> int | None:
        """The backend to send a request too long to buffer to; it becomes an attempt with its last byte."""
        call = Call(self, now, NewCall(None, product, inf), 1.0, 1.0)
        t = call.target.index
        self._earn_credit(now)
        b = self._next_backend(now, call, [b for b in self._ready if not b.ejected_until[t]] or self._ready)
        if b is None:
            return None
        b.finish_tag = max(b.finish_tag, self._vtime) + self._expected_ms(b, call.target) / b.size
        return b.index

    def _at_limit(self, now: float, call: Call) -> bool:
        """If the limit in flight leaves no room for an attempt of this call now."""
        if self._by_load and self._load < 1 and self._slow_share <= SLOW_SHARE_LIMIT:
            return False
        if self._by_list:
            # Guards against lists that lag far behind: they count only when own attempts are slow as well.
            slow = self._slow_share > SLOW_SHARE_LIMIT / 2
            return slow and self._admitted < 1 and self._random() >= self._admitted ** (1 / call.limit_share)
        # Capacity is reserved for the calls of highest value only as far as attempts are slow.
        kept = (1 - call.limit_share) * min(1.0, self._slow_share / SLOW_SHARE_LIMIT)
        cap = self._limit * (1 - kept)
        return self._inflight >= max(1.0, cap) or (cap < 1 and now < self._sent_at + self._typical_ms() / cap)

    def _key_homes(self, pool: list[Backend], key: int) -> list[Backend]:
        """The home backends of a key, the same at all agents, by rendezvous hashing weighted by size."""

        def rank(b: Backend) -> float:
            return log((crc32(b"%d:%d" % (b.name, key)) * 2654435761 % 2**32 + 1) / 2**32) / b.size

        return nlargest(HOMES_PER_KEY, pool, key=rank)

    def _next_backend(self, now: float, call: Call, among: list[Backend]) -> Backend | None:
        """The backend whose turn is next; a crowded one only if all are."""
        best = None
        crowd = CROWDED_FACTOR * self._inflight / max(1, len(self._ready))
        for b in among:
            silent = b.inflight and now - b.silent_since > SLOW_SLOS * call.target.slo
            if silent or now < b.backoff_until or not self._has_credit(now, b, call):
                continue
            if b.inflight > crowd * b.size:
                rank = (1, b.inflight / b.size)
            else:
                rank = (0, self._finish_time(now, b, call))
            if best is None or rank < best[0]:
                best = (rank, b)
        return best[1] if best else None

    def _send(self, now: float, call: Call, b: Backend) -> None:
        t = call.target.index
        attempt = Attempt(len(call.attempts), b, now)
        if b.ejected_until[t] and now >= b.ejected_until[t] and b.trial is None:
            b.trial = attempt
            attempt.trial = True
            self._trials -= 1
        call.attempts.append(attempt)
        call.pending += 1
        if not b.inflight:
            b.silent_since = now
        b.inflight += 1
        self._inflight += 1
        self._sent_at = now
        self._peak_inflight = max(self._peak_inflight, self._inflight)
        if self._by_load:
            self._vtime = b.finish_tag = self._finish_time(now, b, call)
        else:
            cost = self._turn_ms(now, b, call)
            self._vtime = max(self._vtime, min(b.finish_tag, self._vtime + cost))
            b.finish_tag = max(b.finish_tag, self._vtime) + cost
        if self._is_cold(now, b):
            self.counts["cold shots"] += 1
            b.credit -= call.work
        else:
            b.sent_work += call.work
        self._open_calls[call] = None
        self._schedule_sweep(now, now + LATE_SLOS * call.target.slo)
        self._port.send(call.token, b.index, call.until)

    def _turn_ms(self, now: float, b: Backend, call: Call) -> float:
        """Virtual time that a turn at this backend costs."""
        cost = call.target.idle if self._warm_keys and self._by_load else self._expected_ms(b, call.target)
        if self._by_load and self._full_load:
            cost /= max(MIN_PACE, 1 - b.load / self._full_load)
        return call.work * cost / (b.size * self._ramp(now, b))

    def _finish_time(self, now: float, b: Backend, call: Call) -> float:
        """Virtual time at which its turn is due; where the list tells loads, by what a turn costs now."""
        return max(self._vtime, b.finish_tag + self._turn_ms(now, b, call)) if self._by_load else b.finish_tag

    def _expected_ms(self, b: Backend, target: Target) -> float:
        """Expected latency of an attempt there: the cost of its turn, so that use is shared by time."""
        # Guards against many agents with an attempt or two each, none of which sees that a slow backend holds
        # more than others: even counts would drive it to the edge of its SLO.
        known = b.latency_ms[target.index]
        return b.cost_factor * (target.recent if known is None else max(known, target.recent / MAX_SPEEDUP))

    def _schedule_sweep(self, now: float, due: float) -> None:
        """Sweep at that time, or soon while calls are queued, since capacity is freed at no known time."""
        if self._queue:
            due = min(due, now + self._sweep_ms)
        if due < self._sweep_at:
            self._sweep_at = due
            self._port.wake(due, "look")

    def _sweep(self, now: float) -> None:
        for call in list(self._open_calls):
            slo = call.target.slo
            for attempt in call.attempts:
                if attempt.pending and not attempt.overdue and now >= attempt.sent_at + slo:
                    # Sampled before it ends: guards against backends that accept work and answer nothing.
                    attempt.overdue = True
                    b, usual = attempt.backend, attempt.backend.latency_ms[call.target.index] or 0.0
                    # Where the list tells loads, silence means a hang or a cut-off, not overload.
                    # Guards against an idle fleet whose calls are refused for want of capacity.
                    attempt.freed = self._by_load and not self._by_list and b.silent_since <= attempt.sent_at
                    self._inflight -= attempt.freed
                    if b.silent_since <= attempt.sent_at and now - attempt.sent_at > SILENT_FACTOR * usual:
                        # Nothing came back since, and it never takes as long: one such attempt is enough.
                        b.latency_ms = [MISS_SLOS * t.slo for t in self._targets]
                    self._sample(now, call, attempt, AttemptEnd.TIMED_OUT, now - attempt.sent_at)
            if not call.done and call.pending == 1:
                self._hedge(now, call)
        self._expire_queued(now)
        self.drain_queue(now)
        due = inf
        for call in self._open_calls:
            for attempt in call.attempts:
                if attempt.pending and not attempt.overdue:
                    late = attempt.sent_at + LATE_SLOS * call.target.slo
                    # A hedge that found no capacity or budget yet may find it until the SLO.
                    due = min(
                        due,
                        late if now < late else attempt.sent_at + call.target.slo,
                        max(late, now + self._sweep_ms),
                    )
        self._schedule_sweep(now, due)

    def _hedge(self, now: float, call: Call) -> None:
        """Hedge a late attempt, or where that is not allowed cancel it to send another."""
        last = call.attempts[-1]
        if last.aborted or call.streaming or call.terms.kind is Idempotency.NON_IDEMPOTENT:
            return
        if now < last.sent_at + LATE_SLOS * call.target.slo:
            return
        if now >= call.arrived + call.target.slo or len(call.attempts) >= self.max_attempts:
            return
        if self.may_hedge:
            b = self._choose_backend(now, call) if call.may_send(now) else None
            if b is not None and b is not last.backend and self.spend_budget():
                self._send(now, call, b)
        elif self._may_cancel and call.terms.kind is Idempotency.IDEMPOTENT and self.spend_budget():
            last.aborted = True
            self._port.cancel(call.token, last.number)

    def _is_over_share(self, customer: int) -> bool:
        """If this customer sends more than its share, by the fleet's counts or else this agent's."""
        if not self._fractions:
            return False
        if self._fleet_over_share is not None:
            return customer in self._fleet_over_share
        for i, fraction in enumerate(self._fractions):
            self._excess[i] = max(0.0, self._excess[i] - fraction)
        self._excess[customer] = min(BUDGET_MAX * 2, self._excess[customer] + 1)
        return self._excess[customer] > BUDGET_MAX

    def _random(self) -> float:
        self._draws += 1
        # The multiplication removes what the CRCs of neighbouring seeds and counters have in common.
        return crc32(f"{self._seed}:{self._draws}".encode()) * 2654435761 % 2**32 / 2**32
