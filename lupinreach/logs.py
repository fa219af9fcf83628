"""Aggregates the JSON logs of a fleet of agents."""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

# Groups of counters that only grow.
COUNTER_GROUPS = (
    "taken",
    "answered",
    "shots",
    "connections",
    "directory",
    "others",
    "module",
)
BURST_WINDOW_MS = 100.0  # window of the burst statistics
POOL_CHANGE = re.compile(r"backend \d+ (ejected|restored) ")
MAX_LINE_BYTES = 1 << 16


@dataclass
class AgentRun:
    """One run of an agent from its start, with the last counters that it logged."""

    agent: str
    started_at: float | None  # Unix ms; None: the start is not in the logs
    counts: dict[str, Any] = field(default_factory=dict)
    stopped: bool = False  # it logged its stop; otherwise it was killed or the log ends earlier


@dataclass
class Fleet:
    """The content of the logs: the runs of all agents, and all events but the counters."""

    runs: list[AgentRun] = field(default_factory=list)
    events: list[tuple[float, str, str]] = field(
        default_factory=list
    )  # (Unix ms, event, agent), in order of time
    invalid_lines: int = 0  # lines that are no event


def read(files: Iterable[Iterable[bytes]]) -> Fleet:
    """Read the lines of any number of files, in any order, each with one or several agents.

    A log collector's prefix before the JSON of a line is ignored. Lines that are no event are counted and
    skipped.
    """
    fleet, found = Fleet(), []
    for lines in files:
        for line in lines:
            event = _event(line)
            if event is not None:
                found.append(event)
            elif line.strip():
                fleet.invalid_lines += 1
    found.sort(key=lambda event: event["at"])
    current: dict[str, AgentRun] = {}
    for event in found:
        agent, what = event["agent"], event["event"]
        if what == "started" or agent not in current:
            current[agent] = AgentRun(agent, event["at"] if what == "started" else None)
            fleet.runs.append(current[agent])
        run = current[agent]
        if what in ("counters", "stopped"):
            run.counts, run.stopped = event, what == "stopped"
        if what != "counters":
            fleet.events.append((event["at"], _name(event), agent))
    return fleet


def _event(line: bytes) -> dict[str, Any] | None:
    begin = line.find(b"{")
    if begin < 0 or len(line) > MAX_LINE_BYTES:
        return None
    try:
        event = orjson.loads(line[begin:])
    except orjson.JSONDecodeError:
        return None
    at = event.get("at") if isinstance(event, dict) else None
    if not isinstance(at, (int, float)) or isinstance(at, bool):
        return None
    return event if isinstance(event.get("agent"), str) and isinstance(event.get("event"), str) else None


def _name(event: dict[str, Any]) -> str:
    """The event's name, with its kind where an event has several."""
    if event["event"] == "module":
        change = POOL_CHANGE.match(str(event.get("text")))
        return f"backend {change[1]}" if change else "module"
    if event["event"] == "directory failed":
        return f"directory failed: {event.get('why')}"
    return str(event["event"])


def totals(fleet: Fleet) -> dict[str, Counter[str]]:
    """The sums of the counters over all runs, by group; malformed values are ignored."""
    summed = {group: Counter[str]() for group in COUNTER_GROUPS}
    for run in fleet.runs:
        for group in COUNTER_GROUPS:
            counts = run.counts.get(group)
            for name, count in counts.items() if isinstance(counts, dict) else ():
                if isinstance(count, (int, float)) and not isinstance(count, bool) and count >= 0:
                    summed[group][name] += count
    return summed


def most_at_once(fleet: Fleet, window_ms: float = BURST_WINDOW_MS) -> dict[str, tuple[int, float]]:
    """By event: the largest number within any window, over the fleet, and that window's start (Unix ms)."""
    times: defaultdict[str, list[float]] = defaultdict(list)
    for at, what, _ in fleet.events:
        times[what].append(at)
    found = {}
    for what, at in times.items():
        first, best = 0, (0, at[0])
        for last, end in enumerate(at):
            while at[first] < end - window_ms:
                first += 1
            best = max(best, (last - first + 1, at[first]), key=lambda pair: pair[0])
        found[what] = best
    return found


def summary(fleet: Fleet) -> dict[str, Any]:
    """All statistics as one JSON object; shares are of all accepted API calls, ages in ms."""
    counts = totals(fleet)
    taken = sum(counts["taken"].values())
    ages = sorted(age for run in fleet.runs if isinstance(age := run.counts.get("list_age_ms"), (int, float)))
    cpu = sum(s for run in fleet.runs if isinstance(s := run.counts.get("cpu_s"), (int, float)))
    return {
        "agents": len({run.agent for run in fleet.runs}),
        "starts": sum(run.started_at is not None for run in fleet.runs),
        "without_counters": sum(not run.counts for run in fleet.runs),
        "never_heard_from_directory": sum(
            bool(run.counts) and run.counts.get("list_age_ms") is None for run in fleet.runs
        ),
        "list_age_ms": {"median": ages[len(ages) // 2], "oldest": ages[-1]} if ages else None,
        "cpu_ms_an_api_call": round(cpu * 1000 / taken, 3) if taken else None,
        "rate_limited_share": round(counts["answered"]["rate-limited"] / taken, 4) if taken else None,
        "most_within_100_ms": {what: n for what, (n, _) in sorted(most_at_once(fleet).items())},
        "events": dict(sorted(Counter(what for _, what, _ in fleet.events).items())),
        "no_event_lines": fleet.invalid_lines,
        **{group: dict(sorted(counter.items())) for group, counter in counts.items()},
    }
