"""How long backends that are cold have stood, by who has had answers of them. Pure.

After a power loss the registry may be down, old, or asked by all at once, and an agent with little traffic meets a backend long after it
is back: it would take for just started what has been up for half of its cold time. A row says of one backend how long ago its teller had the
first answer of the process that is there now, and the last. Both are by the teller's own clock and told as ages, so that a wrong wall clock says nothing
here. Rows are merged by backend and teller, the later last answer wins: one that comes twice, late or out of order changes nothing.

A lone claim of good news waits for a second: a backend has stood for as long as the second longest of its tellers says, and

    since(b)  >=  max(when this agent stood up, when it was last refused there)

whoever lies and however many, `earliest()`. Where the registry has told the boot time nothing of this counts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

MIN_REPORTERS = (
    2  # that must say so; as many rows are kept for a backend beside the own: those of the longest standing
)
MAX_BACKENDS = 512  # with rows


def earliest_up_since(began: float, refused_at: float) -> float:
    """Ms: since when a backend may be taken to stand by others' word, at the earliest."""
    return max(began, refused_at)


@dataclass(frozen=True)
class Uptime:
    """What one agent has had of one backend process."""

    reporter: int
    backend: int  # its name, alike at all agents
    first: float  # ms since its first answer
    last: float  # ms since its last one


@dataclass
class _Row:
    first: float  # ms, by this agent's clock
    last: float
    times_sent: int = 0  # times since it came


class Uptimes:
    """One agent's rows. Bounded by `MOST_BACKENDS` and `TELLERS` + 1; a row leaves when it has aged or the backend is no longer cold."""

    def __init__(self, me: int, max_age: float, draw: Callable[[], float]) -> None:
        """`max_age` in ms: how old a last answer may be; for as long as backends are cold."""
        self.me = me
        self.max_age = max_age
        self._draw = draw
        self._rows: dict[int, dict[int, _Row]] = {}  # by backend and teller
        self.rejected = 0  # absurd rows

    def record_own(self, now: float, met: Mapping[int, tuple[float, float]]) -> None:
        """What this agent has had itself (first and last, ms) of the backends that it takes to be cold."""
        for backend, (first, last) in met.items():
            self._merge(now, backend, self.me, first, last)
        for backend, rows in self._rows.items():
            if backend not in met:
                rows.pop(self.me, None)  # it restarted, or refused

    def receive(self, now: float, rows: Iterable[Uptime]) -> None:
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
            # A row is news where the process is another one; that its teller has met it again is none.
            old.times_sent = 0 if first > old.last else old.times_sent
            old.first, old.last = first, last

    def expire(self, now: float, cold: Iterable[int]) -> None:
        """Drop what has aged, and what is said of backends that are not cold, or gone."""
        current = set(cold)
        for backend, rows in list(self._rows.items()):
            for reporter in [t for t, row in rows.items() if now - row.last >= self.max_age]:
                del rows[reporter]
            if not rows or backend not in current:
                del self._rows[backend]

    def digest(self, now: float, limit: int) -> tuple[Uptime, ...]:
        """So many rows for one datagram, those told least often first."""
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
        """By backend: since when (ms) it has stood by others' word, for those that `refused` names, with when this agent was refused there."""
        found = {}
        for backend, at in refused.items():
            at = earliest_up_since(began, at)
            firsts = sorted(row.first for row in self._rows.get(backend, {}).values() if row.last > at)
            if len(firsts) >= MIN_REPORTERS:
                found[backend] = max(firsts[MIN_REPORTERS - 1], at)
        return found

    def __len__(self) -> int:
        return sum(map(len, self._rows.values()))
