"""The proxy program: connects outbound side, gate, inbound side, registry links and listeners."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from enum import Enum
from typing import Any

from result import Err, Ok, Result

from lupinreach.mesh.buffer_budget import BufferBudget
from lupinreach.mesh.configuration import version_number
from lupinreach.mesh.dispatch import Dispatcher
from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.evacuations import active_zones
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.http_types import HttpRequest, HttpResponse, ServerLimits
from lupinreach.mesh.instance_calls import add_instance_calls, parse_heartbeat
from lupinreach.mesh.messages import AgentEntry, AgentHello, ForwardedHeartbeat, Message
from lupinreach.mesh.metrics import Metric
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.departure_reporter import DepartureReporter
from lupinreach.mesh.proxy.gate import Gate
from lupinreach.mesh.proxy.gossip import Gossip
from lupinreach.mesh.proxy.inbound import Inbound
from lupinreach.mesh.proxy.local_backend import Heartbeat, LocalBackend
from lupinreach.mesh.proxy.outbound import Outbound
from lupinreach.mesh.proxy.peers import LocalPeer, PeerTable
from lupinreach.mesh.proxy.pool_policy import PoolPolicy
from lupinreach.mesh.proxy.registry_client import RegistryClient
from lupinreach.mesh.proxy.retry_budget import RetryBudget
from lupinreach.mesh.server import HttpServer
from lupinreach.mesh.settings import Settings
from lupinreach.mesh.tasks import spawn

BODY_MEMORY_FRACTION = 0.35  # of the memory limit of the process, for buffered bodies
READ_AFTER_SIGTERM_S = 2.6  # requests are read until then, as the platform notices the stop with a delay
GATE_OPEN_AFTER_SIGTERM_S = 1.2  # the gate accepts requests until then, as its backend is not stopping
PLANNED_RESTART_MARGIN_S = 1.5  # plus the grace period: a younger process may be part of a planned restart
GRACE_RESERVE_S = 0.9  # part of the grace period that is kept for the end of the process
SENDING_RESERVE_S = 0.3  # the same, while answers that are complete are still being sent
STOP_POLL_INTERVAL_S = 0.05
FINAL_FLUSH_S = 0.1  # for the last answers to be written to their connections
HOUSEKEEPING_INTERVAL_S = 1.0
ROUNDS_PER_COUNTS_CHECK = 2  # rounds of housekeeping between two checks for starved kinds of requests
PROBE_DELAY_S = 0.05  # from the first configuration to the health probe, which a heartbeat makes needless


class ProxyState(Enum):
    """Lifecycle state of the process."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


class ProxyProgram:
    """A proxy process: its parts, listeners and background tasks."""

    def __init__(
        self, settings: Settings, log: EventLog, wall_clock: Callable[[], float] = time.time
    ) -> None:
        assert settings.app_address is not None and settings.target_service is not None
        self.state = ProxyState.STARTING
        self._settings = settings
        self._log = log
        self._incarnation = int(wall_clock() * 1000)
        self._sequence = 0
        self._probed = False
        self._was_evacuated = False
        self._address = settings.listen_addresses["inbound"]
        self.configuration = ConfigurationState()
        self.backend = LocalBackend(settings.target_service)
        self.backend.departures_known = settings.first_start
        # Bodies from clients here and those from other proxies for the backend here share one budget.
        body_budget = BufferBudget(int(settings.limits.memory_mb * BODY_MEMORY_FRACTION) << 20)
        self.gate = Gate(self.backend, settings.app_address, settings.zone, self.configuration, body_budget)
        self.peers = PeerTable(self._address, settings.zone, lambda: self.configuration.version)
        self.peers.add_local(LocalPeer(self._address, settings.zone, self.gate))
        zones = settings.zones
        self.policy = PoolPolicy(settings.zone, lambda zone: zones.get(zone, ""), log.write)
        self.budget = RetryBudget(settings.bounds.retry_budget_ratio, settings.bounds.retry_budget_slack)
        self.outbound = Outbound(
            settings.target_service,
            self.configuration,
            self.gate,
            self.peers,
            self.policy,
            self.budget,
            settings.bounds.grace_period_s + PLANNED_RESTART_MARGIN_S,
        )
        self.gossip = Gossip(self._address, self.configuration)
        self.peers.on_proxy_added = self.gossip.view.offer
        self.inbound = Inbound(
            self.gate,
            self.configuration,
            self.gossip,
            self.describe,
            self._on_forwarded_heartbeat,
            settings.limits.bandwidth_mbps,
            body_budget,
        )
        self._outbound_server = HttpServer(
            self.outbound.handle, self.outbound.may_overlap, body_budget, self._on_fault
        )
        control_calls = Dispatcher()
        add_instance_calls(control_calls, self)
        self._control_server = HttpServer(control_calls.handle, on_fault=self._on_fault)
        readiness = Dispatcher()
        readiness.add("GET", "readiness", call=self._readiness)
        self._readiness_server = HttpServer(readiness.handle, on_fault=self._on_fault)
        self._registries: RegistryClient | None = None
        self._departures = DepartureReporter(self._address, self._send_to_registries, self._on_departed)

    async def start(self) -> None:
        """Open the listeners and the links to registries."""
        settings = self._settings
        await self.inbound.listen(settings.listen_address("inbound"))
        await self._control_server.listen(settings.listen_address("control_plane"))
        await self._readiness_server.listen(settings.listen_address("readiness"))
        await self._outbound_server.listen(settings.listen_address("outbound"))
        self.gate.on_status(lambda status: self._announce_entry())
        self.configuration.on_change(self._on_configuration_change)
        seeds = [f"{host}:{settings.registry_port}" for host in settings.seed_hosts]
        self._registries = RegistryClient(
            self._address,
            seeds,
            settings.zone,
            self._hello,
            self._own_entry,
            self.configuration,
            self._on_registry_entry,
            self._departures.on_answer,
            self._log,
        )
        if not settings.first_start:
            self._departures.learn(self.gate.on_departures_learned)
        self._housekeeping_task = spawn(self._housekeeping())

    def _on_fault(self, fault: BaseException) -> None:
        self._log.write(Event.FAULT, fault=repr(fault))

    # Calls of the backend and of the platform.

    def _on_heartbeat(self, instance_id: str, heartbeat: Heartbeat) -> None:
        self._change_backend(lambda: self.gate.on_heartbeat(instance_id, heartbeat))

    def _on_deregister(self, instance_id: str) -> None:
        self._change_backend(lambda: self.gate.on_deregister(instance_id))

    def _on_departed(self, instances: list[str]) -> None:
        """Apply what the stores have recorded of this proxy, also in an earlier life."""
        self._change_backend(lambda: self.gate.on_departed(instances))

    def _send_to_registries(self, message: Message) -> int:
        return self._registries.broadcast(message) if self._registries is not None else 0

    def _change_backend(self, change: Callable[[], None]) -> None:
        """Make a change of the backend's state, and log it."""
        previous = (self.backend.instance_id, self.backend.state)
        change()
        if previous != (self.backend.instance_id, self.backend.state):
            self._log_backend_change()

    async def heartbeat(
        self, instance_id: str, body: bytes, heartbeat: Heartbeat, arrived_after: float
    ) -> Result[str, ErrorKind]:
        """Handle a heartbeat of the backend beside this proxy; one that it leaves is acknowledged once recorded."""
        self._on_heartbeat(instance_id, heartbeat)
        if heartbeat.state == "ready":
            return Ok("")
        return await self._record_departure(instance_id)

    async def sign_off(self, instance_id: str, arrived_after: float) -> Result[str, ErrorKind]:
        """Handle the deregistration of the backend beside this proxy."""
        self._on_deregister(instance_id)
        return await self._record_departure(instance_id)

    async def _record_departure(self, instance_id: str) -> Result[str, ErrorKind]:
        """Have the stores record what the gate holds to already, so that it outlives this process."""
        if await self._departures.report(instance_id):
            return Ok("")
        return Err(ErrorKind.DEPARTURE_NOT_RECORDED)

    async def _on_forwarded_heartbeat(self, forwarded: ForwardedHeartbeat) -> bool:
        """Handle a heartbeat or deregistration that a registry forwards; return true once it is in force."""
        now = asyncio.get_running_loop().time()
        if forwarded.body is None:
            return isinstance(await self.sign_off(forwarded.instance_id, now), Ok)
        parsed = parse_heartbeat(forwarded.body)
        if isinstance(parsed, Err):
            return False
        handled = await self.heartbeat(forwarded.instance_id, forwarded.body, parsed.ok_value, now)
        return isinstance(handled, Ok)

    def _log_backend_change(self) -> None:
        self._log.write(
            Event.BACKEND_CHANGED, instance=self.backend.instance_id, state=self.backend.state.value
        )

    async def _readiness(self, request: HttpRequest) -> HttpResponse:
        ready = self.state is ProxyState.SERVING
        return HttpResponse(200 if ready else 503, b"", self.state.value.encode() + b"\n")

    # Configuration.

    def _on_configuration_change(self) -> None:
        table = self.configuration.table
        if table is None:
            return
        if self.state is ProxyState.STARTING:
            self.state = ProxyState.SERVING
        limits = table.limits
        self._outbound_server.limits = ServerLimits(
            limits.max_body_bytes, limits.header_timeout_ms, limits.idle_timeout_ms
        )
        evacuated = self.configuration.evacuated(self._settings.zone)
        if self._was_evacuated and not evacuated:
            self.gate.on_evacuation_end()
        self._was_evacuated = evacuated
        self.gate.refresh()
        if not self._probed and not self._settings.first_start:
            self._probed = True
            asyncio.get_running_loop().call_later(PROBE_DELAY_S, self._probe)
        self._log.write(
            Event.CONFIGURATION_APPLIED,
            version=table.version,
            evacuations=active_zones(self.configuration.evacuations),
        )

    def _probe(self) -> None:
        service = (
            self.configuration.table.services.get(self.backend.service) if self.configuration.table else None
        )
        if self.backend.heartbeats <= 1 and service is not None:  # the first heartbeat may be a late one
            self._probe_task = spawn(self.gate.probe(service.health_check_path))

    # Links to registries.

    def _hello(self) -> AgentHello:
        return AgentHello(
            self._address, self._incarnation, self.configuration.version, list(self.configuration.stamp), True
        )

    def _own_entry(self) -> AgentEntry:
        status = self.gate.status()
        return AgentEntry(
            self._address,
            self._incarnation,
            self._sequence,
            status.service,
            self._settings.zone,
            status.instance_id,
            status.available,
        )

    def _on_registry_entry(self, entry: AgentEntry) -> None:
        """Apply a registry's entry of a proxy; one of an earlier incarnation of this proxy is superseded.

        Incarnations are numbered by the wall clock, which may have been set back between two of them.
        """
        if entry.address != self._address:
            self.peers.apply(entry)
            return
        if entry.removed or (entry.life, entry.sequence) > (self._incarnation, self._sequence):
            self._incarnation = max(self._incarnation, entry.life + 1)
            self._announce_entry()

    def _announce_entry(self) -> None:
        self._sequence += 1
        if self._registries is not None:
            self._registries.announce()

    async def _housekeeping(self) -> None:
        rounds = 0
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            rounds += 1
            if rounds % ROUNDS_PER_COUNTS_CHECK == 0:
                self.gate.counts.check(self._log)
            self.policy.forget_removed_instances(self.peers.linked.values())
            self.budget.set_proxy_count(self.peers.proxy_count)
            self.gate.refresh()

    def describe(self) -> dict[str, Any]:
        """Return the state of this proxy, for operators."""
        backend = self.backend
        return {
            "role": "proxy",
            "node": self._settings.node_name,
            "state": self.state.value,
            "config_version": self.configuration.version,
            "news_stamp": list(self.configuration.stamp),
            "evacuations": self.configuration.evacuations,
            "registry_links": self._registries.connected if self._registries is not None else 0,
            "backend": {
                "service": backend.service,
                "instance_id": backend.instance_id,
                "state": backend.state.value,
                "running": self.gate.admission.running,
                "waiting": self.gate.admission.waiting,
            },
            "proxies_known": self.peers.proxy_count,
            "neighbours": self.gossip.view.addresses(),
            "retries_denied": self.budget.denied,
            "backends": self.policy.describe(self.peers.linked.values()),
        }

    def metrics(self) -> list[Metric]:
        """Return the metrics of this proxy."""
        unsent_bytes = self.peers.unsent_bytes_per_link or [0]
        admission = self.gate.admission
        registries = self._registries
        return [
            Metric(
                "proxy_configuration_version",
                version_number(self.configuration.version or "0"),
                "in force",
            ),
            Metric(
                "proxy_configurations_applied_total",
                self.configuration.applied,
                "put in force in this life",
            ),
            Metric("proxy_registry_links", registries.connected if registries else 0, "that are up"),
            Metric(
                "proxy_registry_silent_seconds",
                registries.silent_s if registries else 0,
                "since the last word",
            ),
            Metric(
                "proxy_request_transit_seconds",
                self.inbound.take_max_age_s(),
                "most extra time on a link",
            ),
            Metric("proxy_unsent_bytes", sum(unsent_bytes), "that wait on links to other proxies"),
            Metric(
                "proxy_unsent_most_bytes",
                max(unsent_bytes),
                "that wait on one link",
            ),
            Metric("proxy_backend_running", admission.running, "requests at the backend beside this proxy"),
            Metric("proxy_backend_waiting", admission.waiting, "requests that wait for it"),
            Metric(
                "proxy_retries_denied_total",
                self.budget.denied,
                "repeats that the budget did not grant",
            ),
            *self.gate.counts.metrics(),
        ]

    def settings_changed(self, settings: Settings) -> None:
        """Keep the new settings; values that were passed on at the start only change with a restart."""
        self._settings = settings

    async def stop(self) -> None:
        """Finish the requests in progress, then stop."""
        self.state = ProxyState.STOPPING
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + self._settings.bounds.grace_period_s - GRACE_RESERVE_S
        self._outbound_server.stop()
        self.outbound.stopping = True
        self.gate.prepare_to_stop(deadline)
        while loop.time() < deadline:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
            if not self.gate.stopping and loop.time() > started_at + GATE_OPEN_AFTER_SIGTERM_S:
                self.gate.stop()
            busy = self._outbound_server.busy or self.inbound.sending or self.gate.busy
            if loop.time() <= started_at + READ_AFTER_SIGTERM_S:
                continue
            self._outbound_server.close()  # a request read from here on could not be finished in time
            if not busy:
                break
        self._outbound_server.close()
        self._outbound_server.abandon()
        await asyncio.sleep(FINAL_FLUSH_S)
        sending_deadline = started_at + self._settings.bounds.grace_period_s - SENDING_RESERVE_S
        while loop.time() < sending_deadline and (self._outbound_server.sending or self.inbound.sending):
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self.state = ProxyState.STOPPED
        self.inbound.close()
