"""Fleet-wide request rates by customer, derived from grow-only counters. Pure.

Each agent counts the API calls of each customer since its incarnation began. A row holds such a count and the
time of the count by the counting agent's own clock. Rows are merged by agent, incarnation and cell, and the
later one wins, so duplicated, delayed or reordered rows change nothing. A rate is the difference of two
counts of one incarnation divided by the time between them on the counting agent's clock, so network delay
does not affect it. When an incarnation ends, its calls are neither lost nor counted twice: its last rate
fades like that of any agent that falls silent.

Up to `MAX_CELLS` customers have a cell each. More customers share a sketch of `SKETCH_ROWS` rows: a
customer's rate is the minimum over its cells. It is never below the true rate, and exceeds it by more than 2
/ SKETCH_WIDTH of the total with a probability of at most 2^-SKETCH_ROWS (Cormode and Muthukrishnan's
count-min sketch).

The last rate of a silent agent is held for `HOLD_WINDOWS`, then fades within `FADE_WINDOWS`. Its actual rate
may be anything meanwhile, so what others assume is an estimate that expires. With asked_a(s, t) the calls
that agent a received from s to t, the following holds under message loss, delay, duplication and partitions:

    rate(t)  <=  rate_bound(...) = sum over a of the greatest asked_a(s, u) / (u - s)

of two moments t - `BOUND_WINDOWS` windows <= s < u <= t at which a counted.

The checker verifies this bound: no call is counted twice. The rate can be too low by whatever has not been
received.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from zlib import crc32

MAX_CELLS = 64  # one per customer, or the cells of the sketch
SKETCH_ROWS, SKETCH_WIDTH = 2, 32
HOLD_WINDOWS = 3.0  # windows without a newer count after which a rate fades
FADE_WINDOWS = 3.0  # windows until a fading rate reaches zero
# Windows from the older of two counts until the rate derived from them has faded.
BOUND_WINDOWS = HOLD_WINDOWS + FADE_WINDOWS + 2.0
MAX_ROWS = 1 << 16  # agents times cells


def cells(customer: int, customers: int) -> tuple[int, ...]:
    """The cells that count a customer."""
    if customers <= MAX_CELLS:
        return (customer,)
    return tuple(
        row * SKETCH_WIDTH + crc32(b"%d:%d" % (row, customer)) * 2654435761 % 2**32 * SKETCH_WIDTH // 2**32
        for row in range(SKETCH_ROWS)
    )


def rate_bound(now: float, histories: Iterable[Sequence[tuple[float, int]]], window: float) -> float:
    """Upper bound of any agent's estimate of the fleet's rate per s.

    `histories` has (ms, total count) points for each incarnation.
    """
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
    """One agent's count of the calls in one cell, as exchanged between agents."""

    agent: int
    incarnation: int  # incarnation number
    cell: int
    total: int  # calls since that incarnation began
    stamp: float  # ms from the start of that incarnation to the count, by that agent's clock
    age: float  # ms since the count, added up over the agents that passed it on


@dataclass
class _Row:
    incarnation: int
    total: int
    stamp: float
    at: float  # ms, by this agent's clock: time of the count
    since: float  # stamp and total that the rate is measured from,
    base: int  # at least half a window older than the newest count
    rate: float = 0.0  # calls per ms
    times_sent: int = 0


class Counts:
    """One agent's table of rows, including its own.

    Bounded by `MAX_ROWS`; a row is removed once it has faded.
    """

    def __init__(self, me: int, customers: int, window: float, draw: Callable[[], float]) -> None:
        """`window` in ms."""
        self.me = me
        self._customers = customers
        self.window = window
        self._draw = draw
        self._rows: dict[tuple[int, int], _Row] = {}  # by agent and cell
        self._own: dict[int, int] = {}  # total by cell; at most `MAX_CELLS` entries
        self.rejected = 0

    def record_call(self, customer: int) -> None:
        """Counts an API call of a customer that this agent accepted."""
        for cell in cells(customer, self._customers):
            self._own[cell] = self._own.get(cell, 0) + 1

    def refresh(self, now: float, incarnation: int, age: float) -> None:
        """Turns the own counts into rows and removes faded rows, once per sharing interval.

        `age` is that of this incarnation, ms.
        """
        for cell, total in self._own.items():
            self._merge(now, Count(self.me, incarnation, cell, total, age, 0.0))
        for key in [
            k for k, row in self._rows.items() if now - row.at >= (HOLD_WINDOWS + FADE_WINDOWS) * self.window
        ]:
            del self._rows[key]

    def receive(self, now: float, counts: Iterable[Count]) -> None:
        """Merges rows from another agent; invalid ones are counted in `rejected`."""
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
            # No rate yet: the period in which that incarnation received the earlier calls is unknown.
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
        """At most `limit` rows for one datagram, those sent least often first."""
        least_sent = sorted(self._rows.items(), key=lambda item: (item[1].times_sent, self._draw()))[:limit]
        for _, row in least_sent:
            row.times_sent += 1
        return tuple(
            Count(agent, row.incarnation, cell, row.total, row.stamp, max(0.0, now - row.at))
            for (agent, cell), row in least_sent
        )

    def rates(self, now: float) -> list[float]:
        """API calls per s of the whole fleet by customer, as far as they have been received."""
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
