"""Queue of what waits for one backend: the most urgent first, but no kind of request falls far behind its share.

Urgency alone starves: while more comes than the backend takes, whatever is less urgent than the newcomers is overtaken
until its wait ends. So each kind keeps a count of its turns (start-time fair queueing), a turn being the work of one mean
request; one that is behind the others by `MOST_AHEAD` turns goes first, whatever is more urgent. While several kinds wait,
each gets its share of the backend's time at least, and what one does not use goes to the others.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from lupinreach.mesh.proxy.request_kind import RequestKind

MOST_AHEAD = 2.0  # turns that the more urgent kind may be ahead of another that waits
CALL_WEIGHT = 3.0  # turns of calls to one of any other kind: a refused call wastes the run that made it

Entry = asyncio.Future[None]


@dataclass(slots=True)
class _Lane:
    """What waits of one kind."""

    kind: RequestKind
    weight: float
    turns: float  # taken so far, by weight, on the scale of all lanes
    heap: list[tuple[float, int, Entry]] = field(default_factory=list)  # by due time
    waiting: int = 0  # entries that are not done

    def head(self) -> tuple[float, int, Entry] | None:
        """The most urgent entry that still waits."""
        while self.heap and self.heap[0][2].done():
            heapq.heappop(self.heap)
        return self.heap[0] if self.heap else None


def _weight(kind: RequestKind) -> float:
    return CALL_WEIGHT if kind.is_call else 1.0


class FairQueue:
    """Entries are futures: one that is done, for whatever reason, no longer waits.

    `cost` tells the work of a request of a kind, in that of the mean request.
    """

    def __init__(self, cost: Callable[[RequestKind], float] = lambda kind: 1.0) -> None:
        self._cost = cost
        self._lanes: dict[RequestKind, _Lane] = {}
        self._order = count()
        self.waiting = 0

    def push(self, kind: RequestKind, due: float, entry: Entry) -> None:
        """Let an entry wait; `due` orders it among those of its kind."""
        if not self.waiting:
            self._lanes.clear()
        floor = min((lane.turns for lane in self._lanes.values() if lane.waiting), default=0.0)
        lane = self._lanes.setdefault(kind, _Lane(kind, _weight(kind), floor))
        if not lane.waiting:
            lane.turns = max(lane.turns, floor)  # what it did not use is not saved up
        heapq.heappush(lane.heap, (due, next(self._order), entry))
        lane.waiting += 1
        self.waiting += 1

    def left(self, kind: RequestKind) -> None:
        """An entry of a kind waits no longer: its time ran out, or its client has gone."""
        self._lanes[kind].waiting -= 1
        self.waiting -= 1

    def pop(self) -> Entry | None:
        """The entry whose turn it is; None where nothing waits."""
        heads = [(lane, head) for lane in self._lanes.values() if (head := lane.head()) is not None]
        if not heads:
            return None
        urgent = min(heads, key=lambda found: found[1][:2])
        behind = min(heads, key=lambda found: (found[0].turns, found[1][:2]))
        lane, head = behind if urgent[0].turns - behind[0].turns >= MOST_AHEAD else urgent
        heapq.heappop(lane.heap)
        lane.turns += self._cost(lane.kind) / lane.weight
        lane.waiting -= 1
        self.waiting -= 1
        return head[2]

    def drain(self) -> list[Entry]:
        """All that waits, which leaves the queue."""
        drained: list[Entry] = []
        for lane in self._lanes.values():
            entries = [entry for *_, entry in lane.heap if not entry.done()]
            lane.heap.clear()
            lane.waiting -= len(entries)
            drained += entries
        self.waiting -= len(drained)
        return drained

    def turns_before(self, kind: RequestKind) -> float:
        """How many would go before an entry that is pushed now, as an estimate."""
        own = self._lanes.get(kind)
        others = [lane for other, lane in self._lanes.items() if lane.waiting and other != kind]
        weights = sum([lane.weight for lane in others]) / _weight(kind)
        own_waiting = own.waiting if own is not None else 0
        by_share = own_waiting + (own_waiting + 1) * weights + MOST_AHEAD * len(others)
        return min(float(self.waiting), by_share)
