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
from lupinreach.trial.play import TrialRun
from lupinreach.trial.spec import Trial

EXIT_UNSURE = 3  # exit code when no verdict can be given
WORLD_MODES = {"virtual": "virtual", "processes": "loopback"}  # world mode for each choice of --mode


def load_trial(file: str, seed: tuple[int, ...], policy: str | None = None, mode: str | None = None) -> Trial:
    """Reads a trial and applies the options; exits with an error if it can't be run so."""
    try:
        result = spec.read_file(file)
    except BadConfig as error:
        exit_with_usage_error(error)
    world = replace(
        result.world,
        seeds=seed or result.world.seeds,
        policy=policy or result.world.policy,
        mode=WORLD_MODES[mode] if mode else result.world.mode,
    )
    if world.mode != "virtual":
        from lupinreach.trial.rig.stage import unsupported_reason

        if reason := unsupported_reason(world):
            exit_with_usage_error(reason)
    return replace(result, world=world)


@lupinreach.command("check-config")
@click.argument("file")
def check_config(file: str) -> None:
    """Check a configuration (the JSON of an agent, or the TOML of a world or trial) and name the faulty key."""
    try:
        if file.endswith(".json"):
            config = read_agent({"PROXY_CONFIG": file})
            print(f"{file}: good; agent {config.name}, {len(config.settings.products)} products")
        else:
            result = spec.read_file(file)
            world = result.world
            print(
                f"{file}: good; world {world.name}, {world.agents} agents, {world.backend_count} backends, "
                f"{len(world.troubles)} troubles"
            )
    except BadConfig as error:
        exit_with_usage_error(error)


@lupinreach.group()
def trial() -> None:
    """Trials: run a whole fleet while parts of it fail, measure its service and check the rules."""


@trial.command("list")
def list_trials() -> None:
    """List the packaged trials."""
    for path in sorted(spec.TRIALS_DIR.glob("*.toml")):
        print(f"{path.stem:24} {path.read_text(encoding='utf-8').splitlines()[0].lstrip('# ')}")


@trial.command()
@click.argument("file")
@click.option(
    "--seed", type=click.IntRange(0), multiple=True, help="replaces the seeds of the file; can be repeated"
)
@click.option("--policy", type=click.Choice(list(POLICIES)))
@click.option("--mode", type=click.Choice(list(WORLD_MODES)), help="in virtual time, or with real processes")
@click.option("--jobs", type=click.IntRange(1), help="number of parallel runs")
@click.option(
    "--json", "out", type=click.Path(dir_okay=False), help="write the metrics of every run to a file"
)
@click.option(
    "--report", type=click.Path(file_okay=False), help="write an HTML report with plots of the first seed"
)
def run(
    file: str,
    seed: tuple[int, ...],
    policy: str | None,
    mode: str | None,
    jobs: int | None,
    out: str | None,
    report: str | None,
) -> None:
    """Run a trial; the last line of output is JSON.

    Exit 0: rules kept, 1: a rule broken or a metric not as expected, 2: bad file, 3: unsure, 130: stopped.
    """
    loaded = load_trial(file, seed, policy, mode)
    runs: list[TrialRun] = []

    def on_run(run_result: TrialRun) -> None:
        runs.append(run_result)
        stderr_console.print(
            _run_summary(run_result) + (" (stopped)" if run_result.stopped else ""), markup=False
        )

    stopped = False
    try:
        play.run_many([(loaded, s) for s in loaded.world.seeds], jobs, on_run)
    except KeyboardInterrupt:
        stopped = True
        stderr_console.print(f"stopped after {len(runs)} of {len(loaded.world.seeds)} runs")
    for run_result in runs:
        for v in run_result.result.violations[:MAX_PRINTED_VIOLATIONS]:
            stderr_console.print(
                f"seed {run_result.result.seed} at {v.at:.0f} ms: {v.rule}: {v.name}: {v.what}",
                markup=False,
            )
        for line in run_result.missed:
            stderr_console.print(f"seed {run_result.result.seed}: {line}", markup=False)
    if not runs:
        print(
            json.dumps(
                {"trial": loaded.world.name, "verdict": "stopped" if stopped else play.UNSURE, "seeds": []}
            )
        )
        sys.exit(EXIT_STOPPED if stopped else EXIT_UNSURE)
    if out:
        rows = [
            {
                "seed": run_result.result.seed,
                "verdict": run_result.verdict,
                **run_result.recovery.to_dict(),
                "missed": run_result.missed,
                "seconds": [vars(s) for s in run_result.seconds],
                "rig": run_result.rig,
                "breaches": [vars(v) for v in run_result.result.violations],
            }
            for run_result in runs
        ]
        Path(out).write_text(json.dumps({"trial": loaded.world.name, "runs": rows}, indent=1) + "\n")
    if report:
        from lupinreach.trial.report import write

        stderr_console.print(f"report: {write(Path(report), loaded, runs)}")
    result = play.summary(loaded, runs)
    print(json.dumps(result | ({"stopped": True} if stopped else {})))
    if stopped:
        sys.exit(EXIT_STOPPED)
    if result["verdict"] == play.UNSURE:
        sys.exit(EXIT_UNSURE)
    sys.exit(EXIT_KEPT if result["verdict"] == play.KEPT and result["as_expected"] else EXIT_BROKEN)


@trial.command()
@click.argument("file")
@click.option("--against", type=click.Choice(list(POLICIES)), multiple=True, required=True)
@click.option("--seed", type=click.IntRange(0), multiple=True)
@click.option("--jobs", type=click.IntRange(1))
def compare(file: str, against: tuple[str, ...], seed: tuple[int, ...], jobs: int | None) -> None:
    """Run the same seeds under two or more policies."""
    loaded = load_trial(file, seed)
    result = play.compare(
        loaded, list(dict.fromkeys([loaded.world.policy, *against])), loaded.world.seeds, jobs
    )
    table = Table(box=None)
    for column in ("policy", "first 10 s", "first 20 s", "whole", "back after s", "cold load", "rules"):
        table.add_column(column, justify="left" if column in ("policy", "rules") else "right")
    summaries = {}
    for name, runs in result.items():
        summaries[name] = total = play.summary(
            replace(loaded, world=replace(loaded.world, policy=name)), runs
        )
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
                "trial": loaded.world.name,
                "seeds": list(loaded.world.seeds),
                "policies": {name: {k: total[k] for k in keep} for name, total in summaries.items()},
            }
        )
    )
    sys.exit(EXIT_KEPT if summaries[loaded.world.policy]["verdict"] == play.KEPT else EXIT_BROKEN)


@trial.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--histories",
    type=click.IntRange(0),
    default=100,
    help="total number, including those already in the file",
)
@click.option("--seed", type=click.IntRange(0), default=1, help="seed of the whole campaign")
@click.option(
    "--plain", is_flag=True, help="generate every history independently, without guidance by coverage"
)
@click.option(
    "--processes",
    type=click.FloatRange(0.0, 1.0),
    default=0.0,
    help="share of the histories to repeat with real processes",
)
@click.option(
    "--shrink",
    "most",
    type=click.IntRange(0),
    default=0,
    help="minimize the histories with violations and the worst others, up to this number",
)
@click.option("--jobs", type=click.IntRange(1), help="number of parallel histories")
@click.option(
    "--report",
    type=click.Path(file_okay=False),
    help="write an HTML report and the minimized trials to a folder",
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
    """Generate, run and check whole-fleet failures, and store them in FILE; a stopped campaign is resumed.

    The last line of output is JSON. Exit 0: no rule broken and no bound exceeded, 1: one was, 2: bad file,
    130: stopped.
    """
    from lupinreach.trial.campaign import page, runner
    from lupinreach.trial.campaign.database import CampaignDatabase, InvalidDatabase

    try:
        database = CampaignDatabase(Path(file), seed)
    except InvalidDatabase as error:
        exit_with_usage_error(BadConfig(str(error)))
    active_campaign = runner.Campaign(
        database,
        seed,
        0.0 if plain else runner.GUIDED_SHARE,
        lambda text: stderr_console.print(text, markup=False),
    )
    stopped = False
    try:
        active_campaign.run(histories, jobs)
        if processes:
            active_campaign.run_with_processes(processes)
        if most:
            active_campaign.minimize(most, Path(report or Path(file).parent))
    except KeyboardInterrupt:
        stopped = True
    if report:
        stderr_console.print(f"report: {page.write(Path(report), database)}")
    result = page.summary(database)
    print(json.dumps(result | ({"stopped": True} if stopped else {})))
    broken = result["broken"] or result["passed"] or result["broken_with_processes"]
    sys.exit(EXIT_STOPPED if stopped else EXIT_BROKEN if broken else EXIT_KEPT)


def _run_summary(run_result: TrialRun) -> str:
    recovery = run_result.recovery
    return (
        f"seed {run_result.result.seed}: {run_result.verdict}, served over possible {recovery.first_10s:.3f} "
        f"in the first 10 s, {recovery.first_20s:.3f} in the first 20, back after {recovery.back_after / 1000:.0f} s, "
        f"cold load {recovery.cold_load:.2f}{', ' + run_result.unsure if run_result.unsure else ''}"
    )
