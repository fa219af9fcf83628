"""The campaign: histories by number, a book that survives a kill, guidance, what is planted found and shrunk; and the search through models."""

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
from lupinreach.trial.campaign import draw, hunt, page
from lupinreach.trial.campaign.book import Book, History, NoBook
from lupinreach.trial.campaign.hunt import Campaign, Guide, one, smallest
from lupinreach.trial.models.search import TooMany, search

# What is drawn.


def test_a_number_is_one_history_everywhere_and_every_kind_of_fault_is_drawn():
    raws = [draw.plain(5, n) for n in range(300)]
    assert raws[:9] == [draw.plain(5, n) for n in range(9)] and raws[0] != draw.plain(6, 0)
    kinds = Counter(t["kind"] for raw in raws for t in raw["troubles"])
    assert set(kinds) == {kind for room in draw.ROOMS.values() for kind in room}
    assert 0.5 < sum(bool(raw["faults"]) for raw in raws) / 300 < 0.7
    for n, raw in enumerate(raws):
        near = draw.near(raw, 5, n)
        spec.read(raw), spec.read(near)  # strict
        if small := draw.with_processes(near):
            assert (
                spec.read(small).world.agents <= 5
                and not {t["kind"] for t in small["troubles"]} & draw.VIRTUAL_ALONE
            )


def history(number, reached=(), **more):
    figures = {"whole": 0.9, "back_after": 0.0, "cold_load": 0.1, "first_10s": 0.9}
    return replace(
        History(
            number,
            hunt.VIRTUAL,
            None,
            draw.plain(1, number),
            play.KEPT,
            "",
            (),
            (),
            figures,
            frozenset(reached),
            1.0,
        ),
        **more,
    )


def test_what_is_drawn_goes_near_to_what_reached_something_rare():
    guide = Guide()
    for n in range(1, 40):
        guide.learn(history(n, {"usual"} | ({"rare"} if n == 7 else set())))
    chance = random_stream(1, "test")
    assert {guide.parent(chance)[0] for _ in range(20)} == {7}
    assert Guide().parent(chance) is None


# The book.


def test_a_book_holds_what_was_played_and_is_of_one_campaign(tmp_path):
    book = Book(tmp_path / "c", 3)
    book.add(history(2, {"a", "b"}, broken=("effect twice",)))
    book.add(history(1))
    book.close()
    again = Book(tmp_path / "c", 3)
    assert [h.number for h in again.histories()] == [1, 2] and again.numbers(hunt.VIRTUAL) == {1, 2}
    assert list(again.histories())[1].broken == ("effect twice",) and list(again.histories())[1].reached == {
        "a",
        "b",
    }
    with pytest.raises(NoBook, match="seed 3, not 1 and 4"):
        Book(tmp_path / "c", 4)
    (tmp_path / "no").write_bytes(b"nothing of the kind, and long enough to be looked at" * 9)
    with pytest.raises(NoBook, match="not a database"):
        Book(tmp_path / "no", 3)


@pytest.mark.parametrize("after", [0.4])
def test_a_campaign_that_is_killed_goes_on_and_has_lost_at_most_what_was_in_play(tmp_path, after):
    words = [
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
    running = subprocess.Popen(
        words, cwd=tmp_path, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, start_new_session=True
    )
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline and len(_numbers(tmp_path / "c.db")) < 1:
        time.sleep(0.05)
    time.sleep(after)
    running.send_signal(9)  # the one that writes; its workers see that it is gone
    running.wait()
    with pytest.raises(ProcessLookupError):  # none of its group is left
        while time.monotonic() < deadline + 10:
            os.killpg(running.pid, 0)
            time.sleep(0.05)
    before = _numbers(tmp_path / "c.db")
    done = subprocess.run(words, cwd=tmp_path, capture_output=True, text=True)
    found = json.loads(done.stdout.splitlines()[-1])
    assert (
        done.returncode == 0
        and found["histories"] == 5
        and len(before) >= 1
        and before <= _numbers(tmp_path / "c.db") == set(range(1, 6))
    )


def _numbers(path):
    try:
        return Book(path, 2).numbers(hunt.VIRTUAL)
    except NoBook:
        return set()


# What is found.


def planted(raw):
    return raw | {"fault": "sends-to-draining"}


def test_a_planted_mistake_is_found_shrunk_and_kept_as_a_file_that_replays_it(tmp_path, monkeypatch):
    plain = draw.plain
    monkeypatch.setattr(draw, "plain", lambda seed, number: planted(plain(seed, number)))
    monkeypatch.setattr(draw, "POWER", 0.0)
    book = Book(tmp_path / "c", 1)
    numbers = iter(range(1, 200))
    while True:  # in this process, where the patch is
        number = next(numbers)
        raw = draw.plain(1, number)
        if not any(t["kind"] == "drain" for t in raw["troubles"]):
            continue
        h = one((number, None, raw, number))
        book.add(h)
        if h.broken:
            break
    assert h.broken == ("sent to draining",) and number < 60
    small, seed = smallest(h)
    assert len(small.world.troubles) == 1 and small.world.agents <= spec.read(raw).world.agents
    (path,) = Campaign(book, 1).shrink(1, tmp_path)
    text = path.read_text()
    assert text.startswith(f"# Seed {seed}: breaks 'sent to draining'.") and book.kept()[0][0] == number
    again = spec.read_file(path)
    assert {b.name for b in play.run(again, again.world.seeds[0]).result.violations} == {"sent to draining"}
    assert "sent to draining" in page.page(book) and page.summary(book)["broken"] == {
        number: ["sent to draining"]
    }


def test_a_bound_that_is_passed_is_told_by_its_name(monkeypatch):
    number = next(
        n
        for n in range(1, 99)
        if draw.plain(1, n)["agents"]["share_ms"] and draw.plain(1, n)["agents"]["count"] > 4
    )
    raw = draw.plain(1, number) | {"faults": [], "troubles": []}
    assert one((number, None, raw, number)).passed == ()
    monkeypatch.setattr("lupinreach.fleet.grants.Budget.usable", lambda self, now: 2 * self.own)
    assert one((number, None, raw, number)).passed == ("trials",)
    assert Sharing.update.__name__ == "update"  # and the watch is gone


def test_a_bad_book_and_bad_words_end_with_2_and_nothing_played(tmp_path):
    (tmp_path / "no").write_bytes(b"nothing of the kind, and long enough to be looked at" * 9)
    done = command("trial", "campaign", str(tmp_path / "no"), "--histories", "1")
    assert done.returncode == 2 and "not a database" in done.stderr
    assert command("trial", "campaign", str(tmp_path / "c"), "--histories", "-1").returncode == 2


# The search through models.


class Ring:
    """A token that goes round n places, is lost at one, and is waited for at the last."""

    def __init__(self, n, fair=(), lost=False, alike=False):
        self.n, self.fair, self.lost, self.alike = n, frozenset(fair), lost, alike

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


def test_a_search_tells_the_shortest_story_of_what_is_wrong_and_of_what_never_comes():
    assert search(Ring(7)).story == ("on",) * 5 + ("five",)
    assert search(Ring(4)).story == ("never done",) and search(Ring(4)).cycle == ("rest",)
    assert search(Ring(4, fair=["on"])).well and search(Ring(4, fair=["on"])).states == 5
    lost = search(Ring(4, fair=["on"], lost=True))
    assert lost.story == ("on", "on", "lose", "never done") and lost.cycle == ()
    assert search(Ring(4, alike=True)).states == 3  # the same from either end
    with pytest.raises(TooMany):
        search(Ring(4), most=3)
