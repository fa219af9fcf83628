"""The `fleet show` report: what agents of one fleet report at their operator endpoints, side by side. Only `fetch` does I/O."""

from __future__ import annotations

import json
from collections import Counter
from http.client import HTTPConnection, HTTPException
from typing import Any

WITHIN = 2.0  # s for one door
APART = 1.5  # x: rates of a customer that two agents hold further apart are a disagreement

Held = dict[str, Any]  # the part `fleet` of an agent's figures


def asked(door: str) -> Held | str:
    """What one agent holds, or why it doesn't tell."""
    host, _, port = door.rpartition(":")
    try:
        line = HTTPConnection(host, int(port), timeout=WITHIN)
        line.request("GET", "/_vars")
        answer = line.getresponse()
        said = json.loads(answer.read())
        line.close()
    except (OSError, HTTPException, ValueError) as why:
        return str(why) or type(why).__name__
    if answer.status != 200:
        return f"status {answer.status}"
    return said["fleet"] if "fleet" in said else "it is alone: no fleet is configured"


def row(held: Held) -> list[str]:
    """One agent's line."""
    shared = held.get("shared", {})
    trials = shared.get("trials_per_s")
    return [
        held["stage"],
        str(held["life"]),
        "superseded" if held["superseded"] else held["own"],
        str(held["standing"]),
        str(held["floor"]),
        str(held["list"]),
        str(len(held["drains"])),
        shared.get("stage", "-"),
        str(shared.get("rows", "-")),
        ", ".join(f"{name} {factor}" for name, factor in shared.get("dearer", {}).items()) or "-",
        ", ".join(map(str, shared.get("over", ()))) or "-",
        "-" if trials is None else f"{trials:.3f}",
    ]


COLUMNS = (
    "agent",
    "stage",
    "life",
    "own",
    "standing",
    "floor",
    "list",
    "drains",
    "shared",
    "rows",
    "dearer",
    "over",
    "trials/s",
)


def disagreements(fleet: dict[str, Held]) -> list[str]:
    """Where agents hold unlike things, a line each: against what most hold, or the widest apart."""
    found = []
    for what in ("floor", "list", "standing"):
        most, times = Counter(held[what] for held in fleet.values()).most_common(1)[0]
        if times < len(fleet):
            others = ", ".join(f"{door} {held[what]}" for door, held in fleet.items() if held[what] != most)
            found.append(f"{what}: {times} of {len(fleet)} hold {most}; {others}")
    for agent in sorted({n for held in fleet.values() for n in held["agents"]}, key=int):
        views = {door: held["agents"][agent][1] for door, held in fleet.items() if agent in held["agents"]}
        if len(set(views.values())) > 1:
            found.append(f"agent {agent}: " + ", ".join(f"{view} at {door}" for door, view in views.items()))
    drains = {door: set(held["drains"]) for door, held in fleet.items()}
    for backend in sorted(set().union(*drains.values())):
        without = [door for door, names in drains.items() if backend not in names]
        if without:
            found.append(f"backend {backend} drains: not known at {', '.join(without)}")
    rates = {door: held["shared"]["customers_per_s"] for door, held in fleet.items() if "shared" in held}
    for customer in range(max(map(len, rates.values()), default=0)):
        by_door = sorted((each[customer], door) for door, each in rates.items() if customer < len(each))
        (low, one), (high, other) = by_door[0], by_door[-1]
        if high > APART * low and high >= 1:
            found.append(f"customer {customer}: {low:g} a s at {one}, {high:g} at {other}")
    return found
