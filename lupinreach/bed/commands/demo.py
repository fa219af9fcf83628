"""The demo: agents, stand-in backends, a registry and clients on loopback, a live table, and troubles on the way."""

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

EVERY = 0.5  # s between two looks
LATELY = 2.0  # s that the table speaks of


class Board:
    """What the table shows, read off the ledger as it grows."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._stage: Stage | None = None
        self._since = time.monotonic()

    def watch(self, stage: Stage) -> None:
        self._stage = stage

    def _lately(self) -> tuple[Counter[str], Counter[int], list[float]]:
        assert self._stage is not None
        records = self._stage.environment.ledger.records
        begin = records[-1][1] - LATELY * 1e6 if records else 0
        kinds: Counter[str] = Counter()
        came: Counter[int] = Counter()
        asked: dict[str, int] = {}
        took: list[float] = []
        for r in reversed(records):
            if r[1] < begin - 2e6:
                break
            if r[0] == "asked":
                asked[r[2]] = r[1]
        for r in reversed(records):
            if r[1] < begin:
                break
            if r[0] == "got":
                kinds[
                    "fulfilled" if r[3] == 200 else "rate-limited" if r[3] in (429, 503) else "errored"
                ] += 1
                if r[3] == 200 and r[2] in asked:
                    took.append((r[1] - asked[r[2]]) / 1000)
            elif r[0] in ("left", "lost"):
                kinds[r[0]] += 1
            elif r[0] == "came":
                came[r[2]] += 1
        return kinds, came, sorted(took)

    def render(self) -> Any:
        stage = self._stage
        if stage is None or not stage.environment.ledger.records:
            return Text("starting agents ...")
        kinds, came, took = self._lately()
        on = [(r[3], r[4], r[5]) for r in stage.environment.ledger.records if r[0] == "trouble"]
        now = {}
        for kind, what, targets in on:
            if what == "begins":
                now[kind] = targets
            else:
                now.pop(kind, None)
        total = sum(kinds.values())
        head = Text.assemble(
            (f"{time.monotonic() - self._since:5.1f} s  ", "bold"),
            f"{total / LATELY:5.0f} API calls a second  ",
            (f"fulfilled {100 * kinds['fulfilled'] / max(1, total):5.1f}%  ", "green"),
            f"median {_at(took, 0.5):5.0f} ms  p99 {_at(took, 0.99):5.0f} ms  ",
            (
                "trouble: " + ", ".join(f"{k} at {t}" for k, t in now.items()) if now else "no trouble",
                "bold red" if now else "dim",
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
                f"{came[b.number] / LATELY:.1f}",
                str(len(b.running)),
                str(len(b.queue)),
            )
        return Group(head, table)


def _at(ordered: list[float], share: float) -> float:
    return ordered[int(len(ordered) * share)] if ordered else 0.0


async def _show(board: Board, console: Console) -> None:
    if console.is_terminal:
        with Live(board.render(), console=console, refresh_per_second=4) as live:
            while True:
                await asyncio.sleep(EVERY)
                live.update(board.render())
    while True:
        await asyncio.sleep(4 * EVERY)
        console.print(board.render())


async def _play(world: World, seed: int, console: Console) -> Ledger:
    board = Board(world)
    showing = asyncio.create_task(_show(board, console))
    try:
        return await loopback.play_on(world, seed, watch=board.watch)
    finally:
        showing.cancel()
        await asyncio.gather(showing, return_exceptions=True)


def demo(world: World, seed: int, console: Console) -> tuple[Result, bool]:
    """Play it and show it; judged at the end, or at what was seen until a signal stopped it."""
    ledger = asyncio.run(_play(world, seed, console))
    return judge(world, seed, ledger), ledger.stopped
