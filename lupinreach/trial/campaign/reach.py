"""What a history reached, as words: by them what is drawn next goes to where little was. Pure.

Stages of the return, kinds of silence and of self-doubt, what agents said of their stores and their fleet, pairs of faults that were there at one
time, answers and ends of shots by kind, rules broken and bounds passed.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import combinations

from lupinreach.bed.world.ledger import Record
from lupinreach.bed.world.spec import World
from lupinreach.trial.play import Played

FEW, MANY = 3, 30  # of what is counted: once, a few times, many, more


def words(world: World, records: Iterable[Record], played: Played, passed: Iterable[str]) -> frozenset[str]:
    found = {f"broken: {b.name}" for b in played.result.violations} | {f"passed: {name}" for name in passed}
    counted: dict[str, int] = {}
    for r in records:
        if r[0] == "said":
            event, fields = r[3], r[4]
            if event == "returned":
                counted[f"stage: {fields['stage']} to {fields['to']}"] = (
                    counted.get(f"stage: {fields['stage']} to {fields['to']}", 0) + 1
                )
            elif event == "shared":
                found.add(f"silence: {fields['stage']}")
            elif event == "fleet":
                found.add(f"self: {fields['own']}{', superseded' if fields['superseded'] else ''}")
            else:
                found.add(f"said: {event}")
        elif r[0] == "got":
            counted[f"status: {r[3]}"] = counted.get(f"status: {r[3]}", 0) + 1
        elif r[0] in ("lost", "left", "away", "failed", "fell", "fault"):
            counted[f"{r[0]}"] = counted.get(r[0], 0) + 1
    found.update(f"{what}: {_how_many(times)}" for what, times in counted.items())
    spans = [(t.kind, t.at, t.at + t.length) for t in world.troubles]
    for (one, begin, end), (other, begins, ends) in combinations(sorted(spans), 2):
        if begin < ends and begins < end:
            found.add(f"pair: {one} + {other}")
    recovery = played.recovery
    found.add(
        f"back: {'never' if recovery.back_after == float('inf') else 'soon' if recovery.back_after < 2000 else 'late'}"
    )
    found.add(f"first 10 s: {int(5 * recovery.first_10s)}/5")
    found.add(f"cold load: {int(4 * recovery.cold_load)}/4")
    if recovery.to_draining:
        found.add("to draining")
    return frozenset(found)


def _how_many(times: int) -> str:
    return "once" if times == 1 else "few" if times <= FEW else "many" if times <= MANY else "more"
