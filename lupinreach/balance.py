"""Every decision of lupinreach: where a shot goes, when another follows, when a client is told no.

How to invoke it. A front builds `Balancer(settings, seed, port)` and calls `start(now)`; then
`take(now, ask)` for each API call, which returns its `Call`. All that happens to the API call later is a call
on that handle (`began`, `ended`, `left`). News that belongs to no API call comes in by `listed`, `woke`,
`probed` and `heard`. The module acts only through the `Port` of model.py, reads no clock and draws chance
from its seed alone.

The design (docs/design.md): for each latency SLO a pool of the backends whose smoothed latency meets it; a
miss ejects, a trial restores, and shots rotate evenly inside the pool. Beside it stand these mechanisms:
  1. cold credit: a starting backend earns its shots from what warm ones are sent          (Balancer._earn)
  2. a bound in flight: no more shots out than come back well in time; what finds it full stands in a short
     line, dearest first                                                     (_learn_bound, _wait, pump)
     where the list tells loads to more agents than backends, a share of the API calls takes its place
                                                                                     (_weigh, _full)
  3. further shots: after a failure or beside a late shot, out of a budget            (Call.ended, _second)
  4. bounded ejection: half of the backends stay, what is slow with all others stays, and trials
     take a small share of the API calls                                             (_eject, _choose)
  5. rest and silence: no turn after a quick failure, a report of far too much in flight, or while
     nothing at all comes back                                                         (_turn, landed)
  6. some backends only: a small agent uses a few, a key is at home at few                   (_choose, _homes)
"""

from __future__ import annotations

from bisect import insort
from heapq import nlargest
from math import ceil, inf, log, sqrt
from zlib import crc32

from lupinreach.known import Backend, Shot
from lupinreach.model import (
    NEVER_RAN,
    Ask,
    Ending,
    Group,
    Kind,
    Learnt,
    Listing,
    Load,
    Met,
    News,
    Port,
    Product,
    Settings,
    Shared,
    State,
)

CUT_OFF = frozenset({Ending.UNREACHABLE, Ending.REFUSED})
NO_SIGN = frozenset({Ending.UNSENT, Ending.CANCELLED, Ending.TIMED_OUT, Ending.UNREACHABLE})  # of life
SPOILT = frozenset({Ending.ERRORED, Ending.RESET})  # something is wrong, but not that too much is out

# The design's own figures.
NEWEST = 0.15  # weight of the newest latency sample
MISS = 2.0  # a failed shot counts as a sample of this many SLOs; no sample counts for more
DEFAULT_SLO = 2.0  # with no SLO given: this many times the median smoothed latency

# The project's figures, each a ratio to something from the settings or to something measured.
HOLD = 4.0  # x longest SLO: from an ejection to the trial
MOST_SHARE = 4.0  # x what shots usually take: a backend this many times quicker gets no further turns for it
CROWDED = 1.0  # x mean in flight for a backend's size: above it the backend's turn is skipped
STANDS_OUT = 2.0  # x median figure of the others: below it a miss is shared and does not eject
FRESH = 0.25  # backends that an agent uses for each API call that it takes within a hold, but at least
EXCHANGE = 2.0  # x hold: the time between two exchanges of the slowest of them
SHARED_BY = 8.0  # so many that each backend is used by as many agents, and 2
LOADED = 2.0  # x mean reported in flight for a backend's size: above it the backend rests, and so many
STRAY = 3.0  # standard deviations of a count of that mean
KEEP = 0.5  # share of the ready backends that ejection leaves in a pool
TYPICAL = 0.02  # weight of the newest sample in what an SLO's API calls usually take, and how many are spoilt
FULL_AT = 0.4  # x SLO: a shot that takes longer is a slow one, and so is one that takes
EASE = 3.0  # x what the SLO's API calls took when they last took least, but never one that takes under
LEAST_SLOW = 0.2  # x SLO
HOMES = 5  # backends that a key is at home at, where backends do less work for keys that they met: it
CALM = 1.5  # stays at the first while that holds so many API calls a core, or the level; then all take turns
FEW = 3  # backends that an agent uses where the list tells loads and agents outnumber backends
AIM = 0.65  # x SLO over what a shot takes where there is room: API calls held a core that come back in time
LEAST_ADMIT, CUT, GROW = 0.01, 0.4, 1.5  # the least share admitted, and how far one list moves it
BEYOND = 1e3  # x mean size: no weight is as large
FLOOR = 0.05  # of a turn's pace, for a backend that holds more than the level
SOON = 0.05  # weight of the newest shot in the share of slow ones
SPAN = 4.0  # x longest SLO: evidence of slow shots older than that counts for nothing, yet
SUDDEN = 0.5  # one shot never weighs more than this
FULL_SHARE = 1 / 3  # share of shots slower than FULL_AT from which the agent's own bound narrows
NARROW = 0.3  # how far the bound narrows, for a share of slow shots that is over by 1
FIRST_BOUND = 2.0  # shots in flight that a backend of mean size is given before anything is known
PATIENCE = 0.1  # x SLO: how long an API call stands in line
LATE_AT = 0.8  # x SLO: a shot out for longer gets company, or is called off where copies are not allowed
BUDGET = 0.05  # further shots that may repeat work, for each API call taken
BUDGET_MAX = 10.0  # the most of them that may be saved up
TRIALS = 0.05  # trials for each API call taken
RETRY_AFTER = 0.25  # x SLO: when a rate-limited client is told to come back
SILENT = 4.0  # x the backend's figure: a lone shot out for longer than that and its SLO ejects
LEAST_ROOM = 0.5  # share of the bound that the API calls of least value may fill; the dearest fill it all
LEAST_LEFT = 0.1  # x SLO: less time left narrows an API call's room no further
LOOK = 0.05  # x shortest SLO: the time between two looks at the line
MOST_EARNS = 1.5  # x its part by size: a quick backend of a fleet without a warm one
CLOSER = 0.5  # x backends that an agent uses: of such a fleet, so that it learns sooner which are quick
WIDEN = 2.0  # e-folds within `fall` of what each of them may hold, while shots come well in time
RARE = 4.0  # x its part, at most: what an agent with hardly an API call within `fall` earns more
AHEAD = 0.5  # API calls: half of what first credits are spread over
FALL_USE = 0.5  # x fall_multiple: what cold backends earn while most are cold and can't be spared
ASK_FIRST, ASK_MOST = 0.1, 0.9  # x ask_within: first and longest span in which the directory is asked again,
SPREAD = 2.0  # x what the call that failed took, where that is more


class Target:
    """One latency SLO and what its API calls usually take."""

    __slots__ = ("index", "slo", "given", "typical", "recent", "ease", "base")

    def __init__(self, index: int, slo: float) -> None:
        self.index = index
        self.slo = slo
        self.given = slo > 0
        self.typical = 0.0  # ms from send to answer; 0 = none seen
        self.recent = self.ease = 0.0  # smoothed latency, and its lowest of late
        self.base = 0.0  # smoothed latency at backends that the list says have room

    def slow(self, latency: float) -> bool:
        """If a shot took so long that backends must be holding too many."""
        # Guards against quick API calls, of which one that met a late loop would pass for a full backend.
        return latency > min(FULL_AT * self.slo, max(EASE * self.ease, LEAST_SLOW * self.slo))


class Offer:
    """A product as the decisions use it."""

    __slots__ = ("kind", "group", "memory", "target", "late_counts", "value")

    def __init__(self, product: Product, target: Target) -> None:
        self.kind = product.kind
        self.group = product.group
        self.memory = product.memory
        self.target = target
        self.late_counts = product.late_value > 0
        self.value = max(product.billed_value, 1e-9)


class Call:
    """The handle of one API call."""

    __slots__ = (
        "_to",
        "token",
        "offer",
        "target",
        "until",
        "taken",
        "key",
        "work",
        "room",
        "shots",
        "out",
        "done",
        "streaming",
        "waiting",
        "only",
    )

    def __init__(self, to: Balancer, now: float, ask: Ask, work: float, room: float) -> None:
        self._to = to
        self.token = ask.token
        self.offer = to.offers[ask.product]
        self.target = self.offer.target
        self.until = ask.until
        self.taken = now
        self.key = ask.key
        self.work = work
        self.room = room
        self.shots: list[Shot] = []
        self.out = 0
        self.done = False
        self.streaming = False
        self.waiting = False
        self.only = ask.only

    @property
    def closed(self) -> bool:
        """True once nothing more can come for this handle."""
        return self.done and not self.out

    # The rules, asked before every shot and every rate-limit reply.

    def may_send(self, now: float) -> bool:
        """If any further shot is allowed at all; `may_use` says where to."""
        to = self._to
        if self.done or self.streaming or now >= self.until or len(self.shots) >= to.max_shots:
            return False
        if (self.out and not to.copies) or (self.only is not None and self.shots):
            return False
        if self.offer.kind is Kind.NON_IDEMPOTENT:
            return not any(s.ran for s in self.shots)
        if self.offer.kind is Kind.DEDUPLICATED:
            first = min((s.sent for s in self.shots if s.ran), default=None)
            return first is None or now + to.step < first + self.offer.memory
        return True

    def may_use(self, b: Backend) -> bool:
        """If a shot that `may_send` allows may go to this backend."""
        if b.state is not State.READY or (self.only is not None and b.index != self.only):
            return False
        if self.offer.kind is Kind.DEDUPLICATED and self.offer.group is not Group.ALL:
            zone = self.offer.group is Group.ZONE
            for s in self.shots:
                if s.ran and (s.backend.zone != b.zone if zone else s.backend.cell != b.cell):
                    return False
        return True

    def may_rate_limit(self) -> bool:
        """If telling the client that trying again is harmless would be true."""
        if self.offer.kind is Kind.IDEMPOTENT:
            return True
        if self.offer.kind is Kind.DEDUPLICATED and self.offer.group is Group.ALL:
            return True
        return not any(s.ran for s in self.shots)

    # What happens to the API call.

    def began(self, now: float, number: int, latency: float | None = None, load: Load | None = None) -> None:
        """The answer has begun to stream: this shot is now the client's.

        With a latency, that is the shot's, to its first bytes: what comes after is transfer and says nothing
        of how full the backend is. Without one, all of it is the shot's.
        """
        shot, to = self.shots[number], self._to
        self.streaming = True
        if latency is not None and shot.out and not shot.passing:
            shot.ran = shot.passing = True
            to.landed(now, self, shot, Ending.FULFILLED, latency, load)
            to.call_off(self, shot)
        shot.overdue = True
        to.pump(now)

    def left(self, now: float) -> None:
        """The client has gone; nothing more is owed."""
        self._to.finish(self, now)

    def ended(
        self,
        now: float,
        number: int,
        ending: Ending,
        latency: float,
        complete: bool,
        load: Load | None = None,
    ) -> None:
        """A shot has ended."""
        shot = self.shots[number]
        if not shot.out:
            return
        shot.out = False
        shot.ran = ending not in NEVER_RAN
        self.out -= 1
        to = self._to
        if not shot.passing:
            to.landed(now, self, shot, ending, latency, load)
        elif ending is not Ending.FULFILLED and ending is not Ending.CANCELLED:
            # What broke under way may be any backend's; it ejects like a break, and narrows no bound.
            to.broke(now, self, shot)
        if complete:
            to.finish(self, now)
        elif not self.done and not self.out and not self.streaming:
            if shot.ran and not shot.called_off and not to.spend():
                to.give_up(now, self)
            else:
                to.place(now, self)
        to.pump(now)
        if self.closed:
            to.forget(self)


class Balancer:
    """One agent. Shares nothing with another."""

    def __init__(self, settings: Settings, seed: int, port: Port) -> None:
        self._port = port
        self._seed = seed
        self._drawn = 0
        slos = sorted({p.slo for p in settings.products})
        self._slos = tuple(slos)
        self._targets = [Target(i, slo) for i, slo in enumerate(slos)]
        self.offers = [Offer(p, self._targets[slos.index(p.slo)]) for p in settings.products]
        given = [s for s in slos if s > 0] or [min(p.timeout for p in settings.products) / MISS]
        for t in self._targets:
            t.slo = t.slo or given[0]
            t.base = t.slo * FULL_AT / EASE
            t.recent = t.ease = t.slo * FULL_AT / EASE
        self._by_work = settings.value_by_work
        limits, rules = settings.limits, settings.rules
        self.max_shots = limits.max_shots
        self.copies = limits.second_copies
        self.step = settings.step
        self._may_cancel = limits.may_cancel
        self._most_retry_after = limits.max_retry_after if limits.retry_after else 0.0
        self._hold = HOLD * given[-1]
        self._look = max(settings.step, LOOK * given[0])
        self._fall = rules.fall
        self._cold = rules.cold or 1.0
        self._when_few = max(1.0, rules.fall_multiple * FALL_USE)
        self._start = rules.start_capacity
        self._must_ask = settings.must_ask
        self._ask_first, self._ask_most = ASK_FIRST * rules.ask_within, ASK_MOST * rules.ask_within
        self._ask_wait = self._ask_first
        self._asked_at = 0.0
        self._fractions = [c.fraction for c in settings.customers]
        self._over = [0.0] * len(settings.customers)  # API calls beyond the share, drained by each one taken
        self._backends: dict[int, Backend] = {}  # emptied as the directory drops them
        self._ring: list[Backend] = []  # the ready ones, in an order of this agent's own
        self._warm_keys = settings.warm_keys
        self._clock = 0.0  # the turn that was last given
        self._flight = 0
        self._fullness = 0.0  # smoothed share of shots, to backends in the pools, slower than FULL_AT
        self._bound = self._least = 1.0  # shots that this agent may have out in all, and the least of that
        self._narrowed_at = self._felt_at = self._sent_at = 0.0
        self._span = SPAN * given[-1]
        self._agents = settings.agents
        self._least_used, self._exchange_at = 2, 0.0
        self._tells = settings.live_weights
        self._gap = self._listed_at = 0.0  # between two lists, smoothed
        self._level = 0.0  # of load, from which on a backend has no room until the next list
        self._mean = 0.0  # of the sizes as listed; 0 = none seen
        self._admit = 1.0  # share of the API calls that go on, in place of the bound where `_by_list`
        self._by_list = False  # agents outnumber backends, so that the list tells more than own shots
        self._load = 0.0  # mean load of the middle half of the ready backends
        self._crowd = 0.0  # mean reported in flight for a backend's size
        self._peak = 0  # most shots out since the bound was last narrowed
        self._live: dict[Call, None] = {}  # API calls with shots out; each leaves when its last shot ended
        self._line: list[Call] = []  # API calls waiting for room; each leaves after its patience at last
        self._cost = 0.0  # mean cost hint; 0 = none seen
        self._budget = BUDGET_MAX / 2
        self._trials = 1.0
        self._trial_rate: float | None = None  # of the fleet's trials, a ms, where shared
        self._told_over: frozenset[int] | None = None  # customers over their share, where counts are shared
        self._taken = self._taken_at = 0.0  # API calls taken within a hold, smoothed
        self._rate = 0.0  # work (API calls of mean cost) per ms to a warm backend, smoothed over `fall`
        self._earned_at = 0.0
        self._fresh = 0.0  # work taken since then
        self._asked, self._asked_for = 0.0, 0.0  # work taken over `fall`, smoothed, and ms that it stands for
        self._dark = True  # nothing heard of the directory yet
        self._bare = False  # hardly one of the ready ones is warm
        self._lanes = FIRST_BOUND  # shots in flight that each of mean size may then hold, of all agents
        self._looks_at = inf  # when the next look is due
        self._recalled: dict[int, Met] = {}  # by name; each leaves as it is listed, all as a list comes
        # For the operators, beside the front's own counters; grows with nothing.
        self.counts = {"cold shots": 0, "bound full": 0, "empty list": 0, "no turn": 0, "late or used up": 0}

    # What another process may go on with.

    def learnt(self) -> Learnt:
        """What stays true for whoever asks next. Loads, bounds, credit, states and shots out don't."""
        return Learnt(
            self._slos,
            self._tells,
            tuple((t.typical, t.recent, t.ease, t.base) for t in self._targets),
            tuple(Met(b.name, b.boot_time, b.listed, tuple(b.figure), b.ill) for b in self._ring),
        )

    def recall(self, learnt: Learnt) -> bool:
        """Begin with that, before the first list; false, with nothing taken, if it means something else."""
        if learnt.slos != self._slos or learnt.live_weights is not self._tells:
            return False
        for t, (typical, recent, ease, base) in zip(self._targets, learnt.usual, strict=True):
            t.typical, t.recent, t.ease, t.base = typical, recent or t.recent, ease or t.ease, base or t.base
        self._recalled = {met.name: met for met in learnt.backends}
        return True

    def _remember(self, now: float, b: Backend, e: Listing) -> None:
        met = self._recalled.pop(e.name, None)
        if met is None or met.boot_time != e.boot_time or e.state is not State.READY:
            return
        b.figure, b.ill = list(met.figures), met.ill
        b.listed = met.listed if self._tells else 0.0
        # What was too slow gets a trial, due at once, and no turn before it.
        b.held = [now if (f or 0.0) > t.slo else 0.0 for f, t in zip(b.figure, self._targets, strict=True)]

    # Events that belong to no API call.

    def start(self, now: float) -> None:
        self._earned_at = now
        if self._must_ask:
            self._ask(now)

    def _ask(self, now: float) -> None:
        self._asked_at = now
        self._port.directory(True)

    def take(self, now: float, ask: Ask) -> Call:
        """Take an API call; it gets exactly one final answer."""
        offer = self.offers[ask.product]
        work = 1.0
        if ask.cost:
            self._cost += TYPICAL * (ask.cost - self._cost) if self._cost else ask.cost
            work = ask.cost / self._cost
        room = LEAST_ROOM + (1 - LEAST_ROOM) * self._worth(offer) / max(map(self._worth, self.offers))
        if self._over_share(ask.customer):
            room *= LEAST_ROOM
        if self._tells:
            # Guards against clients that come again at once, many times, with little time left.
            left = (ask.until - now) / offer.target.slo
            room *= (LEAST_ROOM if ask.again else 1.0) * min(1.0, max(LEAST_LEFT, left))
        call = Call(self, now, ask, work, room)
        self._fresh += work
        self._budget = min(BUDGET_MAX, self._budget + BUDGET)
        part = TRIALS if self._trial_rate is None else self._trial_rate * (now - self._taken_at)
        self._trials = min(1.0, self._trials + min(TRIALS, part))
        self._taken = 1 + self._taken * max(0.0, 1 - (now - self._taken_at) / self._hold)
        self._taken_at = now
        self.place(now, call)
        return call

    def _worth(self, offer: Offer) -> float:
        """Billed value for the work that an API call takes, as far as known."""
        return offer.value if self._by_work else offer.value / (offer.target.typical or offer.target.slo)

    def listed(self, now: float, news: News, entries: list[Listing]) -> None:
        """The directory has spoken."""
        if news is News.FAILED:
            # Guards against a directory that turns away a crowd, works through it all the same, and meets it
            # again in step: each agent comes back at its own time, within a span in which the directory gets
            # through what was ahead of this call and as much again.
            # Of a crowd that it can't get through, each comes as late as an agent may go without asking.
            took = max(0.0, now - self._asked_at)
            span = max(self._ask_first, min(max(self._ask_wait, SPREAD * took), self._ask_most - took))
            self._port.wake(now + span * (1 + self._chance()) / 2, "ask")
            self._ask_wait = 2 * span
            return
        if news is not News.CACHED:
            self._ask_wait = self._ask_first
        for e in entries:
            b = self._backends.get(e.backend)
            if b is None:
                b = self._backends[e.backend] = Backend(e.backend, len(self._targets))
                self._remember(now, b, e)
                b.turn = self._clock
                if self._tells:
                    b.turn -= self._chance() * min(t.slo for t in self._targets) * FULL_AT
                b.credit = self._first_credit() if e.boot_time else 0.0
                b.since = e.boot_time
            elif e.boot_time > b.boot_time:
                if e.boot_time > b.since:
                    self._restarted(b)
                b.since, b.down = e.boot_time, False
            b.name, b.zone, b.cell = e.name, e.zone, e.cell
            weight = e.size or 1.0
            if self._tells and not 0 < weight < (self._mean * BEYOND or inf):
                weight = b.listed or 1.0  # guards against one wrong weight that would be the highest for good
            # Guards against a load that is taken for a size: homes and credit would wander with it.
            b.listed = max(b.listed, weight) if self._tells else weight
            b.load = b.listed / weight - 1
            b.state, b.boot_time = e.state, max(b.boot_time, e.boot_time)
        if news is not News.CHANGES:
            named = {e.backend for e in entries}
            for b in self._backends.values():
                if b.index not in named:
                    b.state = State.GONE
        for b in [b for b in self._backends.values() if b.state is State.GONE and not b.flight]:
            del self._backends[b.index]
        if news is not News.CACHED:
            self._recalled.clear()
            if self._dark:
                self._dark = False
                for b in self._backends.values():
                    if b.doubted:  # what it does not name has not changed
                        b.down, b.doubted, b.since = False, False, b.boot_time
        known = {b.index for b in self._ring if b.state is State.READY}
        self._ring = [b for b in self._ring if b.state is State.READY]
        for b in self._backends.values():
            if b.state is State.READY and b.index not in known:
                self._ring.insert(int(self._chance() * (len(self._ring) + 1)), b)
        self._mean = mean = sum(b.listed for b in self._ring) / len(self._ring) if self._ring else 1.0
        for b in self._ring:
            # Guards against a list of changes, whose few raw sizes would mix with shares of the mean.
            b.size = b.listed / mean
        if self._tells and self._ring:
            self._weigh(now, news)
        for t in self._targets:
            held = sorted((b for b in self._ring if b.held[t.index]), key=lambda b: b.figure[t.index] or 0.0)
            for b in held[: max(0, len(held) - int((1 - KEEP) * len(self._ring)))]:
                # Guards against a list that shrinks to the ejected: they'd get shots but no way back.
                b.held[t.index] = 0.0
        # Guards against agents that stay narrow on a fleet that grows: two shots for each ready backend,
        # shared among the agents, are not what chokes it.
        # Guards against a backend whose load is up to one or two agents.
        self._least_used = max(FEW if self._tells else 2, ceil(SHARED_BY * len(self._ring) / self._agents))
        self._least = FIRST_BOUND * max(1, len(self._ring)) / self._agents
        self._bound = max(self._least, self._bound)
        if self._dark:
            self._doubt(now, self._ring, True)
        self.pump(now)

    def _weigh(self, now: float, news: News) -> None:
        """What the list says of the fleet: how much it holds, how old that is, and the share to admit.

        Guards against hundreds of agents with a shot or two a second, each of which sees the fleet fill up
        only when it is full, while the list, late as it is, tells all of them.
        """
        loads = sorted(b.load for b in self._ring)
        middle = loads[
            len(loads) // 4 : -(len(loads) // 4) or None
        ]  # a few that hang say nothing of the fleet
        before, self._load = self._load, sum(middle) / len(middle)
        if news is News.CHANGES and self._listed_at:
            gap = now - self._listed_at
            self._gap += NEWEST * (gap - self._gap) if self._gap else gap
        self._listed_at = now
        # What a backend would hold by the time the next list comes if all were sent alike (Little): one that
        # holds less has room for the difference. Guards against all agents that rush to what was idle then.
        self._level = self._load * (1 + self._gap / (self._pace() or max(self._gap, 1.0)))
        self._by_list = self._agents > len(self._ring)
        if self._gap:
            # By the trend, half of the excess at a time: guards against a share that swings with late lists.
            excess = (2 * self._load - before - min(AIM * t.slo / t.base for t in self._targets)) / 2
            answered = self._gap / max(t.base for t in self._targets)  # by a core, alone, until the next list
            step = min(GROW, max(CUT, 1 - excess / answered))
            self._admit = min(1.0, max(LEAST_ADMIT, self._admit * step))

    def _restarted(self, b: Backend, left: float = inf) -> None:
        """What was known of the old process says nothing of the new one; credit no more than what is left of it.

        Guards against shots that found out that it stands, and that the first answer would make unspent.
        """
        b.figure = [None] * len(self._targets)
        b.held = [0.0] * len(self._targets)
        b.rest_until, b.refusals = 0.0, 0
        b.credit, b.stood = min(left, self._first_credit()), 0.0

    def _refused(self, now: float, b: Backend) -> None:
        """No process listens there: what comes from it next is a fresh one's, whatever the list says."""
        b.down, b.doubted, b.stood, b.refused_at = True, False, 0.0, now
        self._doubt(now, [o for o in self._ring if o.heard or o.down], False)

    def _doubt(self, now: float, known: list[Backend], by_list: bool) -> None:
        """Where most of what is known is down or cold, take what was never heard of for no better.

        Guards against a list from before a power loss, by which the rest of the fleet is warm. What an old
        list says counts until the registry speaks; refusals count beside its word: it learns late of a death.
        """
        if sum(self._is_cold(now, b) for b in known) >= max(FIRST_BOUND, KEEP * len(known)):
            for b in self._ring:
                if not b.heard and not self._is_cold(now, b):
                    b.down, b.doubted, b.refused_at = True, by_list, now

    def _first_credit(self) -> float:
        # Guards against agents that hear of a cold backend together, earn alike, and all send in one instant.
        return self._chance() - 0.5  # nothing in the mean

    def woke(self, now: float, mark: str) -> None:
        if mark == "ask":
            self._ask(now)
        elif mark == "look":
            if now >= self._looks_at:
                self._looks_at = inf
                self._sweep(now)

    # Where agents share what they have met; without, nothing of this is called.

    def evidence(self) -> list[tuple[Backend, float]]:
        """Each ready backend and its figure as a share of the first SLO; of one not met, what is usual."""
        t = self._targets[0]
        return [(b, (t.recent if b.figure[0] is None else b.figure[0]) / t.slo) for b in self._ring]

    def young(self, now: float) -> list[Backend]:
        """The ready backends that are cold by own word, the directory's being silent on it."""
        return [b for b in self._ring if self._is_cold(now, b) and (b.down or b.since > b.boot_time)]

    def used(self) -> set[int] | None:
        """The backends that this agent uses, as far as it uses only some; None: any may be next."""
        return None if self._warm_keys else {b.index for b in self._ring[: self._most()]}

    def shared(self, now: float, told: Shared) -> None:
        """What others' word makes of own figures: turns move, trials come sooner, nothing is ejected."""
        self._told_over, self._trial_rate = told.over, told.trials
        for b in self._ring:
            b.dearer = told.dearer.get(b.name, 1.0)
            stood = told.stood.get(b.name, inf)
            if stood < (inf if b.down else b.since if b.since > b.boot_time else 0.0):
                # Guards against a backend that this agent met late, or not yet, and would take for just started.
                if b.down:
                    self._restarted(b, b.credit)
                b.since, b.down, b.doubted = stood, False, False
            if b.name in told.due and b.trial is None:
                b.held = [min(h, now) for h in b.held]

    def avoided(self, now: float) -> int:
        """How many listed backends get no turn now: draining, at rest, silent, or ejected for every SLO."""
        least = min(t.slo for t in self._targets)
        return sum(
            b.state is State.DRAINING
            or now < b.rest_until
            or all(b.held)
            or (b.flight > 0 and now - b.silent_since > FULL_AT * least)
            for b in self._backends.values()
            if b.state is not State.GONE
        )

    def probed(self, now: float, backend: int, ending: Ending, latency: float, load: Load | None) -> None:
        """The outcome of a probe; this version sends none."""

    def heard(self, now: float, sender: int, message: bytes) -> None:
        """A word from another agent; this version sends none and heeds none."""

    # Placing a shot.

    def place(self, now: float, call: Call) -> None:
        """Send the API call on, put it in line, or answer it at once."""
        if not call.may_send(now) or (not call.offer.late_counts and now >= call.taken + call.target.slo):
            self.counts["late or used up"] += 1
            self.give_up(now, call)
            return
        b = self._choose(now, call)
        if b is not None:
            self._send(now, call, b)
            return
        why = "empty list" if not self._ring else "bound full" if self._full(now, call) else "no turn"
        self.counts[why] += 1
        refused = why == "bound full" and self._by_list  # a share has no room that a line could wait for
        if now < self._stands_until(call) and self._ring and call.only is None and not refused:
            self._wait(now, call)
        else:
            self.give_up(now, call)

    def give_up(self, now: float, call: Call) -> None:
        """Give the final answer: rate-limited where that is true, else errored."""
        if call.may_rate_limit() and now < call.until:
            self._port.rate_limit(call.token, min(RETRY_AFTER * call.target.slo, self._most_retry_after))
        else:
            self._port.error(call.token)
        self.finish(call, now)

    def finish(self, call: Call, now: float) -> None:
        """The API call is over; what is still out for it is called off."""
        if call.done:
            return
        call.done = True
        if not call.out:
            # Guards against one whose last shot ended before it stood in line: no ending would remove it.
            self.forget(call)
        if call.waiting:
            call.waiting = False
            self._line.remove(call)
        if not call.streaming:
            self.call_off(call)

    def call_off(self, call: Call, but: Shot | None = None) -> None:
        """Call off what is still out."""
        if self._may_cancel:
            for s in call.shots:
                if s.out and not s.called_off and s is not but:
                    s.called_off = True
                    self._port.cancel(call.token, s.number)

    def forget(self, call: Call) -> None:
        self._live.pop(call, None)

    def spend(self) -> bool:
        """Take one further shot out of the budget; none while shots are slow in general."""
        if self._budget < 1 or self._fullness > FULL_SHARE / 2:
            return False
        self._budget -= 1
        return True

    def _wait(self, now: float, call: Call) -> None:
        """Put the API call in line, behind those at least as dear for their work.

        The line is never longer than what the API calls out now make room for within the patience, so that
        most waits end in an answer. Guards against calls held only to be turned away.
        """
        call.waiting = True
        insort(self._line, call, key=lambda c: -c.room)
        pace = self._pace() or call.target.slo
        if len(self._line) > max(1.0, self._flight * PATIENCE * call.target.slo / pace):
            self.give_up(now, self._line[-1])
        self._watch(now, inf)

    def pump(self, now: float) -> None:
        """Place what stands in line, dearest first, until one finds no room."""
        while self._line:
            call = self._line[0]
            b = self._choose(now, call) if call.may_send(now) else None
            if b is None:
                return
            call.waiting = False
            del self._line[0]
            self._send(now, call, b)

    def _expire(self, now: float) -> None:
        """Answer what has stood in line too long."""
        for call in [c for c in self._line if now >= self._stands_until(c) or not c.may_send(now)]:
            self.give_up(now, call)

    def _stands_until(self, call: Call) -> float:
        # Guards against a client timeout that falls between two looks at the line.
        return min(call.taken + PATIENCE * call.target.slo, call.until - 2 * self._look)

    def _choose(self, now: float, call: Call) -> Backend | None:
        """The next turn in the pool of the API call's SLO."""
        t = call.target.index
        if call.only is not None:
            # It was chosen when the first of it went ahead: no room is found elsewhere, nor asked for again.
            return next((b for b in self._ring if call.may_use(b)), None)
        if self._full(now, call):
            return None
        tried = {s.backend for s in call.shots}
        usable = [b for b in self._ring if call.may_use(b)] if tried else self._ring
        if tried and any(b not in tried for b in usable):
            usable = [b for b in usable if b not in tried]
        pool = [b for b in usable if not b.held[t]]
        if self._trials >= 1 and call.offer.kind is not Kind.NON_IDEMPOTENT and not call.shots:
            for b in usable:
                if b.held[t] and now >= b.held[t] and b.trial is None and self._has_credit(now, b, call):
                    return b
        self._earn(now)
        pool = pool or usable
        if self._warm_keys and call.key is not None:
            homes = self._homes(pool, call.key)
            calm = max(self._level, CALM)
            b = self._turn(now, call, homes[:1] if homes and homes[0].load <= calm else homes)
            if b is not None:
                return b
        awake = [b for b in pool if now >= b.rest_until]
        most = self._most()
        used = awake[:most]
        if self._tells and most < len(self._ring):
            first = set(self._ring[:most])
            used = [b for b in awake if b in first]
        if len(used) < 2:
            # Guards against a set that ejection and rest empty; while two are left, no new connection.
            used = awake[: self._least_used]
        if len(used) < len(awake) and now >= self._exchange_at:
            self._exchange_at = now + self._hold * EXCHANGE
            worst = max(used, key=lambda b: b.figure[t] or 0.0)
            if (worst.figure[t] or 0.0) > sum(b.figure[t] or 0.0 for b in used) / len(used):
                # House custom: one is exchanged now and then, here the slowest for the next in order.
                self._ring.remove(worst)
                self._ring.append(worst)
        return self._turn(now, call, used)

    def _most(self) -> int:
        """How many backends this agent uses."""
        most = max(self._least_used, int(FRESH * self._taken))
        return max(2, ceil(CLOSER * most)) if self._bare else most

    def ahead(self, now: float, product: int) -> int | None:
        """The backend that a request too long to be kept goes ahead to; its last byte makes it a shot."""
        call = Call(self, now, Ask(None, product, inf), 1.0, 1.0)
        t = call.target.index
        self._earn(now)
        b = self._turn(now, call, [b for b in self._ring if not b.held[t]] or self._ring)
        if b is None:
            return None
        b.turn = max(b.turn, self._clock) + self._usual(b, call.target) / b.size
        return b.index

    def _full(self, now: float, call: Call) -> bool:
        """If the bound in flight leaves no room for a shot of this API call now."""
        if self._tells and self._load < 1 and self._fullness <= FULL_SHARE:
            return False
        if self._by_list:
            # Guards against lists that run far behind: what they say counts beside slow shots of its own.
            felt = self._fullness > FULL_SHARE / 2
            return felt and self._admit < 1 and self._chance() >= self._admit ** (1 / call.room)
        # Room is kept for the dearest only as far as shots are slow: with all in time, all may fill it.
        kept = (1 - call.room) * min(1.0, self._fullness / FULL_SHARE)
        bound = self._bound * (1 - kept)
        return self._flight >= max(1.0, bound) or (bound < 1 and now < self._sent_at + self._pace() / bound)

    def _homes(self, pool: list[Backend], key: int) -> list[Backend]:
        """The backends of the pool that a key is at home at, the same at all agents, by size."""

        def rank(b: Backend) -> float:
            return log((crc32(b"%d:%d" % (b.name, key)) * 2654435761 % 2**32 + 1) / 2**32) / b.size

        return nlargest(HOMES, pool, key=rank)

    def _turn(self, now: float, call: Call, among: list[Backend]) -> Backend | None:
        """The next turn among these backends, one that is crowded only if all are."""
        best = None
        crowd = CROWDED * self._flight / max(1, len(self._ring))
        for b in among:
            silent = b.flight and now - b.silent_since > FULL_AT * call.target.slo
            if silent or now < b.rest_until or not self._has_credit(now, b, call):
                continue
            if b.flight > crowd * b.size:
                rank = (1, b.flight / b.size)
            else:
                rank = (0, self._due(now, b, call))
            if best is None or rank < best[0]:
                best = (rank, b)
        return best[1] if best else None

    def _send(self, now: float, call: Call, b: Backend) -> None:
        t = call.target.index
        shot = Shot(len(call.shots), b, now)
        if b.held[t] and now >= b.held[t] and b.trial is None:
            b.trial = shot
            shot.trial = True
            self._trials -= 1
        call.shots.append(shot)
        call.out += 1
        if not b.flight:
            b.silent_since = now
        b.flight += 1
        self._flight += 1
        self._sent_at = now
        self._peak = max(self._peak, self._flight)
        if self._tells:
            self._clock = b.turn = self._due(now, b, call)
        else:
            use = self._use(now, b, call)
            self._clock = max(self._clock, min(b.turn, self._clock + use))
            b.turn = max(b.turn, self._clock) + use
        if self._is_cold(now, b):
            self.counts["cold shots"] += 1
            b.credit -= call.work
        else:
            b.sent += call.work
        self._live[call] = None
        self._watch(now, now + LATE_AT * call.target.slo)
        self._port.send(call.token, b.index, call.until)

    def _use(self, now: float, b: Backend, call: Call) -> float:
        """What a turn there costs."""
        usual = call.target.base if self._warm_keys and self._tells else self._usual(b, call.target)
        if self._tells and self._level:
            usual /= max(FLOOR, 1 - b.load / self._level)
        return call.work * usual / (b.size * self._ramp(now, b))

    def _due(self, now: float, b: Backend, call: Call) -> float:
        """When its turn is due. Where the load is told, that follows what a turn costs by now."""
        return max(self._clock, b.turn + self._use(now, b, call)) if self._tells else b.turn

    def _usual(self, b: Backend, target: Target) -> float:
        """How long a shot takes there, in ms: what its turn costs, so that time in use rotates evenly.

        Guards against many agents with a shot or two out each: none sees by its own shots in flight that a
        slow backend holds more than others, and even counts would drive it to the edge of its SLO.
        """
        figure = b.figure[target.index]
        return b.dearer * (target.recent if figure is None else max(figure, target.recent / MOST_SHARE))

    # Cold backends.

    def _is_cold(self, now: float, b: Backend) -> bool:
        return b.down or b.since > 0 and now < b.since + self._cold

    def _capacity(self, now: float, b: Backend) -> float:
        """The part of its capacity that a backend surely has by now."""
        age = 0.0 if b.down else max(0.0, now - b.since)
        return min(1.0, self._start + (1 - self._start) * age / self._cold)

    def _ramp(self, now: float, b: Backend) -> float:
        """A fresh or returning backend counts for less in the choice, by its age."""
        ramp = self._capacity(now, b) if self._is_cold(now, b) else 1.0
        if b.back_at and now < b.back_at + self._hold:
            ramp *= max(self._start, (now - b.back_at) / self._hold)
        return ramp

    def _earn(self, now: float) -> None:
        """Credit cold backends with their part of what a warm one is sent.

        Guards against pushing over a backend that has just started: summed over agents, what the backend gets
        stays in proportion, since each agent gives out only a part of what it itself sends a warm one.
        """
        passed = now - self._earned_at
        if passed < self.step:
            return
        self._earned_at = now
        keep = max(0.0, 1 - passed / self._fall)
        self._asked, self._asked_for = self._asked * keep + self._fresh, self._asked_for * keep + passed
        self._fresh = 0.0
        warm = [b for b in self._ring if not self._is_cold(now, b)]
        if warm:
            size = sum(b.size for b in warm)
            sent = sum(b.sent for b in warm) / size
            for b in warm:
                b.sent = 0.0
            rate = self._rate * keep + (1 - keep) * sent / passed
            # Falls slowly: guards against losing the rate, and with it all credit, while the warm ones fail.
            self._rate = max(rate, self._rate * (1 - passed / self._cold))
        few = self._tells or len(warm) < KEEP * len(self._ring)
        rate = self._rate * (self._when_few if few else 1.0)
        self._bare = len(warm) < KEEP**2 * len(self._ring)
        self._lanes = self._lanes if self._bare else FIRST_BOUND
        earns = self._shares(now, passed) if self._bare else None
        for b in earns or self._ring:
            if self._is_cold(now, b):
                earned = earns[b] if earns else rate * b.size * self._capacity(now, b)
                # Guards against agents that have all saved up by the time that it stands again.
                most = AHEAD if b.down and earns else max(earned * self._fall / 2, 1.0)
                b.credit = min(most, b.credit + earned * passed)

    def _shares(self, now: float, passed: float) -> dict[Backend, float]:
        """What each backend that this agent uses earns a ms while no warm one tells what one is sent.

        That is its part of what this agent is asked, and so over all agents; a quick one's is larger.
        """
        used, t = self._ring[: self._most()], self._targets[0]
        pace = {b: b.size / self._usual(b, t) for b in used}
        asked, paces, sizes = self._asked / self._asked_for, sum(pace.values()), sum(b.size for b in used)
        # Guards against the first to be listed, which would get all that is asked: by Little's law none gets
        # more than `lanes` shots in flight, of all agents, until the fleet is seen to hold them.
        grown, slow = 1 + WIDEN * passed / self._fall, self._fullness / FULL_SHARE
        self._lanes *= grown if slow < 0.5 else 1 / grown if slow > 1 else 1.0
        self._lanes = max(FIRST_BOUND, min(BEYOND, self._lanes))
        # Guards against credit by the mean for an agent that is asked now and then: half of it would lapse. It sends no more
        # than it is asked, so what all send stays under that; and none of this counts before the fleet is seen to hold it.
        asked *= max(1.0, min(1 + RARE / (1 + asked * self._fall), self._lanes / FIRST_BOUND))
        by_all, earns = self._agents * len(used) / max(1, len(self._ring)), {}
        for b in used:
            # What has answered nothing as it is now may be the slowest there is.
            part, met = self._capacity(now, b), b.figure[0] is not None and not b.down
            took = self._usual(b, t) / (part if b.figure[0] is None else 1.0)
            share = min(pace[b] / paces, MOST_EARNS * b.size / sizes) * (self._when_few if met else 1.0)
            earns[b] = min(asked * share * part, self._lanes * b.size / (took * by_all))
        return earns

    def _has_credit(self, now: float, b: Backend, call: Call) -> bool:
        # Where what each agent earns of each backend is a shot in half a minute, half a shot ahead lets all
        # of them together send what they earn, from the first moment on.
        return not self._is_cold(now, b) or b.credit + (AHEAD if self._bare else 0.0) >= call.work

    # Learning from what came back.

    def landed(
        self, now: float, call: Call, shot: Shot, ending: Ending, latency: float, load: Load | None
    ) -> None:
        """Book the end of a shot."""
        b = shot.backend
        b.flight -= 1
        self._flight -= not shot.lost
        target = call.target
        failed = ending is not Ending.FULFILLED
        if shot.trial:
            b.trial = None
        if ending is Ending.REFUSED:
            # Its credit is spent: guards against agents that have all saved it up by the time it is back.
            self._refused(now, b)
        elif ending not in NO_SIGN:
            b.heard = True
            if b.down:
                b.down, b.since = False, shot.sent
                self._restarted(b, b.credit)
            b.stood = b.stood or shot.sent
        if ending in (Ending.UNSENT, Ending.CANCELLED) or (shot.overdue and failed) or shot.called_off:
            if shot.trial and b.held[target.index]:
                b.held[target.index] = now + (self._hold if shot.overdue else 0.0)
            return
        b.ill += TYPICAL * ((ending in SPOILT) - b.ill)
        if not failed:
            target.typical += TYPICAL * (latency - target.typical) if target.typical else latency
            target.recent += SOON * (latency - target.recent)
            if shot.load < 1 and self._tells:
                target.base += SOON * (min(latency, target.slo) - target.base)
            target.ease = min(target.ease * (1 + TYPICAL**2), target.recent)
        if not shot.overdue:
            self._sample(now, call, shot, ending, latency)
        if load is not None and load.in_flight is not None:
            # A report spots extremes and ranks nothing: agents that rank by late reports herd.
            crowd = load.in_flight / b.size
            self._crowd += TYPICAL * (crowd - self._crowd) if self._crowd else crowd
            # Guards against counts of one or two, which stray to twice their mean by chance and would rest
            # the fastest backends of a fleet that has little out.
            if crowd > self._crowd + max((LOADED - 1) * self._crowd, STRAY * sqrt(self._crowd / b.size)):
                # As long as what is over the mean takes to be worked off.
                b.rest_until = max(b.rest_until, now + (crowd / self._crowd - 1) * target.typical)
        if not failed:
            b.silent_since = now
            b.refusals = 0
        elif latency < target.typical:
            # Guards against a backend that fails at once and, always idle, would draw every turn.
            b.rest_until = now + min(self._hold, target.typical * 2**b.refusals)
            b.refusals += 1

    def broke(self, now: float, call: Call, shot: Shot) -> None:
        """A shot broke whose answer had begun and was booked."""
        shot.backend.ill += TYPICAL * (1 - shot.backend.ill)
        self._sample(now, call, shot, Ending.RESET, 0.0)

    def _sample(self, now: float, call: Call, shot: Shot, ending: Ending, latency: float) -> None:
        """One sample for the backend's figure of every SLO, scaled to what each SLO's API calls usually take.

        Guards against agents with little traffic that would learn of a slow backend once for each product.
        """
        b, own, failed = shot.backend, call.target, ending is not Ending.FULFILLED
        b.met_at = now
        # Guards against a wave of cold backends, slow by their age, that would narrow what the warm ones get.
        # But with hardly a warm one left it is the cold that tell, each by what it would have taken warm.
        cold = self._is_cold(now, b)
        aged = self._capacity(now, b) if cold else 1.0
        tells = (not cold or self._bare) and ending not in CUT_OFF and ending not in SPOILT
        if tells and not shot.lost and not b.held[own.index]:
            self._learn_bound(now, failed or own.slow(latency * aged))
        latency /= max(1.0, call.work)  # guards against a long API call that ejects a sound backend
        for t in self._targets:
            scale = t.typical / own.typical if own.typical and t.typical else t.slo / own.slo
            sample = MISS * t.slo if failed else min(MISS * t.slo, latency * scale)
            i = t.index
            old = b.figure[i]
            if b.held[i]:
                if not shot.trial:
                    continue
                if sample <= t.slo:
                    b.held[i] = 0.0
                    b.figure[i] = sample
                    b.back_at = now
                    b.turn = self._clock  # what it stood at was counted by what it took before
                    self._port.log(f"backend {b.index} restored for SLO {t.slo:.0f} ms")
                else:
                    b.held[i] = now + self._hold
                continue
            figure = b.figure[i] = sample if old is None and not failed else self._mix(old, t, sample)
            if not t.given:
                figures = sorted(f for o in self._ring if (f := o.figure[i]) is not None) or [figure]
                t.slo = DEFAULT_SLO * figures[len(figures) // 2]
            if figure > t.slo:
                self._eject(now, b, t, ending in SPOILT)

    def _learn_bound(self, now: float, slow: bool) -> None:
        """The agent's bound on all its shots: widen while answers come well in time, narrow when they don't.

        Guards against many agents with a shot or two each on every backend, where no backend's own bound can
        get low enough: together they would still choke the fleet.
        """
        # Counted by how many are late and not by how much, so that a few long ones don't narrow it.
        # An agent with a shot or two a second must not need twenty of them to see that the fleet is full.
        weight = min(SUDDEN, max(SOON, (now - self._felt_at) / self._span))
        self._felt_at = now
        self._fullness += weight * (slow - self._fullness)
        if self._fullness > FULL_SHARE:
            if now >= self._narrowed_at + self._pace():
                self._narrowed_at = now
                excess = self._fullness - FULL_SHARE
                self._bound = min(self._bound, self._peak) * (1 - NARROW * excess)
                self._peak = self._flight
        elif self._tells and self._flight > self._bound:
            self._bound = self._flight
        elif self._flight + 1 >= self._bound * (1 - LEAST_ROOM):
            self._bound += min(self._bound, 1 / self._bound)
        self._bound = max(self._least, self._bound)

    def _pace(self) -> float:
        """What the slowest product usually takes, 0 = none seen."""
        return max(t.typical for t in self._targets)

    def _mix(self, old: float | None, t: Target, sample: float) -> float:
        if old is None:
            others = [f for o in self._ring if (f := o.figure[t.index]) is not None]
            old = sum(others) / len(others) if others else 0.0
        return old + NEWEST * (sample - old)

    def _eject(self, now: float, b: Backend, t: Target, spoilt: bool) -> None:
        """Take a backend out of a pool, unless too few would be left: then the cause is not the backend."""
        i = t.index
        ready = len(self._ring)
        left = [o.figure[i] for o in self._ring if not o.held[i] and o is not b]
        known = sorted(f for f in left if f is not None)
        usual = known[len(known) // 2] if known else 0.0
        # Guards against breaks and spoilt answers that come from any backend alike, and in runs by chance.
        ill = sum(o.ill for o in self._ring if o is not b) / max(1, ready - 1)
        alike = spoilt and b.ill < STANDS_OUT * ill
        if alike or len(left) < KEEP * ready or not left or (b.figure[i] or 0.0) < STANDS_OUT * usual:
            # Guards against a shared slowdown that empties the pool and floods the few that are left.
            b.figure[i] = min(b.figure[i] or 0.0, MISS * t.slo)
            return
        b.held[i] = now + self._hold
        self._port.log(f"backend {b.index} ejected for SLO {t.slo:.0f} ms at {b.figure[i]:.0f} ms")

    # Looking at what is out.

    def _watch(self, now: float, due: float) -> None:
        """Be woken when that is due, or soon while a line stands, whose room comes at no known time."""
        if self._line:
            due = min(due, now + self._look)
        if due < self._looks_at:
            self._looks_at = due
            self._port.wake(due, "look")

    def _sweep(self, now: float) -> None:
        for call in list(self._live):
            slo = call.target.slo
            for shot in call.shots:
                if shot.out and not shot.overdue and now >= shot.sent + slo:
                    # Guards against backends that take work and answer nothing: evidence before it ends.
                    shot.overdue = True
                    b, usual = shot.backend, shot.backend.figure[call.target.index] or 0.0
                    # Where the list tells what is held, silence says that a backend hangs or is cut off,
                    # not that too much is out. Guards against an idle fleet refused for want of room.
                    shot.lost = self._tells and not self._by_list and b.silent_since <= shot.sent
                    self._flight -= shot.lost
                    if b.silent_since <= shot.sent and now - shot.sent > SILENT * usual:
                        # Nothing at all came back since, nor ever takes as long: one such shot says enough.
                        b.figure = [MISS * t.slo for t in self._targets]
                    self._sample(now, call, shot, Ending.TIMED_OUT, now - shot.sent)
            if not call.done and call.out == 1:
                self._second(now, call)
        self._expire(now)
        self.pump(now)
        due = inf
        for call in self._live:
            for shot in call.shots:
                if shot.out and not shot.overdue:
                    late = shot.sent + LATE_AT * call.target.slo
                    # A copy that found no room or no budget yet may find it until the SLO.
                    due = min(
                        due, late if now < late else shot.sent + call.target.slo, max(late, now + self._look)
                    )
        self._watch(now, due)

    def _second(self, now: float, call: Call) -> None:
        """Send a copy beside a late shot, or call the shot off to send another."""
        last = call.shots[-1]
        if last.called_off or call.streaming or call.offer.kind is Kind.NON_IDEMPOTENT:
            return
        if now < last.sent + LATE_AT * call.target.slo:
            return
        if now >= call.taken + call.target.slo or len(call.shots) >= self.max_shots:
            return
        if self.copies:
            b = self._choose(now, call) if call.may_send(now) else None
            if b is not None and b is not last.backend and self.spend():
                self._send(now, call, b)
        elif self._may_cancel and call.offer.kind is Kind.IDEMPOTENT and self.spend():
            last.called_off = True
            self._port.cancel(call.token, last.number)

    def _over_share(self, customer: int) -> bool:
        """If this customer has asked this agent for more than its share of what the agent was asked."""
        if not self._fractions:
            return False
        if self._told_over is not None:
            return customer in self._told_over
        for i, fraction in enumerate(self._fractions):
            self._over[i] = max(0.0, self._over[i] - fraction)
        self._over[customer] = min(BUDGET_MAX * 2, self._over[customer] + 1)
        return self._over[customer] > BUDGET_MAX

    def _chance(self) -> float:
        self._drawn += 1
        # The product takes apart what neighbouring seeds and counters have in common in a CRC.
        return crc32(f"{self._seed}:{self._drawn}".encode()) * 2654435761 % 2**32 / 2**32
