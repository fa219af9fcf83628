"""Drawn power losses of small fleets, alone or in touch: are the rules kept, and what is served of the possible?

    python benchmarks/random_power_losses.py 1000 --first 1 [--alone] [--share] [--processes]

Each number is a fleet, a load, an order of return, disks, clocks and links of its own. Ends with one line of JSON; the numbers of what
broke stand in it, and play again by `--first N 1`.
"""

from __future__ import annotations

import json
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click

from lupinreach.bed.world.chance import stream
from lupinreach.trial import play, spec

SHARE = 300.0  # ms between two words of what agents share
BESIDE = 5  # small fleets of processes


def draw_trial(number: int, touch: bool, processes: bool, share: bool = False) -> dict[str, Any]:
    """The trial of that number, as a file would have it."""
    chance = stream(number, "drawn losses")

    def among(low: float, high: float) -> float:
        return low + (high - low) * float(chance.random())

    def often(share: float) -> bool:
        return bool(chance.random() < share)

    agents, backends = int(among(3, 7 if processes else 13)), int(among(4, 7 if processes else 13))
    cores = int(among(1, 3))
    length = 9.0 if processes else 16.0
    power: dict[str, Any] = {"kind": "power", "at": 4.0, "agents": round(among(0.5, 2.0), 2)}
    if often(0.8):
        power["backends"] = round(among(0.5, 3.0), 2)
        if often(0.3):
            power["over"] = {"backends": round(among(0.5, 3.0), 2)}
    if often(0.8):
        power["registry"] = round(among(0.3, 4.0), 2)
        if often(0.4):
            power["registry_older"] = round(among(1.0, 3.5), 2)
    if often(0.2):
        power["rack"] = "b"
    troubles: list[dict[str, Any]] = []
    if often(0.6):
        troubles.append({"kind": "drain", "at": round(among(1.0, 3.0), 2), "seconds": 30, "targets": [0]})
    for kind, more in (
        ("disk-older", {"share": 0.5, "strength": 2}),
        ("disk-other", {"share": 0.3}),
        ("disk-torn", {"share": 0.4, "strength": 0.5}),
        ("disk-stuck", {"share": 0.4, "seconds": 6}),
    ):
        if often(0.3):
            troubles.append({"kind": kind, "at": 4.2, "seconds": 1} | more)
    for kind, more in (
        ("clock-agents", {"share": 0.4, "at": 3.9, "strength": among(-1e5, 1e5)}),
        ("deaf-agents", {"share": 0.34, "at": 4.3}),
        ("datagrams-late", {"share": 0.3, "at": 0, "strength": 500}),
        ("datagrams-doubled", {"at": 0, "strength": 0.3}),
        ("loss", {"at": 4.0, "strength": 0.05}),
        ("cut", {"at": 5.0, "targets": ["b"]}),
    ):
        if often(0.2):
            troubles.append({"kind": kind, "seconds": round(among(1.0, 4.0), 2)} | more)
    replays = often(0.5)
    return {
        "name": f"drawn-{number}",
        "mode": "loopback" if processes else "virtual",
        "seconds": length,
        "zones": ["a", "b"],
        "agents": {
            "count": agents,
            "store": touch,
            "fleet": touch,
            "ran": touch,
            "share_ms": SHARE if share else 0.0,
        },
        "clients": {"replays": replays and touch},
        "limits": {"peers": touch},
        "backends": [{"count": backends, "cores": cores, "speed": [0.6, 1.5]}],
        "products": [
            {"name": "look", "work": 30, "slo": 500, "timeout": 1500},
            {"name": "pay", "kind": "non-idempotent", "work": 30, "slo": 500, "timeout": 1500, "value": 5},
        ],
        "traffic": {
            "calls_per_s": round(min(90.0 if processes else 300.0, among(0.2, 0.7) * backends * cores * 33))
        },
        "backend": {"choke_at": 4, "choke_after": 1500, "choke_slower": 2.5},
        "rules": {
            "cold": 4000.0,
            "drain_grace": 500.0,
            "fall": 1000.0,
            "start_capacity": round(among(0.1, 0.5), 2),
            "ask_within": 4000.0,
        },
        "registry": {
            "lag": [100, 300],
            "silent_lag": [500, 900],
            "call_cost": round(among(0.0, 40.0)),
            "ask": often(0.7),
        },
        "faults": [power],
        "troubles": troubles,
    }


def one(job: tuple[int, bool, bool, bool]) -> dict[str, Any]:
    number, touch, processes, share = job
    p = play.run(spec.read(draw_trial(number, touch, processes, share)), number)
    return {
        "number": number,
        "verdict": p.verdict,
        "unsure": p.unsure,
        "breaches": sorted({b.name for b in p.result.breaches}),
        "cold_load": round(p.recovery.cold_load, 3),
        "to_draining": p.recovery.to_draining,
        "first_10s": p.recovery.first_10s,
    }


@click.command()
@click.argument("many", type=click.IntRange(1))
@click.option("--first", type=click.IntRange(0), default=1)
@click.option("--alone", is_flag=True, help="without stores, agents that know nothing of each other")
@click.option("--share", is_flag=True, help="agents share what they have met")
@click.option("--processes", is_flag=True, help="every part a process, `BESIDE` runs beside each other")
def main(many: int, first: int, alone: bool, share: bool, processes: bool) -> None:
    jobs = [(n, not alone, processes, share) for n in range(first, first + many)]
    with ProcessPoolExecutor(BESIDE if processes else None) as pool:
        found = list(pool.map(one, jobs, chunksize=1 if processes else 4))
    worst = sorted(found, key=lambda f: -f["cold_load"])[:3]
    print(
        json.dumps(
            {
                "played": len(found),
                "in_touch": not alone,
                "share": share,
                "broken": [f for f in found if f["verdict"] == play.BROKEN],
                "unsure": sum(f["verdict"] == play.UNSURE for f in found),
                "to_draining": sum(f["to_draining"] for f in found),
                "sent_to_draining_in": [f["number"] for f in found if f["to_draining"]],
                "first_10s": round(sum(f["first_10s"] for f in found) / len(found), 4),
                "cold_load": [[f["number"], f["cold_load"]] for f in worst],
            }
        )
    )


if __name__ == "__main__":
    main()
