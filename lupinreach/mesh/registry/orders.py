"""Links to the stores, over which operators' orders are sent to the primary."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.link import CORE_LINK_POLICY, Dialer, Link
from lupinreach.mesh.messages import (
    Message,
    OrderResult,
    StateUpdate,
    StateUpdateAcknowledged,
    StoreStatus,
    Subscribe,
)
from lupinreach.mesh.registry.operator_order import OperatorOrder, OrderFailure, OrderOutcome
from lupinreach.mesh.store.document import OrderKind

CUT_OFF_AFTER_S = 2.5  # longer than a takeover; without a primary for this long orders are rejected at once
RETRY_INTERVAL_S = 0.05


@dataclass(slots=True)
class _KnownStore:
    """A store as this registry sees it."""

    host: str
    dialer: Dialer | None = None
    epoch: int = -1
    serving: bool = False
    in_majority: bool = True
    records_departures: bool = False
    zone: str = ""  # of its machine; empty until a store has reported it

    @property
    def link(self) -> Link | None:
        """The link to it, None while it is down."""
        return self.dialer.link if self.dialer is not None else None

    def executes(self, order: OperatorOrder) -> bool:
        """Whether its release knows the kind of an order."""
        return self.records_departures or order.kind is not OrderKind.RECORD_DEPARTURES

    @property
    def heard(self) -> bool:
        """Whether it answered a ping lately."""
        return self.link is not None and self.link.answering


@dataclass(slots=True)
class _OrderInFlight:
    """An order that was sent to a store and has no result yet."""

    link: Link
    result: asyncio.Future[OrderResult | None]  # None: the link closed before it came

    def resolve(self, result: OrderResult | None) -> None:
        if not self.result.done():
            self.result.set_result(result)


class StoreLinks:
    """Links to all known stores, and the orders in flight on them."""

    def __init__(
        self,
        port: int,
        version: Callable[[], str],
        on_news: Callable[[StateUpdate], None],
        log: EventLog,
    ) -> None:
        self._port = port
        self._log = log
        self._stores: dict[str, _KnownStore] = {}  # by host
        self._last_number = 0
        self._in_flight: dict[int, _OrderInFlight] = {}
        self._on_news = on_news
        self._version = version
        self._primary_seen_at = asyncio.get_running_loop().time()  # loop time of last contact with a primary
        self._logged_primary: _KnownStore | None = None  # the primary that the log names as known

    def dial(self, host: str, zone: str = "") -> None:
        """Keep a link to the store on a machine; for a known machine, update its zone."""
        if host in self._stores:
            self._stores[host].zone = zone or self._stores[host].zone
            return
        store = self._stores[host] = _KnownStore(host, zone=zone)
        store.dialer = Dialer(
            (host, self._port),
            lambda link: self._on_link_up(store, link),
            lambda link, message: self._on_message(store, link, message),
            lambda link: self._on_link_down(store, link),
            CORE_LINK_POLICY,
        )

    @property
    def zones(self) -> dict[str, str]:
        """Zones of all store machines by host; empty where not known yet."""
        return {host: store.zone for host, store in self._stores.items()}

    @property
    def hosts(self) -> list[str]:
        """Hosts of all known store machines."""
        return list(self._stores)

    def _on_link_up(self, store: _KnownStore, link: Link) -> None:
        self._log.write(Event.STORE_LINK_UP, store=store.host)
        link.send(Subscribe(self._version(), acknowledges=True))

    def _on_link_down(self, store: _KnownStore, link: Link) -> None:
        self._log.write(Event.STORE_LINK_DOWN, store=store.host, silent_s=round(link.silent_s(), 2))
        store.serving = False
        for order in self._in_flight.values():
            if order.link is link:
                order.resolve(None)

    def _on_message(self, store: _KnownStore, link: Link, message: Message) -> None:
        if isinstance(message, StoreStatus):
            store.epoch, store.serving = message.epoch, message.serving
            store.in_majority = message.in_majority
            store.records_departures = message.records_departures
            for _, host, zone, _ in message.stores:
                self.dial(host, zone)
        elif isinstance(message, OrderResult):
            order = self._in_flight.get(message.number)
            if order is not None:
                order.resolve(message)
        elif isinstance(message, StateUpdate):
            self._on_news(message)
            link.send(StateUpdateAcknowledged(message.stamp, self._version()))

    def _primary_store(self) -> _KnownStore | None:
        """The serving store with the highest epoch among those that are heard, if there is one."""
        serving = [store for store in self._stores.values() if store.serving and store.heard]
        return max(serving, key=lambda store: store.epoch, default=None)

    def primary(self) -> Link | None:
        """The link to the serving store with the highest epoch, if there is one."""
        store = self._primary_store()
        return store.link if store is not None else None

    @property
    def linked_count(self) -> int:
        """Number of stores to which a link is up."""
        return sum(store.link is not None for store in self._stores.values())

    @property
    def heard_count(self) -> int:
        """Number of stores that answered a ping lately."""
        return sum(store.heard for store in self._stores.values())

    def log_primary_changes(self) -> None:
        """Log once that a primary is known, and once that it is lost; to be called regularly."""
        store, logged = self._primary_store(), self._logged_primary
        if store is logged:
            return
        self._logged_primary = store
        if store is not None:
            self._log.write(Event.PRIMARY_KNOWN, store=store.host, epoch=store.epoch)
        elif logged is not None:
            counts = {"linked": self.linked_count, "heard": self.heard_count}
            self._log.write(Event.PRIMARY_LOST, store=logged.host, serving=logged.serving, **counts)

    @property
    def isolated(self) -> bool:
        """Whether none of the stores that are heard is in a majority, so that a primary can't be among them."""
        return not any(store.heard and store.in_majority for store in self._stores.values())

    def in_contact(self) -> bool:
        """Whether a serving primary is connected. Call it regularly: it also records the time of contact."""
        known = self.primary() is not None
        if known:
            self._primary_seen_at = asyncio.get_running_loop().time()
        return known

    async def execute(self, order: OperatorOrder) -> OrderOutcome:
        """Send an order to the primary and wait for its result, again and again until its deadline.

        A registry that is isolated, or without a primary for longer than `CUT_OFF_AFTER_S`, rejects it at once.
        """
        loop = asyncio.get_running_loop()
        if not self.in_contact() and (self.isolated or loop.time() - self._primary_seen_at > CUT_OFF_AFTER_S):
            return Err(OrderFailure(ErrorKind.NO_PRIMARY))
        while not order.expired(loop.time()):
            store = self._primary_store()
            link = store.link if store is not None else None
            if store is None or link is None or not store.executes(order):
                order.no_primary()
            else:
                result = await self._send_order(link, order)
                outcome = order.on_result(result) if result is not None else None
                if outcome is not None:
                    return outcome
                if order.may_resend_at_once:
                    continue
            await asyncio.sleep(RETRY_INTERVAL_S)
        return Err(order.failure)

    async def _send_order(self, link: Link, order: OperatorOrder) -> OrderResult | None:
        """Send an order once; returns its result, or None if none came before the deadline or the end of the link."""
        self._last_number += 1
        number = self._last_number
        in_flight = _OrderInFlight(link, asyncio.get_running_loop().create_future())
        self._in_flight[number] = in_flight
        link.send(order.message(number))
        try:
            async with asyncio.timeout_at(order.deadline):
                return await in_flight.result
        except TimeoutError:
            return None
        finally:
            del self._in_flight[number]
