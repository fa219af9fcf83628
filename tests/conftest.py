"""Small fleets of processes: those that the selected tests want are played beside each other, once, at the first that asks."""

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from os import cpu_count

import pytest

from lupinreach.trial import play, spec

BESIDE = max(1, (cpu_count() or 1) // 2)  # each of them has some ten processes that mostly wait
SEED = 3
MORE = 2  # times that a run whose rig was late is played again, alone
RIGS = pytest.StashKey()


def pytest_configure(config):
    config.addinivalue_line(
        "markers", "rig(raw): the trial of which the fixture `played` is a run with processes"
    )


def pytest_collection_finish(session):
    session.config.stash[RIGS] = (
        {
            item.nodeid: item.get_closest_marker("rig").args[0]
            for item in session.items
            if item.get_closest_marker("rig")
        },
        {},
    )


@pytest.fixture
def played(request):
    """The run; one whose rig was in time if one of three is: on a busy machine the others say nothing."""
    wanted, runs = request.config.stash[RIGS]
    if not runs:
        # Waited for as a whole: guards against tests of real time beside fleets of processes.
        with ProcessPoolExecutor(BESIDE, get_context("spawn")) as pool:
            trials = [(spec.read(raw), SEED) for raw in wanted.values()]
            runs.update(zip(wanted, pool.map(play.run, *zip(*trials, strict=True)), strict=True))
    one = runs[request.node.nodeid]
    for _ in range(MORE):
        if one.unsure:
            one = play.run(spec.read(wanted[request.node.nodeid]), SEED)
    return one
