"""The test bed: reproducible runs, detection of planted faults, injected faults, the models, world files and search."""

import os
import statistics
import subprocess
import sys

import pytest

from lupinreach.bed.judging import check, service
from lupinreach.bed.ways import virtual
from lupinreach.bed.ways.faults import FAULTS
from lupinreach.bed.world import spec
from lupinreach.config import BadConfig

LOOK_PRODUCT = {"name": "look", "share": 3}
MARK_PRODUCT = {"name": "mark", "kind": "deduplicated", "memory": 50.0, "value": 3}
PAY_PRODUCT = {"name": "pay", "kind": "non-idempotent", "value": 5}


def world(**more):
    return spec.read(
        {
            "name": "w",
            "seconds": 6,
            "zones": ["a", "b"],
            "agents": {"count": 3},
            "backends": [{"count": 6, "cores": 2}],
            "products": [LOOK_PRODUCT, MARK_PRODUCT, PAY_PRODUCT],
            "traffic": {"calls_per_s": 120},
        }
        | more
    )


def play_and_check(one, seed=1):
    records = virtual.play(one, seed).records
    return check.Checker(one).read(records), records


# The world in which each planted fault shows.
FAULT_WORLDS = {
    "answers-twice": {},
    "drops-answer": {},
    "mixes-up-answers": {},
    "resends-payment": {
        "troubles": [{"kind": "stall", "at": 1, "seconds": 4, "share": 0.5, "strength": 0.5}]
    },
    "repeats-past-memory": {
        "troubles": [{"kind": "stall", "at": 1, "seconds": 4, "share": 0.5, "strength": 0.5}]
    },
    "sends-to-draining": {
        "seconds": 10,
        "troubles": [{"kind": "drain", "at": 1, "seconds": 8, "targets": [2]}],
    },
    "floods-cold": {
        "troubles": [{"kind": "crash", "at": 1, "seconds": 1, "targets": [2]}],
        "backends": [{"count": 6, "cores": 1}],
        "traffic": {"calls_per_s": 80},
        "rules": {"cold": 8000.0, "fall": 1000.0},
    },
    "holds-until-deadline": {
        "troubles": [{"kind": "fail", "at": 1, "seconds": 4, "share": 1.0, "strength": 1.0}]
    },
}


@pytest.mark.parametrize("fault", FAULT_WORLDS)
def test_a_planted_fault_is_reported_by_name_and_the_same_world_without_it_has_no_violations(fault):
    violations, _ = play_and_check(world(fault=fault, **FAULT_WORLDS[fault]))
    assert FAULTS[fault].caught_as in {b.name for b in violations}
    assert play_and_check(world(**FAULT_WORLDS[fault]))[0] == []


def test_an_exception_inside_an_agent_is_reported_as_a_fault(monkeypatch):
    from lupinreach.balance import Balancer

    kept = Balancer.dispatch
    monkeypatch.setattr(
        Balancer,
        "dispatch",
        lambda self, now, call: kept(self, now, call) if call.token._id != b"9.0" else 1 / 0,
    )
    violations, records = play_and_check(world(seconds=1))
    assert [(b.rule, b.what) for b in violations] == [("faults", "fault: api call x1")]
    assert [r[3] for r in records if r[0] == "got" and r[2] == "9.0"] == [500]


def test_the_same_seed_gives_the_same_ledger_in_two_processes():
    program = (
        "from lupinreach.bed.world import spec\nfrom lupinreach.bed.ways import virtual\n"
        "print(virtual.play(spec.read_file('calm'), 5).digest())"
    )
    digests = {
        subprocess.run(
            [sys.executable, "-c", program],
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": "."},
        ).stdout
        for seed in ("1", "2")
    }
    assert len(digests) == 1
    one = spec.read_file("calm")
    assert (
        virtual.play(one, 5).digest() + "\n" in digests
        and virtual.play(one, 6).digest() + "\n" not in digests
    )


# Injected faults: each takes effect, and no rule is violated.


def trouble(kind, at=1, seconds=3, **more):
    return {"kind": kind, "at": at, "seconds": seconds} | more


def test_cutting_off_a_zone_loses_answers_and_breaks_no_rule():
    violations, records = play_and_check(
        world(
            troubles=[trouble("cut", targets=["b"]), trouble("cut", at=5, seconds=0.1)],
            network={"cross": 20.0, "jitter": 2.0},
        )
    )
    assert violations == []
    answered = {r[2] for r in records if r[0] == "got" and r[3] == 200}
    ran = {r[3] for r in records if r[0] == "ran"}
    assert ran - answered  # work was done whose answers were lost


def test_a_restarting_agent_answers_all_requests_in_flight():
    violations, records = play_and_check(
        world(
            agents={"count": 1},
            products=[LOOK_PRODUCT | {"work": 400, "slo": 2000}, PAY_PRODUCT | {"work": 400, "slo": 2000}],
            backends=[{"count": 40, "cores": 4}],
            traffic={"calls_per_s": 400},
            troubles=[trouble("restart-agents", at=3, seconds=2)],
        )
    )
    stopping = next(r[1] for r in records if r[0] == "agent" and r[4] == "stopping")
    out = {r[2] for r in records if r[0] == "asked" and r[1] < stopping} - {
        r[2] for r in records if r[0] == "got" and r[1] < stopping
    }
    assert len(out) > 100 and violations == []
    ended = [r for r in records if r[0] == "agent" and r[4] == "ended"]
    assert len(ended) == 1 and out <= {r[2] for r in records if r[0] == "got" and r[1] <= ended[0][1]}


def test_a_killed_agent_loses_only_its_requests_in_flight_and_restarts():
    violations, records = play_and_check(
        world(agents={"count": 1}, troubles=[trouble("kill-agents", at=2, seconds=1)])
    )
    assert violations == []
    killed = next(r[1] for r in records if r[0] == "agent" and r[4] == "killed")
    back = next(r[1] for r in records if r[0] == "agent" and r[3] == 2)
    fulfilled = [r[1] for r in records if r[0] == "got" and r[3] == 200]
    assert any(t > back for t in fulfilled) and not any(killed < t < back for t in fulfilled)
    assert all(r[3] != 1 for r in records if r[0] == "sent" and r[1] > killed)


def test_an_event_loop_blocked_for_50_ms_delays_answers_and_loses_none():
    _, calm = play_and_check(world(agents={"count": 1}))
    violations, records = play_and_check(
        world(agents={"count": 1}, troubles=[trouble("busy-agents", seconds=4)])
    )
    p99 = [service.count(world(), some)["latency_ms"]["p99"] for some in (calm, records)]
    assert violations == [] and p99[1] > p99[0] + 20


def test_agents_follow_a_registry_that_restarts_at_a_lower_version():
    one = world(
        seconds=14,
        registry={"restart_version": 1},
        troubles=[trouble("registry-back", at=1, seconds=2), trouble("drain", at=9, seconds=4, targets=[1])],
    )
    violations, records = play_and_check(one)
    assert violations == []
    versions = [r[4] for r in records if r[0] == "told" and r[2] == 0]
    assert any(b < a for a, b in zip(versions, versions[1:], strict=False))
    told = next(r[1] for r in records if r[0] == "told" and r[2] == 0 and [1, "Terminating"] in r[5])
    assert not any(r[4] == 1 and told + 1.5e6 < r[1] < 13e6 for r in records if r[0] == "sent" and r[2] == 0)


def test_an_answer_that_coincides_with_the_clients_timeout_breaks_no_rule():
    # The client's timeout is the usual time of an answer, give or take a microsecond.
    def play(timeout):
        one = world(
            products=[LOOK_PRODUCT | {"work": 20, "spread": 0.0, "slo": 20, "timeout": timeout}],
            clients={"try_share": 1.0},
            backends=[{"count": 6, "cores": 4}],
            rules={"answer_slack": 0.0},
            network={"same": 0.5, "cross": 0.5, "jitter": 0.0},
            traffic={"calls_per_s": 60},
        )
        violations, records = play_and_check(one)
        return one, violations, records

    one, _, records = play(500.0)
    exact = statistics.mode(round(c.latency_ms, 3) for c in service.calls(one, records).values())
    kinds = set()
    for waits in (exact - 0.001, exact, exact + 0.001, exact + 0.1):
        _, violations, records = play(waits)
        kinds |= {r[0] for r in records}
        # Late answers only: no second answer, no attempt after the answer, no answer of another call.
        assert {b.name for b in violations} <= {"no answer"}
    assert {"left", "got"} <= kinds


def test_timers_due_at_the_same_time_run_in_the_order_in_which_they_were_set():
    from lupinreach.bed.ways.loop import VirtualLoop

    loop, ran = VirtualLoop(), []
    at = loop.time() + 1
    handles = [loop.call_at(at, ran.append, i) for i in range(200)]
    for handle in handles[::3]:
        handle.cancel()
    loop.call_at(at, loop.stop)
    loop.run_forever()
    loop.close()
    assert ran == [i for i in range(200) if i % 3] and loop.time() == at


# The models, compared with values calculated by hand.


def test_a_backend_works_at_the_rate_that_its_cores_and_age_allow():
    from lupinreach.bed.peers.backend import Backend, GroupMemory, Job, Outcome

    one = world(rules={"cold": 1000.0, "start_capacity": 0.5})
    b = Backend(0, 0, 2, 2.0, one.backend, one.rules, 1e9, 100.0, GroupMemory())
    b.boot(0.0, cold=False)
    jobs = [Job(str(i), 0, 10.0, None, None, 0.0, None) for i in range(5)]
    assert all(b.receive(0.0, j, 0.9) is Outcome.ACCEPTED for j in jobs) and b.request_count == 5
    ends, now = [], 0.0
    while b.request_count:
        now = b.due(now)
        ends += [(round(now, 3), j.name) for j in b.advance(now)]
    assert ends == [(5.0, "0"), (5.0, "1"), (10.0, "2"), (10.0, "3"), (15.0, "4")]
    b.boot(100.0, cold=True)
    b.receive(100.0, Job("cold", 0, 20.0, None, None, 0.0, None), 0.9)
    done = b.advance(130.0)
    assert b.warm_fraction(100.0) == 0.5 and [j.name for j in done] == [
        "cold"
    ]  # 20 ms of work at half of speed 2, rising slightly
    b.boot(200.0, cold=True)
    allowed = 2.5 * 4.0 * 0.5 * one.rules.fall
    b.receive(200.0, Job("flood", 0, 1.2 * allowed, None, None, 0.0, None), 0.9)
    assert b.crashed


def test_a_dedup_key_is_remembered_for_its_time_and_by_its_group_only():
    from lupinreach.bed.peers.backend import GroupMemory

    here, there = GroupMemory(), GroupMemory()
    assert not here.check_duplicate(0.0, "m", 100.0) and here.check_duplicate(99.0, "m", 100.0)
    assert not there.check_duplicate(50.0, "m", 100.0) and not here.check_duplicate(101.0, "m", 100.0)


def test_a_registry_reports_each_change_once_and_all_entries_after_a_restart():
    from lupinreach.bed.peers.registry import Entry, Registry

    r = Registry()
    entries = [Entry(f"u{i}", i, "a:1", "z", "k", 0, 1.0) for i in range(4)]
    first = [r.set(e) for e in entries][-1]
    r.set(entries[2], state="Terminating")
    r.set(entries[1], state="Gone")
    assert [(e.uid, e.state) for e in r.changes_since(first)] == [("u2", "Terminating"), ("u1", "Gone")]
    assert {e.uid for e in r.listed_entries()} == {"u0", "u2", "u3"} and r.changes_since(r.version) == []
    r.restart(3)
    assert r.version == 3 and len(r.changes_since(2)) == 3 and r.changes_since(3) == []


def test_arrivals_have_the_specified_rate_and_shares():
    from lupinreach.bed.world.traffic import arrivals

    one = spec.read(
        {
            "seconds": 100,
            "products": [LOOK_PRODUCT, PAY_PRODUCT],
            "agents": {"count": 3, "zipf": 1.0},
            "traffic": {"calls_per_s": 100, "shape": "bursts", "swing": 0.5, "period": 5},
            "troubles": [{"kind": "surge", "at": 90, "seconds": 10, "strength": 3}],
        }
    )
    calls = arrivals(one, 1)
    calm = [c for c in calls if c.at < 90_000]
    assert 0.9 < len(calm) / 9000 < 1.1 and 2.5 < (len(calls) - len(calm)) / 1000 < 3.5
    assert 0.7 < sum(c.product == 0 for c in calls) / len(calls) < 0.8
    by_agent = [sum(c.agent == n for c in calls) for n in range(3)]
    assert 1.7 < by_agent[0] / by_agent[1] < 2.3 and by_agent[2] < by_agent[1]
    assert [c.at for c in calls] == sorted(c.at for c in calls)


# World files and commands.


@pytest.mark.parametrize(
    "raw, complaint",
    [
        ({"secnds": 3}, "secnds: unknown key"),
        ({"traffic": {"calls_per_s": -1}}, "traffic.calls_per_s: -1 is out of range"),
        ({"backends": [{"speed": [2, 1]}]}, "backends[0].speed: 2.0 is above 1.0"),
        ({"backends": [{"zones": ["moon"]}]}, "backends[0].zones[0]: 'moon' is none of here"),
        ({"products": [{"name": "a", "kind": "risky"}]}, "products[0].kind: unknown 'risky'"),
        ({"products": [{}]}, "products[0].name: missing"),
        ({"troubles": [{"kind": "fire"}]}, "troubles[0].kind: unknown 'fire'"),
        ({"troubles": [{"kind": "slow", "strenght": 1}]}, "troubles[0].strenght: unknown key"),
        ({"troubles": [{"kind": "fail", "strength": 2}]}, "troubles[0].strength: 2 is out of range"),
        (
            {"troubles": [{"kind": "crash", "targets": [9]}]},
            "troubles[0].targets: there is no 9 among 4 backends",
        ),
        (
            {"troubles": [{"kind": "cut", "targets": ["x"]}]},
            "troubles[0].targets[0]: 'x' names none of the zones",
        ),
        ({"seeds": ["a"]}, "seeds[0]: 'a' is no whole number"),
        ({"measure": ["beauty"]}, "measure[0]: unknown 'beauty'"),
        ({"policy": "magic"}, "policy: unknown 'magic'"),
        ({"agents": {"count": 1, "colour": 2}}, "agents.colour: unknown key"),
    ],
)
def test_an_invalid_world_is_rejected_with_the_full_path_of_the_key(raw, complaint):
    with pytest.raises(BadConfig) as refused:
        spec.read(raw)
    assert str(refused.value).startswith(complaint)


@pytest.mark.parametrize("name", sorted(p.stem for p in spec.WORLDS_DIR.glob("*.toml")))
def test_a_world_is_unchanged_by_writing_and_reading_it(name, tmp_path):
    one = spec.read_file(name)
    (tmp_path / "w.toml").write_text(spec.to_toml(one))
    assert spec.read_file(tmp_path / "w.toml") == one


def run_command(*words, **more):
    return subprocess.run(
        [sys.executable, "-m", "lupinreach.cli", *words],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": "."},
        timeout=100,
        **more,
    )


def test_the_exit_code_reports_the_verdict_of_a_run(tmp_path):
    import json

    good = run_command("bed", "run", "calm", "--json", str(tmp_path / "o.json"), "--report", str(tmp_path))
    summary = json.loads(good.stdout)
    assert (
        good.returncode == 0
        and summary["verdict"] == "kept"
        and summary["calls"] > 500
        and summary["service"] > 0.9
    )
    assert json.loads((tmp_path / "o.json").read_text())["runs"][0]["digest"] == summary["digest"]
    page = (tmp_path / "calm-lupinreach-1.html").read_text()
    assert page.count("<svg") == 5 and "http-equiv" not in page and "<script" not in page
    (tmp_path / "bad.toml").write_text('base = "calm"\nseconds = 4\nfault = "answers-twice"\n')
    broken = run_command("bed", "run", str(tmp_path / "bad.toml"))
    assert broken.returncode == 1 and json.loads(broken.stdout)["verdict"] == "broken"
    assert "answered twice" in broken.stderr
    (tmp_path / "worse.toml").write_text("[agents]\ncount = 'x'\n")
    refused = run_command("bed", "run", str(tmp_path / "worse.toml"))
    assert (refused.returncode, refused.stdout) == (2, "")
    assert refused.stderr == "lupinreach: agents.count: 'x' is no number\n"
    assert run_command("check-config", str(tmp_path / "worse.toml")).returncode == 2
    assert run_command("check-config", "rough").returncode == 0


def test_the_agent_command_does_not_import_the_bed():
    program = (
        "import sys\nsys.argv = ['lupinreach', 'agent']\nimport lupinreach.cli as c\n"
        "try:\n    c.main()\nexcept SystemExit as e:\n    print(e.code)\n"
        "print(sorted(m for m in sys.modules if m.split('.')[0] in "
        "('click', 'rich', 'numpy', 'hdrh', 'matplotlib') or 'lupinreach.bed' in m))"
    )
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        env={k: v for k, v in os.environ.items() if k != "PROXY_CONFIG"} | {"PYTHONPATH": "."},
    )
    assert done.stdout == "2\n[]\n" and "PROXY_CONFIG: missing" in done.stderr


def test_two_policies_on_the_same_seeds_run_in_the_same_world():
    from lupinreach.bed.commands import experiment

    one = world(seconds=3, seeds=[3, 4])
    found = experiment.compare(one, ["round-robin"], workers=1)
    ours, theirs = found["lupinreach"], found["round-robin"]
    assert [r.seed for r in ours] == [r.seed for r in theirs] == [3, 4]
    assert [r.figures["calls"] for r in ours] == [r.figures["calls"] for r in theirs]
    assert [r.digest for r in ours] != [r.digest for r in theirs]


def test_the_search_finds_a_planted_fault_and_shrinks_it_to_a_world_file_that_reproduces_it(
    tmp_path, monkeypatch
):
    from lupinreach.bed.commands import search as searching
    from lupinreach.bed.commands.search import search

    monkeypatch.setattr(searching, "SHRINK_SEEDS", 2)
    one = world(fault="resends-payment", seconds=3, traffic={"calls_per_s": 60})
    broken, _ = search(one, budget=8, seed=1, workers=1)
    assert broken is not None
    (tmp_path / "small.toml").write_text(spec.to_toml(broken.world))
    again = spec.read_file(tmp_path / "small.toml")
    assert again.agents < one.agents and len(again.troubles) == 1
    violations, records = play_and_check(again, again.seeds[0])
    assert "effect twice" in {b.name for b in violations}


def test_the_calm_world_is_served_alike_on_loopback_and_in_virtual_time():
    from dataclasses import replace

    from lupinreach.bed.commands import experiment

    one = replace(spec.read_file("calm"), length=4000.0)
    virtually, really = (experiment.run(replace(one, mode=mode), 1) for mode in ("virtual", "loopback"))
    assert virtually.kept and really.kept and virtually.figures["calls"] == really.figures["calls"] > 200
    assert abs(virtually.figures["service"] - really.figures["service"]) <= 0.03


def test_backends_that_close_idle_connections_early_run_no_payment_twice():
    # Connections close after so short an idle time that, with these delays, a close can cross a request.
    one = world(
        backend={"idle": [40.0, 41.0]},
        products=[PAY_PRODUCT],
        agents={"count": 6},
        traffic={"calls_per_s": 60},
        network={"same": 10.0, "cross": 25.0},
    )
    violations, records = play_and_check(one)
    assert violations == []
    sent, arrived = ({r[i] for r in records if r[0] == kind} for kind, i in (("sent", 5), ("came", 4)))
    assert sent - arrived  # sent on a connection that was being closed


def test_a_registry_handles_requests_one_at_a_time_and_rejects_those_that_wait_too_long():
    one = world(
        seconds=4,
        agents={"count": 8},
        registry={"call_cost": 400.0, "call_wait": 2000.0},
        troubles=[
            {"kind": "replace", "at": 0.2, "seconds": 1, "targets": [0, 1]},
            {"kind": "kill-agents", "at": 1, "seconds": 1, "share": 1.0},
        ],
    )
    violations, records = play_and_check(one)
    assert violations == []
    told = {(r[2], r[3]) for r in records if r[0] == "told"}
    assert len({agent for agent, _ in told}) == 8


@pytest.mark.parametrize("name", ["fleet-herd", "fleet-zone", "fleet-join"])
def test_a_large_fleet_world_keeps_the_rules(name):
    whole = spec.read_file(name)
    short = spec.read(spec.world_to_dict(whole) | {"seconds": 9})
    records = virtual.play(short, 1).records
    assert check.Checker(short).read(records) == []
