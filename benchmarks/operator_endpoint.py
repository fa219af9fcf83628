"""The operators' door under load, its figures beside what clients counted, and memory with 32 MB bodies.

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

CALLS = 200
LARGE = 32 << 20


async def silent(request, writer) -> None:
    await asyncio.Event().wait()


def peak(pid: int) -> float:
    return int(re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())[1]) / 1024


async def figures(door: tuple[str, int]) -> tuple[dict, float]:
    began = time.monotonic()
    reader, writer = await asyncio.open_connection(*door)
    writer.write(b"GET /_vars HTTP/1.1\r\n\r\n")
    answer = await reader.read()
    writer.close()
    return json.loads(answer.partition(b"\r\n\r\n")[2]), (time.monotonic() - began) * 1000


async def door_under_load() -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with platform(Path(folder)) as site:
            process, door = await site.spawn()
            while not site.seen.answers:
                await asyncio.sleep(0.01)
            holders = [await asyncio.open_connection(*door) for _ in range(40)]  # say nothing
            took, worst = [], 0
            for _ in range(CALLS):
                said, ms = await figures(door)
                took.append(ms)
                worst = max(worst, abs(sum(said["success"].values()) - site.seen.answers[200]))
                await asyncio.sleep(0.02)
            for _, writer in holders:
                writer.close()
            print(
                f"door: {CALLS} calls under {sum(site.seen.answers.values())} API calls and 40 held connections, "
                f"median {statistics.median(took):.1f} ms, worst {max(took):.1f} ms; success at most {worst} from "
                f"the clients' count"
            )


async def large(memory_mb: int, stops: bool) -> None:
    """Eight answers and eight requests of 32 MB at once; half of the readers stop after the head, if so wanted."""

    async def script(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: *(\d+)", head)
                left = int(length[1]) if length else 0
                while left:
                    left -= len(await reader.readexactly(min(left, 1 << 16)))
                size = 4 if length else LARGE
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                while size:
                    writer.write(bytes(min(size, 1 << 16)))
                    size -= min(size, 1 << 16)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def one(site: Platform, number: int) -> bool:
        reader, writer = await asyncio.open_connection(*site.address)
        try:
            if number % 2:
                writer.write(
                    look(b"pay", method=b"POST", deadline=b"9", more=b"Content-Length: %d\r\n" % LARGE)
                )
                for _ in range(LARGE >> 16):
                    writer.write(bytes(1 << 16))
                    await writer.drain()
                return b" 200 " in await read_http(reader)
            writer.write(look(deadline=b"9"))
            if b" 200 " not in await reader.readuntil(b"\r\n\r\n"):
                return False
            if stops and number % 4 == 0:
                await asyncio.sleep(3)
            left = LARGE
            while left:
                left -= len(await reader.read(1 << 16)) or left
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
            before = peak(process.pid)
            done = await asyncio.gather(
                *(asyncio.wait_for(one(site, n), 8) for n in range(16)), return_exceptions=True
            )
            print(
                f"memory, limit {memory_mb} MB, {'four readers that stop, ' if stops else ''}16 messages of 32 MB: "
                f"{before:.0f} MB before, {peak(process.pid):.0f} MB at most; {done.count(True)} whole, {done.count(False)} turned away, "
                f"{16 - done.count(True) - done.count(False)} ended otherwise"
            )
            process.kill()
            await process.wait()
            site.listening.close()


async def main() -> None:
    await door_under_load()
    for memory, stops in ((192, False), (32, False), (32, True)):
        await large(memory, stops)


if __name__ == "__main__":
    asyncio.run(main())
