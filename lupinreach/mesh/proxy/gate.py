"""The gate in front of a backend: all requests to it pass here, so limits on arrivals are enforced here.

The state that other proxies act on may be stale. The gate checks the instance, the backend's state,
evacuations, the route under its newest configuration, the rate limit of a cold backend, and concurrency.
A request that it refuses has not reached the backend and may go to another one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.http1.message import HOP_BY_HOP_HEADERS, request
from lupinreach.mesh.backend_client import NOT_EXECUTED, AttemptError, BackendPool
from lupinreach.mesh.buffer_budget import BufferBudget
from lupinreach.mesh.configuration import is_newer
from lupinreach.mesh.errors import AttemptFailure, NotTakenReason
from lupinreach.mesh.link import parse_address
from lupinreach.mesh.messages import Answer, BackendStatus, Failed, Request, RequestRejected
from lupinreach.mesh.proxy.admission import Admission, NotAdmitted
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.gate_counts import GateCounts
from lupinreach.mesh.proxy.local_backend import BackendState, Heartbeat, LocalBackend
from lupinreach.mesh.proxy.request_kind import RequestKind
from lupinreach.mesh.reader import LARGE_BODY_BYTES, CompleteMessage

DEADLINE_HEADER = b"lupinreach-request-deadline"
MISDIRECTED_STATUS = 421
MIN_RUN_TIME_MS = 2  # a request with less time left is not passed to the backend
ASSUMED_COLD_AFTER_EVACUATION_S = 10.0  # at most; the next heartbeat reports the actual cold period

Outcome = Answer | RequestRejected | Failed


class Gate:
    """Checks requests and passes them to the local backend."""

    def __init__(
        self,
        backend: LocalBackend,
        app_address: str,
        zone: str,
        configuration: ConfigurationState,
        budget: BufferBudget | None = None,
    ) -> None:
        self.backend = backend
        self.admission = Admission()
        self.counts = GateCounts()
        self.stopping = False
        self._breaks_off_at: float | None = (
            None  # loop time at which a process that is told to end drops what runs
        )
        self.in_flight = 0  # requests that a stopping process waits for
        self._run_is_retry: dict[bytes, bool] = {}  # runs at the backend, by request id
        self._zone = zone
        self._configuration = configuration
        self._pool = BackendPool(parse_address(app_address), budget)
        self._status_listeners: list[Callable[[BackendStatus], None]] = []
        self._last_reported: tuple[object, ...] = ()

    def on_status(self, listener: Callable[[BackendStatus], None]) -> None:
        """Call the listener whenever `status` changes in anything but load."""
        self._status_listeners.append(listener)

    @property
    def busy(self) -> bool:
        """True while a request waits or runs, or its body is still being read by the backend."""
        return bool(self.in_flight or self.admission.running or self._pool.delivering)

    # State changes.

    def on_heartbeat(self, instance_id: str, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat of the backend."""
        replaced = instance_id != self.backend.instance_id
        if self.backend.on_heartbeat(instance_id, heartbeat, self._now()) and replaced:
            self._pool.close_idle()
        self.refresh()

    def on_deregister(self, instance_id: str) -> None:
        """Apply the deregistration of the backend."""
        self.backend.on_deregister(instance_id)
        self.refresh()

    def on_departed(self, instances: list[str]) -> None:
        """Apply departures that this proxy acknowledged, also in an earlier life."""
        self.backend.on_departed(instances)
        self.refresh()

    def on_departures_learned(self, confirmed: bool) -> None:
        """Believe heartbeats from now on; those before only if the stores have confirmed which backends had left."""
        if not confirmed:
            self.backend.forget_heartbeats()
        self.backend.on_departures_learned()
        self.refresh()

    def on_evacuation_end(self) -> None:
        """Assume a cold backend after an evacuation of its zone: it may have gone cold without requests."""
        self.backend.assume_cold(self._now() + ASSUMED_COLD_AFTER_EVACUATION_S)

    def prepare_to_stop(self, breaks_off_at: float) -> None:
        """Refuse requests that might run longer than this process, whose proxies could not be told what became of them."""
        self._breaks_off_at = breaks_off_at

    def stop(self) -> None:
        """Refuse new requests; running ones continue."""
        self.stopping = True
        self.refresh()

    def refresh(self) -> None:
        """Apply the backend's state to the admission, and notify the status listeners of a change."""
        now = self._now()
        backend, admission = self.backend, self.admission
        admission.capacity = backend.capacity
        admission.cold_until = now + backend.cold_s(now)
        service = (
            self._configuration.table.services.get(backend.service) if self._configuration.table else None
        )
        admission.cold_per_s = service.cold_per_s if service else 0.0
        reason = self._unavailable_reason()
        if reason is not None:
            admission.refuse_all(reason)
        status = self.status()
        reported = (status.service, status.instance_id, status.available, status.capacity, status.cold_ms > 0)
        if reported != self._last_reported:
            self._last_reported = reported
            for listener in self._status_listeners:
                listener(status)

    def status(self) -> BackendStatus:
        """Return the status that is reported to other proxies."""
        return BackendStatus(
            service=self.backend.service,
            instance_id=self.backend.instance_id,
            available=self._unavailable_reason() is None,
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

    def _unavailable_reason(self) -> NotTakenReason | None:
        """Return why all requests are refused now, or None."""
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

    def _refusal_reason(self, incoming: Request) -> NotTakenReason | None:
        reason = self._unavailable_reason()
        if reason is not None:
            return reason
        if incoming.service != self.backend.service:
            return NotTakenReason.NO_BACKEND
        if incoming.instance_id and incoming.instance_id != self.backend.instance_id:
            return NotTakenReason.NO_BACKEND
        if (
            self._breaks_off_at is not None
            and self._now() + incoming.remaining_ms / 1000 > self._breaks_off_at
        ):
            return NotTakenReason.STOPPING
        if is_newer(self._configuration.version, incoming.config_version) and not self._route_allows(
            incoming
        ):
            return NotTakenReason.STALE_ROUTE
        return None

    def _route_allows(self, incoming: Request) -> bool:
        assert self._configuration.table is not None
        route = self._configuration.table.find(
            incoming.host.decode("latin-1"), incoming.target.decode("latin-1")
        )
        return route is not None and route.allows(incoming.service)

    # Requests.

    def early_refusal(self, incoming: Request, age_s: float) -> RequestRejected | None:
        """Return the refusal that a request whose body was not sent yet would get now, or None."""
        reason = self._refusal_reason(incoming)
        if reason is None and incoming.remaining_ms - 1000 * age_s < MIN_RUN_TIME_MS:
            reason = NotTakenReason.EXPIRED
        if reason is not None:
            return self._not_taken(incoming, reason, 0.0)
        refusal = self.admission.refusal_if_full(RequestKind.of(incoming), incoming.wait_ms - 1000 * age_s)
        return self._not_taken(incoming, refusal.reason, refusal.retry_ms) if refusal is not None else None

    def refuse_full(self, incoming: Request, retry_ms: float) -> RequestRejected:
        """Refuse a request because the link to this machine has no capacity for its body."""
        return self._not_taken(incoming, NotTakenReason.FULL, retry_ms)

    def refuse_for_memory(self, incoming: Request) -> RequestRejected:
        """Refuse a request because this process has no memory for its body."""
        return self._not_taken(incoming, NotTakenReason.OUT_OF_MEMORY, self.admission.retry_ms())

    async def serve(self, incoming: Request, age_s: float = 0.0) -> Outcome:
        """Pass a request to the backend if it is admitted, and wait for the answer.

        `age_s` is a lower bound on the time since the request was sent.
        """
        sent_at = self._now() - age_s
        deadline = sent_at + incoming.remaining_ms / 1000
        reason = self._refusal_reason(incoming)
        if reason is None and (deadline - self._now()) * 1000 < MIN_RUN_TIME_MS:
            reason = NotTakenReason.EXPIRED
        if reason is not None:
            return self._not_taken(incoming, reason, 0.0)
        wait_ms = min(incoming.wait_ms, incoming.remaining_ms) - 1000 * age_s
        self.in_flight += 1
        try:
            due = sent_at + incoming.rank / 1000
            await self.admission.acquire(RequestKind.of(incoming), due, max(0.0, wait_ms))
        except NotAdmitted as refusal:
            return self._not_taken(incoming, refusal.reason, refusal.retry_ms)
        finally:
            self.in_flight -= 1
        return await self._run_admitted(incoming, deadline)

    async def _run_admitted(self, incoming: Request, deadline: float) -> Outcome:
        service_s: float | None = None
        self.in_flight += 1
        try:
            # The wait may have been long, so the checks made before it are repeated.
            reason = self._refusal_reason(incoming)
            if reason is not None:
                return self._not_taken(incoming, reason, 0.0)
            if (deadline - self._now()) * 1000 < MIN_RUN_TIME_MS:
                return self._not_taken(incoming, NotTakenReason.EXPIRED, 0.0)
            started_at = self._now()
            self.counts.count_taken(RequestKind.of(incoming))
            outcome = await self._attempt_on_backend(incoming, deadline)
            if isinstance(outcome, Answer):
                service_s = self._now() - started_at
                outcome.served_ms = 1000 * service_s
            return outcome
        finally:
            self.in_flight -= 1
            self.admission.release(RequestKind.of(incoming), service_s)

    async def _attempt_on_backend(self, incoming: Request, deadline: float) -> Outcome:
        instance_id = self.backend.instance_id
        try:
            async with asyncio.timeout_at(deadline):
                response = await self._exchange_with_backend(incoming, deadline, instance_id)
        except TimeoutError:
            return self._failed(incoming, AttemptFailure.TIMED_OUT, ran=True)
        except AttemptError as failed:
            if failed.failure is AttemptFailure.UNREACHABLE:
                self.backend.on_connection_refused()
                self.refresh()
            return self._failed(incoming, failed.failure, failed.ran)
        if NOT_EXECUTED in response.head.headers or response.head.start_line[2] == MISDIRECTED_STATUS:
            if response.head.start_line[2] == MISDIRECTED_STATUS:
                self.backend.on_misdirected(instance_id)
                self.refresh()
            return self._not_taken(incoming, NotTakenReason.BACKEND_DECLINED, self.admission.retry_ms())
        return self._answer(incoming, response)

    def calling_run_is_retry(self, request_id: bytes) -> bool | None:
        """Return whether the run that makes a call is a retry; None if the request is no call of a run here.

        Backends derive the ids of their calls from the id of the run: run id, dot, suffix.
        """
        parent, dot, _ = request_id.rpartition(b".")
        return self._run_is_retry.get(parent) if dot else None

    async def _exchange_with_backend(
        self, incoming: Request, deadline: float, instance_id: str
    ) -> CompleteMessage:
        connection = await self._pool.acquire(incoming.repeatable)
        request_id = _header_value(incoming.headers, b"lupinreach-request-id")
        self._run_is_retry[request_id] = incoming.again
        try:
            remaining_ms = max(1, int((deadline - self._now()) * 1000))
            lines = (
                incoming.headers,
                b"Lupinreach-Request-Deadline: %d\r\n" % remaining_ms,
                b"Lupinreach-Target-Instance: %b\r\n" % instance_id.encode(),
            )
            has_length = bool(incoming.body) or incoming.method in (b"POST", b"PUT", b"PATCH")
            head = request(
                incoming.method,
                incoming.target,
                lines,
                incoming.host,
                len(incoming.body) if has_length else 0,
            )
            is_large = len(incoming.body) > LARGE_BODY_BYTES
            response = await connection.exchange(
                head if is_large else head + incoming.body,
                request_id,
                incoming.method == b"HEAD",
                incoming.body if is_large else b"",
            )
        except BaseException:
            connection.close()
            raise
        finally:
            self._run_is_retry.pop(request_id, None)
        self._pool.release(connection)
        return response

    def _answer(self, incoming: Request, response: CompleteMessage) -> Answer:
        not_forwarded = HOP_BY_HOP_HEADERS | response.head.options
        headers = b"".join([bytes(line) for name, line in response.head.lines if name not in not_forwarded])
        return Answer(
            number=incoming.number,
            status=response.head.start_line[2],
            headers=headers,
            body=response.body,
            running=self.admission.running - 1,
            waiting=self.admission.waiting,
        )

    def _not_taken(self, incoming: Request, reason: NotTakenReason, retry_ms: float) -> RequestRejected:
        admission = self.admission
        self.counts.count_refused(RequestKind.of(incoming), reason)
        return RequestRejected(
            incoming.number, int(reason), int(retry_ms), admission.running, admission.waiting
        )

    def _failed(self, incoming: Request, failure: AttemptFailure, ran: bool) -> Failed:
        return Failed(incoming.number, int(failure), ran, self.admission.running, self.admission.waiting)

    async def probe(self, path: str) -> None:
        """Query the backend's health once, for a proxy that is started while its backend already runs."""
        try:
            connection = await self._pool.acquire(True)
        except AttemptError:
            return
        head = request(b"GET", path.encode(), (), self._pool.address[0].encode())
        try:
            async with asyncio.timeout(1.0):
                response = await connection.probe(head)
        except (AttemptError, TimeoutError):
            connection.close()
            return
        self._pool.release(connection)
        headers = response.head.headers
        instance_id = headers.get(b"lupinreach-instance-id", b"").decode("latin-1")
        if response.head.start_line[2] == 200 and instance_id:
            load = headers.get(b"lupinreach-server-load", b"").split(b",")
            capacity = int(load[2]) if len(load) == 3 and load[2].strip().isdigit() else 4
            cold = headers.get(b"lupinreach-cold-remaining", b"0").strip()
            cold_ms = float(cold) if cold.replace(b".", b"", 1).isdigit() else 0.0
            self.backend.on_health_response(instance_id, cold_ms, capacity, self._now())
            self.refresh()


def _header_value(lines: bytes, name: bytes) -> bytes:
    """Return the value of a header in a block of header lines, empty if it is absent."""
    for line in lines.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name:
            return value.strip()
    return b""
