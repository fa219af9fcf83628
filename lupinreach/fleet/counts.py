"""What customers ask of the whole fleet, from counts that only grow. Pure.

Each agent counts the API calls of each customer since its life began. A row is such a count and when it was taken, by the counter's own
clock; rows are merged by agent, life and cell, the later one wins, so that one which comes twice, late or out of order changes nothing.
A rate is the difference of two counts of one life over the time between them, as the counter has it: no delay on the way is in it. A life
that ends is neither lost nor counted twice: its last rate fades as that of any agent that falls silent.

Up to `CELLS` customers have a cell each. More share a sketch of `ROWS` rows: a customer's rate is the least of its cells', never under
the true one, and over it by more than 2 / WIDTH of all with a chance of 2^-ROWS at most (Cormode and Muthukrishnan's count-min).

Of an agent that is not heard its last rate is held for `HELD`, then fades within `FADES`: it may ask anything meanwhile, and what others assume
of it is a guess that ends. So with asked_a(s, t) what agent a was asked from s to t, whatever is lost, late or doubled, and in any cut,

    rate(t)  <=  rate_bound(...) = sum over a of the greatest asked_a(s, u) / (u - s) of two moments t - `REACHES` windows <= s < u <= t at which a counted

which is what the checker holds it against: nobody is counted twice. It can be too low by as much as is not heard.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

CELLS = 64  # in all: one a customer, or the sketch's
ROWS, WIDTH = 2, 32
HELD = 3.0  # windows without a newer count: from then on a rate fades
FADES = 3.0  # windows within which it does
REACHES = HELD + FADES + 2.0  # windows: from the older of two counts to the end of what was made of them
MOST_ROWS = 1 << 16  # agents times cells: the newest


def cells(customer: int, customers: int) -> tuple[int, ...]:
    """Where a customer is counted."""
    if customers <= CELLS:
        return (customer,)
    return tuple(
        row * WIDTH + crc32(b"%d:%d" % (row, customer)) * 2654435761 % 2**32 * WIDTH // 2**32
        for row in range(ROWS)
    )


def rate_bound(now: float, counted: Iterable[Sequence[tuple[float, int]]], window: float) -> float:
    """The most that any agent may take for the fleet's rate, a s: of each life, when (ms) it counted how much in all."""
    total = 0.0
    for life in counted:
        points = [(at, count) for at, count in life if now - REACHES * window <= at <= now]
        total += max(
            (
                1000 * (late[1] - early[1]) / (late[0] - early[0])
                for i, early in enumerate(points)
                for late in points[i + 1 :]
                if late[0] > early[0]
            ),
            default=0.0,
        )
    return total


@dataclass(frozen=True)
class Count:
    agent: int
    life: int  # its number
    cell: int
    total: int  # since that life began
    stamp: float  # ms since then, by that agent's clock
    age: float  # ms since it was heard, and by who told it before


@dataclass
class _Row:
    life: int
    total: int
    stamp: float
    at: float  # ms, by this agent's clock: when it was heard
    since: float  # the stamp and
    base: int  # the total that the rate counts from: half a window older at least
    rate: float = 0.0  # a ms
    told: int = 0


class Counts:
    """One agent's rows, its own among them. Bounded by `MOST_ROWS`; a row leaves when it has faded."""

    def __init__(self, me: int, customers: int, window: float, chance: Callable[[], float]) -> None:
        """`window` in ms."""
        self.me = me
        self._customers = customers
        self.window = window
        self._chance = chance
        self._rows: dict[tuple[int, int], _Row] = {}  # by agent and cell
        self._own: dict[int, int] = {}  # by cell; as many as there are cells
        self.refused = 0

    def took(self, customer: int) -> None:
        """An API call of that customer's was taken here."""
        for cell in cells(customer, self._customers):
            self._own[cell] = self._own.get(cell, 0) + 1

    def look(self, now: float, life: int, lived: float) -> None:
        """Once between two words: own counts, of a life that has lasted so many ms, become rows; what has faded goes."""
        for cell, total in self._own.items():
            self._put(now, Count(self.me, life, cell, total, lived, 0.0))
        for key in [k for k, row in self._rows.items() if now - row.at >= (HELD + FADES) * self.window]:
            del self._rows[key]

    def heard(self, now: float, counts: Iterable[Count]) -> None:
        for c in counts:
            if not 0 <= c.cell < CELLS or c.total < 0 or c.age < 0 or c.stamp < 0:
                self.refused += 1
            elif c.agent != self.me:
                self._put(now, c)

    def _put(self, now: float, c: Count) -> None:
        key, at = (c.agent, c.cell), now - c.age
        if now - at >= (HELD + FADES) * self.window:
            return
        row = self._rows.get(key)
        if row is None or c.life > row.life:
            if row is None and len(self._rows) >= MOST_ROWS:
                return
            # No rate yet: what that life was asked before is of no known time.
            self._rows[key] = _Row(c.life, c.total, c.stamp, at, c.stamp, c.total)
        elif c.life == row.life and c.stamp > row.stamp and c.total >= row.total:
            if c.stamp - row.since >= self.window / 2:
                row.rate = (c.total - row.base) / (c.stamp - row.since)
            if c.stamp - row.since >= self.window:
                row.since, row.base = row.stamp, row.total
            if c.total > row.total or at - row.at >= self.window / 2:
                row.told = 0
            row.total, row.stamp, row.at = c.total, c.stamp, max(at, row.at)

    def digest(self, now: float, most: int) -> tuple[Count, ...]:
        """So many rows for one datagram, those told least often first."""
        rarest = sorted(self._rows.items(), key=lambda item: (item[1].told, self._chance()))[:most]
        for _, row in rarest:
            row.told += 1
        return tuple(
            Count(agent, row.life, cell, row.total, row.stamp, max(0.0, now - row.at))
            for (agent, cell), row in rarest
        )

    def rates(self, now: float) -> list[float]:
        """By customer, API calls a s of the whole fleet, as far as heard."""
        by_cell: dict[int, float] = {}
        for (_, cell), row in self._rows.items():
            windows = (now - row.at) / self.window
            keeps = 1.0 if windows <= HELD else max(0.0, 1 - (windows - HELD) / FADES)
            by_cell[cell] = by_cell.get(cell, 0.0) + 1000 * row.rate * keeps
        return [
            min(by_cell.get(cell, 0.0) for cell in cells(c, self._customers)) for c in range(self._customers)
        ]

    def __len__(self) -> int:
        return len(self._rows)
