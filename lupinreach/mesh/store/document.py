"""The replicated document: the newest configuration and the evacuations ordered by operators."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum
from typing import Any

from lupinreach.mesh.configuration import is_newer
from lupinreach.mesh.messages import Order


class OrderKind(IntEnum):
    """Kind of an operator's order. The numbers are part of the wire format."""

    REPLACE_CONFIGURATION = 1
    START_EVACUATION = 2
    STOP_EVACUATION = 3
    READ_CONFIGURATION = 4


class Outcome(Enum):
    """Result of an order once the resulting document is on all copies."""

    DONE = "done"  # applied now or earlier, or superseded by a higher version
    CONFLICT = "conflict"  # the document holds the same version with different content


@dataclass(frozen=True, slots=True)
class Document:
    """One state of the replicated data; `sequence` increases by one with each change."""

    sequence: int = 0
    version: str = ""
    config: bytes = b""
    evacuations: dict[str, bool] = field(default_factory=dict)

    def to_list(self, with_config: bool = True) -> list[Any]:
        """Serialize to plain values, without the configuration if the receiver already holds it."""
        return [self.sequence, self.version, self.config if with_config else None, self.evacuations]

    @classmethod
    def from_list(cls, values: list[Any], held: Document | None = None) -> Document:
        """Inverse of `to_list`; a configuration that was left out is taken from `held`."""
        sequence, version, config, evacuations = values[:4]
        if config is None:
            config = held.config if held is not None else b""
        return cls(sequence, version, config, dict(evacuations))

    def apply_order(self, order: Order) -> tuple[Document, Outcome]:
        """Return the document after an order (`self` if nothing changes) and the order's outcome."""
        kind = OrderKind(order.kind)
        if kind is OrderKind.REPLACE_CONFIGURATION:
            return self._with_configuration(order.version, order.payload)
        if kind in (OrderKind.START_EVACUATION, OrderKind.STOP_EVACUATION):
            active = kind is OrderKind.START_EVACUATION
            if self.evacuations.get(order.zone, False) == active:
                return self, Outcome.DONE
            evacuations = self.evacuations | {order.zone: active}
            return replace(self, sequence=self.sequence + 1, evacuations=evacuations), Outcome.DONE
        return self, Outcome.DONE

    def _with_configuration(self, version: str, config: bytes) -> tuple[Document, Outcome]:
        if is_newer(version, self.version):
            return replace(self, sequence=self.sequence + 1, version=version, config=config), Outcome.DONE
        if is_newer(self.version, version) or config == self.config:
            return self, Outcome.DONE
        return self, Outcome.CONFLICT
