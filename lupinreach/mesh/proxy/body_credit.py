"""Credit for the bodies of requests: a sender offers a large body, and the receiving proxy asks for its parts.

What is on its way into a machine and was not asked for can't be held back there: it stands on the machine's link
before everything else. So a proxy lets no more bytes of bodies come at once than its link carries in `QUEUE_S`,
the most urgent body first; small requests, answers and news wait no longer than that.
"""

from __future__ import annotations

import asyncio
import heapq
from dataclasses import dataclass, field
from itertools import count

from lupinreach.mesh.link import Link
from lupinreach.mesh.messages import BodyCredit, BodyPart, Request

OFFER_FROM = 16 << 10  # bytes; smaller bodies travel with their request
QUEUE_S = 0.12  # of the link's rate: bytes that may be on their way
LEAST_WINDOW = 32 << 10
PARTS_PER_WINDOW = 3
BITS_PER_MEGABIT = 1_000_000
STALLED_S = 0.4  # a sender that does not use its credit for so long no longer holds the window up


@dataclass(slots=True)
class _Body:
    """One body that was offered."""

    link: Link
    number: int
    size: int
    due: float  # loop time by which it should be here
    done: asyncio.Future[bytes]
    queued: bool = False  # it waits for credit
    granted: int = 0
    counted: int = 0  # of what was granted and not received: bytes that the window counts
    stall: asyncio.TimerHandle | None = None
    parts: list[bytes] = field(default_factory=list)
    received: int = 0

    @property
    def stalled(self) -> bool:
        """If its sender has credit that it does not use."""
        return self.granted > self.received and not self.counted


class BodyReceiver:
    """Grants credit for offered bodies, the earliest due first, within the window of this machine's link."""

    def __init__(self, bandwidth_mbps: float) -> None:
        self._bytes_per_s = bandwidth_mbps * BITS_PER_MEGABIT / 8
        self._window = max(LEAST_WINDOW, int(self._bytes_per_s * QUEUE_S))
        self._bodies: dict[tuple[Link, int], _Body] = {}
        self._queue: list[tuple[float, int, _Body]] = []  # those that want credit, by due time
        self._order = count()
        self._coming = 0  # bytes granted and not received

    @property
    def waiting_bytes(self) -> int:
        """Offered and not received, but for what senders leave undone."""
        return sum([body.size - body.received for body in self._bodies.values() if not body.stalled])

    def expected_wait_s(self) -> float:
        """Seconds until a body that is offered now could come, as an estimate."""
        return max(0, self.waiting_bytes - self._window) / self._bytes_per_s

    async def receive(self, link: Link, offer: Request, due: float) -> bytes:
        """The offered body, whole; cancel this to give it up."""
        body = _Body(link, offer.number, offer.body_size, due, asyncio.get_running_loop().create_future())
        self._bodies[(link, offer.number)] = body
        self._enqueue(body)
        self._grant()
        try:
            return await body.done
        finally:
            del self._bodies[(link, offer.number)]
            body.granted = body.size  # it gets no more credit
            self._release(body)

    def on_part(self, link: Link, message: BodyPart) -> None:
        """A part has come; those of bodies that were given up are dropped."""
        body = self._bodies.get((link, message.number))
        if body is None or body.done.done() or body.received + len(message.part) > body.granted:
            return
        body.parts.append(message.part)
        body.received += len(message.part)
        self._count(body, body.counted - min(body.counted, len(message.part)))
        if body.received == body.size:
            body.done.set_result(b"".join(body.parts))
        elif not body.stalled:
            self._enqueue(body)  # its sender is at work again
        self._grant()

    def _enqueue(self, body: _Body) -> None:
        """Let a body wait for credit, unless it does already or needs none."""
        if not body.queued and body.granted < body.size:
            body.queued = True
            heapq.heappush(self._queue, (body.due, next(self._order), body))

    def _count(self, body: _Body, counted: int) -> None:
        """Set what the window counts of a body, and watch that it comes."""
        self._coming += counted - body.counted
        body.counted = counted
        if body.stall is not None:
            body.stall.cancel()
            body.stall = None
        if counted:
            body.stall = asyncio.get_running_loop().call_later(STALLED_S, self._release, body)

    def _release(self, body: _Body) -> None:
        """Its credit is not used: others may have the window."""
        self._count(body, 0)
        self._grant()

    def _grant(self) -> None:
        while self._queue and self._coming < self._window:
            body = self._queue[0][2]
            more = min(body.size - body.granted, max(OFFER_FROM, self._window // PARTS_PER_WINDOW))
            if more <= 0 or body.stalled:
                heapq.heappop(self._queue)  # a stalled one comes back with its next part
                body.queued = False
                continue
            body.granted += more
            self._count(body, body.counted + more)
            body.link.send(BodyCredit(body.number, body.granted))


class BodySender:
    """Offered bodies on one link, until they are sent to their end."""

    def __init__(self) -> None:
        self._left: dict[int, tuple[bytes, int]] = {}  # by number: the body, bytes sent

    def offer(self, request: Request) -> None:
        """Take the body out of a request, to be sent when it is asked for."""
        self._left[request.number] = (request.body, 0)
        request.body_size, request.body = len(request.body), b""

    def on_credit(self, link: Link, message: BodyCredit) -> None:
        """The receiver asks for the bytes up to an offset."""
        found = self._left.get(message.number)
        if found is None:
            return
        body, sent = found
        link.send(BodyPart(message.number, body[sent : message.up_to]))
        if message.up_to >= len(body):
            del self._left[message.number]
        else:
            self._left[message.number] = (body, message.up_to)

    def unfinished(self, number: int) -> bool:
        """If a part of an offered body was not sent: its request can't have run."""
        return number in self._left

    def abandon(self, number: int) -> bool:
        """The attempt is over, and no more is sent of its body; true where a part of it was not sent."""
        return self._left.pop(number, None) is not None
