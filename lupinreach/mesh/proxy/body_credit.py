"""Credit-based flow control for request bodies: a sender offers a large body, the receiver grants its parts.

Bytes that are sent unasked can't be held back by the receiver: they queue on its link ahead of all else. So a
proxy grants no more body bytes at a time than its link carries in `WINDOW_S`, earliest due body first. This
bounds the queueing delay of small requests, answers and configuration messages.
"""

from __future__ import annotations

import asyncio
import heapq
from dataclasses import dataclass
from itertools import count

from lupinreach.mesh.link import Link
from lupinreach.mesh.messages import BodyCredit, BodyPart, Request

MAX_INLINE_BODY_BYTES = 16 << 10  # larger bodies are offered; also the least credit granted at a time
MAX_INLINE_BODY_BYTES_IF_FULL = 512  # for a full backend, whose gate may refuse the request
WINDOW_S = 0.12  # the credit window holds the bytes that the link carries in this time
MIN_WINDOW_BYTES = 32 << 10
MAX_WINDOW_BYTES = 4 << 20  # what is on the way waits in the memory of its sender, beside the body
PARTS_PER_WINDOW = 3
BITS_PER_MEGABIT = 1_000_000
STALL_TIMEOUT_S = (
    0.4  # after this time without a part, unused credit of a sender no longer occupies the window
)


@dataclass(slots=True)
class _OfferedBody:
    """A body that a sender has offered and that is not received whole."""

    link: Link
    number: int
    size_bytes: int
    due: float  # loop time by which it should be received
    done: asyncio.Future[bytearray]
    body: bytearray  # received up to `received_bytes`
    awaiting_credit: bool = False  # it is in the receiver's queue
    granted_bytes: int = 0
    counted_bytes: int = 0  # granted and not received bytes that occupy the window; 0 once the sender stalls
    stall_timer: asyncio.TimerHandle | None = None
    received_bytes: int = 0

    @property
    def stalled(self) -> bool:
        """True if its sender has credit that it does not use."""
        return self.granted_bytes > self.received_bytes and not self.counted_bytes


class BodyReceiver:
    """Grants credit for offered bodies, earliest due first, within the window of this machine's link."""

    def __init__(self, bandwidth_mbps: float) -> None:
        self._bytes_per_s = bandwidth_mbps * BITS_PER_MEGABIT / 8
        window_bytes = int(self._bytes_per_s * WINDOW_S)
        self._window_bytes = min(max(MIN_WINDOW_BYTES, window_bytes), MAX_WINDOW_BYTES)
        self._bodies: dict[tuple[Link, int], _OfferedBody] = {}
        self._queue: list[tuple[float, int, _OfferedBody]] = []  # bodies that await credit, by due time
        self._offer_numbers = count()
        self._in_transit_bytes = 0  # granted, not received, not stalled

    @property
    def waiting_bytes(self) -> int:
        """Bytes offered and not received, without bodies of stalled senders."""
        return sum(
            [body.size_bytes - body.received_bytes for body in self._bodies.values() if not body.stalled]
        )

    def expected_wait_s(self) -> float:
        """Estimate the seconds until a body that is offered now would get credit."""
        return max(0, self.waiting_bytes - self._window_bytes) / self._bytes_per_s

    async def receive(self, link: Link, offer: Request, due: float) -> bytearray:
        """Grant credit for an offered body and return it whole; cancelling abandons it."""
        done: asyncio.Future[bytearray] = asyncio.get_running_loop().create_future()
        body = _OfferedBody(link, offer.number, offer.body_size, due, done, body=bytearray(offer.body_size))
        self._bodies[(link, offer.number)] = body
        self._enqueue(body)
        self._grant()
        try:
            return await body.done
        finally:
            del self._bodies[(link, offer.number)]
            body.granted_bytes = body.size_bytes  # it gets no more credit
            self._stop_counting(body)

    def on_part(self, link: Link, message: BodyPart) -> None:
        """Store a received part; parts of abandoned bodies and parts beyond the credit are dropped."""
        body = self._bodies.get((link, message.number))
        if body is None or body.done.done() or body.received_bytes + len(message.part) > body.granted_bytes:
            return
        end = body.received_bytes + len(message.part)
        body.body[body.received_bytes : end] = message.part
        body.received_bytes = end
        self._set_counted(body, body.counted_bytes - min(body.counted_bytes, len(message.part)))
        if body.received_bytes == body.size_bytes:
            body.done.set_result(body.body)
        elif not body.stalled:
            self._enqueue(body)  # the sender sends again
        self._grant()

    def _enqueue(self, body: _OfferedBody) -> None:
        """Queue a body for credit unless it is queued or fully granted."""
        if not body.awaiting_credit and body.granted_bytes < body.size_bytes:
            body.awaiting_credit = True
            heapq.heappush(self._queue, (body.due, next(self._offer_numbers), body))

    def _set_counted(self, body: _OfferedBody, counted_bytes: int) -> None:
        """Set how many bytes of a body occupy the window, and restart its stall timer."""
        self._in_transit_bytes += counted_bytes - body.counted_bytes
        body.counted_bytes = counted_bytes
        if body.stall_timer is not None:
            body.stall_timer.cancel()
            body.stall_timer = None
        if counted_bytes:
            body.stall_timer = asyncio.get_running_loop().call_later(
                STALL_TIMEOUT_S, self._stop_counting, body
            )

    def _stop_counting(self, body: _OfferedBody) -> None:
        """Free the window of a body whose sender stalled or that is no longer received."""
        self._set_counted(body, 0)
        self._grant()

    def _grant(self) -> None:
        while self._queue and self._in_transit_bytes < self._window_bytes:
            body = self._queue[0][2]
            grant_bytes = min(
                body.size_bytes - body.granted_bytes,
                max(MAX_INLINE_BODY_BYTES, self._window_bytes // PARTS_PER_WINDOW),
            )
            if grant_bytes <= 0 or body.stalled:
                heapq.heappop(self._queue)  # a stalled body is queued again by its next part
                body.awaiting_credit = False
                continue
            body.granted_bytes += grant_bytes
            self._set_counted(body, body.counted_bytes + grant_bytes)
            body.link.send(BodyCredit(body.number, body.granted_bytes))


class BodySender:
    """Holds the bodies offered on one link until they are sent completely."""

    def __init__(self) -> None:
        self._unsent: dict[int, tuple[bytes | bytearray, int]] = {}  # request number: (body, bytes sent)

    def offer(self, request: Request) -> None:
        """Take the body out of a request, to be sent as the receiver grants credit."""
        self._unsent[request.number] = (request.body, 0)
        request.body_size, request.body = len(request.body), b""

    def on_credit(self, link: Link, message: BodyCredit) -> None:
        """Send the bytes up to the offset that the receiver grants."""
        offered = self._unsent.get(message.number)
        if offered is None:
            return
        body, sent = offered
        link.send(BodyPart(message.number, memoryview(body)[sent : message.up_to]))
        if message.up_to >= len(body):
            del self._unsent[message.number]
        else:
            self._unsent[message.number] = (body, message.up_to)

    def unfinished(self, number: int) -> bool:
        """True if part of an offered body was not sent, so that its request can't have run."""
        return number in self._unsent

    def abandon(self, number: int) -> bool:
        """Stop sending the body of a finished attempt; return true if part of it was not sent."""
        return self._unsent.pop(number, None) is not None
