"""One exchange with a backend: a connection, the message, the answer. Never sends anything again."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from lupinreach.config import is_plausible_load
from lupinreach.model import Load
from lupinreach.net import http, protocol
from lupinreach.net.channel import INITIAL_BUFFER_BYTES, Channel
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded
from lupinreach.net.pool import Place, Pool
from lupinreach.net.reply import ClientDisconnected, Reply
from lupinreach.net.upload import Upload

MAX_JOINED_BODY_BYTES = 16 << 10  # bytes of a body up to which it is written in one piece with its head
MAX_BUFFERED_BYTES = (
    64 << 10
)  # bytes of an answer that is passed on whole, so that a spoilt one can be told from a good one;
MAX_BUFFERED_BYTES_UNKNOWN_LENGTH = 16 << 10  # where it doesn't say how long it is
STREAM_STALL_TIMEOUT_S = 10.0  # s in which a long answer must bring something
STREAM_BUFFER_BYTES = 64 << 10  # bytes that are read of one at once


class Shot:
    """An exchange as it goes. `run` is a task of its own; to cancel it closes the connection."""

    def __init__(
        self,
        pool: Pool,
        place: Place,
        message: bytes,
        until: float,
        body: http.Slice | bytes = b"",
        on_stream_begun: Callable[[], None] | None = None,
        upload: Upload | None = None,
    ) -> None:
        """`began` is called when a long answer has begun, which then waits for `pass_on`; `upload` went ahead."""
        self._pool = pool
        self._place = place
        self._message = message
        self._body = body
        self._until = until  # on the event loop's clock
        self._timeout = asyncio.timeout_at(until)
        self._on_stream_begun = on_stream_begun
        self._upload = upload
        self._writing: asyncio.Future[None] | None = None
        self._answer_complete = False  # nothing of the answer is left on the connection
        self._reply: asyncio.Future[Reply] | None = None
        self.answer: http.Message | None = None
        self.length: int | None = None  # of the body of a long answer, where it says so
        self.sent_at = 0.0  # when it was handed to the kernel, on the event loop's clock, and
        self.answered_at = (
            0.0  # when the kernel had the answer, of a long one its first bytes; 0 = it has none
        )
        self.end = ConnectionEnd.SEND_CANCELLED  # what it stays if the task is cancelled before it begins

    async def run(self) -> None:
        channel: Channel | None = None
        loop = asyncio.get_running_loop()
        try:
            if loop.time() >= self._until:
                raise TimeoutError  # an idle connection would take the message before any timer runs
            async with self._timeout:
                channel = (
                    self._upload.take_channel() if self._upload else await self._pool.acquire(self._place)
                )
                if channel is None:
                    raise ConnectionEnded(ConnectionEnd.SEND_FAILED)
                await self._write(channel)
                head = await http.read_answer_head(channel)
                body = http.answer_body(channel, head, self._pool.max_answer_bytes)
                begun = await body.read_all(stop_after=_buffer_limit(body.length))
                self.answered_at = loop.time() - channel.ms_since_receive / 1000
                self._answer_complete = body.done
                self.answer = http.message(head, begun)
                self.end = _classify(self.answer)
                if not body.done and self.end is ConnectionEnd.SERVED:
                    self.end, self.length = ConnectionEnd.TIMED_OUT, body.length  # until it is whole
                    await self._stream(channel, body)
        except TimeoutError:
            self.end = ConnectionEnd.TIMED_OUT if self._written else ConnectionEnd.SEND_TIMED_OUT
        except ClientDisconnected:
            self.end = ConnectionEnd.CANCELLED
        except ConnectionEnded as ended:
            self.end = ended.end
        except asyncio.CancelledError:
            self.end = ConnectionEnd.CANCELLED if self._written else ConnectionEnd.SEND_CANCELLED
            raise
        except BaseException:
            # Guards against a fault of our own that would pass for a shot that never ran.
            self.end = ConnectionEnd.CONNECTION_ERROR if self._written else ConnectionEnd.SEND_FAILED
            raise
        finally:
            if channel is not None:
                self._release(channel)

    async def _write(self, channel: Channel) -> None:
        self.sent_at = asyncio.get_running_loop().time()
        if len(self._body) > MAX_JOINED_BODY_BYTES:
            channel.write(self._message)
            self._writing = channel.write(self._body)
        else:
            self._writing = channel.write(self._message + self._body)
        self._writing.add_done_callback(self._pool.on_written)
        try:
            await self._writing
        except OSError:  # what Tornado raises for a closed stream is one
            raise ConnectionEnded(ConnectionEnd.SEND_FAILED) from None
        self._body = b""  # guards against a long one held for as long as its answer takes

    @property
    def latency_ms(self) -> float | None:
        """Ms from handing the shot to the kernel until the kernel had its answer; None if there is none.

        Guards against an event loop that runs late: what waits in our own kernel is no backend's slowness.
        """
        return max(0.0, self.answered_at - self.sent_at) * 1000 if self.answered_at else None

    def stream_to(self, reply: Reply) -> bool:
        """Where a long answer that has begun goes to; false if the shot has ended meanwhile: nothing of it will come.

        From here on its time is over by no timer. Guards against one that runs out on the way to the task, and would
        take an answer for broken of which the client has not had a byte.
        """
        if self._reply is None or self._reply.done():
            return False
        self._timeout.reschedule(None)
        self._reply.set_result(reply)
        return True

    async def _stream(self, channel: Channel, body: http.Body) -> None:
        """Hand an answer on as it comes; it belongs to the client now, and its time is that of its first bytes."""
        assert self.answer is not None
        if self._on_stream_begun is None:
            raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
        self._reply = asyncio.get_running_loop().create_future()
        self._on_stream_begun()
        reply = await self._reply
        channel.stall_timeout, stall_timeout = STREAM_STALL_TIMEOUT_S, channel.stall_timeout
        channel.min_buffer = STREAM_BUFFER_BYTES
        pieces = [self.answer.body] if len(self.answer.body) else []
        while True:
            for piece in pieces:
                await reply.write(piece)
            if body.done:
                break
            # Guards against two fast sides that would hold up everybody else's API calls.
            await asyncio.sleep(0)
            await body.wait_more()
            pieces = body.take_available()
        await reply.end()
        channel.stall_timeout, channel.min_buffer = stall_timeout, INITIAL_BUFFER_BYTES
        self._answer_complete, self.end = True, ConnectionEnd.SERVED

    @property
    def _written(self) -> bool:
        """If the last byte was written: from then on the shot may run.

        Asked of the write itself, and not noted after it: a task may be cancelled between the two.
        """
        writing = self._writing
        return bool(writing and writing.done() and not writing.cancelled() and not writing.exception())

    def _release(self, channel: Channel) -> None:
        # A connection with a half-read answer, or with more than one, is never used again.
        if self._answer_complete and self.answer is not None and self.answer.keeps and not channel.has_input:
            self._pool.release(channel, self._place)
        else:
            self._pool.discard(channel, self.end)


def _buffer_limit(length: int | None) -> float:
    """How much of an answer is waited for before it is passed on."""
    if length is None:
        return MAX_BUFFERED_BYTES_UNKNOWN_LENGTH
    return inf if length <= MAX_BUFFERED_BYTES else 0


def _classify(answer: http.Message) -> ConnectionEnd:
    if answer.status == protocol.SERVED:
        return ConnectionEnd.SERVED
    if answer.status in protocol.REJECTED_STATUSES and answer.header(protocol.DECLINED) == b"1":
        return ConnectionEnd.REJECTED
    return ConnectionEnd.ERROR_STATUS


def read_load(text: bytes | None) -> Load | None:
    """A load report, such as `inflight=7,queue=2`; None if there is none that can be read or believed."""
    figures: dict[str, float] = {}
    for part in (text or b"").decode("latin-1").split(","):
        name, _, value = part.strip().partition("=")
        name_here = protocol.LOAD_FIELDS.get(name)
        if name_here:
            try:
                figures[name_here] = float(value)
            except ValueError:
                return None
    return Load(**figures) if figures and is_plausible_load(figures.values()) else None
