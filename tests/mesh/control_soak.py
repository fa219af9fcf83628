"""Soak of what is ordered once and has no version: evacuations, departures of backends and heartbeats, all beside faults.

Operators and backends turn elsewhere after a second of silence, and some leave their connection open, so that a process
that stood still finds calls whose callers have been told otherwise since. Heartbeats come seconds late.
`python -m mesh.control_soak FIRST COUNT [PROXIES]` runs many soaks.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field

from lupinreach.mesh.events import Event
from mesh.soak import DISTURBED_S, RECOVERY_MARGIN_S, WARM_UP_S, ZONES, Soak, run_soaks
from mesh.world import CONTROL, Backend

SILENCE_S = 1.0  # after which callers turn to another agent
EVACUATION_LIMIT_S = 5.0  # from the acknowledgement until no request reaches the zone
UNSETTLED_CORE_S = 5.0  # by which trouble in the core extends it
CATCH_UP_S = 4.0  # after which a core machine counts as back
DRAIN_LIMIT_S = 2.0  # from the acknowledgement until no request reaches a backend that leaves
EVENT_KINDS = (
    *("evacuate",) * 4,
    *("leave",) * 6,
    *("core_freeze",) * 4,
    *("kill_all",) * 2,
    *("order", "term", "kill", "freeze", "core_kill"),
)


@dataclass
class EvacuationOrder:
    """One order to start or stop an evacuation; times are simulated, 0 if it was never acknowledged."""

    zone: str
    active: bool
    sent_at: float
    acknowledged_at: float = 0.0


@dataclass
class Departure:
    """A backend whose draining or sign-off was acknowledged."""

    backend: Backend
    acknowledged_at: float


@dataclass
class ControlSoak(Soak):
    """One soak run."""

    service_times_ms: tuple[float, ...] = (20, 60, 100)  # so that each service bears its load on two backends
    freeze_lengths_s: tuple[float, ...] = (1.5, 2.5, 4.0)
    evacuations: list[EvacuationOrder] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    replaced: list[Backend] = field(default_factory=list)

    def _event_kinds(self) -> list[str]:
        return list(EVENT_KINDS)

    # Operators.

    async def _do_evacuate(self) -> None:
        """A few orders for one zone, the last of them to stop."""
        zone = self.rng.choice(ZONES)
        if zone in self.busy:
            return
        self.busy.add(zone)
        while self.rng.random() < 0.8 and self.world.now < WARM_UP_S + DISTURBED_S:
            await self._send_evacuation_order(zone, self.rng.random() < 0.6)
            pause_s = self.rng.choice([0.0, 0.1, 0.3, 0.8, 2.0, 7.0])
            await asyncio.sleep(max(0.0, min(pause_s, WARM_UP_S + DISTURBED_S - self.world.now)))
        while not await self._send_evacuation_order(zone, False):
            await asyncio.sleep(0.2)
        self.busy.discard(zone)

    async def _send_evacuation_order(self, zone: str, active: bool) -> bool:
        """Send an order to random registries until it is acknowledged, or given up; return whether it was."""
        order = EvacuationOrder(zone, active, self.world.now)
        self.evacuations.append(order)
        path = f"/evacuations/{zone}/{'start' if active else 'stop'}"
        tries = self.rng.choice([1, 2, 6, 6])
        for attempt in range(tries):
            core = self.rng.choice(self.world.cores)
            hang_up = self.rng.random() < 0.5
            status, _ = await self.world.call(
                core, CONTROL, "POST", path, patience_s=SILENCE_S, hang_up=hang_up
            )
            if status == 200:
                order.acknowledged_at = self.world.now
                return True
            await asyncio.sleep(0.05 * attempt)
        return False

    # Faults.

    async def _do_kill_all(self) -> None:
        """Kill all processes that run at one moment; they return within a second, with their disks."""
        if self.busy & set(self.world.cores):
            return
        hosts = sorted(set(self.world.zones) - self.busy)
        self.busy |= set(hosts)
        down_s = {host: self.rng.uniform(0.1, 1.0) for host in hosts}
        for host in hosts:
            self._record_disturbance(host, down_s[host])
            self.world.kill(host)
        for host in sorted(hosts, key=down_s.__getitem__):
            self._start_task(self._start_after(host, down_s[host]))
        await asyncio.sleep(1.0 + CATCH_UP_S)
        self.busy -= set(hosts)

    async def _start_after(self, host: str, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self._start_proxy(host)

    # Backends.

    async def _do_leave(self) -> None:
        """A backend leaves in order and serves on; earlier heartbeats come late, its proxy may be killed meanwhile."""
        host = self._pick_free_host(sorted(self.world.backends))
        leaving = f"{host} leaves"
        if host is None or leaving in self.busy or (host, "backend") not in self.world.owners:
            return
        self.busy.add(leaving)
        backend = self.world.backends[host]
        backend.beating = 0
        for _ in range(2):
            via = self.rng.choice([host, *self.world.cores])
            late_s = self.rng.uniform(0.5, 5.0)
            self._start_task(self.world.send_heartbeat(host, via, late_s, patience_s=SILENCE_S))
        await asyncio.sleep(self.rng.choice([0.0, 0.5]))
        if await self._announce_departure(host):
            self.departures.append(Departure(backend, self.world.now))
            self._disturb_after_departure(host)
        await asyncio.sleep(self.rng.uniform(DRAIN_LIMIT_S, 6.0))
        self._replace_instance(host)
        if (host, "backend") in self.world.owners:
            self.world.stop_backend(host)
        self.world.start_backend(host)
        self.busy.discard(leaving)

    def _disturb_after_departure(self, host: str) -> None:
        """Perhaps kill the proxy that has just acknowledged a departure, or all processes."""
        fault = self.rng.choice(["none", "kill", "kill_all", "kill_all"])
        if fault == "kill_all":
            self._start_task(self._do_kill_all())
        elif fault == "kill" and host not in self.busy and (host, "proxy") in self.world.programs:
            self._start_task(self._kill_and_restart(host))

    async def _announce_departure(self, host: str) -> bool:
        """Say `draining`, or sign off, to the proxy or a registry; return whether it was acknowledged in time."""
        signs_off = self.rng.random() < 0.5
        if not signs_off:
            self.world.backends[host].state = "draining"
        for via in [host, *self.rng.sample(self.world.cores, 2)]:
            if signs_off:
                instance = self.world.backends[host].instance
                path = f"/instances/{instance}/deregister"
                status, _ = await self.world.call(via, CONTROL, "POST", path, patience_s=SILENCE_S)
            else:
                status = await self.world.send_heartbeat(host, via, patience_s=SILENCE_S)
            if status == 200:
                return True
        return False

    def _replace_instance(self, host: str) -> None:
        self.replaced.append(self.world.backends[host])
        super()._replace_instance(host)

    # Checks.

    def _check_results(self) -> None:
        super()._check_results()
        hosts = {record.request_id: record.host for record in self.records}
        for backend in [*self.replaced, *self.world.backends.values()]:
            for request_id, arrived_at in zip(backend.ran, backend.arrived, strict=True):
                sender = hosts[request_id]
                if self._undisturbed_host(sender, arrived_at - RECOVERY_MARGIN_S, arrived_at):
                    self._check_arrival(backend, request_id, arrived_at)
        self._check_committed_evacuations()
        self._check_final_evacuations()

    def _undisturbed_host(self, host: str, since: float, until: float) -> bool:
        spans = self.disturbances.get(host, [])
        return not any(start < until and end + RECOVERY_MARGIN_S > since for start, end in spans)

    def _check_arrival(self, backend: Backend, request_id: str, at: float) -> None:
        what = f"{request_id} at {backend.host} {backend.instance}, {at:.2f} s"
        for departure in self.departures:
            if departure.backend is backend and at > departure.acknowledged_at + DRAIN_LIMIT_S:
                self.violations.append(f"DRAIN: {what}: left at {departure.acknowledged_at:.2f} s")
        evacuated_at = self._evacuated_since(backend.zone, at)
        if evacuated_at is None:
            return
        core_is_calm = all(self._undisturbed_host(core, evacuated_at, at) for core in self.world.cores)
        limit_s = EVACUATION_LIMIT_S + (0.0 if core_is_calm else UNSETTLED_CORE_S)
        if at > evacuated_at + limit_s:
            self.violations.append(f"EVAC: {what}: {backend.zone} is evacuated since {evacuated_at:.2f} s")

    def _evacuated_since(self, zone: str, at: float) -> float | None:
        """When the evacuation that is in force at a time was acknowledged; None if it may have been withdrawn."""
        sent = [order for order in self.evacuations if order.zone == zone and order.sent_at <= at]
        since = None
        for order in sent:
            if not order.active:
                since = None
            elif order.acknowledged_at and order.acknowledged_at <= at:
                since = since or order.acknowledged_at
        return since

    def _check_committed_evacuations(self) -> None:
        """No document is committed that contradicts the order of a zone that was acknowledged last."""
        for at, name, event, facts in self.world.recorded_events:
            if event is not Event.ORDER_COMMITTED:
                continue
            committed = facts["evacuations"].split(",")
            for zone in ZONES:
                sent = [order for order in self.evacuations if order.zone == zone and order.sent_at <= at]
                if not sent or not 0 < sent[-1].acknowledged_at <= at:
                    continue  # either state may be in force
                if (zone in committed) != sent[-1].active:
                    self.violations.append(f"EVAC: {name} undoes the last order for {zone} at {at:.2f} s")

    def _check_final_evacuations(self) -> None:
        """At the end the state of each zone is that of its last order, as the last one was acknowledged."""
        last = {order.zone: order for order in self.evacuations}
        for (host, role), program in self.world.programs.items():
            for zone, order in last.items():
                if role == "proxy" and order.acknowledged_at:
                    if program.configuration.evacuated(zone) != order.active:
                        self.violations.append(f"EVAC: {host} has {zone} {not order.active} at the end")


def _summary(soak: ControlSoak) -> str:
    acknowledged = sum(bool(order.acknowledged_at) for order in soak.evacuations)
    departures = len(soak.departures)
    return f"{acknowledged} of {len(soak.evacuations)} evacuation orders, {departures} departures"


def main() -> int:
    """Run COUNT soaks with seeds from FIRST on, and print the violations."""
    numbers = [int(text) for text in sys.argv[1:]]
    first, count, proxies = (*numbers, 6)[:3]
    return run_soaks(first, count, lambda seed, folder: ControlSoak(seed, folder, proxies), _summary)


if __name__ == "__main__":
    sys.exit(main())
