"""What a new process restores of its predecessor's state: the table of docs/recovery.md as data. Pure.

A key of the store is an item's name, or that name, a slash and a name of its own.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Trust(Enum):
    """How far an item of a previous process is trusted."""

    AS_IT_IS = "taken as it is"
    GUESS = "taken as a guess"
    NEVER = "never taken"


@dataclass(frozen=True)
class Item:
    """A row of the table: how far a kind of state is trusted, until when, and why."""

    name: str
    trust: Trust
    until: str  # what overrides or ends it
    why: str


ITEMS = {
    item.name: item
    for item in (
        Item("life", Trust.AS_IT_IS, "a higher one that peers have heard", "a number must never come twice"),
        Item(
            "beat",
            Trust.AS_IT_IS,
            "a later one of that life that peers have heard",
            "who is behind it has an older disk",
        ),
        Item("seen", Trust.AS_IT_IS, "a later beat of theirs", "what others have told they have told"),
        Item(
            "floor",
            Trust.AS_IT_IS,
            "a registry that is told to be reset on purpose",
            "what the registry has said at that revision it has said",
        ),
        Item(
            "drain",
            Trust.AS_IT_IS,
            "the registry above the floor, or a restart of that backend",
            "a drain that was told once holds although an older list says ready",
        ),
        Item("ran", Trust.AS_IT_IS, "the longest client timeout", "a non-idempotent API call may have run"),
        Item(
            "learnt",
            Trust.GUESS,
            "a restart of that backend, by its boot time; else by each sample",
            "measured: the speeds of former processes are worth nothing to a cold fleet",
        ),
        Item(
            "listed",
            Trust.GUESS,
            "the registry's first word",
            "addresses outlive a power loss more often than not",
        ),
        Item("load", Trust.NEVER, "", "a second old and wrong"),
        Item("flight", Trust.NEVER, "", "ended with the process's connections"),
        Item("credit", Trust.NEVER, "", "would be spent twice"),
        Item(
            "lease",
            Trust.NEVER,
            "",
            "ran out by a clock that no longer runs; what was granted counts as spent",
        ),
        Item("rest", Trust.NEVER, "", "ended with what caused it"),
    )
}


def item(key: str) -> Item | None:
    """The table's row for a key of the store; None for a key of another version."""
    return ITEMS.get(key.partition("/")[0])


def restorable(state: Mapping[str, Any]) -> dict[str, Any]:
    """The state that a new process uses; keys it doesn't know belong to another version and are not used."""
    return {k: v for k, v in state.items() if (row := item(k)) is not None and row.trust is not Trust.NEVER}


# Where two processes write one file, neither may lower the other's value.
MERGED_BY_MAXIMUM = frozenset({"life", "floor"})


def merged(on_disk: Mapping[str, Any], ours: Mapping[str, Any]) -> dict[str, Any]:
    """The state to write to a file that another process may have written meanwhile."""
    found = {**{k: v for k, v in on_disk.items() if item(k) is None}, **ours}
    for key in MERGED_BY_MAXIMUM & on_disk.keys():
        try:
            found[key] = max(on_disk[key], ours.get(key, on_disk[key]))
        except TypeError:
            continue  # another version stored a value of another type: ours counts
    return found
