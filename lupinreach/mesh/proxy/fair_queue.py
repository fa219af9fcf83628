"""Queue of requests waiting for one backend: earliest due first, bounded by fair queueing between kinds.

Ordering by due time alone starves: under overload, less urgent requests are overtaken by newcomers until they
time out. So each kind of request is a flow with a virtual time, as in start-time fair queueing; its unit is
the work of one mean request. A flow that lags the most urgent one by `MAX_VIRTUAL_LEAD` is served first.
While several kinds wait, each gets at least its share of the backend's time; unused shares go to the others.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from lupinreach.mesh.proxy.request_kind import RequestKind

MAX_VIRTUAL_LEAD = 2.0  # mean requests by which the most urgent flow may be ahead of another that waits
CALL_WEIGHT = 3.0  # share of calls relative to any other kind: a refused call wastes the run that made it

Entry = asyncio.Future[None]


@dataclass(slots=True)
class _Flow:
    """The waiting requests of one kind."""

    kind: RequestKind
    weight: float
    virtual_time: float  # work served so far divided by weight, in mean requests; comparable between flows
    heap: list[tuple[float, int, Entry]] = field(default_factory=list)  # by due time
    waiting: int = 0  # entries that are not done

    def head(self) -> tuple[float, int, Entry] | None:
        """Return the most urgent entry that still waits, or None."""
        while self.heap and self.heap[0][2].done():
            heapq.heappop(self.heap)
        return self.heap[0] if self.heap else None


def _weight(kind: RequestKind) -> float:
    return CALL_WEIGHT if kind.is_call else 1.0


class FairQueue:
    """Fair queue of futures; an entry that is done, for whatever reason, no longer waits.

    `cost` returns the work of a request of a kind relative to the mean request.
    """

    def __init__(self, cost: Callable[[RequestKind], float] = lambda kind: 1.0) -> None:
        self._cost = cost
        self._flows: dict[RequestKind, _Flow] = {}
        self._arrival_numbers = count()
        self.waiting = 0

    def push(self, kind: RequestKind, due: float, entry: Entry) -> None:
        """Add an entry; `due` orders it among the entries of its kind."""
        if not self.waiting:
            self._flows.clear()
        min_virtual_time = min(
            (flow.virtual_time for flow in self._flows.values() if flow.waiting), default=0.0
        )
        flow = self._flows.setdefault(kind, _Flow(kind, _weight(kind), min_virtual_time))
        if not flow.waiting:
            # An idle flow saves up no credit.
            flow.virtual_time = max(flow.virtual_time, min_virtual_time)
        heapq.heappush(flow.heap, (due, next(self._arrival_numbers), entry))
        flow.waiting += 1
        self.waiting += 1

    def on_entry_done(self, kind: RequestKind) -> None:
        """Account for an entry that stopped waiting because it timed out or its client went away."""
        self._flows[kind].waiting -= 1
        self.waiting -= 1

    def pop(self) -> Entry | None:
        """Remove and return the next entry to serve, or None if nothing waits."""
        heads = [(flow, head) for flow in self._flows.values() if (head := flow.head()) is not None]
        if not heads:
            return None
        most_urgent = min(heads, key=lambda candidate: candidate[1][:2])
        lagging = min(heads, key=lambda candidate: (candidate[0].virtual_time, candidate[1][:2]))
        flow, head = (
            lagging
            if most_urgent[0].virtual_time - lagging[0].virtual_time >= MAX_VIRTUAL_LEAD
            else most_urgent
        )
        heapq.heappop(flow.heap)
        flow.virtual_time += self._cost(flow.kind) / flow.weight
        flow.waiting -= 1
        self.waiting -= 1
        return head[2]

    def drain(self) -> list[Entry]:
        """Remove and return all waiting entries."""
        drained: list[Entry] = []
        for flow in self._flows.values():
            remaining = [entry for *_, entry in flow.heap if not entry.done()]
            flow.heap.clear()
            flow.waiting -= len(remaining)
            drained += remaining
        self.waiting -= len(drained)
        return drained

    def estimate_entries_ahead(self, kind: RequestKind) -> float:
        """Estimate how many entries would be served before one that is pushed now."""
        own_flow = self._flows.get(kind)
        other_flows = [flow for other, flow in self._flows.items() if flow.waiting and other != kind]
        relative_weight = sum([flow.weight for flow in other_flows]) / _weight(kind)
        own_waiting = own_flow.waiting if own_flow is not None else 0
        fair_share_position = (
            own_waiting + (own_waiting + 1) * relative_weight + MAX_VIRTUAL_LEAD * len(other_flows)
        )
        return min(float(self.waiting), fair_share_position)
