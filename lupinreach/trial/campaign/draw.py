"""What is played next: a history drawn plainly, or one a step from a history that reached something rare. Pure.

A history is a trial as a file would have it: a small fleet, a load, and several faults that overlap: power, processes, links, disks, clocks,
the registry, upgrades under way. All of it comes from one number, so that the same number is the same history everywhere.
"""

from __future__ import annotations

import copy
from typing import Any

from lupinreach.bed.world.random_streams import RandomStream, random_stream
from lupinreach.bed.world.spec import TROUBLES

Raw = dict[str, Any]

LENGTH = 12.0  # s of arrivals
FIRST, LAST = 1.0, 7.0  # s: when what fails begins; the rest is left for what comes after
SPAN = 0.3, 3.5  # s that it lasts
STOPS = (
    2.5  # s that a process takes to stop at most: the longest client timeout and what it goes on accepting
)
MOST_FAULTS = 5
SHARE_MS = 300.0
# What can fail, by what it fails; the weight of each room is alike, so that the many kinds of disks don't crowd out power.
ROOMS: dict[str, tuple[str, ...]] = {
    "processes": ("kill-agents", "restart-agents", "sleep-agents", "twin-agents", "busy-agents"),
    "backends": ("crash", "replace", "drain", "slow", "silent", "vanish", "stall", "reset", "fail", "narrow"),
    "links": (
        "cut",
        "cut-reset",
        "loss",
        "apart",
        "apart-one-way",
        "deaf-agents",
        "dumb-agents",
        "datagrams-doubled",
        "datagrams-late",
        "latency",
    ),
    "disks": ("disk-torn", "disk-lost", "disk-older", "disk-other", "disk-hangs", "disk-stuck"),
    "clocks": ("clock-agents", "drift-agents"),
    "registry": ("registry-down", "registry-back", "registry-older"),
    "load": ("surge", "costly"),
}
POWER = 0.6  # of the histories: power is lost in them, too
VIRTUAL_ALONE = frozenset({"disk-hangs", "disk-lost", "busy-agents"})  # can't be made with processes


def among(chance: RandomStream, low: float, high: float) -> float:
    return round(low + (high - low) * float(chance.random()), 3)


def pick(chance: RandomStream, some: Any) -> Any:
    return some[int(chance.integers(len(some)))]


def plain(seed: int, number: int) -> Raw:
    """The history of that number of a campaign, drawn with no look at any other."""
    chance = random_stream(seed, "campaign", number)
    agents, backends, cores = (
        int(chance.integers(2, 8)),
        int(chance.integers(3, 9)),
        int(chance.integers(1, 3)),
    )
    touch = bool(chance.random() < 0.8)
    share = touch and bool(chance.random() < 0.7)
    raw: Raw = {
        "name": f"history-{number}",
        "seconds": LENGTH,
        "zones": ["a", "b"],
        "agents": {
            "count": agents,
            "store": touch,
            "fleet": touch,
            "ran": touch,
            "share_ms": SHARE_MS if share else 0.0,
        },
        "limits": {"peers": touch},
        "clients": {"replays": touch and bool(chance.random() < 0.5), "retries": int(chance.integers(0, 3))},
        "backends": [{"count": backends, "cores": cores, "speed": [0.6, 1.5]}],
        "products": [
            {"name": "look", "work": 30, "slo": 500, "timeout": 1500},
            {"name": "pay", "kind": "non-idempotent", "work": 30, "slo": 500, "timeout": 1500, "value": 5},
        ],
        "customers": [{"name": "one", "share": 0.6}, {"name": "two", "share": 0.4}],
        "traffic": {"calls_per_s": round(min(150.0, among(chance, 0.2, 0.8) * backends * cores * 33))},
        "backend": {"choke_at": 4, "choke_after": 1500, "choke_slower": 2.5},
        "rules": {
            "cold": 3000.0,
            "drain_grace": 500.0,
            "fall": 1000.0,
            "start_capacity": among(chance, 0.1, 0.5),
            "ask_within": 3000.0,
        },
        "registry": {
            "lag": [100, 300],
            "silent_lag": [500, 900],
            "call_cost": round(among(chance, 0.0, 30.0)),
            "ask": bool(chance.random() < 0.7),
        },
        "faults": [power(chance)] if chance.random() < POWER else [],
        "troubles": [],
    }
    for _ in range(int(chance.integers(1, MOST_FAULTS + 1))):
        raw["troubles"].append(trouble(chance))
    return raw


def power(chance: RandomStream) -> Raw:
    found: Raw = {"kind": "power", "at": among(chance, FIRST, LAST - 2), "agents": among(chance, 0.3, 1.5)}
    if chance.random() < 0.7:
        found["backends"] = among(chance, 0.3, 2.0)
    if chance.random() < 0.7:
        found["registry"] = among(chance, 0.2, 3.0)
        if chance.random() < 0.4:
            found["registry_older"] = among(chance, 0.5, 3.0)
    if chance.random() < 0.2:
        found["rack"] = "b"
    return found


def trouble(chance: RandomStream) -> Raw:
    kind = pick(chance, ROOMS[pick(chance, sorted(ROOMS))])
    target_kind, usual, low, high = TROUBLES[kind]
    found: Raw = {"kind": kind, "at": among(chance, FIRST, LAST), "seconds": among(chance, *SPAN)}
    if target_kind == "zones":
        found["targets"] = ["b"]
    elif target_kind != "none" or kind == "datagrams-late":
        found["share"] = among(chance, 0.2, 1.0 if target_kind == "agents" else 0.6)
    if high > low:
        found["strength"] = round(min(high, max(low, usual * among(chance, 0.3, 1.5))), 3)
    if kind == "surge":
        found["strength"] = among(chance, 1.3, 2.5)
    return sound(found)


def sound(fault: Raw) -> Raw:
    """Guards against a process that is started anew on an address that the one before is still being stopped on."""
    if fault["kind"] == "restart-agents":
        fault["seconds"] = max(STOPS, fault["seconds"])
    return fault


def near(raw: Raw, seed: int, number: int) -> Raw:
    """A step from there: one thing is added, taken away, moved, brought together with another, or made longer."""
    chance = random_stream(seed, "campaign near", number)
    found = copy.deepcopy(raw)
    found["name"] = f"history-{number}"
    for _ in range(1 + int(chance.integers(2))):
        faults = found["troubles"]
        step = pick(chance, ("add", "add", "drop", "move", "meet", "last", "power", "load"))
        if step == "add" and len(faults) < 2 * MOST_FAULTS:
            faults.append(trouble(chance))
        elif step == "drop" and len(faults) > 1:
            faults.pop(int(chance.integers(len(faults))))
        elif step == "move" and faults:
            pick(chance, faults)["at"] = among(chance, FIRST, LAST)
        elif step == "meet" and len(faults) > 1:
            # Guards against two that each were there and never at one time.
            one, other = pick(chance, faults), pick(chance, faults)
            one["at"] = round(min(LAST, other["at"] + 0.3 * float(chance.random())), 3)
        elif step == "last" and faults:
            longer = pick(chance, faults)
            longer["seconds"] = among(chance, SPAN[0], 2 * SPAN[1])
            sound(longer)
        elif step == "power":
            found["faults"] = [power(chance)]
        elif step == "load":
            found["traffic"]["calls_per_s"] = round(
                min(200.0, found["traffic"]["calls_per_s"] * among(chance, 0.6, 1.6))
            )
    return found


def with_processes(raw: Raw) -> Raw | None:
    """The same with every part a process, as small as that can be; None where it holds what can't be made so."""
    if any(t["kind"] in VIRTUAL_ALONE for t in raw["troubles"]):
        return None
    found = copy.deepcopy(raw)
    found["mode"] = "loopback"
    found["agents"]["count"] = min(5, found["agents"]["count"])
    found["backends"][0]["count"] = min(6, found["backends"][0]["count"])
    found["traffic"]["calls_per_s"] = min(80.0, found["traffic"]["calls_per_s"])
    return found
