"""What agents share: merges, bounds, and every history of a small instance of lending; no sockets here."""

from random import Random

import pytest
from helpers import OK, READY, Bench, Peer, Site, says, settings, target
from helpers import run as on_loop
from hypothesis import given
from hypothesis import settings as tries
from hypothesis import strategies as some

from lupinreach.bed.world.random_streams import random_stream
from lupinreach.fleet import counts as counting
from lupinreach.fleet import grants, wire
from lupinreach.fleet import warmth as standing
from lupinreach.fleet.counts import CELLS, Count, Counts, cells
from lupinreach.fleet.evidence import HIGHEST, MOST, QUORUM, SHARE, TELLERS, Evidence, Met, boot_mark, harm
from lupinreach.fleet.grants import DRIFT, Budget
from lupinreach.fleet.life import Life
from lupinreach.fleet.warmth import Stood, Warmth, earliest
from lupinreach.fleet.wire import NEWS, WANT, Message
from lupinreach.model import Listing, SharedEstimates, UpdateKind
from lupinreach.trial.models.lending import LEASE, TOLERANCE, TOTAL, LendingModel
from lupinreach.trial.models.search import search

# Who stands: ages of cold backends by others' word.

ROWS = some.lists(
    some.builds(
        Stood, some.integers(1, 6), some.integers(0, 3), some.floats(0, 30_000), some.floats(0, 30_000)
    ),
    max_size=12,
)


def warmth() -> Warmth:
    return Warmth(0, 20_000.0, Random(1).random)


@tries(max_examples=150, deadline=None)
@given(ROWS, some.randoms(use_true_random=False), some.floats(0, 20_000), some.floats(0, 20_000))
def test_whoever_says_how_long_a_backend_stands_it_is_never_longer_than_this_agent_can_know(
    said, chance, began, refused_at
):
    now = 25_000.0
    once, again = warmth(), warmth()
    for one, rows in ((once, said), (again, chance.sample(said * 2, 2 * len(said)))):
        for row in rows:
            one.heard(now, [row])
    for one in (once, again):
        found = one.since(began, dict.fromkeys(range(4), refused_at))
        assert all(since >= earliest(began, refused_at) for since in found.values())
        for backend in found:  # a lone claim waits for a second that met it after this agent was refused
            assert (
                len(
                    {
                        r.teller
                        for r in said
                        if r.backend == backend and now - r.last > earliest(began, refused_at)
                    }
                )
                >= 2
            )
    assert len(once) <= 4 * (standing.TELLERS + 1)


def test_the_second_longest_counts_and_a_process_that_went_down_since_does_not():
    one = warmth()
    one.heard(10_000.0, [Stood(1, 7, 6000.0, 100.0), Stood(2, 7, 4000.0, 100.0), Stood(3, 7, 2000.0, 100.0)])
    assert one.since(0.0, {7: 0.0}) == {7: 6000.0}
    assert one.since(9000.0, {7: 0.0}) == {7: 9000.0}  # who stood up then can't know better
    assert one.since(0.0, {7: 9950.0}) == {}  # refused since they met it
    one.heard(12_000.0, [Stood(1, 7, 8000.0, 2100.0)])  # late, and older than what came before
    assert one.since(0.0, {7: 0.0}) == {7: 6000.0}
    one.look(29_850.0, [7])
    assert one.since(0.0, {7: 0.0}) == {7: 6000.0} and not one.since(0.0, {7: 10_000.0})
    one.look(29_950.0, [7])
    assert len(one) == 0  # for as long as backends are cold


def test_what_others_say_of_a_backend_not_met_yet_makes_it_as_warm_as_it_is_and_no_lists_word_is_overruled():
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
    )  # nobody gets younger by it
    assert bench.agent._capacity(bench.now, here) == pytest.approx(0.6)
    bench.list(UpdateKind.FULL, [Listing(i, READY, bench.now - 1000) for i in range(4)])
    bench.agent.apply_shared(bench.now, SharedEstimates({}, up_since={here.name: bench.now - 15_000}))
    assert bench.agent._capacity(bench.now, here) == pytest.approx(
        0.24
    ) and here not in bench.agent.recently_started(bench.now)


# Lending: every history of three agents whose words are lost, doubled and late.


def test_no_history_spends_more_than_there_is_nor_leaves_anybody_under_the_floor():
    found = search(LendingModel())
    assert found.ok and found.states > 10_000


class FromReceipt(Budget):
    """Without the guard: who borrows counts from the answer."""

    def granted(self, now, number, amount):
        self._asked[number] = now if number in self._asked else -1e9
        return super().granted(now, number, amount)


class ForgetsWhatItLent(Budget):
    """Without the guard: a new life has its whole share at once."""

    def __init__(self, now, total, agents, lease, first=False):
        super().__init__(now, total, agents, lease, True)


class LendsAsLongAsItLends(Budget):
    """Without the guard: both leases alike, by clocks that run apart."""

    def __init__(self, *given, **more):
        super().__init__(*given, **more)
        self._borrow_for = (
            self._lease * 1.5
        )  # a borrower's clock that is late, or a wall clock that was set back


class LendsItsFloor(Budget):
    """Without the guard: what others want is all that counts."""

    def lendable(self, now):
        return 10 * self.own

    def grant(self, now, peer, life, number, wants, spare):
        return super().grant(now, peer, life, number, wants, 10 * self.own)


@pytest.mark.parametrize("of", [FromReceipt, ForgetsWhatItLent, LendsAsLongAsItLends, LendsItsFloor])
def test_the_same_search_finds_the_mistake_when_a_guard_is_taken_out(of):
    trace = search(LendingModel(of)).trace
    assert trace is not None and len(trace) <= 12, trace


@tries(max_examples=60, deadline=None, derandomize=True)
@given(some.integers(0, 10_000), some.integers(2, 12))
def test_lending_among_more_agents_keeps_its_bounds_in_any_weather(seed, agents):
    chance, now = Random(seed), 0.0
    rates = [1 + chance.choice((-1, 0, 1)) * DRIFT for _ in range(agents)]
    all_of = [Budget(0.0, TOTAL, agents, LEASE, True) for _ in range(agents)]
    lives, words = [1] * agents, []
    for number in range(300):
        now += chance.random() * LEASE / 10
        n = chance.randrange(agents)
        mine = now * rates[n]
        if chance.random() < 0.05:
            all_of[n], lives[n] = Budget(mine, TOTAL, agents, LEASE), lives[n] + 1
        all_of[n].ask(mine, number)
        words.append(("want", n, lives[n], chance.randrange(agents), number, 0.0))
        for word in [w for w in words if chance.random() < 0.4]:
            if chance.random() < 0.7:
                words.remove(word)  # else it comes again
            kind, by, life, to, about, amount = word
            if by == to:
                continue
            there = now * rates[to]
            if kind == "want" and (
                got := all_of[to].grant(there, by, life, about, 1.0, all_of[to].usable(there))
            ):
                words.append(("grant", to, life, by, about, got))
            elif kind == "grant" and life == lives[to]:
                all_of[to].granted(there, about, amount)
        uses = [b.usable(now * r) for b, r in zip(all_of, rates, strict=True)]
        assert (
            sum(uses) <= grants.most(TOTAL, agents) + TOLERANCE
            and min(uses) >= grants.least(TOTAL) / agents - TOLERANCE
        )


# Evidence.


def met(teller, backend=7, figure=2.0, age=0.0, zone=0):
    return Met(teller, zone, backend, 1, figure, age)


def evidence(me=0, zone=0):
    return Evidence(me, zone, 500.0, lambda draws=random_stream(me, "evidence"): float(draws.random()))


rows = some.lists(
    some.builds(
        met,
        some.integers(0, 9),
        some.integers(1, 4),
        some.floats(-1, 9),
        some.floats(-10, 4000),
        some.integers(0, 1),
    ),
    max_size=30,
)


@tries(max_examples=150, deadline=None, derandomize=True)
@given(rows, some.randoms(use_true_random=False))
def test_rows_that_come_twice_or_in_another_order_change_nothing(said, chance):
    one, two = evidence(), evidence()
    one.heard(10_000.0, said)
    twice = said * 2
    chance.shuffle(twice)
    for row in twice:
        two.heard(10_000.0, [row])
    own = {(b, 1): (0.5, 0.0) for b in range(1, 5)}
    # As far as rows are kept: of more tellers than that the newest.
    if all(len({r.teller for r in said if r.backend == b}) <= TELLERS for b in range(1, 5)) and len(
        {(r.teller, r.backend, r.age) for r in said}
    ) == len(said):
        assert one.said(10_000.0, own) == two.said(10_000.0, own)


@tries(max_examples=150, deadline=None, derandomize=True)
@given(rows, some.integers(1, 40))
def test_whatever_is_said_little_becomes_dearer_and_not_by_much(said, ready):
    here = evidence()
    here.heard(10_000.0, said)
    own = {(b, 1): (0.3, 0.0) for b in range(1, ready + 1)}
    factors = here.factors(10_000.0, own)
    assert len(factors) <= SHARE * ready and all(1 <= f <= MOST for f in factors.values())
    assert sum(1 - 1 / f for f in factors.values()) / ready <= harm() + TOLERANCE
    assert here.refused == sum(not 0 <= r.figure <= HIGHEST or r.age < 0 for r in said)


def test_a_quorum_of_the_own_zone_that_met_it_later_moves_turns_and_no_two_agents_alike():
    factors = []
    for me in range(20, 40):
        here = evidence(me)
        own = {(b, 1): (0.25, 5000.0) for b in range(8)}
        here.heard(9000.0, [met(n) for n in range(QUORUM - 1)])
        assert here.factors(9000.0, own) == {}
        here.heard(9000.0, [met(5, zone=1)])
        assert here.factors(9000.0, own) == {}  # slow from there is not slow from here
        here.heard(9000.0, [met(6)])
        factors.append(here.factors(9000.0, own)[7, 1])
        assert here.factors(9000.0, own | {(7, 1): (0.25, 9500.0)}) == {}  # own samples overrule
        assert here.factors(9000.0 + here.lasts / 2, own)[7, 1] < factors[-1]
        assert here.factors(9000.0 + here.lasts, own) == {}
    assert 1 + (MOST - 1) / 2 <= min(factors) < max(factors) <= MOST and len(set(factors)) == 20


def test_a_third_of_liars_makes_nothing_dearer_where_the_others_have_met_it_too():
    here = evidence()
    here.heard(9000.0, [met(n, figure=4.0) for n in (1, 2)] + [met(n, figure=0.25) for n in (3, 4, 5, 6)])
    assert here.factors(9000.0, {(7, 1): (0.25, 0.0), **{(b, 1): (0.2, 0.0) for b in range(3)}}) == {}


def test_an_agent_that_finds_most_backends_bad_doubts_itself_and_says_nothing():
    mets = [met(0, b, 2.0 if b < 6 else 0.2) for b in range(10)]
    here = evidence()
    here.own(1000.0, mets)
    assert len(here) == 0
    here.own(1000.0, [met(0, b, 2.0 if b < 2 else 0.2) for b in range(10)])
    assert {m.backend for m in here.digest(1000.0, 10)} == {0, 1}
    here.own(2000.0, [met(0, b, 0.2) for b in range(10)])  # and takes back what it said
    assert {(m.backend, m.figure) for m in here.digest(2000.0, 10)} == {(0, 0.2), (1, 0.2)}


def test_hearsay_ejects_nothing_and_brings_a_trial_forward():
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


def test_a_dearer_backend_gets_fewer_turns_and_never_none():
    bench = Bench(settings(), backends=4)
    for n in range(20):
        bench.serve(("warm", n))
    dear = bench.agent.relative_latencies()[0][0]
    bench.agent.apply_shared(bench.now, SharedEstimates({dear.name: 4.0}))
    # The names of a bench without names are alike: told apart here.
    for n, (b, _) in enumerate(bench.agent.relative_latencies()):
        b.cost_factor = 4.0 if n == 0 else 1.0
    got = [bench.serve(("then", n)) for n in range(200)]
    assert 5 <= sum(index == dear.index for index in got) <= 35


def test_connections_to_backends_that_are_no_longer_used_are_left():
    async def work():
        async with Peer(says(OK)) as one, Peer(says(OK)) as two:
            async with Site(target("s1", one.address), target("s2", two.address)) as site:
                pool, places = site.agent.pool, [site.agent.directory.place(n) for n in (0, 1)]
                for place in places:
                    pool.give_back(await pool.take(place), place)
                assert pool.open == 2 and pool.leave({0}, 1e6) == 0  # not while it may be used again
                assert pool.leave({0}, 0.0) == 1 and pool.open == 1
                assert pool.leave({0}, 0.0) == 0

    on_loop(work())


# Counts.


def counts(me=0, customers=3, window=1000.0):
    return Counts(me, customers, window, lambda draws=random_stream(me, "counts"): float(draws.random()))


class Sums(Counts):
    """The mistake: counts are added up where they are merged."""

    def _put(self, now, c):
        row = self._rows.get((c.agent, c.cell))
        super()._put(
            now, c if row is None else Count(c.agent, c.life, c.cell, row.total + c.total, c.stamp, c.age)
        )


def fleet_of_counts(seed, of):
    """Six agents, words lost, doubled and late, restarts and silence; true if anybody ever took the fleet for busier than the bound."""
    chance, window, now = Random(seed), 1000.0, 0.0
    agents = [of(n, 3, window, chance.random) for n in range(6)]
    lives, born, true = [1] * 6, [0.0] * 6, {}
    late = []
    for step in range(160):
        now += 100.0
        for n, agent in enumerate(agents):
            if chance.random() < 0.02:
                agents[n] = agent = of(n, 3, window, chance.random)
                lives[n], born[n] = lives[n] + 1, now
            for _ in range(chance.choice((0, 1, 1, 5, 40 if n == 1 and step > 80 else 2))):
                agent.took(chance.choice((0, 0, 1, 2)))
            agent.look(now, lives[n], now - born[n])
            for c in range(3):
                true.setdefault((c, n, lives[n]), []).append((now, agent._own.get(c, 0)))
            for _ in range(2):
                if not (n == 3 and 40 < step < 100) and chance.random() < 0.7:
                    to = chance.randrange(6)
                    late += [
                        (now + chance.choice((0, 0, 100, 2000)), to, agent.digest(now, 6))
                        for _ in range(chance.choice((1, 1, 2)))
                    ]
        for word in [w for w in late if w[0] <= now]:
            late.remove(word)
            agents[word[1]].heard(now, word[2])
        for agent in agents if step % 8 == 7 else ():
            for c, rate in enumerate(agent.rates(now)):
                if rate > counting.most(now, [v for k, v in true.items() if k[0] == c], window) + TOLERANCE:
                    return True
    return False


def test_no_agent_ever_takes_the_fleet_for_busier_than_it_was_and_a_merge_by_sums_is_found():
    assert not any(fleet_of_counts(seed, Counts) for seed in range(4))
    assert all(fleet_of_counts(seed, Sums) for seed in range(2))


def test_what_all_ask_is_known_at_all_a_silent_agent_fades_and_a_new_life_counts_anew():
    many, now = [counts(n) for n in range(3)], 0.0
    for _ in range(60):
        now += 100.0
        for n, one in enumerate(many):
            for _ in range(n + 1):
                one.took(n)
            one.look(now, 1, now)
        for one in many:
            for other in many:
                other.heard(now, one.digest(now, 20))
    assert many[0].rates(now) == pytest.approx([10.0, 20.0, 30.0], rel=0.05)
    for _ in range(80):
        now += 100.0
        for one in many[:2]:
            one.took(one.me)
            one.look(now, 1, now)
    assert many[0].rates(now)[2] == 0.0 and many[0].rates(now)[0] > 5
    again = counts(1)
    again.look(now, 2, 100.0)
    many[0].heard(now, [Count(1, 2, 1, 500, 100.0, 0.0)])
    assert (
        many[0].rates(now)[1] == 0.0
    )  # of a new life nothing is known yet, and nothing of the old one stays


def test_many_customers_share_a_sketch_that_never_counts_too_little():
    assert cells(5, CELLS) == (5,) and all(len(cells(c, 1000)) == 2 for c in range(1000))
    one, now, chance = counts(customers=1000, window=100.0), 0.0, Random(4)
    for _ in range(40):
        now += 50.0
        for _ in range(50):
            one.took(min(999, int(chance.expovariate(0.02))))
        one.took(0)
        one.look(now, 1, now)
    rates = one.rates(now)
    total = sum(rate for rate in [1020.0])
    assert rates[0] >= 20.0 and sum(rate > 2 / counting.WIDTH * total for rate in rates[500:]) <= 0.25 * 500


# Words.

texts = some.builds(
    Message,
    kind=some.just(NEWS),
    sender=some.integers(0, 999),
    life=some.just(Life(3, 4)),
    beat=some.just(5),
    remembers=some.booleans(),
    revision=some.just(6),
    mets=some.lists(
        some.builds(
            Met,
            some.integers(0, 999),
            some.integers(0, 9),
            some.integers(0, 2**32 - 1),
            some.integers(0, 65535),
            some.sampled_from([0.0, 0.5, 2.0]),
            some.sampled_from([0.0, 500.0]),
        ),
        max_size=8,
    ).map(tuple),
    counts=some.lists(
        some.builds(
            Count,
            some.integers(0, 999),
            some.integers(1, 99),
            some.integers(0, CELLS - 1),
            some.integers(0, 2**31),
            some.sampled_from([0.0, 7e6]),
            some.sampled_from([0.0, 20.0]),
        ),
        max_size=6,
    ).map(tuple),
)


@tries(max_examples=80, deadline=None, derandomize=True)
@given(texts)
def test_news_comes_out_as_it_went_in_and_what_a_version_does_not_know_is_skipped(m):
    text = wire.written(m)
    assert len(text) <= 256 and wire.read(text) == m
    later = text + wire.SECTION.pack(99, 2, 5) + bytes(10)
    assert wire.read(later) == m
    with pytest.raises(wire.Malformed):
        wire.read(later[:-1])


def test_a_question_for_a_share_comes_out_as_it_went_in():
    m = Message(WANT, 3, Life(1, 2), 3, False, 0, nonce=77, budget=0, amount=250)
    assert wire.read(wire.written(m)) == m
    assert boot_mark(5.0) != boot_mark(6.0)
