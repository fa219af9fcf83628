"""Lists whose weights fall with what each backend holds: size / (1 + API calls held a core), late for all alike."""

import random
from collections import Counter

import pytest
from helpers import READY, Bench, settings

from lupinreach.config import BadConfig, read_settings
from lupinreach.model import Listing, UpdateKind

GAP = 200.0  # ms between two lists


def listings(loads, size=4.0):
    return [Listing(i, READY, size=size / (1 + load), name=i) for i, load in enumerate(loads)]


def live(agents=2, backends=4, **more):
    return Bench(settings(live_weights=True, agents=agents, **more), entries=listings([0.0] * backends))


def tell(bench, loads, times=1):
    for _ in range(times):
        bench.move(GAP)
        bench.list(UpdateKind.CHANGES, listings(loads))


def test_a_live_weight_is_a_size_at_its_highest_and_a_load_below():
    bench = live()
    tell(bench, [3.0, 0.0, 1.0, 0.0])
    ring = {b.index: b for b in bench.agent._ready}
    assert {b.size for b in ring.values()} == {1.0}
    assert [round(ring[i].load, 6) for i in range(4)] == [3.0, 0.0, 1.0, 0.0]


def test_rough_and_nominal_weights_are_sizes_and_no_load():
    bench = Bench(settings(), entries=listings([0.0] * 4))
    tell(bench, [3.0, 0.0, 1.0, 0.0])
    ring = {b.index: b for b in bench.agent._ready}
    assert ring[0].size < ring[1].size and not any(b.load for b in ring.values())


def test_a_home_stays_where_it_is_while_weights_swing_and_is_left_while_it_is_loaded():
    bench = live(backends=6, warm_keys=True)
    rng = random.Random(5)
    at = set()
    for n in range(30):
        tell(bench, [rng.uniform(0.0, 1.2) for _ in range(6)])
        at.add(bench.submit(n, key=77).attempts[0].backend.index)
        bench.move(30.0)
        bench.answer(n, 30.0)
    assert len(at) == 1
    home = at.pop()
    tell(bench, [9.0 if i == home else 0.4 for i in range(6)], times=3)
    others = Counter()
    for n in range(100, 120):
        others[bench.submit(n, key=77).attempts[0].backend.index] += 1
        bench.move(30.0)
        bench.answer(n, 30.0)
    assert others[home] <= 4 and len(others) > 2
    tell(bench, [0.4] * 6)
    assert bench.submit("back", key=77).attempts[0].backend.index == home


def test_a_loaded_backend_gets_fewer_turns_and_none_is_flooded():
    bench = live(backends=4)
    turns = Counter()
    for n in range(200):
        if n % 5 == 0:
            tell(bench, [4.0, 0.5, 0.5, 0.5])
        turns[bench.serve(n, 100.0)] += 1
    least, *rest = sorted(turns.values())
    assert turns[0] == least and 0 < least < min(rest) / 2
    assert max(rest) < 1.2 * min(rest)


def test_many_agents_refuse_by_the_load_that_the_list_tells_and_take_all_again_when_it_falls():
    bench = live(agents=100)
    tell(bench, [0.0] * 4, times=5)
    bench.serve("first", 100.0)

    def refused(first):
        before = len(bench.port.answers)
        for n in range(first, first + 40):
            if bench.submit(n).attempts:
                bench.move(350.0)  # slow, within the SLO: the agent feels it too
                bench.answer(n, 350.0)
        return len(bench.port.answers) - before

    assert refused(0) == 0
    tell(bench, [12.0] * 4, times=20)
    assert refused(100) > 30
    assert set(bench.port.answers) and all(what == "rate-limited" for what, _ in bench.port.answers)
    assert all(after > 0 for after in bench.port.retry_after)
    tell(bench, [0.1] * 4, times=40)
    assert refused(200) == 0


def test_a_list_that_says_full_refuses_nothing_while_own_shots_are_quick():
    # Found by a drawn day: lists ten seconds old kept a fleet refusing 88% while it stood idle.
    bench = live(agents=100)
    for n in range(40):
        bench.serve(n, 30.0)
    tell(bench, [12.0] * 4, times=12)
    for n in range(100, 140):
        bench.serve(n, 30.0)
    assert not bench.port.answers


def test_first_tries_go_before_repeats_and_before_what_has_little_time_left():
    # Found at big-2: clients that came again at once got most of a fleet that was short of room.
    bench = live(agents=100)
    room = bench.submit("first").limit_share
    assert bench.submit("again", is_retry=True).limit_share == room / 2
    assert bench.submit("short", left=100.0).limit_share == pytest.approx(room / 4)
    plain = Bench(settings())
    assert plain.submit("again", is_retry=True).limit_share == plain.submit("first").limit_share


def test_the_word_for_weights_is_read_and_checked():
    raw = {"categories": [{"give_up": 2000.0}]}
    assert read_settings(raw).live_weights is False
    assert [
        read_settings(raw | {"weight_kind": w}).live_weights for w in ("off", "nominal", "rough", "live")
    ] == [False, False, False, True]
    for wrong in ("lively", 3):
        with pytest.raises(BadConfig, match="settings.weight_kind: "):
            read_settings(raw | {"weight_kind": wrong}, "settings")


@pytest.mark.parametrize("size", [0.0, -3.0, 1e9, float("inf"), float("nan")])
def test_a_weight_out_of_all_reason_is_not_taken(size):
    bench = live()
    tell(bench, [1.0] * 4)
    bench.list(UpdateKind.CHANGES, [Listing(0, READY, size=size)])
    tell(bench, [1.0] * 4)
    assert {b.size for b in bench.agent._ready} == {1.0}
    assert {round(b.load, 6) for b in bench.agent._ready} == {1.0}
    assert len({bench.serve(n, 30.0) for n in range(40)}) == 4
