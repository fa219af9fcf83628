"""The store: every cut of its file, every sync that can be lost, two processes on one disk, and disks that fail."""

import asyncio
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as played
from hypothesis import strategies as some
from test_disk import PowerLossDisk

from lupinreach.bed.ways.disk import STATE_FILE, MemoryDisk
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.store import records, trust
from lupinreach.store.records import HEAD, record, whole
from lupinreach.store.store import Store
from lupinreach.store.trust import ITEMS, Trust, believed

PUTS = [("life", 3), ("drain/b-1", [5, 1000]), ("life", 4), ("drain/b-1", None), ("floor", 77)]


def history():
    """A file, where each of its records ends, and what it holds up to there."""
    text, state, ends = whole("a", {}), {}, []
    ends.append((len(text), {}))
    for key, value in PUTS:
        text += record(key, value)
        state = {k: v for k, v in (state | {key: value}).items() if v is not None}
        ends.append((len(text), state))
    return text, ends


def test_a_file_cut_at_any_byte_holds_what_was_whole_before_the_cut_and_says_what_is_lost():
    text, ends = history()
    for cut in range(len(text) + 1):
        good, state = max((e for e in ends if e[0] <= cut), key=lambda e: e[0], default=(0, {}))
        found = records.read(text[:cut], "a")
        assert (found.state, found.good, found.lost) == (state, good, cut - good)
        assert bool(found.why) == (cut != good or not good)
        zeros = records.read(text[:cut] + bytes(40), "a")
        assert zeros.state == state and zeros.lost


def test_a_byte_that_is_another_anywhere_ends_what_is_believed_before_it():
    text, ends = history()
    for at in range(len(text)):
        for flip in (1, 0x80):
            state = max((e for e in ends if e[0] <= at), key=lambda e: e[0], default=(0, {}))[1]
            found = records.read(text[:at] + bytes([text[at] ^ flip]) + text[at + 1 :], "a")
            assert found.state == state and not found.whole


def test_a_length_that_lies_reads_no_further_than_the_file():
    for size in (0, 1, 1 << 19, (1 << 32) - 1):
        found = records.read(whole("a", {"life": 1}) + HEAD.pack(size, 0) + b"[]", "a")
        assert found.state == {"life": 1} and found.lost == 10


@pytest.mark.parametrize(
    "text, why",
    [
        (whole("b", {"life": 9}), "another agent's"),
        (record("", {"form": 2, "agent": "a"}) + record("life", 9), "another form"),
        (record("life", 9), "another form"),
        (b"", "torn or empty"),
        (b"\xff" * 30, "torn or empty"),
        (b'{"form": 1, "at"', "torn or no such file"),
    ],
)
def test_what_is_no_file_of_this_agent_s_is_believed_of_nothing(text, why):
    found = records.read(text, "a")
    assert (found.state, found.why, found.whole) == ({}, why, False)


def test_the_file_of_the_version_before_is_taken_and_written_anew():
    disk = MemoryDisk(random_stream(1, "disk"))
    disk.put(b'{"form":1,"at":5}')
    store = Store(STATE_FILE, "a", disk)
    assert store.open().state == {"learnt": {"form": 1, "at": 5}}
    store.put("life", 1)
    assert asyncio.run(store.flush())
    assert records.read(disk.copy(), "a").state == {"learnt": {"form": 1, "at": 5}, "life": 1}


values = some.recursive(
    some.none() | some.booleans() | some.integers(-(2**53), 2**53) | some.text(max_size=8),
    lambda inner: some.lists(inner, max_size=3) | some.dictionaries(some.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)


@played(max_examples=200, derandomize=True, deadline=None)
@given(some.lists(some.tuples(some.text(min_size=1, max_size=5), values), max_size=12))
def test_what_was_put_is_read_back_by_key_the_last_one_counts(puts):
    state = {}
    for key, value in puts:
        state.pop(key, None)
        if value is not None:
            state[key] = value
    assert records.read(whole("a", {}) + b"".join(record(k, v) for k, v in puts), "a").state == state


# Power losses: each point at which one can come, and all that the disk may then hold.


def test_after_a_power_loss_at_any_step_what_was_flushed_is_there_and_nothing_that_was_not_put():
    outcomes = 0
    for steps in range(30):
        disk, safe, put = PowerLossDisk(random_stream(1, "disk"), steps), {}, [{}]
        store = Store(STATE_FILE, "a", disk)
        state = {}
        for life in range(1, 4):
            for key, value in (("life", life), ("drain/x", life * 10 if life % 2 else None)):
                store.put(key, value)
                state = {k: v for k, v in (state | {key: value}).items() if v is not None}
            put.append(state)
            if asyncio.run(store.flush()):
                safe = state
        for text in disk.outcomes(STATE_FILE):
            found = records.read(text, "a").state if text is not None else {}
            assert found.get("life", 0) >= safe.get("life", 0)
            # A record is whole or not there: between two flushes any first part of the second's may stand.
            assert found in put or any(
                found == (a | {"life": b["life"]}) for a, b in zip(put, put[1:], strict=False)
            )
            outcomes += 1
    assert outcomes > 300


def test_a_sync_that_is_left_out_is_found():
    class Lazy(MemoryDisk):
        def append(self, path, text, sync):
            super().append(path, text, False)

    disk = Lazy(random_stream(1, "disk"))
    store = Store(STATE_FILE, "a", disk)
    for life in (1, 2):
        store.put("life", life)
        assert asyncio.run(store.flush())
    assert {records.read(t, "a").state.get("life") for t in disk.outcomes(STATE_FILE) if t is not None} == {
        1,
        2,
    }


def test_two_processes_on_one_disk_lower_neither_s_life_nor_floor():
    disk = MemoryDisk(random_stream(1, "disk"))
    one, two = Store(STATE_FILE, "a", disk), Store(STATE_FILE, "a", disk)
    one.open(), two.open()
    for store, life in ((one, 4), (two, 6)):
        store.put("life", life)
        assert asyncio.run(store.flush())
    one._appends = False  # its next writing is of the whole file
    one.put("floor", 50)
    assert asyncio.run(one.flush())
    assert Store(STATE_FILE, "a", disk).open().state == {"life": 6, "floor": 50}


def test_a_disk_that_fails_is_said_once_and_what_was_put_is_written_when_it_is_back():
    said = []
    disk = MemoryDisk(random_stream(1, "disk"))
    store = Store(STATE_FILE, "a", disk, said.append)
    store.put("life", 1)
    assert asyncio.run(store.flush()) and store.well
    disk.writes_fail = True
    for floor in (1, 2, 3):
        store.put("floor", floor)
        assert not asyncio.run(store.flush()) and not store.well
    assert said == ["can't be written"]
    disk.writes_fail = False
    assert asyncio.run(store.flush()) and store.well
    assert Store(STATE_FILE, "a", disk).open().state == {"life": 1, "floor": 3}


def test_the_file_stays_bounded_and_so_does_what_is_held():
    disk = MemoryDisk(random_stream(1, "disk"))
    store = Store(STATE_FILE, "a", disk)
    for n in range(400):
        store.put("learnt", [n] * 2000)
        assert asyncio.run(store.flush())
    assert len(disk.copy()) < 3 * len(whole("a", store.state)) + (128 << 10) and store.written > 400 * 4000
    assert sum(store.put(f"drain/{n}", 1) for n in range(2 * records.MOST_KEYS)) == records.MOST_KEYS - 1
    with pytest.raises(ValueError, match="learnt"):
        store.put("learnt", "x" * (records.MOST_RECORD + 1))


def test_each_item_of_a_former_life_is_believed_as_the_table_says():
    state = {name: 1 for name in ITEMS} | {"drain/b-1": 2, "of a later version": 3}
    kept = {key.partition("/")[0] for key in believed(state)}
    assert kept == {name for name, item in ITEMS.items() if item.trust is not Trust.NEVER}
    assert Counter(item.trust for item in ITEMS.values())[Trust.NEVER] >= 4
    assert trust.merged({"of a later version": 3, "life": "x"}, {"life": 2}) == {
        "of a later version": 3,
        "life": 2,
    }
