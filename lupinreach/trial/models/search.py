"""Explicit-state model checking: checks invariants and liveness over all reachable states. Pure.

A model defines its initial states, the moves of a state, which states are equal (`key`, which may also merge
symmetric states), the invariant that a state violates, and for liveness when a state has reached its goal
(`done`) and which moves are weakly fair (`fair`): a fair move that stays enabled is made eventually. States
can be any objects; only their keys are stored. A counterexample of an invariant is a shortest one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Protocol

MAX_STATES = 2_000_000  # limit of a search


class StateLimitExceeded(RuntimeError):
    """The model has more states than the limit of the search."""


class Model(Protocol):
    """What a model must define to be searched."""

    fair: frozenset[str]  # names of the weakly fair moves

    def first(self) -> Iterable[Any]:
        """The initial states."""

    def moves(self, state: Any) -> Iterator[tuple[str, Any]]:
        """The possible moves by name, each with its resulting state; the given state is not changed."""

    def key(self, state: Any) -> Hashable:
        """A key that is equal for equal states."""

    def wrong(self, state: Any) -> str | None:
        """The invariant that the state violates, if any."""

    def done(self, state: Any) -> bool:
        """Whether the state has reached its goal; always true for a model without a liveness property."""


@dataclass(frozen=True)
class SearchResult:
    """The size of the searched state space, and a counterexample if one was found."""

    states: int
    moves: int
    trace: (
        tuple[str, ...] | None
    )  # shortest counterexample: moves and the violation, or moves to a livelock; None if the model is correct
    cycle: tuple[str, ...] = ()  # moves of the livelock; empty for a deadlock

    @property
    def ok(self) -> bool:
        """Whether no counterexample was found."""
        return self.trace is None


def search(model: Model, max_states: int = MAX_STATES) -> SearchResult:
    """Searches all states breadth-first. A violated invariant ends it; otherwise liveness is checked on all states."""
    predecessors: dict[Hashable, tuple[Hashable, str] | None] = {}
    successors: dict[Hashable, list[tuple[str, Hashable]]] = {}
    not_done: set[Hashable] = set()
    queue: deque[tuple[Any, Hashable]] = deque()
    for state in model.first():
        key = model.key(state)
        if key not in predecessors:
            predecessors[key] = None
            queue.append((state, key))
    moves = 0
    while queue:
        state, key = queue.popleft()
        if (wrong := model.wrong(state)) is not None:
            return SearchResult(len(predecessors), moves, (*_trace_to(predecessors, key), wrong))
        if not model.done(state):
            not_done.add(key)
        successors[key] = []
        for name, next_state in model.moves(state):
            moves += 1
            next_key = model.key(next_state)
            successors[key].append((name, next_key))
            if next_key not in predecessors:
                if len(predecessors) >= max_states:
                    raise StateLimitExceeded(f"over {max_states} states")
                predecessors[next_key] = key, name
                queue.append((next_state, next_key))
    livelock = _find_livelock(successors, not_done, model.fair)
    if livelock is None:
        return SearchResult(len(predecessors), moves, None)
    livelock_key, cycle = livelock
    return SearchResult(
        len(predecessors), moves, (*_trace_to(predecessors, livelock_key), "never done"), cycle
    )


def _trace_to(predecessors: dict[Hashable, tuple[Hashable, str] | None], key: Hashable) -> tuple[str, ...]:
    names = []
    while (predecessor := predecessors[key]) is not None:
        key, name = predecessor
        names.append(name)
    return tuple(reversed(names))


def _find_livelock(
    successors: dict[Hashable, list[tuple[str, Hashable]]], not_done: set[Hashable], fair: frozenset[str]
) -> tuple[Hashable, tuple[str, ...]] | None:
    """Finds a state in which the goal may never be reached: a deadlock, or a fair cycle, with its moves.

    A cycle is fair if each fair move is made in it or is not always enabled.
    """
    order = {key: i for i, key in enumerate(successors)}
    for key in successors:
        if key in not_done and not successors[key]:
            return key, ()
    for component in sorted(
        _components(successors, not_done), key=lambda component: min(order[k] for k in component)
    ):
        inside = [
            (name, next_key)
            for key in component
            for name, next_key in successors[key]
            if next_key in component
        ]
        if not inside:
            continue
        moves_made = {name for name, _ in inside}
        always_enabled = {
            name for name in fair if all(any(n == name for n, _ in successors[key]) for key in component)
        }
        if always_enabled <= moves_made:
            return min(component, key=lambda k: order[k]), tuple(sorted(moves_made))
    return None


def _components(
    successors: dict[Hashable, list[tuple[str, Hashable]]], not_done: set[Hashable]
) -> Iterator[set[Hashable]]:
    """Strongly connected components of the states that are not done, by Tarjan's algorithm without recursion."""
    index: dict[Hashable, int] = {}
    low: dict[Hashable, int] = {}
    stack: list[Hashable] = []
    on_stack: set[Hashable] = set()
    for root in successors:
        if root not in not_done or root in index:
            continue
        visits: list[tuple[Hashable, Iterator[Hashable]]] = []

        def enter(key: Hashable) -> None:
            index[key] = low[key] = len(index)
            stack.append(key)
            on_stack.add(key)
            visits.append((key, iter([next_key for _, next_key in successors[key] if next_key in not_done])))  # noqa: B023

        enter(root)
        while visits:
            key, next_keys = visits[-1]
            for next_key in next_keys:
                if next_key not in index:
                    enter(next_key)
                    break
                if next_key in on_stack:
                    low[key] = min(low[key], index[next_key])
            else:
                visits.pop()
                if visits:
                    low[visits[-1][0]] = min(low[visits[-1][0]], low[key])
                if low[key] == index[key]:
                    component: set[Hashable] = set()
                    while True:
                        next_key = stack.pop()
                        on_stack.discard(next_key)
                        component.add(next_key)
                        if next_key == key:
                            break
                    yield component
