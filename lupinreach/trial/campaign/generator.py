"""Generates the histories of a campaign: at random, or as mutations of a history with rare features. Pure.

A history is a trial in the form of a trial file: a small fleet, a load, and several overlapping faults of
power, processes, links, disks, clocks, the registry and upgrades. All of it is derived from the seed and the
number of the history, so a number gives the same history on every machine.
"""

from __future__ import annotations

import copy
from typing import Any

from lupinreach.bed.world.random_streams import RandomStream, random_stream
from lupinreach.bed.world.spec import TROUBLES

RawTrial = dict[str, Any]

ARRIVALS_S = 12.0  # duration of the arrivals
EARLIEST_BEGIN_S, LATEST_BEGIN_S = (
    1.0,
    7.0,
)  # range of the begin of faults; the rest of the run is left for recovery
DURATION_RANGE_S = 0.3, 3.5  # range of the duration of a fault
MAX_PROCESS_STOP_S = (
    2.5  # the longest client timeout, and the time for which a stopping process still accepts requests
)
MAX_TROUBLES = 5
SHARE_INTERVAL_MS = 300.0
# Kinds of trouble by area. Each area is equally likely, so that the many kinds of disk faults don't crowd out
# the others.
TROUBLES_BY_AREA: dict[str, tuple[str, ...]] = {
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
POWER_LOSS_SHARE = 0.6  # of the histories include a power loss
VIRTUAL_ONLY = frozenset({"disk-hangs", "disk-lost", "busy-agents"})  # can't be produced with real processes


def random_between(rng: RandomStream, low: float, high: float) -> float:
    """A uniform random number, rounded to 3 decimal places."""
    return round(low + (high - low) * float(rng.random()), 3)


def random_choice(rng: RandomStream, options: Any) -> Any:
    """A random element of a sequence."""
    return options[int(rng.integers(len(options)))]


def random_trial(seed: int, number: int) -> RawTrial:
    """The trial of a history number, generated independently of all others."""
    rng = random_stream(seed, "campaign", number)
    agents, backends, cores = (
        int(rng.integers(2, 8)),
        int(rng.integers(3, 9)),
        int(rng.integers(1, 3)),
    )
    agents_connected = bool(rng.random() < 0.8)
    shares = agents_connected and bool(rng.random() < 0.7)
    raw: RawTrial = {
        "name": f"history-{number}",
        "seconds": ARRIVALS_S,
        "zones": ["a", "b"],
        "agents": {
            "count": agents,
            "store": agents_connected,
            "fleet": agents_connected,
            "ran": agents_connected,
            "share_ms": SHARE_INTERVAL_MS if shares else 0.0,
        },
        "limits": {"peers": agents_connected},
        "clients": {
            "replays": agents_connected and bool(rng.random() < 0.5),
            "retries": int(rng.integers(0, 3)),
        },
        "backends": [{"count": backends, "cores": cores, "speed": [0.6, 1.5]}],
        "products": [
            {"name": "look", "work": 30, "slo": 500, "timeout": 1500},
            {"name": "pay", "kind": "non-idempotent", "work": 30, "slo": 500, "timeout": 1500, "value": 5},
        ],
        "customers": [{"name": "one", "share": 0.6}, {"name": "two", "share": 0.4}],
        "traffic": {"calls_per_s": round(min(150.0, random_between(rng, 0.2, 0.8) * backends * cores * 33))},
        "backend": {"choke_at": 4, "choke_after": 1500, "choke_slower": 2.5},
        "rules": {
            "cold": 3000.0,
            "drain_grace": 500.0,
            "fall": 1000.0,
            "start_capacity": random_between(rng, 0.1, 0.5),
            "ask_within": 3000.0,
        },
        "registry": {
            "lag": [100, 300],
            "silent_lag": [500, 900],
            "call_cost": round(random_between(rng, 0.0, 30.0)),
            "ask": bool(rng.random() < 0.7),
        },
        "faults": [random_power_loss(rng)] if rng.random() < POWER_LOSS_SHARE else [],
        "troubles": [],
    }
    for _ in range(int(rng.integers(1, MAX_TROUBLES + 1))):
        raw["troubles"].append(random_trouble(rng))
    return raw


def random_power_loss(rng: RandomStream) -> RawTrial:
    """A power loss of the agents, in some cases also of backends and registry, or of one zone only."""
    result: RawTrial = {
        "kind": "power",
        "at": random_between(rng, EARLIEST_BEGIN_S, LATEST_BEGIN_S - 2),
        "agents": random_between(rng, 0.3, 1.5),
    }
    if rng.random() < 0.7:
        result["backends"] = random_between(rng, 0.3, 2.0)
    if rng.random() < 0.7:
        result["registry"] = random_between(rng, 0.2, 3.0)
        if rng.random() < 0.4:
            result["registry_older"] = random_between(rng, 0.5, 3.0)
    if rng.random() < 0.2:
        result["rack"] = "b"
    return result


def random_trouble(rng: RandomStream) -> RawTrial:
    """A trouble of a random kind, with a random begin, duration and extent."""
    kind = random_choice(rng, TROUBLES_BY_AREA[random_choice(rng, sorted(TROUBLES_BY_AREA))])
    target_kind, usual, low, high = TROUBLES[kind]
    result: RawTrial = {
        "kind": kind,
        "at": random_between(rng, EARLIEST_BEGIN_S, LATEST_BEGIN_S),
        "seconds": random_between(rng, *DURATION_RANGE_S),
    }
    if target_kind == "zones":
        result["targets"] = ["b"]
    elif target_kind != "none" or kind == "datagrams-late":
        result["share"] = random_between(rng, 0.2, 1.0 if target_kind == "agents" else 0.6)
    if high > low:
        result["strength"] = round(min(high, max(low, usual * random_between(rng, 0.3, 1.5))), 3)
    if kind == "surge":
        result["strength"] = random_between(rng, 1.3, 2.5)
    return with_minimum_restart_time(result)


def with_minimum_restart_time(fault: RawTrial) -> RawTrial:
    """Extends a restart so that a process doesn't start while its predecessor is still stopping on its address."""
    if fault["kind"] == "restart-agents":
        fault["seconds"] = max(MAX_PROCESS_STOP_S, fault["seconds"])
    return fault


def mutate(raw: RawTrial, seed: int, number: int) -> RawTrial:
    """The trial after one or two mutations.

    A mutation adds, removes, moves or extends a trouble, moves it to the time of another, or changes the
    power loss or the load.
    """
    rng = random_stream(seed, "campaign near", number)
    result = copy.deepcopy(raw)
    result["name"] = f"history-{number}"
    for _ in range(1 + int(rng.integers(2))):
        troubles = result["troubles"]
        mutation = random_choice(rng, ("add", "add", "drop", "move", "meet", "last", "power", "load"))
        if mutation == "add" and len(troubles) < 2 * MAX_TROUBLES:
            troubles.append(random_trouble(rng))
        elif mutation == "drop" and len(troubles) > 1:
            troubles.pop(int(rng.integers(len(troubles))))
        elif mutation == "move" and troubles:
            random_choice(rng, troubles)["at"] = random_between(rng, EARLIEST_BEGIN_S, LATEST_BEGIN_S)
        elif mutation == "meet" and len(troubles) > 1:
            # Covers pairs of troubles that have occurred in the history, but not at the same time.
            moved, other = random_choice(rng, troubles), random_choice(rng, troubles)
            moved["at"] = round(min(LATEST_BEGIN_S, other["at"] + 0.3 * float(rng.random())), 3)
        elif mutation == "last" and troubles:
            extended = random_choice(rng, troubles)
            extended["seconds"] = random_between(rng, DURATION_RANGE_S[0], 2 * DURATION_RANGE_S[1])
            with_minimum_restart_time(extended)
        elif mutation == "power":
            result["faults"] = [random_power_loss(rng)]
        elif mutation == "load":
            result["traffic"]["calls_per_s"] = round(
                min(200.0, result["traffic"]["calls_per_s"] * random_between(rng, 0.6, 1.6))
            )
    return result


def reduced_for_processes(raw: RawTrial) -> RawTrial | None:
    """A smaller trial for a run with real processes; None if the trial has a fault that needs virtual time."""
    if any(t["kind"] in VIRTUAL_ONLY for t in raw["troubles"]):
        return None
    result = copy.deepcopy(raw)
    result["mode"] = "loopback"
    result["agents"]["count"] = min(5, result["agents"]["count"])
    result["backends"][0]["count"] = min(6, result["backends"][0]["count"])
    result["traffic"]["calls_per_s"] = min(80.0, result["traffic"]["calls_per_s"])
    return result
