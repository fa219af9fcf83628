"""An acknowledged departure is forgotten when all processes are killed at one moment.

A backend signs off first, as some do, and serves on. Its proxy acknowledges. All processes of the system are killed and
started again within a second; all disks stay. A heartbeat that the backend had sent before it signed off comes seconds
late. The new proxy knows nothing of the departure, takes the backend for ready, and sends it requests until it ends.
Rule DRAIN: a request reaches a backend later than `drain_ms` after its departure was acknowledged.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    CONTACT_S,
    DRAIN_S,
    Backend,
    CannotRun,
    ConnectionBroken,
    Machine,
    Mesh,
    Record,
    call,
    configuration,
    new_request_id,
    read_response,
    request_bytes,
    route,
    run_case,
)

WORK_S = 0.3
REQUESTS_PER_S = 40
DEADLINE_MS = 2000
LEAD_S = 1.0  # of traffic before the sign-off
KILL_AFTER_S = 0.2  # from the acknowledged sign-off
DOWN_S = 0.8  # killed processes return within a second
LATE_S = 3.0  # from the sign-off to the arrival of the heartbeat that was sent before it
SERVES_ON_S = 14.0  # the backend ends this long after its sign-off was acknowledged
AFTER_S = 1.0  # of traffic after the end of the backend
MARGIN_S = 0.2  # added to the time after which machines are in touch again


class Clients:
    """Send `unsafe` requests, each on a connection of its own, to the other machines' proxies."""

    def __init__(self, record: Record, machines: list[Machine]) -> None:
        self.sent: dict[str, float] = {}  # by request id: steady clock
        self.statuses: dict[str, int] = {}
        self._record = record
        self._machines = machines
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send at a steady pace until cancelled."""
        while True:
            task = asyncio.create_task(self._send(random.choice(self._machines)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _send(self, machine: Machine) -> None:
        request_id = new_request_id()
        self.sent[request_id] = time.monotonic()
        status = 0
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(*machine.address("outbound"))
                writer.write(request_bytes("POST", "/pay/invoice", request_id, DEADLINE_MS, b"{}"))
                status = (await read_response(reader)).status
                writer.close()
        except (OSError, TimeoutError, ConnectionBroken):
            pass
        self.statuses[request_id] = status
        self._record.write(f"client at {machine.name} got {status or 'no answer'} for {request_id}")


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; returns whether the rule held."""
    mesh = Mesh(record, folder)
    backends = [Backend(mesh, machine, WORK_S) for machine in mesh.sidecars]
    leaving, its_machine = backends[0], mesh.sidecars[0]
    try:
        await mesh.start(configuration(1, [route("/pay/", "unsafe", DEADLINE_MS, 500)]), backends)
        await asyncio.sleep(2.0)
        clients = Clients(record, mesh.sidecars[1:])
        traffic = asyncio.create_task(clients.run())
        await asyncio.sleep(LEAD_S)
        leaving.stop_heartbeats()
        late_heartbeat = leaving.heartbeat_body(leaving.sequence + 1, "ready")  # sent now, held up on its way
        leaving.state = "leaving"  # its health answers say so
        if not await leaving.call_control(f"/instances/{leaving.instance_id}/deregister"):
            raise CannotRun("the sign-off was not acknowledged")
        acknowledged_at = time.monotonic()
        record.write(f"sign-off of {leaving.instance_id} acknowledged")
        calm_from = acknowledged_at
        if trouble:
            await asyncio.sleep(KILL_AFTER_S)
            for machine in mesh.machines:
                mesh.send_signal(machine, signal.SIGKILL)
            await asyncio.sleep(DOWN_S)
            for machine in mesh.machines:
                await mesh.launch_all(machine)
            record.write("all processes started again")
            calm_from = time.monotonic()
            for machine in mesh.sidecars:
                await mesh.wait_until_ready(machine)
        await asyncio.sleep(acknowledged_at + LATE_S - time.monotonic())
        record.write("the late heartbeat arrives")
        path = f"/instances/{leaving.instance_id}/heartbeat"
        await call(its_machine.address("control_plane"), "POST", path, late_heartbeat)
        await asyncio.sleep(acknowledged_at + SERVES_ON_S - time.monotonic())
        record.write("the backend that signed off ends")
        await leaving.end()
        await asyncio.sleep(AFTER_S)
        traffic.cancel()
        await asyncio.sleep(DEADLINE_MS / 1000)
        in_touch_from = calm_from + 2 * CONTACT_S + MARGIN_S if trouble else acknowledged_at
        return judge(record, clients, leaving, max(acknowledged_at + DRAIN_S, in_touch_from))
    finally:
        await mesh.stop_all()


def judge(record: Record, clients: Clients, leaving: Backend, bound: float) -> bool:
    """Whether no request that was sent after the bound reached the backend that had signed off."""
    late = [
        request_id
        for at, request_id, *_ in leaving.requests
        if at > bound and clients.sent.get(request_id, 0.0) > bound
    ]
    unclear = [
        request_id for request_id in late if clients.statuses.get(request_id, 0) not in (200, 429, 503)
    ]
    if late:
        record.write(f"DRAIN: {len(late)} requests reached {leaving.instance_id} after the bound")
        record.write(
            f"of these {len(unclear)} may not be repeated and got no answer of the backend: it ended"
        )
    return not late


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).resolve().parent), case))
