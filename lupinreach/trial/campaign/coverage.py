"""The features that a history covered, as text; the campaign mutates histories with rare features. Pure.

Features are stages of the return to service, the status of sharing with other agents and of the agent itself,
log events of agents about their store and fleet, pairs of faults that overlapped in time, answers and ends of
attempts by kind, violated rules and exceeded bounds.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import combinations

from lupinreach.bed.world.ledger import Record
from lupinreach.bed.world.spec import World
from lupinreach.trial.play import TrialRun

FEW_COUNT, MANY_COUNT = 3, 30  # events are classed as once, few or many up to these counts, and more


def features(
    world: World, records: Iterable[Record], played: TrialRun, exceeded: Iterable[str]
) -> frozenset[str]:
    """The features of one run."""
    features_found = {f"broken: {b.name}" for b in played.result.violations} | {
        f"passed: {name}" for name in exceeded
    }
    counts: dict[str, int] = {}
    for record in records:
        if record[0] == "said":
            event, fields = record[3], record[4]
            if event == "returned":
                counts[f"stage: {fields['stage']} to {fields['to']}"] = (
                    counts.get(f"stage: {fields['stage']} to {fields['to']}", 0) + 1
                )
            elif event == "shared":
                features_found.add(f"silence: {fields['stage']}")
            elif event == "fleet":
                features_found.add(f"self: {fields['own']}{', superseded' if fields['superseded'] else ''}")
            else:
                features_found.add(f"said: {event}")
        elif record[0] == "got":
            counts[f"status: {record[3]}"] = counts.get(f"status: {record[3]}", 0) + 1
        elif record[0] in ("lost", "left", "away", "failed", "fell", "fault"):
            counts[f"{record[0]}"] = counts.get(record[0], 0) + 1
    features_found.update(f"{event_name}: {_count_class(count)}" for event_name, count in counts.items())
    spans = [(t.kind, t.at, t.at + t.length) for t in world.troubles]
    for (kind, begin, end), (other_kind, other_begin, other_end) in combinations(sorted(spans), 2):
        if begin < other_end and other_begin < end:
            features_found.add(f"pair: {kind} + {other_kind}")
    recovery = played.recovery
    features_found.add(
        f"back: {'never' if recovery.back_after == float('inf') else 'soon' if recovery.back_after < 2000 else 'late'}"
    )
    features_found.add(f"first 10 s: {int(5 * recovery.first_10s)}/5")
    features_found.add(f"cold load: {int(4 * recovery.cold_load)}/4")
    if recovery.to_draining:
        features_found.add("to draining")
    return frozenset(features_found)


def _count_class(count: int) -> str:
    return (
        "once" if count == 1 else "few" if count <= FEW_COUNT else "many" if count <= MANY_COUNT else "more"
    )
