"""`lupinreach mesh model`: drawn histories and exhaustive search of the store, with mistakes planted on demand."""

from __future__ import annotations

from contextlib import AbstractContextManager, nullcontext

from cleo.commands.command import Command
from cleo.helpers import option

from lupinreach.mesh.model.histories import SimulationParameters, run_history, trace_history
from lupinreach.mesh.model.history_format import HistoryFormatError, format_history, parse_budget
from lupinreach.mesh.model.mistakes import MISTAKES
from lupinreach.mesh.model.search import SearchResult, search

EXIT_VIOLATION = 1
EXIT_INVALID = 2
PROGRESS_INTERVAL_HISTORIES = 100  # histories


class Model(Command):
    name = "model"
    description = (
        "Play the store's own functions through drawn histories, or through all states of a small group."
    )
    options = [
        option("histories", None, "how many histories to draw", flag=False, default="200"),
        option("seed", None, "the first seed", flag=False, default="0"),
        option(
            "lost",
            None,
            "stores that may be lost at once: 1, 2 or 4 (3, 5 or 9 stores)",
            flag=False,
            default="1",
        ),
        option(
            "late", None, "by how many seconds messages are late or doubled, at most", flag=False, default="5"
        ),
        option("share", None, "of messages that are", flag=False, default="0.1"),
        option("search", None, "search all states within a budget, as `orders=1 timeouts=2`", flag=False),
        option("most", None, "states that a search keeps, at most", flag=False, default="200000"),
        option("mistake", None, "plant a mistake by name; `list` names them", flag=False),
    ]

    def handle(self) -> int:
        """Exit code 1 where an invariant broke, 2 where an option can't be read."""
        mistake_name = self.option("mistake")
        if mistake_name == "list":
            for mistake in MISTAKES:
                self.line(f"{mistake.name:24} {mistake.description}")
            return 0
        applied: AbstractContextManager[None] = nullcontext()
        if mistake_name:
            found = next((mistake for mistake in MISTAKES if mistake.name == mistake_name), None)
            if found is None:
                self.line_error(f"mistake: {mistake_name!r} is unknown; `--mistake list` names all")
                return EXIT_INVALID
            applied = found.applied()
        try:
            with applied:
                return self._search() if self.option("search") else self._run_random_histories()
        except HistoryFormatError as wrong:
            self.line_error(f"search: {wrong}")
            return EXIT_INVALID

    def _search(self) -> int:
        budget = parse_budget(self.option("search"))
        found = search(budget, int(self.option("most")), self._print_progress)
        self._print_progress(found)
        if not found.broken:
            self.line("nothing broken" + ("" if found.complete else ", but not all states were seen"))
            return 0
        for line in found.story:
            self.line(line)
        self.line(format_history("found by the search", budget, found.steps))
        return EXIT_VIOLATION

    def _print_progress(self, found: SearchResult) -> None:
        self.line(f"{found.states} states, {found.moves} moves, {found.seconds:.1f} s")

    def _run_random_histories(self) -> int:
        plan = SimulationParameters(
            int(self.option("lost")), float(self.option("late")), float(self.option("share"))
        )
        first, count = int(self.option("seed")), int(self.option("histories"))
        confirmed = 0
        for seed in range(first, first + count):
            highest, broken = run_history(seed, plan)
            confirmed += highest
            if broken is not None:
                for line in trace_history(seed, plan):
                    self.line(line)
                return EXIT_VIOLATION
            if (seed - first + 1) % PROGRESS_INTERVAL_HISTORIES == 0:
                self.line(f"{seed - first + 1} histories, {confirmed} orders confirmed")
        self.line(f"{count} histories, {confirmed} orders confirmed, nothing broken")
        return 0
