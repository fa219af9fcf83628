"""The fleet's pure modules: incarnations, datagrams, membership, trusted lists, startup stages."""

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lupinreach.fleet import wire
from lupinreach.fleet.incarnation import MAX_JUMP, Incarnation, OwnIncarnation, credible_number
from lupinreach.fleet.membership import (
    NEVER_HEARD,
    SUSPECT_AFTER_HEARTBEATS,
    Members,
    MemberStatus,
    SelfStatus,
)
from lupinreach.fleet.recovery import (
    LONE_CLAIM_SHARE,
    MAX_DRAINS,
    RESET_AFTER,
    DrainSet,
    PeerQuery,
    RevisionFloor,
    Stage,
    StageLimits,
    StartupFacts,
    StartupSequence,
)
from lupinreach.fleet.wire import HEARTBEAT, QUERY, REPLY, Drain, Malformed, Member, Message
from lupinreach.trial.models.incarnations import IncarnationModel
from lupinreach.trial.models.recovery_order import STAGE_TIMES, RecoveryOrderModel
from lupinreach.trial.models.search import search

INTERVAL_MS = 1000.0


def drawn(seed=7):
    state = [seed]

    def chance():
        state[0] = (state[0] * 1103515245 + 12345) % 2**31
        return state[0] / 2**31

    return chance


# Incarnations.


@pytest.mark.parametrize(
    "kept, claims, number",
    [
        (0, [], 0),
        (5, [3, 4], 5),
        (5, [9], 9),
        (5, [9, 2**31], 9),
        (5, [2**31, 2**31 - 3], 2**31 - 3),
        (0, [MAX_JUMP], MAX_JUMP),
        (0, [MAX_JUMP + 1], 0),
        (3, [2**32 - 1, 2**32 - 1], 2**32 - 2),
    ],
)
def test_incarnation_number_follows_disk_and_peers_but_no_implausible_claim_of_one_peer(kept, claims, number):
    assert credible_number(kept, claims) == number


def test_incarnations_are_unique_in_every_short_history_and_only_with_tokens():
    found = search(IncarnationModel())
    assert found.ok and found.states > 1000
    # Injected fault: without tokens a number is used twice where disks may be older copies.
    assert search(IncarnationModel(token=lambda process: 0)).trace[-1] == "life 1 twice"


def test_settled_process_is_superseded_by_a_newer_one_and_does_not_raise_its_number():
    one, two = OwnIncarnation(4, 11), OwnIncarnation(4, 22)
    assert one.incarnation < two.incarnation == Incarnation(5, 22)
    one.settled = True
    assert not one.observe(3, two.incarnation) and one.superseded and one.incarnation.number == 5
    assert not two.observe(3, one.incarnation) and not two.superseded
    three = OwnIncarnation(2, 1)
    assert (
        three.observe(9, Incarnation(7, 5))
        and three.incarnation == Incarnation(8, 1)
        and not three.superseded
    )
    three.settled = True
    three.observe(9, Incarnation(2**31, 5))
    assert not three.superseded  # an implausible claim of one peer supersedes nobody


# Datagrams.

u8, u16, u32 = (st.integers(0, 2**bits - 1) for bits in (8, 16, 32))
incarnations = st.builds(Incarnation, u32, u32)
head = {
    "sender": u16,
    "incarnation": incarnations,
    "heartbeat": u32,
    "remembers": st.booleans(),
    "revision": st.integers(0, 2**64 - 1),
}
messages = st.one_of(
    st.builds(
        Message,
        kind=st.just(HEARTBEAT),
        members=st.lists(st.builds(Member, u16, incarnations, u32, u16), max_size=wire.MAX_MEMBERS).map(
            tuple
        ),
        **head,
    ),
    st.builds(Message, kind=st.just(QUERY), nonce=u32, **head),
    st.builds(
        Message,
        kind=st.just(REPLY),
        nonce=u32,
        part=st.just(2),
        parts=st.integers(3, 8),
        alive=u16,
        known=incarnations,
        drains=st.lists(st.builds(Drain, u32, st.integers(0, 2**64 - 1)), max_size=wire.MAX_DRAINS).map(
            tuple
        ),
        **head,
    ),
)


@hypothesis_settings(max_examples=300, derandomize=True, deadline=None)
@given(messages)
def test_every_datagram_round_trips_and_fits(message):
    data = wire.encode(message)
    assert len(data) <= 256 and wire.decode(data) == message


@hypothesis_settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.one_of(
        st.binary(max_size=300),
        messages.map(wire.encode).flatmap(
            lambda d: st.tuples(st.integers(0, len(d)), st.integers(0, 255)).map(
                lambda c: d[: c[0]] + bytes([c[1]]) + d[c[0] + 1 :]
            )
        ),
    )
)
def test_any_bytes_are_decoded_or_rejected_as_malformed(data):
    try:
        wire.decode(data)
    except Malformed:
        pass


def test_encoding_too_many_members_raises():
    many = tuple(Member(n, Incarnation(1, 1), 1) for n in range(wire.MAX_MEMBERS + 1))
    with pytest.raises(ValueError, match="bytes"):
        wire.encode(Message(HEARTBEAT, 0, Incarnation(1, 1), 1, True, 1, members=many))


# Membership.


class Net:
    """A simulated network of membership tables.

    `passes` decides which datagrams arrive, `sleeps` which agents are suspended.
    """

    def __init__(self, agents, passes=lambda now, a, b: True, sleeps=lambda now, a: False):
        self.now, self.passes, self.sleeps = 0.0, passes, sleeps
        self.tables = [Members(n, agents, INTERVAL_MS, drawn(n + 1)) for n in range(agents)]
        self.up = set(range(agents))
        self.sent = 0

    def run_intervals(self, count):
        for _ in range(count):
            self.now += INTERVAL_MS
            for n, table in enumerate(self.tables):
                if n not in self.up or self.sleeps(self.now, n):
                    continue
                table.tick(self.now)
                for to in table.draw_targets():
                    data = wire.encode(
                        Message(
                            HEARTBEAT,
                            n,
                            Incarnation(1, n),
                            table.heartbeat,
                            True,
                            1,
                            members=table.digest(self.now),
                        )
                    )
                    assert len(data) <= 256
                    self.sent += 1
                    if to in self.up and self.passes(self.now, n, to) and not self.sleeps(self.now, to):
                        m = wire.decode(data)
                        self.tables[to].receive(self.now, m.sender, m.incarnation, m.heartbeat, m.members)

    def views(self, of):
        return [t.status(self.now, of) for n, t in enumerate(self.tables) if n in self.up and n != of]


@pytest.mark.parametrize("agents", [3, 40, 80])
def test_all_agents_know_each_other_and_a_dead_one_is_detected_in_time_at_constant_cost(agents):
    net = Net(agents)
    silence = net.tables[0].silence
    warm = int(silence / INTERVAL_MS)
    net.run_intervals(warm)
    assert all(t.alive_count(net.now) == agents for t in net.tables)
    assert net.sent <= 2 * agents * warm  # two per agent and interval, whatever the fleet size
    net.up.discard(1)
    net.run_intervals(int(2 * silence / INTERVAL_MS) + 2)
    assert set(net.views(1)) == {MemberStatus.DEAD}
    assert all(t.alive_count(net.now) == agents - 1 for n, t in enumerate(net.tables) if n != 1)


def test_isolated_and_suspended_agents_suspect_themselves_and_not_the_others():
    net = Net(
        12,
        passes=lambda now, a, b: b != 4 or not 20_000 < now < 80_000,
        sleeps=lambda now, n: n == 7 and 20_000 < now < 80_000,
    )
    net.run_intervals(79)
    isolated = net.tables[4]
    assert isolated.self_status(net.now) is SelfStatus.ISOLATED and isolated.alive_count(net.now) == 12
    assert (
        set(net.views(7)) <= {MemberStatus.DEAD, MemberStatus.ALIVE}
        and net.views(4).count(MemberStatus.ALIVE) >= 10
    )
    net.run_intervals(2)  # both are back
    assert net.tables[7].self_status(net.now) is SelfStatus.STALLED
    assert net.tables[7].alive_count(net.now) == 12 and isolated.alive_count(net.now) == 12
    net.run_intervals(20)
    assert all(t.alive_count(net.now) == 12 for t in net.tables)


def test_two_partitions_count_their_own_members_and_merge_again():
    cut = Net(20, passes=lambda now, a, b: (a < 10) == (b < 10) or not 20_000 < now < 80_000)
    cut.run_intervals(70)
    assert {t.alive_count(cut.now) for t in cut.tables} == {10}
    cut.run_intervals(25)
    assert {t.alive_count(cut.now) for t in cut.tables} == {20}


def test_silence_limit_grows_with_the_fleet_size():
    assert (
        Members(0, 3, INTERVAL_MS, drawn()).silence
        == Members(0, 28, INTERVAL_MS, drawn()).silence
        == SUSPECT_AFTER_HEARTBEATS * INTERVAL_MS
    )
    assert Members(0, 280, INTERVAL_MS, drawn()).silence == 10 * SUSPECT_AFTER_HEARTBEATS * INTERVAL_MS


def test_late_heartbeat_of_an_older_incarnation_is_ignored():
    table = Members(0, 3, INTERVAL_MS, drawn())
    table.tick(0.0)
    table.receive(1.0, 1, Incarnation(5, 1), 2, ())
    table.receive(
        2.0,
        2,
        Incarnation(1, 1),
        1,
        (Member(1, Incarnation(4, 9), 400), Member(0, Incarnation(9, 9), 1), Member(7, Incarnation(1, 1), 1)),
    )
    assert table.latest(1)[0] == Incarnation(5, 1) and table.latest(0) == table.latest(7) == NEVER_HEARD


# Which backend list is trusted.


def test_floor_is_raised_by_two_peers_or_the_registry_never_by_one_peer():
    floor = RevisionFloor(50, 1000.0)
    floor.add_claim(1, 2**60)
    floor.add_claim(1, 2**61)
    assert floor.revision == 50
    floor.add_claim(2, 70)
    assert (
        floor.revision == 70
        and floor.is_older(0.0, 69)
        and not floor.is_older(1.0, 71)
        and floor.revision == 71
    )


def test_registry_that_stays_below_the_floor_was_reset_and_one_that_catches_up_was_old():
    floor = RevisionFloor(50, 1000.0)
    assert floor.is_older(0.0, 10) and floor.is_older(RESET_AFTER * 1000.0 - 1, 12)
    assert not floor.is_older(RESET_AFTER * 1000.0, 12) and floor.revision == 12
    late = RevisionFloor(50, 1000.0)
    assert late.is_older(0.0, 10) and not late.is_older(500.0, 55) and late.is_older(2900.0, 54)
    assert late.is_older(RESET_AFTER * 1000.0 + 2899, 54) and not late.is_older(
        RESET_AFTER * 1000.0 + 2900, 54
    )


def test_drain_holds_until_the_registry_or_a_restart_ends_it():
    drains = DrainSet([Drain(7, 100)])
    assert not drains.add(Drain(7, 100)) and drains.add(Drain(8, 100))
    assert drains.withheld([Drain(7, 100), Drain(8, 100), Drain(9, 100)]) == {7, 8}
    assert drains.withheld([Drain(7, 200)]) == set()  # another process of that backend
    assert drains.lift(7, 100) and not drains.lift(7, 100) and drains.lift(8, 300)
    assert drains.all() == []
    assert sum(drains.add(Drain(n, 0)) for n in range(2 * MAX_DRAINS)) == MAX_DRAINS


@pytest.mark.parametrize("liars, share", [(1, LONE_CLAIM_SHARE), (2, 1.0)])
def test_one_peer_can_withhold_a_limited_share_and_two_can_withhold_all(liars, share):
    drains, ready = DrainSet(), [Drain(n, 1) for n in range(20)]
    for peer in range(liars):
        drains.add_claims(peer, ready)
    assert len(drains.withheld(ready)) == share * 20
    assert drains.all() == []  # claims of peers are not passed on


def test_query_is_over_when_all_answers_are_complete_or_its_time_is_up():
    query = PeerQuery(0.0, (1, 2), 99, 300.0)

    def reply(sender, part=0, parts=1, nonce=99, remembers=False, alive=0):
        return query.add_answer(
            Message(
                REPLY,
                sender,
                Incarnation(1, 1),
                1,
                remembers,
                0,
                nonce=nonce,
                part=part,
                parts=parts,
                alive=alive,
            )
        )

    assert not reply(3) and not reply(1, nonce=98) and reply(1, part=0, parts=2, remembers=True, alive=30)
    assert reply(2) and not query.is_over(10.0)  # the second part of peer 1's answer is missing
    assert reply(1, part=1, parts=2, remembers=True, alive=30) and query.is_over(10.0)
    assert query.alive() == 30
    assert not PeerQuery(0.0, (1,), 9, 300.0).is_over(299.0) and PeerQuery(0.0, (1,), 9, 300.0).is_over(300.0)


# Startup stages: every history of facts on a coarse clock.


def test_startup_only_moves_forward_keeps_its_limits_and_serves_once_it_has_a_list():
    assert search(RecoveryOrderModel()).ok
    without = search(
        RecoveryOrderModel(fair=frozenset({"time"}))
    )  # without a list it stays in `LISTENING` forever
    assert without.trace[-1] == "never done" and "time" in without.cycle

    class Unlimited(StartupSequence):
        """Injected fault: no limit for a stage."""

        def __init__(self, now, limits):
            super().__init__(now, StageLimits(limits.read, 1e9, limits.hold, limits.cold))

    assert search(RecoveryOrderModel(Unlimited)).trace[-1] == "stays in standing too long"

    class MovesBack(StartupSequence):
        """Injected fault: goes back to `TRYING`."""

        def advance(self, now, facts):
            passed = super().advance(now, facts)
            if self.stage is Stage.RISING and not facts.registry:
                self.stage = Stage.TRYING
            return passed

    assert search(RecoveryOrderModel(MovesBack)).trace[-1] == "skips a stage, or goes back"


def test_startup_with_a_list_ends_within_the_sum_of_its_stage_limits():
    one, now = StartupSequence(0.0, STAGE_TIMES), 0.0
    while one.stage is not Stage.FULL:
        now += 0.5
        one.advance(now, StartupFacts(listed=1))
    assert now <= 1 + 2 + 3 + 4 + 2
    alone = StartupSequence(0.0, STAGE_TIMES)
    for now in range(1, 100):
        alone.advance(float(now), StartupFacts())
    assert (
        alone.stage is Stage.LISTENING and alone.ready
    )  # no list, no service: it says so API call by API call
