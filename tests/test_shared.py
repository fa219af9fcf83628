"""Shared state of agents: merges, bounds, and every history of a small instance of lending.

Without sockets.
"""

from random import Random

import pytest
from helpers import OK, READY, Bench, Peer, Site, says, settings, target
from helpers import run as on_loop
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lupinreach.bed.world.random_streams import random_stream
from lupinreach.fleet import counts as counting
from lupinreach.fleet import grants, wire
from lupinreach.fleet import uptimes as uptimes_module
from lupinreach.fleet.counts import MAX_CELLS, Count, Counts, cells
from lupinreach.fleet.grants import DRIFT, Budget
from lupinreach.fleet.incarnation import Incarnation
from lupinreach.fleet.observations import (
    MAX_AFFECTED_SHARE,
    MAX_COST_FACTOR,
    MAX_RELATIVE_LATENCY,
    MAX_REPORTERS,
    QUORUM,
    Observation,
    Observations,
    boot_hash,
    max_diverted_share,
)
from lupinreach.fleet.uptimes import Uptime, Uptimes, earliest_up_since
from lupinreach.fleet.wire import BORROW, UPDATE, Message
from lupinreach.model import Listing, SharedEstimates, UpdateKind
from lupinreach.trial.models.lending import LEASE, TOLERANCE, TOTAL, LendingModel
from lupinreach.trial.models.search import search

# Uptimes of cold backends by the reports of others.

ROWS = st.lists(
    st.builds(Uptime, st.integers(1, 6), st.integers(0, 3), st.floats(0, 30_000), st.floats(0, 30_000)),
    max_size=12,
)


def uptimes() -> Uptimes:
    return Uptimes(0, 20_000.0, Random(1).random)


@hypothesis_settings(max_examples=150, deadline=None)
@given(ROWS, st.randoms(use_true_random=False), st.floats(0, 20_000), st.floats(0, 20_000))
def test_reported_uptime_never_exceeds_what_this_agent_can_know(said, chance, began, refused_at):
    now = 25_000.0
    once, again = uptimes(), uptimes()
    for one, rows in ((once, said), (again, chance.sample(said * 2, 2 * len(said)))):
        for row in rows:
            one.receive(now, [row])
    for one in (once, again):
        found = one.since(began, dict.fromkeys(range(4), refused_at))
        assert all(since >= earliest_up_since(began, refused_at) for since in found.values())
        for backend in found:  # needs two reporters with an answer after this agent's last refusal
            assert (
                len(
                    {
                        r.reporter
                        for r in said
                        if r.backend == backend and now - r.last > earliest_up_since(began, refused_at)
                    }
                )
                >= 2
            )
    assert len(once) <= 4 * (uptimes_module.MIN_REPORTERS + 1)


def test_second_longest_uptime_counts_and_only_answers_after_a_refusal():
    one = uptimes()
    one.receive(
        10_000.0, [Uptime(1, 7, 6000.0, 100.0), Uptime(2, 7, 4000.0, 100.0), Uptime(3, 7, 2000.0, 100.0)]
    )
    assert one.since(0.0, {7: 0.0}) == {7: 6000.0}
    assert one.since(9000.0, {7: 0.0}) == {7: 9000.0}  # an agent that started then can't know better
    assert one.since(0.0, {7: 9950.0}) == {}  # refused after their last answers
    one.receive(12_000.0, [Uptime(1, 7, 8000.0, 2100.0)])  # late, and older than the row before
    assert one.since(0.0, {7: 0.0}) == {7: 6000.0}
    one.expire(29_850.0, [7])
    assert one.since(0.0, {7: 0.0}) == {7: 6000.0} and not one.since(0.0, {7: 10_000.0})
    one.expire(29_950.0, [7])
    assert len(one) == 0  # rows last as long as backends are cold


def test_reported_uptime_warms_an_unknown_backend_but_does_not_override_the_list():
    bench = Bench(settings(cold=20_000.0))
    bench.list(UpdateKind.CACHED, [Listing(i, READY, 0.0) for i in range(4)])
    for b in bench.agent._ready:
        bench.agent._mark_down(bench.now, b)
    bench.move(10_000)
    here = bench.agent._ready[0]
    assert bench.agent._capacity(bench.now, here) == pytest.approx(
        0.2
    ) and here in bench.agent.recently_started(bench.now)
    bench.agent.apply_shared(bench.now, SharedEstimates({}, up_since={here.name: bench.now - 10_000}))
    assert bench.agent._capacity(bench.now, here) == pytest.approx(0.6) and not here.down
    bench.agent.apply_shared(
        bench.now, SharedEstimates({}, up_since={here.name: bench.now - 5_000})
    )  # a shorter uptime has no effect
    assert bench.agent._capacity(bench.now, here) == pytest.approx(0.6)
    bench.list(UpdateKind.FULL, [Listing(i, READY, bench.now - 1000) for i in range(4)])
    bench.agent.apply_shared(bench.now, SharedEstimates({}, up_since={here.name: bench.now - 15_000}))
    assert bench.agent._capacity(bench.now, here) == pytest.approx(
        0.24
    ) and here not in bench.agent.recently_started(bench.now)


# Lending: every history of three agents with lost, duplicated and late messages.


def test_no_history_exceeds_the_total_or_leaves_an_agent_below_its_unlent_share():
    found = search(LendingModel())
    assert found.ok and found.states > 10_000


class LeaseFromReceipt(Budget):
    """Injected fault: the borrower's lease starts with the answer."""

    def granted(self, now, number, amount):
        self._asked[number] = now if number in self._asked else -1e9
        return super().granted(now, number, amount)


class ForgetsLentShare(Budget):
    """Injected fault: a new incarnation uses its whole share at once."""

    def __init__(self, now, total, agents, lease, first=False):
        super().__init__(now, total, agents, lease, True)


class LongBorrowerLease(Budget):
    """Injected fault: the borrower's lease is longer than the owner's."""

    def __init__(self, *given, **more):
        super().__init__(*given, **more)
        self._borrow_for = self._lease * 1.5  # as with a slow clock, or a wall clock that was set back


class LendsWholeShare(Budget):
    """Injected fault: lends whatever is requested."""

    def lendable(self, now):
        return 10 * self.own

    def grant(self, now, peer, life, number, wants, spare):
        return super().grant(now, peer, life, number, wants, 10 * self.own)


@pytest.mark.parametrize("of", [LeaseFromReceipt, ForgetsLentShare, LongBorrowerLease, LendsWholeShare])
def test_search_finds_each_injected_fault(of):
    trace = search(LendingModel(of)).trace
    assert trace is not None and len(trace) <= 12, trace


@hypothesis_settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 10_000), st.integers(2, 12))
def test_lending_among_more_agents_keeps_its_bounds_under_random_faults(seed, agents):
    chance, now = Random(seed), 0.0
    rates = [1 + chance.choice((-1, 0, 1)) * DRIFT for _ in range(agents)]
    all_of = [Budget(0.0, TOTAL, agents, LEASE, True) for _ in range(agents)]
    lives, messages = [1] * agents, []
    for number in range(300):
        now += chance.random() * LEASE / 10
        n = chance.randrange(agents)
        mine = now * rates[n]
        if chance.random() < 0.05:
            all_of[n], lives[n] = Budget(mine, TOTAL, agents, LEASE), lives[n] + 1
        all_of[n].ask(mine, number)
        messages.append(("want", n, lives[n], chance.randrange(agents), number, 0.0))
        for message in [w for w in messages if chance.random() < 0.4]:
            if chance.random() < 0.7:
                messages.remove(message)  # otherwise it is delivered again
            kind, by, life, to, about, amount = message
            if by == to:
                continue
            there = now * rates[to]
            if kind == "want" and (
                got := all_of[to].grant(there, by, life, about, 1.0, all_of[to].usable(there))
            ):
                messages.append(("grant", to, life, by, about, got))
            elif kind == "grant" and life == lives[to]:
                all_of[to].granted(there, about, amount)
        uses = [b.usable(now * r) for b, r in zip(all_of, rates, strict=True)]
        assert (
            sum(uses) <= grants.upper_bound(TOTAL, agents) + TOLERANCE
            and min(uses) >= grants.lower_bound(TOTAL) / agents - TOLERANCE
        )


# Observations.


def observation(reporter, backend=7, figure=2.0, age=0.0, zone=0):
    return Observation(reporter, zone, backend, 1, figure, age)


def table(me=0, zone=0):
    return Observations(me, zone, 500.0, lambda draws=random_stream(me, "evidence"): float(draws.random()))


rows = st.lists(
    st.builds(
        observation,
        st.integers(0, 9),
        st.integers(1, 4),
        st.floats(-1, 9),
        st.floats(-10, 4000),
        st.integers(0, 1),
    ),
    max_size=30,
)


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
@given(rows, st.randoms(use_true_random=False))
def test_duplicated_or_reordered_rows_change_nothing(said, chance):
    one, two = table(), table()
    one.receive(10_000.0, said)
    twice = said * 2
    chance.shuffle(twice)
    for row in twice:
        two.receive(10_000.0, [row])
    own = {(b, 1): (0.5, 0.0) for b in range(1, 5)}
    # Only while all rows are kept: with more reporters than `MAX_REPORTERS` the newest rows are.
    if all(len({r.reporter for r in said if r.backend == b}) <= MAX_REPORTERS for b in range(1, 5)) and len(
        {(r.reporter, r.backend, r.age) for r in said}
    ) == len(said):
        assert one.estimates(10_000.0, own) == two.estimates(10_000.0, own)


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
@given(rows, st.integers(1, 40))
def test_cost_factors_are_bounded_in_number_and_size_whatever_is_reported(said, ready):
    here = table()
    here.receive(10_000.0, said)
    own = {(b, 1): (0.3, 0.0) for b in range(1, ready + 1)}
    factors = here.cost_factors(10_000.0, own)
    assert len(factors) <= MAX_AFFECTED_SHARE * ready and all(
        1 <= f <= MAX_COST_FACTOR for f in factors.values()
    )
    assert sum(1 - 1 / f for f in factors.values()) / ready <= max_diverted_share() + TOLERANCE
    assert here.rejected == sum(
        not 0 <= r.relative_latency <= MAX_RELATIVE_LATENCY or r.age < 0 for r in said
    )


def test_quorum_of_the_own_zone_with_later_observations_raises_a_cost_factor_that_differs_by_agent():
    factors = []
    for me in range(20, 40):
        here = table(me)
        own = {(b, 1): (0.25, 5000.0) for b in range(8)}
        here.receive(9000.0, [observation(n) for n in range(QUORUM - 1)])
        assert here.cost_factors(9000.0, own) == {}
        here.receive(9000.0, [observation(5, zone=1)])
        assert here.cost_factors(9000.0, own) == {}  # observations of another zone don't count
        here.receive(9000.0, [observation(6)])
        factors.append(here.cost_factors(9000.0, own)[7, 1])
        assert (
            here.cost_factors(9000.0, own | {(7, 1): (0.25, 9500.0)}) == {}
        )  # newer own samples take precedence
        assert here.cost_factors(9000.0 + here.max_age / 2, own)[7, 1] < factors[-1]
        assert here.cost_factors(9000.0 + here.max_age, own) == {}
    assert (
        1 + (MAX_COST_FACTOR - 1) / 2 <= min(factors) < max(factors) <= MAX_COST_FACTOR
        and len(set(factors)) == 20
    )


def test_a_third_of_liars_has_no_effect_where_the_others_observe_the_backend_too():
    here = table()
    here.receive(
        9000.0,
        [observation(n, figure=4.0) for n in (1, 2)] + [observation(n, figure=0.25) for n in (3, 4, 5, 6)],
    )
    assert here.cost_factors(9000.0, {(7, 1): (0.25, 0.0), **{(b, 1): (0.2, 0.0) for b in range(3)}}) == {}


def test_agent_that_finds_most_backends_slow_suspects_itself_and_reports_nothing():
    reported = [observation(0, b, 2.0 if b < 6 else 0.2) for b in range(10)]
    here = table()
    here.record_own(1000.0, reported)
    assert len(here) == 0
    here.record_own(1000.0, [observation(0, b, 2.0 if b < 2 else 0.2) for b in range(10)])
    assert {m.backend for m in here.digest(1000.0, 10)} == {0, 1}
    here.record_own(2000.0, [observation(0, b, 0.2) for b in range(10)])  # and withdraws its reports
    assert {(m.backend, m.relative_latency) for m in here.digest(2000.0, 10)} == {(0, 0.2), (1, 0.2)}


def test_reports_of_others_eject_nothing_and_bring_a_trial_forward():
    bench = Bench(settings(), backends=4)
    for n in range(12):
        bench.serve(("warm", n))
    before = [list(b.ejected_until) for b, _ in bench.agent.relative_latencies()]
    name = next(b.name for b, _ in bench.agent.relative_latencies())
    bench.agent.apply_shared(bench.now, SharedEstimates({name: 4.0}))
    assert [list(b.ejected_until) for b, _ in bench.agent.relative_latencies()] == before == [[0.0]] * 4
    b = next(b for b, _ in bench.agent.relative_latencies())
    b.ejected_until = [bench.now + 1e6]
    bench.agent.apply_shared(bench.now, SharedEstimates({}, frozenset((b.name,))))
    assert b.ejected_until == [bench.now] and all(
        o.cost_factor == 1 for o, _ in bench.agent.relative_latencies()
    )


def test_backend_with_a_cost_factor_gets_fewer_turns_but_some():
    bench = Bench(settings(), backends=4)
    for n in range(20):
        bench.serve(("warm", n))
    costly = bench.agent.relative_latencies()[0][0]
    bench.agent.apply_shared(bench.now, SharedEstimates({costly.name: 4.0}))
    # Backends of this bench share one name, so the factor is set on one of them here.
    for n, (b, _) in enumerate(bench.agent.relative_latencies()):
        b.cost_factor = 4.0 if n == 0 else 1.0
    got = [bench.serve(("then", n)) for n in range(200)]
    assert 5 <= sum(index == costly.index for index in got) <= 35


def test_idle_connections_to_unused_backends_are_closed():
    async def work():
        async with Peer(says(OK)) as one, Peer(says(OK)) as two:
            async with Site(target("s1", one.address), target("s2", two.address)) as site:
                pool, places = site.agent.pool, [site.agent.directory.place(n) for n in (0, 1)]
                for place in places:
                    pool.release(await pool.acquire(place), place)
                assert pool.open == 2 and pool.close_unused({0}, 1e6) == 0  # not while it may be used again
                assert pool.close_unused({0}, 0.0) == 1 and pool.open == 1
                assert pool.close_unused({0}, 0.0) == 0

    on_loop(work())


# Counts.


def counts(me=0, customers=3, window=1000.0):
    return Counts(me, customers, window, lambda draws=random_stream(me, "counts"): float(draws.random()))


class Sums(Counts):
    """Injected fault: counts are added up when merged."""

    def _merge(self, now, c):
        row = self._rows.get((c.agent, c.cell))
        super()._merge(
            now,
            c if row is None else Count(c.agent, c.incarnation, c.cell, row.total + c.total, c.stamp, c.age),
        )


def rates_exceed_bound(seed, of):
    """Six agents with lost, duplicated and late messages, restarts and silence.

    True if any rate ever exceeded the bound.
    """
    chance, window, now = Random(seed), 1000.0, 0.0
    agents = [of(n, 3, window, chance.random) for n in range(6)]
    lives, born, true = [1] * 6, [0.0] * 6, {}
    pending = []
    for step in range(160):
        now += 100.0
        for n, agent in enumerate(agents):
            if chance.random() < 0.02:
                agents[n] = agent = of(n, 3, window, chance.random)
                lives[n], born[n] = lives[n] + 1, now
            for _ in range(chance.choice((0, 1, 1, 5, 40 if n == 1 and step > 80 else 2))):
                agent.record_call(chance.choice((0, 0, 1, 2)))
            agent.refresh(now, lives[n], now - born[n])
            for c in range(3):
                true.setdefault((c, n, lives[n]), []).append((now, agent._own.get(c, 0)))
            for _ in range(2):
                if not (n == 3 and 40 < step < 100) and chance.random() < 0.7:
                    to = chance.randrange(6)
                    pending += [
                        (now + chance.choice((0, 0, 100, 2000)), to, agent.digest(now, 6))
                        for _ in range(chance.choice((1, 1, 2)))
                    ]
        for message in [w for w in pending if w[0] <= now]:
            pending.remove(message)
            agents[message[1]].receive(now, message[2])
        for agent in agents if step % 8 == 7 else ():
            for c, rate in enumerate(agent.rates(now)):
                if (
                    rate
                    > counting.rate_bound(now, [v for k, v in true.items() if k[0] == c], window) + TOLERANCE
                ):
                    return True
    return False


def test_rates_never_exceed_their_bound_and_a_merge_by_sums_is_detected():
    assert not any(rates_exceed_bound(seed, Counts) for seed in range(4))
    assert all(rates_exceed_bound(seed, Sums) for seed in range(2))


def test_rates_reach_all_agents_fade_with_silence_and_restart_with_a_new_incarnation():
    many, now = [counts(n) for n in range(3)], 0.0
    for _ in range(60):
        now += 100.0
        for n, one in enumerate(many):
            for _ in range(n + 1):
                one.record_call(n)
            one.refresh(now, 1, now)
        for one in many:
            for other in many:
                other.receive(now, one.digest(now, 20))
    assert many[0].rates(now) == pytest.approx([10.0, 20.0, 30.0], rel=0.05)
    for _ in range(80):
        now += 100.0
        for one in many[:2]:
            one.record_call(one.me)
            one.refresh(now, 1, now)
    assert many[0].rates(now)[2] == 0.0 and many[0].rates(now)[0] > 5
    again = counts(1)
    again.refresh(now, 2, 100.0)
    many[0].receive(now, [Count(1, 2, 1, 500, 100.0, 0.0)])
    assert many[0].rates(now)[1] == 0.0  # a new incarnation has no rate yet, and the old one's is gone


def test_sketch_of_many_customers_never_underestimates():
    assert cells(5, MAX_CELLS) == (5,) and all(len(cells(c, 1000)) == 2 for c in range(1000))
    one, now, chance = counts(customers=1000, window=100.0), 0.0, Random(4)
    for _ in range(40):
        now += 50.0
        for _ in range(50):
            one.record_call(min(999, int(chance.expovariate(0.02))))
        one.record_call(0)
        one.refresh(now, 1, now)
    rates = one.rates(now)
    total = sum(rate for rate in [1020.0])
    assert (
        rates[0] >= 20.0
        and sum(rate > 2 / counting.SKETCH_WIDTH * total for rate in rates[500:]) <= 0.25 * 500
    )


# Datagrams.

messages = st.builds(
    Message,
    kind=st.just(UPDATE),
    sender=st.integers(0, 999),
    incarnation=st.just(Incarnation(3, 4)),
    heartbeat=st.just(5),
    remembers=st.booleans(),
    revision=st.just(6),
    mets=st.lists(
        st.builds(
            Observation,
            st.integers(0, 999),
            st.integers(0, 9),
            st.integers(0, 2**32 - 1),
            st.integers(0, 65535),
            st.sampled_from([0.0, 0.5, 2.0]),
            st.sampled_from([0.0, 500.0]),
        ),
        max_size=8,
    ).map(tuple),
    counts=st.lists(
        st.builds(
            Count,
            st.integers(0, 999),
            st.integers(1, 99),
            st.integers(0, MAX_CELLS - 1),
            st.integers(0, 2**31),
            st.sampled_from([0.0, 7e6]),
            st.sampled_from([0.0, 20.0]),
        ),
        max_size=6,
    ).map(tuple),
)


@hypothesis_settings(max_examples=80, deadline=None, derandomize=True)
@given(messages)
def test_update_round_trips_and_unknown_sections_are_skipped(m):
    text = wire.encode(m)
    assert len(text) <= 256 and wire.decode(text) == m
    later = text + wire.SECTION.pack(99, 2, 5) + bytes(10)
    assert wire.decode(later) == m
    with pytest.raises(wire.Malformed):
        wire.decode(later[:-1])


def test_borrow_request_round_trips():
    m = Message(BORROW, 3, Incarnation(1, 2), 3, False, 0, nonce=77, budget=0, amount=250)
    assert wire.decode(wire.encode(m)) == m
    assert boot_hash(5.0) != boot_hash(6.0)
