"""Queue of requests waiting for one backend: earliest due first, bounded by fair queueing between kinds.

Ordering by due time alone starves: under overload, less urgent requests are overtaken by newcomers until they
time out. So each kind of request is a flow with a virtual time, as in start-time fair queueing; its unit is
the work of one mean request. A flow that lags the most advanced one by `MAX_VIRTUAL_LEAD` is served first.
While several kinds wait, each gets at least its share of the backend's time; unused shares go to the others.

A flow keeps a bounded part of the share that it did not use while idle. Without it a kind that asks rarely
would wait `MAX_VIRTUAL_LEAD` on each return, which at a slow backend is longer than its queue wait limit.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from lupinreach.mesh.proxy.request_kind import RequestKind

MAX_VIRTUAL_LEAD = 2.0  # mean requests by which a flow may be ahead of another that waits
# Virtual time that an idle flow may lag; above the lead, so that it is served first on return despite rounding.
MAX_IDLE_CREDIT = MAX_VIRTUAL_LEAD + 0.1
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
        self._virtual_time = 0.0  # of the most advanced flow that was served, before its last service
        self._arrival_numbers = count()
        self.waiting = 0

    def push(self, kind: RequestKind, due: float, entry: Entry) -> None:
        """Add an entry; `due` orders it among the entries of its kind."""
        flow = self._flows.get(kind)
        if flow is None:
            self._drop_flows_with_full_credit()
            flow = self._flows[kind] = _Flow(kind, _weight(kind), self._least_virtual_time())
        flow.virtual_time = self._virtual_time_at_push(flow)
        heapq.heappush(flow.heap, (due, next(self._arrival_numbers), entry))
        flow.waiting += 1
        self.waiting += 1

    def _least_virtual_time(self) -> float:
        """Return the least virtual time of a flow that starts to wait now."""
        return max(0.0, self._virtual_time - MAX_IDLE_CREDIT)

    def _virtual_time_at_push(self, flow: _Flow | None) -> float:
        """Return the virtual time of a flow once an entry is added to it now; None: a new flow."""
        if flow is None:
            return self._least_virtual_time()
        return flow.virtual_time if flow.waiting else max(flow.virtual_time, self._least_virtual_time())

    def _drop_flows_with_full_credit(self) -> None:
        """Forget idle flows that would return with the same virtual time as new ones."""
        least = self._least_virtual_time()
        self._flows = {
            kind: flow for kind, flow in self._flows.items() if flow.waiting or flow.virtual_time > least
        }

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
        most_advanced = max(self._virtual_time, most_urgent[0].virtual_time)
        lag = most_advanced - lagging[0].virtual_time
        flow, head = lagging if lag >= MAX_VIRTUAL_LEAD else most_urgent
        heapq.heappop(flow.heap)
        self._virtual_time = max(self._virtual_time, flow.virtual_time)
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
        """Estimate how many entries would be served before one that is pushed now, if all others are more urgent."""
        flow = self._flows.get(kind)
        own_waiting = flow.waiting if flow is not None else 0
        turn = self._virtual_time_at_push(flow) + own_waiting * self._cost(kind) / _weight(kind)
        lags_enough = self._virtual_time - turn >= MAX_VIRTUAL_LEAD
        horizon = turn if lags_enough else turn + MAX_VIRTUAL_LEAD
        ahead = float(own_waiting)
        for other in self._flows.values():
            if other.waiting and other.kind != kind:
                lead = max(0.0, horizon - other.virtual_time)
                ahead += min(other.waiting, lead * other.weight / self._cost(other.kind))
        return ahead
