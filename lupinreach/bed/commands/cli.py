"""The command line of `lupinreach`: options, output and exit codes of its commands."""

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
from lupinreach.bed.ways.stopping import EXIT_STOPPED
from lupinreach.bed.world import spec
from lupinreach.bed.world.spec import World
from lupinreach.config import BadConfig

EXIT_KEPT, EXIT_BROKEN, EXIT_USAGE = 0, 1, 2  # rules kept, a rule violated, invalid input
MAX_PRINTED_VIOLATIONS = 10  # printed to standard error per run

stderr_console = Console(stderr=True, highlight=False)


def exit_with_usage_error(reason: object) -> NoReturn:
    """Prints why the input is invalid and exits with EXIT_USAGE."""
    print(f"lupinreach: {reason}", file=sys.stderr)
    sys.exit(EXIT_USAGE)


def load_world(
    file: str, seed: tuple[int, ...] = (), mode: str | None = None, policy: str | None = None
) -> World:
    """Reads a world by name or path and replaces seeds, mode and policy where given; exits if it is invalid."""
    try:
        world = spec.read_file(file)
    except BadConfig as error:
        exit_with_usage_error(error)
    world = replace(world, seeds=seed or world.seeds, mode=mode or world.mode, policy=policy or world.policy)
    if world.mode == "loopback" and world.fault:
        exit_with_usage_error("fault: can be planted in virtual time only")
    return world


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def lupinreach() -> None:
    """A client-side load balancer and its test bed."""


@lupinreach.command()
def agent() -> None:
    """Run the agent; PROXY_CONFIG names its configuration."""
    from lupinreach.__main__ import serve

    sys.exit(serve())


@lupinreach.command("logs")
@click.argument("files", nargs=-1, required=True, type=click.Path())
def read_logs(files: tuple[str, ...]) -> None:
    """Summarise the logs of a fleet's agents, from any number of files, as one JSON object."""
    from lupinreach import logs

    try:
        fleet = logs.read([Path(file).read_bytes().splitlines() for file in files])
    except OSError as error:
        exit_with_usage_error(f"{error.filename}: {error.strerror}")
    if not fleet.runs:
        exit_with_usage_error(f"{', '.join(files)}: no line of an agent's log in it")
    found = logs.summary(fleet)
    table = Table(box=None)
    for column in ("group", "what", "count", "share"):
        table.add_column(column, justify="left" if column in ("group", "what") else "right")
    for group in (*logs.COUNTER_GROUPS, "events"):
        total = sum(found[group].values()) or 1
        for what, count in sorted(found[group].items(), key=lambda pair: -pair[1]):
            table.add_row(group, what, str(count), f"{count / total:.1%}")
    stderr_console.print(table)
    print(json.dumps(found))


@lupinreach.group("fleet")
def fleet_group() -> None:
    """Inspect what the agents of a fleet know of each other."""


@fleet_group.command("show")
@click.argument("doors", nargs=-1, required=True)
def fleet_show(doors: tuple[str, ...]) -> None:
    """Query the agents at DOORS (host:port for operators); exit 1 if two disagree or one doesn't answer."""
    from lupinreach.fleet import show

    for endpoint in doors:
        if not endpoint.rpartition(":")[2].isdecimal():
            exit_with_usage_error(f"{endpoint}: a door is host:port")
    with ThreadPoolExecutor(min(32, len(doors))) as pool:
        responses = dict(zip(doors, pool.map(show.fetch, doors), strict=True))
    states = {endpoint: found for endpoint, found in responses.items() if isinstance(found, dict)}
    unreachable = {endpoint: reason for endpoint, reason in responses.items() if isinstance(reason, str)}
    table = Table(box=None)
    for column in show.COLUMNS:
        table.add_column(column)
    for endpoint, found in states.items():
        table.add_row(endpoint, *show.row(found))
    stderr_console.print(table)
    for endpoint, reason in unreachable.items():
        stderr_console.print(f"{endpoint}: {reason}")
    conflicts = show.disagreements(states) if states else []
    for line in conflicts:
        stderr_console.print(line)
    print(json.dumps({"agents": states, "silent": unreachable, "disagreements": conflicts}))
    sys.exit(EXIT_BROKEN if conflicts or unreachable else EXIT_KEPT)


@lupinreach.command()
@click.option("--seconds", type=click.FloatRange(3, 3600), default=20.0, show_default=True)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
def demo(seconds: float, seed: int) -> None:
    """Run agents, simulated backends, a registry and clients on loopback, with a trouble after some seconds."""
    from lupinreach.bed.commands.demo import demo as run_demo

    world = load_world("demo")
    scale = seconds * 1000 / world.length
    world = replace(
        world,
        length=seconds * 1000,
        troubles=tuple(replace(t, at=t.at * scale, length=t.length * scale) for t in world.troubles),
    )
    console = Console(highlight=False)
    result, stopped = run_demo(world, seed, console)
    _print_violations([result])
    if stopped:
        stderr_console.print("stopped: this is what was seen so far")
    print(json.dumps(experiment.summary(world, [result]) | ({"stopped": True} if stopped else {})))
    sys.exit(EXIT_STOPPED if stopped else EXIT_KEPT if result.kept else EXIT_BROKEN)


@lupinreach.group()
def bed() -> None:
    """Play a world, compare policies on it, or search its variants."""


@bed.command("list")
def list_worlds() -> None:
    """List the built-in worlds."""
    for path in sorted(spec.WORLDS_DIR.glob("*.toml")):
        print(path.stem)


@bed.command()
@click.argument("file")
@click.option("--seed", type=click.IntRange(0), multiple=True, help="instead of the file's; may be repeated")
@click.option("--mode", type=click.Choice(list(spec.MODES)))
@click.option("--policy", type=click.Choice(list(POLICIES)))
@click.option(
    "--json", "out", type=click.Path(dir_okay=False), help="write the metrics of every run to a file"
)
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
    """Play a world; ends with one line of JSON. Exit 0: rules kept, 1: a rule broken, 2: invalid file."""
    world = load_world(file, seed, mode, policy)
    results, stopped = [], False
    for number, one in enumerate(world.seeds):
        with _ProgressBar(f"seed {one}", world.length) as progress:
            played = experiment.play(world, one, progress)
        result = experiment.judge(world, one, played)
        results.append(result)
        stopped = played.stopped
        if ledger and not number:
            played.save(Path(ledger))
        if report:
            from lupinreach.bed.commands.report import write

            stderr_console.print(f"report: {write(Path(report), world, result, played.records)}")
        if stopped:
            stderr_console.print(f"stopped in run {number + 1} of {len(world.seeds)}")
            break
    _print_violations(results)
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
    sys.exit(EXIT_STOPPED if stopped else EXIT_KEPT if all(r.kept for r in results) else EXIT_BROKEN)


@bed.command()
@click.argument("file")
@click.option("--against", type=click.Choice(list(POLICIES)), multiple=True, required=True)
@click.option("--seed", type=click.IntRange(0), multiple=True)
@click.option("--jobs", type=click.IntRange(1), help="parallel runs")
def compare(file: str, against: tuple[str, ...], seed: tuple[int, ...], jobs: int | None) -> None:
    """Compare two or more policies on the same seeds: the difference and its standard error."""
    world = load_world(file, seed)
    found = experiment.compare(world, list(against), jobs)
    table = Table(box=None)
    for column in ("policy", "service", "worst 10 s", "p99 ms", "rules", "ours less this", "noise"):
        table.add_column(column, justify="left" if column in ("policy", "rules") else "right")
    own_results, lines = found[world.policy], {}
    for name, results in found.items():
        total = experiment.summary(replace(world, policy=name), results)
        service_difference = experiment.difference(own_results, results, "service")
        worst_difference = experiment.difference(own_results, results, "service_worst_10s")
        table.add_row(
            name,
            f"{total['service']:.4f}",
            f"{total['service_worst_10s']:.4f}",
            f"{total['latency_ms']['p99']:.0f}",
            total["verdict"],
            "" if results is own_results else f"{service_difference.mean:+.4f}",
            "" if results is own_results else f"{service_difference.noise:.4f}",
        )
        lines[name] = {
            "service": total["service"],
            "service_worst_10s": total["service_worst_10s"],
            "verdict": total["verdict"],
            "difference": round(service_difference.mean, 4),
            "noise": round(service_difference.noise, 4),
            "difference_worst_10s": round(worst_difference.mean, 4),
            "noise_worst_10s": round(worst_difference.noise, 4),
        }
    stderr_console.print(table)
    print(json.dumps({"world": world.name, "seeds": [r.seed for r in own_results], "policies": lines}))
    sys.exit(EXIT_KEPT if all(r.kept for r in own_results) else EXIT_BROKEN)


@bed.command()
@click.argument("file")
@click.option("--budget", type=click.IntRange(1), default=100, show_default=True, help="variants to draw")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--jobs", type=click.IntRange(1), help="parallel runs")
@click.option("--out", type=click.Path(file_okay=False), default="found", show_default=True)
def search(file: str, budget: int, seed: int, jobs: int | None, out: str) -> None:
    """Draw variants of a world, keep the worst, and shrink a violation to a small file that reproduces it."""
    from lupinreach.bed.commands.search import search as run_search
    from lupinreach.bed.commands.search import size

    world = load_world(file)
    broken, worst = run_search(world, budget, seed, jobs, lambda text: stderr_console.print(text))
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    files = []
    for i, found in enumerate([broken] if broken else worst):
        path = folder / f"{world.name}-{'broken' if broken else f'worst-{i + 1}'}.toml"
        path.write_text(spec.to_toml(found.world))
        files.append(str(path))
        stderr_console.print(f"{path}: {size(found.world)}, service {found.result.figures['service']:.3f}")
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
    sys.exit(EXIT_BROKEN if broken else EXIT_KEPT)


def _print_violations(results: list[experiment.Result]) -> None:
    for r in results:
        for b in r.violations[:MAX_PRINTED_VIOLATIONS]:
            stderr_console.print(
                f"seed {r.seed} at {b.at:.0f} ms: {b.rule}: {b.name}: {b.what}", markup=False
            )


class _ProgressBar:
    """A progress bar on a terminal, nothing elsewhere; call it with the ms that have been played."""

    def __init__(self, what: str, total: float) -> None:
        self._bar = Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            TextColumn("{task.percentage:>3.0f}%"),
            TimeElapsedColumn(),
            console=stderr_console,
            transient=True,
            disable=not stderr_console.is_terminal,
        )
        self._task = self._bar.add_task(what, total=total)

    def __enter__(self) -> Callable[[float], None]:
        self._bar.__enter__()
        return lambda ms: self._bar.update(self._task, completed=ms)

    def __exit__(self, *exc_info: Any) -> None:
        self._bar.__exit__(*exc_info)
