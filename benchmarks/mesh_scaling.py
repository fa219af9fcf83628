"""Resource use of the control plane by the number of proxies.

One store and one registry run as processes on loopback; this process simulates many proxies that speak the
control protocol and carry no traffic. For each number of proxies it prints resident memory, CPU time and
bytes while nothing changes, the CPU time of proxy restarts, and the time from the acknowledgement of a
configuration until all proxies have it.

    python benchmarks/mesh_scaling.py 100 400 1400
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path

import orjson

from lupinreach.mesh.demo import _http_status
from lupinreach.mesh.link import Link
from lupinreach.mesh.messages import AgentEntry, AgentHello, Message, StateUpdate, StateUpdateAcknowledged
from lupinreach.mesh.settings import SETTINGS_VARIABLE

HOST = "127.78.0.1"
CONTROL_PORT, INTERNAL_PORT_RANGE = 18306, [18620, 18635]
SERVICE_COUNT, ZONE_COUNT = 43, 10
IDLE_S = 8.0  # measured time without changes
RESTARTED_PROXIES = 20
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class IdleProxy:
    """A proxy that speaks the control protocol and carries no traffic."""

    def __init__(self, number: int) -> None:
        self.address = f"10.0.{number // 250}.{number % 250}:8300"
        self.number = number
        self.incarnation = int(time.time() * 1000)
        self.version = ""
        self.received = 0
        self.link: Link | None = None

    async def connect(self) -> None:
        """Connects to the registry and registers a backend."""
        proxy = self

        class ByteCountingLink(Link):
            def data_received(self, data: bytes) -> None:
                proxy.received += len(data)
                super().data_received(data)

        self.link = ByteCountingLink(self._message, lambda link: None)
        await asyncio.get_running_loop().create_connection(
            lambda: self.link, HOST, INTERNAL_PORT_RANGE[0] + 1
        )
        self.link.send(AgentHello(self.address, self.incarnation, self.version, []))
        service, zone = f"service-{self.number % SERVICE_COUNT}", f"zone-{self.number % ZONE_COUNT}"
        self.link.send(AgentEntry(self.address, self.incarnation, 1, service, zone, f"i-{self.number}", True))

    def _message(self, link: Link, message: Message) -> None:
        if isinstance(message, StateUpdate):
            self.version = message.config_version
            link.send(StateUpdateAcknowledged(message.stamp, message.config_version))

    async def restart(self) -> None:
        """Closes the connection and returns as a new incarnation."""
        assert self.link is not None
        self.link.abort()
        self.incarnation += 1000
        await self.connect()


def settings(folder: Path) -> bytes:
    """The settings file of the store and the registry."""
    return orjson.dumps(
        {
            "node_name": "core",
            "ip_address": HOST,
            "zone": "zone-0",
            "region": "r",
            "zones": {"zone-0": "r"},
            "listen_addresses": {"control_plane": f"{HOST}:{CONTROL_PORT}"},
            "internal_port_range": INTERNAL_PORT_RANGE,
            "seed_nodes": [f"{HOST}:{CONTROL_PORT}"],
            "first_start": True,
            "data_directory": str(folder),
        }
    )


def configuration(version: int) -> bytes:
    """A configuration with 10 routes for each of `SERVICE_COUNT` services."""
    route = {"route_type": "safe", "timeout_ms": 1000, "target_latency_ms": 200, "max_attempts": 2}
    hosts = [
        {
            "hostname": f"h{service}.example",
            "path_rules": [
                route
                | {
                    "path_prefix": f"/p{index}/",
                    "name": f"r{service}.{index}",
                    "target_service": f"service-{service}",
                }
                for index in range(10)
            ],
        }
        for service in range(SERVICE_COUNT)
    ]
    services = [{"name": f"service-{service}"} for service in range(SERVICE_COUNT)]
    return orjson.dumps(
        {"version": f"{version:08x}", "services": services, "limits": {}, "virtual_hosts": hosts}
    )


def cpu_s(pid: int) -> float:
    """CPU time of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


async def until(condition: object, within_s: float) -> float:
    """Waits for a condition, at most `within_s`; returns the seconds waited."""
    began = time.monotonic()
    while not condition() and time.monotonic() - began < within_s:  # type: ignore[operator]
        await asyncio.sleep(0.005)
    return time.monotonic() - began


async def measure(count: int) -> None:
    """Runs a store, a registry and `count` proxies, and prints what they need."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        path = folder / "node.json"
        path.write_bytes(settings(folder))
        environment = os.environ | {SETTINGS_VARIABLE: str(path)}
        processes = []
        for role in ("store", "registry"):
            command = (sys.executable, "-m", f"lupinreach.mesh.{role}")
            discard = asyncio.subprocess.DEVNULL
            processes.append(await asyncio.create_subprocess_exec(*command, env=environment, stderr=discard))
        store, registry = (process.pid for process in processes)
        try:
            await asyncio.sleep(1.5)
            initial_mb = memory_mb(registry), memory_mb(store)
            while (
                await _http_status(HOST, CONTROL_PORT, "POST", "/configuration/replace", configuration(1))
                != 200
            ):
                await asyncio.sleep(0.2)
            proxies = [IdleProxy(number) for number in range(count)]
            began = cpu_s(registry)
            for proxy in proxies:
                await proxy.connect()
            join_s = await until(lambda: all(proxy.version for proxy in proxies), 60.0)
            await asyncio.sleep(2.0)
            join_cpu_s = cpu_s(registry) - began
            cpu_before, received_before = (
                (cpu_s(registry), cpu_s(store)),
                sum(proxy.received for proxy in proxies),
            )
            await asyncio.sleep(IDLE_S)
            idle_cpu_s = cpu_s(registry) - cpu_before[0], cpu_s(store) - cpu_before[1]
            received_bytes_s = (sum(proxy.received for proxy in proxies) - received_before) / IDLE_S / count
            cpu_before = (cpu_s(registry), cpu_s(store))
            for proxy in proxies[:RESTARTED_PROXIES]:
                await proxy.restart()
            await asyncio.sleep(2.0)
            restart_cpu_ms = 1000 * (cpu_s(registry) - cpu_before[0]) / RESTARTED_PROXIES
            cpu_before = (cpu_s(registry), cpu_s(store))
            status = await _http_status(
                HOST, CONTROL_PORT, "POST", "/configuration/replace", configuration(2)
            )
            applied_s = await until(lambda: all(proxy.version == "00000002" for proxy in proxies), 30.0)
            change_cpu_s = cpu_s(registry) - cpu_before[0], cpu_s(store) - cpu_before[1]
            print(
                f"{count:5} proxies: registry {memory_mb(registry):.1f} MB ("
                f"{initial_mb[0]:.1f} before proxies join), store "
                f"{memory_mb(store):.1f} MB ({initial_mb[1]:.1f}); "
                f"idle: registry {100 * idle_cpu_s[0] / IDLE_S:.2f}% and store "
                f"{100 * idle_cpu_s[1] / IDLE_S:.2f}% of a core, {received_bytes_s:.0f} B/s per proxy; "
                f"all joined after {join_s:.2f} s, "
                f"{join_cpu_s:.2f} CPU s; a restart {restart_cpu_ms:.1f} CPU ms; "
                f"a change ({status}) applied by all proxies "
                f"{1000 * applied_s:.0f} ms after its acknowledgement, "
                f"registry {1000 * change_cpu_s[0]:.0f} and store "
                f"{1000 * change_cpu_s[1]:.0f} CPU ms",
                flush=True,
            )
        finally:
            for process in processes:
                process.kill()
                await process.wait()


if __name__ == "__main__":
    for argument in sys.argv[1:] or ["100", "400"]:
        asyncio.run(measure(int(argument)))
