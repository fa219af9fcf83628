"""The demo: agents, simulated backends, a registry and clients on loopback, with troubles and a live table."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from lupinreach.bed.commands.experiment import Result, judge
from lupinreach.bed.ways import loopback
from lupinreach.bed.ways.stage import Stage
from lupinreach.bed.world.ledger import Ledger
from lupinreach.bed.world.spec import World

REFRESH_INTERVAL_S = 0.5  # on a terminal; elsewhere a table is printed every fourth time
WINDOW_S = 2.0  # length of the period that the table covers


class Dashboard:
    """The live table, computed from the ledger while it grows."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._stage: Stage | None = None
        self._started_at = time.monotonic()

    def watch(self, stage: Stage) -> None:
        """Shows this stage from now on."""
        self._stage = stage

    def _recent(self) -> tuple[Counter[str], Counter[int], list[float]]:
        """Calls by outcome, attempts by backend, and sorted latencies in ms, over the last `WINDOW_S`."""
        assert self._stage is not None
        records = self._stage.environment.ledger.records
        window_start_us = records[-1][1] - WINDOW_S * 1e6 if records else 0
        outcomes: Counter[str] = Counter()
        attempts_by_backend: Counter[int] = Counter()
        asked_at_us: dict[str, int] = {}
        latencies_ms: list[float] = []
        for r in reversed(records):
            if r[1] < window_start_us - 2e6:
                break
            if r[0] == "asked":
                asked_at_us[r[2]] = r[1]
        for r in reversed(records):
            if r[1] < window_start_us:
                break
            if r[0] == "got":
                outcomes[
                    "fulfilled" if r[3] == 200 else "rate-limited" if r[3] in (429, 503) else "errored"
                ] += 1
                if r[3] == 200 and r[2] in asked_at_us:
                    latencies_ms.append((r[1] - asked_at_us[r[2]]) / 1000)
            elif r[0] in ("left", "lost"):
                outcomes[r[0]] += 1
            elif r[0] == "came":
                attempts_by_backend[r[2]] += 1
        return outcomes, attempts_by_backend, sorted(latencies_ms)

    def render(self) -> Any:
        """The table as it is now."""
        stage = self._stage
        if stage is None or not stage.environment.ledger.records:
            return Text("starting agents ...")
        outcomes, attempts_by_backend, latencies_ms = self._recent()
        trouble_records = [(r[3], r[4], r[5]) for r in stage.environment.ledger.records if r[0] == "trouble"]
        active_troubles = {}
        for kind, phase, targets in trouble_records:
            if phase == "begins":
                active_troubles[kind] = targets
            else:
                active_troubles.pop(kind, None)
        total = sum(outcomes.values())
        header = Text.assemble(
            (f"{time.monotonic() - self._started_at:5.1f} s  ", "bold"),
            f"{total / WINDOW_S:5.0f} API calls a second  ",
            (f"fulfilled {100 * outcomes['fulfilled'] / max(1, total):5.1f}%  ", "green"),
            f"median {_quantile(latencies_ms, 0.5):5.0f} ms  p99 {_quantile(latencies_ms, 0.99):5.0f} ms  ",
            (
                "trouble: " + ", ".join(f"{k} at {t}" for k, t in active_troubles.items())
                if active_troubles
                else "no trouble",
                "bold red" if active_troubles else "dim",
            ),
        )
        table = Table(box=None, pad_edge=False)
        for column in ("backend", "zone", "state", "shots a second", "in work", "waiting"):
            table.add_column(column, justify="left" if column in ("zone", "state") else "right")
        for host in stage.hosts:
            b = host.backend
            entry = stage.registry.entry(stage.entries[b.number].uid)
            state = (
                "down" if not b.up else "vanished" if host.machine.vanished else entry.state if entry else "?"
            )
            table.add_row(
                str(b.number),
                self._world.zones[b.zone],
                state,
                f"{attempts_by_backend[b.number] / WINDOW_S:.1f}",
                str(len(b.running)),
                str(len(b.queue)),
            )
        return Group(header, table)


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[int(len(ordered) * share)] if ordered else 0.0


async def _show(board: Dashboard, console: Console) -> None:
    if console.is_terminal:
        with Live(board.render(), console=console, refresh_per_second=4) as live:
            while True:
                await asyncio.sleep(REFRESH_INTERVAL_S)
                live.update(board.render())
    while True:
        await asyncio.sleep(4 * REFRESH_INTERVAL_S)
        console.print(board.render())


async def _play(world: World, seed: int, console: Console) -> Ledger:
    board = Dashboard(world)
    showing = asyncio.create_task(_show(board, console))
    try:
        return await loopback.play_on(world, seed, watch=board.watch)
    finally:
        showing.cancel()
        await asyncio.gather(showing, return_exceptions=True)


def demo(world: World, seed: int, console: Console) -> tuple[Result, bool]:
    """Plays the world and shows it; returns the result, and whether a signal stopped the run before its end."""
    ledger = asyncio.run(_play(world, seed, console))
    return judge(world, seed, ledger), ledger.stopped
