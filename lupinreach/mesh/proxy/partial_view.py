"""The partial view of a proxy: a few neighbours out of all proxies, shuffled between neighbours.

Each round a proxy exchanges a sample of its view with its oldest neighbour (Cyclon, Voulgaris et al. 2005).
The size of a view does not depend on the size of the mesh, and dead proxies age out of it. Configuration
state spreads between these neighbours when no registry can be reached.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

VIEW_SIZE = 8  # neighbours
SAMPLE_SIZE = 4  # entries exchanged in a round, each way


@dataclass(slots=True)
class Neighbour:
    """An entry of the view."""

    address: str
    age: int = 0  # rounds since the proxy itself last sent the entry


class PartialView:
    """The view and its shuffle protocol, without I/O."""

    def __init__(self, own_address: str, rng: random.Random) -> None:
        self._own_address = own_address
        self._rng = rng
        self._neighbours: dict[str, Neighbour] = {}
        self._sent_addresses: list[str] = []

    def addresses(self) -> list[str]:
        """Return the addresses of the neighbours."""
        return list(self._neighbours)

    def offer(self, address: str) -> None:
        """Add a proxy that is known from another source if the view has a free place."""
        if (
            address != self._own_address
            and address not in self._neighbours
            and len(self._neighbours) < VIEW_SIZE
        ):
            self._neighbours[address] = Neighbour(address)

    def begin_round(self) -> tuple[str, list[list[Any]]] | None:
        """Remove the oldest neighbour; return its address and the sample for it, None if there is none."""
        if not self._neighbours:
            return None
        for neighbour in self._neighbours.values():
            neighbour.age += 1
        oldest = max(self._neighbours.values(), key=lambda neighbour: (neighbour.age, neighbour.address))
        del self._neighbours[oldest.address]
        sample = self._sample(SAMPLE_SIZE - 1)
        self._sent_addresses = [address for address, _ in sample]
        return oldest.address, [[self._own_address, 0], *sample]

    def answer(self, entries: list[list[Any]]) -> list[list[Any]]:
        """Merge the sample of another proxy that shuffles with this one, and return a sample for it."""
        sample = self._sample(SAMPLE_SIZE)
        self._merge(entries, [address for address, _ in sample])
        return sample

    def end_round(self, partner: str, entries: list[list[Any]]) -> None:
        """Merge the sample that the neighbour returned, and put the neighbour back into the view."""
        self._merge([[partner, 0], *entries], self._sent_addresses)

    def _sample(self, size: int) -> list[list[Any]]:
        known = list(self._neighbours.values())
        chosen = self._rng.sample(known, min(size, len(known)))
        return [[neighbour.address, neighbour.age] for neighbour in chosen]

    def _merge(self, entries: list[list[Any]], replaceable: list[str]) -> None:
        replaceable = list(replaceable)
        for address, age in entries:
            if address == self._own_address:
                continue
            known = self._neighbours.get(address)
            if known is not None:
                known.age = min(known.age, age)
                continue
            while len(self._neighbours) >= VIEW_SIZE and replaceable:
                self._neighbours.pop(replaceable.pop(), None)
            if len(self._neighbours) < VIEW_SIZE:
                self._neighbours[address] = Neighbour(address, age)
