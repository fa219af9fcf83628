"""Demo: a small mesh of real processes on loopback addresses, with stub backends in this process."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from lupinreach.http1.message import request
from lupinreach.mesh.backend_client import AttemptError, BackendConnection
from lupinreach.mesh.describe import describe
from lupinreach.mesh.http_types import HttpRequest, HttpResponse
from lupinreach.mesh.server import HttpServer
from lupinreach.mesh.settings import SETTINGS_VARIABLE
from lupinreach.mesh.tasks import spawn

CORES = {
    "core-1": ("127.77.0.1", "zone-a"),
    "core-2": ("127.77.0.2", "zone-b"),
    "core-3": ("127.77.0.3", "zone-c"),
}
SIDECARS = {
    "sidecar-1": ("127.77.1.1", "zone-a"),
    "sidecar-2": ("127.77.1.2", "zone-b"),
    "sidecar-3": ("127.77.1.3", "zone-c"),
}
SERVICE = "greeter"
PORTS = {"inbound": 17300, "outbound": 17304, "readiness": 17302, "control_plane": 17306}
APP_PORT = 17301
INTERNAL_PORT_RANGE = [17620, 17635]
HEARTBEAT_INTERVAL_S = 0.5
SERVICE_TIME_S = 0.02
REQUESTS_PER_S = 40
CONFIGURATION = {
    "version": "00000001",
    "services": [{"name": SERVICE}],
    "limits": {},
    "virtual_hosts": [
        {
            "hostname": "demo.example",
            "path_rules": [
                {
                    "name": "hello",
                    "path_prefix": "/hello/",
                    "route_type": "safe",
                    "timeout_ms": 1000,
                    "target_latency_ms": 200,
                    "target_service": SERVICE,
                    "max_attempts": 2,
                }
            ],
        }
    ],
}


def _settings(name: str, folder: Path) -> dict[str, Any]:
    is_core = name in CORES
    host, zone = (CORES if is_core else SIDECARS)[name]
    zones = dict.fromkeys(("zone-a", "zone-b", "zone-c"), "region-1")
    data = folder / f"{name}-data"
    data.mkdir(exist_ok=True)
    return {
        "node_name": name,
        "ip_address": host,
        "zone": zone,
        "region": "region-1",
        "zones": zones,
        "listen_addresses": {key: f"{host}:{port}" for key, port in PORTS.items()},
        "internal_port_range": INTERNAL_PORT_RANGE,
        "seed_nodes": [f"{seed}:{PORTS['control_plane']}" for seed, _ in CORES.values()],
        "first_start": True,
        "counted_in_quorum": is_core,
        "data_directory": str(data) if is_core else None,
        "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
        "app_address": None if is_core else f"{host}:{APP_PORT}",
        "target_service": None if is_core else SERVICE,
    }


async def _http_status(
    host: str, port: int, method: str, path: str, body: bytes = b"", header_lines: bytes = b""
) -> int:
    """The response status of one HTTP request; 0 if there was no response."""
    connection = BackendConnection()
    try:
        async with asyncio.timeout(2.0):
            await asyncio.get_running_loop().create_connection(lambda: connection, host, port)
            head = request(method.encode(), path.encode(), [header_lines], b"demo.example", len(body))
            return (await connection.probe(head + body)).head.start_line[2]
    except (AttemptError, OSError, TimeoutError):
        return 0
    finally:
        connection.close()


class _Demo:
    """The processes, the stub backends and the response counts."""

    def __init__(self, folder: Path, print_line: Callable[[str], Any]) -> None:
        self._folder = folder
        self._print_line = print_line
        self._processes: list[asyncio.subprocess.Process] = []
        self._handled: Counter[str] = Counter()
        self._statuses: Counter[int] = Counter()

    async def start(self) -> None:
        """Start all processes and the stub backends."""
        for name in CORES:
            await self._launch(name, "store")
            await self._launch(name, "registry")
        for name, (host, zone) in SIDECARS.items():
            await self._launch(name, "proxy")
            await self._start_backend(name, host, zone)

    async def _launch(self, name: str, role: str) -> None:
        path = self._folder / f"{name}.json"
        path.write_bytes(orjson.dumps(_settings(name, self._folder)))
        environment = os.environ | {SETTINGS_VARIABLE: str(path)}
        log = open(self._folder / f"{name}-{role}.log", "wb")  # inherited by the process
        command = (sys.executable, "-m", f"lupinreach.mesh.{role}")
        process = await asyncio.create_subprocess_exec(*command, env=environment, stderr=log, stdout=log)
        log.close()
        self._processes.append(process)

    async def _start_backend(self, name: str, host: str, zone: str) -> None:
        async def handle(http_request: HttpRequest) -> HttpResponse:
            await asyncio.sleep(SERVICE_TIME_S)
            self._handled[name] += 1
            request_id = http_request.header(b"lupinreach-request-id") or b""
            return HttpResponse(200, b"Lupinreach-Request-Id: " + request_id + b"\r\n", b"hello\n")

        server = HttpServer(handle, lambda http_request: True)
        await server.listen((host, APP_PORT))
        spawn(self._send_heartbeats(name, host, zone))

    async def _send_heartbeats(self, name: str, host: str, zone: str) -> None:
        sequence = 0
        while True:
            sequence += 1
            heartbeat = {
                "target_service": SERVICE,
                "address": f"{host}:{APP_PORT}",
                "zone": zone,
                "capacity": 8,
                "state": "ready",
                "sequence": sequence,
                "cold_remaining_ms": 0,
            }
            await _http_status(
                host, PORTS["control_plane"], "POST", f"/instances/{name}/heartbeat", orjson.dumps(heartbeat)
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def configure(self) -> bool:
        """Send the configuration until a registry accepts it."""
        body = orjson.dumps(CONFIGURATION)
        for _ in range(40):
            for host, _ in CORES.values():
                if (
                    await _http_status(host, PORTS["control_plane"], "POST", "/configuration/replace", body)
                    == 200
                ):
                    return True
            await asyncio.sleep(0.25)
        return False

    async def load(self, seconds: float) -> None:
        """Send requests to all proxies; halfway through, kill the machine of the primary store."""
        loop = asyncio.get_running_loop()
        until, killed, number = loop.time() + seconds, False, 0
        hosts = [host for host, _ in SIDECARS.values()]
        while loop.time() < until:
            number += 1
            spawn(self._send_request(hosts[number % len(hosts)], number))
            if not killed and until - loop.time() < seconds / 2:
                killed = True
                self._print_line("killing core-1")
                for process in self._processes[:2]:
                    process.kill()
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.sleep(1.0)

    async def _send_request(self, host: str, number: int) -> None:
        header_lines = b"Lupinreach-Request-Id: demo-%d\r\n" % number
        self._statuses[
            await _http_status(host, PORTS["outbound"], "GET", "/hello/there", b"", header_lines)
        ] += 1

    async def report(self) -> int:
        """Print the results; returns the exit code."""
        self._print_line(f"responses by status: {dict(self._statuses)}")
        self._print_line(f"requests by backend: {dict(self._handled)}")
        for host, _ in list(CORES.values())[1:]:
            facts = await describe(host, INTERNAL_PORT_RANGE[0])
            if facts is not None:
                keys = ("node", "doing", "epoch", "config_version")
                self._print_line("store " + ", ".join(f"{key} {facts[key]}" for key in keys))
        successful = self._statuses[200]
        return 0 if successful and successful >= 0.95 * sum(self._statuses.values()) else 1

    async def stop(self) -> None:
        """Kill all processes and wait for them."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        for process in self._processes:
            await process.wait()


async def run_demo(seconds: float, print_line: Callable[[str], Any]) -> int:
    """Run the demo; returns exit code 1 if the mesh did not serve the requests."""
    with tempfile.TemporaryDirectory(prefix="lupinreach-demo-") as folder:
        demo = _Demo(Path(folder), print_line)
        try:
            await demo.start()
            if not await demo.configure():
                print_line("no registry accepted the configuration")
                return 1
            print_line("three stores and registries, three proxies; the configuration is in force")
            await asyncio.sleep(1.0)
            await demo.load(seconds)
            return await demo.report()
        finally:
            await demo.stop()
