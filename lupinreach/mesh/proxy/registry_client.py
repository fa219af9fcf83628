"""The proxy's held links to two registries, of different zones where that can be."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.mesh.configuration_update import Applied
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.link import Dialer, Link, parse_address
from lupinreach.mesh.messages import (
    AgentEntry,
    AgentHello,
    Message,
    News,
    NewsAcknowledged,
    NewsPull,
    RegistryStatus,
)
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.rendezvous import rendezvous_rank
from lupinreach.mesh.tasks import spawn

LINKS = 2
SILENT_AFTER_S = 1.7  # a registry that says nothing for so long is exchanged for another
STALE_AFTER_S = 1.5  # and so is one that hears no store for so long, where another is known
CHECK_S = 0.25
ZONE_MOVE_S = 30.0  # between two moves of a link into another zone, whose registries may all be down
MOST_FAILURES = 3  # attempts to connect before another registry is tried


class _Held:
    """One of the links."""

    def __init__(self, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone
        self.dialer: Dialer | None = None
        self.fresh_at = 0.0  # loop time at which it last said that it hears a store
        self.began = 0.0


class RegistryClient:
    """Keeps the links up and hands on what comes over them."""

    def __init__(
        self,
        address: str,
        seeds: list[str],
        zone: str,
        hello: Callable[[], AgentHello],
        own_entry: Callable[[], AgentEntry],
        configuration: ConfigurationState,
        on_entry: Callable[[AgentEntry], None],
        log: EventLog,
    ) -> None:
        self._address = address  # of this proxy
        self._zone = zone
        self._hello = hello
        self._own_entry = own_entry
        self._configuration = configuration
        self._on_entry = on_entry
        self._log = log
        self._known: dict[str, str] = dict.fromkeys(seeds, "")  # address: zone, empty while unknown
        self._held: list[_Held] = []
        self._avoid: dict[str, float] = {}  # address: loop time until which others go first
        self._next_zone_move = 0.0  # loop time
        self._task = spawn(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for held in list(self._held):
                if self._is_lost(held, now):
                    self._drop(held, now)
            self._leave_shared_zone(now)
            while len(self._held) < min(LINKS, len(self._known)):
                self._open(now)
            await asyncio.sleep(CHECK_S)

    def _is_lost(self, held: _Held, now: float) -> bool:
        assert held.dialer is not None
        link = held.dialer.link
        others = len(self._known) > len(self._held)
        if link is None:
            return others and held.dialer.failures >= MOST_FAILURES or now - held.began > 3 * SILENT_AFTER_S
        if link.silent_s() > SILENT_AFTER_S:
            return True
        stale = now - max(held.fresh_at, held.began) > STALE_AFTER_S
        return stale and bool(self._free(now))

    def _free(self, now: float) -> list[str]:
        """The other registries that were not given up a moment ago."""
        held = {one.address for one in self._held}
        return [
            address for address in self._known if address not in held and self._avoid.get(address, 0.0) <= now
        ]

    def _leave_shared_zone(self, now: float) -> None:
        """Seeds are dialled before their zones are known: two of one zone would be lost together."""
        zones = {held.zone for held in self._held}
        if len(self._held) < LINKS or len(zones) > 1 or "" in zones or now < self._next_zone_move:
            return
        if any(self._known[address] not in zones | {""} for address in self._free(now)):
            self._next_zone_move = now + ZONE_MOVE_S
            self._drop(self._held[-1], now)

    def _drop(self, held: _Held, now: float) -> None:
        assert held.dialer is not None
        self._held.remove(held)
        self._avoid[held.address] = now + 2 * SILENT_AFTER_S
        held.dialer.close()
        self._log.write(Event.REGISTRY_CHANGED, registry=held.address)

    def _open(self, now: float) -> None:
        zones = {held.zone for held in self._held}
        addresses = {held.address for held in self._held}
        free = [address for address in self._known if address not in addresses]

        def order(address: str) -> tuple[bool, bool, bool, int]:
            zone = self._known[address]
            avoided = self._avoid.get(address, 0.0) > now
            return (
                avoided,
                bool(zone) and zone in zones,
                zone != self._zone,
                rendezvous_rank(self._address, address),
            )

        address = min(free, key=order)
        held = _Held(address, self._known[address])
        held.began = now
        held.dialer = Dialer(
            parse_address(address),
            lambda link: self._up(held, link),
            lambda link, message: self._message(held, message),
            lambda link: self._down(held),
        )
        self._held.append(held)

    def _up(self, held: _Held, link: Link) -> None:
        held.began = asyncio.get_running_loop().time()
        link.send(self._hello())
        link.send(self._own_entry())
        self._log.write(Event.REGISTRY_UP, registry=held.address)

    def _down(self, held: _Held) -> None:
        self._log.write(Event.REGISTRY_DOWN, registry=held.address)

    def _message(self, held: _Held, message: Message) -> None:
        if isinstance(message, News):
            if self._configuration.apply(message) is Applied.UNFIT:
                self._log.write(Event.UPDATE_UNFIT, registry=held.address, version=message.config_version)
                self._send(held, NewsPull())
            self._send(held, NewsAcknowledged(list(self._configuration.stamp), self._configuration.version))
        elif isinstance(message, AgentEntry):
            self._on_entry(message)
        elif isinstance(message, RegistryStatus):
            if message.fresh:
                held.fresh_at = asyncio.get_running_loop().time()
            for address, zone in message.registries:
                self._known[address] = zone
                if address == held.address:
                    held.zone = zone

    def _send(self, held: _Held, message: Message) -> None:
        if held.dialer is not None and held.dialer.link is not None:
            held.dialer.link.send(message)

    def announce(self) -> None:
        """Tell the registries what is beside this proxy now."""
        entry = self._own_entry()
        for held in self._held:
            self._send(held, entry)

    @property
    def silent_s(self) -> float:
        """Seconds since the link that was heard last said anything; 0 where none is up."""
        links = [held.dialer.link for held in self._held if held.dialer is not None]
        return min((link.silent_s() for link in links if link is not None), default=0.0)

    @property
    def connected(self) -> int:
        return sum(held.dialer is not None and held.dialer.link is not None for held in self._held)
