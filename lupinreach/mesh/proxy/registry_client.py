"""The proxy's persistent links to two registries, in different zones if possible."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.mesh.configuration_update import Applied
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.link import Dialer, Link, parse_address
from lupinreach.mesh.messages import (
    AgentEntry,
    AgentHello,
    DeparturesRecorded,
    Message,
    RegistryStatus,
    StateUpdate,
    StateUpdateAcknowledged,
    StateUpdatePull,
)
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.registry_link import LossReason, RegistryLink
from lupinreach.mesh.rendezvous import rendezvous_rank
from lupinreach.mesh.tasks import spawn

LINK_COUNT = 2
MAX_LINKS = 3  # while one of `LINK_COUNT` registries is unfit: a further one is tried before that one is left
CHECK_INTERVAL_S = 0.25
ZONE_MOVE_INTERVAL_S = 30.0  # between two moves of a link to another zone, whose registries may be down
AVOID_LOST_S = 3.4  # how long a registry that was silent or unreachable is dialled only if there is no other
AVOID_UNFIT_S = 10.0  # how long one that had no primary is; a link that stays tells when that is over


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
        on_departures: Callable[[DeparturesRecorded], None],
        log: EventLog,
    ) -> None:
        self._address = address  # of this proxy
        self._zone = zone
        self._hello = hello
        self._own_entry = own_entry
        self._configuration = configuration
        self._on_entry = on_entry
        self._on_departures = on_departures
        self._log = log
        self._zones_by_address: dict[str, str] = dict.fromkeys(
            seeds, ""
        )  # zone by address; empty while unknown
        self._links: list[RegistryLink] = []
        self._avoid_until: dict[str, float] = {}  # by address: loop time until which others are preferred
        self._next_zone_move = 0.0  # loop time
        self._task = spawn(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            self._close_lost(now)
            self._replace_unfit(now)
            self._spread_over_zones(now)
            while len(self._links) < min(LINK_COUNT, len(self._zones_by_address)):
                self._open(list(self._zones_by_address), now)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _close_lost(self, now: float) -> None:
        for registry_link in list(self._links):
            reason = registry_link.loss_reason(now)
            if reason is not None:
                self._close(registry_link, now, reason)

    def _replace_unfit(self, now: float) -> None:
        """Try another registry beside an unfit one, and leave that one once enough others are proven fit.

        If all registries are without a primary, nothing is gained by leaving the ones that are linked.
        """
        unfit = [(one, reason) for one in self._links if (reason := one.unfit_reason(now)) is not None]
        proven = [one for one in self._links if one.is_proven(now)]
        if len(proven) >= LINK_COUNT:
            for registry_link, reason in unfit:
                self._close(registry_link, now, reason)
            for registry_link in self._links[LINK_COUNT:]:
                self._close(registry_link, now, LossReason.SURPLUS)
            return
        alternatives = self._alternatives(now)
        if not unfit or not alternatives:
            return
        if len(self._links) >= MAX_LINKS:
            oldest, reason = unfit[0]
            self._close(oldest, now, reason)
        self._open(alternatives, now)

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

    def _close(self, registry_link: RegistryLink, now: float, reason: LossReason) -> None:
        assert registry_link.dialer is not None
        self._links.remove(registry_link)
        unfit = reason in (LossReason.STALE, LossReason.ISOLATED)
        self._avoid_until[registry_link.address] = now + (AVOID_UNFIT_S if unfit else AVOID_LOST_S)
        registry_link.dialer.close()
        self._log.write(Event.REGISTRY_CHANGED, registry=registry_link.address, why=reason.value)

    def _open(self, candidates: list[str], now: float) -> None:
        """Dial the best of some registries that is not linked yet."""
        zones = {registry_link.zone for registry_link in self._links}
        addresses = {registry_link.address for registry_link in self._links}
        free = [address for address in candidates if address not in addresses]

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
        registry_link = RegistryLink(address, self._zones_by_address[address], now)
        registry_link.dialer = Dialer(
            parse_address(address),
            lambda link: self._on_link_up(registry_link, link),
            lambda link, message: self._on_message(registry_link, message),
            lambda link: self._on_link_down(registry_link),
        )
        self._links.append(registry_link)

    def _on_link_up(self, registry_link: RegistryLink, link: Link) -> None:
        registry_link.on_up(asyncio.get_running_loop().time())
        link.send(self._hello())
        link.send(self._own_entry())
        self._log.write(Event.REGISTRY_UP, registry=registry_link.address)

    def _on_link_down(self, registry_link: RegistryLink) -> None:
        self._log.write(Event.REGISTRY_DOWN, registry=registry_link.address)

    def _on_message(self, registry_link: RegistryLink, message: Message) -> None:
        if isinstance(message, StateUpdate):
            if self._configuration.apply(message) is Applied.UNFIT:
                self._log.write(
                    Event.UPDATE_UNFIT, registry=registry_link.address, version=message.config_version
                )
                if message.base:  # the registry itself sends a complete configuration again
                    registry_link.send(StateUpdatePull())
            registry_link.send(
                StateUpdateAcknowledged(list(self._configuration.stamp), self._configuration.version)
            )
        elif isinstance(message, AgentEntry):
            self._on_entry(message)
        elif isinstance(message, DeparturesRecorded):
            self._on_departures(message)
        elif isinstance(message, RegistryStatus):
            registry_link.on_status(message, asyncio.get_running_loop().time())
            for address, zone in message.registries:
                self._zones_by_address[address] = zone
                if address == registry_link.address:
                    registry_link.zone = zone

    def announce(self) -> None:
        """Send this proxy's current entry to the registries."""
        self.broadcast(self._own_entry())

    def broadcast(self, message: Message) -> int:
        """Send a message to all linked registries; returns their number."""
        links = [one.link for one in self._links if one.link is not None]
        for link in links:
            link.send(message)
        return len(links)

    @property
    def silent_s(self) -> float:
        """Seconds since anything was received from a registry; 0 if no link is up."""
        links = [one.link for one in self._links]
        return min((link.silent_s() for link in links if link is not None), default=0.0)

    @property
    def connected(self) -> int:
        """Number of links that are up."""
        return sum(one.link is not None for one in self._links)
