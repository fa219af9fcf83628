"""Payments that clients send once more, by the same id, over a power loss of their agent."""

import asyncio
from types import SimpleNamespace

import pytest
from helpers import Site, look, target
from helpers import run as on_loop
from test_config import RAW
from test_config import read as read_file
from test_rig import SMALL as RIG
from test_trial import SMALL

from benchmarks.drawn_losses import drawn
from lupinreach.bed.ways import virtual
from lupinreach.bed.ways.disk import MemoryDisk
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.config import BadConfig
from lupinreach.fleet import wire
from lupinreach.fleet.life import Life
from lupinreach.model import Idempotency
from lupinreach.net.ids import Ids, Remembered
from lupinreach.ops import returning
from lupinreach.ops.ran import Ran
from lupinreach.store import records
from lupinreach.store.store import Store
from lupinreach.trial import play, spec

TWICE = {
    "clients": {"replays": True},
    "faults": [{"kind": "power", "at": 3, "agents": 0.3}, {"kind": "power", "at": 6, "agents": 0.3}],
}
AGENTS = {"agents": {"count": 4, "store": True, "ran": True}}


def test_a_payment_that_is_sent_once_more_after_a_power_loss_runs_once():
    played = [play.run(spec.read(SMALL | TWICE | AGENTS), seed) for seed in (3, 4)]
    assert [p.verdict for p in played] == [play.KEPT] * 2
    for p in played:
        assert 0 < p.result.figures["answers"]["errored"] < 10 and p.recovery.first_10s > 0.95
    forgets = play.run(spec.read(SMALL | TWICE | {"agents": {"count": 4, "store": True}}), 3)
    assert {b.name for b in forgets.result.violations} == {"effect twice"}


@pytest.mark.rig(RIG | TWICE | {"seconds": 9} | AGENTS)
def test_and_so_with_processes(played):
    assert played.result.rules == {rule: "kept" for rule in played.result.rules}, played.result.violations[:3]


def test_a_disk_that_hangs_has_payments_rate_limited_at_once_and_the_rest_served():
    hangs = {"kind": "disk-hangs", "at": 4, "seconds": 3, "share": 1.0}
    ledger = virtual.play((trial := spec.read(SMALL | AGENTS | {"troubles": [hangs]})).world, 3)
    played = play.judge(trial, 3, ledger)
    assert played.verdict == play.KEPT, played.result.violations[:3]
    began = next(r[1] for r in ledger.records if r[0] == "asked")
    asked = {r[2]: (r[1], r[6]) for r in ledger.records if r[0] == "asked"}
    late = [
        (asked[r[2]][1], r[3], (r[1] - asked[r[2]][0]) / 1000)
        for r in ledger.records
        if r[0] == "got" and 4.5e6 < asked[r[2]][0] - began < 6.5e6
    ]
    # Those that come first wait for what the sync may take, the others not at all.
    assert max(took for product, status, took in late if product == "pay" and status == 429) < 5
    assert not [status for product, status, _ in late if product == "pay" and status == 200]
    assert sum(status == 200 for product, status, _ in late if product == "look") > 40


def test_an_older_disk_is_found_out_by_what_others_keep_of_its_beats(monkeypatch):
    # All agents lost power, half of the disks came back two seconds old, and a payment ran twice.
    trial = spec.read(drawn(5027, True, False))
    assert play.run(trial, 5027).verdict == play.KEPT
    monkeypatch.setattr(returning, "WITNESSES", 0)
    assert {b.name for b in play.run(trial, 5027).result.violations} == {"effect twice"}


def test_a_copy_that_is_two_beats_old_is_found_out_by_the_marks_that_payments_leave(monkeypatch):
    # Drawn loss 20075: its witnesses had heard as little of it as its disk held, and a payment ran twice.
    trial = spec.read(drawn(20075, True, False))
    assert play.run(trial, 20075).verdict == play.KEPT
    monkeypatch.setattr(returning.Returning, "ran", lambda _: None)
    assert {b.name for b in play.run(trial, 20075).result.violations} == {"effect twice"}


def test_a_mark_is_synced_before_it_is_told_and_above_all_that_an_older_disk_holds():
    """One agent that marks beside its beats: what is told of it is never above its disk, nor at or below any older one."""
    told, kept = [], []

    class Disk(MemoryDisk):
        def append(self, path, text, sync):
            super().append(path, text, sync)
            kept.append(records.read(self.read(path, 1 << 20), "agent-0").state["beat"][1])

    class Marks(returning.Returning):
        def _send(self, peer, message):
            if message.kind == wire.BEAT and not message.members:
                assert message.beat < kept[-1]  # at most what the disk holds
                assert message.beat > self.before  # above what the disk held before the payment
                told.append(message.beat)

        def ran(self):
            self.before = kept[-1] if kept else 0
            super().ran()

    async def work():
        agent = SimpleNamespace(
            tasks=SimpleNamespace(spawn=lambda _, work: asyncio.ensure_future(work)),
            config=SimpleNamespace(settings=SimpleNamespace(agents=4)),
        )
        one = object.__new__(Marks)
        store = Store("/a/carried", "agent-0", Disk(random_stream(1, "disk")))
        store.put("beat", [1, 1])
        await store.flush()
        one.__dict__.update(
            _agent=agent,
            _store=store,
            _marking=None,
            _me=0,
            _config=SimpleNamespace(beat=8.0),
            members=SimpleNamespace(beat=0),
            _token=1,
            floor=SimpleNamespace(revision=0),
            own=SimpleNamespace(life=Life(1, 1), settled=True, superseded=False),
        )
        for _ in range(5):
            one.ran()
            one.ran()  # a second payment in the same moment needs no mark of its own
            await one._marking
            one.members.beat += 1
            one._put_beat()
            await store.flush()

    asyncio.run(work())
    assert len(told) == 5 * 3 and told == sorted(told)


def test_who_was_cut_off_while_it_asked_asks_again_and_hears_what_drains(monkeypatch):
    trial = spec.read(drawn(5060, True, False))
    while_cut_off = play.run(trial, 5060).recovery.to_draining
    monkeypatch.setattr(returning, "ASK_AGAIN", 10**6)
    assert play.run(trial, 5060).recovery.to_draining > 7 * while_cut_off


def test_a_disk_that_takes_longer_than_a_client_still_waits_leaves_no_client_without_an_answer():
    # Found by the campaign (seed 11, history 68): an agent that had slept had payments with 88 ms left, and a disk that hung.
    async def work():
        async with Site(target("s-1", "127.0.0.1:9")) as site:
            kept = asyncio.Event()

            async def remember(name):
                await kept.wait()
                return Remembered.KEPT

            site.agent.serving.remember = remember
            began = asyncio.get_running_loop().time()
            answer = await site.ask(look(kind=b"pay", method=b"POST", body=b"x", deadline=b"0.4"))
            assert answer.startswith(b"HTTP/1.1 502") and asyncio.get_running_loop().time() - began < 0.4
            reader, writer = await site.client()
            writer.write(look(kind=b"pay", method=b"POST", body=b"x", deadline=b"5"))
            await asyncio.sleep(0.05)
            writer.close()  # and one that leaves meanwhile has left, with no shot sent
            await asyncio.sleep(0.05)
            kept.set()
            await site.settled()
            assert site.agent.counters.answered["left"] == 1 and not site.agent.counters.shots

    on_loop(work())


def part(store, found=None):
    """The part alone, beside an agent that is none."""
    product = SimpleNamespace(kind=Idempotency.NON_IDEMPOTENT, timeout=1000.0)
    agent = SimpleNamespace(
        serving=SimpleNamespace(ids=Ids(), remember=None, longest_wait=40.0),
        log=SimpleNamespace(event=lambda *_, **__: None),
        counters=SimpleNamespace(others=virtual.Counter()),
        config=SimpleNamespace(settings=SimpleNamespace(products=[product]), fleet=None),
        clock=SimpleNamespace(now=lambda: 0.0),
        tasks=SimpleNamespace(spawn=lambda _, work: asyncio.ensure_future(work)),
    )
    return agent, Ran(agent, store, found or store.open())


def test_an_id_is_safe_before_it_counts_and_goes_after_two_turns():
    async def work():
        disk = MemoryDisk(random_stream(1, "disk"))
        _, ran = part(Store("/a/carried", "a", disk))
        assert await asyncio.gather(*(ran.keep(b"id-%d" % n) for n in range(50))) == [Remembered.KEPT] * 50
        disk.lose_power()
        agent, after = part(store := Store("/a/carried", "a", disk))
        assert not any(agent.serving.ids.begin(b"id-%d" % n) for n in range(50)) and agent.serving.ids.begin(
            b"other"
        )
        turns = asyncio.ensure_future(after.run())
        await asyncio.sleep(0.06)  # one turn of 40 ms
        assert sum(key.startswith("ran/") for key in store.state) == 50
        await asyncio.sleep(0.04)
        assert not [key for key in store.state if key.startswith("ran/")]
        turns.cancel()

    asyncio.run(work())


def test_a_disk_that_can_t_be_written_and_a_full_store():
    async def work():
        disk = MemoryDisk(random_stream(1, "disk"))
        agent, ran = part(store := Store("/a/carried", "a", disk))
        disk.writes_fail = True
        assert (
            await ran.keep(b"a") is Remembered.KEPT and agent.counters.others["ran: not kept"] == 1
        )  # as without it
        disk.writes_fail = False
        while store.put(f"drain/{len(store.state)}", 1):
            pass
        assert (
            await ran.keep(b"b") is Remembered.NOT_NOW and agent.counters.others["ran: refused, no room"] == 1
        )

    asyncio.run(work())


def test_a_configuration_that_has_nothing_to_keep_is_refused_by_its_key(tmp_path):
    raw = RAW | {"store": {"file": "/tmp/x", "ran": True}}
    assert read_file(tmp_path, raw).ran and not read_file(tmp_path, RAW).ran
    repeatable = {"categories": [{"give_up": 5, "semantics": "repeatable"}]}
    with pytest.raises(BadConfig, match=r"store\.ran: no category"):
        read_file(tmp_path, raw | {"settings": repeatable})
    with pytest.raises(BadConfig, match=r"store\.ran: 'yes'"):
        read_file(tmp_path, raw | {"store": {"file": "/tmp/x", "ran": "yes"}})
    with pytest.raises(BadConfig, match=r"agents\.ran"):
        spec.read(SMALL | {"agents": {"ran": True}})
