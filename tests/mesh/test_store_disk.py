"""The store's SQLite file after losses of power in the middle of a write, and on a disk that is full."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from pathlib import Path

import pytest

from lupinreach.mesh.store.disk import FILE_NAME, DiskWriteError, SqliteRecord

SECTOR = 512  # the least that a disk writes or loses as a whole
WAL = FILE_NAME + "-wal"
GARBAGE = b"\xa5" * SECTOR
COMMITS = [{"document": bytes([number]) * 9000, "sealed": number} for number in range(4)]


def opened(folder: Path) -> SqliteRecord:
    folder.mkdir(exist_ok=True)
    return SqliteRecord(str(folder))


def files_after_each_commit(folder: Path) -> list[dict[str, bytes]]:
    """What lies on the disk after each commit, the process still running."""
    record = opened(folder)
    states = []
    for values in COMMITS:
        record.save(values)
        states.append({path.name: path.read_bytes() for path in folder.iterdir()})
    return states


def damaged(before: bytes, after: bytes) -> Iterator[bytes]:
    """All that a loss of power may leave of a write: cut, one sector missing or torn, later ones without earlier."""
    start = len(before)
    sectors = range(start, len(after), SECTOR)
    for at in sectors:
        yield after[:at]
        yield after[:at] + GARBAGE + after[at + SECTOR :]
        yield after[:at] + bytes(SECTOR) + after[at + SECTOR :]
        yield after[:start] + bytes(at - start) + after[at:]


def recovered(folder: Path, files: dict[str, bytes]) -> dict[str, object]:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir()
    for name, data in files.items():
        (folder / name).write_bytes(data)
    record = opened(folder)
    values = record.load()
    record.save({"checked": 1})
    record.close()
    return values


def test_a_cut_write_is_there_or_not_at_all(tmp_path: Path) -> None:
    states = files_after_each_commit(tmp_path / "live")
    tried = 0
    for number in range(1, len(COMMITS)):
        before, after = states[number - 1], states[number]
        for wal in damaged(before[WAL], after[WAL]):
            found = recovered(tmp_path / "again", {FILE_NAME: before[FILE_NAME], WAL: wal})
            assert found in (COMMITS[number - 1], COMMITS[number])
            tried += 1
    assert tried > 200


def test_a_cut_checkpoint_loses_nothing(tmp_path: Path) -> None:
    states = files_after_each_commit(tmp_path / "live")
    record = opened(tmp_path / "whole")
    for values in COMMITS:
        record.save(values)
    record.close()  # checkpoints
    whole = (tmp_path / "whole" / FILE_NAME).read_bytes()
    held = states[-1]
    for at in range(0, len(whole), SECTOR):
        torn = whole[:at] + held[FILE_NAME][at:]
        assert recovered(tmp_path / "again", {FILE_NAME: torn, WAL: held[WAL]}) == COMMITS[-1]


def test_a_damaged_file_counts_as_a_lost_disk(tmp_path: Path) -> None:
    folder = tmp_path / "live"
    folder.mkdir()
    (folder / FILE_NAME).write_bytes(GARBAGE * 40)
    assert opened(folder).load() == {}


def test_a_full_disk_refuses_and_takes_writes_again(tmp_path: Path) -> None:
    record = opened(tmp_path / "live")
    record.save(COMMITS[0])
    pages = record._connection.execute("PRAGMA page_count").fetchone()[0]
    record._connection.execute(f"PRAGMA max_page_count={pages}")
    for _ in range(2):
        with pytest.raises(DiskWriteError):
            record.save({"document": b"x" * 90_000})
    assert record.load() == COMMITS[0]
    record._connection.execute("PRAGMA max_page_count=100000")
    record.save(COMMITS[1])
    assert record.load() == COMMITS[1]


@pytest.mark.parametrize("orders", [1_000, 10_000])
def test_the_file_does_not_grow_with_the_number_of_changes(tmp_path: Path, orders: int) -> None:
    folder = tmp_path / "live"
    record = opened(folder)
    record._connection.execute("PRAGMA synchronous=OFF")  # for the test's speed; sizes are the same
    for number in range(orders):
        record.save({"document": number.to_bytes(4, "big") * 500})
    assert sum(path.stat().st_size for path in folder.iterdir()) < 6 << 20
