"""The gate beside a backend: all of its arrivals pass here, so that rules which bound arrivals hold here.

What other proxies know may be old; the gate checks the instance, the state, evacuations, the route under the
newest configuration, the bound of a cold backend and its concurrency. What it turns away has not reached the
backend, and may go elsewhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.http1.message import OF_CONNECTION, request
from lupinreach.mesh.backend_client import AttemptError, BackendPool
from lupinreach.mesh.configuration import is_newer
from lupinreach.mesh.errors import AttemptFailure, NotTakenReason
from lupinreach.mesh.link import parse_address
from lupinreach.mesh.messages import Answer, BackendStatus, Failed, NotTaken, Request
from lupinreach.mesh.proxy.admission import Admission, NotAdmitted
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.gate_counts import GateCounts
from lupinreach.mesh.proxy.local_backend import BackendState, Heartbeat, LocalBackend
from lupinreach.mesh.proxy.request_kind import RequestKind
from lupinreach.mesh.reader import WholeMessage

DEADLINE = b"lupinreach-request-deadline"
NOT_EXECUTED = b"lupinreach-not-executed"
MISDIRECTED = 421
MIN_RUN_MS = 2  # with less time left a request is not passed on
COLD_AFTER_EVACUATION_S = 10.0  # at most, until a heartbeat tells

Outcome = Answer | NotTaken | Failed


class Gate:
    """Passes requests to the local backend."""

    def __init__(
        self, backend: LocalBackend, app_address: str, zone: str, configuration: ConfigurationState
    ) -> None:
        self.backend = backend
        self.admission = Admission()
        self.counts = GateCounts()
        self.stopping = False
        self.in_flight = 0
        self._running: dict[bytes, bool] = {}  # by request id: if the run is a repeat
        self._zone = zone
        self._configuration = configuration
        self._pool = BackendPool(parse_address(app_address))
        self._on_status: list[Callable[[BackendStatus], None]] = []
        self._told: tuple[object, ...] = ()

    def on_status(self, listener: Callable[[BackendStatus], None]) -> None:
        """Call the listener at each change of what `status` tells, load aside."""
        self._on_status.append(listener)

    # Changes of state.

    def heartbeat(self, instance_id: str, beat: Heartbeat) -> None:
        """A heartbeat of the backend."""
        replaced = instance_id != self.backend.instance_id
        if self.backend.on_heartbeat(instance_id, beat, self._now()):
            if replaced:
                self._pool.close_idle()
            self.refresh()

    def deregister(self, instance_id: str) -> None:
        """The backend signs off."""
        self.backend.on_deregister(instance_id)
        self.refresh()

    def evacuation_ended(self) -> None:
        """The zone is taken back: its backends may have gone cold meanwhile."""
        self.backend.assume_cold(self._now() + COLD_AFTER_EVACUATION_S)

    def stop(self) -> None:
        """Take nothing more; what runs goes on."""
        self.stopping = True
        self.refresh()

    def refresh(self) -> None:
        """Bring the admission in line with the backend's state, and tell who listens."""
        now = self._now()
        backend, admission = self.backend, self.admission
        admission.capacity = backend.capacity
        admission.cold_until = now + backend.cold_s(now)
        service = (
            self._configuration.table.services.get(backend.service) if self._configuration.table else None
        )
        admission.cold_per_s = service.cold_per_s if service else 0.0
        reason = self._closed_reason()
        if reason is not None:
            admission.refuse_all(reason)
        status = self.status()
        told = (status.service, status.instance_id, status.available, status.capacity, status.cold_ms > 0)
        if told != self._told:
            self._told = told
            for listener in self._on_status:
                listener(status)

    def status(self) -> BackendStatus:
        """What other proxies are told."""
        return BackendStatus(
            service=self.backend.service,
            instance_id=self.backend.instance_id,
            available=self._closed_reason() is None,
            capacity=self.backend.capacity,
            cold_ms=int(1000 * self.backend.cold_s(self._now())),
            running=self.admission.running,
            waiting=self.admission.waiting,
            config_version=self._configuration.version,
            takes_offers=True,
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _closed_reason(self) -> NotTakenReason | None:
        """Why nothing at all is taken now, or None."""
        if self.stopping:
            return NotTakenReason.STOPPING
        if self._configuration.table is None:
            return NotTakenReason.NO_BACKEND
        if self.backend.state is BackendState.DRAINING:
            return NotTakenReason.DRAINING
        if not self.backend.serving:
            return NotTakenReason.NO_BACKEND
        if self._configuration.evacuated(self._zone):
            return NotTakenReason.EVACUATED
        return None

    def _refusal(self, asked: Request) -> NotTakenReason | None:
        reason = self._closed_reason()
        if reason is not None:
            return reason
        if asked.service != self.backend.service:
            return NotTakenReason.NO_BACKEND
        if asked.instance_id and asked.instance_id != self.backend.instance_id:
            return NotTakenReason.NO_BACKEND
        if is_newer(self._configuration.version, asked.config_version) and not self._route_allows(asked):
            return NotTakenReason.STALE_ROUTE
        return None

    def _route_allows(self, asked: Request) -> bool:
        assert self._configuration.table is not None
        route = self._configuration.table.find(asked.host.decode("latin-1"), asked.target.decode("latin-1"))
        return route is not None and route.allows(asked.service)

    # A request.

    def refuse_early(self, asked: Request, age_s: float) -> NotTaken | None:
        """For a request whose body was not sent yet: the refusal that it would meet now, if any."""
        reason = self._refusal(asked)
        if reason is None and asked.remaining_ms - 1000 * age_s < MIN_RUN_MS:
            reason = NotTakenReason.EXPIRED
        if reason is not None:
            return self._not_taken(asked, reason, 0.0)
        full = self.admission.refusal_if_full(RequestKind.of(asked), asked.wait_ms - 1000 * age_s)
        return self._not_taken(asked, full.reason, full.retry_ms) if full is not None else None

    def refuse_full(self, asked: Request, retry_ms: float) -> NotTaken:
        """The link to this machine is too busy for its body."""
        return self._not_taken(asked, NotTakenReason.FULL, retry_ms)

    async def serve(self, asked: Request, age_s: float = 0.0) -> Outcome:
        """Pass a request to the backend if it may go there, and wait for its answer.

        `age_s`: how long ago it was sent here, at least.
        """
        began = self._now() - age_s
        until = began + asked.remaining_ms / 1000
        reason = self._refusal(asked)
        if reason is None and (until - self._now()) * 1000 < MIN_RUN_MS:
            reason = NotTakenReason.EXPIRED
        if reason is not None:
            return self._not_taken(asked, reason, 0.0)
        wait_ms = min(asked.wait_ms, asked.remaining_ms) - 1000 * age_s
        self.in_flight += 1
        try:
            due = began + asked.rank / 1000
            await self.admission.acquire(RequestKind.of(asked), due, max(0.0, wait_ms))
        except NotAdmitted as refused:
            return self._not_taken(asked, refused.reason, refused.retry_ms)
        finally:
            self.in_flight -= 1
        return await self._run_admitted(asked, until)

    async def _run_admitted(self, asked: Request, until: float) -> Outcome:
        served: float | None = None
        self.in_flight += 1
        try:
            # The wait may have been long: what held at its start need not hold now.
            reason = self._refusal(asked)
            if reason is not None:
                return self._not_taken(asked, reason, 0.0)
            if (until - self._now()) * 1000 < MIN_RUN_MS:
                return self._not_taken(asked, NotTakenReason.EXPIRED, 0.0)
            began = self._now()
            self.counts.count_taken(RequestKind.of(asked))
            outcome = await self._attempt(asked, until)
            if isinstance(outcome, Answer):
                served = self._now() - began
                outcome.served_ms = 1000 * served
            return outcome
        finally:
            self.in_flight -= 1
            self.admission.release(RequestKind.of(asked), served)

    async def _attempt(self, asked: Request, until: float) -> Outcome:
        instance_id = self.backend.instance_id
        try:
            async with asyncio.timeout_at(until):
                whole = await self._exchange(asked, until, instance_id)
        except TimeoutError:
            return self._failed(asked, AttemptFailure.TIMED_OUT, ran=True)
        except AttemptError as failed:
            if failed.failure is AttemptFailure.UNREACHABLE:
                self.backend.on_refused()
                self.refresh()
            return self._failed(asked, failed.failure, failed.ran)
        if NOT_EXECUTED in whole.head.headers or whole.head.first[2] == MISDIRECTED:
            if whole.head.first[2] == MISDIRECTED:
                self.backend.on_misdirected(instance_id)
                self.refresh()
            return self._not_taken(asked, NotTakenReason.BACKEND_DECLINED, self.admission.retry_ms())
        return self._answer(asked, whole)

    def run_that_calls(self, request_id: bytes) -> bool | None:
        """If a request that begins here is a call of a run at the backend: whether that run is a repeat.

        Backends derive the ids of their calls from the id of the run, behind a dot. None: no such run.
        """
        parent, dot, _ = request_id.rpartition(b".")
        return self._running.get(parent) if dot else None

    async def _exchange(self, asked: Request, until: float, instance_id: str) -> WholeMessage:
        connection = await self._pool.take(asked.repeatable)
        request_id = _header_value(asked.headers, b"lupinreach-request-id")
        self._running[request_id] = asked.again
        try:
            remaining_ms = max(1, int((until - self._now()) * 1000))
            lines = (
                asked.headers,
                b"Lupinreach-Request-Deadline: %d\r\n" % remaining_ms,
                b"Lupinreach-Target-Instance: %b\r\n" % instance_id.encode(),
            )
            has_length = bool(asked.body) or asked.method in (b"POST", b"PUT", b"PATCH")
            head = request(
                asked.method, asked.target, lines, asked.host, len(asked.body) if has_length else 0
            )
            whole = await connection.exchange(head + asked.body, request_id, asked.method == b"HEAD")
        except BaseException:
            connection.close()
            raise
        finally:
            self._running.pop(request_id, None)
        self._pool.give_back(connection)
        return whole

    def _answer(self, asked: Request, whole: WholeMessage) -> Answer:
        stays = OF_CONNECTION | whole.head.options
        headers = b"".join([bytes(line) for name, line in whole.head.lines if name not in stays])
        return Answer(
            number=asked.number,
            status=whole.head.first[2],
            headers=headers,
            body=whole.body,
            running=self.admission.running - 1,
            waiting=self.admission.waiting,
        )

    def _not_taken(self, asked: Request, reason: NotTakenReason, retry_ms: float) -> NotTaken:
        admission = self.admission
        self.counts.count_refused(RequestKind.of(asked), reason)
        return NotTaken(asked.number, int(reason), int(retry_ms), admission.running, admission.waiting)

    def _failed(self, asked: Request, failure: AttemptFailure, ran: bool) -> Failed:
        return Failed(asked.number, int(failure), ran, self.admission.running, self.admission.waiting)

    async def probe(self, path: str) -> None:
        """Ask the backend's health once, as after a start of this process in the middle of traffic."""
        try:
            connection = await self._pool.take(True)
        except AttemptError:
            return
        head = request(b"GET", path.encode(), (), self._pool.address[0].encode())
        try:
            async with asyncio.timeout(1.0):
                whole = await connection.probe(head)
        except (AttemptError, TimeoutError):
            connection.close()
            return
        self._pool.give_back(connection)
        headers = whole.head.headers
        instance_id = headers.get(b"lupinreach-instance-id", b"").decode("latin-1")
        if whole.head.first[2] == 200 and instance_id:
            load = headers.get(b"lupinreach-server-load", b"").split(b",")
            capacity = int(load[2]) if len(load) == 3 and load[2].strip().isdigit() else 4
            cold = headers.get(b"lupinreach-cold-remaining", b"0").strip()
            cold_ms = float(cold) if cold.replace(b".", b"", 1).isdigit() else 0.0
            self.backend.on_health(instance_id, cold_ms, capacity, self._now())
            self.refresh()


def _header_value(lines: bytes, name: bytes) -> bytes:
    """The value of a header among whole lines."""
    for line in lines.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""
