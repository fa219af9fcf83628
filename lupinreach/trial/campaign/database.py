"""The database file of a campaign: every history that was run, the features it covered and its result.

It is an SQLite file with one fully synced transaction per history. A campaign that is killed at any point of a write
loses only the histories that were running, and resumes from there.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FORMAT_VERSION = 1
SCHEMA = """
create table if not exists campaign (form integer not null, seed integer not null);
create table if not exists histories (
    number integer not null, mode text not null, parent integer, raw text not null, verdict text not null, unsure text not null,
    broken text not null, passed text not null, figures text not null, reached text not null, took real not null,
    primary key (number, mode)) without rowid;
create table if not exists kept (
    number integer primary key, why text not null, what text not null, file text not null) without rowid;
"""


class InvalidDatabase(Exception):
    """The file is not a database of this campaign; the message gives the reason."""


@dataclass(frozen=True)
class History:
    """One run of a generated trial and its result."""

    number: int
    mode: str  # virtual or processes
    parent: int | None  # the number of the history it is a mutation of
    raw: dict[str, Any]
    verdict: str
    unsure: str
    broken: tuple[str, ...]  # names of the violated rules
    exceeded: tuple[str, ...]  # names of the exceeded bounds
    figures: dict[str, Any]
    features: frozenset[str]  # features, as `coverage` names them
    cpu_s: float  # CPU time of the run


class CampaignDatabase:
    """The database of one campaign. It grows with each history that is run."""

    def __init__(self, path: Path, seed: int) -> None:
        """Creates or resumes it; raises InvalidDatabase for a database with another seed or format version."""
        try:
            self._connection = sqlite3.connect(path, isolation_level=None)
            self._connection.execute("pragma journal_mode = wal")
            self._connection.execute("pragma synchronous = full")
            self._connection.executescript(SCHEMA)
            rows = self._connection.execute("select form, seed from campaign").fetchall()
        except sqlite3.Error as error:
            raise InvalidDatabase(f"{path}: {error}") from None
        if not rows:
            self._connection.execute("insert into campaign values (?, ?)", (FORMAT_VERSION, seed))
        elif rows != [(FORMAT_VERSION, seed)]:
            raise InvalidDatabase(
                f"{path}: has format {rows[0][0]} and seed {rows[0][1]}, expected {FORMAT_VERSION} and {seed}"
            )

    def add(self, history: History) -> None:
        """Stores a history, or replaces the one with the same number and mode."""
        self._connection.execute(
            "insert or replace into histories values (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                history.number,
                history.mode,
                history.parent,
                json.dumps(history.raw),
                history.verdict,
                history.unsure,
                json.dumps(history.broken),
                json.dumps(history.exceeded),
                json.dumps(history.figures),
                json.dumps(sorted(history.features)),
                history.cpu_s,
            ),
        )

    def add_minimized(self, number: int, why: str, what: str, file: str) -> None:
        """Stores that a history was minimized: why, a summary of what is left, and the name of its file."""
        self._connection.execute("insert or replace into kept values (?, ?, ?, ?)", (number, why, what, file))

    def completed_numbers(self, mode: str) -> set[int]:
        """The numbers of the histories that were run in a mode."""
        return {
            n for (n,) in self._connection.execute("select number from histories where mode = ?", (mode,))
        }

    def histories(self, mode: str | None = None) -> Iterator[History]:
        """The stored histories, ordered by number."""
        where, parameters = ("where mode = ?", (mode,)) if mode else ("", ())
        for row in self._connection.execute(
            f"select * from histories {where} order by number, mode", parameters
        ):
            number, row_mode, parent, raw, verdict, unsure, broken, exceeded, figures, features, cpu_s = row
            yield History(
                number,
                row_mode,
                parent,
                json.loads(raw),
                verdict,
                unsure,
                tuple(json.loads(broken)),
                tuple(json.loads(exceeded)),
                json.loads(figures),
                frozenset(json.loads(features)),
                cpu_s,
            )

    def minimized(self) -> list[tuple[int, str, str, str]]:
        """The minimized histories: number, reason, summary and file name."""
        return self._connection.execute("select * from kept order by number").fetchall()

    def close(self) -> None:
        """Closes the file."""
        self._connection.close()
