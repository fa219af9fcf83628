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
from lupinreach.net.counters import Counters
from lupinreach.net.ends import ENDINGS, End
from lupinreach.net.ids import Remembered
from lupinreach.net.reply import Reply
from lupinreach.net.serving import Serving
from lupinreach.net.shot import Shot, read_load
from lupinreach.net.upload import Upload

RATE_LIMITED, ERRORED, FAULT, COPY = 429, 502, 500, 409
MOST_ID = 128
MARGIN = 0.25  # of what the client waits: most that is kept back for timers and writes that run late
NUMBER = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{0,12})?|\.[0-9]{1,12}")
EXTRA = re.compile(rb"[^=,]+=[^=,]*(?:,[^=,]+=[^=,]*)*")


class BadRequest(Exception):
    """A request that goes on to no backend; the text says why."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Order:
    """What the module asks for, or what happened, in the order in which it did."""


@dataclass(slots=True)
class Send(Order):
    backend: int
    until: float


@dataclass(slots=True)
class CallOff(Order):
    number: int


@dataclass(slots=True)
class Began(Order):
    """A long answer has begun to come."""

    number: int


@dataclass(slots=True)
class Landed(Order):
    number: int


@dataclass(slots=True)
class RateLimit(Order):
    retry_after: float


@dataclass(slots=True)
class GiveUp(Order):
    pass


@dataclass(slots=True)
class Left(Order):
    pass


@dataclass(slots=True)
class Overdue(Order):
    """The module's time is over, the client's not."""


@dataclass(slots=True)
class Out:
    """A shot that was ordered."""

    shot: Shot
    task: asyncio.Task[None]
    sent: float


class Answers(Protocol):
    """The client's side of one API call: one whole answer, or one that is passed on."""

    def whole(
        self, status: int, lines: Sequence[http.Slice | bytes] = (), body: http.Slice | bytes = b""
    ) -> None: ...

    def begin(self, status: int, lines: Sequence[http.Slice | bytes], length: int | None) -> Reply: ...

    def cut(self) -> None:
        """End the connection so that the client can tell that its answer is not whole."""


class ApiCall:
    """One API call. It is the token that the module names it by; the port puts the module's orders here."""

    def __init__(
        self,
        serving: Serving,
        request: http.Message,
        arrived: float,
        answers: Answers,
        upload: Upload | None = None,
    ) -> None:
        """Raises BadRequest where the request is none of the protocol's."""
        self._serving = serving
        self._request = request
        self._answers = answers
        self._upload = upload  # the request went ahead
        self._passing: int | None = None  # the shot whose answer goes on while it comes
        self.orders: asyncio.Queue[Order] = asyncio.Queue()  # a few for each shot; dies with the API call
        self.answered = asyncio.get_running_loop().create_future()
        self.ask, until = read_ask(self, request, arrived, serving)
        if upload is not None:
            self.ask = replace(self.ask, pinned_to=upload.place.backend)
        self._product = serving.settings.products[self.ask.product].name
        self._overdue = (self.ask.until + until) / 2
        runs_once = serving.settings.products[self.ask.product].kind is Idempotency.NON_IDEMPOTENT
        self._remember = serving.remember if runs_once else None
        self._id = request.headers[protocol.ID]
        if not serving.ids.begin(self._id):
            raise BadRequest("Req-Id is open already, or was a moment ago", COPY)

    async def run(self) -> None:
        """From top to bottom: taken, shots out as the module orders them, one final answer."""
        serving, request = self._serving, self._request
        now, counters = serving.clock.now, serving.counters
        counters.taken[self._product] += 1
        call, shots = None, list[Out]()
        overdue = asyncio.get_running_loop().call_at(
            serving.clock.on_loop(self._overdue), self.orders.put_nowait, Overdue()
        )
        try:
            if self._remember is not None and not await self._remembered(self._remember):
                return
            if serving.took is not None:
                serving.took(self.ask.customer)
            call = serving.balancer.submit(now(), self.ask)
            while not (self.answered.done() and call.closed):
                match await self.orders.get():
                    case Send(backend, until):
                        shots.append(self._shoot(len(shots), backend, until))
                    case CallOff(number):
                        shots[number].task.cancel()
                    case Began(number):
                        if not shots[number].task.done() and self._pass_on(call, number, shots[number]):
                            overdue.cancel()
                    case Landed(number) if number == self._passing:
                        end = shots[number].shot.end
                        counters.shots[end.value] += 1
                        call.on_attempt_ended(now(), number, ENDINGS[end], now() - shots[number].sent, True)
                        self._passed_on(end)
                    case Landed(number):
                        shot = shots[number].shot
                        counters.shots[shot.end.value] += 1
                        answer, served = shot.answer, shot.end is End.SERVED
                        load = _reported(counters, answer) if answer else None
                        took = now() - shots[number].sent if shot.took is None else shot.took
                        call.on_attempt_ended(now(), number, ENDINGS[shot.end], took, served, load)
                        if served and answer:
                            lines = http.forwarded_headers(answer, protocol.BETWEEN_BACKEND_AND_AGENT)
                            self._answer("fulfilled", protocol.SERVED, answer.body, lines)
                    case RateLimit(retry_after):
                        self._rate_limit(retry_after)
                    case GiveUp():
                        self._answer("errored", ERRORED)
                    case Left():
                        call.on_client_left(now())
                        self._close("left")
                        if self._passing is not None:
                            shots[self._passing].task.cancel()
                    case Overdue() if not self.answered.done() and self._passing is None:
                        # Guards against an order that comes too late for the client's deadline.
                        call.on_client_left(now())
                        self._answer("errored", ERRORED)
        except Exception as fault:
            # Guards against a fault of our own that would leave a client without an answer: a 500.
            serving.tasks.fault("api call", fault)
            if self._passing is None:
                self._answer("fault", FAULT)
            elif not self.answered.done():
                self._answers.cut()
                self._close("fault")
            if call is not None:
                call.on_client_left(now())
                await self._settle(call, shots)
        finally:
            overdue.cancel()
            serving.ids.end(self._id)
            serving.kept.give(len(request.body))
            if self._upload is not None:
                self._upload.let_go()
            request.body = b""  # guards against a long one that lives until the collector comes by

    async def _remembered(self, remember: Callable[[bytes], Awaitable[Remembered]]) -> bool:
        """Have it known to the next life before anything of it runs; false if it was answered in place of that."""
        keeping = self._serving.tasks.spawn("remember", remember(self._id))
        order = asyncio.ensure_future(self.orders.get())
        # Guards against a disk that takes longer than this client still waits: an order that comes first decides.
        await asyncio.wait({keeping, order}, return_when=asyncio.FIRST_COMPLETED)
        if not order.done():
            order.cancel()
        match order.result() if order.done() else keeping.result():
            case Left():
                self._close("left")
            case Overdue() | Remembered.UNSURE:
                self._answer("errored", ERRORED)
            case Remembered.NOT_NOW:
                limits = self._serving.settings.limits
                self._rate_limit(
                    min(self._serving.longest_wait, limits.max_retry_after) if limits.retry_after else 0.0
                )
        return not self.answered.done()

    async def _settle(self, call: Call, shots: list[Out]) -> None:
        """After a fault: end what is out, so that the module's books stay right."""
        for number in range(len(call.attempts)):
            end = End.CALLED_OFF_SENDING  # if it was ordered and never begun
            if number < len(shots):
                shots[number].task.cancel()
                await asyncio.wait([shots[number].task])
                end = shots[number].shot.end
            call.on_attempt_ended(self._serving.clock.now(), number, ENDINGS[end], 0.0, False)

    def client_spoke(self, reading: asyncio.Future[int]) -> None:
        """Something has come from the client, or it has closed its connection."""
        if not reading.cancelled() and reading.exception() is not None:
            self.orders.put_nowait(Left())

    def _shoot(self, number: int, backend: int, until: float) -> Out:
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
            lambda: self.orders.put_nowait(Began(number)),
            upload,
        )
        task = serving.tasks.spawn("shot", shot.run())
        task.add_done_callback(lambda _: self.orders.put_nowait(Landed(number)))
        return Out(shot, task, sent)

    def _pass_on(self, call: Call, number: int, out: Out) -> bool:
        """A long answer has begun: if true it is the client's from here on, and no other shot's can be."""
        shot, serving = out.shot, self._serving
        if self.answered.done() or self._passing is not None or shot.answer is None:
            out.task.cancel()
            return False
        lines = http.forwarded_headers(shot.answer, protocol.BETWEEN_BACKEND_AND_AGENT)
        if not shot.pass_on(self._answers.begin(protocol.SERVED, lines, shot.length)):
            return False  # it lands like one that brought nothing
        self._passing = number
        load = _reported(serving.counters, shot.answer)
        call.on_head(serving.clock.now(), number, shot.took or 0.0, load)
        return True

    def _passed_on(self, end: End) -> None:
        if end is End.SERVED:
            self._close("fulfilled")
        elif not self.answered.done():
            # Guards against a client that would take for whole what is not.
            self._answers.cut()
            self._close("left" if end is End.CALLED_OFF else "errored")

    def _answer(
        self,
        what: str,
        status: int,
        body: http.Slice | bytes = b"",
        headers: Sequence[http.Slice | bytes] = (),
    ) -> None:
        if not self.answered.done():
            self._answers.whole(status, headers, body)
            self._close(what)

    def _rate_limit(self, retry_after: float) -> None:
        wait = protocol.RETRY_AFTER_LINE % (retry_after / 1000) if retry_after > 0 else b""
        self._answer("rate-limited", RATE_LIMITED, b"", [wait])

    def _close(self, what: str) -> None:
        if not self.answered.done():
            self._serving.counters.told(what, self._product)
            self.answered.set_result(None)


def compose(request: http.Message, left: float, length: int | None) -> bytes:
    """The head of a shot, with so many s left; `length` of the body, None where it comes in chunks."""
    headers = http.forwarded_headers(request, protocol.BETWEEN_CLIENT_AND_AGENT)
    headers.append(memoryview(protocol.DEADLINE_LINE % max(0.001, left)))
    return http.request(request.method, request.target, headers, request.headers.get(b"host", b""), length)


def read_ask(
    token: ApiCall | None, request: http.Message, arrived: float, serving: Serving
) -> tuple[NewCall, float]:
    """A request in our words, and when its client stops waiting."""
    if request.method not in (b"GET", b"POST"):
        raise BadRequest("the method must be GET or POST")
    if not 0 < len(request.headers.get(protocol.ID, b"")) <= MOST_ID:
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
    waits = min(product.timeout, _number(request, protocol.DEADLINE) * 1000)
    if waits <= 0:
        raise BadRequest("Req-Deadline must be above 0")
    extra = request.header(protocol.EXTRA)
    if extra and not EXTRA.fullmatch(extra):
        raise BadRequest("Req-Extra is malformed")
    cost = _number(request, protocol.COST) / 1000 if protocol.COST in request.headers else None
    # The deadline counts from the client's sending, timers run late, and the answer has a way to go.
    until = arrived + waits - min(serving.settings.rules.answer_slack, MARGIN * waits)
    key = protocol.KEY.fullmatch(request.target.partition(b"?")[0])
    return NewCall(
        token,
        index,
        until,
        cost=cost,
        is_retry=request.header(protocol.RETRY) == b"1",
        customer=serving.customers.get(request.header(protocol.CUSTOMER) or b"", 0),
        key=crc32(key[1]) if key else None,  # the same at all agents
    ), arrived + waits


def _number(request: http.Message, name: bytes) -> float:
    text = request.header(name)
    if text is None or not NUMBER.fullmatch(text):
        raise BadRequest(f"{name.decode().title()} is missing or no number")
    return float(text)


def _reported(counters: Counters, answer: http.Message) -> Load | None:
    """The load that an answer reports; one that can't be believed is counted and no more."""
    text = answer.header(protocol.LOAD)
    load = read_load(text)
    counters.others["load reports"] += load is not None
    counters.others["load reports ignored"] += bool(text) and load is None
    return load
