"""A proxy that was told to end reads requests until it breaks them off, on connections that stay open.

One sidecar machine in each zone. The one of zone-a gets a SIGTERM. A client there keeps sending `safe` requests on its
connection, each before the last one is answered; it is not taken away, since its zone has no other agent. Rule LOST: a
request that was sent later than 3 s after the SIGTERM and passed on must not be broken off at the end of the grace.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    Backend,
    ConnectionBroken,
    Machine,
    Mesh,
    Platform,
    Record,
    Response,
    configuration,
    new_request_id,
    read_response,
    request_bytes,
    route,
    run_case,
)

WORK_S = 0.3
SEND_INTERVAL_S = 0.15  # below the time of work: the next request is sent before the last one is answered
DEADLINE_MS = 4000
LEAD_S = 2.0  # of traffic before the SIGTERM
SENDING_S = 8.0  # after the SIGTERM; the client also ends with its connection
EXCUSED_S = 3.0  # a request sent up to then after a SIGTERM may still be at work at the end of the grace


class PipeliningClient:
    """Sends `safe` requests at a steady pace on one connection, without waiting for the answers."""

    def __init__(self, record: Record, machine: Machine) -> None:
        self.sent: dict[str, float] = {}  # by request id: seconds since the start of the case
        self.answers: dict[str, Response] = {}
        self.answered: dict[str, float] = {}
        self._record = record
        self._machine = machine
        self._closing = False  # an answer said so

    async def run_until(self, end: float) -> None:
        """Send until a moment, on a new connection whenever the last one has ended."""
        while self._record.now() < end:
            try:
                await self._use_connection(end)
            except OSError as failed:
                self._record.write(f"client: no connection, {failed!r}")
                await asyncio.sleep(SEND_INTERVAL_S)

    async def _use_connection(self, end: float) -> None:
        self._closing = False
        reader, writer = await asyncio.open_connection(*self._machine.address("outbound"))
        waiting: list[str] = []
        answers = asyncio.create_task(self._read(reader, waiting))
        try:
            while self._record.now() < end and not self._closing and not answers.done():
                request_id = new_request_id()
                waiting.append(request_id)
                self.sent[request_id] = self._record.now()
                self._record.write(f"client sends {request_id}")
                writer.write(request_bytes("GET", "/read/ticket", request_id, DEADLINE_MS))
                await asyncio.sleep(SEND_INTERVAL_S)
            await asyncio.wait((answers,), timeout=DEADLINE_MS / 1000)
        finally:
            answers.cancel()
            writer.close()

    async def _read(self, reader: asyncio.StreamReader, waiting: list[str]) -> None:
        try:
            while True:
                response = await read_response(reader)
                request_id = waiting.pop(0)
                self.answers[request_id] = response
                self.answered[request_id] = self._record.now()
                seal = "sealed" if response.sealed else "without a seal"
                self._record.write(f"client gets {response.status} ({seal}) for {request_id}")
                if response.headers.get(b"connection") == b"close":
                    self._closing = True
                    return
        except ConnectionBroken as ended:
            self._record.write(f"client: connection ended, {ended}; {len(waiting)} without an answer")


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; returns whether the rule held."""
    mesh = Mesh(record, folder)
    backends = [Backend(mesh, machine, WORK_S) for machine in mesh.sidecars]
    stopped = mesh.sidecars[0]
    try:
        await mesh.start(configuration(1, [route("/read/", "safe", DEADLINE_MS, 1000)]), backends)
        await asyncio.sleep(2.0)
        platforms = [Platform(record, machine) for machine in mesh.sidecars]
        client = PipeliningClient(record, stopped)
        sigterm_at = record.now() + LEAD_S
        sending = asyncio.create_task(client.run_until(sigterm_at + SENDING_S))
        await asyncio.sleep(LEAD_S)
        if trouble:
            mesh.send_signal(stopped, signal.SIGTERM)
            sigterm_at = record.now()
        await sending
        del platforms
        return judge(record, client, backends, sigterm_at, trouble)
    finally:
        await mesh.stop_all()


def judge(
    record: Record, client: PipeliningClient, backends: list[Backend], sigterm_at: float, trouble: bool
) -> bool:
    """Whether each request that was sent late and passed on got the backend's answer."""
    run_ids = {request_id for backend in backends for request_id in backend.runs}
    broken = 0
    for request_id, sent in client.sent.items():
        late = not trouble or sent > sigterm_at + EXCUSED_S
        if not late or request_id not in run_ids:
            continue
        answer = client.answers.get(request_id)
        if answer is None or not answer.sealed:
            broken += 1
            got = "no answer" if answer is None else f"{answer.status} of the mesh's own"
            record.write(
                f"LOST: {request_id}, sent {sent - sigterm_at:.2f} s after the SIGTERM, ran and got {got}"
            )
    record.write(f"{len(client.sent)} sent, {len(run_ids)} run, {broken} broken off")
    return not broken


if __name__ == "__main__":
    sys.exit(run_case(str(Path(__file__).resolve().parent), case))
