"""The proxy's persistent links to two registries, in different zones if possible."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from lupinreach.mesh.configuration_update import Applied
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.link import Dialer, Link, parse_address
from lupinreach.mesh.messages import (
    AgentEntry,
    AgentHello,
    DepartedInstances,
    Message,
    RegistryStatus,
    StateUpdate,
    StateUpdateAcknowledged,
    StateUpdatePull,
)
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.local_backend import LocalBackend
from lupinreach.mesh.rendezvous import rendezvous_rank
from lupinreach.mesh.tasks import spawn

LINK_COUNT = 2
SILENCE_TIMEOUT_S = 1.7  # a registry from which nothing is received for this long is replaced by another
STALE_TIMEOUT_S = 1.5  # a registry without contact to a store for this long is replaced if there is another
CHECK_INTERVAL_S = 0.25
ZONE_MOVE_INTERVAL_S = 30.0  # between two moves of a link to another zone, whose registries may be down
MAX_CONNECT_FAILURES = 3  # failed connects after which another registry is tried


class LossReason(Enum):
    """Why a proxy leaves a registry."""

    SILENT = "silent"
    UNREACHABLE = "unreachable"
    STALE = "stale"
    ZONE = "zone"


class _RegistryLink:
    """A link to one registry and its state."""

    def __init__(self, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone
        self.dialer: Dialer | None = None
        self.fresh_at = 0.0  # loop time at which it last reported contact to a store
        self.started_at = 0.0  # loop time of the selection or of the last connect


class RegistryClient:
    """Keeps the links up and dispatches the messages received on them."""

    def __init__(
        self,
        address: str,
        seeds: list[str],
        zone: str,
        hello: Callable[[], AgentHello],
        own_entry: Callable[[], AgentEntry],
        configuration: ConfigurationState,
        on_entry: Callable[[AgentEntry], None],
        backend: LocalBackend,
        on_departed: Callable[[list[str]], None],
        log: EventLog,
    ) -> None:
        self._address = address  # of this proxy
        self._zone = zone
        self._hello = hello
        self._own_entry = own_entry
        self._configuration = configuration
        self._on_entry = on_entry
        self._backend = backend
        self._on_departed = on_departed
        self._log = log
        self._zones_by_address: dict[str, str] = dict.fromkeys(
            seeds, ""
        )  # zone by address; empty while unknown
        self._links: list[_RegistryLink] = []
        self._avoid_until: dict[str, float] = {}  # by address: loop time until which others are preferred
        self._next_zone_move = 0.0  # loop time
        self._task = spawn(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for registry_link in list(self._links):
                reason = self._loss_reason(registry_link, now)
                if reason is not None:
                    self._close(registry_link, now, reason)
            self._spread_over_zones(now)
            while len(self._links) < min(LINK_COUNT, len(self._zones_by_address)):
                self._open(now)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _loss_reason(self, registry_link: _RegistryLink, now: float) -> LossReason | None:
        """Why another registry is to be used in place of this one; None if it is fit for use."""
        assert registry_link.dialer is not None
        link = registry_link.dialer.link
        has_alternatives = len(self._zones_by_address) > len(self._links)
        if link is None:
            unreachable = has_alternatives and registry_link.dialer.failures >= MAX_CONNECT_FAILURES
            unreachable = unreachable or now - registry_link.started_at > 3 * SILENCE_TIMEOUT_S
            return LossReason.UNREACHABLE if unreachable else None
        if link.silent_s() > SILENCE_TIMEOUT_S:
            return LossReason.SILENT
        stale = now - max(registry_link.fresh_at, registry_link.started_at) > STALE_TIMEOUT_S
        return LossReason.STALE if stale and self._alternatives(now) else None

    def _alternatives(self, now: float) -> list[str]:
        """Return the registries without a link from this proxy that were not dropped recently."""
        linked = {registry_link.address for registry_link in self._links}
        return [
            address
            for address in self._zones_by_address
            if address not in linked and self._avoid_until.get(address, 0.0) <= now
        ]

    def _spread_over_zones(self, now: float) -> None:
        """Close one of two links to the same zone if there is another zone.

        Seeds are dialled before their zones are known; two registries of one zone would be lost together.
        """
        zones = {registry_link.zone for registry_link in self._links}
        if len(self._links) < LINK_COUNT or len(zones) > 1 or "" in zones or now < self._next_zone_move:
            return
        if any(self._zones_by_address[address] not in zones | {""} for address in self._alternatives(now)):
            self._next_zone_move = now + ZONE_MOVE_INTERVAL_S
            self._close(self._links[-1], now, LossReason.ZONE)

    def _close(self, registry_link: _RegistryLink, now: float, reason: LossReason) -> None:
        assert registry_link.dialer is not None
        self._links.remove(registry_link)
        self._avoid_until[registry_link.address] = now + 2 * SILENCE_TIMEOUT_S
        registry_link.dialer.close()
        self._log.write(Event.REGISTRY_CHANGED, registry=registry_link.address, why=reason.value)

    def _open(self, now: float) -> None:
        zones = {registry_link.zone for registry_link in self._links}
        addresses = {registry_link.address for registry_link in self._links}
        free = [address for address in self._zones_by_address if address not in addresses]

        def preference(address: str) -> tuple[bool, bool, bool, int]:
            zone = self._zones_by_address[address]
            avoided = self._avoid_until.get(address, 0.0) > now
            return (
                avoided,
                bool(zone) and zone in zones,
                zone != self._zone,
                rendezvous_rank(self._address, address),
            )

        address = min(free, key=preference)
        registry_link = _RegistryLink(address, self._zones_by_address[address])
        registry_link.started_at = now
        registry_link.dialer = Dialer(
            parse_address(address),
            lambda link: self._on_link_up(registry_link, link),
            lambda link, message: self._on_message(registry_link, message),
            lambda link: self._on_link_down(registry_link),
        )
        self._links.append(registry_link)

    def _on_link_up(self, registry_link: _RegistryLink, link: Link) -> None:
        registry_link.started_at = asyncio.get_running_loop().time()
        link.send(self._hello())
        link.send(self._own_entry())
        if self._backend.departed:
            link.send(DepartedInstances(self._address, list(self._backend.departed)))
        self._log.write(Event.REGISTRY_UP, registry=registry_link.address)

    def _on_link_down(self, registry_link: _RegistryLink) -> None:
        self._log.write(Event.REGISTRY_DOWN, registry=registry_link.address)

    def _on_message(self, registry_link: _RegistryLink, message: Message) -> None:
        if isinstance(message, StateUpdate):
            if self._configuration.apply(message) is Applied.UNFIT:
                self._log.write(
                    Event.UPDATE_UNFIT, registry=registry_link.address, version=message.config_version
                )
                self._send(registry_link, StateUpdatePull())
            self._send(
                registry_link,
                StateUpdateAcknowledged(list(self._configuration.stamp), self._configuration.version),
            )
        elif isinstance(message, AgentEntry):
            self._on_entry(message)
        elif isinstance(message, DepartedInstances):
            self._on_departed(message.instances)
        elif isinstance(message, RegistryStatus):
            if message.fresh:
                registry_link.fresh_at = asyncio.get_running_loop().time()
            for address, zone in message.registries:
                self._zones_by_address[address] = zone
                if address == registry_link.address:
                    registry_link.zone = zone

    def _send(self, registry_link: _RegistryLink, message: Message) -> None:
        if registry_link.dialer is not None and registry_link.dialer.link is not None:
            registry_link.dialer.link.send(message)

    def announce(self) -> None:
        """Send this proxy's current entry to the registries."""
        entry = self._own_entry()
        for registry_link in self._links:
            self._send(registry_link, entry)

    def announce_departures(self) -> None:
        """Tell the registries which backends leave, so that the next life of this proxy learns of them."""
        message = DepartedInstances(self._address, list(self._backend.departed))
        for registry_link in self._links:
            self._send(registry_link, message)

    @property
    def silent_s(self) -> float:
        """Seconds since anything was received from a registry; 0 if no link is up."""
        links = [
            registry_link.dialer.link for registry_link in self._links if registry_link.dialer is not None
        ]
        return min((link.silent_s() for link in links if link is not None), default=0.0)

    @property
    def connected(self) -> int:
        """Number of links that are up."""
        return sum(
            registry_link.dialer is not None and registry_link.dialer.link is not None
            for registry_link in self._links
        )
