"""Drawn histories of the store: crashes, lost and full disks, freezes, cuts, messages lost, doubled and late."""

from __future__ import annotations

import pytest

from lupinreach.mesh.model.histories import SimulationParameters, run_history

HISTORIES = 40
# Drawn later: a store that was slow in the founding had no vote, and two voters did not bear the loss of one.
FOUND_BROKEN = [(101836, SimulationParameters(1, 5.0, 0.1))]


@pytest.mark.parametrize("tolerated_losses", [1, 2, 4])
@pytest.mark.parametrize(("max_delay_s", "delayed_fraction"), [(0.4, 0.0), (5.0, 0.1)])
def test_nothing_acknowledged_is_lost(
    tolerated_losses: int, max_delay_s: float, delayed_fraction: float
) -> None:
    plan = SimulationParameters(tolerated_losses, max_delay_s, delayed_fraction)
    acknowledged = 0
    for seed in range(HISTORIES):
        confirmed, broken = run_history(seed, plan)
        assert broken is None
        acknowledged += confirmed
    assert acknowledged > HISTORIES * 20


@pytest.mark.parametrize(("seed", "plan"), FOUND_BROKEN)
def test_a_history_that_broke_an_earlier_text(seed: int, plan: SimulationParameters) -> None:
    assert run_history(seed, plan)[1] is None
