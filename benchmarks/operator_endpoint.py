"""Latency and metrics of the operators' endpoint under load, and memory with 32 MB bodies.

The metrics are compared with the clients' own counts. The memory is measured with several limits.

    python benchmarks/operator_endpoint.py
"""

from __future__ import annotations

import asyncio
import json
import re
import statistics
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from helpers import Peer, look, read_http
from upgrading import Platform, platform

REQUESTS = 200
LARGE_BODY_BYTES = 32 << 20


async def silent(request, writer) -> None:
    """Never answers."""
    await asyncio.Event().wait()


def peak_memory_mb(pid: int) -> float:
    """Highest resident memory of a process so far."""
    return int(re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())[1]) / 1024


async def read_metrics(operator_address: tuple[str, int]) -> tuple[dict, float]:
    """The metrics of the endpoint, and the duration of the request in ms."""
    began = time.monotonic()
    reader, writer = await asyncio.open_connection(*operator_address)
    writer.write(b"GET /_vars HTTP/1.1\r\n\r\n")
    response = await reader.read()
    writer.close()
    return json.loads(response.partition(b"\r\n\r\n")[2]), (time.monotonic() - began) * 1000


async def endpoint_under_load() -> None:
    """Requests metrics under client traffic and compares them with the clients' counts."""
    with tempfile.TemporaryDirectory() as folder:
        async with platform(Path(folder)) as site:
            process, operator_address = await site.spawn()
            while not site.seen.answers:
                await asyncio.sleep(0.01)
            # These connections send nothing.
            held_connections = [await asyncio.open_connection(*operator_address) for _ in range(40)]
            durations_ms, max_deviation = [], 0
            for _ in range(REQUESTS):
                metrics, ms = await read_metrics(operator_address)
                durations_ms.append(ms)
                max_deviation = max(
                    max_deviation, abs(sum(metrics["success"].values()) - site.seen.answers[200])
                )
                await asyncio.sleep(0.02)
            for _, writer in held_connections:
                writer.close()
            print(
                f"endpoint: {REQUESTS} requests under {sum(site.seen.answers.values())} "
                f"calls and 40 held connections, "
                f"median {statistics.median(durations_ms):.1f} ms, worst {max(durations_ms):.1f} ms; "
                f"success at most {max_deviation} from "
                f"the clients' count"
            )


async def large_bodies(memory_mb: int, stalling_readers: bool) -> None:
    """Sends eight responses and eight requests of 32 MB at once, under a memory limit.

    With `stalling_readers`, half of the readers of responses pause for 3 s after the head.
    """

    async def script(reader, writer):
        try:
            while True:
                request_head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: *(\d+)", request_head)
                remaining = int(length[1]) if length else 0
                while remaining:
                    remaining -= len(await reader.readexactly(min(remaining, 1 << 16)))
                body_bytes = 4 if length else LARGE_BODY_BYTES
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % body_bytes)
                while body_bytes:
                    writer.write(bytes(min(body_bytes, 1 << 16)))
                    body_bytes -= min(body_bytes, 1 << 16)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def exchange(site: Platform, number: int) -> bool:
        reader, writer = await asyncio.open_connection(*site.address)
        try:
            if number % 2:
                writer.write(
                    look(
                        b"pay",
                        method=b"POST",
                        deadline=b"9",
                        more=b"Content-Length: %d\r\n" % LARGE_BODY_BYTES,
                    )
                )
                for _ in range(LARGE_BODY_BYTES >> 16):
                    writer.write(bytes(1 << 16))
                    await writer.drain()
                return b" 200 " in await read_http(reader)
            writer.write(look(deadline=b"9"))
            if b" 200 " not in await reader.readuntil(b"\r\n\r\n"):
                return False
            if stalling_readers and number % 4 == 0:
                await asyncio.sleep(3)
            remaining = LARGE_BODY_BYTES
            while remaining:
                remaining -= len(await reader.read(1 << 16)) or remaining
            return True
        finally:
            writer.close()

    server = await asyncio.start_server(script, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    with tempfile.TemporaryDirectory() as folder:
        async with server, Peer(silent) as directory:
            site = Platform(Path(folder), f"{host}:{port}", directory.address)
            path = Path(folder) / "config.json"
            path.write_text(
                json.dumps(
                    json.loads(path.read_text()) | {"limits": {"memory_mb": memory_mb, "sockets": 256}}
                )
            )
            process, _ = await site.spawn(MALLOC_MMAP_THRESHOLD_="65536", MALLOC_TRIM_THRESHOLD_="131072")
            await asyncio.sleep(1)
            initial_mb = peak_memory_mb(process.pid)
            results = await asyncio.gather(
                *(asyncio.wait_for(exchange(site, n), 8) for n in range(16)), return_exceptions=True
            )
            print(
                f"memory, limit {memory_mb} MB, "
                f"{'four stalling readers, ' if stalling_readers else ''}16 messages of 32 MB: "
                f"{initial_mb:.0f} MB before, {peak_memory_mb(process.pid):.0f} MB at most; "
                f"{results.count(True)} complete, {results.count(False)} rejected, "
                f"{16 - results.count(True) - results.count(False)} ended otherwise"
            )
            process.kill()
            await process.wait()
            site.listening.close()


async def main() -> None:
    await endpoint_under_load()
    for limit_mb, stalling_readers in ((192, False), (32, False), (32, True)):
        await large_bodies(limit_mb, stalling_readers)


if __name__ == "__main__":
    asyncio.run(main())
