"""Control plane against hollow proxies: what a registry and a store need at several numbers of proxies.

One real store and one real registry run as processes on loopback; this process holds many proxies that speak
the control protocol and carry no traffic. For each number: resident memory, processor time and bytes while
nothing changes, while proxies restart, and from a configuration's acknowledgement until all have it in force.

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
CONTROL, INTERNAL = 18306, [18620, 18635]
SERVICES, ZONES = 43, 10
CALM_S = 8.0
RESTARTS = 20
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Hollow:
    """One proxy without traffic."""

    def __init__(self, number: int) -> None:
        self.address = f"10.0.{number // 250}.{number % 250}:8300"
        self.number = number
        self.life = int(time.time() * 1000)
        self.version = ""
        self.received = 0
        self.link: Link | None = None

    async def connect(self) -> None:
        hollow = self

        class Counting(Link):
            def data_received(self, data: bytes) -> None:
                hollow.received += len(data)
                super().data_received(data)

        self.link = Counting(self._message, lambda link: None)
        await asyncio.get_running_loop().create_connection(lambda: self.link, HOST, INTERNAL[0] + 1)
        self.link.send(AgentHello(self.address, self.life, self.version, []))
        service, zone = f"service-{self.number % SERVICES}", f"zone-{self.number % ZONES}"
        self.link.send(AgentEntry(self.address, self.life, 1, service, zone, f"i-{self.number}", True))

    def _message(self, link: Link, message: Message) -> None:
        if isinstance(message, StateUpdate):
            self.version = message.config_version
            link.send(StateUpdateAcknowledged(message.stamp, message.config_version))

    async def restart(self) -> None:
        assert self.link is not None
        self.link.abort()
        self.life += 1000
        await self.connect()


def settings(folder: Path) -> bytes:
    return orjson.dumps(
        {
            "node_name": "core",
            "ip_address": HOST,
            "zone": "zone-0",
            "region": "r",
            "zones": {"zone-0": "r"},
            "listen_addresses": {"control_plane": f"{HOST}:{CONTROL}"},
            "internal_port_range": INTERNAL,
            "seed_nodes": [f"{HOST}:{CONTROL}"],
            "first_start": True,
            "data_directory": str(folder),
        }
    )


def configuration(version: int) -> bytes:
    """43 services with 10 routes each."""
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
        for service in range(SERVICES)
    ]
    services = [{"name": f"service-{service}"} for service in range(SERVICES)]
    return orjson.dumps(
        {"version": f"{version:08x}", "services": services, "limits": {}, "virtual_hosts": hosts}
    )


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024


async def until(done: object, within_s: float) -> float:
    """Seconds until a condition holds."""
    began = time.monotonic()
    while not done() and time.monotonic() - began < within_s:  # type: ignore[operator]
        await asyncio.sleep(0.005)
    return time.monotonic() - began


async def measure(count: int) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        path = folder / "node.json"
        path.write_bytes(settings(folder))
        environment = os.environ | {SETTINGS_VARIABLE: str(path)}
        processes = []
        for role in ("store", "registry"):
            command = (sys.executable, "-m", f"lupinreach.mesh.{role}")
            quiet = asyncio.subprocess.DEVNULL
            processes.append(await asyncio.create_subprocess_exec(*command, env=environment, stderr=quiet))
        store, registry = (process.pid for process in processes)
        try:
            await asyncio.sleep(1.5)
            rest = memory_mb(registry), memory_mb(store)
            while (
                await _http_status(HOST, CONTROL, "POST", "/configuration/replace", configuration(1)) != 200
            ):
                await asyncio.sleep(0.2)
            proxies = [Hollow(number) for number in range(count)]
            began = cpu_s(registry)
            for proxy in proxies:
                await proxy.connect()
            joined = await until(lambda: all(proxy.version for proxy in proxies), 60.0)
            await asyncio.sleep(2.0)
            join_cpu = cpu_s(registry) - began
            before, received = (cpu_s(registry), cpu_s(store)), sum(proxy.received for proxy in proxies)
            await asyncio.sleep(CALM_S)
            calm = cpu_s(registry) - before[0], cpu_s(store) - before[1]
            bytes_s = (sum(proxy.received for proxy in proxies) - received) / CALM_S / count
            before = (cpu_s(registry), cpu_s(store))
            for proxy in proxies[:RESTARTS]:
                await proxy.restart()
            await asyncio.sleep(2.0)
            restart_ms = 1000 * (cpu_s(registry) - before[0]) / RESTARTS
            before = (cpu_s(registry), cpu_s(store))
            status = await _http_status(HOST, CONTROL, "POST", "/configuration/replace", configuration(2))
            force = await until(lambda: all(proxy.version == "00000002" for proxy in proxies), 30.0)
            change = cpu_s(registry) - before[0], cpu_s(store) - before[1]
            print(
                f"{count:5} proxies: registry {memory_mb(registry):.1f} MB ({rest[0]:.1f} at rest), store "
                f"{memory_mb(store):.1f} MB ({rest[1]:.1f}); calm: registry {100 * calm[0] / CALM_S:.2f}% and store "
                f"{100 * calm[1] / CALM_S:.2f}% of a core, {bytes_s:.0f} B/s a proxy; all joined after {joined:.2f} s, "
                f"{join_cpu:.2f} cpu s; a restart {restart_ms:.1f} cpu ms; a change ({status}) in force everywhere "
                f"{1000 * force:.0f} ms after its acknowledgement, registry {1000 * change[0]:.0f} and store "
                f"{1000 * change[1]:.0f} cpu ms",
                flush=True,
            )
        finally:
            for process in processes:
                process.kill()
                await process.wait()


if __name__ == "__main__":
    for asked in sys.argv[1:] or ["100", "400"]:
        asyncio.run(measure(int(asked)))
