"""The ids of API calls that are open, and of those that were a moment ago."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum


class IdPersistence(Enum):
    """If an API call that may run once only will be known to the next life."""

    PERSISTED = "kept"
    UNAVAILABLE = "not now"  # nothing of it has run: rate-limited
    OUTCOME_UNKNOWN = "unsure"  # a former life may have run it, and nobody remembers: errored


class Ids:
    """Guards against a copy of a request, which would run it once more.

    An id stays for one to two turns after its end, so that a copy read just after the answer is known too.
    """

    def __init__(self) -> None:
        self._open: set[bytes] = set()  # each leaves with its API call
        self._ended: set[bytes] = set()  # since the last turn; each leaves at the turn after the next
        self._ended_earlier: set[bytes] = set()

    def begin(self, name: bytes) -> bool:
        """Take an id; false if an API call has it, or had it lately."""
        if name in self._open or name in self._ended or name in self._ended_earlier:
            return False
        self._open.add(name)
        return True

    def recall(self, names: Iterable[bytes]) -> None:
        """Know these of a life before, as if they had just ended."""
        self._ended.update(names)

    def end(self, name: bytes) -> None:
        self._open.discard(name)
        self._ended.add(name)

    def rotate(self) -> None:
        """Forget what ended before the last turn."""
        self._ended_earlier, self._ended = self._ended, set()
