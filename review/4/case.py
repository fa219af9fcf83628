"""An acknowledged configuration is never in force: proxies reject the update and are not sent the whole one.

The first configuration leaves the four limits to their defaults. Then the operator moves a route to another service, and
spells the limits out with the same values. The configuration is acknowledged, and every proxy goes on with the first one;
so it is with the next, which adds a route. Rule CONFIG: machines
in touch handle requests as only an older version allows, later than `config_apply_ms` after the acknowledgement.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    Backend,
    ConnectionBroken,
    Machine,
    Mesh,
    Record,
    configuration,
    new_request_id,
    read_response,
    request_bytes,
    route,
    run_case,
)

WORK_S = 0.02
DEADLINE_MS = 2000
APPLY_S = 2.0  # `config_apply_ms`
MARGIN_S = 0.5
WATCHED_S = 20.0  # requests are judged for this long after each change
INTERVAL_S = 0.5  # between two requests to each proxy
OLD_SERVICE, NEW_SERVICE = "desk", "till"


def version(number: int, service: str, with_limits: bool, new_routes: int = 0) -> dict[str, Any]:
    """A configuration whose route `/read/` goes to a service, with four further routes and some new ones."""
    routes = [route("/read/", "safe", DEADLINE_MS, 400, target_service=service)]
    routes += [route(f"/other-{index}/", "safe", DEADLINE_MS, 400) for index in range(4)]
    routes += [route(f"/new-{index}/", "safe", DEADLINE_MS, 400) for index in range(new_routes)]
    whole = configuration(number, routes)
    whole["services"].append(whole["services"][0] | {"name": NEW_SERVICE})
    if not with_limits:
        whole["limits"] = {}  # each limit has the value of `configuration` by default
    return whole


class Checker:
    """Sends requests to each proxy and compares who ran them with the configuration in force."""

    def __init__(self, record: Record, mesh: Mesh, backends: list[Backend]) -> None:
        self.stale: Counter[str] = Counter()
        self.checked = 0
        self._record = record
        self._mesh = mesh
        self._services = {
            backend.instance_id: machine.service
            for backend, machine in zip(backends, mesh.sidecars, strict=True)
        }

    async def watch(self, path: str, expected: str) -> None:
        """Judge requests to each proxy for `WATCHED_S`; only successes and 404 say which version was used."""
        end = self._record.now() + WATCHED_S
        while self._record.now() < end:
            for machine in self._mesh.sidecars:
                await self._check(machine, path, expected)
            await asyncio.sleep(INTERVAL_S)

    async def _check(self, machine: Machine, path: str, expected: str) -> None:
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(*machine.address("outbound"))
                writer.write(request_bytes("GET", path, new_request_id(), DEADLINE_MS))
                answer = await read_response(reader)
                writer.close()
        except (OSError, TimeoutError, ConnectionBroken) as failed:
            self._record.write(f"client at {machine.name}: no answer, {failed!r}")
            return
        instance = answer.headers.get(b"lupinreach-response-seal", b"").decode().rpartition(".")[0]
        found = self._services.get(instance) if instance else str(answer.status)
        if answer.status != 404 and not instance:
            return
        self.checked += 1
        if found != expected:
            self.stale[machine.name] += 1
            self._record.write(f"CONFIG: GET {path} at {machine.name}: {found}, not {expected}")


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; returns whether the rule held."""
    mesh = Mesh(record, folder)
    mesh.sidecars[2].service = NEW_SERVICE
    backends = [Backend(mesh, machine, WORK_S) for machine in mesh.sidecars]
    try:
        await mesh.start(version(1, OLD_SERVICE, with_limits=not trouble), backends)
        await asyncio.sleep(5.0)
        checker = Checker(record, mesh, backends)
        await mesh.order(version(2, NEW_SERVICE, with_limits=True))
        await asyncio.sleep(APPLY_S + MARGIN_S)
        await checker.watch("/read/ticket", NEW_SERVICE)
        await mesh.order(version(3, NEW_SERVICE, with_limits=True, new_routes=1))
        await asyncio.sleep(APPLY_S + MARGIN_S)
        await checker.watch("/new-0/ticket", OLD_SERVICE)
        record.write(f"{checker.checked} requests judged, handled by an older version: {dict(checker.stale)}")
        return not checker.stale
    finally:
        await mesh.stop_all()


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).resolve().parent), case))
