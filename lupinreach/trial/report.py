"""A trial's page: served over possible, shots, list queries, and a table of all seeds."""

from __future__ import annotations

import html
from pathlib import Path
from typing import Any

import matplotlib.pyplot as plt

from lupinreach.bed.commands.report import STYLE, render_svg, time_plot
from lupinreach.trial.play import Played
from lupinreach.trial.spec import Trial


def write(folder: Path, trial: Trial, played: list[Played]) -> Path:
    """Write the page of a trial, plots of the first run given; its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"trial-{trial.world.name}.html"
    path.write_text(page(trial, played), encoding="utf-8")
    return path


def page(trial: Trial, played: list[Played]) -> str:
    troubles = [
        (t.kind, t.at / 1000, (t.at + t.length) / 1000)
        for t in trial.world.troubles
        if t.length < trial.world.length
    ]
    troubles = list(dict.fromkeys(troubles))[:12]
    rows = played[0].seconds
    figures: list[tuple[str, str, Any]] = []
    figure, area = time_plot(troubles, "billed value x ms of work a second")
    at = range(len(rows))
    area.fill_between(at, [s.asked for s in rows], step="post", color="#e4e4e4", label="asked")
    area.fill_between(at, [s.possible for s in rows], step="post", color="#b8d0e8", label="possible")
    area.step(at, [s.served for s in rows], where="post", color="#2a5f9e", label="served")
    area.legend(loc="lower right")
    figures.append(("Served, possible, asked", "By the second in which the first try was asked.", figure))
    figure, area = time_plot(troubles, "shots a second")
    area.step(at, [s.shots for s in rows], where="post", label="sent", color="#2a7f62")
    area.step(at, [s.wasted for s in rows], where="post", label="no client got its answer", color="#c04040")
    area.legend(loc="upper right")
    figures.append(("Shots", "To backends, by the second in which they were sent.", figure))
    figure, area = time_plot(troubles, "a second")
    area.step(at, [s.queries for s in rows], where="post", color="#806040")
    figures.append(("Words of the registry", "Lists and changes told, over the fleet.", figure))
    names = list(played[0].recovery.plain())
    head = "".join(f"<th>{html.escape(n)}</th>" for n in ("seed", "verdict", *names))
    body = "".join(
        f"<tr><td>{p.result.seed}</td><td class='{'' if p.result.kept else 'broken'}'>{p.verdict}</td>"
        + "".join(f"<td>{v}</td>" for v in p.recovery.plain().values())
        + "</tr>"
        for p in played
    )
    broken = "".join(
        f"<li>seed {p.result.seed}, {b.at:.0f} ms: {html.escape(b.name)}: {html.escape(b.what)}</li>"
        for p in played
        for b in p.result.violations[:5]
    )
    plots = "".join(f"<h2>{title}</h2><p>{words}</p>{render_svg(figure)}" for title, words, figure in figures)
    plt.close("all")
    return (
        f"<!doctype html><html lang='en'><meta charset='utf-8'><title>{html.escape(trial.world.name)}</title>"
        f"<style>{STYLE}</style><h1>{html.escape(trial.world.name)}</h1>"
        f"<p>Simulated backends, clients and network. Recovery counts from {trial.since / 1000:g} s on.</p>"
        f"<table><tr>{head}</tr>{body}</table><ul>{broken}</ul>{plots}</html>"
    )
