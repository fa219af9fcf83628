"""The proxy program: wires outbound side, gate, registry links and listeners together."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from enum import Enum
from typing import Any

from result import Err, Ok, Result

from lupinreach.mesh.configuration import version_number
from lupinreach.mesh.dispatch import Dispatcher
from lupinreach.mesh.errors import ErrorKind
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.instance_calls import add_instance_calls, parse_heartbeat
from lupinreach.mesh.messages import AgentEntry, AgentHello, ForwardedBeat
from lupinreach.mesh.metrics import Metric
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.gate import Gate
from lupinreach.mesh.proxy.gossip import Gossip
from lupinreach.mesh.proxy.inbound import Inbound
from lupinreach.mesh.proxy.local_backend import BackendState, Heartbeat, LocalBackend
from lupinreach.mesh.proxy.outbound import Outbound
from lupinreach.mesh.proxy.peers import LocalPeer, PeerTable
from lupinreach.mesh.proxy.pool_policy import PoolPolicy
from lupinreach.mesh.proxy.registry_client import RegistryClient
from lupinreach.mesh.proxy.retry_budget import RetryBudget
from lupinreach.mesh.server import BufferBudget, HttpAnswer, HttpRequest, HttpServer, ServerLimits
from lupinreach.mesh.settings import Settings
from lupinreach.mesh.tasks import spawn

BODY_SHARE = 0.35  # of the process's memory, for buffered bodies
LINGER_S = 2.6  # after SIGTERM, until the platform has noticed; no request is read after it
GATE_OPEN_S = 1.2  # after SIGTERM the gate still takes requests for so long: its backend is sound
RESTARTED_S = 1.5  # and the grace period: a process this young may be part of a planned restart
GRACE_LEFT_S = 0.9  # of the grace period, kept for the end itself
STOP_CHECK_S = 0.05
LAST_WRITES_S = 0.1  # for the last answers to leave the process
HOUSEKEEPING_S = 1.0
COUNTS_CHECKS = 2  # rounds of housekeeping between two looks at what the gate refused
PROBE_AFTER_S = 0.05  # from the first configuration to the health probe, unless a heartbeat came


class ProxyState(Enum):
    """Life of the process."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


class ProxyProgram:
    """One proxy."""

    def __init__(
        self, settings: Settings, log: EventLog, wall_clock: Callable[[], float] = time.time
    ) -> None:
        assert settings.app_address is not None and settings.target_service is not None
        self.state = ProxyState.STARTING
        self._settings = settings
        self._log = log
        self._life = int(wall_clock() * 1000)
        self._sequence = 0
        self._probed = False
        self._was_evacuated = False
        self._address = settings.listen_addresses["inbound"]
        self.configuration = ConfigurationState()
        self.backend = LocalBackend(settings.target_service)
        self.gate = Gate(self.backend, settings.app_address, settings.zone, self.configuration)
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
            settings.bounds.grace_period_s + RESTARTED_S,
        )
        self.gossip = Gossip(self._address, self.configuration)
        self.peers.on_proxy_added = self.gossip.view.offer
        self.inbound = Inbound(
            self.gate,
            self.configuration,
            self.gossip,
            self.describe,
            self._on_forwarded,
            settings.limits.bandwidth_mbps,
        )
        self._server = HttpServer(
            self.outbound.handle,
            self.outbound.may_overlap,
            BufferBudget(int(settings.limits.memory_mb * BODY_SHARE) << 20),
            self._fault,
        )
        calls = Dispatcher()
        add_instance_calls(calls, self)
        self._control = HttpServer(calls.handle, on_fault=self._fault)
        readiness = Dispatcher()
        readiness.add("GET", "readiness", call=self._readiness)
        self._readiness_server = HttpServer(readiness.handle, on_fault=self._fault)
        self._registries: RegistryClient | None = None

    async def start(self) -> None:
        """Open the listeners and the links to registries."""
        settings = self._settings
        await self.inbound.listen(settings.listen_address("inbound"))
        await self._control.listen(settings.listen_address("control_plane"))
        await self._readiness_server.listen(settings.listen_address("readiness"))
        await self._server.listen(settings.listen_address("outbound"))
        self.gate.on_status(lambda status: self._announce())
        self.configuration.on_change(self._on_news)
        seeds = [f"{host}:{settings.registry_port}" for host in settings.seed_hosts]
        self._registries = RegistryClient(
            self._address,
            seeds,
            settings.zone,
            self._hello,
            self._own_entry,
            self.configuration,
            self._on_entry,
            self._log,
        )
        self._housekeeper = spawn(self._housekeeping())

    def _fault(self, fault: BaseException) -> None:
        self._log.write(Event.FAULT, fault=repr(fault))

    # Calls of the backend and of the platform.

    def _on_heartbeat(self, instance_id: str, beat: Heartbeat) -> None:
        known = (self.backend.instance_id, self.backend.state)
        self.gate.on_heartbeat(instance_id, beat)
        if known != (self.backend.instance_id, self.backend.state):
            self._log_backend()

    def _on_deregister(self, instance_id: str) -> None:
        self.gate.on_deregister(instance_id)
        self._log_backend()

    async def heartbeat(self, instance_id: str, body: bytes, beat: Heartbeat) -> Result[str, ErrorKind]:
        """A heartbeat of the backend beside this proxy."""
        self._on_heartbeat(instance_id, beat)
        return Ok("")

    async def sign_off(self, instance_id: str) -> Result[str, ErrorKind]:
        """The backend beside this proxy signs off."""
        self._on_deregister(instance_id)
        return Ok("")

    def _on_forwarded(self, forwarded: ForwardedBeat) -> bool:
        """A beat of the backend beside this proxy came by way of a registry; true once it is in force."""
        if forwarded.body is None:
            self._on_deregister(forwarded.instance_id)
            return True
        parsed = parse_heartbeat(forwarded.body)
        if isinstance(parsed, Err):
            return False
        self._on_heartbeat(forwarded.instance_id, parsed.ok_value)
        return True

    def _log_backend(self) -> None:
        self._log.write(
            Event.BACKEND_CHANGED, instance=self.backend.instance_id, state=self.backend.state.value
        )

    async def _readiness(self, request: HttpRequest) -> HttpAnswer:
        ready = self.state is ProxyState.SERVING
        return HttpAnswer(200 if ready else 503, b"", self.state.value.encode() + b"\n")

    # News.

    def _on_news(self) -> None:
        table = self.configuration.table
        if table is None:
            return
        if self.state is ProxyState.STARTING:
            self.state = ProxyState.SERVING
        limits = table.limits
        self._server.limits = ServerLimits(
            limits.max_body_bytes, limits.header_timeout_ms, limits.idle_timeout_ms
        )
        evacuated = self.configuration.evacuated(self._settings.zone)
        if self._was_evacuated and not evacuated:
            self.gate.on_evacuation_end()
        self._was_evacuated = evacuated
        self.gate.refresh()
        if not self._probed and not self._settings.first_start:
            self._probed = True
            asyncio.get_running_loop().call_later(PROBE_AFTER_S, self._probe)
        self._log.write(
            Event.CONFIGURATION_APPLIED,
            version=table.version,
            evacuations=_names(self.configuration.evacuations),
        )

    def _probe(self) -> None:
        service = (
            self.configuration.table.services.get(self.backend.service) if self.configuration.table else None
        )
        if self.backend.state is BackendState.UNKNOWN and service is not None:
            self._probing = spawn(self.gate.probe(service.health_check_path))

    # Links to registries.

    def _hello(self) -> AgentHello:
        return AgentHello(
            self._address, self._life, self.configuration.version, list(self.configuration.stamp), True
        )

    def _own_entry(self) -> AgentEntry:
        status = self.gate.status()
        return AgentEntry(
            self._address,
            self._life,
            self._sequence,
            status.service,
            self._settings.zone,
            status.instance_id,
            status.available,
        )

    def _on_entry(self, entry: AgentEntry) -> None:
        """A registry tells of a proxy. What it holds of this one from an earlier life is outbid.

        Lives begin at the time of day, which may have been put back between two of them.
        """
        if entry.address != self._address:
            self.peers.apply(entry)
            return
        if entry.removed or (entry.life, entry.sequence) > (self._life, self._sequence):
            self._life = max(self._life, entry.life + 1)
            self._announce()

    def _announce(self) -> None:
        self._sequence += 1
        if self._registries is not None:
            self._registries.announce()

    async def _housekeeping(self) -> None:
        rounds = 0
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            rounds += 1
            if rounds % COUNTS_CHECKS == 0:
                self.gate.counts.check(self._log)
            self.policy.forget_removed_instances(self.peers.linked.values())
            self.budget.set_proxy_count(self.peers.proxy_count)
            self.gate.refresh()

    def describe(self) -> dict[str, Any]:
        """What this proxy holds, for operators."""
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
        """Figures of this proxy."""
        unsent = self.peers.unsent_bytes_per_link or [0]
        admission = self.gate.admission
        registries = self._registries
        return [
            Metric(
                "proxy_configuration_version", version_number(self.configuration.version or "0"), "in force"
            ),
            Metric(
                "proxy_configurations_applied_total", self.configuration.applied, "put in force in this life"
            ),
            Metric("proxy_registry_links", registries.connected if registries else 0, "that are up"),
            Metric(
                "proxy_registry_silent_seconds",
                registries.silent_s if registries else 0,
                "since the last word",
            ),
            Metric(
                "proxy_request_transit_seconds", self.inbound.take_max_age_s(), "most extra time on a link"
            ),
            Metric("proxy_unsent_bytes", sum(unsent), "that wait on links to other proxies"),
            Metric("proxy_unsent_most_bytes", max(unsent), "that wait on one link"),
            Metric("proxy_backend_running", admission.running, "requests at the backend beside this proxy"),
            Metric("proxy_backend_waiting", admission.waiting, "requests that wait for it"),
            Metric("proxy_retries_denied_total", self.budget.denied, "repeats that the budget did not grant"),
            *self.gate.counts.metrics(),
        ]

    def settings_changed(self, settings: Settings) -> None:
        """Nothing of the settings moves within a life but what a restart would read too."""
        self._settings = settings

    async def stop(self) -> None:
        """Finish what is under way, then end."""
        self.state = ProxyState.STOPPING
        loop = asyncio.get_running_loop()
        began = loop.time()
        last = began + self._settings.bounds.grace_period_s - GRACE_LEFT_S
        self._server.stop()
        self.outbound.stopping = True
        while loop.time() < last:
            await asyncio.sleep(STOP_CHECK_S)
            if not self.gate.stopping and loop.time() > began + GATE_OPEN_S:
                self.gate.stop()
            busy = self._server.busy or self.gate.in_flight or self.gate.admission.running
            if loop.time() <= began + LINGER_S:
                continue
            self._server.close()  # what would be read from here on could not be finished
            if not busy:
                break
        self._server.close()
        self._server.abandon()
        await asyncio.sleep(LAST_WRITES_S)
        self.state = ProxyState.STOPPED
        self.inbound.close()


def _names(evacuations: dict[str, bool]) -> str:
    return ",".join(sorted(zone for zone, on in evacuations.items() if on)) or "none"
