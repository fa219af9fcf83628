"""The store's SQLite file: recovery after a power loss during a write, and behavior on a full disk."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from pathlib import Path

import pytest

from lupinreach.mesh.store.disk import FILE_NAME, DiskWriteError, SqliteRecord

SECTOR = 512  # bytes that a disk writes or loses as a unit
WAL = FILE_NAME + "-wal"
GARBAGE = b"\xa5" * SECTOR
COMMITS = [{"document": bytes([number]) * 9000, "sealed": number} for number in range(4)]


def open_record(folder: Path) -> SqliteRecord:
    folder.mkdir(exist_ok=True)
    return SqliteRecord(str(folder))


def files_after_each_commit(folder: Path) -> list[dict[str, bytes]]:
    """Contents of all files after each commit, before the record is closed."""
    record = open_record(folder)
    states = []
    for values in COMMITS:
        record.save(values)
        states.append({path.name: path.read_bytes() for path in folder.iterdir()})
    return states


def damaged_writes(before: bytes, after: bytes) -> Iterator[bytes]:
    """Possible file contents after a power loss during a write.

    The write is truncated, one sector is garbage or zeros, or later sectors are written without earlier ones.
    """
    start = len(before)
    sectors = range(start, len(after), SECTOR)
    for at in sectors:
        yield after[:at]
        yield after[:at] + GARBAGE + after[at + SECTOR :]
        yield after[:at] + bytes(SECTOR) + after[at + SECTOR :]
        yield after[:start] + bytes(at - start) + after[at:]


def load_after_recovery(folder: Path, files: dict[str, bytes]) -> dict[str, object]:
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir()
    for name, data in files.items():
        (folder / name).write_bytes(data)
    record = open_record(folder)
    values = record.load()
    record.save({"checked": 1})
    record.close()
    return values


def test_interrupted_commit_is_atomic(tmp_path: Path) -> None:
    states = files_after_each_commit(tmp_path / "live")
    case_count = 0
    for number in range(1, len(COMMITS)):
        before, after = states[number - 1], states[number]
        for wal in damaged_writes(before[WAL], after[WAL]):
            found = load_after_recovery(tmp_path / "again", {FILE_NAME: before[FILE_NAME], WAL: wal})
            assert found in (COMMITS[number - 1], COMMITS[number])
            case_count += 1
    assert case_count > 200


def test_interrupted_checkpoint_loses_no_commit(tmp_path: Path) -> None:
    states = files_after_each_commit(tmp_path / "live")
    record = open_record(tmp_path / "whole")
    for values in COMMITS:
        record.save(values)
    record.close()  # checkpoints
    whole = (tmp_path / "whole" / FILE_NAME).read_bytes()
    held = states[-1]
    for at in range(0, len(whole), SECTOR):
        torn = whole[:at] + held[FILE_NAME][at:]
        assert load_after_recovery(tmp_path / "again", {FILE_NAME: torn, WAL: held[WAL]}) == COMMITS[-1]


def test_damaged_file_is_replaced_by_an_empty_record(tmp_path: Path) -> None:
    folder = tmp_path / "live"
    folder.mkdir()
    (folder / FILE_NAME).write_bytes(GARBAGE * 40)
    assert open_record(folder).load() == {}


def test_full_disk_rejects_writes_until_there_is_space(tmp_path: Path) -> None:
    record = open_record(tmp_path / "live")
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
def test_file_size_does_not_grow_with_the_number_of_commits(tmp_path: Path, orders: int) -> None:
    folder = tmp_path / "live"
    record = open_record(folder)
    record._connection.execute("PRAGMA synchronous=OFF")  # only for speed; file sizes are the same
    for number in range(orders):
        record.save({"document": number.to_bytes(4, "big") * 500})
    assert sum(path.stat().st_size for path in folder.iterdir()) < 6 << 20
