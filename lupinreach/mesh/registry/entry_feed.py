"""Sends changed proxy entries to the connected proxies in batches; a slow link gets only the newest entry of each."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from lupinreach.mesh.link import Link
from lupinreach.mesh.messages import AgentEntry, encode
from lupinreach.mesh.registry.agents import AgentTable

FLUSH_INTERVAL_S = 0.03  # between two batches
MAX_UNSENT_BYTES = 16 << 10  # a link with more bytes buffered gets no batch until it has sent them


@dataclass(slots=True)
class _PendingEntries:
    """What still has to be sent on one link."""

    full_table: bool = False  # the complete table, before `entries`
    entries: dict[str, AgentEntry] = field(default_factory=dict)  # changed entries by address


class EntryFeed:
    """Collects changes of the table and sends them to all connected proxies."""

    def __init__(self, agents: AgentTable) -> None:
        self._agents = agents
        self._changed: dict[str, AgentEntry] = {}  # since the last batch
        self._pending: dict[Link, _PendingEntries] = {}  # of links that just joined or have a full buffer
        self._flushing: asyncio.TimerHandle | None = None
        self._full_table = b""  # encoded once per flush; empty until a link needs it

    def join(self, link: Link) -> None:
        """Add a link; its proxy gets the complete table."""
        self._pending[link] = _PendingEntries(full_table=True)
        self._flush_soon()

    def leave(self, link: Link) -> None:
        """Remove a closed link."""
        self._pending.pop(link, None)

    def changed(self, entry: AgentEntry) -> None:
        """Queue a new or changed entry for all connected proxies."""
        self._changed[entry.address] = entry
        self._flush_soon()

    def _flush_soon(self) -> None:
        if self._flushing is None:
            self._flushing = asyncio.get_running_loop().call_later(FLUSH_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        """Send pending entries. A batch is encoded once for all links, the complete table only when it can be sent."""
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
        """The complete table, encoded once per flush."""
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
