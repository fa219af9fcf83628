"""Every state that a model can reach: what is wrong in one, what never comes true, and the shortest story of it. Pure.

A model says where it begins, what may happen next in a state, which states are the same (`key`, by symmetry too), what is wrong with one (an
invariant), and for liveness when it has what it waits for (`done`) and which moves happen some time if they always can (`fair`: weak fairness).
States are whatever the model likes; only keys are kept.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Protocol

MAX_STATES = 2_000_000  # states: beyond it a search is not one of all


class StateLimitExceeded(RuntimeError):
    """The model has more states than a search may keep."""


class Model(Protocol):
    fair: frozenset[str]  # moves, by name

    def first(self) -> Iterable[Any]:
        """The states to begin in."""

    def moves(self, state: Any) -> Iterator[tuple[str, Any]]:
        """What may happen next, by name, each with the state after it; the state itself stays as it is."""

    def key(self, state: Any) -> Hashable:
        """The same for states that are the same."""

    def wrong(self, state: Any) -> str | None:
        """What no state may be."""

    def done(self, state: Any) -> bool:
        """If it has what it waits for; a model that waits for nothing is always done."""


@dataclass(frozen=True)
class SearchResult:
    states: int
    moves: int
    trace: (
        tuple[str, ...] | None
    )  # the shortest to a wrong state, what is wrong last; or to where it stays for ever
    cycle: tuple[str, ...] = ()  # what happens there again and again; empty: nothing can happen

    @property
    def ok(self) -> bool:
        return self.trace is None


def search(model: Model, max_states: int = MAX_STATES) -> SearchResult:
    """All states, the shortest way first: a wrong one ends it; else liveness is looked at on all that were reached."""
    before: dict[Hashable, tuple[Hashable, str] | None] = {}
    nexts: dict[Hashable, list[tuple[str, Hashable]]] = {}
    waits: set[Hashable] = set()
    line: deque[tuple[Any, Hashable]] = deque()
    for state in model.first():
        key = model.key(state)
        if key not in before:
            before[key] = None
            line.append((state, key))
    moves = 0
    while line:
        state, key = line.popleft()
        if (wrong := model.wrong(state)) is not None:
            return SearchResult(len(before), moves, (*_story(before, key), wrong))
        if not model.done(state):
            waits.add(key)
        nexts[key] = []
        for name, after in model.moves(state):
            moves += 1
            other = model.key(after)
            nexts[key].append((name, other))
            if other not in before:
                if len(before) >= max_states:
                    raise StateLimitExceeded(f"over {max_states} states")
                before[other] = key, name
                line.append((after, other))
    stuck = _stuck(nexts, waits, model.fair)
    if stuck is None:
        return SearchResult(len(before), moves, None)
    where, cycle = stuck
    return SearchResult(len(before), moves, (*_story(before, where), "never done"), cycle)


def _story(before: dict[Hashable, tuple[Hashable, str] | None], key: Hashable) -> tuple[str, ...]:
    names = []
    while (step := before[key]) is not None:
        key, name = step
        names.append(name)
    return tuple(reversed(names))


def _stuck(
    nexts: dict[Hashable, list[tuple[str, Hashable]]], waits: set[Hashable], fair: frozenset[str]
) -> tuple[Hashable, tuple[str, ...]] | None:
    """A place where it can wait for ever though what is fair happens: a dead end, or a round in which each fair move is made or isn't always possible."""
    order = {key: i for i, key in enumerate(nexts)}
    for key in nexts:
        if key in waits and not nexts[key]:
            return key, ()
    for part in sorted(_components(nexts, waits), key=lambda part: min(order[k] for k in part)):
        inside = [(name, other) for key in part for name, other in nexts[key] if other in part]
        if not inside:
            continue
        made = {name for name, _ in inside}
        always = {name for name in fair if all(any(n == name for n, _ in nexts[key]) for key in part)}
        if always <= made:
            return min(part, key=lambda k: order[k]), tuple(sorted(made))
    return None


def _components(
    nexts: dict[Hashable, list[tuple[str, Hashable]]], waits: set[Hashable]
) -> Iterator[set[Hashable]]:
    """Strongly connected parts of the states that wait (Tarjan's, without recursion)."""
    index: dict[Hashable, int] = {}
    low: dict[Hashable, int] = {}
    stack: list[Hashable] = []
    on: set[Hashable] = set()
    for root in nexts:
        if root not in waits or root in index:
            continue
        work: list[tuple[Hashable, Iterator[Hashable]]] = []

        def enter(key: Hashable) -> None:
            index[key] = low[key] = len(index)
            stack.append(key)
            on.add(key)
            work.append((key, iter([other for _, other in nexts[key] if other in waits])))  # noqa: B023

        enter(root)
        while work:
            key, others = work[-1]
            for other in others:
                if other not in index:
                    enter(other)
                    break
                if other in on:
                    low[key] = min(low[key], index[other])
            else:
                work.pop()
                if work:
                    low[work[-1][0]] = min(low[work[-1][0]], low[key])
                if low[key] == index[key]:
                    part: set[Hashable] = set()
                    while True:
                        other = stack.pop()
                        on.discard(other)
                        part.add(other)
                        if other == key:
                            break
                    yield part
