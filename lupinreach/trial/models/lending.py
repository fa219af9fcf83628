"""Model of three agents that lend each other shares of one budget, on the real `Budget`.

Time moves in steps of half a lease, up to two leases. Messages are lost, delayed and duplicated, clocks drift
by `DRIFT`, and agents restart.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Iterator
from typing import Any

from lupinreach.fleet import grants
from lupinreach.fleet.grants import DRIFT, UNLENT_SHARE, Budget

LEASE, TOTAL, AGENTS = 8.0, 3.0, 3
TOLERANCE = 1e-9  # for sums of floats
Message = tuple[
    str, int, int, int, int, float
]  # kind, sender, incarnation of the agent that asked, receiver, request number, granted amount


class AgentsState:
    """A state of the model: the budgets of three agents with drifting clocks, and all messages sent so far.

    A message can be delivered at any later time, several times or never. Up to `max_restarts` agents restart.
    """

    CLOCK_RATES = (1 + DRIFT, 1.0, 1 - DRIFT)

    def __init__(
        self, budget_class: type[Budget] = Budget, max_restarts: int = 1, max_requests: int = 2
    ) -> None:
        self.time, self.request_count = 0.0, 0
        self.incarnations = (1,) * AGENTS
        self.messages_sent: frozenset[Message] = frozenset()
        self.budgets = tuple(budget_class(0.0, TOTAL, AGENTS, LEASE, first=True) for _ in range(AGENTS))
        self.budget_class, self.max_restarts, self.max_requests = budget_class, max_restarts, max_requests

    def now(self, agent: int) -> float:
        """The time by the clock of an agent."""
        return self.time * self.CLOCK_RATES[agent]

    def copy(self) -> AgentsState:
        """A copy whose budgets can be changed."""
        successor = object.__new__(AgentsState)
        successor.__dict__.update(self.__dict__)
        successor.budgets = tuple(self._copy_budget(b) for b in self.budgets)
        return successor

    @staticmethod
    def _copy_budget(b: Budget) -> Budget:
        copied = object.__new__(type(b))
        copied.__dict__.update({k: dict(v) if isinstance(v, dict) else v for k, v in b.__dict__.items()})
        return copied

    def key(self) -> tuple[Any, ...]:
        """A hashable key, equal for equal states."""

        def as_key(table: dict[Any, Any]) -> tuple[Any, ...]:
            return tuple(
                sorted((k, v if isinstance(v, float) else (v.amount, v.until)) for k, v in table.items())
            )

        return (
            self.time,
            self.incarnations,
            self.messages_sent,
            self.request_count,
            tuple(
                (b._bound_until, as_key(b._lent), as_key(b._borrowed), as_key(b._asked)) for b in self.budgets
            ),
        )

    def actions(self) -> Iterator[tuple[str, Callable[[AgentsState], None]]]:
        """The possible actions by name; each changes a copy of this state."""
        if self.time < 2 * LEASE:
            yield "time", self._advance_time
        for agent in range(AGENTS):
            if self.request_count < self.max_requests:
                yield f"{agent} asks", lambda successor, agent=agent: successor._ask(agent)
            if (
                self.incarnations[agent] == 1
                and self.time
                and sum(self.incarnations) < AGENTS + self.max_restarts
            ):
                yield f"{agent} restarts", lambda successor, agent=agent: successor._restart(agent)
        for message in sorted(self.messages_sent):
            yield f"comes {message}", lambda successor, message=message: successor._deliver(message)

    @staticmethod
    def _advance_time(successor: AgentsState) -> None:
        successor.time += LEASE / 2

    def _ask(self, agent: int) -> None:
        to, number = (agent + 1) % AGENTS, self.request_count
        self.request_count += 1
        self.budgets[agent].ask(self.now(agent), number)
        self.messages_sent |= {("want", agent, self.incarnations[agent], to, number, 0.0)}

    def _restart(self, agent: int) -> None:
        self.incarnations = self.incarnations[:agent] + (2,) + self.incarnations[agent + 1 :]
        self.budgets = (
            self.budgets[:agent]
            + (self.budget_class(self.now(agent), TOTAL, AGENTS, LEASE),)
            + self.budgets[agent + 1 :]
        )

    def _deliver(self, message: Message) -> None:
        kind, agent, incarnation, to, number, amount = message
        receiver = self.budgets[to]
        if kind == "want":
            granted = receiver.grant(
                self.now(to), agent, incarnation, number, receiver.own, receiver.usable(self.now(to))
            )
            if granted:
                self.messages_sent |= {("grant", to, incarnation, agent, number, granted)}
        elif incarnation == self.incarnations[to]:  # requests are numbered per incarnation, see its nonce
            receiver.granted(self.now(to), number, amount)

    def wrong(self) -> str | None:
        """The violated invariant, if there is one."""
        usable = [b.usable(self.now(agent)) for agent, b in enumerate(self.budgets)]
        if sum(usable) > grants.upper_bound(TOTAL, AGENTS) + TOLERANCE:
            return f"{sum(usable):.3f} of {TOTAL}"
        if min(usable) < UNLENT_SHARE * TOTAL / AGENTS - TOLERANCE:
            return f"{min(usable):.3f} under the floor"
        return None


class LendingModel:
    """The model for the search. No agent waits for a loan, so it has invariants but no liveness property."""

    fair: frozenset[str] = frozenset()

    def __init__(
        self, budget_class: type[Budget] = Budget, max_restarts: int = 1, max_requests: int = 2
    ) -> None:
        self._initial = AgentsState(budget_class, max_restarts, max_requests)

    def first(self) -> Iterable[AgentsState]:
        return [self._initial]

    def moves(self, state: AgentsState) -> Iterator[tuple[str, AgentsState]]:
        for name, action in state.actions():
            successor = state.copy()
            action(successor)
            yield name, successor

    def key(self, state: AgentsState) -> Hashable:
        return state.key()

    def wrong(self, state: AgentsState) -> str | None:
        return state.wrong()

    def done(self, state: AgentsState) -> bool:
        return True
