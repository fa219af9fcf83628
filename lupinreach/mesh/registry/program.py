"""The registry process: links to proxies and other registries, news from the store, and operators' calls."""

from __future__ import annotations

import asyncio
from typing import Any

from result import Err

from lupinreach.mesh.arrival import ArrivalClock
from lupinreach.mesh.configuration import is_newer
from lupinreach.mesh.configuration_check import decode_configuration, parse_configuration
from lupinreach.mesh.dispatch import ANY_SEGMENT, Dispatcher
from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.http_types import HttpRequest, HttpResponse, error_response
from lupinreach.mesh.instance_calls import JSON_CONTENT_TYPE_HEADER, add_instance_calls
from lupinreach.mesh.link import CORE_LINK_POLICY, Dialer, Link, listen
from lupinreach.mesh.messages import (
    AgentEntry,
    AgentHello,
    AliveAgents,
    Describe,
    Description,
    Message,
    RecordDepartures,
    RegistryHello,
    RegistryStatus,
    StateUpdate,
    StateUpdateAcknowledged,
    StateUpdatePull,
    encode,
)
from lupinreach.mesh.metrics import Metric
from lupinreach.mesh.registry.agents import AgentTable
from lupinreach.mesh.registry.departure_recorder import DepartureRecorder
from lupinreach.mesh.registry.entry_feed import EntryFeed
from lupinreach.mesh.registry.heartbeat_forwarder import HeartbeatForwarder
from lupinreach.mesh.registry.news_feed import NewsFeed
from lupinreach.mesh.registry.operator_order import ORDER_TIMEOUT_S, OperatorOrder, OrderFailure
from lupinreach.mesh.registry.orders import StoreLinks
from lupinreach.mesh.server import HttpServer
from lupinreach.mesh.settings import Settings
from lupinreach.mesh.store.document import OrderKind
from lupinreach.mesh.tasks import spawn

TICK_INTERVAL_S = 0.1
HEARTBEAT_TICKS = 5  # ticks between two heartbeats; one goes out at once when what it says has changed
FINISH_TIMEOUT_S = ORDER_TIMEOUT_S + 0.3  # for orders in progress, and for their answers to arrive
ORDER_RETRY_AFTER_MS = 200.0  # sent to operators whose order was not confirmed: when to retry
ALIVE_AGENTS_HEARTBEATS = 2  # heartbeats between two lists of connected proxies to the other registries


class RegistryProgram:
    """The process of one registry."""

    def __init__(self, settings: Settings, log: EventLog) -> None:
        self._settings = settings
        self._log = log
        self.agents = AgentTable()
        self._registries: dict[str, Dialer] = {}  # by host
        self._entries = EntryFeed(self.agents)
        self._told_status = RegistryStatus()  # the last one that the proxies were sent
        self._stores = StoreLinks(settings.store_port, lambda: self.feed.history.version, self._on_news, log)
        self._departures = DepartureRecorder(self._stores)
        self.feed = NewsFeed(self._stores.in_contact, log)
        calls = Dispatcher()
        calls.add("POST", "configuration", "replace", call=self._replace_configuration)
        calls.add("GET", "configuration", "describe", call=self._describe_configuration)
        calls.add("POST", "evacuations", ANY_SEGMENT, "start", call=self._start_evacuation)
        calls.add("POST", "evacuations", ANY_SEGMENT, "stop", call=self._stop_evacuation)
        control_port = settings.listen_address("control_plane")[1]
        add_instance_calls(calls, HeartbeatForwarder(self.agents, control_port))
        self._arrivals = ArrivalClock(asyncio.get_running_loop().time())
        self._server = HttpServer(
            calls.handle,
            on_fault=lambda fault: log.write(Event.FAULT, fault=repr(fault)),
            arrivals=self._arrivals,
        )

    async def start(self) -> None:
        """Listen, and dial the stores on this machine and on the seeds; registries follow with the heartbeats."""
        settings = self._settings
        address = (settings.ip_address, settings.registry_port)
        self._links = await listen(address, lambda: Link(self._on_message, self._on_link_closed))
        await self._server.listen(settings.listen_address("control_plane"))
        self._stores.dial(settings.ip_address)
        for host in settings.seed_hosts:
            self._stores.dial(host)
        self._ticker = spawn(self._run())
        self._arrival_marks = spawn(self._arrivals.run())

    def settings_changed(self, settings: Settings) -> None:
        """Dial seeds that are new in changed settings."""
        for host in settings.seed_hosts:
            self._stores.dial(host)

    async def stop(self) -> None:
        """Answer the calls in progress, then end: proxies, operators and backends use another registry."""
        self._links.close()
        await self._server.finish(FINISH_TIMEOUT_S)

    async def _run(self) -> None:
        ticks = 0
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            ticks += 1
            self._stores.log_primary_changes()
            if ticks % HEARTBEAT_TICKS == 0:
                self._on_heartbeat_due(ticks // HEARTBEAT_TICKS)
            elif self._status_has_changed():
                self._send_status(with_registries=False)

    def _on_heartbeat_due(self, heartbeats: int) -> None:
        now = asyncio.get_running_loop().time()
        for host in self._stores.hosts:
            self._dial_registry(host)
        self.feed.log_late_receivers(now)
        self.feed.resend(now)
        self._send_status(with_registries=heartbeats % 8 == 1)
        if heartbeats % ALIVE_AGENTS_HEARTBEATS == 0:
            self._send_alive_agents()
        for entry in self.agents.expire(now):
            self._log.write(Event.AGENT_REMOVED, agent=entry.address)
            self._entries.changed(entry)

    # Other registries.

    def _dial_registry(self, host: str) -> None:
        if host == self._settings.ip_address or host in self._registries:
            return
        address = (host, self._settings.registry_port)
        self._registries[host] = Dialer(
            address, self._on_registry_link_up, self._on_message, lambda link: None, CORE_LINK_POLICY
        )

    def _on_registry_link_up(self, link: Link) -> None:
        link.send(RegistryHello(f"{self._settings.ip_address}:{self._settings.registry_port}"))
        for known in self.agents.connected():
            link.send(known.entry)

    def _send_to_registries(self, message: Message) -> None:
        data = encode(message)
        for dialer in self._registries.values():
            if dialer.link is not None:
                dialer.link.send_encoded(data)

    def _send_alive_agents(self) -> None:
        connected = [[known.entry.address, known.entry.life] for known in self.agents.connected()]
        self._send_to_registries(AliveAgents(connected))

    # Proxies.

    def _on_message(self, link: Link, message: Message) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(message, AgentHello):
            self._on_agent(link, message, now)
        elif isinstance(message, AgentEntry):
            self._on_entry(link, message, now)
        elif isinstance(message, RecordDepartures):
            self._departures.on_request(link, message)
        elif isinstance(message, StateUpdateAcknowledged):
            self.feed.on_acknowledged(link, message)
        elif isinstance(message, StateUpdatePull):
            self.feed.on_pull(link)
        elif isinstance(message, Describe):
            link.send(Description(self.describe()))
        elif isinstance(message, AliveAgents):
            for address, _ in message.agents:
                self.agents.mark_alive(address, now)

    def _on_link_closed(self, link: Link) -> None:
        self.agents.disconnect(link, asyncio.get_running_loop().time())
        self.feed.leave(link)
        self._entries.leave(link)

    def _on_agent(self, link: Link, hello: AgentHello, now: float) -> None:
        link.owner = hello.address
        self.agents.connect(hello.address, hello.life, link, now)
        self._log.write(Event.AGENT_JOINED, agent=hello.address)
        link.send(self._status(with_registries=True))
        self.feed.join(link, hello)
        self._entries.join(link)

    def _on_entry(self, link: Link, entry: AgentEntry, now: float) -> None:
        if not self.agents.apply(entry, now):
            return
        self._entries.changed(entry)
        if link.owner is not None:
            self._send_to_registries(entry)

    def _status(self, with_registries: bool) -> RegistryStatus:
        port = self._settings.registry_port
        zones = self._stores.zones if with_registries else {}
        registries = [[f"{host}:{port}", zone] for host, zone in zones.items()]
        return RegistryStatus(self._stores.in_contact(), registries, self._stores.isolated)

    def _status_has_changed(self) -> bool:
        told = self._told_status
        return (told.fresh, told.isolated) != (self._stores.in_contact(), self._stores.isolated)

    def _send_status(self, with_registries: bool) -> None:
        self._told_status = self._status(with_registries)
        data = encode(self._told_status)
        for known in self.agents.connected():
            if known.link is not None:
                known.link.send_encoded(data)

    def describe(self) -> dict[str, Any]:
        """State of this registry, for operators."""
        return {
            "role": "registry",
            "node": self._settings.node_name,
            "config_version": self.feed.history.version,
            "news_stamp": self.feed.stamp,
            "evacuations": self.feed.evacuations,
            "primary_known": self._stores.primary() is not None,
            "proxies_known": len(self.agents),
            "proxies_connected": len(self.agents.connected()),
            "proxies_behind": [
                receiver.address for receiver in self.feed.receivers if receiver.behind_since is not None
            ],
        }

    def metrics(self) -> list[Metric]:
        """Metrics of this registry."""
        now = asyncio.get_running_loop().time()
        receivers = self.feed.receivers
        unsent = [receiver.link.unsent for receiver in receivers] or [0]
        lags = [receiver.lag_s(now) for receiver in receivers] or [0.0]
        return [
            Metric("registry_proxies_connected", len(receivers), "proxies with a link to this registry"),
            Metric("registry_proxies_behind", sum(lag > 0 for lag in lags), "that lack an acknowledgement"),
            Metric("registry_news_lag_seconds", max(lags), "longest wait for an acknowledgement"),
            Metric("registry_unsent_bytes", sum(unsent), "that wait on links to proxies"),
            Metric("registry_unsent_most_bytes", max(unsent), "that wait on one link"),
            Metric(
                "registry_primary_known", self._stores.primary() is not None, "1: orders can be sent to it"
            ),
            Metric("registry_stores_linked", self._stores.linked_count, "stores to which a link is up"),
            Metric("registry_stores_heard", self._stores.heard_count, "stores that answered lately"),
            Metric("registry_news_sent_total", self.feed.sent, "changes sent to proxies"),
            Metric("registry_news_sent_bytes_total", self.feed.sent_bytes, "their bytes"),
        ]

    # News from the store.

    def _on_news(self, news: StateUpdate) -> None:
        """Publish a committed state that a primary store has sent, if it is newer or the configuration is lacking."""
        brings_configuration = self._take_configuration(news)
        if news.stamp > self.feed.stamp or (brings_configuration and news.stamp == self.feed.stamp):
            self.feed.publish(news.stamp, news.evacuations)

    def _take_configuration(self, news: StateUpdate) -> bool:
        """Advance to the configuration of an update; returns whether it was newer."""
        if news.config is None or not is_newer(news.config_version, self.feed.history.version):
            return False
        decoded = decode_configuration(news.config)
        if isinstance(decoded, Err):
            self._log.write(Event.NEWS_UNREADABLE, version=news.config_version, why=decoded.err_value)
            return False
        self.feed.history.advance(decoded.ok_value)
        return True

    # Operators' calls.

    async def _replace_configuration(self, request: HttpRequest) -> HttpResponse:
        parsed = parse_configuration(request.body)
        if isinstance(parsed, Err):
            self._log.write(Event.ORDER_REFUSED, why=parsed.err_value)
            return error_response(ErrorKind.INVALID_CONFIGURATION, parsed.err_value)
        version = parsed.ok_value.version
        deadline = asyncio.get_running_loop().time() + ORDER_TIMEOUT_S
        return await self._execute(
            OperatorOrder(OrderKind.REPLACE_CONFIGURATION, deadline, version, request.body)
        )

    async def _describe_configuration(self, request: HttpRequest) -> HttpResponse:
        deadline = asyncio.get_running_loop().time() + ORDER_TIMEOUT_S
        result = await self._stores.execute(OperatorOrder(OrderKind.READ_CONFIGURATION, deadline))
        if isinstance(result, Err):
            return self._rejection(result.err_value)
        if not result.ok_value:
            return error_response(ErrorKind.NOT_CONFIGURED, retry_ms=500)
        return HttpResponse(200, JSON_CONTENT_TYPE_HEADER, result.ok_value)

    async def _start_evacuation(self, request: HttpRequest, zone: str) -> HttpResponse:
        return await self._evacuate(OrderKind.START_EVACUATION, request, zone)

    async def _stop_evacuation(self, request: HttpRequest, zone: str) -> HttpResponse:
        return await self._evacuate(OrderKind.STOP_EVACUATION, request, zone)

    async def _evacuate(self, kind: OrderKind, request: HttpRequest, zone: str) -> HttpResponse:
        if zone not in self._settings.zones:
            return error_response(ErrorKind.UNKNOWN_ZONE, zone)
        known_sequence = self.feed.stamp[1] if self.feed.stamp else 0
        deadline = request.arrived_after + ORDER_TIMEOUT_S
        order = OperatorOrder(kind, deadline, zone=zone, known_sequence=known_sequence)
        now = asyncio.get_running_loop().time()
        if order.expired(now):
            waited = f"waited for up to {now - request.arrived_after:.2f} s"
            return self._rejection(OrderFailure(ErrorKind.CALL_TOO_OLD, waited))
        return await self._execute(order)

    async def _execute(self, order: OperatorOrder) -> HttpResponse:
        result = await self._stores.execute(order)
        if isinstance(result, Err):
            return self._rejection(result.err_value)
        self._log.write(
            Event.ORDER_TAKEN,
            kind=order.kind.name.lower(),
            version=order.version or "-",
            zone=order.zone or "-",
        )
        return HttpResponse(200, JSON_CONTENT_TYPE_HEADER, b"{}")

    def _rejection(self, failure: OrderFailure) -> HttpResponse:
        self._log.write(Event.ORDER_REFUSED, why=failure.kind.name.lower(), detail=failure.detail or "-")
        return error_response(failure.kind, failure.detail, retry_ms=ORDER_RETRY_AFTER_MS)
