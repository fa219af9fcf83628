"""The commands of `lupinreach trial`."""

from __future__ import annotations

import json
import sys
from dataclasses import replace
from pathlib import Path

import click
from rich.table import Table

from lupinreach.bed.commands.cli import (
    EXIT_BROKEN,
    EXIT_KEPT,
    MAX_PRINTED_VIOLATIONS,
    exit_with_usage_error,
    lupinreach,
    stderr_console,
)
from lupinreach.bed.ways.policies import POLICIES
from lupinreach.bed.ways.stopping import EXIT_STOPPED
from lupinreach.config import BadConfig, read_agent
from lupinreach.trial import play, spec
from lupinreach.trial.play import Played
from lupinreach.trial.spec import Trial

UNSURE = 3  # exit code: no verdict can be given
MODES = {"virtual": "virtual", "processes": "loopback"}  # as the world's mode has them


def trial_of(file: str, seed: tuple[int, ...], policy: str | None = None, mode: str | None = None) -> Trial:
    try:
        found = spec.read_file(file)
    except BadConfig as wrong:
        exit_with_usage_error(wrong)
    world = replace(
        found.world,
        seeds=seed or found.world.seeds,
        policy=policy or found.world.policy,
        mode=MODES[mode] if mode else found.world.mode,
    )
    if world.mode != "virtual":
        from lupinreach.trial.rig.stage import fits

        if why := fits(world):
            exit_with_usage_error(why)
    return replace(found, world=world)


@lupinreach.command("check-config")
@click.argument("file")
def check_config(file: str) -> None:
    """Read a configuration (an agent's JSON, or the TOML of a world or a trial) and name the faulty key."""
    try:
        if file.endswith(".json"):
            config = read_agent({"PROXY_CONFIG": file})
            print(f"{file}: good; agent {config.name}, {len(config.settings.products)} products")
        else:
            found = spec.read_file(file)
            world = found.world
            print(
                f"{file}: good; world {world.name}, {world.agents} agents, {world.backend_count} backends, "
                f"{len(world.troubles)} troubles"
            )
    except BadConfig as wrong:
        exit_with_usage_error(wrong)


@lupinreach.group()
def trial() -> None:
    """Trials: parts of a whole fleet fail; is what is possible served, and are the rules kept?"""


@trial.command("list")
def list_trials() -> None:
    """The trials that come with it."""
    for path in sorted(spec.TRIALS.glob("*.toml")):
        print(f"{path.stem:24} {path.read_text(encoding='utf-8').splitlines()[0].lstrip('# ')}")


@trial.command()
@click.argument("file")
@click.option(
    "--seed", type=click.IntRange(0), multiple=True, help="in place of the file's; may be given again"
)
@click.option("--policy", type=click.Choice(list(POLICIES)))
@click.option("--mode", type=click.Choice(list(MODES)), help="in virtual time, or with every part a process")
@click.option("--jobs", type=click.IntRange(1), help="runs beside each other")
@click.option("--json", "out", type=click.Path(dir_okay=False), help="write every run's figures to a file")
@click.option("--report", type=click.Path(file_okay=False), help="write a page with plots of the first seed")
def run(
    file: str,
    seed: tuple[int, ...],
    policy: str | None,
    mode: str | None,
    jobs: int | None,
    out: str | None,
    report: str | None,
) -> None:
    """Play a trial; ends with one line of JSON.

    Exit 0: rules kept, 1: one broken or less than expected, 2: a bad file, 3: unsure, 130: stopped.
    """
    one = trial_of(file, seed, policy, mode)
    played: list[Played] = []

    def done(p: Played) -> None:
        played.append(p)
        stderr_console.print(_line(p) + (" (stopped)" if p.stopped else ""), markup=False)

    stopped = False
    try:
        play.run_many([(one, s) for s in one.world.seeds], jobs, done)
    except KeyboardInterrupt:
        stopped = True
        stderr_console.print(f"stopped after {len(played)} of {len(one.world.seeds)} runs")
    for p in played:
        for b in p.result.violations[:MAX_PRINTED_VIOLATIONS]:
            stderr_console.print(
                f"seed {p.result.seed} at {b.at:.0f} ms: {b.rule}: {b.name}: {b.what}", markup=False
            )
        for line in p.missed:
            stderr_console.print(f"seed {p.result.seed}: {line}", markup=False)
    if not played:
        print(
            json.dumps(
                {"trial": one.world.name, "verdict": "stopped" if stopped else play.UNSURE, "seeds": []}
            )
        )
        sys.exit(EXIT_STOPPED if stopped else UNSURE)
    if out:
        rows = [
            {
                "seed": p.result.seed,
                "verdict": p.verdict,
                **p.recovery.plain(),
                "missed": p.missed,
                "seconds": [vars(s) for s in p.seconds],
                "rig": p.rig,
                "breaches": [vars(b) for b in p.result.violations],
            }
            for p in played
        ]
        Path(out).write_text(json.dumps({"trial": one.world.name, "runs": rows}, indent=1) + "\n")
    if report:
        from lupinreach.trial.report import write

        stderr_console.print(f"report: {write(Path(report), one, played)}")
    found = play.summary(one, played)
    print(json.dumps(found | ({"stopped": True} if stopped else {})))
    if stopped:
        sys.exit(EXIT_STOPPED)
    if found["verdict"] == play.UNSURE:
        sys.exit(UNSURE)
    sys.exit(EXIT_KEPT if found["verdict"] == play.KEPT and found["as_expected"] else EXIT_BROKEN)


@trial.command()
@click.argument("file")
@click.option("--against", type=click.Choice(list(POLICIES)), multiple=True, required=True)
@click.option("--seed", type=click.IntRange(0), multiple=True)
@click.option("--jobs", type=click.IntRange(1))
def compare(file: str, against: tuple[str, ...], seed: tuple[int, ...], jobs: int | None) -> None:
    """The same seeds under two policies or more."""
    one = trial_of(file, seed)
    found = play.compare(one, list(dict.fromkeys([one.world.policy, *against])), one.world.seeds, jobs)
    table = Table(box=None)
    for column in ("policy", "first 10 s", "first 20 s", "whole", "back after s", "cold load", "rules"):
        table.add_column(column, justify="left" if column in ("policy", "rules") else "right")
    lines = {}
    for name, runs in found.items():
        lines[name] = total = play.summary(replace(one, world=replace(one.world, policy=name)), runs)
        table.add_row(
            name,
            *(f"{total[k]:.3f}" for k in ("first_10s", "first_20s", "whole")),
            str(total["back_after_s"]),
            f"{total['cold_load']:.2f}",
            total["verdict"],
        )
    stderr_console.print(table)
    keep = ("verdict", "first_10s", "first_20s", "whole", "back_after_s", "cold_load", "service")
    print(
        json.dumps(
            {
                "trial": one.world.name,
                "seeds": list(one.world.seeds),
                "policies": {name: {k: total[k] for k in keep} for name, total in lines.items()},
            }
        )
    )
    sys.exit(EXIT_KEPT if lines[one.world.policy]["verdict"] == play.KEPT else EXIT_BROKEN)


@trial.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--histories", type=click.IntRange(0), default=100, help="so many in all, those in the file among them"
)
@click.option("--seed", type=click.IntRange(0), default=1, help="of the whole campaign")
@click.option("--plain", is_flag=True, help="draw all of them with no look at what was reached")
@click.option(
    "--processes",
    type=click.FloatRange(0.0, 1.0),
    default=0.0,
    help="this share again with every part a process",
)
@click.option(
    "--shrink",
    "most",
    type=click.IntRange(0),
    default=0,
    help="shrink what breaks something, and the worst, so many in all",
)
@click.option("--jobs", type=click.IntRange(1), help="histories beside each other")
@click.option(
    "--report",
    type=click.Path(file_okay=False),
    help="write a page, and the files of what was shrunk, to a folder",
)
def campaign(
    file: str,
    histories: int,
    seed: int,
    plain: bool,
    processes: float,
    most: int,
    jobs: int | None,
    report: str | None,
) -> None:
    """Draw whole-fleet failures, play and judge them, and keep all of it in FILE; a campaign that was stopped goes on.

    Ends with one line of JSON. Exit 0: no rule broken and no bound passed, 1: one was, 2: a bad file, 130: stopped.
    """
    from lupinreach.trial.campaign import hunt, page
    from lupinreach.trial.campaign.book import Book, NoBook

    try:
        book = Book(Path(file), seed)
    except NoBook as wrong:
        exit_with_usage_error(BadConfig(str(wrong)))
    one = hunt.Campaign(
        book, seed, 0.0 if plain else hunt.GUIDED, lambda text: stderr_console.print(text, markup=False)
    )
    stopped = False
    try:
        one.play(histories, jobs)
        if processes:
            one.again(processes)
        if most:
            one.shrink(most, Path(report or Path(file).parent))
    except KeyboardInterrupt:
        stopped = True
    if report:
        stderr_console.print(f"report: {page.write(Path(report), book)}")
    found = page.summary(book)
    print(json.dumps(found | ({"stopped": True} if stopped else {})))
    broken = found["broken"] or found["passed"] or found["broken_with_processes"]
    sys.exit(EXIT_STOPPED if stopped else EXIT_BROKEN if broken else EXIT_KEPT)


def _line(p: Played) -> str:
    r = p.recovery
    return (
        f"seed {p.result.seed}: {p.verdict}, served over possible {r.first_10s:.3f} in the first 10 s, "
        f"{r.first_20s:.3f} in the first 20, back after {r.back_after / 1000:.0f} s, "
        f"cold load {r.cold_load:.2f}{', ' + p.unsure if p.unsure else ''}"
    )
