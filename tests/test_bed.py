"""The bed in virtual time: the same run every time, planted faults caught by name, hard cases, and the search."""

import os
import subprocess
import sys

import pytest

from lupinreach.bed import check, service, spec, virtual
from lupinreach.bed.faults import FAULTS
from lupinreach.config import BadConfig

LOOK = {"name": "look", "share": 3}
MARK = {"name": "mark", "kind": "deduplicated", "memory": 50.0, "value": 3}
PAY = {"name": "pay", "kind": "non-idempotent", "value": 5}


def world(**more):
    return spec.read({"name": "w", "seconds": 6, "zones": ["a", "b"], "agents": {"count": 3},
                      "backends": [{"count": 6, "cores": 2}], "products": [LOOK, MARK, PAY],
                      "traffic": {"calls_per_s": 120}} | more)


def judged(one, seed=1):
    records = virtual.play(one, seed).records
    return check.Checker(one).read(records), records


# What makes each planted fault show.
SHOWS = {
    "answers-twice": {}, "drops-answer": {}, "mixes-up-answers": {},
    "resends-payment": {"troubles": [{"kind": "stall", "at": 1, "seconds": 4, "share": 0.5, "strength": 0.5}]},
    "repeats-past-memory": {"troubles": [{"kind": "stall", "at": 1, "seconds": 4, "share": 0.5, "strength": 0.5}]},
    "sends-to-draining": {"seconds": 10, "troubles": [{"kind": "drain", "at": 1, "seconds": 8, "targets": [2]}]},
    "floods-cold": {"troubles": [{"kind": "crash", "at": 1, "seconds": 1, "targets": [2]}],
                    "backends": [{"count": 6, "cores": 1}], "traffic": {"calls_per_s": 80},
                    "rules": {"cold": 8000.0, "fall": 1000.0}},
    "holds-until-deadline": {"troubles": [{"kind": "fail", "at": 1, "seconds": 4, "share": 1.0, "strength": 1.0}]},
}


@pytest.mark.parametrize("fault", SHOWS)
def test_a_planted_fault_is_caught_by_its_name_and_its_twin_without_it_is_clean(fault):
    breaches, _ = judged(world(fault=fault, **SHOWS[fault]))
    assert FAULTS[fault].caught_as in {b.name for b in breaches}
    assert judged(world(**SHOWS[fault]))[0] == []
