"""Three agents that lend each other shares of one budget, every history of it, on the real `Budget`.

Time moves by half a lease, up to two; words are lost, late and doubled, clocks run apart by `DRIFT`, agents live twice.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import Any

from lupinreach.fleet import grants
from lupinreach.fleet.grants import DRIFT, FLOOR, Budget

LEASE, TOTAL, AGENTS = 8.0, 3.0, 3
TOLERANCE = 1e-9
Word = tuple[
    str, int, int, int, int, float
]  # kind, whose question, of which life, to whom, its number, what is granted


class Fleet:
    """Three agents on the real budgets, so many of which live twice, clocks that run apart, and every word that was ever said, to come at any time or never."""

    RATES = (1 + DRIFT, 1.0, 1 - DRIFT)

    def __init__(self, of: type[Budget] = Budget, restarts: int = 1, questions: int = 2) -> None:
        self.t, self.asked = 0.0, 0
        self.lives = (1,) * AGENTS
        self.said: frozenset[Word] = frozenset()
        self.budgets = tuple(of(0.0, TOTAL, AGENTS, LEASE, first=True) for _ in range(AGENTS))
        self.of, self.restarts, self.questions = of, restarts, questions

    def now(self, n: int) -> float:
        return self.t * self.RATES[n]

    def copy(self) -> Fleet:
        twin = object.__new__(Fleet)
        twin.__dict__.update(self.__dict__)
        twin.budgets = tuple(self._copied(b) for b in self.budgets)
        return twin

    @staticmethod
    def _copied(b: Budget) -> Budget:
        twin = object.__new__(type(b))
        twin.__dict__.update({k: dict(v) if isinstance(v, dict) else v for k, v in b.__dict__.items()})
        return twin

    def key(self) -> tuple[Any, ...]:
        def plain(table: dict[Any, Any]) -> tuple[Any, ...]:
            return tuple(
                sorted((k, v if isinstance(v, float) else (v.amount, v.until)) for k, v in table.items())
            )

        return (
            self.t,
            self.lives,
            self.said,
            self.asked,
            tuple(
                (b._bound_until, plain(b._lent), plain(b._borrowed), plain(b._asked)) for b in self.budgets
            ),
        )

    def next(self) -> Iterator[tuple[str, Callable[[Fleet], None]]]:
        """All that may happen next, each with its name."""
        if self.t < 2 * LEASE:
            yield "time", self._later
        for n in range(AGENTS):
            if self.asked < self.questions:
                yield f"{n} asks", lambda twin, n=n: twin._ask(n)
            if self.lives[n] == 1 and self.t and sum(self.lives) < AGENTS + self.restarts:
                yield f"{n} restarts", lambda twin, n=n: twin._restart(n)
        for word in sorted(self.said):
            yield f"comes {word}", lambda twin, word=word: twin._come(word)

    @staticmethod
    def _later(twin: Fleet) -> None:
        twin.t += LEASE / 2

    def _ask(self, n: int) -> None:
        to, number = (n + 1) % AGENTS, self.asked
        self.asked += 1
        self.budgets[n].ask(self.now(n), number)
        self.said |= {("want", n, self.lives[n], to, number, 0.0)}

    def _restart(self, n: int) -> None:
        self.lives = self.lives[:n] + (2,) + self.lives[n + 1 :]
        self.budgets = (
            self.budgets[:n] + (self.of(self.now(n), TOTAL, AGENTS, LEASE),) + self.budgets[n + 1 :]
        )

    def _come(self, word: Word) -> None:
        kind, n, life, to, number, amount = word
        mine = self.budgets[to]
        if kind == "want":
            got = mine.grant(self.now(to), n, life, number, mine.own, mine.usable(self.now(to)))
            if got:
                self.said |= {("grant", to, life, n, number, got)}
        elif life == self.lives[to]:  # numbers are of one life; its nonce tells
            mine.granted(self.now(to), number, amount)

    def wrong(self) -> str | None:
        """What no history may lead to."""
        uses = [b.usable(self.now(n)) for n, b in enumerate(self.budgets)]
        if sum(uses) > grants.most(TOTAL, AGENTS) + TOLERANCE:
            return f"{sum(uses):.3f} of {TOTAL}"
        if min(uses) < FLOOR * TOTAL / AGENTS - TOLERANCE:
            return f"{min(uses):.3f} under the floor"
        return None


class LendingModel:
    """The model: nothing that is lent is waited for, so it has invariants alone."""

    fair: frozenset[str] = frozenset()

    def __init__(self, of: type[Budget] = Budget, restarts: int = 1, questions: int = 2) -> None:
        self._first = Fleet(of, restarts, questions)

    def first(self) -> Iterable[Fleet]:
        return [self._first]

    def moves(self, state: Fleet) -> Iterator[tuple[str, Fleet]]:
        for name, move in state.next():
            twin = state.copy()
            move(twin)
            yield name, twin

    def key(self, state: Fleet) -> Hashable:
        return state.key()

    def wrong(self, state: Fleet) -> str | None:
        return state.wrong()

    def done(self, state: Fleet) -> bool:
        return True
