"""An agent's data directory: contents after a power loss, torn, lost and foreign files, and disks that hang."""

import asyncio
import time
from collections import Counter
from types import SimpleNamespace

import pytest
from test_rig import SMALL as RIG
from test_trial import SMALL

from lupinreach.balance import Balancer
from lupinreach.bed.ways.disk import STATE_FILE, Folder, MemoryDisk
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.model import BackendSnapshot, PolicySnapshot
from lupinreach.ops.snapshot import SnapshotStore, parse_snapshot
from lupinreach.store import records
from lupinreach.store.files import Disk, replace
from lupinreach.store.store import Store
from lupinreach.trial import play, spec

POWER = {"kind": "power", "at": 6, "agents": 1, "backends": 0.8, "registry": 0.5}
CARRY = {"agents": {"count": 4, "carry_s": 60}}
SNAPSHOT = PolicySnapshot(
    (400.0,),
    False,
    ((30.0, 40.0, 20.0, 25.0),),
    (BackendSnapshot(7, 5.0, 1.0, (50.0,), 0.1), BackendSnapshot(8, 0.0, 1.0, (None,), 0.0)),
)


class PowerLossDisk(MemoryDisk):
    """Fails after the given number of steps of a write, as if power were lost."""

    def __init__(self, chance, steps):
        super().__init__(chance)
        self.steps = steps

    def _step(self):
        self.steps -= 1
        if self.steps < 0:
            raise OSError("no power")

    def write(self, folder, text, sync):
        self._step()
        return super().write(folder, text, sync)

    def append(self, path, text, sync):
        self._step()
        super().append(path, text, sync and self.steps >= 1)  # the sync is a step of its own
        self._step()

    def rename(self, fresh, path):
        self._step()
        super().rename(fresh, path)

    def sync(self, folder):
        self._step()
        super().sync(folder)


def contents_after_power_loss(sync):
    """All contents of the file that a power loss at any step of its second write leaves, over 40 seeds a step."""
    found = set()
    for steps in range(4):
        for seed in range(40):
            disk = PowerLossDisk(random_stream(seed, "disk"), 9)
            assert replace(STATE_FILE, b"old text", sync, disk)
            disk.sync(".")
            disk._names[STATE_FILE].synced_bytes = len(b"old text")
            disk.steps = steps
            replace(STATE_FILE, b"a newer text", sync, disk)
            disk.lose_power()
            found.add(disk.copy())
    return found


def test_a_power_loss_during_a_synced_write_leaves_the_old_or_the_new_file():
    assert contents_after_power_loss(sync=True) == {b"old text", b"a newer text"}
    # Without syncs, as the file was written before, it can be empty or torn.
    assert b"" in contents_after_power_loss(sync=False) and len(contents_after_power_loss(sync=False)) > 3


@pytest.mark.parametrize(
    "kind, strength",
    [
        ("disk-torn", 0.0),
        ("disk-torn", 0.6),
        ("disk-lost", 0.0),
        ("disk-older", 3.0),
        ("disk-other", 0.0),
        ("disk-stuck", 0.0),
    ],
)
def test_a_fleet_with_disk_faults_after_a_power_loss_keeps_the_rules(kind, strength):
    fault = {"kind": kind, "at": 6.5, "seconds": 4, "share": 1.0, "strength": strength}
    one = spec.read(
        SMALL
        | CARRY
        | {"faults": [POWER], "troubles": [fault] if kind != "disk-lost" else [fault | {"at": 6.0}]}
    )
    assert play.run(one, 3).verdict == play.KEPT


def test_an_agent_restores_the_state_that_its_previous_incarnation_synced(monkeypatch):
    restored = []
    restore = Balancer.restore
    monkeypatch.setattr(
        Balancer, "restore", lambda self, *given: restored.append(given[0]) or restore(self, *given)
    )
    assert play.run(spec.read(SMALL | CARRY | {"faults": [POWER]}), 3).verdict == play.KEPT
    assert len(restored) == 4 and all(snapshot.backends for snapshot in restored)
    restored.clear()
    torn = {"kind": "disk-torn", "at": 6.5, "seconds": 1, "targets": [0, 1, 2], "strength": 0.5}
    assert (
        play.run(spec.read(SMALL | CARRY | {"faults": [POWER], "troubles": [torn]}), 3).verdict == play.KEPT
    )
    assert len(restored) == 1


def test_faults_are_injected_into_a_real_folder(tmp_path):
    folder = Folder(tmp_path / "disk-1")
    path = str(folder.file)
    assert folder.copy() is None and replace(path, b"one", True) and folder.copy() == b"one"
    folder.writes_fail = True
    assert not replace(path, b"two", True) and Folder(tmp_path / "disk-1").writes_fail
    folder.writes_fail = False
    assert folder.copy() == b"one" and replace(path, b"two", True) and folder.copy() == b"two"
    assert [p.name for p in (tmp_path / "disk-1").iterdir()] == [STATE_FILE]


@pytest.mark.rig(
    RIG
    | {
        "seconds": 8,
        "agents": {"count": 3, "carry_s": 60},
        "faults": [{"kind": "power", "at": 5.5, "agents": 0.6, "backends": 1.0, "registry": 0.3}],
        "troubles": [
            {"kind": "disk-torn", "at": 5.8, "seconds": 1, "targets": [0], "strength": 0.5},
            {"kind": "disk-other", "at": 5.8, "seconds": 1, "targets": [1]},
        ],
    }
)
def test_processes_with_torn_and_foreign_state_files_keep_the_rules(played):
    assert played.result.rules == {rule: "kept" for rule in played.result.rules}, played.result.violations[:3]


class SlowSyncDisk(Disk):
    def sync(self, folder):
        time.sleep(0.4)
        super().sync(folder)


def test_a_hanging_sync_does_not_block_the_event_loop(tmp_path):
    class Agent:
        balancer, clock = SimpleNamespace(snapshot=lambda: SNAPSHOT), SimpleNamespace(now=lambda: 1000.0)
        counters = SimpleNamespace(others=Counter())

    async def main():
        carry = SnapshotStore(Agent(), Store(str(tmp_path / STATE_FILE), "a", SlowSyncDisk()), 1e4)
        leaving, ticks = asyncio.create_task(carry.save()), [time.monotonic()]
        while not leaving.done():
            await asyncio.sleep(0.005)
            ticks.append(time.monotonic())
        return max(b - a for a, b in zip(ticks, ticks[1:], strict=False)), ticks[-1] - ticks[0]

    longest, took = asyncio.run(main())
    assert took >= 0.4 and longest < 0.3
    assert parse_snapshot(records.decode_file((tmp_path / STATE_FILE).read_bytes(), "a").state["learnt"]) == (
        1000.0,
        SNAPSHOT,
    )
