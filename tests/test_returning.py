"""Startup of fleet members after a power loss: in virtual time, with processes, beside lying agents."""

import asyncio
import os
import time
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import pytest
from test_config import RAW
from test_config import read as read_file
from test_rig import SMALL as RIG
from test_trial import SMALL

from lupinreach.bed.ways import virtual
from lupinreach.bed.ways.disk import MemoryDisk
from lupinreach.bed.ways.virtual import VirtualLog
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.config import BadConfig, FleetConfig
from lupinreach.fleet import wire
from lupinreach.fleet.incarnation import Incarnation
from lupinreach.fleet.membership import NEVER_HEARD
from lupinreach.fleet.recovery import RevisionFloor
from lupinreach.fleet.wire import HEARTBEAT, REPLY, Drain, Message
from lupinreach.model import Listing, ListState, UpdateKind
from lupinreach.ops import persistence
from lupinreach.ops.fleet_agent import FleetAgent
from lupinreach.store import records
from lupinreach.store.records import FileContents
from lupinreach.store.store import Store
from lupinreach.trial import play, spec

FLEET = {"agents": {"count": 6, "store": True, "fleet": True}, "limits": {"peers": True}, "seconds": 14}
DRAIN = {"kind": "drain", "at": 2, "seconds": 9, "targets": [0, 1]}
POWER = {"kind": "power", "at": 4, "agents": 1, "registry": 2, "registry_older": 3}
CASES = {
    "old list that names drained backends": {"faults": [POWER], "troubles": [DRAIN]},
    "half the disks older, one another's": {
        "faults": [POWER],
        "troubles": [
            DRAIN,
            {"kind": "disk-older", "at": 4.5, "seconds": 1, "share": 0.5, "strength": 3},
            {"kind": "disk-other", "at": 4.7, "seconds": 1, "targets": [5]},
        ],
    },
    "a third deaf during the return": {
        "faults": [POWER],
        "troubles": [DRAIN, {"kind": "deaf-agents", "at": 4.2, "seconds": 4, "targets": [1, 4]}],
    },
    "clocks a day ahead at a third": {
        "faults": [POWER],
        "troubles": [DRAIN, {"kind": "clock-agents", "at": 4, "seconds": 9, "targets": [0, 3]}],
    },
    "power lost three times": {
        "faults": [POWER | {"at": 4 + 2 * n, "agents": 0.6, "registry": 0.8} for n in range(3)],
        "troubles": [DRAIN],
    },
    "a second process on one disk": {
        "faults": [POWER],
        "troubles": [DRAIN, {"kind": "twin-agents", "at": 5.5, "seconds": 4, "targets": [2]}],
    },
    "disks that hang for three seconds": {
        "faults": [POWER],
        "troubles": [DRAIN, {"kind": "disk-hangs", "at": 4.5, "seconds": 3, "share": 0.5}],
    },
    "datagrams lost, doubled, late": {
        "faults": [POWER],
        "troubles": [
            DRAIN,
            {"kind": "datagrams-doubled", "at": 0, "seconds": 14, "strength": 0.3},
            {"kind": "datagrams-late", "at": 0, "seconds": 14, "share": 0.3, "strength": 500},
        ],
    },
}


def logged(ledger, event):
    return [(r[2], r[4]) for r in ledger.records if r[0] == "said" and r[3] == event]


@pytest.mark.parametrize("case", CASES)
def test_fleet_keeps_the_rules_and_sends_nothing_to_draining_backends(case):
    trial = spec.read(SMALL | FLEET | CASES[case])
    ledger = virtual.play(trial.world, 3)
    played = play.judge(trial, 3, ledger)
    assert played.verdict == play.KEPT, played.result.violations[:3]
    asked = logged(ledger, "asked")
    assert len(asked) >= 12 and len({(agent, *fields["life"]) for agent, fields in asked}) == len(asked)
    if "deaf" not in case:  # an isolated agent behaves like one without a fleet
        assert played.recovery.to_draining == 0
    assert {fields["to"] for _, fields in logged(ledger, "returned")} >= {
        "standing",
        "listening",
        "trying",
        "rising",
    }


def test_agents_without_a_fleet_follow_the_old_list():
    alone = play.run(
        spec.read(SMALL | FLEET | {"agents": {"count": 6}} | CASES["old list that names drained backends"]), 3
    )
    assert alone.recovery.to_draining > 50


def rig_case(case):
    more = {"seconds": 8, "agents": {"count": 4, "store": True, "fleet": True}, "limits": {"peers": True}}
    troubles = [
        t | {"targets": [0]}
        if t["kind"] == "drain"
        else t | {"targets": [n % 4 for n in t.get("targets", [0, 1])]}
        for t in CASES[case]["troubles"]
    ]
    return pytest.param(
        case,
        marks=pytest.mark.rig(
            RIG | more | {"faults": [POWER | {"at": 3.5, "agents": 0.6}], "troubles": troubles}
        ),
    )


@pytest.mark.parametrize(
    "case",
    map(
        rig_case,
        [
            "old list that names drained backends",
            "half the disks older, one another's",
            "a second process on one disk",
        ],
    ),
)
def test_fleet_of_processes_keeps_the_rules_and_sends_nothing_to_draining_backends(case, played):
    assert played.result.rules == {rule: "kept" for rule in played.result.rules}, played.result.violations[:3]
    assert played.recovery.to_draining == 0


# Injected faults.


def test_incarnation_used_twice_is_detected_as_such(monkeypatch):
    empty = {"kind": "disk-torn", "at": 4.5, "seconds": 1, "share": 1.0, "strength": 0.0}
    trial = spec.read(SMALL | FLEET | {"faults": [POWER], "troubles": [empty]})
    assert play.run(trial, 3).verdict == play.KEPT
    restore_state = persistence.restore_state
    monkeypatch.setattr(virtual, "restore_state", lambda agent, disk, token: restore_state(agent, disk, 7))
    found = play.run(trial, 3).result.violations
    assert {b.name for b in found} == {"life twice"} and len(found) >= 5


def make_liars(monkeypatch, liars):
    plain = FleetAgent._message

    def message(self, kind, **more):
        m = plain(self, kind, **more)
        if self._me >= liars:
            return m
        every = tuple(Drain(e.name, int(e.boot_time)) for e in self._listed.values())[: wire.MAX_DRAINS]
        return replace(m, revision=2**60, remembers=True, drains=every if kind == REPLY else ())

    monkeypatch.setattr(FleetAgent, "_message", message)


def test_one_peer_that_claims_an_implausible_revision_and_that_all_backends_drain_does_little_harm(
    monkeypatch,
):
    trial = spec.read(SMALL | FLEET | {"faults": [{"kind": "power", "at": 4, "agents": 1}]})
    sound = play.run(trial, 3)
    make_liars(monkeypatch, 1)
    ledger = virtual.play(trial.world, 3)
    harmed = play.judge(trial, 3, ledger)
    assert harmed.verdict == play.KEPT and harmed.recovery.whole >= 0.95 * sound.recovery.whole
    assert {f["floor"] < 100 for _, f in logged(ledger, "asked")} == {True}
    # Where one peer's claim is enough, the lie has an effect.
    monkeypatch.setattr(RevisionFloor, "add_claim", lambda self, peer, revision: self.raise_to(revision))
    assert 2**60 in {f["floor"] for _, f in logged(virtual.play(trial.world, 3), "asked")}


# One fleet agent by itself.


def spawned(what, work):
    try:
        return asyncio.get_running_loop().create_task(work)
    except RuntimeError:  # no loop runs: done at once, on a disk that never blocks
        asyncio.run(work)
        return SimpleNamespace(done=lambda: True)


def one(state=None, agents=6, config=FleetConfig(1000.0, 300.0)):
    agent = SimpleNamespace(
        clock=SimpleNamespace(now=lambda: 5_000.0),
        counters=SimpleNamespace(others=Counter(), answered=Counter()),
        directory=SimpleNamespace(is_stale_version=None, version=60, age=None),
        readiness=SimpleNamespace(returning=False, listed=False),
        listed=[],
        sent=[],
        tasks=SimpleNamespace(spawn=spawned),
        log=SimpleNamespace(event=lambda *a, **k: None),
        config=SimpleNamespace(
            seed=5,
            settings=SimpleNamespace(
                me=2,
                agents=agents,
                products=[SimpleNamespace(slo=100.0)],
                rules=SimpleNamespace(ask_within=10_000.0, cold=4000.0),
            ),
        ),
    )
    agent.balancer = SimpleNamespace(
        update_backends=lambda now, news, entries: agent.listed.append((news, entries))
    )
    agent.peers = SimpleNamespace(send=lambda to, data: agent.sent.append((to, wire.decode(data))))
    store = Store("carried", "a", MemoryDisk(random_stream(1, "disk")))
    return agent, FleetAgent(agent, store, FileContents(dict(state or {})), config, 77)


def test_datagram_from_a_wrong_address_is_ignored():
    agent, part = one()
    forged = wire.encode(Message(HEARTBEAT, 4, Incarnation(9, 9), 5, True, 900))
    part.on_datagram(3, forged)
    part.on_datagram(2, wire.encode(Message(HEARTBEAT, 2, Incarnation(9, 9), 5, True, 900)))
    part.on_datagram(3, forged[:-1])
    assert part.members.latest(4) == NEVER_HEARD and part.own.incarnation == Incarnation(1, 77)
    assert agent.counters.others == {"fleet: from a wrong address": 2, "fleet: malformed": 1}
    part.on_datagram(4, forged)
    assert part.members.latest(4)[0] == Incarnation(9, 9)
    report = part.metrics()
    assert (report["stage"], report["agents"], report["standing"], report["floor"], report["own"]) == (
        "dark",
        {"4": [9, "there"]},
        2,
        0,
        "sound",
    )


def test_drains_are_stored_passed_on_and_ended_by_a_list_that_is_not_older():
    agent, part = one(state={"drain/70": 9, "floor": 50, "life": 3, "drain/x": 1, "drain/71": "no"})
    ready, draining = (
        Listing(0, ListState.READY, 9.0, name=70),
        Listing(1, ListState.DRAINING, 9.0, name=71),
    )
    assert part.own.incarnation.number == 4
    assert agent.directory.is_stale_version(40)
    assert [e.state for e in part.apply_list(UpdateKind.CHANGES, [ready, draining], True)] == [
        ListState.DRAINING,
        ListState.DRAINING,
    ]
    part.on_datagram(5, wire.encode(Message(wire.QUERY, 5, Incarnation(1, 1), 1, False, 0, nonce=8)))
    # Synced at once: in drawn loss 1022 power failed between a drain and the next heartbeat.
    assert records.decode_file(part._store._disk.copy(), "a").state["drain/71"] == 9
    to, answer = agent.sent[-1]
    assert (
        to == 5
        and {d.backend for d in answer.drains} == {70, 71}
        and answer.nonce == 8
        and answer.revision == 50
    )
    assert not agent.directory.is_stale_version(51)
    assert [e.state for e in part.apply_list(UpdateKind.FULL, [ready], False)] == [ListState.READY]
    assert part.drains.all() == [] and not [k for k in part._store.state if k.startswith("drain/70")]


def test_drains_claimed_by_peers_reach_the_balancer_as_a_change():
    agent, part = one(state={"life": 4})
    assert (
        part.apply_list(
            UpdateKind.CACHED, [Listing(i, ListState.READY, 9.0, name=70 + i) for i in range(8)], False
        )
        == []
    )

    async def work():
        running = asyncio.create_task(part.run())
        for _ in range(200):
            await asyncio.sleep(0.005)
            if part._query is not None:
                break
        for peer in part._query.peers[:2]:
            part.on_datagram(
                peer,
                wire.encode(
                    Message(REPLY, peer, Incarnation(1, 1), 1, True, 60, nonce=77, drains=(Drain(71, 9),))
                ),
            )
        agent.clock.now = lambda: 6_000.0
        while not part._query_done:
            await asyncio.sleep(0.005)
        running.cancel()

    asyncio.run(asyncio.wait_for(work(), 10))
    assert [
        (news, [e.backend for e in entries if e.state is ListState.DRAINING], len(entries))
        for news, entries in agent.listed
    ] == [(UpdateKind.CACHED, [1], 8)]
    # Claims end after three times the time to ask the registry, if the registry's own list is as new as the
    # fleet's by then.
    agent.directory.age = 5.0
    part._advance_startup()
    agent.clock.now = lambda: 6_000.0 + 3 * 10_000.0
    agent.directory.age = None
    part._advance_startup()
    assert len(agent.listed) == 1
    agent.directory.age = 5.0
    part._advance_startup()
    assert [[(e.backend, e.state) for e in entries] for _, entries in agent.listed[1:]] == [
        [(1, ListState.READY)]
    ]


def test_share_withheld_by_one_peer_shrinks_with_the_ready_backends_and_the_balancer_is_updated():
    agent, part = one()
    part.apply_list(UpdateKind.FULL, [Listing(i, ListState.READY, 9.0, name=70 + i) for i in range(8)], False)
    part.drains.add_claims(3, [Drain(70, 9), Drain(71, 9)])
    part._apply_withheld()
    gone = [Listing(i, ListState.REMOVED, 9.0, name=70 + i) for i in range(4, 8)]
    assert [(e.backend, e.state) for e in part.apply_list(UpdateKind.CHANGES, gone, False)[4:]] == [
        (1, ListState.READY)
    ]
    assert agent.listed[0][1][0].state is ListState.DRAINING and part._withheld_indices == {0}


@pytest.mark.parametrize("state", [{}, {"life": 4}])
def test_agent_serves_by_no_cached_list_until_its_query_is_over(state):
    # Drawn losses 130 (another agent's disk) and 1874 (an older copy): an old list led to 0.3 s of attempts
    # at a draining backend.
    agent, part = one(state, config=FleetConfig(50.0, 10.0))
    agent.clock.now = lambda: 5_000.0 + time.monotonic() * 1000
    assert (
        part.apply_list(
            UpdateKind.CACHED, [Listing(i, ListState.READY, 9.0, name=70 + i) for i in range(2)], False
        )
        == []
    )

    async def work():
        running = asyncio.create_task(part.run())
        while not part._query_done:
            await asyncio.sleep(0.005)
        running.cancel()

    asyncio.run(asyncio.wait_for(work(), 10))
    assert [(news, [e.backend for e in entries]) for news, entries in agent.listed] == [
        (UpdateKind.CACHED, [0, 1])
    ]
    assert agent.readiness.listed


@pytest.mark.parametrize(
    "change, message",
    [
        ({"store": None}, "fleet: needs store.file"),
        ({"peer_listen": ""}, "fleet: needs peer_listen"),
        ({"peers": ["127.0.0.1:1"]}, "fleet: needs one address in peers for each of settings.fleet_size 2"),
        ({"settings": {"ceilings": {}}}, "fleet: needs settings.ceilings.peer_messages"),
        ({"settings": {"me": 2}}, "settings.me: 2 is out of range"),
        ({"fleet": {"beat_ms": 1}}, "fleet.beat_ms: 1 is out of range"),
        ({"fleet": []}, "fleet: must be an object"),
    ],
)
def test_incomplete_fleet_settings_are_rejected_by_name(tmp_path, change, message):
    settings = RAW["settings"] | {"fleet_size": 2, "me": 1, "ceilings": {"peer_messages": True}}
    good = RAW | {
        "store": {"file": "/x"},
        "peer_listen": "127.0.0.1:2",
        "peers": ["127.0.0.1:1", "127.0.0.1:2"],
        "fleet": {},
        "settings": settings,
    }
    assert (
        read_file(tmp_path, good).fleet == FleetConfig(1000.0, 300.0)
        and read_file(tmp_path, RAW).fleet is None
    )
    with pytest.raises(BadConfig) as bad:
        read_file(
            tmp_path,
            good | change | ({"settings": settings | change["settings"]} if "settings" in change else {}),
        )
    assert str(bad.value).startswith(message)


def test_agent_without_these_settings_loads_none_of_the_modules():
    import subprocess
    import sys

    code = "import sys, lupinreach.__main__; print([m for m in sys.modules if m.startswith(('lupinreach.fleet', 'lupinreach.store', 'lupinreach.ops'))])"
    found = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, env={**os.environ, "PYTHONPATH": "."}
    )
    assert found.stdout.strip() == "[]"


def test_superseded_process_logs_it_once_and_stops_sending():
    # The log's `event` has a parameter called self: a field of that name ended the agent's task with a
    # TypeError on a drawn loss.
    agent, part = one(config=FleetConfig(50.0, 10.0))
    agent.clock.now = lambda: 5_000.0 + time.monotonic() * 1000
    part.startup._since = agent.clock.now()
    events = []
    agent.log = SimpleNamespace(event=VirtualLog(lambda event, fields: events.append((event, fields))).event)

    async def work():
        running = asyncio.create_task(part.run())
        while not part._query_done:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.15)
        assert any(m.kind == HEARTBEAT for _, m in agent.sent)
        part.on_datagram(
            4,
            wire.encode(
                Message(
                    HEARTBEAT,
                    4,
                    Incarnation(1, 1),
                    1,
                    True,
                    60,
                    members=(wire.Member(2, Incarnation(2, 5), 9),),
                )
            ),
        )
        await asyncio.sleep(0.1)
        agent.sent.clear()
        await asyncio.sleep(0.15)
        assert not running.done()
        running.cancel()

    asyncio.run(asyncio.wait_for(work(), 10))
    assert agent.sent == []
    assert [f["superseded"] for event, f in events if event == "fleet"] == [True]
