"""The fleet's pure decisions: lives, datagrams, membership, which list is believed, the order of return."""

import pytest
from hypothesis import given
from hypothesis import settings as played
from hypothesis import strategies as some

from lupinreach.fleet import wire
from lupinreach.fleet.life import MOST_JUMP, Life, Own, believed
from lupinreach.fleet.membership import NOBODY, SILENT, Members, Selfhood, Standing
from lupinreach.fleet.recovery import (
    LONE,
    MOST_DRAINS,
    RESET_AFTER,
    Asking,
    Drains,
    Facts,
    Floor,
    Return,
    Stage,
    Stays,
)
from lupinreach.fleet.wire import ASK, BEAT, TELL, Drain, Malformed, Member, Message
from lupinreach.trial.models.incarnations import IncarnationModel
from lupinreach.trial.models.recovery_order import STAGE_TIMES, RecoveryOrderModel
from lupinreach.trial.models.search import search

BEAT_MS = 1000.0


def drawn(seed=7):
    state = [seed]

    def chance():
        state[0] = (state[0] * 1103515245 + 12345) % 2**31
        return state[0] / 2**31

    return chance


# Lives.


@pytest.mark.parametrize(
    "kept, claims, number",
    [
        (0, [], 0),
        (5, [3, 4], 5),
        (5, [9], 9),
        (5, [9, 2**31], 9),
        (5, [2**31, 2**31 - 3], 2**31 - 3),
        (0, [MOST_JUMP], MOST_JUMP),
        (0, [MOST_JUMP + 1], 0),
        (3, [2**32 - 1, 2**32 - 1], 2**32 - 2),
    ],
)
def test_a_life_s_number_follows_disk_and_peers_and_no_absurd_claim_of_one(kept, claims, number):
    assert believed(kept, claims) == number


def test_no_two_lives_are_alike_in_any_short_history_and_without_tokens_some_are():
    found = search(IncarnationModel())
    assert found.ok and found.states > 1000
    # The planted mistake: a number alone, on disks that may be older, is used twice.
    assert search(IncarnationModel(token=lambda process: 0)).trace[-1] == "life 1 twice"


def test_a_settled_process_that_hears_a_newer_one_falls_silent_and_doesn_t_outbid_it():
    one, two = Own(4, 11), Own(4, 22)
    assert one.life < two.life == Life(5, 22)
    one.settled = True
    assert not one.hear(3, two.life) and one.superseded and one.life.number == 5
    assert not two.hear(3, one.life) and not two.superseded
    three = Own(2, 1)
    assert three.hear(9, Life(7, 5)) and three.life == Life(8, 1) and not three.superseded
    three.settled = True
    three.hear(9, Life(2**31, 5))
    assert not three.superseded  # an absurd claim of one silences nobody


# Datagrams.

u8, u16, u32 = (some.integers(0, 2**bits - 1) for bits in (8, 16, 32))
life = some.builds(Life, u32, u32)
head = {
    "sender": u16,
    "life": life,
    "beat": u32,
    "remembers": some.booleans(),
    "revision": some.integers(0, 2**64 - 1),
}
messages = some.one_of(
    some.builds(
        Message,
        kind=some.just(BEAT),
        members=some.lists(some.builds(Member, u16, life, u32, u16), max_size=wire.MEMBERS).map(tuple),
        **head,
    ),
    some.builds(Message, kind=some.just(ASK), nonce=u32, **head),
    some.builds(
        Message,
        kind=some.just(TELL),
        nonce=u32,
        part=some.just(2),
        parts=some.integers(3, 8),
        standing=u16,
        known=life,
        drains=some.lists(some.builds(Drain, u32, some.integers(0, 2**64 - 1)), max_size=wire.DRAINS).map(
            tuple
        ),
        **head,
    ),
)


@played(max_examples=300, derandomize=True, deadline=None)
@given(messages)
def test_every_datagram_reads_back_and_fits(message):
    data = wire.written(message)
    assert len(data) <= 256 and wire.read(data) == message


@played(max_examples=300, derandomize=True, deadline=None)
@given(
    some.one_of(
        some.binary(max_size=300),
        messages.map(wire.written).flatmap(
            lambda d: some.tuples(some.integers(0, len(d)), some.integers(0, 255)).map(
                lambda c: d[: c[0]] + bytes([c[1]]) + d[c[0] + 1 :]
            )
        ),
    )
)
def test_no_bytes_do_anything_but_read_or_be_refused(data):
    try:
        wire.read(data)
    except Malformed:
        pass


def test_a_datagram_with_too_much_in_it_is_the_writer_s_fault():
    many = tuple(Member(n, Life(1, 1), 1) for n in range(wire.MEMBERS + 1))
    with pytest.raises(ValueError, match="bytes"):
        wire.written(Message(BEAT, 0, Life(1, 1), 1, True, 1, members=many))


# Membership.


class Net:
    """Agents with their tables; each datagram comes or doesn't as `passes` says."""

    def __init__(self, agents, passes=lambda now, a, b: True, sleeps=lambda now, a: False):
        self.now, self.passes, self.sleeps = 0.0, passes, sleeps
        self.tables = [Members(n, agents, BEAT_MS, drawn(n + 1)) for n in range(agents)]
        self.up = set(range(agents))
        self.sent = 0

    def beats(self, count):
        for _ in range(count):
            self.now += BEAT_MS
            for n, table in enumerate(self.tables):
                if n not in self.up or self.sleeps(self.now, n):
                    continue
                table.look(self.now)
                for to in table.targets():
                    data = wire.written(
                        Message(BEAT, n, Life(1, n), table.beat, True, 1, members=table.digest(self.now))
                    )
                    assert len(data) <= 256
                    self.sent += 1
                    if to in self.up and self.passes(self.now, n, to) and not self.sleeps(self.now, to):
                        m = wire.read(data)
                        self.tables[to].heard(self.now, m.sender, m.life, m.beat, m.members)

    def views(self, of):
        return [t.standing(self.now, of) for n, t in enumerate(self.tables) if n in self.up and n != of]


@pytest.mark.parametrize("agents", [3, 40, 80])
def test_all_agents_are_known_to_all_and_one_that_dies_is_gone_in_the_stated_time_at_the_same_cost(agents):
    net = Net(agents)
    silence = net.tables[0].silence
    warm = int(silence / BEAT_MS)
    net.beats(warm)
    assert all(t.count(net.now) == agents for t in net.tables)
    assert net.sent <= 2 * agents * warm  # two a beat each, whatever the fleet
    net.up.discard(1)
    net.beats(int(2 * silence / BEAT_MS) + 2)
    assert set(net.views(1)) == {Standing.GONE}
    assert all(t.count(net.now) == agents - 1 for n, t in enumerate(net.tables) if n != 1)


def test_a_deaf_agent_doubts_itself_and_not_the_others_and_so_does_a_sleeper():
    net = Net(
        12,
        passes=lambda now, a, b: b != 4 or not 20_000 < now < 80_000,
        sleeps=lambda now, n: n == 7 and 20_000 < now < 80_000,
    )
    net.beats(79)
    deaf = net.tables[4]
    assert deaf.own(net.now) is Selfhood.DEAF and deaf.count(net.now) == 12
    assert set(net.views(7)) <= {Standing.GONE, Standing.THERE} and net.views(4).count(Standing.THERE) >= 10
    net.beats(2)  # both are back
    assert net.tables[7].own(net.now) is Selfhood.LATE
    assert net.tables[7].count(net.now) == 12 and deaf.count(net.now) == 12
    net.beats(20)
    assert all(t.count(net.now) == 12 for t in net.tables)


def test_two_halves_count_themselves_and_find_each_other_again():
    cut = Net(20, passes=lambda now, a, b: (a < 10) == (b < 10) or not 20_000 < now < 80_000)
    cut.beats(70)
    assert {t.count(cut.now) for t in cut.tables} == {10}
    cut.beats(25)
    assert {t.count(cut.now) for t in cut.tables} == {20}


def test_silence_grows_with_the_fleet_alone():
    assert (
        Members(0, 3, BEAT_MS, drawn()).silence
        == Members(0, 28, BEAT_MS, drawn()).silence
        == SILENT * BEAT_MS
    )
    assert Members(0, 280, BEAT_MS, drawn()).silence == 10 * SILENT * BEAT_MS


def test_an_older_life_s_word_that_comes_late_counts_for_nothing():
    table = Members(0, 3, BEAT_MS, drawn())
    table.look(0.0)
    table.heard(1.0, 1, Life(5, 1), 2, ())
    table.heard(
        2.0,
        2,
        Life(1, 1),
        1,
        (Member(1, Life(4, 9), 400), Member(0, Life(9, 9), 1), Member(7, Life(1, 1), 1)),
    )
    assert table.met(1)[0] == Life(5, 1) and table.met(0) == table.met(7) == NOBODY


# Which list is believed.


def test_a_floor_is_raised_by_two_and_by_the_registry_never_by_one_alone():
    floor = Floor(50, 1000.0)
    floor.claimed(1, 2**60)
    floor.claimed(1, 2**61)
    assert floor.revision == 50
    floor.claimed(2, 70)
    assert floor.revision == 70 and floor.older(0.0, 69) and not floor.older(1.0, 71) and floor.revision == 71


def test_a_registry_that_stays_below_was_reset_and_one_that_catches_up_was_old():
    floor = Floor(50, 1000.0)
    assert floor.older(0.0, 10) and floor.older(RESET_AFTER * 1000.0 - 1, 12)
    assert not floor.older(RESET_AFTER * 1000.0, 12) and floor.revision == 12
    late = Floor(50, 1000.0)
    assert late.older(0.0, 10) and not late.older(500.0, 55) and late.older(2900.0, 54)
    assert late.older(RESET_AFTER * 1000.0 + 2899, 54) and not late.older(RESET_AFTER * 1000.0 + 2900, 54)


def test_a_drain_told_once_holds_until_the_registry_or_a_restart_lifts_it():
    drains = Drains([Drain(7, 100)])
    assert not drains.told(Drain(7, 100)) and drains.told(Drain(8, 100))
    assert drains.held([Drain(7, 100), Drain(8, 100), Drain(9, 100)]) == {7, 8}
    assert drains.held([Drain(7, 200)]) == set()  # another process of that backend
    assert drains.lifted(7, 100) and not drains.lifted(7, 100) and drains.lifted(8, 300)
    assert drains.all() == []
    assert sum(drains.told(Drain(n, 0)) for n in range(2 * MOST_DRAINS)) == MOST_DRAINS


@pytest.mark.parametrize("liars, most", [(1, LONE), (2, 1.0)])
def test_one_peer_alone_can_hold_back_a_stated_share_and_two_can_hold_back_all(liars, most):
    drains, ready = Drains(), [Drain(n, 1) for n in range(20)]
    for peer in range(liars):
        drains.claimed(peer, ready)
    assert len(drains.held(ready)) == most * 20
    assert drains.all() == []  # hearsay is not passed on


def test_a_question_is_over_when_all_have_answered_whole_or_its_time_is_up():
    asking = Asking(0.0, (1, 2), 99, 300.0)

    def tell(sender, part=0, parts=1, nonce=99, remembers=False, standing=0):
        return asking.hear(
            Message(
                TELL,
                sender,
                Life(1, 1),
                1,
                remembers,
                0,
                nonce=nonce,
                part=part,
                parts=parts,
                standing=standing,
            )
        )

    assert not tell(3) and not tell(1, nonce=98) and tell(1, part=0, parts=2, remembers=True, standing=30)
    assert tell(2) and not asking.over(10.0)  # the second part of 1's is out
    assert tell(1, part=1, parts=2, remembers=True, standing=30) and asking.over(10.0)
    assert asking.standing() == 30
    assert not Asking(0.0, (1,), 9, 300.0).over(299.0) and Asking(0.0, (1,), 9, 300.0).over(300.0)


# The order of return: every history of facts on a coarse clock.


def test_in_every_history_an_agent_goes_forward_alone_stays_nowhere_too_long_and_serves_once_it_has_a_list():
    assert search(RecoveryOrderModel()).ok
    without = search(RecoveryOrderModel(fair=frozenset({"time"})))  # no list for ever: it listens for ever
    assert without.trace[-1] == "never done" and "time" in without.cycle

    class Waits(Return):
        """The planted mistake: no longest stay."""

        def __init__(self, now, stays):
            super().__init__(now, Stays(stays.read, 1e9, stays.hold, stays.cold))

    assert search(RecoveryOrderModel(Waits)).trace[-1] == "stays in standing too long"

    class Forgets(Return):
        """And one that goes back to trying when it is asked again."""

        def look(self, now, facts):
            passed = super().look(now, facts)
            if self.stage is Stage.RISING and not facts.registry:
                self.stage = Stage.TRYING
            return passed

    assert search(RecoveryOrderModel(Forgets)).trace[-1] == "skips a stage, or goes back"


def test_with_a_list_a_return_ends_in_the_sum_of_its_longest_stays_whatever_else_happens():
    one, now = Return(0.0, STAGE_TIMES), 0.0
    while one.stage is not Stage.FULL:
        now += 0.5
        one.look(now, Facts(listed=1))
    assert now <= 1 + 2 + 3 + 4 + 2
    alone = Return(0.0, STAGE_TIMES)
    for now in range(1, 100):
        alone.look(float(now), Facts())
    assert (
        alone.stage is Stage.LISTENING and alone.ready
    )  # no list, no service: it says so API call by API call
