"""A self-contained HTML page about a run, made from its ledger: plots over time and the verdict."""

from __future__ import annotations

import html
import io
from collections import defaultdict
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
import matplotlib.pyplot as plt
import numpy as np

from lupinreach.bed.commands.experiment import Result
from lupinreach.bed.judging import service
from lupinreach.bed.world.ledger import Record
from lupinreach.bed.world.spec import World

SECOND_MS = 1000.0
COLOURS = {
    "fulfilled": "#2a7f62",
    "rate-limited": "#e0a030",
    "errored": "#c04040",
    "left": "#7a3f8f",
    "lost": "#606060",
    "none": "#202020",
}
MAX_BACKEND_ROWS = 60  # backends that a heat map shows
STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:70em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse}td,th{border-bottom:1px solid #ccc;padding:.2em .8em;text-align:left}
.broken{color:#b00020;font-weight:bold}svg{max-width:100%;height:auto}"""


def write(folder: Path, world: World, result: Result, records: list[Record]) -> Path:
    """Writes the page of a run into the folder and returns its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{world.name}-{world.policy}-{result.seed}.html"
    path.write_text(page(world, result, records), encoding="utf-8")
    return path


def page(world: World, result: Result, records: list[Record]) -> str:
    """Renders the page of a run as HTML."""
    calls = list(service.calls(world, records).values())
    troubles = _troubles(records)
    figures = [
        (
            "Service over time",
            "Share of the billed value asked for in each second that was answered within its SLO.",
            _service(calls, troubles),
        ),
        (
            "Latency",
            "Of fulfilled API calls, by the second in which they were asked.",
            _latency(calls, troubles),
        ),
        (
            "In flight by backend",
            "API calls that each backend holds, in work or waiting, sampled each second.",
            _map(records, "load", "in flight", lambda r: [(r[2], r[3] + r[4])]),
        ),
        (
            "Pool by backend",
            "Share of agents that have the backend in every pool.",
            _map(records, "pools", "share of agents", lambda r: [(b, n / world.agents) for b, n in r[2]]),
        ),
        ("Answers by kind", "API calls a second by how they ended.", _answers(calls, troubles)),
    ]
    rules = "".join(
        f"<tr><td>{rule}</td><td class='{'' if verdict == 'kept' else 'broken'}'>{html.escape(verdict)}</td></tr>"
        for rule, verdict in result.rules.items()
    )
    summary = {
        "agents": world.agents,
        "backends": world.backend_count,
        "policy": world.policy,
        "seed": result.seed,
        **{k: v for k, v in result.figures.items() if not isinstance(v, dict)},
        **{f"latency {k}": f"{v} ms" for k, v in result.figures["latency_ms"].items()},
        "digest": result.digest,
    }
    rows = "".join(
        f"<tr><td>{html.escape(k)}</td><td>{html.escape(str(v))}</td></tr>" for k, v in summary.items()
    )
    first = "".join(
        f"<li>{b.at:.0f} ms: {html.escape(b.name)}: {html.escape(b.what)}</li>"
        for b in result.violations[:20]
    )
    plots = "".join(f"<h2>{title}</h2><p>{words}</p>{svg}" for title, words, svg in figures if svg)
    return (
        f"<!doctype html><html lang='en'><meta charset='utf-8'><title>{html.escape(world.name)}</title>"
        f"<style>{STYLE}</style><h1>{html.escape(world.name)}</h1>"
        f"<p>Simulated backends, clients and network; figures are of this model and no real machines.</p>"
        f"<table>{rules}</table><ul>{first}</ul><table>{rows}</table>{plots}</html>"
    )


def _troubles(records: list[Record]) -> list[tuple[str, float, float]]:
    """Kind, begin and end in s of each trouble that ended."""
    open_troubles: dict[int, tuple[str, float]] = {}
    found = []
    for r in records:
        if r[0] == "trouble":
            if r[4] == "begins":
                open_troubles[r[2]] = r[3], r[1] / 1e6
            elif r[2] in open_troubles:
                kind, at = open_troubles.pop(r[2])
                found.append((kind, at, r[1] / 1e6))
    return found


def render_svg(figure: Any) -> str:
    """Renders a figure as an SVG element and closes it."""
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", bbox_inches="tight")
    plt.close(figure)
    document = buffer.getvalue()
    return document[document.index("<svg") :]


def time_plot(troubles: list[tuple[str, float, float]], label: str, height: float = 2.6) -> tuple[Any, Any]:
    """Creates a figure with time in s on the x axis and shaded periods of trouble."""
    figure, axes = plt.subplots(figsize=(10, height))
    for i, (kind, begin, end) in enumerate(troubles):
        axes.axvspan(begin, end, color="#d8c8a8", alpha=0.45, lw=0)
        axes.text(begin, 1.01 + 0.07 * (i % 3), kind, fontsize=8, transform=axes.get_xaxis_transform())
    axes.set_xlabel("s")
    axes.set_ylabel(label)
    axes.grid(alpha=0.3)
    return figure, axes


def _by_second(calls: list[service.CallOutcome]) -> dict[int, list[service.CallOutcome]]:
    found: dict[int, list[service.CallOutcome]] = defaultdict(list)
    for call in calls:
        found[int(call.at // SECOND_MS)].append(call)
    return dict(sorted(found.items()))


def _service(calls: list[service.CallOutcome], troubles: list[tuple[str, float, float]]) -> str:
    seconds = _by_second(calls)
    figure, axes = time_plot(troubles, "share")
    axes.step(
        list(seconds), [service.share(members) for members in seconds.values()], where="post", color="#2a5f9e"
    )
    axes.set_ylim(0, 1.02)
    return render_svg(figure)


def _latency(calls: list[service.CallOutcome], troubles: list[tuple[str, float, float]]) -> str:
    seconds = {
        s: [c.latency_ms for c in members if c.latency_ms >= 0] for s, members in _by_second(calls).items()
    }
    seconds = {s: members for s, members in seconds.items() if members}
    if not seconds:
        return ""
    figure, axes = time_plot(troubles, "ms")
    for share, colour in ((50, "#2a7f62"), (90, "#e0a030"), (99, "#c04040")):
        axes.plot(
            list(seconds),
            [np.percentile(members, share) for members in seconds.values()],
            label=f"p{share}",
            color=colour,
        )
    axes.legend(loc="upper right")
    axes.set_ylim(bottom=0)
    return render_svg(figure)


def _answers(calls: list[service.CallOutcome], troubles: list[tuple[str, float, float]]) -> str:
    seconds = _by_second(calls)
    figure, axes = time_plot(troubles, "API calls a second")
    below = np.zeros(len(seconds))
    for ending, colour in COLOURS.items():
        counts = np.array(
            [sum(c.outcome == ending for c in asked) for asked in seconds.values()], dtype=float
        )
        if counts.any():
            axes.bar(list(seconds), counts, bottom=below, width=1.0, align="edge", label=ending, color=colour)
            below += counts
    axes.legend(loc="upper right")
    return render_svg(figure)


def _map(records: list[Record], kind: str, label: str, read: Any) -> str:
    cells: dict[tuple[int, int], float] = {}
    for r in records:
        if r[0] == kind:
            for backend, value in read(r):
                cells[backend, int(r[1] // 1_000_000)] = value
    if not cells:
        return ""
    backends = sorted({b for b, _ in cells})[:MAX_BACKEND_ROWS]
    last = max(s for _, s in cells)
    table = np.full((len(backends), last + 1), np.nan)
    rows = {b: i for i, b in enumerate(backends)}
    for (b, s), value in cells.items():
        if b in rows:
            table[rows[b], s] = value
    figure, axes = plt.subplots(figsize=(10, 1.2 + 0.14 * len(backends)))
    image = axes.imshow(table, aspect="auto", interpolation="nearest", cmap="viridis", vmin=0)
    figure.colorbar(image, ax=axes, label=label)
    axes.set_xlabel("s")
    axes.set_ylabel("backend")
    return render_svg(figure)
