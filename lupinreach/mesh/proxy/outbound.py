"""The outbound side of a proxy: routes the requests of clients and makes attempts until they are answered."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from lupinreach.http1.message import HOP_BY_HOP_HEADERS
from lupinreach.mesh.configuration import Route
from lupinreach.mesh.errors import AttemptFailure, ErrorKind, NotTakenReason
from lupinreach.mesh.http_types import HttpRequest, HttpResponse, error_response
from lupinreach.mesh.messages import Answer, Failed, Request, RequestRejected
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.gate import DEADLINE_HEADER, Gate, Outcome
from lupinreach.mesh.proxy.peers import Peer, PeerTable
from lupinreach.mesh.proxy.pool_policy import DEFAULT_LATENCY_TARGET_MS, BackendQuery, PoolPolicy
from lupinreach.mesh.proxy.retry_budget import RetryBudget

REQUEST_ID_HEADER = b"lupinreach-request-id"
MESH_HEADERS = frozenset((DEADLINE_HEADER, b"lupinreach-target-instance", b"lupinreach-caller-service"))
QUEUE_WAIT_TARGET_FRACTION = 0.22  # of the latency target: queue wait limit of a request
# Of the time left, for a call of a run: longer than for other requests, as a refusal wastes the run's work.
CALL_QUEUE_WAIT_REMAINING_FRACTION = 0.6
MIN_REMAINING_MS = 3
RETRY_AFTER_TARGET_FRACTION = 0.3  # of the latency target: least delay that a refused client is asked to wait
MAX_REFUSALS = 8  # refusals by gates after which a request is refused to its client
ANSWER_SIZE_SMOOTHING = 0.1  # weight of the newest sample in the mean answer size
INITIAL_ANSWER_KB = 2.0  # expected answer size before the first sample


@dataclass(slots=True)
class _RoutedRequest:
    """A client's request with its route, limits and attempts so far."""

    request: HttpRequest
    route: Route
    service: str
    latency_target_ms: float
    deadline: float  # loop time
    headers: bytes
    host: bytes
    is_call: bool = False  # of a run at the backend beside this proxy
    in_retried_run: bool = False  # a call of a run that is itself a retry
    attempts: int = 0  # attempts that may have reached a backend
    retry_granted: bool = False  # the retry budget has already granted the next attempt
    refusals: int = 0
    retry_ms: float = 0.0
    excluded: set[str] = field(default_factory=set)
    last_refusal: NotTakenReason | None = None


class Outbound:
    """Serves the requests of clients on this machine."""

    def __init__(
        self,
        caller: str,
        configuration: ConfigurationState,
        gate: Gate,
        peers: PeerTable,
        policy: PoolPolicy,
        budget: RetryBudget,
        restart_window_s: float = 0.0,  # a process younger than this may be part of a planned restart
    ) -> None:
        self._caller_line = b"Lupinreach-Caller-Service: " + caller.encode() + b"\r\n"
        self._configuration = configuration
        self._gate = gate
        self._peers = peers
        self._policy = policy
        self._budget = budget
        self.stopping = False  # SIGTERM was received
        self._restart_window_end = asyncio.get_running_loop().time() + restart_window_s
        self._answer_kb: dict[tuple[str, float], float] = {}

    def may_overlap(self, request: HttpRequest) -> bool:
        """True if a request may run concurrently with others of its connection: only repeatable ones may."""
        route = self._route(request)
        return route is None or route.repeatable

    def _route(self, request: HttpRequest) -> Route | None:
        if self._configuration.table is None:
            return None
        host = (request.header(b"host") or b"").decode("latin-1")
        return self._configuration.table.find(host, request.target.decode("latin-1"))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to one request of a client."""
        if self._configuration.table is None:
            return error_response(ErrorKind.NOT_CONFIGURED, retry_ms=200)
        if not request.header(REQUEST_ID_HEADER):
            return error_response(ErrorKind.NO_REQUEST_ID)
        route = self._route(request)
        if route is None:
            return error_response(ErrorKind.NO_ROUTE)
        return await self._forward(self._routed_request(request, route))

    def _routed_request(self, request: HttpRequest, route: Route) -> _RoutedRequest:
        deadline_header = request.header(DEADLINE_HEADER) or b""
        time_limit_ms = (
            min(route.timeout_ms, float(deadline_header)) if deadline_header.isdigit() else route.timeout_ms
        )
        not_forwarded = HOP_BY_HOP_HEADERS | MESH_HEADERS | request.head.options
        lines = [bytes(line) for name, line in request.head.lines if name not in not_forwarded]
        parent_is_retry = self._gate.calling_run_is_retry(request.header(REQUEST_ID_HEADER) or b"")
        return _RoutedRequest(
            request=request,
            route=route,
            service=_pick_service(route),
            latency_target_ms=route.target_latency_ms or DEFAULT_LATENCY_TARGET_MS,
            deadline=request.received_at + time_limit_ms / 1000,
            headers=b"".join([*lines, self._caller_line]),
            host=request.header(b"host") or b"",
            is_call=parent_is_retry is not None,
            in_retried_run=bool(parent_is_retry),
        )

    async def _forward(self, routed: _RoutedRequest) -> HttpResponse:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            if (routed.deadline - now) * 1000 < MIN_REMAINING_MS:
                return self._out_of_time_answer(
                    routed, ErrorKind.TIMED_OUT if routed.attempts else ErrorKind.EXPIRED
                )
            candidates = self._peers.linked_backends(routed.service)
            peer = self._policy.choose(self._backend_query(routed), candidates, now)
            if peer is None:
                self._peers.link_all(routed.service)
                return self._unavailable_answer(routed)
            if routed.attempts == 0 and routed.refusals == 0:
                self._budget.record_first_attempt(routed.service, routed.in_retried_run)
            outcome = await self._attempt(routed, peer, now)
            answer = self._handle_outcome(routed, peer, outcome, now, candidates)
            if answer is not None:
                return answer

    def _backend_query(self, routed: _RoutedRequest) -> BackendQuery:
        known_kb = self._answer_kb.get((routed.service, routed.latency_target_ms), INITIAL_ANSWER_KB)
        kilobytes = known_kb + len(routed.request.body) / 1024
        regions = frozenset(routed.route.allowed_regions)
        return BackendQuery(routed.service, routed.latency_target_ms, kilobytes, routed.excluded, regions)

    async def _attempt(self, routed: _RoutedRequest, peer: Peer, now: float) -> Outcome:
        elapsed_ms = (now - routed.request.received_at) * 1000
        remaining_ms = (routed.deadline - now) * 1000
        left_of_target_ms = routed.latency_target_ms - elapsed_ms
        outgoing = Request(
            service=routed.service,
            instance_id=peer.status.instance_id,
            config_version=self._configuration.version,
            remaining_ms=int(remaining_ms),
            repeatable=routed.route.repeatable,
            again=routed.in_retried_run or routed.attempts > 0,
            wait_ms=int(self._wait_ms(routed, elapsed_ms, remaining_ms)),
            rank=0 if routed.is_call else int(left_of_target_ms if left_of_target_ms > 0 else remaining_ms),
            priority=routed.route.priority,
            aim_ms=int(routed.latency_target_ms),
            is_call=routed.is_call,
            method=routed.request.method,
            target=routed.request.target,
            host=routed.host,
            headers=routed.headers,
            body=routed.request.body,
        )
        try:
            return await peer.attempt(outgoing, lambda: self._may_fail_over(routed, peer))
        except asyncio.CancelledError:
            self._policy.record_no_sample(peer, routed.latency_target_ms)
            raise

    @staticmethod
    def _wait_ms(routed: _RoutedRequest, elapsed_ms: float, remaining_ms: float) -> float:
        """Return the queue wait limit at the gate."""
        if routed.is_call:
            return CALL_QUEUE_WAIT_REMAINING_FRACTION * remaining_ms
        return max(0.0, QUEUE_WAIT_TARGET_FRACTION * routed.latency_target_ms - elapsed_ms)

    def _handle_outcome(
        self, routed: _RoutedRequest, peer: Peer, outcome: Outcome, sent_at: float, candidates: list[Peer]
    ) -> HttpResponse | None:
        """Process the outcome of an attempt; return the answer, or None for another attempt."""
        now = asyncio.get_running_loop().time()
        if isinstance(outcome, RequestRejected):
            return self._handle_not_taken(routed, peer, outcome)
        routed.excluded.add(peer.address)
        if isinstance(outcome, Failed):
            self._policy.record_outcome(peer, routed.latency_target_ms, None, now, candidates)
            return self._handle_failed(routed, outcome)
        failed = outcome.status >= 500
        latency_ms = None if failed else (now - sent_at) * 1000
        self._policy.record_outcome(peer, routed.latency_target_ms, latency_ms, now, candidates)
        if not failed:
            self._policy.record_service_time(peer, routed.latency_target_ms, outcome.served_ms)
        routed.attempts += 1
        if failed and routed.route.repeatable and self._may_retry(routed):
            return None
        self._record_answer_size(routed, outcome)
        return HttpResponse(outcome.status, outcome.headers, outcome.body)

    def _handle_not_taken(
        self, routed: _RoutedRequest, peer: Peer, outcome: RequestRejected
    ) -> HttpResponse | None:
        self._policy.record_no_sample(peer, routed.latency_target_ms)
        routed.excluded.add(peer.address)
        routed.refusals += 1
        reason = routed.last_refusal = NotTakenReason(outcome.reason)
        routed.retry_ms = min(routed.retry_ms or outcome.retry_ms, outcome.retry_ms or routed.retry_ms)
        if reason is NotTakenReason.STALE_ROUTE:
            # This proxy's configuration is old; the client's next try will find a newer one.
            routed.refusals = MAX_REFUSALS
        if reason is NotTakenReason.BACKEND_DECLINED:
            routed.attempts += 1  # it reached a backend, so it counts against the retry limit
            if not self._may_retry(routed):
                return self._unavailable_answer(routed)
        if routed.refusals >= MAX_REFUSALS:
            return self._unavailable_answer(routed)
        return None

    def _handle_failed(self, routed: _RoutedRequest, outcome: Failed) -> HttpResponse | None:
        failure = AttemptFailure(outcome.failure)
        kind = ErrorKind.TIMED_OUT if failure is AttemptFailure.TIMED_OUT else ErrorKind.OUTCOME_UNKNOWN
        if not outcome.ran:
            routed.refusals += 1
            return self._unavailable_answer(routed) if routed.refusals >= MAX_REFUSALS else None
        routed.attempts += 1
        if routed.retry_granted:
            routed.retry_granted = False
            return None
        if not routed.route.repeatable or failure is AttemptFailure.TIMED_OUT:
            return error_response(kind)
        return None if self._may_retry(routed) else error_response(kind)

    def _may_fail_over(self, routed: _RoutedRequest, silent: Peer) -> bool:
        """True if an attempt at a silent peer is abandoned so that the request can go to another backend.

        A request that is not repeatable is never abandoned. Around a planned restart of this proxy an attempt
        is abandoned only if another one is certain to follow: the silent peer may be running the request, and
        no request that was read may be lost then.
        """
        if not routed.route.repeatable:
            return False
        if not self.stopping and asyncio.get_running_loop().time() > self._restart_window_end:
            return True
        if routed.attempts + 1 >= routed.route.max_attempts:
            return False
        others = self._peers.linked_backends(routed.service)
        if not any(
            peer.reachable and peer is not silent and peer.address not in routed.excluded for peer in others
        ):
            return False
        routed.retry_granted = self._budget.try_spend(routed.service)
        return routed.retry_granted

    def _may_retry(self, routed: _RoutedRequest) -> bool:
        return routed.attempts < routed.route.max_attempts and self._budget.try_spend(routed.service)

    def _out_of_time_answer(self, routed: _RoutedRequest, kind: ErrorKind) -> HttpResponse:
        return error_response(kind, retry_ms=RETRY_AFTER_TARGET_FRACTION * routed.latency_target_ms)

    def _unavailable_answer(self, routed: _RoutedRequest) -> HttpResponse:
        """Return the refusal of a request, which has not run unless a repeatable one failed before."""
        kind = (
            ErrorKind.FULL
            if routed.last_refusal in (NotTakenReason.FULL, NotTakenReason.COLD)
            else ErrorKind.NO_BACKEND
        )
        retry_ms = max(
            routed.retry_ms, RETRY_AFTER_TARGET_FRACTION * routed.latency_target_ms
        ) * random.uniform(0.7, 1.3)
        return error_response(kind, retry_ms=retry_ms)

    def _record_answer_size(self, routed: _RoutedRequest, answer: Answer) -> None:
        key = (routed.service, routed.latency_target_ms)
        size_kb = (len(answer.body) + len(answer.headers)) / 1024
        known_kb = self._answer_kb.get(key, size_kb)
        self._answer_kb[key] = known_kb + ANSWER_SIZE_SMOOTHING * (size_kb - known_kb)


def _pick_service(route: Route) -> str:
    """Pick one of the route's services at random by weight."""
    targets = route.targets()
    if len(targets) == 1:
        return targets[0].target_service
    picked = random.choices(targets, [target.weight for target in targets])[0]
    return picked.target_service
