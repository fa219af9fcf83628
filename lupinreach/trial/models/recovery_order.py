"""The order of return on a coarse clock: every history of facts, on the real `Return`.

Facts become true in any order and at any time, or never; once between two of them the agent looks. Time is fair, and that a backend is
listed: then service is there in the end, whatever else stays away.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass, replace

from lupinreach.fleet.recovery import TABLE, Facts, Return, Stage, Stays

STAGE_TIMES = Stays(read=1.0, ask=2.0, hold=3.0, cold=4.0)
LONGEST = 6.0  # units of time in one stage that are told apart: past all of `STAYS`


@dataclass(frozen=True)
class State:
    stage: Stage
    stayed: float
    facts: Facts
    wrong: str = ""


class RecoveryOrderModel:
    """The model, with the `Return` that it is played on."""

    def __init__(
        self, of: type[Return] = Return, fair: frozenset[str] = frozenset({"time", "listed"})
    ) -> None:
        self._of = of
        self.fair = fair

    def first(self) -> Iterable[State]:
        return [State(Stage.DARK, 0.0, Facts())]

    def moves(self, state: State) -> Iterator[tuple[str, State]]:
        yield "time", self._looked(state)
        facts = state.facts
        for name, after in (
            ("read", replace(facts, read=True)),
            ("asked", replace(facts, asked=True)),
            ("listed", replace(facts, listed=3)),
            ("registry", replace(facts, registry=True)),
            ("answered", replace(facts, answered=True)),
            ("warm", replace(facts, cold=False)),
        ):
            if after != facts:
                yield name, replace(state, facts=after)

    def _looked(self, state: State) -> State:
        one = self._of(0.0, STAGE_TIMES)
        one.stage, one._since = state.stage, -state.stayed
        passed = one.look(1.0, state.facts)
        wrong = ""
        if [stage for stage, _ in passed] != list(Stage)[state.stage : one.stage]:
            wrong = "skips a stage, or goes back"
        elif one.ready != (one.stage >= Stage.LISTENING):
            wrong = "says ready, or not, at the wrong stage"
        elif one.stage is state.stage is not Stage.FULL and state.stayed + 1 >= getattr(
            STAGE_TIMES, TABLE[one.stage].longest
        ):
            wrong = f"stays in {one.stage.name.lower()} too long"
        return State(
            one.stage, min(LONGEST, state.stayed + 1) if one.stage is state.stage else 0.0, state.facts, wrong
        )

    def key(self, state: State) -> Hashable:
        return state

    def wrong(self, state: State) -> str | None:
        return state.wrong or None

    def done(self, state: State) -> bool:
        return state.stage is Stage.FULL
