"""The replicated document: the newest configuration, evacuations, and the backends that have said that they leave.

A departure is recorded here before it is acknowledged, since the proxy beside the backend has no disk: after a restart
it could not tell a heartbeat from before the departure, which may come seconds late, from a new one.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum
from typing import Any

import msgpack

from lupinreach.mesh.configuration import is_newer
from lupinreach.mesh.messages import NOT_FENCED, Order

# An instance needs no record any more once this many have left beside the same proxy after it: each served on for
# seconds after its departure, which is longer in sum than a heartbeat can be late.
MAX_DEPARTURES_PER_PROXY = 8
MAX_PROXIES_WITH_DEPARTURES = 4000


class OrderKind(IntEnum):
    """Kind of an operator's order. The numbers are part of the wire format."""

    REPLACE_CONFIGURATION = 1
    START_EVACUATION = 2
    STOP_EVACUATION = 3
    READ_CONFIGURATION = 4
    RECORD_DEPARTURES = 5


class Outcome(Enum):
    """Result of an order once the resulting document is on all copies."""

    DONE = "done"  # applied now or earlier, or superseded by a higher version
    CONFLICT = "conflict"  # the document holds the same version with different content
    SUPERSEDED = "superseded"  # an evacuation was ordered after the state that the order's registry knew


@dataclass(frozen=True, slots=True)
class DepartureRecord:
    """Payload of an order to record departures, and of its result. A proxy without instances only asks."""

    instances_by_proxy: dict[str, list[str]]

    def pack(self) -> bytes:
        """Encode for sending."""
        packed: bytes = msgpack.packb(self.instances_by_proxy)
        return packed

    @classmethod
    def unpack(cls, packed: bytes) -> DepartureRecord:
        """The inverse of `pack`."""
        return cls(msgpack.unpackb(packed))


@dataclass(frozen=True, slots=True)
class Document:
    """One state of the replicated data; `sequence` increases by one with each change."""

    sequence: int = 0
    version: str = ""
    config: bytes = b""
    evacuations: dict[str, bool] = field(default_factory=dict)
    evacuation_sequence: int = 0  # the sequence that the last evacuation order, start or stop, brought about
    # Instances that are draining or have signed off, oldest first, by the address of the proxy beside them.
    departures: dict[str, list[str]] = field(default_factory=dict)

    def to_list(self, held: Document | None = None) -> list[Any]:
        """Serialize to plain values, without the large parts that are the same in the document that a receiver holds."""
        config = None if held is not None and held.version == self.version else self.config
        departures = None if held is not None and held.departures == self.departures else self.departures
        return [
            self.sequence,
            self.version,
            config,
            self.evacuations,
            self.evacuation_sequence,
            departures,
        ]

    @classmethod
    def from_list(cls, values: list[Any], held: Document | None = None) -> Document:
        """Inverse of `to_list`; parts that were left out are taken from `held`.

        Stores before 0.3.0 know no departures and no `evacuation_sequence`: any of their changes may have been an
        evacuation.
        """
        sequence, version, config, evacuations = values[:4]
        evacuation_sequence = values[4] if len(values) > 4 else sequence
        departures = values[5] if len(values) > 5 else None
        if config is None:
            config = held.config if held is not None else b""
        if departures is None:
            departures = held.departures if held is not None else {}
        return cls(sequence, version, config, dict(evacuations), evacuation_sequence, departures)

    def apply_order(self, order: Order) -> tuple[Document, Outcome]:
        """Return the document after an order (`self` if nothing changes) and the order's outcome."""
        kind = OrderKind(order.kind)
        if kind is OrderKind.REPLACE_CONFIGURATION:
            return self._with_configuration(order.version, order.payload)
        if kind in (OrderKind.START_EVACUATION, OrderKind.STOP_EVACUATION):
            return self._with_evacuation(order, active=kind is OrderKind.START_EVACUATION)
        if kind is OrderKind.RECORD_DEPARTURES:
            return self._with_departures(DepartureRecord.unpack(order.payload)), Outcome.DONE
        return self, Outcome.DONE

    def _with_evacuation(self, order: Order, active: bool) -> tuple[Document, Outcome]:
        """Execute an evacuation order unless another one came after the state that its registry knew.

        An order that changes nothing takes a sequence too: what its caller gave up before must not come after it.
        """
        if order.known_sequence != NOT_FENCED and order.known_sequence < self.evacuation_sequence:
            return self, Outcome.SUPERSEDED
        sequence = self.sequence + 1
        evacuations = self.evacuations | {order.zone: active}
        changed = replace(self, sequence=sequence, evacuations=evacuations, evacuation_sequence=sequence)
        return changed, Outcome.DONE

    def _with_departures(self, record: DepartureRecord) -> Document:
        """Record departures; `self` if all are known."""
        departures = dict(self.departures)
        for address, instances in record.instances_by_proxy.items():
            known = departures.get(address, [])
            new = [instance for instance in instances if instance not in known]
            if new:
                departures.pop(address, None)
                departures[address] = [*known, *new][-MAX_DEPARTURES_PER_PROXY:]
        if departures == self.departures:
            return self
        while len(departures) > MAX_PROXIES_WITH_DEPARTURES:
            del departures[next(iter(departures))]
        return replace(self, sequence=self.sequence + 1, departures=departures)

    def departures_of(self, record: DepartureRecord) -> DepartureRecord:
        """All recorded departures beside the proxies that a record names."""
        return DepartureRecord(
            {address: self.departures.get(address, []) for address in record.instances_by_proxy}
        )

    def _with_configuration(self, version: str, config: bytes) -> tuple[Document, Outcome]:
        if is_newer(version, self.version):
            return replace(self, sequence=self.sequence + 1, version=version, config=config), Outcome.DONE
        if is_newer(self.version, version) or config == self.config:
            return self, Outcome.DONE
        return self, Outcome.CONFLICT
