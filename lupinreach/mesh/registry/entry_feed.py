"""Entries of proxies for the connected proxies, in batches; on a slow link the newest of each proxy only."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from lupinreach.mesh.link import Link
from lupinreach.mesh.messages import AgentEntry, encode
from lupinreach.mesh.registry.agents import AgentTable

FLUSH_INTERVAL_S = 0.03  # between two batches
MAX_UNSENT_BYTES = 16 << 10  # bytes that wait on a link: beyond that it gets no batch until they are sent


@dataclass(slots=True)
class _PendingEntries:
    """What a proxy was not sent yet."""

    full_table: bool = False  # the whole table
    entries: dict[str, AgentEntry] = field(default_factory=dict)  # changed since, by address


class EntryFeed:
    """Collects changes of the table and sends them on."""

    def __init__(self, agents: AgentTable) -> None:
        self._agents = agents
        self._changed: dict[str, AgentEntry] = {}  # since the last batch
        self._pending: dict[Link, _PendingEntries] = {}  # by links that joined, or that have no room
        self._flushing: asyncio.TimerHandle | None = None
        self._full_table = b""  # encoded for this flush; empty: no link asked for it yet

    def join(self, link: Link) -> None:
        """A proxy wants the whole table."""
        self._pending[link] = _PendingEntries(full_table=True)
        self._flush_soon()

    def leave(self, link: Link) -> None:
        """A link has ended."""
        self._pending.pop(link, None)

    def changed(self, entry: AgentEntry) -> None:
        """An entry is new, or another than before."""
        self._changed[entry.address] = entry
        self._flush_soon()

    def _flush_soon(self) -> None:
        if self._flushing is None:
            self._flushing = asyncio.get_running_loop().call_later(FLUSH_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        """Each batch is encoded once for all that get the same, the whole table only for a link that has room."""
        self._flushing = None
        changed, self._changed = self._changed, {}
        batch = _encoded(changed)
        self._full_table = b""
        connected = [known.link for known in self._agents.connected() if known.link is not None]
        for link in connected if changed else list(self._pending):
            self._send(link, changed, batch)
        if self._pending:
            self._flush_soon()

    def _encoded_full_table(self) -> bytes:
        """The whole table, encoded once a flush."""
        if not self._full_table:
            announced = {entry.address: entry for entry in self._agents.entries() if entry.sequence >= 0}
            self._full_table = _encoded(announced)
        return self._full_table

    def _send(self, link: Link, changed: dict[str, AgentEntry], batch: bytes) -> None:
        pending = self._pending.get(link)
        if link.unsent > MAX_UNSENT_BYTES:
            pending = self._pending.setdefault(link, _PendingEntries())
            pending.entries |= changed
            return
        if pending is None:
            link.send_encoded(batch)
            return
        del self._pending[link]
        rest = pending.entries | changed
        link.send_encoded(
            self._encoded_full_table() + _encoded(rest) if pending.full_table else _encoded(rest)
        )


def _encoded(entries: dict[str, AgentEntry]) -> bytes:
    return b"".join([encode(entry) for entry in entries.values()])
