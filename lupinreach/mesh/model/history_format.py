"""Text format for histories of the search: a line with the budget, then one move per line."""

from __future__ import annotations

from typing import Any

from lupinreach.mesh.model.disk import DiskMode
from lupinreach.mesh.model.search import Budget, Step

BUDGET_KEYWORD = "budget"
BOOLEAN_WORDS = {"yes": True, "no": False}


class HistoryFormatError(ValueError):
    """A word of a budget cannot be parsed; the message names it."""


def parse_budget(words: str) -> Budget:
    """Parse a budget such as `orders=1 timeouts=2`; raises `HistoryFormatError`."""
    counts_by_name: dict[str, int] = {}
    for word in words.replace(",", " ").split():
        name, _, count = word.partition("=")
        if name not in Budget.__dataclass_fields__ or not count.isdigit():
            raise HistoryFormatError(
                f"{word!r}: not one of {', '.join(Budget.__dataclass_fields__)} with a number"
            )
        counts_by_name[name] = int(count)
    return Budget(**counts_by_name)


def format_history(title: str, budget: Budget, steps: list[Step]) -> str:
    """Format a history, with the title as a comment."""
    counts = [f"{name}={getattr(budget, name)}" for name in Budget.__dataclass_fields__]
    lines = [
        f"# {title}",
        " ".join([BUDGET_KEYWORD, *(count for count in counts if not count.endswith("=0"))]),
    ]
    lines += [" ".join([method, *map(_format_argument, args)]) for method, args in steps]
    return "\n".join(lines) + "\n"


def _format_argument(argument: Any) -> str:
    if isinstance(argument, bool):
        return "yes" if argument else "no"
    if isinstance(argument, DiskMode):
        return argument.name
    return str(argument) or "-"


def parse_history(text: str) -> tuple[Budget, list[Step]]:
    """Parse a history; the inverse of `format_history`."""
    budget, steps = Budget(), []
    for line in text.splitlines():
        words = line.split("#")[0].split()
        if not words:
            continue
        if words[0] == BUDGET_KEYWORD:
            budget = parse_budget(" ".join(words[1:]))
        else:
            steps.append((words[0], tuple(map(_parse_argument, words[1:]))))
    return budget, steps


def _parse_argument(word: str) -> Any:
    if word in BOOLEAN_WORDS:
        return BOOLEAN_WORDS[word]
    if word in DiskMode.__members__:
        return DiskMode[word]
    return int(word) if word.isdigit() else word.replace("-", "")
