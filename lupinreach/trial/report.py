"""The HTML report of a trial: served and possible value, attempts, registry messages, and a table of all seeds."""

from __future__ import annotations

import html
from pathlib import Path
from typing import Any

import matplotlib.pyplot as plt

from lupinreach.bed.commands.report import STYLE, render_svg, time_plot
from lupinreach.trial.play import TrialRun
from lupinreach.trial.spec import Trial


def write(folder: Path, trial: Trial, runs: list[TrialRun]) -> Path:
    """Writes the report of a trial, with plots of the first run, and returns its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"trial-{trial.world.name}.html"
    path.write_text(page(trial, runs), encoding="utf-8")
    return path


def page(trial: Trial, runs: list[TrialRun]) -> str:
    """The report as HTML."""
    troubles = [
        (t.kind, t.at / 1000, (t.at + t.length) / 1000)
        for t in trial.world.troubles
        if t.length < trial.world.length
    ]
    troubles = list(dict.fromkeys(troubles))[:12]
    rows = runs[0].seconds
    figures: list[tuple[str, str, Any]] = []
    figure, area = time_plot(troubles, "billed value x ms of work a second")
    seconds = range(len(rows))
    area.fill_between(seconds, [s.asked for s in rows], step="post", color="#e4e4e4", label="asked")
    area.fill_between(seconds, [s.possible for s in rows], step="post", color="#b8d0e8", label="possible")
    area.step(seconds, [s.served for s in rows], where="post", color="#2a5f9e", label="served")
    area.legend(loc="lower right")
    figures.append(("Served, possible, asked", "By the second in which the first try was sent.", figure))
    figure, area = time_plot(troubles, "attempts per second")
    area.step(seconds, [s.shots for s in rows], where="post", label="sent", color="#2a7f62")
    area.step(
        seconds, [s.wasted for s in rows], where="post", label="answer reached no client", color="#c04040"
    )
    area.legend(loc="upper right")
    figures.append(("Shots", "To backends, by the second in which they were sent.", figure))
    figure, area = time_plot(troubles, "per second")
    area.step(seconds, [s.queries for s in rows], where="post", color="#806040")
    figures.append(("Registry messages", "Lists and list changes sent, over the whole fleet.", figure))
    names = list(runs[0].recovery.to_dict())
    head = "".join(f"<th>{html.escape(n)}</th>" for n in ("seed", "verdict", *names))
    body = "".join(
        f"<tr><td>{run.result.seed}</td><td class='{'' if run.result.kept else 'broken'}'>{run.verdict}</td>"
        + "".join(f"<td>{v}</td>" for v in run.recovery.to_dict().values())
        + "</tr>"
        for run in runs
    )
    broken = "".join(
        f"<li>seed {run.result.seed}, {b.at:.0f} ms: {html.escape(b.name)}: {html.escape(b.what)}</li>"
        for run in runs
        for b in run.result.violations[:5]
    )
    plots = "".join(
        f"<h2>{title}</h2><p>{caption}</p>{render_svg(figure)}" for title, caption, figure in figures
    )
    plt.close("all")
    return (
        f"<!doctype html><html lang='en'><meta charset='utf-8'><title>{html.escape(trial.world.name)}</title>"
        f"<style>{STYLE}</style><h1>{html.escape(trial.world.name)}</h1>"
        f"<p>Simulated backends, clients and network. Recovery is measured from {trial.since / 1000:g} s on.</p>"
        f"<table><tr>{head}</tr>{body}</table><ul>{broken}</ul>{plots}</html>"
    )
