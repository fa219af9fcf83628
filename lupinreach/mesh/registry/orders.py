"""Orders of operators on their way to the primary store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.link import Dialer, Link
from lupinreach.mesh.messages import (
    Message,
    Order,
    OrderResult,
    StateUpdate,
    StateUpdateAcknowledged,
    StoreStatus,
    Subscribe,
)
from lupinreach.mesh.store.document import OrderKind

PATIENCE_S = 0.9  # operators turn to another registry after a second of silence
CUT_OFF_S = 2.5  # without a primary for so long, longer than a takeover takes, orders are refused at once
RETRY_S = 0.05
SILENT_AFTER_S = 1.5


@dataclass(frozen=True, slots=True)
class OrderFailure:
    """Why an order was not confirmed."""

    kind: ErrorKind
    detail: str = ""


@dataclass(slots=True)
class _Store:
    """A store as this registry sees it."""

    dialer: Dialer | None = None
    epoch: int = -1
    serving: bool = False
    zone: str = ""  # of its machine; empty until a store has told it


class StoreLinks:
    """Held links to all known stores, and the orders that are out on them."""

    def __init__(self, port: int, version: Callable[[], str], on_news: Callable[[StateUpdate], None]) -> None:
        self._port = port
        self._stores: dict[str, _Store] = {}  # by host
        self._numbers = 0
        self._out: dict[int, asyncio.Future[OrderResult]] = {}
        self._on_news = on_news
        self._version = version
        self._primary_at = asyncio.get_running_loop().time()  # loop time at which one was last known

    def dial(self, host: str, zone: str = "") -> None:
        """Hold a link to the store on a machine."""
        if host in self._stores:
            self._stores[host].zone = zone or self._stores[host].zone
            return
        store = self._stores[host] = _Store(zone=zone)
        store.dialer = Dialer(
            (host, self._port),
            self._up,
            lambda link, message: self._message(store, link, message),
            lambda link: self._down(store),
        )

    @property
    def zones(self) -> dict[str, str]:
        """The zone of each machine that holds a store, by host; empty where it is not known yet."""
        return {host: store.zone for host, store in self._stores.items()}

    @property
    def hosts(self) -> list[str]:
        return list(self._stores)

    def _up(self, link: Link) -> None:
        link.send(Subscribe(self._version(), acknowledges=True))

    def _down(self, store: _Store) -> None:
        store.serving = False

    def _message(self, store: _Store, link: Link, message: Message) -> None:
        if isinstance(message, StoreStatus):
            store.epoch, store.serving = message.epoch, message.serving
            for _, host, zone, _ in message.stores:
                self.dial(host, zone)
        elif isinstance(message, OrderResult):
            future = self._out.pop(message.number, None)
            if future is not None and not future.done():
                future.set_result(message)
        elif isinstance(message, StateUpdate):
            self._on_news(message)
            link.send(StateUpdateAcknowledged(message.stamp, self._version()))

    def primary(self) -> Link | None:
        """The link to the store that serves under the highest epoch."""
        best: _Store | None = None
        for store in self._stores.values():
            link = store.dialer.link if store.dialer is not None else None
            if not store.serving or link is None or link.silent_s() > SILENT_AFTER_S:
                continue
            if best is None or store.epoch > best.epoch:
                best = store
        return best.dialer.link if best is not None and best.dialer is not None else None

    def in_contact(self) -> bool:
        """If this registry hears a primary that serves; to be called now and then."""
        known = self.primary() is not None
        if known:
            self._primary_at = asyncio.get_running_loop().time()
        return known

    async def order(
        self, kind: OrderKind, version: str = "", payload: bytes = b"", zone: str = ""
    ) -> Result[bytes, OrderFailure]:
        """Send an order to the primary and wait for its result, within an operator's patience.

        A registry that has been cut off for longer than a takeover takes refuses at once.
        """
        loop = asyncio.get_running_loop()
        cut_off = not self.in_contact() and loop.time() - self._primary_at > CUT_OFF_S
        until = loop.time() + (0.0 if cut_off else PATIENCE_S)
        failure = OrderFailure(ErrorKind.NO_PRIMARY)
        while loop.time() < until:
            link = self.primary()
            if link is not None:
                result = await self._ask(link, Order(0, int(kind), version, payload, zone), until)
                if result is not None and not result.error:
                    return Ok(result.payload)
                if result is not None and result.error == ErrorKind.VERSION_CONFLICT:
                    return Err(OrderFailure(ErrorKind.VERSION_CONFLICT, f"version {result.held}"))
                failure = OrderFailure(ErrorKind.STORE_UNAVAILABLE)
            await asyncio.sleep(RETRY_S)
        return Err(failure)

    async def _ask(self, link: Link, order: Order, until: float) -> OrderResult | None:
        self._numbers += 1
        order.number = self._numbers
        future: asyncio.Future[OrderResult] = asyncio.get_running_loop().create_future()
        self._out[order.number] = future
        link.send(order)
        try:
            async with asyncio.timeout_at(until):
                return await future
        except TimeoutError:
            return None
        finally:
            self._out.pop(order.number, None)
