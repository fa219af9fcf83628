"""A soak on simulated time: clients on kept connections, signals, restarts and changes in series and overlapping.

A soak is named by its seed and is the same each time. Clients use an open connection until its process is gone. What
each of them saw, and what the backends ran, is judged; `python -m mesh.soak FIRST COUNT [PROXIES]` plays many by hand.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lupinreach.http1.message import request
from lupinreach.mesh.backend_client import AttemptError, BackendConnection
from lupinreach.mesh.configuration import version_number
from lupinreach.mesh.events import Event
from mesh.world import CONTROL, OUTBOUND, World

BEGINS_S, TROUBLED_S, CALM_S = 3.0, 30.0, 12.0
IN_FORCE_S = 2.0  # after its acknowledgement a version is in force at calm proxies
TOUCH_S = 3.0  # so long after trouble a proxy counts as calm again
GRACE_S = 6.0
SLACK_S = 1.0  # an answer may come so long after the deadline
DEADLINE_MS = 2000
PROMISES = (408, 421, 429, 503)  # surely not run
ZONES = ("za", "zb", "zc")
PLANNED = ("term", "hup")
UNPLANNED = ("kill", "freeze", "reset", "core_kill", "core_freeze")
CHANGES = ("order", "order", "order", "evacuate")
FAULTS = ("replace_backend", "crash_backend")
WORK_MS = (20, 100, 300)


@dataclass
class Try:
    """One request of a client."""

    request_id: str
    host: str
    path: str
    sent: float
    status: int = 0  # 0: its connection ended without an answer
    ended: float = 0.0
    connected: bool = False


@dataclass
class Change:
    """A configuration that was sent."""

    version: str
    paths: frozenset[str]
    acked: float = 0.0


@dataclass
class Soak:
    """One play."""

    seed: int
    folder: Path
    proxies: int = 6
    broken: list[str] = field(default_factory=list)
    tries: list[Try] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    troubled: dict[str, list[tuple[float, float]]] = field(default_factory=dict)  # by host: from, to
    ran_before: list[str] = field(default_factory=list)  # by backends that were replaced
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)  # hosts with a signal, a kill or a freeze under way

    def play(self) -> list[str]:
        """Play it, and say what broke."""
        self.chance = random.Random(self.seed)
        self.world = world = World(self.folder, self.seed)
        try:
            for number, zone in enumerate(ZONES, 1):
                world.add_core(f"c{number}", zone)
            for number in range(self.proxies):
                service = "alpha" if number % 3 else "beta"
                world.add_sidecar(f"s{number}", ZONES[number % len(ZONES)], service)
            for host in list(world.zones):
                world.start(host)
            for backend in world.backends.values():
                backend.work_ms = self.chance.choice(WORK_MS)
            world.first_start = False
            world.run_until(BEGINS_S)
            self._begin(self._do_order())
            world.run_until(BEGINS_S + 1.0)
            for host in world.backends:
                for _ in range(2):
                    self._begin(self._client(host))
            self._begin(self._trouble())
            world.run_until(BEGINS_S + TROUBLED_S + CALM_S)
            self._judge()
        finally:
            world.end()
        return self.broken

    def _begin(self, work: Any) -> None:
        with self.world.loop.owned_by(0):
            task = self.world.loop.create_task(work)
            self.tasks.append(task)

    # Clients.

    async def _client(self, host: str) -> None:
        """Requests one after the other, on one connection for as long as it lasts."""
        connection: BackendConnection | None = None
        while True:
            await asyncio.sleep(self.chance.expovariate(6.0))
            path = self._drawn_path()
            made = Try(f"q{len(self.tries)}", host, path, self.world.now)
            self.tries.append(made)
            if connection is None or not connection.reusable:
                connection = await self._connect(host)
            if connection is not None:
                made.connected = True
                await self._send(connection, made)
            made.ended = self.world.now

    async def _connect(self, host: str) -> BackendConnection | None:
        connection = BackendConnection()
        self.world.loop.hosts.setdefault(0, host)
        try:
            async with asyncio.timeout(1.0):
                await self.world.loop.create_connection(lambda: connection, host, OUTBOUND)
        except (OSError, TimeoutError):
            return None
        return connection

    async def _send(self, connection: BackendConnection, made: Try) -> None:
        lines = (
            f"Lupinreach-Request-Id: {made.request_id}\r\nLupinreach-Request-Deadline: {DEADLINE_MS}\r\n"
        ).encode()
        unsafe = made.path.startswith("/unsafe")
        body = b"x" * self.chance.choice([1, 1, 40_000]) if unsafe else b""
        method = b"POST" if unsafe else b"GET"
        head = request(method, f"{made.path}x".encode(), (lines,), b"h.example", len(body))
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + SLACK_S):
                made.status = (await connection.probe(head + body)).head.first[2]
        except AttemptError:
            connection.close()
        except TimeoutError:
            made.status = -1
            connection.close()

    def _drawn_path(self) -> str:
        newest = sorted(self.changes[-1].paths) if self.changes else []
        return self.chance.choice(["/safe/", "/unsafe/", *newest[-3:]])

    # Operators.

    async def _do_order(self) -> None:
        """Add a route, and at times take one away; sent to any registry until it is taken."""
        paths = set(self.changes[-1].paths) if self.changes else set()
        number = len(self.changes) + 1
        if len(paths) > 2 and self.chance.random() < 0.4:
            paths.discard(self.chance.choice(sorted(paths)))
        change = Change(f"{number:08x}", frozenset(paths | {f"/added{number}/"}))
        self.changes.append(change)
        text = _configuration(change)
        for _ in range(60):
            core = self.chance.choice(self.world.cores)
            status, _ = await self.world.call(core, CONTROL, "POST", "/configuration/replace", text)
            if status == 200:
                change.acked = self.world.now
                return
            if 400 <= status < 500:
                self.broken.append(f"order {change.version} refused with {status}")
                return
            await asyncio.sleep(0.2)
        self.broken.append(f"order {change.version} was not taken in {self.world.now:.1f} s")

    # Troubles.

    async def _trouble(self) -> None:
        """Things happen at any moment, also on top of each other; in soaks of odd seeds planned ones alone."""
        kinds = [*PLANNED * 3, *CHANGES] if self.seed % 2 else [*PLANNED * 3, *UNPLANNED, *CHANGES, *FAULTS]
        while self.world.now < BEGINS_S + TROUBLED_S:
            kind = self.chance.choice(kinds)
            self._begin(getattr(self, f"_do_{kind}")())
            await asyncio.sleep(self.chance.choice([0.0, 0.1, 0.3, 0.6, 1.2]))

    def _free_host(self, hosts: list[str]) -> str | None:
        """One whose process runs, unless half of them are under way already."""
        free = [host for host in hosts if host not in self.busy and (host, "proxy") in self.world.programs]
        half = len(self.busy & set(hosts)) * 2 < len(hosts)
        return self.chance.choice(free) if free and half else None

    async def _do_term(self) -> None:
        """SIGTERM; the process ends when it is done, at the latest by SIGKILL, and starts again."""
        host = self._free_host(sorted(self.world.backends))
        if host is None:
            return
        self.busy.add(host)
        program, owner = self.world.programs[(host, "proxy")], self.world.owners[(host, "proxy")]
        with self.world.loop.owned_by(owner):
            stopping = self.world.loop.create_task(program.stop())
        await asyncio.wait([stopping], timeout=GRACE_S)
        self.world.kill(host)
        await asyncio.sleep(self.chance.choice([0.1, 0.5, 1.5]))
        self._start_proxy(host)
        self.busy.discard(host)

    def _start_proxy(self, host: str) -> None:
        """The machine's processes start; its backend is another process and runs on."""
        self.world.recorded_events.append((self.world.now, f"{host}/proxy", Event.STARTED, {}))
        self.world.start(host, with_backend=False)

    async def _do_hup(self) -> None:
        host = self.chance.choice(sorted(self.world.backends))
        program = self.world.programs.get((host, "proxy"))
        if program is not None:
            program.settings_changed(self.world.settings(host))

    def _unplanned(self, host: str, seconds: float) -> None:
        began = self.world.now
        self.troubled.setdefault(host, []).append((began, began + seconds))

    async def _do_kill(self) -> None:
        host = self._free_host(sorted(self.world.backends))
        if host is not None:
            await self._kill(host)

    async def _do_core_kill(self) -> None:
        host = self._free_core()
        if host is not None:
            await self._kill(host)

    def _free_core(self) -> str | None:
        """One core machine may be lost at once."""
        return None if self.busy & set(self.world.cores) else self.chance.choice(self.world.cores)

    async def _kill(self, host: str) -> None:
        self.busy.add(host)
        down_s = self.chance.choice([0.1, 1.0, 3.0])
        self._unplanned(host, down_s)
        self.world.kill(host)
        await asyncio.sleep(down_s)
        self._start_proxy(host)
        if host in self.world.cores:
            await asyncio.sleep(4.0)  # until it has caught up
        self.busy.discard(host)

    async def _do_freeze(self) -> None:
        host = self._free_host(sorted(self.world.backends))
        if host is not None:
            await self._freeze(host)

    async def _do_core_freeze(self) -> None:
        host = self._free_core()
        if host is not None:
            await self._freeze(host)

    async def _freeze(self, host: str) -> None:
        self.busy.add(host)
        seconds = self.chance.choice([0.3, 1.0, 2.5])
        self._unplanned(host, seconds)
        self.world.freeze(host, seconds)
        await asyncio.sleep(seconds + (4.0 if host in self.world.cores else 0.0))
        self.busy.discard(host)

    async def _do_reset(self) -> None:
        """Half of a host's connections are reset."""
        host = self.chance.choice(sorted(self.world.zones))
        self._unplanned(host, 0.0)
        for transport in list(self.world.loop.transports):
            if transport.open and transport.host == host and self.chance.random() < 0.5:
                transport.abort()
        self.world.loop.transports = [one for one in self.world.loop.transports if one.open]

    async def _do_evacuate(self) -> None:
        zone = self.chance.choice(ZONES)
        if "evacuation" in self.busy:
            return
        self.busy.add("evacuation")
        for verb, pause_s in (("start", 3.0), ("stop", 1.0)):
            for _ in range(40):
                core = self.chance.choice(self.world.cores)
                if (await self.world.call(core, CONTROL, "POST", f"/evacuations/{zone}/{verb}"))[0] == 200:
                    break
                await asyncio.sleep(0.2)
            await asyncio.sleep(pause_s)
        self.busy.discard("evacuation")

    async def _do_replace_backend(self) -> None:
        host = self.chance.choice(sorted(self.world.backends))
        self._new_instance(host)
        if (host, "backend") in self.world.owners:
            self.world.stop_backend(host)
        self.world.start_backend(host)

    def _new_instance(self, host: str) -> None:
        """Another backend takes the place of one, whose runs still count."""
        old = self.world.backends[host]
        self.ran_before += old.ran
        self.world.new_instance(host)
        self.world.backends[host].work_ms = old.work_ms

    async def _do_crash_backend(self) -> None:
        host = self.chance.choice(sorted(self.world.backends))
        if (host, "backend") not in self.world.owners:
            return
        self.world.stop_backend(host)
        self._unplanned(host, 2.0)
        await asyncio.sleep(2.0)
        if (host, "backend") not in self.world.owners:
            self._new_instance(host)
            self.world.start_backend(host)

    # Judgement.

    def _calm(self, host: str, since: float, until: float) -> bool:
        """No unplanned trouble at a host, or at any core machine, from shortly before to the end."""
        spans = [span for of in (host, *self.world.cores) for span in self.troubled.get(of, [])]
        return not any(began < until and ended + TOUCH_S > since for began, ended in spans)

    def _all_calm(self, since: float, until: float) -> bool:
        return all(self._calm(host, since, until) for host in self.world.zones)

    def _judge(self) -> None:
        runs = Counter(self.ran_before)
        for backend in self.world.backends.values():
            runs.update(backend.ran)
        for made in self.tries:
            if made.ended:
                self._judge_try(made, runs[made.request_id])
        self._judge_versions()
        last = [
            made for made in self.tries if made.sent > BEGINS_S + TROUBLED_S + CALM_S - 3.0 and made.ended
        ]
        unserved = [
            (made.request_id, made.host, made.path, made.status) for made in last if made.status != 200
        ]
        if unserved or not last:
            self.broken.append(
                f"in the calm at the end {len(unserved)} of {len(last)} unserved: {unserved[:3]}"
            )
        told = [str(fault.get("exception") or fault.get("message")) for fault in self.world.loop.faults]
        faults = [fault for fault in told if "destroyed but it is pending" not in fault]
        faults += [repr(task.exception()) for task in self.tasks if task.done() and task.exception()]
        self.broken += [f"fault: {fault}" for fault in faults[:3]]

    def _judge_try(self, made: Try, ran: int) -> None:
        what = f"{made.request_id} {made.path} at {made.host}, {made.sent:.2f} to {made.ended:.2f} s"
        if made.path == "/unsafe/" and ran > 1:
            self.broken.append(f"TWICE: {what}: ran {ran} times")
        if made.path == "/unsafe/" and ran and made.status in PROMISES:
            self.broken.append(f"REFUSED: {what}: ran, and got {made.status}")
        if made.status == -1 and self._calm(made.host, made.sent, made.ended):
            self.broken.append(f"no answer: {what}")
        if made.status == 0 and made.connected and ran and self._all_calm(made.sent, made.ended):
            self.broken.append(f"LOST: {what}: ran, and its connection ended")
        if made.status == 404 and self._surely_there(made):
            self.broken.append(f"CONFIG: {what}: 404")

    def _surely_there(self, made: Try) -> bool:
        """If every configuration that may be in force holds its route."""
        if made.path in ("/safe/", "/unsafe/"):
            return True
        if not self._calm(made.host, made.sent, made.ended):
            return False
        acked = [one for one in self.changes if one.acked and one.acked + IN_FORCE_S < made.sent]
        if not acked:
            return False
        oldest = self.changes.index(max(acked, key=lambda one: version_number(one.version)))
        return all(made.path in one.paths for one in self.changes[oldest:])

    def _judge_versions(self) -> None:
        """Within a life a proxy never goes back; at the end all hold the newest that was acknowledged."""
        held: dict[str, int] = {}
        for at, name, event, facts in self.world.recorded_events:
            if event is Event.STARTED:
                held.pop(name, None)
            if event is Event.CONFIGURATION_APPLIED:
                version = version_number(facts["version"])
                if version < held.get(name, 0):
                    self.broken.append(f"CONFIG: {name} went back to {version:x} at {at:.2f} s")
                held[name] = version
        newest = max((one.version for one in self.changes if one.acked), key=version_number)
        for (host, role), program in self.world.programs.items():
            if role == "proxy" and version_number(program.configuration.version or "0") < version_number(
                newest
            ):
                self.broken.append(
                    f"CONFIG: {host} holds {program.configuration.version!r} at the end, not {newest}"
                )


def _configuration(change: Change) -> bytes:
    """`/safe/` and `/unsafe/` of alpha, and the added routes of either service, with aims of their own."""
    rules = [
        f'{{"name":"{kind}","path_prefix":"/{kind}/","route_type":"{kind}","timeout_ms":2000,'
        f'"target_latency_ms":400,"priority":1,"target_service":"alpha","max_attempts":2}}'
        for kind in ("safe", "unsafe")
    ]
    for place, path in enumerate(sorted(change.paths)):
        rules.append(
            f'{{"name":"{path.strip("/")}","path_prefix":"{path}","route_type":"safe","timeout_ms":2000,'
            f'"target_latency_ms":{1000 - 200 * (place % 4)},"priority":0,'
            f'"target_service":"{("alpha", "beta")[place % 2]}","max_attempts":2}}'
        )
    services = '{"name":"alpha","cold_per_s":50},{"name":"beta","cold_per_s":50}'
    hosts = f'{{"hostname":"h.example","path_rules":[{",".join(rules)}]}}'
    return f'{{"version":"{change.version}","services":[{services}],"limits":{{}},"virtual_hosts":[{hosts}]}}'.encode()


def main() -> int:
    """Play COUNT soaks from seed FIRST on, and print what broke."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    proxies = int(sys.argv[3]) if len(sys.argv) > 3 else 6
    bad = 0
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            soak = Soak(seed, Path(folder), proxies)
            broken = soak.play()
        bad += bool(broken)
        served = sum(made.status == 200 for made in soak.tries)
        acked = sum(bool(change.acked) for change in soak.changes)
        print(
            f"seed {seed}: {len(soak.tries)} requests, {served} served, {acked} changes, {len(broken)} broken"
        )
        for line in broken[:6]:
            print(f"    {line}")
        sys.stdout.flush()
    print(f"{bad} of {count} broke")
    return bool(bad)


if __name__ == "__main__":
    sys.exit(main())
