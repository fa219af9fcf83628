"""The registry's table of proxies, kept in memory only and rebuilt from what the proxies report."""

from __future__ import annotations

from dataclasses import dataclass

from lupinreach.mesh.link import Link
from lupinreach.mesh.messages import AgentEntry

EXPIRE_AFTER_S = 5.0  # since a proxy was last connected to any registry


@dataclass(slots=True)
class KnownProxy:
    """A proxy in the table."""

    entry: AgentEntry
    last_connected_at: float  # loop time at which the proxy was last known to be connected to any registry
    link: Link | None = None  # its link to this registry


class AgentTable:
    """All proxies by address, each with its entry of the highest (life, sequence)."""

    def __init__(self) -> None:
        self._by_address: dict[str, KnownProxy] = {}

    def __len__(self) -> int:
        return len(self._by_address)

    def entries(self) -> list[AgentEntry]:
        """The entries of all proxies."""
        return [known.entry for known in self._by_address.values()]

    def connected(self) -> list[KnownProxy]:
        """The proxies with a link to this registry."""
        return [known for known in self._by_address.values() if known.link is not None]

    def local_proxy_address(self, instance_id: str, host: str) -> str | None:
        """Address of the proxy beside a backend, found by the backend's instance or else by its host."""
        on_host = None
        for address, known in self._by_address.items():
            if instance_id and known.entry.instance_id == instance_id:
                return address
            if host and address.rpartition(":")[0] == host:
                on_host = address
        return on_host

    def apply(self, entry: AgentEntry, now: float) -> bool:
        """Store an entry; returns False if it is not newer than the stored one."""
        known = self._by_address.get(entry.address)
        if known is None:
            self._by_address[entry.address] = KnownProxy(entry, now)
            return True
        known.last_connected_at = now
        if (entry.life, entry.sequence) <= (known.entry.life, known.entry.sequence):
            return False
        known.entry = entry
        return True

    def connect(self, address: str, life: int, link: Link, now: float) -> None:
        """Record that a proxy has opened a link to this registry."""
        known = self._by_address.get(address)
        if known is None:
            known = self._by_address[address] = KnownProxy(AgentEntry(address, life, -1), now)
        known.link = link
        known.last_connected_at = now

    def disconnect(self, link: Link, now: float) -> None:
        """Record that a link was closed."""
        for known in self._by_address.values():
            if known.link is link:
                known.link = None
                known.last_connected_at = now

    def mark_alive(self, address: str, now: float) -> None:
        """Record that the proxy is connected to another registry."""
        known = self._by_address.get(address)
        if known is not None:
            known.last_connected_at = now

    def expire(self, now: float) -> list[AgentEntry]:
        """Delete proxies not connected to any registry for `EXPIRE_AFTER_S`; returns entries with `removed` set."""
        expired = []
        for address, known in list(self._by_address.items()):
            if known.link is None and now - known.last_connected_at > EXPIRE_AFTER_S:
                del self._by_address[address]
                entry = known.entry
                expired.append(
                    AgentEntry(address, entry.life, entry.sequence, entry.service, entry.zone, removed=True)
                )
        return expired
