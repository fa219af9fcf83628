"""Every decision of lupinreach: where a shot goes, when another follows, when a client is told no.

How to invoke it. A front builds `Balancer(settings, seed, port)` and calls `start(now)`; then
`take(now, ask)` for each API call, which returns its `Call`. All that happens to the API call later is a call
on that handle (`began`, `ended`, `left`). News that belongs to no API call comes in by `listed`, `woke`,
`probed` and `heard`. The module acts only through the `Port` of model.py, reads no clock and draws chance
from its seed alone. The design and its mechanisms: docs/design.md; the parts by concern: `lupinreach.policy`.
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
from lupinreach.policy.learning import MIN_LIMIT_SHARE, MISS_SLOS, SLOW_SHARE_LIMIT, SLOW_WEIGHT, Learning
from lupinreach.policy.membership import Membership

EJECTION_SLOS = 4.0  # x longest SLO: from an ejection to the trial
MAX_SPEEDUP = 4.0  # x what shots usually take: a backend this many times quicker gets no further turns for it
CROWDED_FACTOR = 1.0  # x mean in flight for a backend's size: above it the backend's turn is skipped
SUBSET_PER_CALL = (
    0.25  # backends that an agent uses for each API call that it takes within a hold, but at least
)
SWAP_PERIODS = 2.0  # x hold: the time between two exchanges of the slowest of them
HOMES_PER_KEY = 5  # backends that a key is at home at, where backends do less work for keys that they met: it
CALM_LOAD = (
    1.5  # stays at the first while that holds so many API calls a core, or the level; then all take turns
)
MIN_PACE = 0.05  # of a turn's pace, for a backend that holds more than the level
SLOW_WINDOW_SLOS = 4.0  # x longest SLO: evidence of slow shots older than that counts for nothing, yet
QUEUE_WAIT_SLOS = 0.1  # x SLO: how long an API call stands in line
LATE_SLOS = 0.8  # x SLO: a shot out for longer gets company, or is called off where copies are not allowed
RETRIES_PER_CALL = 0.05  # further shots that may repeat work, for each API call taken
RETRY_BUDGET_MAX = 10.0  # the most of them that may be saved up
TRIALS_PER_CALL = 0.05  # trials for each API call taken
RETRY_AFTER_SLOS = 0.25  # x SLO: when a rate-limited client is told to come back
SILENT_FACTOR = 4.0  # x the backend's figure: a lone shot out for longer than that and its SLO ejects
MIN_LEFT_SLOS = 0.1  # x SLO: less time left narrows an API call's room no further
SWEEP_SLOS = 0.05  # x shortest SLO: the time between two looks at the line
COLD_SUBSET = 0.5  # x backends that an agent uses: of such a fleet, so that it learns sooner which are quick
FALL_FRACTION = 0.5  # x fall_multiple: what cold backends earn while most are cold and can't be spared
RELIST_MIN, RELIST_MAX = (
    0.1,
    0.9,
)  # x ask_within: first and longest span in which the directory is asked again,


class Balancer(Learning, ColdCredit, Membership):
    """One agent. Shares nothing with another."""

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
        self._value_by_work = settings.value_by_work
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
        self._few_warm_boost = max(1.0, rules.fall_multiple * FALL_FRACTION)
        self._start_capacity = rules.start_capacity
        self._must_ask = settings.must_ask
        self._relist_min, self._relist_max = RELIST_MIN * rules.ask_within, RELIST_MAX * rules.ask_within
        self._relist_wait = self._relist_min
        self._requested_at = 0.0
        self._fractions = [c.fraction for c in settings.customers]
        self._excess = [0.0] * len(
            settings.customers
        )  # API calls beyond the share, drained by each one taken
        self._backends: dict[int, Backend] = {}  # emptied as the directory drops them
        self._ready: list[Backend] = []  # the ready ones, in an order of this agent's own
        self._warm_keys = settings.warm_keys
        self._vtime = 0.0  # the turn that was last given
        self._inflight = 0
        self._slow_share = 0.0  # smoothed share of shots, to backends in the pools, slower than FULL_AT
        self._limit = self._min_limit = (
            1.0  # shots that this agent may have out in all, and the least of that
        )
        self._narrowed_at = self._sampled_at = self._sent_at = 0.0
        self._slow_window_ms = SLOW_WINDOW_SLOS * given[-1]
        self._agents = settings.agents
        self._min_subset, self._swap_at = 2, 0.0
        self._by_load = settings.live_weights
        self._list_gap = self._listed_at = 0.0  # between two lists, smoothed
        self._full_load = 0.0  # of load, from which on a backend has no room until the next list
        self._mean_weight = 0.0  # of the sizes as listed; 0 = none seen
        self._admitted = 1.0  # share of the API calls that go on, in place of the bound where `_by_list`
        self._limit_by_list = False  # agents outnumber backends, so that the list tells more than own shots
        self._mean_load = 0.0  # mean load of the middle half of the ready backends
        self._reported = 0.0  # mean reported in flight for a backend's size
        self._peak_inflight = 0  # most shots out since the bound was last narrowed
        self._open_calls: dict[
            Call, None
        ] = {}  # API calls with shots out; each leaves when its last shot ended
        self._queue: list[Call] = []  # API calls waiting for room; each leaves after its patience at last
        self._mean_cost = 0.0  # mean cost hint; 0 = none seen
        self._budget = RETRY_BUDGET_MAX / 2
        self._trial_budget = 1.0
        self._fleet_trial_rate: float | None = None  # of the fleet's trials, a ms, where shared
        self._fleet_over_share: frozenset[int] | None = (
            None  # customers over their share, where counts are shared
        )
        self._recent_calls = self._submitted_at = 0.0  # API calls taken within a hold, smoothed
        self._warm_rate = 0.0  # work (API calls of mean cost) per ms to a warm backend, smoothed over `fall`
        self._earned_at = 0.0
        self._new_work = 0.0  # work taken since then
        self._demand, self._demand_ms = (
            0.0,
            0.0,
        )  # work taken over `fall`, smoothed, and ms that it stands for
        self._no_list_yet = True  # nothing heard of the directory yet
        self._mostly_cold = False  # hardly one of the ready ones is warm
        self._cold_limit = (
            INITIAL_LIMIT  # shots in flight that each of mean size may then hold, of all agents
        )
        self._sweep_at = inf  # when the next look is due
        self._restored: dict[
            int, BackendSnapshot
        ] = {}  # by name; each leaves as it is listed, all as a list comes
        # For the operators, beside the front's own counters; grows with nothing.
        self.counts = {"cold shots": 0, "bound full": 0, "empty list": 0, "no turn": 0, "late or used up": 0}

    # Events that belong to no API call.

    def start(self, now: float) -> None:
        self._earned_at = now
        if self._must_ask:
            self._request_list(now)

    def _request_list(self, now: float) -> None:
        self._requested_at = now
        self._port.directory(True)

    def submit(self, now: float, incoming: NewCall) -> Call:
        """Take an API call; it gets exactly one final answer."""
        terms = self.product_terms[incoming.product]
        work = 1.0
        if incoming.cost:
            self._mean_cost += (
                SLOW_WEIGHT * (incoming.cost - self._mean_cost) if self._mean_cost else incoming.cost
            )
            work = incoming.cost / self._mean_cost
        limit_share = MIN_LIMIT_SHARE + (1 - MIN_LIMIT_SHARE) * self._value_rate(terms) / max(
            map(self._value_rate, self.product_terms)
        )
        if self._is_over_share(incoming.customer):
            limit_share *= MIN_LIMIT_SHARE
        if self._by_load:
            # Guards against clients that come again at once, many times, with little time left.
            left = (incoming.until - now) / terms.target.slo
            limit_share *= (MIN_LIMIT_SHARE if incoming.is_retry else 1.0) * min(
                1.0, max(MIN_LEFT_SLOS, left)
            )
        call = Call(self, now, incoming, work, limit_share)
        self._new_work += work
        self._budget = min(RETRY_BUDGET_MAX, self._budget + RETRIES_PER_CALL)
        part = (
            TRIALS_PER_CALL
            if self._fleet_trial_rate is None
            else self._fleet_trial_rate * (now - self._submitted_at)
        )
        self._trial_budget = min(1.0, self._trial_budget + min(TRIALS_PER_CALL, part))
        self._recent_calls = 1 + self._recent_calls * max(
            0.0, 1 - (now - self._submitted_at) / self._ejection_ms
        )
        self._submitted_at = now
        self.dispatch(now, call)
        return call

    def _value_rate(self, terms: ProductTerms) -> float:
        """Billed value for the work that an API call takes, as far as known."""
        return (
            terms.value if self._value_by_work else terms.value / (terms.target.typical or terms.target.slo)
        )

    def on_timer(self, now: float, mark: str) -> None:
        if mark == "ask":
            self._request_list(now)
        elif mark == "look":
            if now >= self._sweep_at:
                self._sweep_at = inf
                self._sweep(now)

    # Where agents share what they have met; without, nothing of this is called.

    def relative_latencies(self) -> list[tuple[Backend, float]]:
        """Each ready backend and its figure as a share of the first SLO; of one not met, what is usual."""
        t = self._targets[0]
        return [(b, (t.recent if b.latency_ms[0] is None else b.latency_ms[0]) / t.slo) for b in self._ready]

    def recently_started(self, now: float) -> list[Backend]:
        """The ready backends that are cold by own word, the directory's being silent on it."""
        return [b for b in self._ready if self._is_cold(now, b) and (b.down or b.started_at > b.boot_time)]

    def used_backends(self) -> set[int] | None:
        """The backends that this agent uses, as far as it uses only some; None: any may be next."""
        return None if self._warm_keys else {b.index for b in self._ready[: self._subset_size()]}

    def apply_shared(self, now: float, told: SharedEstimates) -> None:
        """What others' word makes of own figures: turns move, trials come sooner, nothing is ejected."""
        self._fleet_over_share, self._fleet_trial_rate = told.over_share, told.trials_per_ms
        for b in self._ready:
            b.cost_factor = told.cost_factors.get(b.name, 1.0)
            stood = told.up_since.get(b.name, inf)
            if stood < (inf if b.down else b.started_at if b.started_at > b.boot_time else 0.0):
                # Guards against a backend that this agent met late, or not yet, and would take for just started.
                if b.down:
                    self._reset_backend(b, b.credit)
                b.started_at, b.down, b.presumed_down = stood, False, False
            if b.name in told.trial_due and b.trial is None:
                b.ejected_until = [min(h, now) for h in b.ejected_until]

    def avoided_count(self, now: float) -> int:
        """How many listed backends get no turn now: draining, at rest, silent, or ejected for every SLO."""
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
        """A word from another agent; this version sends none and heeds none."""

    # Placing a shot.

    def dispatch(self, now: float, call: Call) -> None:
        """Send the API call on, put it in line, or answer it at once."""
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
        refused = (
            why == "bound full" and self._limit_by_list
        )  # a share has no room that a line could wait for
        if now < self._queued_until(call) and self._ready and call.pinned_to is None and not refused:
            self._enqueue(now, call)
        else:
            self.give_up(now, call)

    def give_up(self, now: float, call: Call) -> None:
        """Give the final answer: rate-limited where that is true, else errored."""
        if call.may_rate_limit() and now < call.until:
            self._port.rate_limit(call.token, min(RETRY_AFTER_SLOS * call.target.slo, self._max_retry_after))
        else:
            self._port.error(call.token)
        self.finish(call, now)

    def finish(self, call: Call, now: float) -> None:
        """The API call is over; what is still out for it is called off."""
        if call.done:
            return
        call.done = True
        if not call.pending:
            # Guards against one whose last shot ended before it stood in line: no ending would remove it.
            self.forget(call)
        if call.queued:
            call.queued = False
            self._queue.remove(call)
        if not call.streaming:
            self.cancel_pending(call)

    def cancel_pending(self, call: Call, but: Attempt | None = None) -> None:
        """Call off what is still out."""
        if self._may_cancel:
            for s in call.attempts:
                if s.pending and not s.cancelled and s is not but:
                    s.cancelled = True
                    self._port.cancel(call.token, s.number)

    def forget(self, call: Call) -> None:
        self._open_calls.pop(call, None)

    def spend_budget(self) -> bool:
        """Take one further shot out of the budget; none while shots are slow in general."""
        if self._budget < 1 or self._slow_share > SLOW_SHARE_LIMIT / 2:
            return False
        self._budget -= 1
        return True

    def _enqueue(self, now: float, call: Call) -> None:
        """Put the API call in line, behind those at least as dear for their work.

        The line is never longer than what the API calls out now make room for within the patience, so that
        most waits end in an answer. Guards against calls held only to be turned away.
        """
        call.queued = True
        insort(self._queue, call, key=lambda c: -c.limit_share)
        pace = self._slowest_typical() or call.target.slo
        if len(self._queue) > max(1.0, self._inflight * QUEUE_WAIT_SLOS * call.target.slo / pace):
            self.give_up(now, self._queue[-1])
        self._schedule_sweep(now, inf)

    def drain_queue(self, now: float) -> None:
        """Place what stands in line, dearest first, until one finds no room."""
        while self._queue:
            call = self._queue[0]
            b = self._choose_backend(now, call) if call.may_send(now) else None
            if b is None:
                return
            call.queued = False
            del self._queue[0]
            self._send(now, call, b)

    def _expire_queued(self, now: float) -> None:
        """Answer what has stood in line too long."""
        for call in [c for c in self._queue if now >= self._queued_until(c) or not c.may_send(now)]:
            self.give_up(now, call)

    def _queued_until(self, call: Call) -> float:
        # Guards against a client timeout that falls between two looks at the line.
        return min(call.arrived + QUEUE_WAIT_SLOS * call.target.slo, call.until - 2 * self._sweep_ms)

    def _choose_backend(self, now: float, call: Call) -> Backend | None:
        """The next turn in the pool of the API call's SLO."""
        t = call.target.index
        if call.pinned_to is not None:
            # It was chosen when the first of it went ahead: no room is found elsewhere, nor asked for again.
            return next((b for b in self._ready if call.may_use(b)), None)
        if self._at_limit(now, call):
            return None
        tried = {s.backend for s in call.attempts}
        usable = [b for b in self._ready if call.may_use(b)] if tried else self._ready
        if tried and any(b not in tried for b in usable):
            usable = [b for b in usable if b not in tried]
        pool = [b for b in usable if not b.ejected_until[t]]
        if (
            self._trial_budget >= 1
            and call.terms.kind is not Idempotency.NON_IDEMPOTENT
            and not call.attempts
        ):
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
            # Guards against a set that ejection and rest empty; while two are left, no new connection.
            used = awake[: self._min_subset]
        if len(used) < len(awake) and now >= self._swap_at:
            self._swap_at = now + self._ejection_ms * SWAP_PERIODS
            worst = max(used, key=lambda b: b.latency_ms[t] or 0.0)
            if (worst.latency_ms[t] or 0.0) > sum(b.latency_ms[t] or 0.0 for b in used) / len(used):
                # House custom: one is exchanged now and then, here the slowest for the next in order.
                self._ready.remove(worst)
                self._ready.append(worst)
        return self._next_backend(now, call, used)

    def _subset_size(self) -> int:
        """How many backends this agent uses."""
        most = max(self._min_subset, int(SUBSET_PER_CALL * self._recent_calls))
        return max(2, ceil(COLD_SUBSET * most)) if self._mostly_cold else most

    def choose_for_upload(self, now: float, product: int) -> int | None:
        """The backend that a request too long to be kept goes ahead to; its last byte makes it a shot."""
        call = Call(self, now, NewCall(None, product, inf), 1.0, 1.0)
        t = call.target.index
        self._earn_credit(now)
        b = self._next_backend(now, call, [b for b in self._ready if not b.ejected_until[t]] or self._ready)
        if b is None:
            return None
        b.finish_tag = max(b.finish_tag, self._vtime) + self._expected_ms(b, call.target) / b.size
        return b.index

    def _at_limit(self, now: float, call: Call) -> bool:
        """If the bound in flight leaves no room for a shot of this API call now."""
        if self._by_load and self._mean_load < 1 and self._slow_share <= SLOW_SHARE_LIMIT:
            return False
        if self._limit_by_list:
            # Guards against lists that run far behind: what they say counts beside slow shots of its own.
            felt = self._slow_share > SLOW_SHARE_LIMIT / 2
            return felt and self._admitted < 1 and self._random() >= self._admitted ** (1 / call.limit_share)
        # Room is kept for the dearest only as far as shots are slow: with all in time, all may fill it.
        kept = (1 - call.limit_share) * min(1.0, self._slow_share / SLOW_SHARE_LIMIT)
        bound = self._limit * (1 - kept)
        return self._inflight >= max(1.0, bound) or (
            bound < 1 and now < self._sent_at + self._slowest_typical() / bound
        )

    def _key_homes(self, pool: list[Backend], key: int) -> list[Backend]:
        """The backends of the pool that a key is at home at, the same at all agents, by size."""

        def rank(b: Backend) -> float:
            return log((crc32(b"%d:%d" % (b.name, key)) * 2654435761 % 2**32 + 1) / 2**32) / b.size

        return nlargest(HOMES_PER_KEY, pool, key=rank)

    def _next_backend(self, now: float, call: Call, among: list[Backend]) -> Backend | None:
        """The next turn among these backends, one that is crowded only if all are."""
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
            self._trial_budget -= 1
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
            use = self._turn_cost(now, b, call)
            self._vtime = max(self._vtime, min(b.finish_tag, self._vtime + use))
            b.finish_tag = max(b.finish_tag, self._vtime) + use
        if self._is_cold(now, b):
            self.counts["cold shots"] += 1
            b.credit -= call.work
        else:
            b.sent_work += call.work
        self._open_calls[call] = None
        self._schedule_sweep(now, now + LATE_SLOS * call.target.slo)
        self._port.send(call.token, b.index, call.until)

    def _turn_cost(self, now: float, b: Backend, call: Call) -> float:
        """What a turn there costs."""
        usual = call.target.idle if self._warm_keys and self._by_load else self._expected_ms(b, call.target)
        if self._by_load and self._full_load:
            usual /= max(MIN_PACE, 1 - b.load / self._full_load)
        return call.work * usual / (b.size * self._ramp(now, b))

    def _finish_time(self, now: float, b: Backend, call: Call) -> float:
        """When its turn is due. Where the load is told, that follows what a turn costs by now."""
        return (
            max(self._vtime, b.finish_tag + self._turn_cost(now, b, call)) if self._by_load else b.finish_tag
        )

    def _expected_ms(self, b: Backend, target: Target) -> float:
        """How long a shot takes there, in ms: what its turn costs, so that time in use rotates evenly.

        Guards against many agents with a shot or two out each: none sees by its own shots in flight that a
        slow backend holds more than others, and even counts would drive it to the edge of its SLO.
        """
        figure = b.latency_ms[target.index]
        return b.cost_factor * (target.recent if figure is None else max(figure, target.recent / MAX_SPEEDUP))

    # Looking at what is out.

    def _schedule_sweep(self, now: float, due: float) -> None:
        """Be woken when that is due, or soon while a line stands, whose room comes at no known time."""
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
                    # Guards against backends that take work and answer nothing: evidence before it ends.
                    attempt.overdue = True
                    b, usual = attempt.backend, attempt.backend.latency_ms[call.target.index] or 0.0
                    # Where the list tells what is held, silence says that a backend hangs or is cut off,
                    # not that too much is out. Guards against an idle fleet refused for want of room.
                    attempt.uncounted = (
                        self._by_load and not self._limit_by_list and b.silent_since <= attempt.sent_at
                    )
                    self._inflight -= attempt.uncounted
                    if b.silent_since <= attempt.sent_at and now - attempt.sent_at > SILENT_FACTOR * usual:
                        # Nothing at all came back since, nor ever takes as long: one such shot says enough.
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
                    # A copy that found no room or no budget yet may find it until the SLO.
                    due = min(
                        due,
                        late if now < late else attempt.sent_at + call.target.slo,
                        max(late, now + self._sweep_ms),
                    )
        self._schedule_sweep(now, due)

    def _hedge(self, now: float, call: Call) -> None:
        """Send a copy beside a late shot, or call the shot off to send another."""
        last = call.attempts[-1]
        if last.cancelled or call.streaming or call.terms.kind is Idempotency.NON_IDEMPOTENT:
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
            last.cancelled = True
            self._port.cancel(call.token, last.number)

    def _is_over_share(self, customer: int) -> bool:
        """If this customer has asked this agent for more than its share of what the agent was asked."""
        if not self._fractions:
            return False
        if self._fleet_over_share is not None:
            return customer in self._fleet_over_share
        for i, fraction in enumerate(self._fractions):
            self._excess[i] = max(0.0, self._excess[i] - fraction)
        self._excess[customer] = min(RETRY_BUDGET_MAX * 2, self._excess[customer] + 1)
        return self._excess[customer] > RETRY_BUDGET_MAX

    def _random(self) -> float:
        self._draws += 1
        # The product takes apart what neighbouring seeds and counters have in common in a CRC.
        return crc32(f"{self._seed}:{self._draws}".encode()) * 2654435761 % 2**32 / 2**32
