"""How long cold backends have been up, according to agents that have had answers from them. Pure.

After a power loss the registry may be down, outdated or overloaded, and an agent with little traffic first
reaches a backend long after it is back: it would treat a backend that has been up for half of its cold time
as just started. A row says of one backend how long ago its reporter had the first answer of the current
process, and the last one. Both are measured by the reporter's own clock and sent as ages, so that a wrong
wall clock has no effect. Rows are merged by backend and reporter, and the later last answer wins, so
duplicated, delayed or reordered rows change nothing.

A claim of a long uptime needs a second reporter: a backend has been up for as long as the second longest of
its reporters says, and

    since(b)  >=  max(when this agent started, when it was last refused there)

whoever lies, and however many: `earliest_up_since()`. Where the registry has reported the boot time, none of
this applies.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

# Reporters needed; as many rows are kept for a backend beside the own one, those with the longest uptime.
MIN_REPORTERS = 2
MAX_BACKENDS = 512  # backends with rows


def earliest_up_since(began: float, refused_at: float) -> float:
    """The earliest time (ms) since which a backend may be considered up by the reports of others."""
    return max(began, refused_at)


@dataclass(frozen=True)
class Uptime:
    """One agent's first and last answer of one backend process."""

    reporter: int
    backend: int  # its name, the same at all agents
    first: float  # ms since its first answer
    last: float  # ms since its last one


@dataclass
class _Row:
    first: float  # ms, by this agent's clock: first answer
    last: float  # last answer
    times_sent: int = 0  # since the row was received


class Uptimes:
    """One agent's table of rows.

    Bounded by `MAX_BACKENDS` and `MIN_REPORTERS` + 1; a row is removed when it is too old or its backend no
    longer cold.
    """

    def __init__(self, me: int, max_age: float, draw: Callable[[], float]) -> None:
        """`max_age` in ms is the largest age of a last answer: as long as backends are cold."""
        self.me = me
        self.max_age = max_age
        self._draw = draw
        self._rows: dict[int, dict[int, _Row]] = {}  # by backend and reporter
        self.rejected = 0  # invalid rows

    def record_own(self, now: float, answers: Mapping[int, tuple[float, float]]) -> None:
        """Takes this agent's own first and last answers (ms) of the backends that it considers cold."""
        for backend, (first, last) in answers.items():
            self._merge(now, backend, self.me, first, last)
        for backend, rows in self._rows.items():
            if backend not in answers:
                rows.pop(self.me, None)  # the backend restarted or refused

    def receive(self, now: float, rows: Iterable[Uptime]) -> None:
        """Merges rows from another agent; invalid ones are counted in `rejected`."""
        for row in rows:
            if not 0 <= row.last <= row.first:
                self.rejected += 1
            elif row.reporter != self.me:
                self._merge(now, row.backend, row.reporter, now - row.first, now - row.last)

    def _merge(self, now: float, backend: int, reporter: int, first: float, last: float) -> None:
        if now - last >= self.max_age or (backend not in self._rows and len(self._rows) >= MAX_BACKENDS):
            return
        rows = self._rows.setdefault(backend, {})
        old = rows.get(reporter)
        if old is None:
            rows[reporter] = _Row(first, last)
            others = [t for t in rows if t != self.me]
            if len(others) > MIN_REPORTERS:
                del rows[max(others, key=lambda t: (rows[t].first, t))]
        elif last > old.last:
            # A row is an update if the process is another one; another answer of the same process is not.
            old.times_sent = 0 if first > old.last else old.times_sent
            old.first, old.last = first, last

    def expire(self, now: float, cold: Iterable[int]) -> None:
        """Removes rows that are too old, and rows of backends that are no longer cold or were removed."""
        current = set(cold)
        for backend, rows in list(self._rows.items()):
            for reporter in [t for t, row in rows.items() if now - row.last >= self.max_age]:
                del rows[reporter]
            if not rows or backend not in current:
                del self._rows[backend]

    def digest(self, now: float, limit: int) -> tuple[Uptime, ...]:
        """At most `limit` rows for one datagram, those sent least often first."""
        rows = [
            (row, reporter, backend) for backend, each in self._rows.items() for reporter, row in each.items()
        ]
        rows.sort(key=lambda item: (item[0].times_sent, self._draw()))
        for row, _, _ in rows[:limit]:
            row.times_sent += 1
        return tuple(
            Uptime(reporter, backend, now - row.first, max(0.0, now - row.last))
            for row, reporter, backend in rows[:limit]
        )

    def since(self, began: float, refused: Mapping[int, float]) -> dict[int, float]:
        """Since when (ms) backends have been up by the reports of others.

        `refused` names the backends, with the time of this agent's last refusal there.
        """
        found = {}
        for backend, at in refused.items():
            at = earliest_up_since(began, at)
            firsts = sorted(row.first for row in self._rows.get(backend, {}).values() if row.last > at)
            if len(firsts) >= MIN_REPORTERS:
                found[backend] = max(firsts[MIN_REPORTERS - 1], at)
        return found

    def __len__(self) -> int:
        return sum(map(len, self._rows.values()))
