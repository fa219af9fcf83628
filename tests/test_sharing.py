"""Fleets that share state: bounds checked at every agent under faults, in virtual time and processes."""

import pytest
from test_rig import SMALL as RIG
from test_trial import SMALL

from benchmarks import shared_bounds
from lupinreach.config import BadConfig
from lupinreach.fleet.grants import Budget
from lupinreach.fleet.observations import Observations
from lupinreach.model import SharedEstimates
from lupinreach.ops.sharing import Sharing
from lupinreach.trial import bounds, play, spec

AGENTS = {"agents": {"count": 4, "store": True, "fleet": True, "share_ms": 300}, "limits": {"peers": True}}


# The benchmark runs the other cases.
@pytest.mark.parametrize(
    "case",
    [
        "a third hears nothing",
        "words lost, doubled, late",
        "a part restarts again and again",
        "sleepers",
        "clocks that drift",
    ],
)
def test_no_bound_is_exceeded_at_any_agent_whatever_fails(case):
    run, most = shared_bounds.run_case(case, 3, agents=8, seconds=14.0)
    assert run.verdict == play.KEPT, run.result.violations[:3]
    assert not [name for name in bounds.CHECKED_BOUNDS if most[name] > 1], most
    assert most["looks"] > 100 and most["lent"] > 0 and most["heard"] > 0, most


def test_incarnation_on_an_empty_disk_that_uses_its_lent_share_is_detected(monkeypatch):
    # A case in which some agents restart without a disk reached 1.17 of the fleet's trials.
    plain = Budget.__init__
    monkeypatch.setattr(
        Budget,
        "__init__",
        lambda self, now, total, agents, lease: plain(self, now, total, agents, lease, True),
    )
    assert (
        shared_bounds.run_case("a part restarts again and again", 3, agents=8, seconds=14.0)[1]["trials"] > 1
    )


# Injected faults, each detected by the bound that it exceeds.


def test_lease_by_a_clock_that_was_set_back_is_detected(monkeypatch):
    plain = Budget.__init__

    def set_back(self, *given, **more):
        plain(self, *given, **more)
        self._borrow_for *= 3

    monkeypatch.setattr(Budget, "__init__", set_back)
    assert shared_bounds.run_case("nothing", 3, agents=8, seconds=22.0)[1]["trials"] > 1


def test_unbounded_cost_factors_are_detected(monkeypatch):
    monkeypatch.setattr(
        Observations, "cost_factors", lambda self, now, own: {key: 1e6 for key in self.estimates(now, own)}
    )
    assert shared_bounds.run_case("a slow tenth", 3, agents=8, seconds=14.0)[1]["dearer"] > 1


def test_counts_merged_by_sums_are_detected(monkeypatch):
    from test_shared import Sums

    monkeypatch.setattr("lupinreach.ops.sharing.Counts", Sums)
    assert shared_bounds.run_case("words lost, doubled, late", 3, agents=8, seconds=14.0)[1]["counts"] > 1


@pytest.mark.rig(
    RIG
    | AGENTS
    | {
        "seconds": 9,
        "troubles": [
            {"kind": "slow", "at": 1, "seconds": 6, "targets": [0], "strength": 6},
            {"kind": "deaf-agents", "at": 1, "seconds": 6, "targets": [1]},
        ],
    }
)
def test_fleet_of_processes_shares_state_while_one_agent_receives_nothing(played):
    assert played.result.rules == {rule: "kept" for rule in played.result.rules}, played.result.violations[:3]


def test_freshness_ages_with_silence_and_recovers(monkeypatch):
    stages, update = {}, Sharing.update

    def recorded(self):
        update(self)
        if (past := stages.setdefault(self.observations.me, []))[-1:] != [self.stage.value]:
            past.append(self.stage.value)

    monkeypatch.setattr(Sharing, "update", recorded)
    deaf = {"kind": "deaf-agents", "at": 1, "seconds": 7, "targets": [1]}
    trial = spec.read(SMALL | AGENTS | {"seconds": 12, "troubles": [deaf]})
    assert play.run(trial, 3).verdict == play.KEPT
    assert stages[1] == ["fresh", "ageing", "alone", "fresh"] and stages[0] == ["fresh"]


def test_sharing_needs_a_fleet():
    with pytest.raises(BadConfig, match=r"agents\.share_ms: needs agents\.fleet"):
        spec.read(SMALL | {"agents": {"share_ms": 300}})
    assert SharedEstimates({}).over_share is None
