"""Compares what agents of one fleet report at their operator endpoints. Pure except for `fetch`."""

from __future__ import annotations

import json
from collections import Counter
from http.client import HTTPConnection, HTTPException
from typing import Any

TIMEOUT_S = 2.0  # for one endpoint
RATE_TOLERANCE = 1.5  # x: rates of a customer that differ more between two agents are a disagreement

FleetReport = dict[str, Any]  # the `fleet` object of an agent's metrics


def fetch(endpoint: str) -> FleetReport | str:
    """The fleet report of one agent, or why there is none."""
    host, _, port = endpoint.rpartition(":")
    try:
        connection = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        connection.request("GET", "/_vars")
        response = connection.getresponse()
        body = json.loads(response.read())
        connection.close()
    except (OSError, HTTPException, ValueError) as why:
        return str(why) or type(why).__name__
    if response.status != 200:
        return f"status {response.status}"
    return body["fleet"] if "fleet" in body else "it is alone: no fleet is configured"


def row(report: FleetReport) -> list[str]:
    """One agent's row of the table, by `COLUMNS`."""
    shared = report.get("shared", {})
    trials = shared.get("trials_per_s")
    return [
        report["stage"],
        str(report["life"]),
        "superseded" if report["superseded"] else report["own"],
        str(report["standing"]),
        str(report["floor"]),
        str(report["list"]),
        str(len(report["drains"])),
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


def disagreements(fleet: dict[str, FleetReport]) -> list[str]:
    """A line for each disagreement: what differs from the majority, or the two agents furthest apart."""
    found = []
    for what in ("floor", "list", "standing"):
        most, times = Counter(report[what] for report in fleet.values()).most_common(1)[0]
        if times < len(fleet):
            others = ", ".join(
                f"{endpoint} {report[what]}" for endpoint, report in fleet.items() if report[what] != most
            )
            found.append(f"{what}: {times} of {len(fleet)} hold {most}; {others}")
    for agent in sorted({n for report in fleet.values() for n in report["agents"]}, key=int):
        views = {
            endpoint: report["agents"][agent][1]
            for endpoint, report in fleet.items()
            if agent in report["agents"]
        }
        if len(set(views.values())) > 1:
            found.append(
                f"agent {agent}: " + ", ".join(f"{view} at {endpoint}" for endpoint, view in views.items())
            )
    drains = {endpoint: set(report["drains"]) for endpoint, report in fleet.items()}
    for backend in sorted(set().union(*drains.values())):
        without = [endpoint for endpoint, names in drains.items() if backend not in names]
        if without:
            found.append(f"backend {backend} drains: not known at {', '.join(without)}")
    rates = {
        endpoint: report["shared"]["customers_per_s"]
        for endpoint, report in fleet.items()
        if "shared" in report
    }
    for customer in range(max(map(len, rates.values()), default=0)):
        by_endpoint = sorted(
            (each[customer], endpoint) for endpoint, each in rates.items() if customer < len(each)
        )
        (low, one), (high, other) = by_endpoint[0], by_endpoint[-1]
        if high > RATE_TOLERANCE * low and high >= 1:
            found.append(f"customer {customer}: {low:g} a s at {one}, {high:g} at {other}")
    return found
