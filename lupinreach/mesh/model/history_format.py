"""Histories of the search as small text files: a budget, then one move a line."""

from __future__ import annotations

from typing import Any

from lupinreach.mesh.model.disk import Fate
from lupinreach.mesh.model.search import Budget, Step

BUDGET_WORD = "budget"
FLAGS = {"yes": True, "no": False}


class BadHistory(ValueError):
    """A line of a history file, or a word of a budget, that can't be read; the text names it."""


def read_budget(words: str) -> Budget:
    """`orders=1 timeouts=2` as a budget; `BadHistory` names a word that is none."""
    given: dict[str, int] = {}
    for word in words.replace(",", " ").split():
        name, _, count = word.partition("=")
        if name not in Budget.__dataclass_fields__ or not count.isdigit():
            raise BadHistory(f"{word!r}: not one of {', '.join(Budget.__dataclass_fields__)} with a number")
        given[name] = int(count)
    return Budget(**given)


def write_history(told: str, budget: Budget, steps: list[Step]) -> str:
    """The text of a history."""
    counts = [f"{name}={getattr(budget, name)}" for name in Budget.__dataclass_fields__]
    lines = [f"# {told}", " ".join([BUDGET_WORD, *(count for count in counts if not count.endswith("=0"))])]
    lines += [" ".join([method, *map(_word, args)]) for method, args in steps]
    return "\n".join(lines) + "\n"


def _word(argument: Any) -> str:
    if isinstance(argument, bool):
        return "yes" if argument else "no"
    if isinstance(argument, Fate):
        return argument.name
    return str(argument) or "-"


def read_history(text: str) -> tuple[Budget, list[Step]]:
    """The inverse of `write_history`."""
    budget, steps = Budget(), []
    for line in text.splitlines():
        words = line.split("#")[0].split()
        if not words:
            continue
        if words[0] == BUDGET_WORD:
            budget = read_budget(" ".join(words[1:]))
        else:
            steps.append((words[0], tuple(map(_argument, words[1:]))))
    return budget, steps


def _argument(word: str) -> Any:
    if word in FLAGS:
        return FLAGS[word]
    if word in Fate.__members__:
        return Fate[word]
    return int(word) if word.isdigit() else word.replace("-", "")
