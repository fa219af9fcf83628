"""One exchange with a backend: a connection, the message, the answer. Never sends anything again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from lupinreach.config import believed
from lupinreach.model import Load
from lupinreach.net import http, protocol
from lupinreach.net.channel import FIRST_BUFFER, Channel
from lupinreach.net.ends import End, Ended
from lupinreach.net.pool import Place, Pool
from lupinreach.net.reply import ClientGone, Reply
from lupinreach.net.upload import Upload

JOINED = 16 << 10  # bytes of a body up to which it is written in one piece with its head
KEPT = (
    64 << 10
)  # bytes of an answer that is passed on whole, so that a spoilt one can be told from a good one;
KEPT_UNSAID = 16 << 10  # where it doesn't say how long it is
MOVES = 10.0  # s in which a long answer must bring something
BUFFER = 64 << 10  # bytes that are read of one at once


class Shot:
    """An exchange as it goes. `run` is a task of its own; to cancel it closes the connection."""

    def __init__(
        self,
        pool: Pool,
        place: Place,
        message: bytes,
        until: float,
        body: http.Slice | bytes = b"",
        began: Callable[[], None] | None = None,
        upload: Upload | None = None,
    ) -> None:
        """`began` is called when a long answer has begun, which then waits for `pass_on`; `upload` went ahead."""
        self._pool = pool
        self._place = place
        self._message = message
        self._body = body
        self._until = until  # on the event loop's clock
        self._limit = asyncio.timeout_at(until)
        self._began = began
        self._upload = upload
        self._writing: asyncio.Future[None] | None = None
        self._whole = False  # nothing of the answer is left on the connection
        self._reply: asyncio.Future[Reply] | None = None
        self.answer: http.Message | None = None
        self.length: int | None = None  # of the body of a long answer, where it says so
        self.written = 0.0  # when it was handed to the kernel, on the event loop's clock, and
        self.came = 0.0  # when the kernel had the answer, of a long one its first bytes; 0 = it has none
        self.end = End.CALLED_OFF_SENDING  # what it stays if the task is cancelled before it begins

    async def run(self) -> None:
        channel: Channel | None = None
        loop = asyncio.get_running_loop()
        try:
            if loop.time() >= self._until:
                raise TimeoutError  # an idle connection would take the message before any timer runs
            async with self._limit:
                channel = self._upload.take() if self._upload else await self._pool.take(self._place)
                if channel is None:
                    raise Ended(End.BROKE_SENDING)
                await self._write(channel)
                head = await http.read_answer_head(channel)
                body = http.answer_body(channel, head, self._pool.most_answer)
                begun = await body.whole(at_most=_kept(body.length))
                self.came = loop.time() - channel.quiet / 1000
                self._whole = body.done
                self.answer = http.message(head, begun)
                self.end = _meaning(self.answer)
                if not body.done and self.end is End.SERVED:
                    self.end, self.length = End.SILENT, body.length  # until it is whole
                    await self._pass_on(channel, body)
        except TimeoutError:
            self.end = End.SILENT if self._written else End.LATE_SENDING
        except ClientGone:
            self.end = End.CALLED_OFF
        except Ended as ended:
            self.end = ended.end
        except asyncio.CancelledError:
            self.end = End.CALLED_OFF if self._written else End.CALLED_OFF_SENDING
            raise
        except BaseException:
            # Guards against a fault of our own that would pass for a shot that never ran.
            self.end = End.BROKE if self._written else End.BROKE_SENDING
            raise
        finally:
            if channel is not None:
                self._release(channel)

    async def _write(self, channel: Channel) -> None:
        self.written = asyncio.get_running_loop().time()
        if len(self._body) > JOINED:
            channel.write(self._message)
            self._writing = channel.write(self._body)
        else:
            self._writing = channel.write(self._message + self._body)
        self._writing.add_done_callback(self._pool.wrote)
        try:
            await self._writing
        except OSError:  # what Tornado raises for a closed stream is one
            raise Ended(End.BROKE_SENDING) from None
        self._body = b""  # guards against a long one held for as long as its answer takes

    @property
    def took(self) -> float | None:
        """Ms from handing the shot to the kernel until the kernel had its answer; None if there is none.

        Guards against an event loop that runs late: what waits in our own kernel is no backend's slowness.
        """
        return max(0.0, self.came - self.written) * 1000 if self.came else None

    def pass_on(self, reply: Reply) -> bool:
        """Where a long answer that has begun goes to; false if the shot has ended meanwhile: nothing of it will come.

        From here on its time is over by no timer. Guards against one that runs out on the way to the task, and would
        take an answer for broken of which the client has not had a byte.
        """
        if self._reply is None or self._reply.done():
            return False
        self._limit.reschedule(None)
        self._reply.set_result(reply)
        return True

    async def _pass_on(self, channel: Channel, body: http.Body) -> None:
        """Hand an answer on as it comes; it belongs to the client now, and its time is that of its first bytes."""
        assert self.answer is not None
        if self._began is None:
            raise Ended(End.TOO_LARGE)
        self._reply = asyncio.get_running_loop().create_future()
        self._began()
        reply = await self._reply
        channel.patience, patience = MOVES, channel.patience
        channel.least = BUFFER
        pieces = [self.answer.body] if len(self.answer.body) else []
        while True:
            for piece in pieces:
                await reply.write(piece)
            if body.done:
                break
            # Guards against two fast sides that would hold up everybody else's API calls.
            await asyncio.sleep(0)
            await body.more()
            pieces = body.here()
        await reply.end()
        channel.patience, channel.least = patience, FIRST_BUFFER
        self._whole, self.end = True, End.SERVED

    @property
    def _written(self) -> bool:
        """If the last byte was written: from then on the shot may run.

        Asked of the write itself, and not noted after it: a task may be cancelled between the two.
        """
        writing = self._writing
        return bool(writing and writing.done() and not writing.cancelled() and not writing.exception())

    def _release(self, channel: Channel) -> None:
        # A connection with a half-read answer, or with more than one, is never used again.
        if self._whole and self.answer is not None and self.answer.keep_alive and not channel.spoke:
            self._pool.give_back(channel, self._place)
        else:
            self._pool.discard(channel, self.end)


def _kept(length: int | None) -> float:
    """How much of an answer is waited for before it is passed on."""
    if length is None:
        return KEPT_UNSAID
    return inf if length <= KEPT else 0


def _meaning(answer: http.Message) -> End:
    if answer.status == protocol.SERVED:
        return End.SERVED
    if answer.status in protocol.TURNED_AWAY and answer.header(protocol.NEVER_RAN) == b"1":
        return End.TURNED_AWAY
    return End.FAULT


def read_load(text: bytes | None) -> Load | None:
    """A load report, such as `inflight=7,queue=2`; None if there is none that can be read or believed."""
    figures: dict[str, float] = {}
    for part in (text or b"").decode("latin-1").split(","):
        name, _, value = part.strip().partition("=")
        ours = protocol.LOADS.get(name)
        if ours:
            try:
                figures[ours] = float(value)
            except ValueError:
                return None
    return Load(**figures) if figures and believed(figures.values()) else None
