"""The store process: a replica with its disk, its links to other stores, and its registry subscribers."""

from __future__ import annotations

import asyncio
from typing import Any

from lupinreach.mesh.configuration import is_newer
from lupinreach.mesh.evacuations import active_zones
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.link import CORE_LINK_POLICY, Dialer, Link, listen
from lupinreach.mesh.messages import (
    Describe,
    Description,
    Message,
    Order,
    StateUpdate,
    StateUpdateAcknowledged,
    StoreHello,
    StoreStatus,
    Subscribe,
    encode,
)
from lupinreach.mesh.metrics import Metric
from lupinreach.mesh.send_window import UpdateProgress
from lupinreach.mesh.settings import Settings
from lupinreach.mesh.store.disk import SqliteRecord
from lupinreach.mesh.store.document import Document
from lupinreach.mesh.store.replica import Replica
from lupinreach.mesh.store.view import Member, Tolerance, View
from lupinreach.mesh.tasks import spawn

TICK_INTERVAL_S = 0.1
STATUS_TICKS = 2  # ticks between two heartbeats to other stores
SUBSCRIBER_STATUS_TICKS = 5  # ticks between two heartbeats to registries
GOSSIP_TICKS = 20  # ticks between two heartbeats that list the linked stores
HAND_OVER_GRACE_FRACTION = 0.4  # share of the grace period to wait at most for other stores to take over


class StoreProgram:
    """The process of one store, and the port of its replica."""

    def __init__(self, settings: Settings, log: EventLog) -> None:
        assert settings.data_directory is not None
        self._settings = settings
        self._log = log
        self._record = SqliteRecord(settings.data_directory)
        tolerance = settings.fault_tolerance
        zones = settings.zones
        self.replica = Replica(
            record=self._record,
            port=self,
            host=settings.ip_address,
            zone=settings.zone,
            seed_hosts=settings.seed_hosts,
            first_start=settings.first_start,
            tolerance=Tolerance(tolerance.machines, tolerance.zones, tolerance.regions),
            region_of=lambda zone: zones.get(zone, ""),
        )
        self._dialers: dict[str, Dialer] = {}  # by host
        self._links: dict[str, Link] = {}  # outgoing links by the peer's identity
        self._accepted_links: dict[str, Link] = {}  # incoming links by the peer's identity
        self._known_epochs: dict[str, int] = {}  # by identity: the epoch that a store last reported
        self._known_stores: dict[str, list[Any]] = {}  # by identity, as in StoreStatus.stores
        self._subscribers: dict[Link, UpdateProgress] = {}  # registries by their link
        self._told_state = (False, True)  # `serving` and `in_majority` as the subscribers were told
        self._ticks = 0
        self._published = 0

    async def start(self) -> None:
        """Listen for links, and dial the seeds."""
        settings = self._settings
        address = (settings.ip_address, settings.store_port)
        self._server = await listen(address, lambda: Link(self._on_message, self._on_link_closed))
        for host in settings.seed_hosts:
            self._dial(host)
        self._ticker = spawn(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._ticks += 1
            self.replica.tick(loop.time())
            self._heartbeat()
            await asyncio.sleep(TICK_INTERVAL_S)

    def settings_changed(self, settings: Settings) -> None:
        """Dial seeds that are new in changed settings."""
        for host in settings.seed_hosts:
            self._dial(host)

    async def stop(self) -> None:
        """Wait for other stores to take over this one's copy, then end: its disk may never come back."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._settings.bounds.grace_period_s * HAND_OVER_GRACE_FRACTION
        self.replica.leave()
        self._send_status_to_stores([])
        while not self.replica.handed_over and self._links and loop.time() < deadline:
            await asyncio.sleep(TICK_INTERVAL_S)
        self._log.write(Event.HANDED_OVER, done=self.replica.handed_over, epoch=self.replica.view.epoch)
        self._ticker.cancel()
        self._server.close()
        self._record.close()

    # Links.

    def _dial(self, host: str) -> None:
        if host == self._settings.ip_address or host in self._dialers:
            return
        address = (host, self._settings.store_port)
        self._dialers[host] = Dialer(
            address, self._on_link_up, self._on_message, self._on_link_down, CORE_LINK_POLICY
        )

    def _hello(self) -> StoreHello:
        me = self.replica.me
        return StoreHello(me.identity, me.host, me.zone, self.replica.born_first)

    def _on_link_up(self, link: Link) -> None:
        link.send(self._hello())

    def _on_link_down(self, link: Link) -> None:
        if link.owner is not None and self._links.get(link.owner) is link:
            del self._links[link.owner]

    def _on_link_closed(self, link: Link) -> None:
        self._subscribers.pop(link, None)
        if link.owner is not None and self._accepted_links.get(link.owner) is link:
            del self._accepted_links[link.owner]

    def _is_dialled(self, link: Link) -> bool:
        return any(dialer.link is link for dialer in self._dialers.values())

    def _on_message(self, link: Link, message: Message) -> None:
        if isinstance(message, StoreHello):
            self._on_hello(link, message)
        elif isinstance(message, StoreStatus):
            self._on_status(link, message)
        elif isinstance(message, Describe):
            link.send(Description(self.describe()))
        elif isinstance(message, Subscribe):
            self._on_subscribe(link, message)
        elif isinstance(message, StateUpdateAcknowledged):
            self._on_acknowledged(link, message)
        elif isinstance(message, Order):
            self.replica.submit(message, link.send)
        elif link.owner is not None:
            self.replica.handle(link.owner, message)

    def _on_hello(self, link: Link, hello: StoreHello) -> None:
        link.owner = hello.identity
        self._known_stores[hello.identity] = [hello.identity, hello.address, hello.zone, hello.born_first]
        self._dial(hello.address)
        if self._is_dialled(link):
            self._links[hello.identity] = link
            self._record_contact(hello.identity)
            self.replica.on_link_up(hello.identity)
        else:
            self._accepted_links[hello.identity] = link
            link.send(self._hello())

    def _record_contact(self, identity: str, healthy: bool = True, leaving: bool = False) -> None:
        known = self._known_stores.get(identity)
        if known is not None:
            member = Member(known[0], known[1], known[2])
            now = asyncio.get_running_loop().time()
            self.replica.record_contact(member, known[3], now, healthy, leaving)

    def _on_status(self, link: Link, status: StoreStatus) -> None:
        if link.owner != status.identity:
            return
        self._known_epochs[status.identity] = status.epoch
        self._record_contact(status.identity, status.healthy, status.leaving)
        if status.view is not None:
            self.replica.learn(View.from_list(status.view))
        for identity, host, zone, born_first in status.stores:
            self._known_stores.setdefault(identity, [identity, host, zone, born_first])
            self._dial(host)

    def _heartbeat(self) -> None:
        replica = self.replica
        gossip = self._ticks % GOSSIP_TICKS == 0
        stores = (
            [self._known_stores[identity] for identity in self._links if identity in self._known_stores]
            if gossip
            else []
        )
        if self._ticks % STATUS_TICKS == 0:
            self._send_status_to_stores(stores)
        if self._ticks % SUBSCRIBER_STATUS_TICKS == 0 or self._state_to_tell() != self._told_state:
            hosts = [*stores, [replica.identity, replica.me.host, replica.me.zone, replica.born_first]]
            self._send_status_to_subscribers(hosts if gossip else [])

    def _state_to_tell(self) -> tuple[bool, bool]:
        """What registries have to know at once: whether this store is `serving`, and `in_majority`."""
        return self.replica.serving, self._is_in_majority()

    def _is_in_majority(self) -> bool:
        """Whether this store and a majority of the voters reach each other in both directions."""
        replica = self.replica
        if replica.view.epoch == 0:
            return True  # the first view is not decided yet
        reached = sum(
            identity == replica.identity or self._reaches(identity)
            for identity in replica.members.voters(replica.view)
        )
        return reached >= replica.view.majority

    def _reaches(self, identity: str) -> bool:
        link = self._links.get(identity)
        return link is not None and link.answering

    def _send_status_to_subscribers(self, stores: list[list[Any]]) -> None:
        self._told_state = self._state_to_tell()
        status = encode(self._status(None, stores))
        for link in self._subscribers:
            link.send_encoded(status)
            if self.replica.serving:
                self._send_news(link)  # for registries that subscribed while this store was not serving

    def _send_status_to_stores(self, stores: list[list[Any]]) -> None:
        view = self.replica.view
        for identity, link in self._links.items():
            behind = self._known_epochs.get(identity, -1) < view.epoch
            link.send(self._status(view.to_list() if behind else None, stores))

    def _status(self, view: list[Any] | None, stores: list[list[Any]]) -> StoreStatus:
        replica = self.replica
        return StoreStatus(
            replica.identity,
            replica.view.epoch,
            view,
            replica.serving,
            replica.stamp,
            stores,
            replica.healthy,
            replica.leaving,
            self._is_in_majority(),
            records_departures=True,
        )

    def describe(self) -> dict[str, Any]:
        """State of this store, for operators."""
        replica = self.replica
        return {
            "role": "store",
            "node": self._settings.node_name,
            "identity": replica.identity,
            "doing": replica.role.value,
            "epoch": replica.view.epoch,
            "primary": replica.view.primary,
            "copies": list(replica.view.copies),
            "voters": [[voter.identity, voter.host, voter.zone] for voter in replica.view.voters],
            "stamp": replica.stamp,
            "config_version": replica.document.version,
            "evacuations": replica.document.evacuations,
            "stores_linked": sorted(self._links),
        }

    def metrics(self) -> list[Metric]:
        """Metrics of this store."""
        replica = self.replica
        subscribers = [link.unsent for link in self._subscribers] or [0]
        stores = [link.unsent for link in self._links.values()] or [0]
        return [
            Metric("store_epoch", replica.view.epoch, "of the view that it knows"),
            Metric("store_serving", replica.serving, "1: it is the primary and takes orders"),
            Metric("store_committed_total", self._published, "documents that all copies hold, in this life"),
            Metric("store_subscribers", len(self._subscribers), "registries that it tells"),
            Metric("store_unsent_bytes", sum(stores), "that wait on links to other stores"),
            Metric("store_unsent_news_bytes", sum(subscribers), "that wait on links to registries"),
        ]

    # Registries.

    def _on_subscribe(self, link: Link, message: Subscribe) -> None:
        subscriber = self._subscribers.setdefault(link, UpdateProgress())
        subscriber.config_version = message.config_version
        subscriber.acknowledges = message.acknowledges
        me = self.replica.me
        hosts = [*self._known_stores.values(), [me.identity, me.host, me.zone, self.replica.born_first]]
        link.send(self._status(None, hosts))
        if self.replica.serving:
            self._send_news(link)

    def _on_acknowledged(self, link: Link, message: StateUpdateAcknowledged) -> None:
        """A registry has processed the oldest news in flight, and reports which version it holds.

        One that lacks the version that it was sent could not read it; it gets it again with the next status.
        """
        subscriber = self._subscribers.get(link)
        if subscriber is None:
            return
        subscriber.window.acknowledged()
        if subscriber.window.empty and is_newer(subscriber.config_version, message.config_version):
            subscriber.config_version, subscriber.stamp = message.config_version, []
        else:
            self._send_news(link)

    def _send_news(self, link: Link) -> None:
        """Send the newest committed state to a registry; if its send window is full, after the next acknowledgement.

        The stamp is that of the committed document; `Replica.stamp` may belong to one that is still being written.
        """
        document = self.replica.committed
        if document is None:
            return
        subscriber = self._subscribers[link]
        stamp = [self.replica.view.epoch, document.sequence]
        if stamp == subscriber.stamp:
            return
        config = document.config if document.version != subscriber.config_version else None
        data = encode(StateUpdate(stamp, document.version, config or None, document.evacuations))
        if not subscriber.allows(len(data)):
            return
        subscriber.sent(len(data), document.version, stamp)
        link.send_encoded(data)

    # Implementation of the replica's `Port`.

    def send(self, identity: str, message: Message) -> None:
        """Send a message to another store, if there is a link to it."""
        link = self._links.get(identity) or self._accepted_links.get(identity)
        if link is not None:
            link.send(message)

    def log(self, event: Event, **facts: Any) -> None:
        """Write an event to the log."""
        self._log.write(event, **facts)

    def publish(self, stamp: list[int], document: Document) -> None:
        """Log a newly committed document and send it to the subscribed registries."""
        self._published += 1
        self._log.write(
            Event.ORDER_COMMITTED,
            stamp=f"{stamp[0]}.{stamp[1]}",
            version=document.version or "none",
            evacuations=active_zones(document.evacuations),
        )
        status = encode(self._status(None, []))
        for link in self._subscribers:
            link.send_encoded(status)
            self._send_news(link)
