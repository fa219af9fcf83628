"""Handles one API call, from the client's request to its single final answer."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from typing import Protocol
from zlib import crc32

from lupinreach.balance import Call
from lupinreach.model import Idempotency, Load, NewCall
from lupinreach.net import http, protocol
from lupinreach.net.connection_end import ATTEMPT_ENDS, ConnectionEnd
from lupinreach.net.counters import Counters
from lupinreach.net.exchange import Exchange, read_load
from lupinreach.net.ids import IdPersistence
from lupinreach.net.reply import Reply
from lupinreach.net.serving import Serving
from lupinreach.net.upload import Upload

RATE_LIMITED_STATUS, ERRORED_STATUS, FAULT_STATUS, DUPLICATE_STATUS = 429, 502, 500, 409
MAX_ID_BYTES = 128
MAX_SLACK_FRACTION = 0.25  # of the client's timeout: limit of the slack for late timers and writes
PERSIST_RESERVE_FRACTION = 0.25  # of the client's timeout: left to the call after the sync
MIN_PERSIST_FRACTION = 0.5  # of the time that is left: for the sync of a call that was read late
NUMBER_PATTERN = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{0,12})?|\.[0-9]{1,12}")
EXTRA_PATTERN = re.compile(rb"[^=,]+=[^=,]*(?:,[^=,]+=[^=,]*)*")


class BadRequest(Exception):
    """A request that is refused without an attempt; the text says why."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class CallEvent:
    """A command of the module for this call, or something that happened to it, in order of occurrence."""


@dataclass(slots=True)
class SendAttempt(CallEvent):
    """The module sends an attempt to a backend."""

    backend: int
    until: float  # ms, deadline of the attempt


@dataclass(slots=True)
class CancelAttempt(CallEvent):
    """The module cancels an attempt."""

    number: int


@dataclass(slots=True)
class AnswerBegan(CallEvent):
    """The first bytes of a long answer have arrived."""

    number: int


@dataclass(slots=True)
class AttemptFinished(CallEvent):
    """An attempt has ended, in whatever way."""

    number: int


@dataclass(slots=True)
class RateLimit(CallEvent):
    """The module rejects the call as rate-limited."""

    retry_after: float  # ms; 0: not told to the client


@dataclass(slots=True)
class FailCall(CallEvent):
    """The module answers the call with an error."""


@dataclass(slots=True)
class ClientLeft(CallEvent):
    """The client has closed its connection."""


@dataclass(slots=True)
class DeadlinePassed(CallEvent):
    """The module's deadline has passed; the client still waits."""


@dataclass(slots=True)
class InFlight:
    """An attempt that was sent to a backend."""

    exchange: Exchange
    task: asyncio.Task[None]
    sent: float  # ms


class AnswerSink(Protocol):
    """The client's side of an API call: takes a complete answer or, by `begin_answer`, a stream."""

    def send_answer(
        self, status: int, lines: Sequence[http.Slice | bytes] = (), body: http.Slice | bytes = b""
    ) -> None: ...

    def begin_answer(self, status: int, lines: Sequence[http.Slice | bytes], length: int | None) -> Reply: ...

    def abort_answer(self) -> None:
        """Reset the connection, so that the client can tell that the answer is incomplete."""


class ApiCall:
    """One API call.

    The object is the call's token in the module; the port puts the module's commands into `events`.
    """

    def __init__(
        self,
        serving: Serving,
        request: http.Message,
        arrived: float,
        answers: AnswerSink,
        upload: Upload | None = None,
    ) -> None:
        """Raises BadRequest if the request violates the protocol."""
        self._serving = serving
        self._request = request
        self._answers = answers
        self._upload = upload  # of a request that was forwarded while it was read
        self._streaming: int | None = None  # number of the attempt whose answer is streamed
        self.events: asyncio.Queue[CallEvent] = asyncio.Queue()  # a few for each attempt
        self.answered = asyncio.get_running_loop().create_future()
        self.new_call, until = parse_call(self, request, arrived, serving)
        if upload is not None:
            self.new_call = replace(self.new_call, pinned_to=upload.place.backend)
        self._product = serving.settings.products[self.new_call.product].name
        self._answer_by = (self.new_call.until + until) / 2
        self._persist_by = until - PERSIST_RESERVE_FRACTION * (until - arrived)
        runs_once = serving.settings.products[self.new_call.product].kind is Idempotency.NON_IDEMPOTENT
        self._persist_id = serving.persist_id if runs_once else None
        self._id = request.headers[protocol.ID]
        if not serving.ids.begin(self._id):
            raise BadRequest("Req-Id is open already, or was a moment ago", DUPLICATE_STATUS)

    async def run(self) -> None:
        """Submit the call to the module, carry out its commands and give one final answer."""
        serving, request = self._serving, self._request
        now, counters = serving.clock.now, serving.counters
        counters.taken[self._product] += 1
        call, attempts = None, list[InFlight]()
        fallback_timer = asyncio.get_running_loop().call_at(
            serving.clock.on_loop(self._answer_by), self.events.put_nowait, DeadlinePassed()
        )
        try:
            if self._persist_id is not None and not await self._persist(self._persist_id):
                return
            if serving.on_call_accepted is not None:
                serving.on_call_accepted(self.new_call.customer)
            call = serving.balancer.submit(now(), self.new_call)
            while not (self.answered.done() and call.closed):
                match await self.events.get():
                    case SendAttempt(backend, until):
                        attempts.append(self._start_attempt(len(attempts), backend, until))
                    case CancelAttempt(number):
                        attempts[number].task.cancel()
                    case AnswerBegan(number):
                        if not attempts[number].task.done() and self._start_streaming(
                            call, number, attempts[number]
                        ):
                            fallback_timer.cancel()
                    case AttemptFinished(number) if number == self._streaming:
                        end = attempts[number].exchange.end
                        counters.shots[end.value] += 1
                        call.on_attempt_ended(
                            now(), number, ATTEMPT_ENDS[end], now() - attempts[number].sent, True
                        )
                        self._on_stream_ended(end)
                    case AttemptFinished(number):
                        exchange = attempts[number].exchange
                        counters.shots[exchange.end.value] += 1
                        answer, served = exchange.answer, exchange.end is ConnectionEnd.SERVED
                        load = _record_load_report(counters, answer) if answer else None
                        took = (
                            now() - attempts[number].sent
                            if exchange.latency_ms is None
                            else exchange.latency_ms
                        )
                        call.on_attempt_ended(now(), number, ATTEMPT_ENDS[exchange.end], took, served, load)
                        if served and answer:
                            lines = http.forwarded_headers(answer, protocol.BETWEEN_BACKEND_AND_AGENT)
                            self._answer("fulfilled", protocol.SERVED, answer.body, lines)
                    case RateLimit(retry_after):
                        self._rate_limit(retry_after)
                    case FailCall():
                        self._answer("errored", ERRORED_STATUS)
                    case ClientLeft():
                        call.on_client_left(now())
                        self._close("left")
                        if self._streaming is not None:
                            attempts[self._streaming].task.cancel()
                    case DeadlinePassed() if not self.answered.done() and self._streaming is None:
                        # Guards against a command of the module that is too late for the client's deadline.
                        call.on_client_left(now())
                        self._answer("errored", ERRORED_STATUS)
        except Exception as fault:
            # An internal fault must not leave the client without an answer: it gets a 500.
            serving.tasks.fault("api call", fault)
            if self._streaming is None:
                self._answer("fault", FAULT_STATUS)
            elif not self.answered.done():
                self._answers.abort_answer()
                self._close("fault")
            if call is not None:
                call.on_client_left(now())
                await self._settle(call, attempts)
        finally:
            fallback_timer.cancel()
            serving.ids.end(self._id)
            serving.body_memory.release(len(request.body))
            if self._upload is not None:
                self._upload.discard()
            request.body = b""  # a long body must not stay in memory until the next garbage collection

    async def _persist(self, write_id: Callable[[bytes], Awaitable[IdPersistence]]) -> bool:
        """Persist the id before the call may run; false if the call was answered instead."""
        persisting = self._serving.tasks.spawn("remember", write_id(self._id))
        event = asyncio.ensure_future(self.events.get())
        # The disk may take longer than the client still waits: what comes first decides.
        await asyncio.wait(
            {persisting, event}, timeout=self._persist_timeout_s(), return_when=asyncio.FIRST_COMPLETED
        )
        if not event.done():
            event.cancel()
        outcome: CallEvent | IdPersistence = DeadlinePassed()
        if event.done():
            outcome = event.result()
        elif persisting.done():
            outcome = persisting.result()
        match outcome:
            case ClientLeft():
                self._close("left")
            case DeadlinePassed() | IdPersistence.OUTCOME_UNKNOWN:
                self._answer("errored", ERRORED_STATUS)
            case IdPersistence.UNAVAILABLE:
                limits = self._serving.settings.limits
                self._rate_limit(
                    min(self._serving.longest_wait, limits.max_retry_after) if limits.retry_after else 0.0
                )
        return not self.answered.done()

    def _persist_timeout_s(self) -> float:
        """How long the id may take to be durable: a call with no time left to run is given up before its deadline."""
        now = self._serving.clock.now()
        return max(self._persist_by - now, MIN_PERSIST_FRACTION * (self._answer_by - now), 0.0) / 1000

    async def _settle(self, call: Call, attempts: list[InFlight]) -> None:
        """After a fault: end the attempts in flight, so that the module's counts stay correct."""
        for number in range(len(call.attempts)):
            end = ConnectionEnd.SEND_CANCELLED  # the module sent it, but it was never started
            if number < len(attempts):
                attempts[number].task.cancel()
                await asyncio.wait([attempts[number].task])
                end = attempts[number].exchange.end
            call.on_attempt_ended(self._serving.clock.now(), number, ATTEMPT_ENDS[end], 0.0, False)

    def on_client_input(self, reading: asyncio.Future[int]) -> None:
        """The client has sent something or closed its connection."""
        if not reading.cancelled() and reading.exception() is not None:
            self.events.put_nowait(ClientLeft())

    def _start_attempt(self, number: int, backend: int, until: float) -> InFlight:
        """Start an attempt; its end comes back as an event."""
        serving, request, upload = self._serving, self._request, self._upload
        sent = serving.clock.now()
        message = upload.tail if upload else compose(request, (until - sent) / 1000, len(request.body))
        place = serving.directory.place(backend)
        exchange = Exchange(
            serving.pool,
            place,
            message,
            serving.clock.on_loop(until),
            request.body,
            lambda: self.events.put_nowait(AnswerBegan(number)),
            upload,
        )
        task = serving.tasks.spawn("shot", exchange.run())
        task.add_done_callback(lambda _: self.events.put_nowait(AttemptFinished(number)))
        return InFlight(exchange, task, sent)

    def _start_streaming(self, call: Call, number: int, in_flight: InFlight) -> bool:
        """Start to stream a long answer to the client; false if that is no longer possible.

        From here on no other attempt can answer the call.
        """
        exchange, serving = in_flight.exchange, self._serving
        if self.answered.done() or self._streaming is not None or exchange.answer is None:
            in_flight.task.cancel()
            return False
        lines = http.forwarded_headers(exchange.answer, protocol.BETWEEN_BACKEND_AND_AGENT)
        if not exchange.stream_to(self._answers.begin_answer(protocol.SERVED, lines, exchange.length)):
            return False  # its end is handled as that of an attempt without an answer
        self._streaming = number
        load = _record_load_report(serving.counters, exchange.answer)
        call.on_head(serving.clock.now(), number, exchange.latency_ms or 0.0, load)
        return True

    def _on_stream_ended(self, end: ConnectionEnd) -> None:
        if end is ConnectionEnd.SERVED:
            self._close("fulfilled")
        elif not self.answered.done():
            # The client must not take an incomplete answer for a complete one.
            self._answers.abort_answer()
            self._close("left" if end is ConnectionEnd.CANCELLED else "errored")

    def _answer(
        self,
        what: str,
        status: int,
        body: http.Slice | bytes = b"",
        headers: Sequence[http.Slice | bytes] = (),
    ) -> None:
        if not self.answered.done():
            self._answers.send_answer(status, headers, body)
            self._close(what)

    def _rate_limit(self, retry_after: float) -> None:
        wait = protocol.RETRY_AFTER_LINE % (retry_after / 1000) if retry_after > 0 else b""
        self._answer("rate-limited", RATE_LIMITED_STATUS, b"", [wait])

    def _close(self, what: str) -> None:
        if not self.answered.done():
            self._serving.counters.count_answer(what, self._product)
            self.answered.set_result(None)


def compose(request: http.Message, left: float, length: int | None) -> bytes:
    """The head of the forwarded request, with `left` s as deadline; `length` of the body, None if chunked."""
    headers = http.forwarded_headers(request, protocol.BETWEEN_CLIENT_AND_AGENT)
    headers.append(memoryview(protocol.DEADLINE_LINE % max(0.001, left)))
    return http.request(request.method, request.target, headers, request.headers.get(b"host", b""), length)


def parse_call(
    token: ApiCall | None, request: http.Message, arrived: float, serving: Serving
) -> tuple[NewCall, float]:
    """Translate a request into the module's `NewCall`; also returns when its client stops waiting.

    Raises BadRequest if the request violates the protocol.
    """
    if request.method not in (b"GET", b"POST"):
        raise BadRequest("the method must be GET or POST")
    if not 0 < len(request.headers.get(protocol.ID, b"")) <= MAX_ID_BYTES:
        raise BadRequest("Req-Id is missing or too long")
    names = [name for name, _ in request.lines if name in protocol.REQUEST_HEADERS]
    if len(names) > len(set(names)) or request.options & protocol.REQUEST_HEADERS:
        # The backend might use the other one of two headers, or get none.
        raise BadRequest("a Req header is given twice or named by Connection")
    kind = request.header(protocol.KIND)
    if kind not in serving.products:
        raise BadRequest("Req-Kind is missing or unknown")
    index, product = serving.products[kind]
    if request.method == b"GET" and (len(request.body) or product.kind is Idempotency.NON_IDEMPOTENT):
        raise BadRequest("GET is for what may run again, and has no body")
    wait_ms = min(product.timeout, _number(request, protocol.DEADLINE) * 1000)
    if wait_ms <= 0:
        raise BadRequest("Req-Deadline must be above 0")
    extra = request.header(protocol.EXTRA)
    if extra and not EXTRA_PATTERN.fullmatch(extra):
        raise BadRequest("Req-Extra is malformed")
    cost = _number(request, protocol.COST) / 1000 if protocol.COST in request.headers else None
    # Slack: the client counts from its sending, timers run late, and the answer needs time to arrive.
    until = arrived + wait_ms - min(serving.settings.rules.answer_slack, MAX_SLACK_FRACTION * wait_ms)
    key = protocol.KEY.fullmatch(request.target.partition(b"?")[0])
    return NewCall(
        token,
        index,
        until,
        cost=cost,
        is_retry=request.header(protocol.RETRY) == b"1",
        customer=serving.customers.get(request.header(protocol.CUSTOMER) or b"", 0),
        key=crc32(key[1]) if key else None,  # must be equal on all agents
    ), arrived + wait_ms


def _number(request: http.Message, name: bytes) -> float:
    text = request.header(name)
    if text is None or not NUMBER_PATTERN.fullmatch(text):
        raise BadRequest(f"{name.decode().title()} is missing or no number")
    return float(text)


def _record_load_report(counters: Counters, answer: http.Message) -> Load | None:
    """The load report of an answer; an implausible one is counted and ignored."""
    text = answer.header(protocol.LOAD)
    load = read_load(text)
    counters.others["load reports"] += load is not None
    counters.others["load reports ignored"] += bool(text) and load is None
    return load
