"""The store's durable record, in one SQLite file.

Write-ahead log with a sync at each commit (`synchronous=FULL`): a commit survives a loss of power as soon as
it returns, and costs one sync. The file is used by one process (`locking_mode=EXCLUSIVE`), which also keeps
SQLite from using shared memory.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Mapping
from typing import Any, Protocol

import msgpack

FILE_NAME = "store.sqlite3"
DAMAGED_SUFFIX = ".damaged"


class DiskWriteError(Exception):
    """The disk did not take a write; what it holds is what it held before, or the whole write."""


class Record(Protocol):
    """What a replica needs of a disk: values by key, saved together and for good before `save` returns."""

    def load(self) -> dict[str, Any]: ...

    def save(self, changes: Mapping[str, Any]) -> None:
        """Raises `DiskWriteError` where the values may not be on disk."""


class SqliteRecord:
    """A record in a folder. A damaged file counts as a lost disk: it is set aside, and the record is empty."""

    def __init__(self, folder: str) -> None:
        self._path = os.path.join(folder, FILE_NAME)
        try:
            self._connection = self._open()
        except sqlite3.DatabaseError:
            self._move_damaged_files()
            self._connection = self._open()

    def _open(self) -> sqlite3.Connection:
        connection = sqlite3.connect(f"file:{self._path}?psow=0", uri=True, isolation_level=None)
        connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=FULL")
        connection.execute("PRAGMA cache_size=-512")
        connection.execute("CREATE TABLE IF NOT EXISTS record (key TEXT PRIMARY KEY, value BLOB NOT NULL)")
        return connection

    def _move_damaged_files(self) -> None:
        for suffix in ("", "-wal", "-shm"):
            path = self._path + suffix
            if os.path.exists(path):
                os.replace(path, path + DAMAGED_SUFFIX)

    def load(self) -> dict[str, Any]:
        """All values."""
        rows = self._connection.execute("SELECT key, value FROM record").fetchall()
        return {key: msgpack.unpackb(value) for key, value in rows}

    def save(self, changes: Mapping[str, Any]) -> None:
        """Write the values in one transaction and sync it; `DiskWriteError` where that was not done."""
        connection = self._connection
        try:
            connection.execute("BEGIN IMMEDIATE")
            for key, value in changes.items():
                connection.execute(
                    "REPLACE INTO record (key, value) VALUES (?, ?)", (key, msgpack.packb(value))
                )
            connection.execute("COMMIT")
        except sqlite3.Error as failed:
            self._roll_back()
            raise DiskWriteError(str(failed)) from failed

    def _roll_back(self) -> None:
        """End a transaction that failed; SQLite may have done so by itself."""
        if not self._connection.in_transaction:
            return
        try:
            self._connection.execute("ROLLBACK")
        except sqlite3.Error:
            pass  # the next save fails on its BEGIN and is reported in its turn

    def close(self) -> None:
        self._connection.close()
