"""The HTML report of a campaign: coverage, violations, the worst histories and the recovery times."""

from __future__ import annotations

import html
from collections import Counter
from itertools import combinations
from math import inf
from pathlib import Path

import matplotlib.pyplot as plt

from lupinreach.bed.commands.report import STYLE, render_svg, time_plot
from lupinreach.fleet.recovery import Stage
from lupinreach.trial.campaign import generator
from lupinreach.trial.campaign.database import CampaignDatabase, History
from lupinreach.trial.campaign.runner import PROCESSES, VIRTUAL, recovery_ms, stays_down

TABLE_ROWS = 10  # in each table of the worst histories


def expected_features() -> frozenset[str]:
    """The features that a campaign should cover; the report lists those that no history covered."""
    kinds = sorted(kind for area in generator.TROUBLES_BY_AREA.values() for kind in area)
    pairs = {f"pair: {first} + {second}" for first, second in combinations(kinds, 2)}
    stages = {f"stage: {Stage(s).name.lower()} to {Stage(s + 1).name.lower()}" for s in range(Stage.FULL)}
    return frozenset(
        pairs
        | {f"silence: {s}" for s in ("fresh", "ageing", "alone")}
        | {f"self: {s}" for s in ("sound", "late", "deaf")}
        | stages
    )


def without_counts(feature_counts: Counter[str]) -> set[str]:
    """The features without how often they occurred, as `expected_features` names them."""
    return {
        feature
        if feature.startswith(("pair", "silence"))
        else ": ".join(feature.split(": ")[:2]).removesuffix(", superseded")
        for feature in feature_counts
    }


def quantiles(
    values: list[float], fractions: tuple[float, ...] = (0.5, 0.9, 0.99, 1.0)
) -> dict[str, float | None]:
    """The quantiles by name, None where one is infinite or there are no values."""
    ordered = sorted(values)
    return {
        f"p{100 * q:g}": None
        if not ordered or ordered[min(len(ordered) - 1, int(q * len(ordered)))] == inf
        else ordered[min(len(ordered) - 1, int(q * len(ordered)))]
        for q in fractions
    }


def summary(database: CampaignDatabase) -> dict[str, object]:
    """The totals of a campaign, printed as its last line."""
    simulated = list(database.histories(VIRTUAL))
    with_processes = list(database.histories(PROCESSES))
    feature_counts = Counter(feature for history in simulated for feature in history.features)
    return {
        "histories": len(simulated),
        "with_processes": len(with_processes),
        "unsure": sum(bool(history.unsure) for history in with_processes),
        "broken": {history.number: list(history.broken) for history in simulated if history.broken},
        "passed": {history.number: list(history.exceeded) for history in simulated if history.exceeded},
        "broken_with_processes": {
            history.number: list(history.broken)
            for history in with_processes
            if history.broken and not history.unsure
        },
        "stays_down": [history.number for history in simulated if stays_down(history)],
        "back_ms": quantiles([recovery_ms(history) for history in simulated]),
        "back_ms_with_processes": quantiles([recovery_ms(history) for history in with_processes]),
        "reached": len(feature_counts),
        "never": len(expected_features() - without_counts(feature_counts)),
        "cpu_s": round(sum(history.cpu_s for history in simulated), 1),
        "kept": [row[3] for row in database.minimized()],
    }


def write(folder: Path, database: CampaignDatabase) -> Path:
    """Writes the report into a folder and returns its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "campaign.html"
    path.write_text(page(database), encoding="utf-8")
    return path


def page(database: CampaignDatabase) -> str:
    """The report as HTML."""
    simulated, with_processes = list(database.histories(VIRTUAL)), list(database.histories(PROCESSES))
    totals, feature_counts = (
        summary(database),
        Counter(feature for history in simulated for feature in history.features),
    )
    plots = []
    for title, histories in (("virtual time", simulated), ("processes", with_processes)):
        if not histories:
            continue
        figure, area = time_plot([], "share of the histories")
        times = sorted(recovery_ms(history) / 1000 for history in histories)
        ends = [t for t in times if t < inf]
        area.step(ends, [(i + 1) / len(times) for i in range(len(ends))], where="post", color="#2a5f9e")
        area.set_ylim(0, 1)
        area.set_xlabel("s from the last trigger's end to 0.95 of the possible")
        plots.append(f"<h2>Times of recovery, {title}</h2>{render_svg(figure)}")
    figure, area = time_plot([], "features covered so far")
    covered: set[str] = set()
    area.plot([len(covered := covered | history.features) for history in simulated], color="#2a7f62")
    area.set_xlabel("histories")
    plots.append(f"<h2>Coverage</h2>{render_svg(figure)}")
    plt.close("all")
    uncovered = sorted(expected_features() - without_counts(feature_counts))
    minimized_rows = "".join(
        f"<tr><td>{n}</td><td>{html.escape(why)}</td><td>{html.escape(summary_text)}</td>"
        f"<td><a href='{html.escape(file)}'>{html.escape(file)}</a></td></tr>"
        for n, why, summary_text, file in database.minimized()
    )
    return (
        f"<!doctype html><html lang='en'><meta charset='utf-8'><title>Campaign</title><style>{STYLE}</style>"
        "<h1>Campaign</h1>"
        f"<p>Simulated backends, clients and network. {len(simulated)} histories in virtual time, "
        f"{len(with_processes)} again with processes; "
        f"{totals['reached']} features covered, {len(uncovered)} expected ones not covered.</p>"
        f"<h2>Violations</h2>{_history_table(history for history in simulated if history.broken or history.exceeded)}"
        f"<h2>Worst service</h2>{_history_table(sorted(simulated, key=lambda history: history.figures['whole'])[:TABLE_ROWS])}"
        f"<h2>Greatest cold load</h2>{_history_table(sorted(simulated, key=lambda history: -history.figures['cold_load'])[:TABLE_ROWS])}"
        f"<h2>Minimized</h2><table><tr><th>history</th><th>why</th><th>what is left</th><th>file</th></tr>{minimized_rows}</table>"
        f"{''.join(plots)}<h2>Least covered features</h2><p>{html.escape('; '.join(w for w, _ in feature_counts.most_common()[:-31:-1]))}</p>"
        f"<h2>Features not covered</h2><p>{html.escape('; '.join(uncovered))}</p></html>"
    )


def _history_table(histories: object) -> str:
    rows = "".join(
        f"<tr><td>{history.number}</td><td>{html.escape(', '.join((*history.broken, *history.exceeded)) or 'kept')}</td>"
        f"<td>{history.figures['whole']}</td><td>{history.figures['cold_load']}</td><td>{history.figures['back_after']}</td>"
        f"<td>{html.escape(_fault_kinds(history))}</td></tr>"
        for history in histories
    )  # type: ignore[attr-defined]
    return (
        "<table><tr><th>history</th><th>broken, passed</th><th>served over possible</th><th>cold load</th>"
        f"<th>back after ms</th><th>faults</th></tr>{rows}</table>"
    )


def _fault_kinds(history: History) -> str:
    return ", ".join(sorted({fault["kind"] for fault in (*history.raw["faults"], *history.raw["troubles"])}))
