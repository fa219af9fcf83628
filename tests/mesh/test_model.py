"""The models find every mistake that is planted, and nothing in the text as it is."""

from __future__ import annotations

from pathlib import Path

import pytest

from lupinreach.mesh.model.histories import SimulationParameters, run_history
from lupinreach.mesh.model.history_format import (
    HistoryFormatError,
    format_history,
    parse_budget,
    parse_history,
)
from lupinreach.mesh.model.mistakes import MISTAKES, Mistake
from lupinreach.mesh.model.search import Budget, replay, search

FILES = sorted((Path(__file__).parent / "histories").glob("*.txt"))
USUAL, LATE, LATE_FIVE = (
    SimulationParameters(),
    SimulationParameters(1, 5.0, 0.1),
    SimulationParameters(2, 5.0, 0.1),
)

# A drawn history that finds each mistake which has no file; the seeds were the first that did.
DRAWN = {
    "late-write": (0, LATE),
    "change-unchecked": (2, LATE),
    "own-disk-ignored": (1, USUAL),
    "disk-unheeded": (1, USUAL),
    "numbers-alone": (0, USUAL),
    "installed-unsealed": (0, LATE_FIVE),
    "unsynced-write": (0, USUAL),
    "unsealed": (0, LATE_FIVE),
    "seal-unsynced": (1, LATE),
    "marks-dropped": (16, LATE),
    "no-wait-for-copies": (0, LATE_FIVE),
    "no-adoption": (39, LATE),
    "half-is-majority": (18, LATE_FIVE),
    "ballots-ignored": (0, LATE),
    "any-voter-proposes": (0, LATE),
    "first-answer-counts": (0, LATE_FIVE),
    "mark-without-document": (6, LATE_FIVE),
}


def find_mistake(name: str) -> Mistake:
    return next(one for one in MISTAKES if one.name == name)


def test_every_mistake_has_a_history() -> None:
    assert {one.name for one in MISTAKES} == {*DRAWN, *(path.stem for path in FILES)}


@pytest.mark.parametrize("name", sorted(DRAWN))
def test_a_drawn_history_finds_the_mistake(name: str) -> None:
    with find_mistake(name).applied():
        assert run_history(*DRAWN[name])[1] is not None
    assert run_history(*DRAWN[name])[1] is None


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_a_shortest_history_finds_the_mistake(path: Path) -> None:
    budget, steps = parse_history(path.read_text())
    with find_mistake(path.stem).applied():
        assert replay(budget, steps)[-1].startswith("BROKEN")


@pytest.mark.parametrize(
    ("budget", "states"),
    [
        (Budget(orders=2, full_disks=1, deaths=1), 100),
        (Budget(orders=1, timeouts=1, wipes=1), 5_000),
        (Budget(timeouts=1, doubles=1), 2_500),
    ],
)
def test_nothing_breaks_in_any_state_of_a_small_group(budget: Budget, states: int) -> None:
    found = search(budget, 20_000)
    assert found.complete and not found.broken
    assert found.states > states


def test_a_history_is_read_as_it_was_written() -> None:
    steps = [("deliver", (3, False)), ("time_out", ("a", "")), ("order", ("a", "x"))]
    budget = Budget(orders=1, timeouts=2)
    assert parse_history(format_history("told", budget, steps)) == (budget, steps)


@pytest.mark.parametrize("words", ["orders", "orders=x", "luck=1"])
def test_a_budget_that_cannot_be_read_is_named(words: str) -> None:
    with pytest.raises(HistoryFormatError, match=words):
        parse_budget(words)
