"""The request journal: payments that clients repeat under the same id across a power loss of their agent."""

import asyncio
from types import SimpleNamespace

import pytest
from helpers import Site, look, target
from helpers import run as on_loop
from test_config import RAW
from test_config import read as read_file
from test_rig import SMALL as RIG
from test_trial import SMALL

from benchmarks.random_power_losses import draw_trial
from lupinreach.bed.ways import virtual
from lupinreach.bed.ways.disk import MemoryDisk
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.config import BadConfig
from lupinreach.fleet import wire
from lupinreach.fleet.incarnation import Incarnation
from lupinreach.model import Idempotency
from lupinreach.net.ids import IdPersistence, Ids
from lupinreach.ops import fleet_agent
from lupinreach.ops.request_journal import RequestJournal
from lupinreach.store import records
from lupinreach.store.store import Store
from lupinreach.trial import play, spec

REPEATED = {
    "clients": {"replays": True},
    "faults": [{"kind": "power", "at": 3, "agents": 0.3}, {"kind": "power", "at": 6, "agents": 0.3}],
}
AGENTS = {"agents": {"count": 4, "store": True, "ran": True}}


def test_payment_repeated_after_a_power_loss_runs_once():
    played = [play.run(spec.read(SMALL | REPEATED | AGENTS), seed) for seed in (3, 4)]
    assert [p.verdict for p in played] == [play.KEPT] * 2
    for p in played:
        assert 0 < p.result.figures["answers"]["errored"] < 10 and p.recovery.first_10s > 0.95
    without_journal = play.run(spec.read(SMALL | REPEATED | {"agents": {"count": 4, "store": True}}), 3)
    assert {b.name for b in without_journal.result.violations} == {"effect twice"}


@pytest.mark.rig(RIG | REPEATED | {"seconds": 9} | AGENTS)
def test_payment_repeated_after_a_power_loss_runs_once_with_processes(played):
    assert played.result.rules == {rule: "kept" for rule in played.result.rules}, played.result.violations[:3]


def test_hanging_disk_rate_limits_payments_at_once_and_the_rest_is_served():
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
    # The first payments wait for the sync timeout, the later ones not at all.
    assert max(took for product, status, took in late if product == "pay" and status == 429) < 5
    assert not [status for product, status, _ in late if product == "pay" and status == 200]
    assert sum(status == 200 for product, status, _ in late if product == "look") > 40


def test_older_disk_is_detected_by_heartbeats_that_witnesses_store(monkeypatch):
    # All agents lost power, half of the disks came back in a state two seconds old, and without witnesses a
    # payment ran twice.
    trial = spec.read(draw_trial(5027, True, False))
    assert play.run(trial, 5027).verdict == play.KEPT
    monkeypatch.setattr(fleet_agent, "WITNESSES", 0)
    assert {b.name for b in play.run(trial, 5027).result.violations} == {"effect twice"}


def test_copy_two_heartbeats_old_is_detected_by_the_extra_heartbeats_after_payments(monkeypatch):
    # Drawn loss 20075: the witnesses knew no more heartbeats than the old disk held, and a payment ran twice.
    trial = spec.read(draw_trial(20075, True, False))
    assert play.run(trial, 20075).verdict == play.KEPT
    monkeypatch.setattr(fleet_agent.FleetAgent, "record_synced", lambda _: None)
    assert {b.name for b in play.run(trial, 20075).result.violations} == {"effect twice"}


def test_extra_heartbeat_is_synced_before_it_is_sent_and_exceeds_any_older_disk():
    """Heartbeats sent after a payment are not above the disk's, but above the disk's before the payment."""
    sent, stored = [], []

    class Disk(MemoryDisk):
        def append(self, path, text, sync):
            super().append(path, text, sync)
            stored.append(records.decode_file(self.read(path, 1 << 20), "agent-0").state["beat"][1])

    class RecordingAgent(fleet_agent.FleetAgent):
        def _send(self, peer, message):
            if message.kind == wire.HEARTBEAT and not message.members:
                assert message.heartbeat < stored[-1]  # at most what the disk holds
                assert message.heartbeat > self.before  # above what the disk held before the payment
                sent.append(message.heartbeat)

        def record_synced(self):
            self.before = stored[-1] if stored else 0
            super().record_synced()

    async def work():
        agent = SimpleNamespace(
            tasks=SimpleNamespace(spawn=lambda _, work: asyncio.ensure_future(work)),
            config=SimpleNamespace(settings=SimpleNamespace(agents=4)),
        )
        one = object.__new__(RecordingAgent)
        store = Store("/a/carried", "agent-0", Disk(random_stream(1, "disk")))
        store.put("beat", [1, 1])
        await store.flush()
        one.__dict__.update(
            _agent=agent,
            _store=store,
            _mark_task=None,
            _me=0,
            _config=SimpleNamespace(beat=8.0),
            members=SimpleNamespace(heartbeat=0),
            _token=1,
            floor=SimpleNamespace(revision=0),
            own=SimpleNamespace(incarnation=Incarnation(1, 1), settled=True, superseded=False),
        )
        for _ in range(5):
            one.record_synced()
            one.record_synced()  # a second payment at the same moment needs no heartbeat of its own
            await one._mark_task
            one.members.heartbeat += 1
            one._store_heartbeat()
            await store.flush()

    asyncio.run(work())
    assert len(sent) == 5 * 3 and sent == sorted(sent)


def test_agent_partitioned_during_its_query_queries_again_and_learns_of_drains(monkeypatch):
    trial = spec.read(draw_trial(5060, True, False))
    with_repeated_queries = play.run(trial, 5060).recovery.to_draining
    monkeypatch.setattr(fleet_agent, "QUERY_INTERVAL_HEARTBEATS", 10**6)
    assert play.run(trial, 5060).recovery.to_draining > 7 * with_repeated_queries


def test_sync_longer_than_a_client_s_remaining_timeout_leaves_no_client_without_an_answer():
    # Campaign seed 11, history 68: an agent resumed from suspension with payments that had 88 ms left, and
    # its disk hung.
    async def work():
        async with Site(target("s-1", "127.0.0.1:9")) as site:
            kept = asyncio.Event()

            async def remember(name):
                await kept.wait()
                return IdPersistence.PERSISTED

            site.agent.serving.persist_id = remember
            began = asyncio.get_running_loop().time()
            answer = await site.ask(look(kind=b"pay", method=b"POST", body=b"x", deadline=b"0.4"))
            assert answer.startswith(b"HTTP/1.1 502") and asyncio.get_running_loop().time() - began < 0.4
            reader, writer = await site.client()
            writer.write(look(kind=b"pay", method=b"POST", body=b"x", deadline=b"5"))
            await asyncio.sleep(0.05)
            writer.close()  # a client that disconnects meanwhile counts as left, with no attempt sent
            await asyncio.sleep(0.05)
            kept.set()
            await site.settled()
            assert site.agent.counters.answered["left"] == 1 and not site.agent.counters.shots

    on_loop(work())


def journal_of(store, found=None):
    """A request journal with a stub agent."""
    product = SimpleNamespace(kind=Idempotency.NON_IDEMPOTENT, timeout=1000.0)
    agent = SimpleNamespace(
        serving=SimpleNamespace(ids=Ids(), persist_id=None, longest_wait=40.0),
        log=SimpleNamespace(event=lambda *_, **__: None),
        counters=SimpleNamespace(others=virtual.Counter()),
        config=SimpleNamespace(settings=SimpleNamespace(products=[product]), fleet=None),
        clock=SimpleNamespace(now=lambda: 0.0),
        tasks=SimpleNamespace(spawn=lambda _, work: asyncio.ensure_future(work)),
    )
    return agent, RequestJournal(agent, store, found or store.open())


def test_id_is_durable_before_its_call_runs_and_removed_after_two_periods():
    async def work():
        disk = MemoryDisk(random_stream(1, "disk"))
        _, journal = journal_of(Store("/a/carried", "a", disk))
        assert (
            await asyncio.gather(*(journal.record(b"id-%d" % n) for n in range(50)))
            == [IdPersistence.PERSISTED] * 50
        )
        disk.lose_power()
        agent, after = journal_of(store := Store("/a/carried", "a", disk))
        assert not any(agent.serving.ids.begin(b"id-%d" % n) for n in range(50)) and agent.serving.ids.begin(
            b"other"
        )
        periods = asyncio.ensure_future(after.run())
        await asyncio.sleep(0.06)  # one period of 40 ms
        assert sum(key.startswith("ran/") for key in store.state) == 50
        await asyncio.sleep(0.04)
        assert not [key for key in store.state if key.startswith("ran/")]
        periods.cancel()

    asyncio.run(work())


def test_unwritable_disk_serves_calls_and_full_store_rejects_them():
    async def work():
        disk = MemoryDisk(random_stream(1, "disk"))
        agent, journal = journal_of(store := Store("/a/carried", "a", disk))
        disk.writes_fail = True
        assert (
            await journal.record(b"a") is IdPersistence.PERSISTED
            and agent.counters.others["ran: not kept"] == 1
        )  # as without a journal
        disk.writes_fail = False
        while store.put(f"drain/{len(store.state)}", 1):
            pass
        assert (
            await journal.record(b"b") is IdPersistence.UNAVAILABLE
            and agent.counters.others["ran: refused, no room"] == 1
        )

    asyncio.run(work())


def test_configuration_without_non_idempotent_products_is_rejected_by_its_key(tmp_path):
    raw = RAW | {"store": {"file": "/tmp/x", "ran": True}}
    assert read_file(tmp_path, raw).ran and not read_file(tmp_path, RAW).ran
    repeatable = {"categories": [{"give_up": 5, "semantics": "repeatable"}]}
    with pytest.raises(BadConfig, match=r"store\.ran: no category"):
        read_file(tmp_path, raw | {"settings": repeatable})
    with pytest.raises(BadConfig, match=r"store\.ran: 'yes'"):
        read_file(tmp_path, raw | {"store": {"file": "/tmp/x", "ran": "yes"}})
    with pytest.raises(BadConfig, match=r"agents\.ran"):
        spec.read(SMALL | {"agents": {"ran": True}})
