"""The partial view of a proxy: a few neighbours out of all proxies, shuffled between neighbours.

Each round a proxy exchanges a sample of its view with its oldest neighbour (Cyclon, Voulgaris et al. 2005).
Views stay of a fixed size whatever the size of the mesh, and what is dead ages out of them. Over these
neighbours configuration news travels when no registry can be reached.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

VIEW_SIZE = 8
SAMPLE = 4


@dataclass(slots=True)
class Neighbour:
    """One entry of the view."""

    address: str
    age: int = 0  # rounds since its proxy itself last spread it


class PartialView:
    """Pure: messages go in and out as plain values."""

    def __init__(self, own_address: str, chance: random.Random) -> None:
        self._own = own_address
        self._chance = chance
        self._neighbours: dict[str, Neighbour] = {}
        self._sent: list[str] = []

    def addresses(self) -> list[str]:
        return list(self._neighbours)

    def offer(self, address: str) -> None:
        """A proxy is known from elsewhere; it fills a free place."""
        if address != self._own and address not in self._neighbours and len(self._neighbours) < VIEW_SIZE:
            self._neighbours[address] = Neighbour(address)

    def begin_round(self) -> tuple[str, list[list[Any]]] | None:
        """The neighbour to shuffle with, and the sample to send it; None while the view is empty."""
        if not self._neighbours:
            return None
        for neighbour in self._neighbours.values():
            neighbour.age += 1
        oldest = max(self._neighbours.values(), key=lambda neighbour: (neighbour.age, neighbour.address))
        del self._neighbours[oldest.address]
        sample = self._sample(SAMPLE - 1)
        self._sent = [address for address, _ in sample]
        return oldest.address, [[self._own, 0], *sample]

    def answer(self, entries: list[list[Any]]) -> list[list[Any]]:
        """Another proxy shuffles with this one: take its sample in, and give one back."""
        sample = self._sample(SAMPLE)
        self._merge(entries, [address for address, _ in sample])
        return sample

    def end_round(self, partner: str, entries: list[list[Any]]) -> None:
        """The neighbour's sample came: it lives."""
        self._merge([[partner, 0], *entries], self._sent)

    def _sample(self, size: int) -> list[list[Any]]:
        known = list(self._neighbours.values())
        chosen = self._chance.sample(known, min(size, len(known)))
        return [[neighbour.address, neighbour.age] for neighbour in chosen]

    def _merge(self, entries: list[list[Any]], replaceable: list[str]) -> None:
        replaceable = list(replaceable)
        for address, age in entries:
            if address == self._own:
                continue
            known = self._neighbours.get(address)
            if known is not None:
                known.age = min(known.age, age)
                continue
            while len(self._neighbours) >= VIEW_SIZE and replaceable:
                self._neighbours.pop(replaceable.pop(), None)
            if len(self._neighbours) < VIEW_SIZE:
                self._neighbours[address] = Neighbour(address, age)
