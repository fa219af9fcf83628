"""The life of one API call, from the client's request to the one final answer."""

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
from lupinreach.net.exchange import Shot, read_load
from lupinreach.net.ids import IdPersistence
from lupinreach.net.reply import Reply
from lupinreach.net.serving import Serving
from lupinreach.net.upload import Upload

RATE_LIMITED_STATUS, ERRORED_STATUS, FAULT_STATUS, DUPLICATE_STATUS = 429, 502, 500, 409
MAX_ID_BYTES = 128
MAX_SLACK_FRACTION = (
    0.25  # of what the client waits: most that is kept back for timers and writes that run late
)
NUMBER_PATTERN = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{0,12})?|\.[0-9]{1,12}")
EXTRA_PATTERN = re.compile(rb"[^=,]+=[^=,]*(?:,[^=,]+=[^=,]*)*")


class BadRequest(Exception):
    """A request that goes on to no backend; the text says why."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class CallEvent:
    """What the module asks for, or what happened, in the order in which it did."""


@dataclass(slots=True)
class SendAttempt(CallEvent):
    backend: int
    until: float


@dataclass(slots=True)
class CancelAttempt(CallEvent):
    number: int


@dataclass(slots=True)
class AnswerBegan(CallEvent):
    """A long answer has begun to come."""

    number: int


@dataclass(slots=True)
class AttemptFinished(CallEvent):
    number: int


@dataclass(slots=True)
class RateLimit(CallEvent):
    retry_after: float


@dataclass(slots=True)
class FailCall(CallEvent):
    pass


@dataclass(slots=True)
class ClientLeft(CallEvent):
    pass


@dataclass(slots=True)
class DeadlinePassed(CallEvent):
    """The module's time is over, the client's not."""


@dataclass(slots=True)
class InFlight:
    """A shot that was ordered."""

    shot: Shot
    task: asyncio.Task[None]
    sent: float


class AnswerSink(Protocol):
    """The client's side of one API call: one whole answer, or one that is passed on."""

    def send_answer(
        self, status: int, lines: Sequence[http.Slice | bytes] = (), body: http.Slice | bytes = b""
    ) -> None: ...

    def begin_answer(self, status: int, lines: Sequence[http.Slice | bytes], length: int | None) -> Reply: ...

    def abort_answer(self) -> None:
        """End the connection so that the client can tell that its answer is not whole."""


class ApiCall:
    """One API call. It is the token that the module names it by; the port puts the module's orders here."""

    def __init__(
        self,
        serving: Serving,
        request: http.Message,
        arrived: float,
        answers: AnswerSink,
        upload: Upload | None = None,
    ) -> None:
        """Raises BadRequest where the request is none of the protocol's."""
        self._serving = serving
        self._request = request
        self._answers = answers
        self._upload = upload  # the request went ahead
        self._streaming: int | None = None  # the shot whose answer goes on while it comes
        self.events: asyncio.Queue[CallEvent] = asyncio.Queue()  # a few for each shot; dies with the API call
        self.answered = asyncio.get_running_loop().create_future()
        self.new_call, until = parse_call(self, request, arrived, serving)
        if upload is not None:
            self.new_call = replace(self.new_call, pinned_to=upload.place.backend)
        self._product = serving.settings.products[self.new_call.product].name
        self._answer_by = (self.new_call.until + until) / 2
        runs_once = serving.settings.products[self.new_call.product].kind is Idempotency.NON_IDEMPOTENT
        self._persist_id = serving.persist_id if runs_once else None
        self._id = request.headers[protocol.ID]
        if not serving.ids.begin(self._id):
            raise BadRequest("Req-Id is open already, or was a moment ago", DUPLICATE_STATUS)

    async def run(self) -> None:
        """From top to bottom: taken, shots out as the module orders them, one final answer."""
        serving, request = self._serving, self._request
        now, counters = serving.clock.now, serving.counters
        counters.taken[self._product] += 1
        call, shots = None, list[InFlight]()
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
                        shots.append(self._start_attempt(len(shots), backend, until))
                    case CancelAttempt(number):
                        shots[number].task.cancel()
                    case AnswerBegan(number):
                        if not shots[number].task.done() and self._start_streaming(
                            call, number, shots[number]
                        ):
                            fallback_timer.cancel()
                    case AttemptFinished(number) if number == self._streaming:
                        end = shots[number].shot.end
                        counters.shots[end.value] += 1
                        call.on_attempt_ended(
                            now(), number, ATTEMPT_ENDS[end], now() - shots[number].sent, True
                        )
                        self._on_stream_ended(end)
                    case AttemptFinished(number):
                        shot = shots[number].shot
                        counters.shots[shot.end.value] += 1
                        answer, served = shot.answer, shot.end is ConnectionEnd.SERVED
                        load = _record_load_report(counters, answer) if answer else None
                        took = now() - shots[number].sent if shot.latency_ms is None else shot.latency_ms
                        call.on_attempt_ended(now(), number, ATTEMPT_ENDS[shot.end], took, served, load)
                        if served and answer:
                            lines = http.passed_on(answer, protocol.BETWEEN_BACKEND_AND_AGENT)
                            self._answer("fulfilled", protocol.SERVED, answer.body, lines)
                    case RateLimit(retry_after):
                        self._rate_limit(retry_after)
                    case FailCall():
                        self._answer("errored", ERRORED_STATUS)
                    case ClientLeft():
                        call.on_client_left(now())
                        self._close("left")
                        if self._streaming is not None:
                            shots[self._streaming].task.cancel()
                    case DeadlinePassed() if not self.answered.done() and self._streaming is None:
                        # Guards against an order that comes too late for the client's deadline.
                        call.on_client_left(now())
                        self._answer("errored", ERRORED_STATUS)
        except Exception as fault:
            # Guards against a fault of our own that would leave a client without an answer: a 500.
            serving.tasks.fault("api call", fault)
            if self._streaming is None:
                self._answer("fault", FAULT_STATUS)
            elif not self.answered.done():
                self._answers.abort_answer()
                self._close("fault")
            if call is not None:
                call.on_client_left(now())
                await self._settle(call, shots)
        finally:
            fallback_timer.cancel()
            serving.ids.end(self._id)
            serving.body_memory.release(len(request.body))
            if self._upload is not None:
                self._upload.discard()
            request.body = b""  # guards against a long one that lives until the collector comes by

    async def _persist(self, write_id: Callable[[bytes], Awaitable[IdPersistence]]) -> bool:
        """Have it known to the next life before anything of it runs; false if it was answered in place of that."""
        persisting = self._serving.tasks.spawn("remember", write_id(self._id))
        event = asyncio.ensure_future(self.events.get())
        # Guards against a disk that takes longer than this client still waits: an order that comes first decides.
        await asyncio.wait({persisting, event}, return_when=asyncio.FIRST_COMPLETED)
        if not event.done():
            event.cancel()
        match event.result() if event.done() else persisting.result():
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

    async def _settle(self, call: Call, shots: list[InFlight]) -> None:
        """After a fault: end what is out, so that the module's books stay right."""
        for number in range(len(call.attempts)):
            end = ConnectionEnd.SEND_CANCELLED  # if it was ordered and never begun
            if number < len(shots):
                shots[number].task.cancel()
                await asyncio.wait([shots[number].task])
                end = shots[number].shot.end
            call.on_attempt_ended(self._serving.clock.now(), number, ATTEMPT_ENDS[end], 0.0, False)

    def on_client_input(self, reading: asyncio.Future[int]) -> None:
        """Something has come from the client, or it has closed its connection."""
        if not reading.cancelled() and reading.exception() is not None:
            self.events.put_nowait(ClientLeft())

    def _start_attempt(self, number: int, backend: int, until: float) -> InFlight:
        """Begin a shot; its end comes back as an order."""
        serving, request, upload = self._serving, self._request, self._upload
        sent = serving.clock.now()
        message = upload.tail if upload else compose(request, (until - sent) / 1000, len(request.body))
        place = serving.directory.place(backend)
        shot = Shot(
            serving.pool,
            place,
            message,
            serving.clock.on_loop(until),
            request.body,
            lambda: self.events.put_nowait(AnswerBegan(number)),
            upload,
        )
        task = serving.tasks.spawn("shot", shot.run())
        task.add_done_callback(lambda _: self.events.put_nowait(AttemptFinished(number)))
        return InFlight(shot, task, sent)

    def _start_streaming(self, call: Call, number: int, out: InFlight) -> bool:
        """A long answer has begun: if true it is the client's from here on, and no other shot's can be."""
        shot, serving = out.shot, self._serving
        if self.answered.done() or self._streaming is not None or shot.answer is None:
            out.task.cancel()
            return False
        lines = http.passed_on(shot.answer, protocol.BETWEEN_BACKEND_AND_AGENT)
        if not shot.stream_to(self._answers.begin_answer(protocol.SERVED, lines, shot.length)):
            return False  # it lands like one that brought nothing
        self._streaming = number
        load = _record_load_report(serving.counters, shot.answer)
        call.on_head(serving.clock.now(), number, shot.latency_ms or 0.0, load)
        return True

    def _on_stream_ended(self, end: ConnectionEnd) -> None:
        if end is ConnectionEnd.SERVED:
            self._close("fulfilled")
        elif not self.answered.done():
            # Guards against a client that would take for whole what is not.
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
    """The head of a shot, with so many s left; `length` of the body, None where it comes in chunks."""
    headers = http.passed_on(request, protocol.BETWEEN_CLIENT_AND_AGENT)
    headers.append(memoryview(protocol.DEADLINE_LINE % max(0.001, left)))
    return http.request(request.method, request.target, headers, request.headers.get(b"host", b""), length)


def parse_call(
    token: ApiCall | None, request: http.Message, arrived: float, serving: Serving
) -> tuple[NewCall, float]:
    """A request in our words, and when its client stops waiting."""
    if request.method not in (b"GET", b"POST"):
        raise BadRequest("the method must be GET or POST")
    if not 0 < len(request.headers.get(protocol.ID, b"")) <= MAX_ID_BYTES:
        raise BadRequest("Req-Id is missing or too long")
    names = [name for name, _ in request.lines if name in protocol.REQUEST_HEADERS]
    if len(names) > len(set(names)) or request.options & protocol.REQUEST_HEADERS:
        # Guards against a backend that reads another one of the two than we do, or gets none.
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
    # The deadline counts from the client's sending, timers run late, and the answer has a way to go.
    until = arrived + wait_ms - min(serving.settings.rules.answer_slack, MAX_SLACK_FRACTION * wait_ms)
    key = protocol.KEY.fullmatch(request.target.partition(b"?")[0])
    return NewCall(
        token,
        index,
        until,
        cost=cost,
        is_retry=request.header(protocol.RETRY) == b"1",
        customer=serving.customers.get(request.header(protocol.CUSTOMER) or b"", 0),
        key=crc32(key[1]) if key else None,  # the same at all agents
    ), arrived + wait_ms


def _number(request: http.Message, name: bytes) -> float:
    text = request.header(name)
    if text is None or not NUMBER_PATTERN.fullmatch(text):
        raise BadRequest(f"{name.decode().title()} is missing or no number")
    return float(text)


def _record_load_report(counters: Counters, answer: http.Message) -> Load | None:
    """The load that an answer reports; one that can't be believed is counted and no more."""
    text = answer.header(protocol.LOAD)
    load = read_load(text)
    counters.others["load reports"] += load is not None
    counters.others["load reports ignored"] += bool(text) and load is None
    return load
