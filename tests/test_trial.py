"""Tests of trials: reading their files, their metrics, and small fleets under faults in virtual time."""

import asyncio
import json
import os
import subprocess
import sys
from types import SimpleNamespace

import pytest

from lupinreach.bed.ways import virtual
from lupinreach.bed.ways.loop import VirtualLoop
from lupinreach.bed.ways.memory import RST, ConnectionEnd, MemoryNet, MemorySockets
from lupinreach.bed.world.network import Machine, Paths
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.bed.world.spec import read as read_world
from lupinreach.config import BadConfig
from lupinreach.trial import metrics, play, spec

SMALL = {
    "name": "t",
    "seconds": 12,
    "zones": ["a", "b"],
    "agents": {"count": 4},
    "backends": [{"count": 6, "cores": 1, "speed": 1.0}],
    "products": [
        {"name": "look", "work": 40, "slo": 500, "timeout": 1500},
        {"name": "pay", "kind": "non-idempotent", "work": 40, "slo": 500, "timeout": 1500, "value": 5},
    ],
    "traffic": {"calls_per_s": 60},
    "rules": {"cold": 4000.0, "drain_grace": 500.0, "fall": 1000.0},
    "registry": {"lag": [100, 300], "silent_lag": [500, 900]},
}
POWER = {"kind": "power", "at": 3, "agents": 1, "backends": 1.5, "registry": 2}


def command(*arguments, **options):
    return subprocess.run(
        [sys.executable, "-m", "lupinreach.cli", *arguments],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": "."},
        **options,
    )


@pytest.mark.parametrize(
    "raw, path",
    [
        ({"faults": [{"kind": "powr", "at": 1, "agents": 1}]}, "faults[0].kind"),
        ({"faults": [{"kind": "power", "at": 1}]}, "faults[0].agents"),
        ({"faults": [POWER | {"rack": "c"}]}, "faults[0].rack"),
        ({"faults": [POWER | {"registry": "soon"}]}, "faults[0].registry"),
        ({"faults": [POWER | {"over": {"registry": 2}}]}, "faults[0].over.registry"),
        ({"faults": [POWER | {"stagger": 2}]}, "faults[0].stagger"),
        ({"expect": {"first_30s": 0.5}}, "expect.first_30s"),
        ({"since": 60}, "since"),
        ({"agents": {"cout": 3}}, "agents.cout"),
    ],
)
def test_invalid_trial_is_rejected_with_the_path_of_the_key(raw, path):
    with pytest.raises(BadConfig, match=path.replace("[", r"\[").replace("]", r"\]")):
        spec.read(SMALL | raw)


def test_packaged_trials_are_valid_and_an_invalid_file_runs_nothing(tmp_path):
    for path in spec.TRIALS_DIR.glob("*.toml"):
        assert spec.read_file(path.stem).world.name == path.stem
    bad = tmp_path / "bad.toml"
    bad.write_text('base = "fleet"\n[[faults]]\nkind = "power"\nat = 1\nagents = 1\nrack = "east"\n')
    result = command("trial", "run", str(bad))
    assert result.returncode == 2 and "faults[0].rack: 'east' is none of north, south" in result.stderr
    assert result.stdout == ""


def test_power_fault_becomes_troubles_with_the_given_return_times():
    trial = spec.read(SMALL | {"faults": [POWER | {"rack": "b", "over": {"backends": 3}}]})
    kills = [t for t in trial.world.troubles if t.kind == "kill-agents"]
    crashes = [t for t in trial.world.troubles if t.kind == "crash"]
    assert [t.targets for t in kills] == [(1, 3)] and [t.targets for t in crashes] == [(1,), (3,), (5,)]
    assert [t.length for t in crashes] == [1500.0, 2500.0, 3500.0] and trial.since == 4500.0


def test_possible_value_follows_running_agents_and_backend_capacity():
    world = read_world(SMALL)
    us = 1_000_000
    records = [("agent", 0, 0, 1, "started"), ("state", 0, 0, 1, "Ready", 2.0, 0.0, 0.2, 0, 0)]
    records += [("asked", i * us // 10, f"{i:x}.0", i, 0, 0, "look", "", 100.0, 900.0) for i in range(30)]
    records += [
        ("got", 50_000, "0.0", 200, 0.0, "0.0"),
        ("state", 1 * us, 0, 1, "Gone", 0.0, 0.0, 0.0, 0, 0),
        ("state", 2 * us, 0, 2, "Ready", 2.0, 4000.0, 0.2, 0, 0),
    ]
    records.sort(key=lambda r: r[1])
    rows = metrics.seconds(world, records)
    # 100 ms of work arrive every 100 ms. In that time the backend can do 200 ms when warm, 0 when down, and
    # 200 x (0.2 + 0.8 x age / 4000) when cold.
    assert rows[0].possible == pytest.approx(1000.0) and rows[1].possible == 0.0
    assert rows[2].possible == pytest.approx(sum(42 + 4 * i for i in range(10)))
    assert rows[0].served == pytest.approx(100.0) and rows[0].done == pytest.approx(100.0)
    with_deaf_agent = [*records[:2], ("trouble", 0, 0, "deaf-agents", "begins", [0]), *records[2:]]
    assert all(r.possible == 0.0 for r in metrics.seconds(world, with_deaf_agent))


def test_overlapping_twin_troubles_keep_the_rules():
    doubled = [
        {"kind": "twin-agents", "at": 1, "seconds": 2, "targets": [1]},
        {"kind": "twin-agents", "at": 2, "seconds": 3, "targets": [1]},
    ]
    trial = spec.read(
        SMALL
        | {
            "seconds": 6,
            "agents": {"count": 4, "store": True, "fleet": True},
            "limits": {"peers": True},
            "troubles": doubled,
        }
    )
    assert play.run(trial, 3).verdict == play.KEPT


def test_agent_is_started_once_and_after_its_predecessor_ended():
    # Found by the campaign (seed 11, history 1): a restart shorter than the stop, with a power loss in
    # between, started two processes on one address.
    faults = [
        {"kind": "restart-agents", "at": 2, "seconds": 0.3, "targets": [0, 1]},
        {"kind": "kill-agents", "at": 2.2, "seconds": 0.4, "targets": [1, 2]},
    ]
    ledger = virtual.play((trial := spec.read(SMALL | {"troubles": faults})).world, 3)
    assert play.judge(trial, 3, ledger).verdict == play.KEPT
    lives = {n: [(r[3], r[4]) for r in ledger.records if r[0] == "agent" and r[2] == n] for n in range(3)}
    assert lives[0] == [(1, "started"), (1, "stopping"), (1, "ended"), (2, "started")]
    assert lives[1] == [(1, "started"), (1, "stopping"), (1, "killed"), (2, "started")]
    assert lives[2] == [(1, "started"), (1, "killed"), (2, "started")]


def test_recovery_from_power_loss_with_and_without_backends():
    trial = spec.read(SMALL | {"faults": [POWER], "expect": {"whole": 0.99}})
    played = play.run(trial, 3)
    assert played.verdict == play.KEPT and 0 < played.recovery.whole < 0.99
    assert [line.split(":")[0] for line in played.missed] == ["expect.whole"]
    without_backends = play.run(
        spec.read(SMALL | {"faults": [POWER | {"backends": "never"}], "since": 4.5}), 3
    )
    assert (
        without_backends.recovery.whole == 1.0
        and sum(s.possible for s in without_backends.seconds[6:]) == 0.0
    )


def test_deaf_agent_sends_but_receives_no_answers_or_lists():
    trial = spec.read(
        SMALL
        | {
            "troubles": [
                {"kind": "deaf-agents", "at": 3, "seconds": 5, "targets": [1]},
                {"kind": "drain", "at": 4, "seconds": 3, "targets": [2]},
            ]
        }
    )
    records = virtual.play(trial.world, 3).records
    begin = next(r[1] for r in records if r[0] == "asked")
    during = [r for r in records if begin + 3.3e6 < r[1] < begin + 7.9e6]
    asked = {r[2] for r in during if r[0] == "asked" and r[5] == 1}
    assert any(r[0] == "came" and r[4] in asked for r in during)
    assert not any(r[0] == "got" and r[2] in asked and r[3] == 200 for r in during)
    assert not any(r[0] == "told" and r[2] == 1 for r in during)
    healed_at = next(r[1] for r in records if r[0] == "trouble" and r[3:5] == ("deaf-agents", "ends"))
    assert any(r[0] == "told" and r[2] == 1 for r in records if r[1] >= healed_at)
    assert play.run(trial, 3).verdict == play.KEPT


def test_backend_cut_off_from_some_agents_serves_the_others():
    trial = spec.read(
        SMALL
        | {
            "troubles": [
                {"kind": "apart", "at": 3, "seconds": 5, "targets": [2], "strength": 0.5},
                {"kind": "apart-one-way", "at": 4, "seconds": 2, "targets": [2], "strength": 0.5},
            ]
        }
    )
    records = virtual.play(trial.world, 3).records
    begin = next(r[1] for r in records if r[0] == "asked")
    during = [r for r in records if begin + 3.1e6 < r[1] < begin + 7.9e6]
    agent_by_request = {r[2]: r[5] for r in records if r[0] == "asked"}
    delivered = {agent_by_request[r[4]] for r in during if r[0] == "came" and r[2] == 2}
    assert 1 <= len(delivered) <= 2  # two of the four agents can't reach it
    after = {agent_by_request[r[4]] for r in records if r[0] == "came" and r[2] == 2 and r[1] > begin + 8e6}
    assert len(after) == 4 and play.run(trial, 3).verdict == play.KEPT


def test_registry_without_power_learns_of_changes_only_after_its_return():
    # Found in trials: the registry removed crashed backends while it was down itself, so that agents got
    # lists that no real registry could have had.
    trial = spec.read(SMALL | {"faults": [POWER | {"agents": 3, "backends": 3.5, "registry": 5}]})
    records = virtual.play(trial.world, 3).records
    begin = next(r[1] for r in records if r[0] == "asked")
    meanwhile = [r for r in records if r[0] == "told" and begin + 3e6 < r[1] < begin + 8e6]
    assert meanwhile and all(len(r[5]) == 6 and {state for _, state in r[5]} == {"Ready"} for r in meanwhile)
    back = [r for r in records if r[0] == "told" and r[1] > begin + 8e6 + 4e5]
    assert {n for r in back for n, _ in r[5]} == set(range(6))


def test_registry_restored_to_an_older_list_sends_that_list():
    trial = spec.read(
        SMALL
        | {
            "troubles": [
                {"kind": "replace", "at": 1, "seconds": 2, "targets": [0]},
                {"kind": "registry-older", "at": 5, "seconds": 1, "strength": 4.5},
            ]
        }
    )
    records = virtual.play(trial.world, 3).records
    last = [r for r in records if r[0] == "told" and r[2] == 0]
    assert max(r[4] for r in last) > last[-1][4] and [0, "Ready"] in last[-1][5]


def test_agents_with_a_wrong_clock_keep_the_rules(capsys):
    trial = spec.read(
        SMALL
        | {
            "troubles": [{"kind": "clock-agents", "at": 2, "seconds": 9, "share": 0.5, "strength": -86400.0}],
            "faults": [POWER],
        }
    )
    assert play.run(trial, 3).verdict == play.KEPT
    assert "Event loop is closed" not in capsys.readouterr().err


def test_run_command_prints_a_summary_and_writes_the_report(tmp_path):
    file = tmp_path / "one.toml"
    file.write_text(
        'base = "calm"\nname = "one"\nseconds = 6\n[[faults]]\nkind = "power"\nat = 2\nagents = 1\n'
        "backends = 1\nregistry = 1\n[expect]\nwhole = 0.1\n"
    )
    result = command(
        "trial",
        "run",
        str(file),
        "--seed",
        "4",
        "--report",
        str(tmp_path),
        "--json",
        str(tmp_path / "out.json"),
    )
    line = json.loads(result.stdout.splitlines()[-1])
    assert result.returncode == 0 and line["verdict"] == "kept" and line["seeds"] == [4]
    assert "<svg" in (tmp_path / "trial-one.html").read_text()
    assert len(json.loads((tmp_path / "out.json").read_text())["runs"][0]["seconds"]) >= 6


SMALL_WITH_PEERS = SMALL | {"limits": {"peers": True}}


class DatagramRecorder(asyncio.DatagramProtocol):
    def __init__(self):
        self.got = []

    def datagram_received(self, data, addr):
        self.got.append((data, addr))


def received_datagrams(configure, messages=200):
    """The datagrams that each of three agents receives from the first, which sends one every ms.

    Even ones go to all agents, odd ones to the second; the third agent ends halfway.
    """
    loop = VirtualLoop()
    paths = Paths(1.0, 1.0, 0.0, 0.0, random_stream(1, "paths"))
    net = MemoryNet(loop, paths)
    net.broadcast_address = ("all", 1)
    recorders = []
    for n in range(3):
        with loop.owned_by(n + 1):
            new_recorder = DatagramRecorder()
            recorders.append(new_recorder)
            loop.run_until_complete(
                MemorySockets(net, Machine(f"agent {n}", n % 2)).datagrams(
                    lambda new_recorder=new_recorder: new_recorder, (str(n), 1)
                )
            )
    configure(paths)
    for i in range(messages):
        loop.call_later(
            i / 1000,
            net.send_datagram,
            net.datagram_endpoints["0", 1].machine,
            ("0", 1),
            ("1", 1) if i % 2 else ("all", 1),
            b"%d" % i,
        )
    loop.call_later(messages / 2000, net.close_owner, 3)
    loop.run_until_complete(asyncio.sleep(5))
    loop.end()
    return [[int(data) for data, addr in recorder.got if addr == ("0", 1)] for recorder in recorders]


def test_virtual_datagrams_reach_one_or_all_agents_but_no_ended_process():
    own, other, ended = received_datagrams(lambda paths: None)
    assert own == [] and other == list(range(200)) and ended == [i for i in range(0, 99, 2)]
    assert received_datagrams(lambda paths: paths.reset_zones.add(1))[1] == []


def test_datagrams_are_duplicated_and_delayed_past_later_ones():
    _, doubled, _ = received_datagrams(lambda paths: setattr(paths, "duplicate_share", 0.5))
    assert 260 < len(doubled) < 340 and set(doubled) == set(range(200))

    def delay_a_quarter(paths):
        paths.delayed_share, paths.delay_ms = 0.25, 50.0

    _, delayed, _ = received_datagrams(delay_a_quarter)
    assert (
        sorted(delayed) == list(range(200))
        and 30 < sum(a > b for a, b in zip(delayed, delayed[1:], strict=False)) < 70
    )
    trial = spec.read(
        SMALL_WITH_PEERS
        | {
            "troubles": [
                {"kind": "datagrams-late", "at": 1, "strength": 500, "share": 0.4},
                {"kind": "datagrams-doubled", "at": 1, "strength": 0.2},
            ]
        }
    )
    assert play.run(trial, 3).verdict == "kept"


def test_cut_with_resets_lets_no_attempt_across_until_it_heals():
    cut = {"kind": "cut-reset", "at": 3, "seconds": 3, "targets": ["a"]}
    played = play.run(spec.read(SMALL | {"seconds": 9, "troubles": [cut]}), 3)
    assert played.verdict == "kept" and played.recovery.whole > 0.9
    ledger = virtual.play(read_world(SMALL | {"seconds": 9, "troubles": [cut]}), 3)
    zones = {r[2]: r[8] for r in ledger.records if r[0] == "state"}
    begin = next(r[1] for r in ledger.records if r[0] == "trouble")
    across = [r for r in ledger.records if r[0] == "sent" and r[2] % 2 != zones[r[4]]]
    during = [r for r in across if begin + 50_000 < r[1] < begin + 2_950_000]
    assert during == [] and any(r[1] > begin + 3_000_000 for r in across)


def test_twin_process_on_the_disk_of_an_agent_breaks_no_rule():
    twin = {"kind": "twin-agents", "at": 2, "seconds": 4, "targets": [1]}
    played = play.run(spec.read(SMALL | {"agents": {"count": 4, "carry_s": 60}, "troubles": [twin]}), 3)
    assert played.verdict == "kept" and played.recovery.whole > 0.95


def test_reset_behind_a_cut_discards_unsent_data():
    # Found by the campaign (seed 31, history 32): a registry that went down behind a cut delivered its
    # earlier messages once the cut healed.
    delivered, reachable = [], [False]
    loop = VirtualLoop()
    paths = SimpleNamespace(
        reaches=lambda *_: reachable[0], delay=lambda *_: 0.0, transmission_ms=lambda *_: 0.0
    )
    net = SimpleNamespace(paths=paths, loop=loop, blocked_ends={}, context=None)

    class RecordingEnd(ConnectionEnd):
        def receive(self, what):
            delivered.append(what)

    end, other = RecordingEnd(net, Machine("a", 0)), RecordingEnd(net, Machine("b", 1))
    end.remote, other.remote = other, end
    end.transmit(b"said")
    end.transmit(RST)
    reachable[0] = True
    end.flush_unsent()
    loop.run_until_complete(asyncio.sleep(0.01))
    loop.close()
    assert delivered == [RST]
