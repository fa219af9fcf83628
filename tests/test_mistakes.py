"""Planted faults in trials with failures: each is reported by its name, and the same trial without it is clean."""

import pytest
from test_rig import SMALL as RIG
from test_trial import SMALL

from lupinreach.bed.ways.faults import FAULTS
from lupinreach.net.clock import Clock
from lupinreach.trial import play, spec
from lupinreach.trial.rig.stage import unsupported_reason

POWER = {"kind": "power", "at": 2, "agents": 1, "backends": 0.8, "registry": 0.5}
DRAIN = {"kind": "drain", "at": 2, "seconds": 6, "targets": [0, 1]}
CRASH = {"kind": "crash", "at": 2, "seconds": 0.8, "targets": [2]}
BUSY = {"traffic": {"calls_per_s": 125}, "rules": {"cold": 8000.0, "drain_grace": 500.0, "fall": 1000.0}}
TRIALS_BY_FAULT = {
    "answers-too-late": {"faults": [POWER | {"backends": 2.5}]},
    "wakes-believing": {
        "troubles": [DRAIN, {"kind": "sleep-agents", "at": 1.5, "seconds": 2.5, "targets": [0, 1, 2]}]
    },
    "spends-anew": BUSY | {"faults": [{"kind": "power", "at": 2, "agents": 1}], "troubles": [CRASH]},
    "resends-payment": {
        "faults": [POWER],
        "troubles": [{"kind": "stall", "at": 1, "seconds": 9, "share": 0.5, "strength": 0.5}],
    },
    "sends-to-draining": {"faults": [POWER], "troubles": [DRAIN | {"at": 4}]},
    "floods-cold": BUSY | {"faults": [POWER]},
    "holds-until-deadline": {"faults": [POWER | {"backends": 2.5}]},
    "answers-twice": {"faults": [POWER]},
    "drops-answer": {"faults": [POWER]},
    "mixes-up-answers": {"faults": [POWER]},
}


def reported_violations(trial, fault):
    one = play.run(spec.read(trial | ({"fault": fault} if fault else {})), 3)
    return {b.name for b in one.result.violations}, one.verdict


@pytest.mark.parametrize("fault", TRIALS_BY_FAULT)
def test_a_planted_fault_is_reported_by_its_name(fault):
    names, verdict = reported_violations(SMALL | TRIALS_BY_FAULT[fault], fault)
    assert FAULTS[fault].caught_as in names and verdict == play.BROKEN
    assert reported_violations(SMALL | TRIALS_BY_FAULT[fault], "") == (set(), play.KEPT)


def rig(fault, more):
    return pytest.param(fault, marks=pytest.mark.rig(RIG | more | {"seconds": 4, "fault": fault}))


@pytest.mark.parametrize(
    "fault",
    [
        rig("sends-to-draining", {"troubles": [DRAIN | {"at": 0.5, "seconds": 3.4}]}),
        rig("answers-too-late", {"faults": [{"kind": "power", "at": 0.5, "backends": 2}]}),
    ],
)
def test_a_planted_fault_is_reported_by_its_name_with_processes(fault, played):
    assert FAULTS[fault].caught_as in {b.name for b in played.result.violations}


def test_worlds_that_need_virtual_time_are_rejected_with_the_key():
    assert unsupported_reason(spec.read(RIG | {"fault": "answers-twice"}).world).startswith("fault: ")
    hanging_disks = {"troubles": [{"kind": "disk-hangs"}]}
    assert unsupported_reason(spec.read(RIG | hanging_disks).world).startswith("troubles[0].kind: ")
    assert unsupported_reason(spec.read(RIG | {"policy": "true-state"}).world).startswith("policy: ")
    assert unsupported_reason(spec.read(RIG | {"fault": "sends-to-draining"}).world) == ""


def test_the_true_state_policy_outdoes_least_request_and_overloads_no_cold_backend():
    least_request, true_state = (
        play.run(spec.read(SMALL | BUSY | {"faults": [POWER], "policy": name}), 3).recovery
        for name in ("least-request", "true-state")
    )
    assert (
        true_state.done_10s > max(0.95, least_request.done_10s)
        and true_state.cold_load <= 1.0 < least_request.cold_load
    )


def test_a_drifting_clock_converts_its_time_to_event_loop_time():
    clock = Clock(5000.0, 0.01)
    for later in (0.0, 60_000.0):
        time = clock.now() + later
        assert clock._anchor + clock.on_loop(time) * 1000 * 1.01 == pytest.approx(time, abs=0.01)
    assert Clock(0.0, 0.01).now() == pytest.approx(Clock().now(), abs=50.0)


def test_a_step_of_the_wall_clock_does_not_change_a_running_clock(monkeypatch):
    clock = Clock()
    before = clock.now()
    monkeypatch.setattr("time.time", lambda: 0.0)
    assert 0 <= clock.now() - before < 1000.0


def test_agents_with_drifting_clocks_keep_the_rules():
    for drift in (0.05, -0.05):
        one = spec.read(
            SMALL
            | {
                "troubles": [
                    {"kind": "drift-agents", "at": 2, "seconds": 9, "share": 0.5, "strength": drift}
                ],
                "faults": [POWER],
            }
        )
        assert play.run(one, 3).verdict == play.KEPT
