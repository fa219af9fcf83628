"""An agent's disk: what a power loss leaves, every cut of the file, and fleets whose disks lie."""

import asyncio
import time
from collections import Counter
from types import SimpleNamespace

import pytest
from test_rig import SMALL as RIG
from test_trial import SMALL

from lupinreach.balance import Balancer
from lupinreach.bed.ways.disk import CARRIED, Folder, MemoryDisk
from lupinreach.bed.world.random_streams import random_stream
from lupinreach.model import BackendSnapshot, PolicySnapshot
from lupinreach.ops.carry import Carry, judged
from lupinreach.store import records
from lupinreach.store.files import Disk, replace
from lupinreach.store.store import Store
from lupinreach.trial import play, spec

POWER = {"kind": "power", "at": 6, "agents": 1, "backends": 0.8, "registry": 0.5}
DISK = {"agents": {"count": 4, "carry_s": 60}}
LEARNT = PolicySnapshot(
    (400.0,),
    False,
    ((30.0, 40.0, 20.0, 25.0),),
    (BackendSnapshot(7, 5.0, 1.0, (50.0,), 0.1), BackendSnapshot(8, 0.0, 1.0, (None,), 0.0)),
)


class Stops(MemoryDisk):
    """Loses power after so many steps of a writing."""

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


def left_by(sync):
    """What the file is after a power loss at each step of its second writing, whatever the disk does."""
    found = set()
    for steps in range(4):
        for seed in range(40):
            disk = Stops(random_stream(seed, "disk"), 9)
            assert replace(CARRIED, b"old text", sync, disk)
            disk.sync(".")
            disk._names[CARRIED].safe = len(b"old text")
            disk.steps = steps
            replace(CARRIED, b"a newer text", sync, disk)
            disk.lose_power()
            found.add(disk.copy())
    return found


def test_a_power_loss_at_any_step_leaves_the_file_of_before_or_the_new_one():
    assert left_by(sync=True) == {b"old text", b"a newer text"}
    # The carried file as it was written until now, never synced: empty or torn.
    assert b"" in left_by(sync=False) and len(left_by(sync=False)) > 3


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
def test_a_fleet_whose_disks_lie_after_a_power_loss_keeps_the_rules(kind, strength):
    fault = {"kind": kind, "at": 6.5, "seconds": 4, "share": 1.0, "strength": strength}
    one = spec.read(
        SMALL
        | DISK
        | {"faults": [POWER], "troubles": [fault] if kind != "disk-lost" else [fault | {"at": 6.0}]}
    )
    assert play.run(one, 3).verdict == play.KEPT


def test_an_agent_goes_on_with_what_its_life_before_has_synced(monkeypatch):
    recalled = []
    recall = Balancer.restore
    monkeypatch.setattr(
        Balancer, "restore", lambda self, *given: recalled.append(given[0]) or recall(self, *given)
    )
    assert play.run(spec.read(SMALL | DISK | {"faults": [POWER]}), 3).verdict == play.KEPT
    assert len(recalled) == 4 and all(learnt.backends for learnt in recalled)
    recalled.clear()
    torn = {"kind": "disk-torn", "at": 6.5, "seconds": 1, "targets": [0, 1, 2], "strength": 0.5}
    assert play.run(spec.read(SMALL | DISK | {"faults": [POWER], "troubles": [torn]}), 3).verdict == play.KEPT
    assert len(recalled) == 1


def test_a_folder_takes_the_same_faults(tmp_path):
    folder = Folder(tmp_path / "disk-1")
    path = str(folder.file)
    assert folder.copy() is None and replace(path, b"one", True) and folder.copy() == b"one"
    folder.stuck = True
    assert not replace(path, b"two", True) and Folder(tmp_path / "disk-1").stuck
    folder.stuck = False
    assert folder.copy() == b"one" and replace(path, b"two", True) and folder.copy() == b"two"
    assert [p.name for p in (tmp_path / "disk-1").iterdir()] == [CARRIED]


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
def test_processes_with_torn_and_foreign_disks_keep_the_rules(played):
    assert played.result.rules == {rule: "kept" for rule in played.result.rules}, played.result.violations[:3]


class Hangs(Disk):
    def sync(self, folder):
        time.sleep(0.4)
        super().sync(folder)


def test_an_event_loop_goes_on_while_a_disk_hangs_in_a_sync(tmp_path):
    class Agent:
        balancer, clock = SimpleNamespace(snapshot=lambda: LEARNT), SimpleNamespace(now=lambda: 1000.0)
        counters = SimpleNamespace(others=Counter())

    async def main():
        carry = Carry(Agent(), Store(str(tmp_path / CARRIED), "a", Hangs()), 1e4)
        leaves, ticks = asyncio.create_task(carry.leave()), [time.monotonic()]
        while not leaves.done():
            await asyncio.sleep(0.005)
            ticks.append(time.monotonic())
        return max(b - a for a, b in zip(ticks, ticks[1:], strict=False)), ticks[-1] - ticks[0]

    longest, took = asyncio.run(main())
    assert took >= 0.4 and longest < 0.3
    assert judged(records.read((tmp_path / CARRIED).read_bytes(), "a").state["learnt"]) == (1000.0, LEARNT)
