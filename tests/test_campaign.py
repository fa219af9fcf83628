"""Tests of the campaign (generated histories, its database, guidance, minimizing) and of the model search."""

import json
import os
import subprocess
import sys
import time
from collections import Counter
from dataclasses import replace

import pytest
from test_trial import command

from lupinreach.bed.world.random_streams import random_stream
from lupinreach.ops.sharing import Sharing
from lupinreach.trial import play, spec
from lupinreach.trial.campaign import generator, page, runner
from lupinreach.trial.campaign.database import CampaignDatabase, History, InvalidDatabase
from lupinreach.trial.campaign.runner import Campaign, CoverageGuide, minimize_history, run_history
from lupinreach.trial.models.search import StateLimitExceeded, search

# Generated histories.


def test_numbers_determine_histories_and_every_kind_of_trouble_occurs():
    raws = [generator.random_trial(5, n) for n in range(300)]
    assert raws[:9] == [generator.random_trial(5, n) for n in range(9)] and raws[0] != generator.random_trial(
        6, 0
    )
    kinds = Counter(t["kind"] for raw in raws for t in raw["troubles"])
    assert set(kinds) == {kind for area in generator.TROUBLES_BY_AREA.values() for kind in area}
    assert 0.5 < sum(bool(raw["faults"]) for raw in raws) / 300 < 0.7
    for n, raw in enumerate(raws):
        mutated = generator.mutate(raw, 5, n)
        spec.read(raw), spec.read(mutated)  # strict
        if reduced := generator.reduced_for_processes(mutated):
            assert (
                spec.read(reduced).world.agents <= 5
                and not {t["kind"] for t in reduced["troubles"]} & generator.VIRTUAL_ONLY
            )


def history(number, features=(), **changes):
    figures = {"whole": 0.9, "back_after": 0.0, "cold_load": 0.1, "first_10s": 0.9}
    return replace(
        History(
            number,
            runner.VIRTUAL,
            None,
            generator.random_trial(1, number),
            play.KEPT,
            "",
            (),
            (),
            figures,
            frozenset(features),
            1.0,
        ),
        **changes,
    )


def test_guide_picks_a_history_with_a_rare_feature():
    guide = CoverageGuide()
    for n in range(1, 40):
        guide.add_history(history(n, {"usual"} | ({"rare"} if n == 7 else set())))
    rng = random_stream(1, "test")
    assert {guide.parent(rng)[0] for _ in range(20)} == {7}
    assert CoverageGuide().parent(rng) is None


# The database.


def test_database_keeps_histories_and_rejects_other_campaigns(tmp_path):
    database = CampaignDatabase(tmp_path / "c", 3)
    database.add(history(2, {"a", "b"}, broken=("effect twice",)))
    database.add(history(1))
    database.close()
    reopened = CampaignDatabase(tmp_path / "c", 3)
    assert [h.number for h in reopened.histories()] == [1, 2] and reopened.completed_numbers(
        runner.VIRTUAL
    ) == {1, 2}
    assert list(reopened.histories())[1].broken == ("effect twice",) and list(reopened.histories())[
        1
    ].features == {
        "a",
        "b",
    }
    with pytest.raises(InvalidDatabase, match="format 1 and seed 3, expected 1 and 4"):
        CampaignDatabase(tmp_path / "c", 4)
    (tmp_path / "no").write_bytes(b"nothing of the kind, and long enough to be looked at" * 9)
    with pytest.raises(InvalidDatabase, match="not a database"):
        CampaignDatabase(tmp_path / "no", 3)


@pytest.mark.parametrize("after", [0.4])
def test_killed_campaign_resumes_and_keeps_completed_histories(tmp_path, after):
    command_line = [
        sys.executable,
        "-m",
        "lupinreach.cli",
        "trial",
        "campaign",
        "c.db",
        "--histories",
        "5",
        "--seed",
        "2",
        "--jobs",
        "2",
        "--plain",
    ]
    process = subprocess.Popen(
        command_line,
        cwd=tmp_path,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        start_new_session=True,
    )
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline and len(_numbers(tmp_path / "c.db")) < 1:
        time.sleep(0.05)
    time.sleep(after)
    process.send_signal(9)  # kills the process that writes; its workers notice that
    process.wait()
    with pytest.raises(ProcessLookupError):  # no process of its group is left
        while time.monotonic() < deadline + 10:
            os.killpg(process.pid, 0)
            time.sleep(0.05)
    before = _numbers(tmp_path / "c.db")
    completed = subprocess.run(command_line, cwd=tmp_path, capture_output=True, text=True)
    result = json.loads(completed.stdout.splitlines()[-1])
    assert (
        completed.returncode == 0
        and result["histories"] == 5
        and len(before) >= 1
        and before <= _numbers(tmp_path / "c.db") == set(range(1, 6))
    )


def _numbers(path):
    try:
        return CampaignDatabase(path, 2).completed_numbers(runner.VIRTUAL)
    except InvalidDatabase:
        return set()


# Violations found.


def with_planted_fault(raw):
    return raw | {"fault": "sends-to-draining"}


def test_planted_fault_is_found_minimized_and_saved_as_a_replayable_trial(tmp_path, monkeypatch):
    original = generator.random_trial
    monkeypatch.setattr(
        generator, "random_trial", lambda seed, number: with_planted_fault(original(seed, number))
    )
    monkeypatch.setattr(generator, "POWER_LOSS_SHARE", 0.0)
    database = CampaignDatabase(tmp_path / "c", 1)
    numbers = iter(range(1, 200))
    while True:  # run in this process, which has the patch
        number = next(numbers)
        raw = generator.random_trial(1, number)
        if not any(t["kind"] == "drain" for t in raw["troubles"]):
            continue
        h = run_history((number, None, raw, number))
        database.add(h)
        if h.broken:
            break
    assert h.broken == ("sent to draining",) and number < 60
    reduced, seed = minimize_history(h)
    assert len(reduced.world.troubles) == 1 and reduced.world.agents <= spec.read(raw).world.agents
    (path,) = Campaign(database, 1).minimize(1, tmp_path)
    text = path.read_text()
    assert (
        text.startswith(f"# Seed {seed}: breaks 'sent to draining'.") and database.minimized()[0][0] == number
    )
    reopened = spec.read_file(path)
    assert {b.name for b in play.run(reopened, reopened.world.seeds[0]).result.violations} == {
        "sent to draining"
    }
    assert "sent to draining" in page.page(database) and page.summary(database)["broken"] == {
        number: ["sent to draining"]
    }


def test_exceeded_bound_is_reported_by_name(monkeypatch):
    number = next(
        n
        for n in range(1, 99)
        if generator.random_trial(1, n)["agents"]["share_ms"]
        and generator.random_trial(1, n)["agents"]["count"] > 4
    )
    raw = generator.random_trial(1, number) | {"faults": [], "troubles": []}
    assert run_history((number, None, raw, number)).exceeded == ()
    monkeypatch.setattr("lupinreach.fleet.grants.Budget.usable", lambda self, now: 2 * self.own)
    assert run_history((number, None, raw, number)).exceeded == ("trials",)
    assert Sharing.update.__name__ == "update"  # the monitor has been removed


def test_invalid_database_or_option_exits_with_2(tmp_path):
    (tmp_path / "no").write_bytes(b"nothing of the kind, and long enough to be looked at" * 9)
    completed = command("trial", "campaign", str(tmp_path / "no"), "--histories", "1")
    assert completed.returncode == 2 and "not a database" in completed.stderr
    assert command("trial", "campaign", str(tmp_path / "c"), "--histories", "-1").returncode == 2


# The model search.


class TokenRing:
    """A token that moves along n places, may be lost at place 2, and is expected at the last."""

    def __init__(self, n, fair=(), lost=False, symmetric=False):
        self.n, self.fair, self.lost, self.alike = n, frozenset(fair), lost, symmetric

    def first(self):
        return [0]

    def moves(self, state):
        if state == "lost":
            return
        yield "rest", state
        if state < self.n:
            yield "on", state + 1
        if self.lost and state == 2:
            yield "lose", "lost"

    def key(self, state):
        return min(state, self.n - state) if self.alike and state != "lost" else state

    def wrong(self, state):
        return "five" if state == 5 and not self.alike else None

    def done(self, state):
        return state == self.n


def test_search_finds_shortest_counterexamples_of_invariants_and_liveness():
    assert search(TokenRing(7)).trace == ("on",) * 5 + ("five",)
    assert search(TokenRing(4)).trace == ("never done",) and search(TokenRing(4)).cycle == ("rest",)
    assert search(TokenRing(4, fair=["on"])).ok and search(TokenRing(4, fair=["on"])).states == 5
    lost = search(TokenRing(4, fair=["on"], lost=True))
    assert lost.trace == ("on", "on", "lose", "never done") and lost.cycle == ()
    assert search(TokenRing(4, symmetric=True)).states == 3  # symmetric states are merged
    with pytest.raises(StateLimitExceeded):
        search(TokenRing(4), max_states=3)
