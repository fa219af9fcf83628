"""The campaign's one durable file: every history that was played, what it reached and what came of it.

SQLite, one transaction a history with full sync, so that a campaign that is killed at any point of a write has all but what was in play, and
goes on from there.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FORM = 1
TABLES = """
create table if not exists campaign (form integer not null, seed integer not null);
create table if not exists histories (
    number integer not null, mode text not null, parent integer, raw text not null, verdict text not null, unsure text not null,
    broken text not null, passed text not null, figures text not null, reached text not null, took real not null,
    primary key (number, mode)) without rowid;
create table if not exists kept (
    number integer primary key, why text not null, what text not null, file text not null) without rowid;
"""


class NoBook(Exception):
    """Not a file of a campaign; the text says why."""


@dataclass(frozen=True)
class History:
    number: int
    mode: str  # virtual or processes
    parent: int | None  # that it was drawn near to
    raw: dict[str, Any]
    verdict: str
    unsure: str
    broken: tuple[str, ...]  # rules, by the breach's name
    passed: tuple[str, ...]  # bounds
    figures: dict[str, Any]
    reached: frozenset[str]
    took: float  # s of CPU


class Book:
    """One campaign's file. Grows with what is played."""

    def __init__(self, path: Path, seed: int) -> None:
        """Begin it, or go on with it; a book of another seed or form raises NoBook."""
        try:
            self._at = sqlite3.connect(path, isolation_level=None)
            self._at.execute("pragma journal_mode = wal")
            self._at.execute("pragma synchronous = full")
            self._at.executescript(TABLES)
            rows = self._at.execute("select form, seed from campaign").fetchall()
        except sqlite3.Error as bad:
            raise NoBook(f"{path}: {bad}") from None
        if not rows:
            self._at.execute("insert into campaign values (?, ?)", (FORM, seed))
        elif rows != [(FORM, seed)]:
            raise NoBook(f"{path}: of form {rows[0][0]} and seed {rows[0][1]}, not {FORM} and {seed}")

    def add(self, h: History) -> None:
        self._at.execute(
            "insert or replace into histories values (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                h.number,
                h.mode,
                h.parent,
                json.dumps(h.raw),
                h.verdict,
                h.unsure,
                json.dumps(h.broken),
                json.dumps(h.passed),
                json.dumps(h.figures),
                json.dumps(sorted(h.reached)),
                h.took,
            ),
        )

    def keep(self, number: int, why: str, what: str, file: str) -> None:
        """A history that was shrunk: why it was, what its file is called and shows."""
        self._at.execute("insert or replace into kept values (?, ?, ?, ?)", (number, why, what, file))

    def numbers(self, mode: str) -> set[int]:
        return {n for (n,) in self._at.execute("select number from histories where mode = ?", (mode,))}

    def histories(self, mode: str | None = None) -> Iterator[History]:
        """In the order of their numbers."""
        where, given = ("where mode = ?", (mode,)) if mode else ("", ())
        for row in self._at.execute(f"select * from histories {where} order by number, mode", given):
            number, mode_, parent, raw, verdict, unsure, broken, passed, figures, reached, took = row
            yield History(
                number,
                mode_,
                parent,
                json.loads(raw),
                verdict,
                unsure,
                tuple(json.loads(broken)),
                tuple(json.loads(passed)),
                json.loads(figures),
                frozenset(json.loads(reached)),
                took,
            )

    def kept(self) -> list[tuple[int, str, str, str]]:
        return self._at.execute("select * from kept order by number").fetchall()

    def close(self) -> None:
        self._at.close()
