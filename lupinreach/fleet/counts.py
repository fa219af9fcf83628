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

MAX_CELLS = 64  # in all: one a customer, or the sketch's
SKETCH_ROWS, SKETCH_WIDTH = 2, 32
HOLD_WINDOWS = 3.0  # windows without a newer count: from then on a rate fades
FADE_WINDOWS = 3.0  # windows within which it does
BOUND_WINDOWS = (
    HOLD_WINDOWS + FADE_WINDOWS + 2.0
)  # windows: from the older of two counts to the end of what was made of them
MAX_ROWS = 1 << 16  # agents times cells: the newest


def cells(customer: int, customers: int) -> tuple[int, ...]:
    """Where a customer is counted."""
    if customers <= MAX_CELLS:
        return (customer,)
    return tuple(
        row * SKETCH_WIDTH + crc32(b"%d:%d" % (row, customer)) * 2654435761 % 2**32 * SKETCH_WIDTH // 2**32
        for row in range(SKETCH_ROWS)
    )


def rate_bound(now: float, histories: Iterable[Sequence[tuple[float, int]]], window: float) -> float:
    """The most that any agent may take for the fleet's rate, a s: of each life, when (ms) it counted how much in all."""
    total = 0.0
    for incarnation in histories:
        points = [(at, count) for at, count in incarnation if now - BOUND_WINDOWS * window <= at <= now]
        total += max(
            (
                1000 * (later[1] - earlier[1]) / (later[0] - earlier[0])
                for i, earlier in enumerate(points)
                for later in points[i + 1 :]
                if later[0] > earlier[0]
            ),
            default=0.0,
        )
    return total


@dataclass(frozen=True)
class Count:
    agent: int
    incarnation: int  # its number
    cell: int
    total: int  # since that life began
    stamp: float  # ms since then, by that agent's clock
    age: float  # ms since it was heard, and by who told it before


@dataclass
class _Row:
    incarnation: int
    total: int
    stamp: float
    at: float  # ms, by this agent's clock: when it was heard
    since: float  # the stamp and
    base: int  # the total that the rate counts from: half a window older at least
    rate: float = 0.0  # a ms
    times_sent: int = 0


class Counts:
    """One agent's rows, its own among them. Bounded by `MOST_ROWS`; a row leaves when it has faded."""

    def __init__(self, me: int, customers: int, window: float, draw: Callable[[], float]) -> None:
        """`window` in ms."""
        self.me = me
        self._customers = customers
        self.window = window
        self._draw = draw
        self._rows: dict[tuple[int, int], _Row] = {}  # by agent and cell
        self._own: dict[int, int] = {}  # by cell; as many as there are cells
        self.rejected = 0

    def record_call(self, customer: int) -> None:
        """An API call of that customer's was taken here."""
        for cell in cells(customer, self._customers):
            self._own[cell] = self._own.get(cell, 0) + 1

    def refresh(self, now: float, incarnation: int, age: float) -> None:
        """Once between two words: own counts, of a life that has lasted so many ms, become rows; what has faded goes."""
        for cell, total in self._own.items():
            self._merge(now, Count(self.me, incarnation, cell, total, age, 0.0))
        for key in [
            k for k, row in self._rows.items() if now - row.at >= (HOLD_WINDOWS + FADE_WINDOWS) * self.window
        ]:
            del self._rows[key]

    def receive(self, now: float, counts: Iterable[Count]) -> None:
        for c in counts:
            if not 0 <= c.cell < MAX_CELLS or c.total < 0 or c.age < 0 or c.stamp < 0:
                self.rejected += 1
            elif c.agent != self.me:
                self._merge(now, c)

    def _merge(self, now: float, c: Count) -> None:
        key, at = (c.agent, c.cell), now - c.age
        if now - at >= (HOLD_WINDOWS + FADE_WINDOWS) * self.window:
            return
        row = self._rows.get(key)
        if row is None or c.incarnation > row.incarnation:
            if row is None and len(self._rows) >= MAX_ROWS:
                return
            # No rate yet: what that life was asked before is of no known time.
            self._rows[key] = _Row(c.incarnation, c.total, c.stamp, at, c.stamp, c.total)
        elif c.incarnation == row.incarnation and c.stamp > row.stamp and c.total >= row.total:
            if c.stamp - row.since >= self.window / 2:
                row.rate = (c.total - row.base) / (c.stamp - row.since)
            if c.stamp - row.since >= self.window:
                row.since, row.base = row.stamp, row.total
            if c.total > row.total or at - row.at >= self.window / 2:
                row.times_sent = 0
            row.total, row.stamp, row.at = c.total, c.stamp, max(at, row.at)

    def digest(self, now: float, limit: int) -> tuple[Count, ...]:
        """So many rows for one datagram, those told least often first."""
        least_sent = sorted(self._rows.items(), key=lambda item: (item[1].times_sent, self._draw()))[:limit]
        for _, row in least_sent:
            row.times_sent += 1
        return tuple(
            Count(agent, row.incarnation, cell, row.total, row.stamp, max(0.0, now - row.at))
            for (agent, cell), row in least_sent
        )

    def rates(self, now: float) -> list[float]:
        """By customer, API calls a s of the whole fleet, as far as heard."""
        by_cell: dict[int, float] = {}
        for (_, cell), row in self._rows.items():
            windows = (now - row.at) / self.window
            weight = 1.0 if windows <= HOLD_WINDOWS else max(0.0, 1 - (windows - HOLD_WINDOWS) / FADE_WINDOWS)
            by_cell[cell] = by_cell.get(cell, 0.0) + 1000 * row.rate * weight
        return [
            min(by_cell.get(cell, 0.0) for cell in cells(c, self._customers)) for c in range(self._customers)
        ]

    def __len__(self) -> int:
        return len(self._rows)
