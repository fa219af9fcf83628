"""The store: its file cut at any byte, lost syncs, two processes on one disk, and failing disks."""

import asyncio
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from test_disk import PowerLossDisk

from lupinreach.bed.ways.disk import STATE_FILE, MemoryDisk
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.store import records, trust
from lupinreach.store.records import HEADER, encode_file, encode_record
from lupinreach.store.store import Store
from lupinreach.store.trust import ITEMS, Trust, restorable

PUTS = [("life", 3), ("drain/b-1", [5, 1000]), ("life", 4), ("drain/b-1", None), ("floor", 77)]


def history():
    """A file, and for each of its records the end offset and the state up to there."""
    text, state, ends = encode_file("a", {}), {}, []
    ends.append((len(text), {}))
    for key, value in PUTS:
        text += encode_record(key, value)
        state = {k: v for k, v in (state | {key: value}).items() if v is not None}
        ends.append((len(text), state))
    return text, ends


def test_file_cut_at_any_byte_yields_the_complete_records_and_the_lost_bytes():
    text, ends = history()
    for cut in range(len(text) + 1):
        good, state = max((e for e in ends if e[0] <= cut), key=lambda e: e[0], default=(0, {}))
        found = records.decode_file(text[:cut], "a")
        assert (found.state, found.good, found.lost) == (state, good, cut - good)
        assert bool(found.why) == (cut != good or not good)
        zeros = records.decode_file(text[:cut] + bytes(40), "a")
        assert zeros.state == state and zeros.lost


def test_corrupt_byte_anywhere_ends_reading_before_its_record():
    text, ends = history()
    for at in range(len(text)):
        for flip in (1, 0x80):
            state = max((e for e in ends if e[0] <= at), key=lambda e: e[0], default=(0, {}))[1]
            found = records.decode_file(text[:at] + bytes([text[at] ^ flip]) + text[at + 1 :], "a")
            assert found.state == state and not found.appendable


def test_wrong_record_length_reads_no_further_than_the_file():
    for size in (0, 1, 1 << 19, (1 << 32) - 1):
        found = records.decode_file(encode_file("a", {"life": 1}) + HEADER.pack(size, 0) + b"[]", "a")
        assert found.state == {"life": 1} and found.lost == 10


@pytest.mark.parametrize(
    "text, why",
    [
        (encode_file("b", {"life": 9}), "another agent's"),
        (encode_record("", {"form": 2, "agent": "a"}) + encode_record("life", 9), "another form"),
        (encode_record("life", 9), "another form"),
        (b"", "torn or empty"),
        (b"\xff" * 30, "torn or empty"),
        (b'{"form": 1, "at"', "torn or no such file"),
    ],
)
def test_file_that_is_not_this_agent_s_yields_nothing(text, why):
    found = records.decode_file(text, "a")
    assert (found.state, found.why, found.appendable) == ({}, why, False)


def test_file_from_before_the_store_is_read_and_rewritten():
    disk = MemoryDisk(random_stream(1, "disk"))
    disk.put(b'{"form":1,"at":5}')
    store = Store(STATE_FILE, "a", disk)
    assert store.open().state == {"learnt": {"form": 1, "at": 5}}
    store.put("life", 1)
    assert asyncio.run(store.flush())
    assert records.decode_file(disk.copy(), "a").state == {"learnt": {"form": 1, "at": 5}, "life": 1}


values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)


@hypothesis_settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.text(min_size=1, max_size=5), values), max_size=12))
def test_values_read_back_by_key_and_the_last_one_counts(puts):
    state = {}
    for key, value in puts:
        state.pop(key, None)
        if value is not None:
            state[key] = value
    assert (
        records.decode_file(encode_file("a", {}) + b"".join(encode_record(k, v) for k, v in puts), "a").state
        == state
    )


# Power losses: every point at which one can happen, and every content that the disk may then have.


def test_power_loss_at_any_step_keeps_flushed_values_and_adds_nothing():
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
            found = records.decode_file(text, "a").state if text is not None else {}
            assert found.get("life", 0) >= safe.get("life", 0)
            # A record is complete or absent: after a power loss during a flush any prefix of its records may
            # be there.
            assert found in put or any(
                found == (a | {"life": b["life"]}) for a, b in zip(put, put[1:], strict=False)
            )
            outcomes += 1
    assert outcomes > 300


def test_missing_sync_is_detected():
    class Unsynced(MemoryDisk):
        def append(self, path, text, sync):
            super().append(path, text, False)

    disk = Unsynced(random_stream(1, "disk"))
    store = Store(STATE_FILE, "a", disk)
    for life in (1, 2):
        store.put("life", life)
        assert asyncio.run(store.flush())
    assert {
        records.decode_file(t, "a").state.get("life") for t in disk.outcomes(STATE_FILE) if t is not None
    } == {1, 2}


def test_two_processes_on_one_disk_lower_neither_incarnation_nor_floor():
    disk = MemoryDisk(random_stream(1, "disk"))
    one, two = Store(STATE_FILE, "a", disk), Store(STATE_FILE, "a", disk)
    one.open(), two.open()
    for store, life in ((one, 4), (two, 6)):
        store.put("life", life)
        assert asyncio.run(store.flush())
    one._appends = False  # its next write is of the whole file
    one.put("floor", 50)
    assert asyncio.run(one.flush())
    assert Store(STATE_FILE, "a", disk).open().state == {"life": 6, "floor": 50}


def test_failing_disk_is_reported_once_and_values_are_written_when_it_recovers():
    reported = []
    disk = MemoryDisk(random_stream(1, "disk"))
    store = Store(STATE_FILE, "a", disk, reported.append)
    store.put("life", 1)
    assert asyncio.run(store.flush()) and store.writable
    disk.writes_fail = True
    for floor in (1, 2, 3):
        store.put("floor", floor)
        assert not asyncio.run(store.flush()) and not store.writable
    assert reported == ["can't be written"]
    disk.writes_fail = False
    assert asyncio.run(store.flush()) and store.writable
    assert Store(STATE_FILE, "a", disk).open().state == {"life": 1, "floor": 3}


def test_file_and_state_stay_bounded():
    disk = MemoryDisk(random_stream(1, "disk"))
    store = Store(STATE_FILE, "a", disk)
    for n in range(400):
        store.put("learnt", [n] * 2000)
        assert asyncio.run(store.flush())
    assert (
        len(disk.copy()) < 3 * len(encode_file("a", store.state)) + (128 << 10) and store.written > 400 * 4000
    )
    assert sum(store.put(f"drain/{n}", 1) for n in range(2 * records.MAX_KEYS)) == records.MAX_KEYS - 1
    with pytest.raises(ValueError, match="learnt"):
        store.put("learnt", "x" * (records.MAX_RECORD_BYTES + 1))


def test_each_stored_item_is_restored_as_the_table_says():
    state = {name: 1 for name in ITEMS} | {"drain/b-1": 2, "of a later version": 3}
    kept = {key.partition("/")[0] for key in restorable(state)}
    assert kept == {name for name, item in ITEMS.items() if item.trust is not Trust.NEVER}
    assert Counter(item.trust for item in ITEMS.values())[Trust.NEVER] >= 4
    assert trust.merged({"of a later version": 3, "life": "x"}, {"life": 2}) == {
        "of a later version": 3,
        "life": 2,
    }
