"""Has the primary store record the departures that proxies report, and answers what is recorded."""

from __future__ import annotations

import asyncio

from result import Ok

from lupinreach.mesh.link import Link
from lupinreach.mesh.messages import DeparturesRecorded, RecordDepartures
from lupinreach.mesh.registry.operator_order import OperatorOrder
from lupinreach.mesh.registry.orders import StoreLinks
from lupinreach.mesh.store.document import DepartureRecord, OrderKind
from lupinreach.mesh.tasks import spawn

BATCH_DELAY_S = 0.01  # requests that arrive within this time share one order
RECORD_TIMEOUT_S = 0.7  # below the second of silence after which backends turn to another agent


class DepartureRecorder:
    """Collects the requests of proxies into orders, so that many proxies that start at once make few of them."""

    def __init__(self, stores: StoreLinks) -> None:
        self._stores = stores
        self._waiting: list[tuple[Link, RecordDepartures]] = []

    def on_request(self, link: Link, request: RecordDepartures) -> None:
        """Queue a request; it is answered on its link."""
        if not self._waiting:
            asyncio.get_running_loop().call_later(BATCH_DELAY_S, self._start_batch)
        self._waiting.append((link, request))

    def _start_batch(self) -> None:
        batch, self._waiting = self._waiting, []
        spawn(self._execute(batch))

    async def _execute(self, batch: list[tuple[Link, RecordDepartures]]) -> None:
        instances_by_proxy: dict[str, list[str]] = {}
        for _, request in batch:
            instances_by_proxy.setdefault(request.address, []).extend(request.instances)
        deadline = asyncio.get_running_loop().time() + RECORD_TIMEOUT_S
        payload = DepartureRecord(instances_by_proxy).pack()
        result = await self._stores.execute(
            OperatorOrder(OrderKind.RECORD_DEPARTURES, deadline, payload=payload)
        )
        recorded = DepartureRecord.unpack(result.ok_value) if isinstance(result, Ok) else None
        for link, request in batch:
            link.send(_answer(request, recorded))


def _answer(request: RecordDepartures, recorded: DepartureRecord | None) -> DeparturesRecorded:
    if recorded is None:
        return DeparturesRecorded(request.number)
    return DeparturesRecorded(request.number, True, recorded.instances_by_proxy[request.address])
