"""Durable key-value record of a store, in one SQLite file.

The write-ahead log is synced at each commit (`synchronous=FULL`): a commit survives a power loss as soon as
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
    """A write to disk failed; the disk holds either the state before the write or the complete write."""


class Record(Protocol):
    """Storage interface of a replica: a key-value map whose `save` is atomic and durable when it returns."""

    def load(self) -> dict[str, Any]:
        """Return all stored values by key."""
        ...

    def save(self, changes: Mapping[str, Any]) -> None:
        """Store the values; raises `DiskWriteError` if they may not be on disk."""


class SqliteRecord:
    """A record in a directory. A damaged file is treated as a lost disk: it is renamed, and the record is empty."""

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
        """Return all stored values by key."""
        rows = self._connection.execute("SELECT key, value FROM record").fetchall()
        return {key: msgpack.unpackb(value) for key, value in rows}

    def save(self, changes: Mapping[str, Any]) -> None:
        """Write the values in one synced transaction; raises `DiskWriteError` if it fails."""
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
        """Roll back a failed transaction, unless SQLite has already done so."""
        if not self._connection.in_transaction:
            return
        try:
            self._connection.execute("ROLLBACK")
        except sqlite3.Error:
            pass  # the next save fails at BEGIN and reports the error

    def close(self) -> None:
        """Close the database file."""
        self._connection.close()
