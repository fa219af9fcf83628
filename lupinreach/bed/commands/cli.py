"""The commands of `lupinreach`, but for what they do."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any, NoReturn

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from lupinreach.bed.commands import experiment
from lupinreach.bed.ways.policies import POLICIES
from lupinreach.bed.ways.stopping import STOPPED
from lupinreach.bed.world import spec
from lupinreach.bed.world.spec import World
from lupinreach.config import BadConfig

KEPT, BROKEN, BAD = 0, 1, 2
MOST_TOLD = 10  # breaches on standard error

told = Console(stderr=True, highlight=False)


def bad(why: object) -> NoReturn:
    print(f"lupinreach: {why}", file=sys.stderr)
    sys.exit(BAD)


def world_of(
    file: str, seed: tuple[int, ...] = (), mode: str | None = None, policy: str | None = None
) -> World:
    try:
        world = spec.read_file(file)
    except BadConfig as wrong:
        bad(wrong)
    world = replace(world, seeds=seed or world.seeds, mode=mode or world.mode, policy=policy or world.policy)
    if world.mode == "loopback" and world.fault:
        bad("fault: can be planted in virtual time only")
    return world


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def lupinreach() -> None:
    """A client-side load balancer, and the bed that it is tried on."""


@lupinreach.command()
def agent() -> None:
    """Run the agent; PROXY_CONFIG names its configuration."""
    from lupinreach.__main__ import serve

    sys.exit(serve())


@lupinreach.command("logs")
@click.argument("files", nargs=-1, required=True, type=click.Path())
def read_logs(files: tuple[str, ...]) -> None:
    """Count over a whole fleet what agents wrote to their logs: any number of files, one object of JSON."""
    from lupinreach import logs

    try:
        fleet = logs.read([Path(file).read_bytes().splitlines() for file in files])
    except OSError as wrong:
        bad(f"{wrong.filename}: {wrong.strerror}")
    if not fleet.lives:
        bad(f"{', '.join(files)}: no line of an agent's log in it")
    found = logs.summary(fleet)
    table = Table(box=None)
    for column in ("group", "what", "count", "share"):
        table.add_column(column, justify="left" if column in ("group", "what") else "right")
    for group in (*logs.GROUPS, "events"):
        whole = sum(found[group].values()) or 1
        for what, count in sorted(found[group].items(), key=lambda pair: -pair[1]):
            table.add_row(group, what, str(count), f"{count / whole:.1%}")
    told.print(table)
    print(json.dumps(found))


@lupinreach.group("fleet")
def fleet_group() -> None:
    """What agents of one fleet hold of each other."""


@fleet_group.command("show")
@click.argument("doors", nargs=-1, required=True)
def fleet_show(doors: tuple[str, ...]) -> None:
    """Ask the operators' DOORs (host:port) what each agent holds, and say where two disagree: 1 if any does, or is silent."""
    from lupinreach.fleet import show

    for door in doors:
        if not door.rpartition(":")[2].isdecimal():
            bad(f"{door}: a door is host:port")
    with ThreadPoolExecutor(min(32, len(doors))) as pool:
        said = dict(zip(doors, pool.map(show.asked, doors), strict=True))
    held = {door: found for door, found in said.items() if isinstance(found, dict)}
    silent = {door: why for door, why in said.items() if isinstance(why, str)}
    table = Table(box=None)
    for column in show.COLUMNS:
        table.add_column(column)
    for door, found in held.items():
        table.add_row(door, *show.row(found))
    told.print(table)
    for door, why in silent.items():
        told.print(f"{door}: {why}")
    apart = show.disagreements(held) if held else []
    for line in apart:
        told.print(line)
    print(json.dumps({"agents": held, "silent": silent, "disagreements": apart}))
    sys.exit(BROKEN if apart or silent else KEPT)


@lupinreach.command()
@click.option("--seconds", type=click.FloatRange(3, 3600), default=20.0, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
def demo(seconds: float, seed: int) -> None:
    """Agents, stand-in backends, a registry and clients on loopback; a trouble after some seconds."""
    from lupinreach.bed.commands.demo import demo as show

    world = world_of("demo")
    share = seconds * 1000 / world.length
    world = replace(
        world,
        length=seconds * 1000,
        troubles=tuple(replace(t, at=t.at * share, length=t.length * share) for t in world.troubles),
    )
    console = Console(highlight=False)
    result, stopped = show(world, seed, console)
    _tell_breaches([result])
    if stopped:
        told.print("stopped: this is what was seen so far")
    print(json.dumps(experiment.summary(world, [result]) | ({"stopped": True} if stopped else {})))
    sys.exit(STOPPED if stopped else KEPT if result.kept else BROKEN)


@lupinreach.group()
def bed() -> None:
    """Worlds: play one, compare policies on it, search round it."""


@bed.command("list")
def list_worlds() -> None:
    """The worlds that come with the bed."""
    for path in sorted(spec.WORLDS_DIR.glob("*.toml")):
        print(path.stem)


@bed.command()
@click.argument("file")
@click.option(
    "--seed", type=click.IntRange(0), multiple=True, help="in place of the file's; may be given again"
)
@click.option("--mode", type=click.Choice(list(spec.MODES)))
@click.option("--policy", type=click.Choice(list(POLICIES)))
@click.option("--json", "out", type=click.Path(dir_okay=False), help="write every run's figures to a file")
@click.option(
    "--ledger", type=click.Path(dir_okay=False), help="write the ledger of the first seed to a file"
)
@click.option("--report", type=click.Path(file_okay=False), help="write a page with plots for each seed")
def run(
    file: str,
    seed: tuple[int, ...],
    mode: str | None,
    policy: str | None,
    out: str | None,
    ledger: str | None,
    report: str | None,
) -> None:
    """Play a world; ends with one line of JSON. Exit 0: rules kept, 1: one broken, 2: a bad file."""
    world = world_of(file, seed, mode, policy)
    results, stopped = [], False
    for number, one in enumerate(world.seeds):
        with _progress(f"seed {one}", world.length) as progress:
            book = experiment.play(world, one, progress)
        result = experiment.judge(world, one, book)
        results.append(result)
        stopped = book.stopped
        if ledger and not number:
            book.save(Path(ledger))
        if report:
            from lupinreach.bed.commands.report import write

            told.print(f"report: {write(Path(report), world, result, book.records)}")
        if stopped:
            told.print(f"stopped in run {number + 1} of {len(world.seeds)}")
            break
    _tell_breaches(results)
    if out:
        rows = [
            {
                "seed": r.seed,
                "digest": r.digest,
                "rules": r.rules,
                **r.figures,
                "breaches": [vars(b) for b in r.violations],
            }
            for r in results
        ]
        Path(out).write_text(json.dumps({"world": spec.world_to_dict(world), "runs": rows}, indent=1) + "\n")
    print(json.dumps(experiment.summary(world, results) | ({"stopped": True} if stopped else {})))
    sys.exit(STOPPED if stopped else KEPT if all(r.kept for r in results) else BROKEN)


@bed.command()
@click.argument("file")
@click.option("--against", type=click.Choice(list(POLICIES)), multiple=True, required=True)
@click.option("--seed", type=click.IntRange(0), multiple=True)
@click.option("--jobs", type=click.IntRange(1), help="runs beside each other")
def compare(file: str, against: tuple[str, ...], seed: tuple[int, ...], jobs: int | None) -> None:
    """The same seeds under two policies or more: the difference with its noise."""
    world = world_of(file, seed)
    found = experiment.compare(world, list(against), jobs)
    table = Table(box=None)
    for column in ("policy", "service", "worst 10 s", "p99 ms", "rules", "ours less this", "noise"):
        table.add_column(column, justify="left" if column in ("policy", "rules") else "right")
    ours, lines = found[world.policy], {}
    for name, results in found.items():
        total = experiment.summary(replace(world, policy=name), results)
        gap = experiment.difference(ours, results, "service")
        worst = experiment.difference(ours, results, "service_worst_10s")
        table.add_row(
            name,
            f"{total['service']:.4f}",
            f"{total['service_worst_10s']:.4f}",
            f"{total['latency_ms']['p99']:.0f}",
            total["verdict"],
            "" if results is ours else f"{gap.mean:+.4f}",
            "" if results is ours else f"{gap.noise:.4f}",
        )
        lines[name] = {
            "service": total["service"],
            "service_worst_10s": total["service_worst_10s"],
            "verdict": total["verdict"],
            "difference": round(gap.mean, 4),
            "noise": round(gap.noise, 4),
            "difference_worst_10s": round(worst.mean, 4),
            "noise_worst_10s": round(worst.noise, 4),
        }
    told.print(table)
    print(json.dumps({"world": world.name, "seeds": [r.seed for r in ours], "policies": lines}))
    sys.exit(KEPT if all(r.kept for r in ours) else BROKEN)


@bed.command()
@click.argument("file")
@click.option("--budget", type=click.IntRange(1), default=100, show_default=True, help="worlds to draw")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--jobs", type=click.IntRange(1), help="runs beside each other")
@click.option("--out", type=click.Path(file_okay=False), default="found", show_default=True)
def search(file: str, budget: int, seed: int, jobs: int | None, out: str) -> None:
    """Draw worlds round the file, keep the worst, and shrink a broken rule to a small file that replays it."""
    from lupinreach.bed.commands.search import search as look
    from lupinreach.bed.commands.search import size

    world = world_of(file)
    broken, worst = look(world, budget, seed, jobs, lambda text: told.print(text))
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    files = []
    for i, found in enumerate([broken] if broken else worst):
        path = folder / f"{world.name}-{'broken' if broken else f'worst-{i + 1}'}.toml"
        path.write_text(spec.to_toml(found.world))
        files.append(str(path))
        told.print(f"{path}: {size(found.world)}, service {found.result.figures['service']:.3f}")
    print(
        json.dumps(
            {
                "verdict": "broken" if broken else "kept",
                "budget": budget,
                "files": files,
                "breach": broken.result.violations[0].name if broken else None,
            }
        )
    )
    sys.exit(BROKEN if broken else KEPT)


def _tell_breaches(results: list[experiment.Result]) -> None:
    for r in results:
        for b in r.violations[:MOST_TOLD]:
            told.print(f"seed {r.seed} at {b.at:.0f} ms: {b.rule}: {b.name}: {b.what}", markup=False)


class _progress:
    """A bar on a terminal, nothing elsewhere; to be called with the ms that have been played."""

    def __init__(self, what: str, total: float) -> None:
        self._bar = Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            TextColumn("{task.percentage:>3.0f}%"),
            TimeElapsedColumn(),
            console=told,
            transient=True,
            disable=not told.is_terminal,
        )
        self._task = self._bar.add_task(what, total=total)

    def __enter__(self) -> Callable[[float], None]:
        self._bar.__enter__()
        return lambda ms: self._bar.update(self._task, completed=ms)

    def __exit__(self, *how: Any) -> None:
        self._bar.__exit__(*how)
