"""`lupinreach mesh model`: model checks of the store and of registries by random histories or exhaustive search.

A deliberate mistake can be applied to show that a check detects it.
"""

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
    """Runs random histories or an exhaustive search of the store, optionally with a deliberate mistake."""

    name = "model"
    description = (
        "Check the store's own functions on random histories, with registries and operators of evacuations,"
        " or on all states of a small group of stores."
    )
    options = [
        option("histories", None, "number of random histories", flag=False, default="200"),
        option("seed", None, "seed of the first history; each next one adds 1", flag=False, default="0"),
        option(
            "lost",
            None,
            "number of stores that may be lost at once: 1, 2 or 4 (of 3, 5 or 9 stores)",
            flag=False,
            default="1",
        ),
        option(
            "late", None, "longest delay of delayed or duplicated messages, seconds", flag=False, default="5"
        ),
        option(
            "share", None, "fraction of messages that are delayed or duplicated", flag=False, default="0.1"
        ),
        option(
            "search", None, "search all states within a budget, such as `orders=1 timeouts=2`", flag=False
        ),
        option("most", None, "maximum number of states that a search keeps", flag=False, default="200000"),
        option("mistake", None, "apply a deliberate mistake by name; `list` prints all names", flag=False),
    ]

    def handle(self) -> int:
        """Exit code 1 if an invariant is violated, 2 if an option is invalid."""
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
        except HistoryFormatError as error:
            self.line_error(f"search: {error}")
            return EXIT_INVALID

    def _search(self) -> int:
        budget = parse_budget(self.option("search"))
        found = search(budget, int(self.option("most")), self._print_progress)
        self._print_progress(found)
        if not found.violated:
            self.line("nothing broken" + ("" if found.complete else ", but not all states were seen"))
            return 0
        for line in found.trace:
            self.line(line)
        self.line(format_history("found by the search", budget, found.steps))
        return EXIT_VIOLATION

    def _print_progress(self, found: SearchResult) -> None:
        self.line(f"{found.states} states, {found.moves} moves, {found.seconds:.1f} s")

    def _run_random_histories(self) -> int:
        parameters = SimulationParameters(
            int(self.option("lost")), float(self.option("late")), float(self.option("share"))
        )
        first, count = int(self.option("seed")), int(self.option("histories"))
        confirmed = 0
        for seed in range(first, first + count):
            highest, violation = run_history(seed, parameters)
            confirmed += highest
            if violation is not None:
                for line in trace_history(seed, parameters):
                    self.line(line)
                return EXIT_VIOLATION
            if (seed - first + 1) % PROGRESS_INTERVAL_HISTORIES == 0:
                self.line(f"{seed - first + 1} histories, {confirmed} orders confirmed")
        self.line(f"{count} histories, {confirmed} orders confirmed, nothing broken")
        return 0
