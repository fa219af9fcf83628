"""The stored snapshot: its file, its validation, and the first seconds after a switch between processes."""

import asyncio
import json
import os
import sys

import pytest
from helpers import DRAINING, READY, Bench, Site, run, settings, target
from test_config import RAW
from test_config import read as read_file
from upgrading import PATIENT, ROOT, WAITS, platform

from lupinreach.config import BadConfig
from lupinreach.model import BackendSnapshot, Listing, PolicySnapshot, UpdateKind
from lupinreach.ops.snapshot import (
    MAX_BACKENDS,
    InvalidSnapshot,
    SnapshotStore,
    encode_snapshot,
    parse_snapshot,
)
from lupinreach.store import records
from lupinreach.store.store import Store

LIVE = settings(live_weights=True, agents=2, slo=400.0)


def warmed(given=LIVE, loads=(0.0, 0.0, 0.0, 0.0)):
    """A bench whose agent has served for a while; backend 2 is slow."""
    bench = Bench(given, entries=[Listing(i, READY, size=4.0, name=70 + i) for i in range(4)])
    bench.move(100.0)
    bench.list(
        UpdateKind.CHANGES,
        [Listing(i, READY, size=4.0 / (1 + load), name=70 + i) for i, load in enumerate(loads)],
    )
    for n in range(80):
        bench.submit(n)
        at = bench.sent_to(n)[0]
        bench.move(20.0)
        bench.answer(n, 300.0 if at == 2 else 40.0, number=0)
    return bench


def fresh(entries, given=LIVE, snapshot=None):
    bench = Bench(given, entries=[Listing(90, READY, name=1)])
    taken = snapshot is None or bench.agent.restore(snapshot)
    bench.list(UpdateKind.FULL, entries)
    return bench, taken


def test_weights_and_latencies_of_the_same_process_are_restored_and_nothing_else():
    old = warmed(loads=(3.0, 0.0, 0.0, 0.0))
    snapshot = old.agent.snapshot()
    # Listed under load: without the snapshot its size would be estimated too low.
    entries = [Listing(i, READY, size=1.0, name=70 + i) for i in range(4)]
    new, taken = fresh(entries, snapshot=snapshot)
    assert taken
    before, after = ({b.name: b for b in x.agent._ready} for x in (old, new))
    for name, b in after.items():
        assert (b.weight, b.latency_ms) == (before[name].weight, before[name].latency_ms)
        assert b.load == pytest.approx(3.0)
        assert (b.inflight, b.credit, b.sent_work, b.trial) == (0, 0.0, 0.0, None)
    assert [t.typical for t in new.agent._targets] == [t.typical for t in old.agent._targets]
    blank, _ = fresh(entries)
    assert (new.agent._limit, new.agent._admitted) == (blank.agent._limit, blank.agent._admitted)
    assert not new.agent._restored


def test_restarted_draining_and_unknown_backends_are_not_restored():
    snapshot = warmed().agent.snapshot()
    entries = [
        Listing(0, READY, boot_time=5.0, size=1.0, name=70),
        Listing(1, DRAINING, size=1.0, name=71),
        Listing(2, READY, size=1.0, name=72),
        Listing(3, READY, size=1.0, name=99),
    ]
    new, _ = fresh(entries, snapshot=snapshot)
    known = {b.name: b for b in new.agent._backends.values()}
    assert [known[n].latency_ms for n in (70, 99)] == [[None]] * 2
    assert known[72].latency_ms[0] is not None
    used = {new.serve(n, 30.0) for n in range(30)}
    assert 1 not in used and len(used) > 1


def test_ejected_backend_stays_ejected_until_a_trial_that_is_due_at_once():
    ejected = BackendSnapshot(72, 0.0, 4.0, (800.0,), 0.0)
    snapshot = PolicySnapshot((400.0,), True, ((40.0, 40.0, 40.0, 40.0),), (ejected,))
    new, taken = fresh([Listing(i, READY, size=4.0, name=70 + i) for i in range(4)], snapshot=snapshot)
    assert taken
    b = next(b for b in new.agent._ready if b.name == 72)
    assert b.ejected_until[0] and not b.trial
    first = new.serve("first", 30.0)
    assert first == 2 and not b.ejected_until[0]


def test_cold_backend_gets_no_more_in_the_first_second_than_without_a_snapshot():
    snapshot = warmed().agent.snapshot()

    def first_second(carried):
        entries = [Listing(i, READY, size=4.0, name=70 + i) for i in range(3)]
        cold = Listing(
            3, READY, boot_time=1_000_000.0, size=4.0, name=73
        )  # the snapshot has another, warm process
        new, _ = fresh([*entries, cold], snapshot=snapshot if carried else None)
        sent = [new.serve(n, 10.0) for n in range(100)]
        return sent.count(3), sent

    carried, sent = first_second(True)
    assert carried <= first_second(False)[0] + 1 and carried < 0.5 * len(sent) / 4
    assert set(sent) >= {0, 1}


@pytest.mark.parametrize("other", [settings(live_weights=False), settings(live_weights=True, slo=500.0)])
def test_snapshot_for_other_slos_or_weights_is_not_restored(other):
    new, taken = fresh([Listing(0, READY, name=70)], other, warmed().agent.snapshot())
    assert not taken and new.agent._ready[0].latency_ms == [None]


def round_trip(snapshot, at):
    """The snapshot as the next process reads it."""
    return parse_snapshot(json.loads(json.dumps(encode_snapshot(snapshot, at))))


def stored_snapshot(path, agent="n"):
    return parse_snapshot(records.decode_file(path.read_bytes(), agent).state["learnt"])


def test_snapshot_round_trips_and_is_bounded():
    snapshot = warmed().agent.snapshot()
    assert round_trip(snapshot, 1234.5) == (1234.5, snapshot)
    many = PolicySnapshot(
        (400.0,),
        True,
        ((1.0, 1.0, 1.0, 1.0),),
        tuple(BackendSnapshot(i, 0.0, 1.0, (None,), 0.0) for i in range(2 * MAX_BACKENDS)),
    )
    assert len(round_trip(many, 1.0)[1].backends) == MAX_BACKENDS


def test_each_invalid_snapshot_is_rejected_as_a_whole():
    good = json.loads(json.dumps(encode_snapshot(warmed().agent.snapshot(), 1.0)))
    row = good["backends"][0]
    for change in (
        {"form": 2},
        {"slos": [400.0, 1.0]},
        {"slos": None},
        {"live_weights": 1},
        {"usual": [[1.0]]},
        {"at": "soon"},
        {"at": None},
        {"backends": 3},
        {"backends": [row[:-1]]},
        {"backends": [[*row[:2], -1.0, *row[3:]]]},
        {"backends": [[*row[:2], 1e300, *row[3:]]]},
        {"backends": [["s-1", *row[1:]]]},
        {"backends": [[*row[:4], 2.0]]},
        {"backends": [row] * (MAX_BACKENDS + 1)},
    ):
        with pytest.raises(InvalidSnapshot):
            parse_snapshot(good | change)
    for other in ([], 3, None, good | {"slos": [float("nan")]}):
        with pytest.raises(InvalidSnapshot):
            parse_snapshot(other)


def test_agent_without_a_list_does_not_overwrite_a_snapshot(tmp_path):
    path = tmp_path / "carried"
    path.write_bytes(b"left by another")

    async def work():
        async with Site() as unlisted, Site(target("s-1", "127.0.0.1:9")) as listed:
            await SnapshotStore(unlisted.agent, Store(str(path), "n"), 1e4).save()
            assert path.read_bytes() == b"left by another"
            await SnapshotStore(listed.agent, Store(str(path), "n"), 1e4).save()

    run(work())
    assert len(stored_snapshot(path)[1].backends) == 1
    assert os.listdir(tmp_path) == ["carried"]


@pytest.mark.parametrize(
    "carry, message",
    [
        ({"most_age_s": 5}, "carry.file: missing"),
        ({"file": 3}, "carry.file: 3 is no text"),
        ({"file": "/x", "most_age_s": 0}, "carry.most_age_s: 0 is out of range"),
        ([], "carry: must be an object"),
        ({"file": "/y"}, "store.file: carry.file names another"),
    ],
)
def test_file_settings_are_validated(tmp_path, carry, message):
    with pytest.raises(BadConfig) as bad:
        read_file(
            tmp_path, RAW | {"carry": carry} | ({"store": {"file": "/x"}} if "/y" in str(carry) else {})
        )
    assert str(bad.value).startswith(message)


def test_nothing_is_stored_unless_configured(tmp_path):
    assert read_file(tmp_path, RAW).store is None
    config = read_file(tmp_path, RAW | {"carry": {"file": "/x"}})
    assert (config.store, config.carry_age) == ("/x", 60_000.0)
    config = read_file(tmp_path, RAW | {"store": {"file": "/x"}})
    assert (config.store, config.carry_age) == ("/x", None)


async def lines_of(process):
    return [json.loads(line) for line in (await process.stdout.read()).splitlines()]


@pytest.mark.parametrize("fault", ["", "torn", "old", "of before"])
def test_process_logs_what_it_restored_and_starts_despite_a_bad_file(tmp_path, fault):
    async def main():
        async with Site(target("s-1", "127.0.0.1:9")) as site:
            path = tmp_path / "carried"
            at = site.agent.clock.now() - (3.6e6 if fault == "old" else 1000.0)
            snapshot = site.agent.balancer.snapshot()
            value = encode_snapshot(snapshot, at)
            text = (
                json.dumps(value).encode()
                if fault == "of before"
                else records.encode_file("n", {"learnt": value})
            )
            path.write_bytes(text[: -9 if fault == "torn" else None])
            raw = site.raw | {"listen": "127.0.0.1:0", "carry": {"file": str(path)}}
            config = tmp_path / "config.json"
            config.write_text(json.dumps(raw))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lupinreach",
                env=os.environ | {"PROXY_CONFIG": str(config)},
                stdout=asyncio.subprocess.PIPE,
                cwd=ROOT,
            )
            lines = []
            while not any(line["event"] == "started" for line in lines):
                lines.append(json.loads(await asyncio.wait_for(process.stdout.readline(), WAITS)))
            process.terminate()
            lines += await lines_of(process)
            assert await process.wait() == 0
            return lines, stored_snapshot(path)

    lines, (at, snapshot) = run(main())
    logged = [line for line in lines if line["event"].startswith("carried")]
    assert len(logged) == 1
    if fault in ("torn", "old"):
        assert (
            logged[0]["event"] == "carried nothing"
            and ("torn" if fault == "torn" else "s old") in logged[0]["why"]
        )
    else:
        assert (
            logged[0]["event"] == "carried"
            and logged[0]["backends"] == 1
            and 1000 <= logged[0]["age_ms"] < 20_000
        )
    assert len(snapshot.backends) == 1 and at > 0  # saved again at the end


def test_switch_to_new_settings_and_back_under_steady_load_loses_nothing(tmp_path):
    new_settings = PATIENT | {"weight_kind": "live", "discovery": "pushed", "fleet_size": 20}

    async def main():
        async with platform(tmp_path) as site:
            raw = json.loads((tmp_path / "config.json").read_text())
            carry = {"carry": {"file": str(tmp_path / "carried")}}
            (tmp_path / "config.json").write_text(json.dumps(raw | carry))
            (tmp_path / "moved.json").write_text(json.dumps(raw | carry | {"settings": new_settings}))
            first = await site.start()
            await asyncio.sleep(0.5)
            moved = await site.upgrade(first, PROXY_CONFIG=str(tmp_path / "moved.json"))
            await asyncio.sleep(1.0)
            again = await site.upgrade(
                moved, PROXY_CONFIG=str(tmp_path / "moved.json")
            )  # with the same new settings
            await asyncio.sleep(0.5)
            back = await site.upgrade(again)
            await asyncio.sleep(0.5)
            back.terminate()
            await back.wait()
            return site.seen

    seen = run(main())
    assert seen.answers[200] > 100 and set(seen.answers) <= {200}
    assert seen.lost == 0
    assert max(seen.runs.values()) == 1
