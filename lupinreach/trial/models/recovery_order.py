"""Model of the stages of the return to service on a coarse clock, on the real `StartupSequence`.

Startup facts become true in any order and at any time, or never. Fairness is assumed for time and for the listing of
a backend: the agent must then return to full service, whatever other facts stay false.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass, replace

from lupinreach.fleet.recovery import STAGE_TABLE, Stage, StageLimits, StartupFacts, StartupSequence

STAGE_TIMES = StageLimits(read=1.0, ask=2.0, hold=3.0, cold=4.0)
MAX_STAY = 6.0  # time in a stage up to which states are distinguished; exceeds all of `STAGE_TIMES`


@dataclass(frozen=True)
class State:
    """The stage of the agent, the time spent in it, the facts, and an invariant violated by the last step."""

    stage: Stage
    time_in_stage: float
    facts: StartupFacts
    wrong: str = ""


class RecoveryOrderModel:
    """The model for the search, with the class of `StartupSequence` that it runs."""

    def __init__(
        self,
        return_class: type[StartupSequence] = StartupSequence,
        fair: frozenset[str] = frozenset({"time", "listed"}),
    ) -> None:
        self._return_class = return_class
        self.fair = fair

    def first(self) -> Iterable[State]:
        return [State(Stage.DARK, 0.0, StartupFacts())]

    def moves(self, state: State) -> Iterator[tuple[str, State]]:
        yield "time", self._after_step(state)
        facts = state.facts
        for name, new_facts in (
            ("read", replace(facts, read=True)),
            ("asked", replace(facts, asked=True)),
            ("listed", replace(facts, listed=3)),
            ("registry", replace(facts, registry=True)),
            ("answered", replace(facts, answered=True)),
            ("warm", replace(facts, cold=False)),
        ):
            if new_facts != facts:
                yield name, replace(state, facts=new_facts)

    def _after_step(self, state: State) -> State:
        """The state after a time step in which the agent evaluates the facts."""
        recovery = self._return_class(0.0, STAGE_TIMES)
        recovery.stage, recovery._since = state.stage, -state.time_in_stage
        transitions = recovery.advance(1.0, state.facts)
        wrong = ""
        if [stage for stage, _ in transitions] != list(Stage)[state.stage : recovery.stage]:
            wrong = "skips a stage, or goes back"
        elif recovery.ready != (recovery.stage >= Stage.LISTENING):
            wrong = "reports the wrong readiness for its stage"
        elif recovery.stage is state.stage is not Stage.FULL and state.time_in_stage + 1 >= getattr(
            STAGE_TIMES, STAGE_TABLE[recovery.stage].limit
        ):
            wrong = f"stays in {recovery.stage.name.lower()} too long"
        return State(
            recovery.stage,
            min(MAX_STAY, state.time_in_stage + 1) if recovery.stage is state.stage else 0.0,
            state.facts,
            wrong,
        )

    def key(self, state: State) -> Hashable:
        return state

    def wrong(self, state: State) -> str | None:
        return state.wrong or None

    def done(self, state: State) -> bool:
        return state.stage is Stage.FULL
