"""A campaign's page: what was played, what was reached and never reached, the worst of each kind, times of recovery, and what breaks something."""

from __future__ import annotations

import html
from collections import Counter
from itertools import combinations
from math import inf
from pathlib import Path

import matplotlib.pyplot as plt

from lupinreach.bed.commands.report import STYLE, render_svg, time_plot
from lupinreach.fleet.recovery import Stage
from lupinreach.trial.campaign import draw
from lupinreach.trial.campaign.book import Book, History
from lupinreach.trial.campaign.hunt import PROCESSES, VIRTUAL, back, stays_down

WORST = 10


def expected() -> frozenset[str]:
    """Words that a campaign should have met: what is in none of its histories stands on the page."""
    kinds = sorted(kind for room in draw.ROOMS.values() for kind in room)
    pairs = {f"pair: {one} + {other}" for one, other in combinations(kinds, 2)}
    stages = {f"stage: {Stage(s).name.lower()} to {Stage(s + 1).name.lower()}" for s in range(Stage.FULL)}
    return frozenset(
        pairs
        | {f"silence: {s}" for s in ("fresh", "ageing", "alone")}
        | {f"self: {s}" for s in ("sound", "late", "deaf")}
        | stages
    )


def met(words: Counter[str]) -> set[str]:
    """The words without how often: a stage that was passed many times was passed."""
    return {
        word
        if word.startswith(("pair", "silence"))
        else ": ".join(word.split(": ")[:2]).removesuffix(", superseded")
        for word in words
    }


def quantiles(values: list[float], at: tuple[float, ...] = (0.5, 0.9, 0.99, 1.0)) -> dict[str, float | None]:
    found = sorted(values)
    return {
        f"p{100 * q:g}": None
        if not found or found[min(len(found) - 1, int(q * len(found)))] == inf
        else found[min(len(found) - 1, int(q * len(found)))]
        for q in at
    }


def summary(book: Book) -> dict[str, object]:
    """The last line of a campaign."""
    played = list(book.histories(VIRTUAL))
    real = list(book.histories(PROCESSES))
    words = Counter(word for h in played for word in h.reached)
    return {
        "histories": len(played),
        "with_processes": len(real),
        "unsure": sum(bool(h.unsure) for h in real),
        "broken": {h.number: list(h.broken) for h in played if h.broken},
        "passed": {h.number: list(h.passed) for h in played if h.passed},
        "broken_with_processes": {h.number: list(h.broken) for h in real if h.broken and not h.unsure},
        "stays_down": [h.number for h in played if stays_down(h)],
        "back_ms": quantiles([back(h) for h in played]),
        "back_ms_with_processes": quantiles([back(h) for h in real]),
        "reached": len(words),
        "never": len(expected() - met(words)),
        "cpu_s": round(sum(h.took for h in played), 1),
        "kept": [row[3] for row in book.kept()],
    }


def write(folder: Path, book: Book) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "campaign.html"
    path.write_text(page(book), encoding="utf-8")
    return path


def page(book: Book) -> str:
    played, real = list(book.histories(VIRTUAL)), list(book.histories(PROCESSES))
    found, words = summary(book), Counter(word for h in played for word in h.reached)
    plots = []
    for title, some in (("virtual time", played), ("processes", real)):
        if not some:
            continue
        figure, area = time_plot([], "share of the histories")
        times = sorted(back(h) / 1000 for h in some)
        ends = [t for t in times if t < inf]
        area.step(ends, [(i + 1) / len(times) for i in range(len(ends))], where="post", color="#2a5f9e")
        area.set_ylim(0, 1)
        area.set_xlabel("s from the last trigger's end to 0.95 of the possible")
        plots.append(f"<h2>Times of recovery, {title}</h2>{render_svg(figure)}")
    figure, area = time_plot([], "words reached so far")
    seen: set[str] = set()
    area.plot([len(seen := seen | h.reached) for h in played], color="#2a7f62")
    area.set_xlabel("histories")
    plots.append(f"<h2>What was reached</h2>{render_svg(figure)}")
    plt.close("all")
    never = sorted(expected() - met(words))
    kept = "".join(
        f"<tr><td>{n}</td><td>{html.escape(why)}</td><td>{html.escape(what)}</td><td><a href='{html.escape(file)}'>{html.escape(file)}</a></td></tr>"
        for n, why, what, file in book.kept()
    )
    return (
        f"<!doctype html><html lang='en'><meta charset='utf-8'><title>Campaign</title><style>{STYLE}</style><h1>Campaign</h1>"
        f"<p>Simulated backends, clients and network. {len(played)} histories in virtual time, {len(real)} again with processes; "
        f"{found['reached']} words reached, {len(never)} never.</p>"
        f"<h2>What breaks something</h2>{_list(h for h in played if h.broken or h.passed)}"
        f"<h2>Worst service</h2>{_list(sorted(played, key=lambda h: h.figures['whole'])[:WORST])}"
        f"<h2>Greatest cold load</h2>{_list(sorted(played, key=lambda h: -h.figures['cold_load'])[:WORST])}"
        f"<h2>Shrunk and kept</h2><table><tr><th>history</th><th>why</th><th>what is left</th><th>file</th></tr>{kept}</table>"
        f"{''.join(plots)}<h2>Reached least often</h2><p>{html.escape('; '.join(w for w, _ in words.most_common()[:-31:-1]))}</p>"
        f"<h2>Never reached</h2><p>{html.escape('; '.join(never))}</p></html>"
    )


def _list(some: object) -> str:
    rows = "".join(
        f"<tr><td>{h.number}</td><td>{html.escape(', '.join((*h.broken, *h.passed)) or 'kept')}</td><td>{h.figures['whole']}</td>"
        f"<td>{h.figures['cold_load']}</td><td>{h.figures['back_after']}</td><td>{html.escape(_faults(h))}</td></tr>"
        for h in some
    )  # type: ignore[attr-defined]
    return (
        "<table><tr><th>history</th><th>broken, passed</th><th>served over possible</th><th>cold load</th><th>back after ms</th><th>faults</th></tr>"
        f"{rows}</table>"
    )


def _faults(h: History) -> str:
    return ", ".join(sorted({f["kind"] for f in (*h.raw["faults"], *h.raw["troubles"])}))
