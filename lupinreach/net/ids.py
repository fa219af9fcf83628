"""Ids of open and recently ended API calls, to detect duplicate requests."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum


class IdPersistence(Enum):
    """Whether the id of a non-idempotent API call has been made durable for the time after a restart."""

    PERSISTED = "kept"
    UNAVAILABLE = "not now"  # could not be persisted; the call has not run and is rate-limited
    OUTCOME_UNKNOWN = "unsure"  # an earlier run may have executed it without a record; the call is errored


class Ids:
    """Guards against a duplicate of a request, which would run it once more.

    An id is kept for one to two rotations after its call has ended, so that a duplicate read just after the
    answer is detected too.
    """

    def __init__(self) -> None:
        self._open: set[bytes] = set()  # removed when the API call ends
        self._ended: set[bytes] = set()  # since the last rotation; forgotten two rotations later
        self._ended_earlier: set[bytes] = set()

    def begin(self, name: bytes) -> bool:
        """Register an id; false if an open or recently ended API call has it."""
        if name in self._open or name in self._ended or name in self._ended_earlier:
            return False
        self._open.add(name)
        return True

    def recall(self, names: Iterable[bytes]) -> None:
        """Register ids of an earlier run of the process, as if they had just ended."""
        self._ended.update(names)

    def end(self, name: bytes) -> None:
        """The API call of this id has ended."""
        self._open.discard(name)
        self._ended.add(name)

    def rotate(self) -> None:
        """Forget the ids that ended before the last rotation."""
        self._ended_earlier, self._ended = self._ended, set()
