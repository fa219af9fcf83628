"""Lists whose weights fall with load: size / (1 + calls held per core), equally late for all agents."""

import random
from collections import Counter

import pytest
from helpers import READY, Bench, settings

from lupinreach.config import BadConfig, read_settings
from lupinreach.model import Listing, UpdateKind

UPDATE_MS = 200.0  # between two updates


def listings(loads, size=4.0):
    return [Listing(i, READY, size=size / (1 + load), name=i) for i, load in enumerate(loads)]


def live(agents=2, backends=4, **more):
    return Bench(settings(live_weights=True, agents=agents, **more), entries=listings([0.0] * backends))


def tell(bench, loads, times=1):
    for _ in range(times):
        bench.move(UPDATE_MS)
        bench.list(UpdateKind.CHANGES, listings(loads))


def test_highest_weight_is_the_size_and_lower_ones_tell_load():
    bench = live()
    tell(bench, [3.0, 0.0, 1.0, 0.0])
    ready = {b.index: b for b in bench.agent._ready}
    assert {b.size for b in ready.values()} == {1.0}
    assert [round(ready[i].load, 6) for i in range(4)] == [3.0, 0.0, 1.0, 0.0]


def test_other_kinds_of_weight_tell_no_load():
    bench = Bench(settings(), entries=listings([0.0] * 4))
    tell(bench, [3.0, 0.0, 1.0, 0.0])
    ready = {b.index: b for b in bench.agent._ready}
    assert ready[0].size < ready[1].size and not any(b.load for b in ready.values())


def test_key_keeps_its_home_while_weights_vary_and_leaves_it_while_it_is_loaded():
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


def test_loaded_backend_gets_fewer_turns_and_none_is_overloaded():
    bench = live(backends=4)
    turns = Counter()
    for n in range(200):
        if n % 5 == 0:
            tell(bench, [4.0, 0.5, 0.5, 0.5])
        turns[bench.serve(n, 100.0)] += 1
    least, *rest = sorted(turns.values())
    assert turns[0] == least and 0 < least < min(rest) / 2
    assert max(rest) < 1.2 * min(rest)


def test_many_agents_reject_by_listed_load_and_admit_all_when_it_falls():
    bench = live(agents=100)
    tell(bench, [0.0] * 4, times=5)
    bench.serve("first", 100.0)

    def refused(first):
        before = len(bench.port.answers)
        for n in range(first, first + 40):
            if bench.submit(n).attempts:
                bench.move(350.0)  # slow, within the SLO: the agent's own attempts show it too
                bench.answer(n, 350.0)
        return len(bench.port.answers) - before

    assert refused(0) == 0
    tell(bench, [12.0] * 4, times=20)
    assert refused(100) > 30
    assert set(bench.port.answers) and all(what == "rate-limited" for what, _ in bench.port.answers)
    assert all(after > 0 for after in bench.port.retry_after)
    tell(bench, [0.1] * 4, times=40)
    assert refused(200) == 0


def test_listed_overload_rejects_nothing_while_own_attempts_are_fast():
    # Found on a generated day: lists ten seconds old kept an idle fleet rejecting 88% of the calls.
    bench = live(agents=100)
    for n in range(40):
        bench.serve(n, 30.0)
    tell(bench, [12.0] * 4, times=12)
    for n in range(100, 140):
        bench.serve(n, 30.0)
    assert not bench.port.answers


def test_first_tries_go_before_retries_and_calls_with_little_time_left():
    # Found on an overloaded fleet: clients that retried at once got most of its capacity.
    bench = live(agents=100)
    share = bench.submit("first").limit_share
    assert bench.submit("again", is_retry=True).limit_share == share / 2
    assert bench.submit("short", left=100.0).limit_share == pytest.approx(share / 4)
    plain = Bench(settings())
    assert plain.submit("again", is_retry=True).limit_share == plain.submit("first").limit_share


def test_weight_kind_is_read_and_checked():
    raw = {"categories": [{"give_up": 2000.0}]}
    assert read_settings(raw).live_weights is False
    assert [
        read_settings(raw | {"weight_kind": w}).live_weights for w in ("off", "nominal", "rough", "live")
    ] == [False, False, False, True]
    for wrong in ("lively", 3):
        with pytest.raises(BadConfig, match="settings.weight_kind: "):
            read_settings(raw | {"weight_kind": wrong}, "settings")


@pytest.mark.parametrize("size", [0.0, -3.0, 1e9, float("inf"), float("nan")])
def test_implausible_weight_is_ignored(size):
    bench = live()
    tell(bench, [1.0] * 4)
    bench.list(UpdateKind.CHANGES, [Listing(0, READY, size=size)])
    tell(bench, [1.0] * 4)
    assert {b.size for b in bench.agent._ready} == {1.0}
    assert {round(b.load, 6) for b in bench.agent._ready} == {1.0}
    assert len({bench.serve(n, 30.0) for n in range(40)}) == 4
