"""The outbound side of a proxy: takes a client's request, routes it and sees it through its attempts."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from lupinreach.http1.message import OF_CONNECTION
from lupinreach.mesh.configuration import Route
from lupinreach.mesh.errors import AttemptFailure, ErrorKind, NotTakenReason
from lupinreach.mesh.messages import Answer, Failed, NotTaken, Request
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.gate import DEADLINE, Gate, Outcome
from lupinreach.mesh.proxy.peers import Peer, PeerTable
from lupinreach.mesh.proxy.pool_policy import DEFAULT_AIM_MS, Choice, PoolPolicy
from lupinreach.mesh.proxy.retry_budget import RetryBudget
from lupinreach.mesh.server import HttpAnswer, HttpRequest, error_answer

REQUEST_ID = b"lupinreach-request-id"
SET_BY_MESH = frozenset((DEADLINE, b"lupinreach-target-instance", b"lupinreach-caller-service"))
HOLD_SHARE = 0.22  # of the aim: a request waits for room no longer, and is then refused
CALL_HOLD_SHARE = 0.6  # of the time left, for a call of a run: with a refusal the work of that run is lost
MIN_REMAINING_MS = 3
RETRY_AFTER_SHARE = 0.3  # of the aim, where nothing tells when there will be room
MOST_REFUSALS = 8  # gates that turn a request away before it is given up
ROUTE_BYTES = 0.1  # weight of the newest size in what a route's answers usually have
FIRST_ANSWER_KB = 2.0


@dataclass(slots=True)
class _Passage:
    """One request on its way."""

    request: HttpRequest
    route: Route
    service: str
    aim_ms: float
    until: float
    headers: bytes
    host: bytes
    is_call: bool = False  # of a run at the backend beside this proxy
    is_repeat: bool = False  # it belongs to a run that is a repeat itself
    attempts: int = 0  # that may have reached a backend
    repeat_paid: bool = False  # the budget has granted the next attempt
    refusals: int = 0
    retry_ms: float = 0.0
    excluded: set[str] = field(default_factory=set)
    last: NotTakenReason | None = None


class Outbound:
    """Serves the requests that begin on this machine."""

    def __init__(
        self,
        caller: str,
        configuration: ConfigurationState,
        gate: Gate,
        peers: PeerTable,
        policy: PoolPolicy,
        budget: RetryBudget,
        careful_s: float = 0.0,  # this process may have been restarted as planned, so long ago at most
    ) -> None:
        self._caller_line = b"Lupinreach-Caller-Service: " + caller.encode() + b"\r\n"
        self._configuration = configuration
        self._gate = gate
        self._peers = peers
        self._policy = policy
        self._budget = budget
        self.stopping = False  # this proxy was told to end
        self._careful_until = asyncio.get_running_loop().time() + careful_s
        self._answer_kb: dict[tuple[str, float], float] = {}

    def may_overlap(self, request: HttpRequest) -> bool:
        """If a request may run beside others of its connection: only what is repeatable."""
        route = self._route(request)
        return route is None or route.repeatable

    def _route(self, request: HttpRequest) -> Route | None:
        if self._configuration.table is None:
            return None
        host = (request.header(b"host") or b"").decode("latin-1")
        return self._configuration.table.find(host, request.target.decode("latin-1"))

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """The answer to one request of a client."""
        if self._configuration.table is None:
            return error_answer(ErrorKind.NOT_CONFIGURED, retry_ms=200)
        if not request.header(REQUEST_ID):
            return error_answer(ErrorKind.NO_REQUEST_ID)
        route = self._route(request)
        if route is None:
            return error_answer(ErrorKind.NO_ROUTE)
        return await self._pass(self._passage(request, route))

    def _passage(self, request: HttpRequest, route: Route) -> _Passage:
        given = request.header(DEADLINE) or b""
        time_ms = min(route.timeout_ms, float(given)) if given.isdigit() else route.timeout_ms
        stays = OF_CONNECTION | SET_BY_MESH | request.head.options
        lines = [bytes(line) for name, line in request.head.lines if name not in stays]
        run = self._gate.run_that_calls(request.header(REQUEST_ID) or b"")
        return _Passage(
            request=request,
            route=route,
            service=_drawn_service(route),
            aim_ms=route.target_latency_ms or DEFAULT_AIM_MS,
            until=request.received_at + time_ms / 1000,
            headers=b"".join([*lines, self._caller_line]),
            host=request.header(b"host") or b"",
            is_call=run is not None,
            is_repeat=bool(run),
        )

    async def _pass(self, passage: _Passage) -> HttpAnswer:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            if (passage.until - now) * 1000 < MIN_REMAINING_MS:
                return self._give_up(passage, ErrorKind.TIMED_OUT if passage.attempts else ErrorKind.EXPIRED)
            candidates = self._peers.linked_backends(passage.service)
            peer = self._policy.choose(self._choice(passage), candidates, now)
            if peer is None:
                self._peers.link_all(passage.service)
                return self._no_backend(passage)
            if passage.attempts == 0 and passage.refusals == 0:
                self._budget.first(passage.service, passage.is_repeat)
            outcome = await self._attempt(passage, peer, now)
            answer = self._judge(passage, peer, outcome, now, candidates)
            if answer is not None:
                return answer

    def _choice(self, passage: _Passage) -> Choice:
        known = self._answer_kb.get((passage.service, passage.aim_ms), FIRST_ANSWER_KB)
        kilobytes = known + len(passage.request.body) / 1024
        regions = frozenset(passage.route.allowed_regions)
        return Choice(passage.service, passage.aim_ms, kilobytes, passage.excluded, regions)

    async def _attempt(self, passage: _Passage, peer: Peer, now: float) -> Outcome:
        held_ms = (now - passage.request.received_at) * 1000
        remaining_ms = (passage.until - now) * 1000
        left_of_aim = passage.aim_ms - held_ms
        asked = Request(
            service=passage.service,
            instance_id=peer.status.instance_id,
            config_version=self._configuration.version,
            remaining_ms=int(remaining_ms),
            repeatable=passage.route.repeatable,
            again=passage.is_repeat or passage.attempts > 0,
            wait_ms=int(self._wait_ms(passage, held_ms, remaining_ms)),
            rank=0 if passage.is_call else int(left_of_aim if left_of_aim > 0 else remaining_ms),
            priority=passage.route.priority,
            aim_ms=int(passage.aim_ms),
            is_call=passage.is_call,
            method=passage.request.method,
            target=passage.request.target,
            host=passage.host,
            headers=passage.headers,
            body=passage.request.body,
        )
        try:
            return await peer.attempt(asked, lambda: self._may_fail_over(passage, peer))
        except asyncio.CancelledError:
            self._policy.released(peer, passage.aim_ms)
            raise

    @staticmethod
    def _wait_ms(passage: _Passage, held_ms: float, remaining_ms: float) -> float:
        """How long the request may stand in a gate's queue."""
        if passage.is_call:
            return CALL_HOLD_SHARE * remaining_ms
        return max(0.0, HOLD_SHARE * passage.aim_ms - held_ms)

    def _judge(
        self, passage: _Passage, peer: Peer, outcome: Outcome, sent: float, candidates: list[Peer]
    ) -> HttpAnswer | None:
        """The answer that an outcome gives, or None for another attempt."""
        now = asyncio.get_running_loop().time()
        if isinstance(outcome, NotTaken):
            return self._judge_not_taken(passage, peer, outcome)
        passage.excluded.add(peer.address)
        if isinstance(outcome, Failed):
            self._policy.landed(peer, passage.aim_ms, None, now, candidates)
            return self._judge_failed(passage, outcome)
        failed = outcome.status >= 500
        latency_ms = None if failed else (now - sent) * 1000
        self._policy.landed(peer, passage.aim_ms, latency_ms, now, candidates)
        if not failed:
            self._policy.served(peer, passage.aim_ms, outcome.served_ms)
        passage.attempts += 1
        if failed and passage.route.repeatable and self._may_repeat(passage):
            return None
        self._learn_size(passage, outcome)
        return HttpAnswer(outcome.status, outcome.headers, outcome.body)

    def _judge_not_taken(self, passage: _Passage, peer: Peer, outcome: NotTaken) -> HttpAnswer | None:
        self._policy.released(peer, passage.aim_ms)
        passage.excluded.add(peer.address)
        passage.refusals += 1
        reason = passage.last = NotTakenReason(outcome.reason)
        passage.retry_ms = min(passage.retry_ms or outcome.retry_ms, outcome.retry_ms or passage.retry_ms)
        if reason is NotTakenReason.STALE_ROUTE:
            passage.refusals = (
                MOST_REFUSALS  # this proxy's configuration is old; the client's next try meets a new one
            )
        if reason is NotTakenReason.BACKEND_DECLINED:
            passage.attempts += 1  # it reached a backend, and counts against the limit on repeats
            if not self._may_repeat(passage):
                return self._no_backend(passage)
        if passage.refusals >= MOST_REFUSALS:
            return self._no_backend(passage)
        return None

    def _judge_failed(self, passage: _Passage, outcome: Failed) -> HttpAnswer | None:
        failure = AttemptFailure(outcome.failure)
        kind = ErrorKind.TIMED_OUT if failure is AttemptFailure.TIMED_OUT else ErrorKind.OUTCOME_UNKNOWN
        if not outcome.ran:
            passage.refusals += 1
            return self._no_backend(passage) if passage.refusals >= MOST_REFUSALS else None
        passage.attempts += 1
        if passage.repeat_paid:
            passage.repeat_paid = False
            return None
        if not passage.route.repeatable or failure is AttemptFailure.TIMED_OUT:
            return error_answer(kind)
        return None if self._may_repeat(passage) else error_answer(kind)

    def _may_fail_over(self, passage: _Passage, silent: Peer) -> bool:
        """If an attempt at a peer that has fallen silent is given up.

        What may not be repeated by its kind stays where it is. Around a planned restart a proxy gives up only
        what it surely sends elsewhere: it may be at work there, and nothing that was read is to be lost then.
        """
        if not passage.route.repeatable:
            return False
        if not self.stopping and asyncio.get_running_loop().time() > self._careful_until:
            return True
        if passage.attempts + 1 >= passage.route.max_attempts:
            return False
        others = self._peers.linked_backends(passage.service)
        if not any(
            peer.reachable and peer is not silent and peer.address not in passage.excluded for peer in others
        ):
            return False
        passage.repeat_paid = self._budget.spend(passage.service)
        return passage.repeat_paid

    def _may_repeat(self, passage: _Passage) -> bool:
        return passage.attempts < passage.route.max_attempts and self._budget.spend(passage.service)

    def _give_up(self, passage: _Passage, kind: ErrorKind) -> HttpAnswer:
        return error_answer(kind, retry_ms=RETRY_AFTER_SHARE * passage.aim_ms)

    def _no_backend(self, passage: _Passage) -> HttpAnswer:
        """Refuse at once; the request has not run, unless a repeatable one failed before."""
        kind = (
            ErrorKind.FULL
            if passage.last in (NotTakenReason.FULL, NotTakenReason.COLD)
            else ErrorKind.NO_BACKEND
        )
        retry_ms = max(passage.retry_ms, RETRY_AFTER_SHARE * passage.aim_ms) * random.uniform(0.7, 1.3)
        return error_answer(kind, retry_ms=retry_ms)

    def _learn_size(self, passage: _Passage, answer: Answer) -> None:
        key = (passage.service, passage.aim_ms)
        size = (len(answer.body) + len(answer.headers)) / 1024
        known = self._answer_kb.get(key, size)
        self._answer_kb[key] = known + ROUTE_BYTES * (size - known)


def _drawn_service(route: Route) -> str:
    """One of the route's services, by their weights."""
    targets = route.targets()
    if len(targets) == 1:
        return targets[0].target_service
    drawn = random.choices(targets, [target.weight for target in targets])[0]
    return drawn.target_service
