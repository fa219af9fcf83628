"""One exchange with a backend: takes a connection, writes the message and reads the answer. Never retries."""

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

MAX_JOINED_BODY_BYTES = 16 << 10  # up to this size the body is written together with the head
# Up to this size an answer is read completely before it is passed on, so that a broken one can be retried.
MAX_BUFFERED_BYTES = 64 << 10
MAX_BUFFERED_BYTES_UNKNOWN_LENGTH = 16 << 10  # the same for answers of unknown length
STREAM_STALL_TIMEOUT_S = 10.0  # without new bytes of a streamed answer
STREAM_BUFFER_BYTES = 64 << 10  # buffer of a streamed answer


class Exchange:
    """An exchange in progress. `run` is executed as a task; cancelling it closes the connection."""

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
        """`on_stream_begun` is called when a long answer has begun, which then waits for `stream_to`.

        `upload`: the request has been forwarded but for its last bytes, which are the `message`.
        """
        self._pool = pool
        self._place = place
        self._message = message
        self._body = body
        self._until = until  # deadline, on the event loop's clock
        self._timeout = asyncio.timeout_at(until)
        self._on_stream_begun = on_stream_begun
        self._upload = upload
        self._writing: asyncio.Future[None] | None = None
        self._answer_complete = False  # the answer was read to its end
        self._reply: asyncio.Future[Reply] | None = None
        self.answer: http.Message | None = None
        self.length: int | None = None  # of the body of a long answer, if known
        # Event loop times at which the message was passed to the kernel, and at which the kernel had the
        # answer or the first bytes of a long one (0: none).
        self.sent_at = 0.0
        self.answered_at = 0.0
        self.end = ConnectionEnd.SEND_CANCELLED  # holds if the task is cancelled before its start

    async def run(self) -> None:
        """Perform the exchange; `end` and `answer` tell the outcome."""
        channel: Channel | None = None
        loop = asyncio.get_running_loop()
        try:
            if loop.time() >= self._until:
                raise TimeoutError  # an idle connection would accept the message before the timer fires
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
                    self.end, self.length = ConnectionEnd.TIMED_OUT, body.length  # until it is complete
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
            # An internal fault must not be taken for an attempt that never ran.
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
        except OSError:  # StreamClosedError is a subclass
            raise ConnectionEnded(ConnectionEnd.SEND_FAILED) from None
        self._body = b""  # a long body must not stay in memory until the answer has arrived

    @property
    def latency_ms(self) -> float | None:
        """Ms from passing the message to the kernel until the kernel had the answer; None without an answer.

        A late event loop on our side must not count as latency of the backend.
        """
        return max(0.0, self.answered_at - self.sent_at) * 1000 if self.answered_at else None

    def stream_to(self, reply: Reply) -> bool:
        """Stream the long answer that has begun to `reply`; false if the exchange has ended meanwhile.

        From here on the deadline no longer applies. It could otherwise pass before the task resumes, and an
        answer of which the client has not received a byte would count as broken.
        """
        if self._reply is None or self._reply.done():
            return False
        self._timeout.reschedule(None)
        self._reply.set_result(reply)
        return True

    async def _stream(self, channel: Channel, body: http.Body) -> None:
        """Pass on the answer while it arrives. The call is committed to it, its latency that of the first bytes."""
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
            # With a fast backend and a fast client no await would block; yield to the other API calls.
            await asyncio.sleep(0)
            await body.wait_more()
            pieces = body.take_available()
        await reply.end()
        channel.stall_timeout, channel.min_buffer = stall_timeout, INITIAL_BUFFER_BYTES
        self._answer_complete, self.end = True, ConnectionEnd.SERVED

    @property
    def _written(self) -> bool:
        """If the last byte was written: from then on the attempt may run.

        Read from the write's future, since the task may be cancelled before the statement after the write.
        """
        writing = self._writing
        return bool(writing and writing.done() and not writing.cancelled() and not writing.exception())

    def _release(self, channel: Channel) -> None:
        # A connection with a partly read answer or with unexpected input is not reused.
        if (
            self._answer_complete
            and self.answer is not None
            and self.answer.keep_alive
            and not channel.has_input
        ):
            self._pool.release(channel, self._place)
        else:
            self._pool.discard(channel, self.end)


def _buffer_limit(length: int | None) -> float:
    """How many bytes of an answer are read before it is passed on."""
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
    """Parse a load report such as `inflight=7,queue=2`; None if it is missing, malformed or implausible."""
    load_values: dict[str, float] = {}
    for part in (text or b"").decode("latin-1").split(","):
        name, _, value = part.strip().partition("=")
        field = protocol.LOAD_FIELDS.get(name)
        if field:
            try:
                load_values[field] = float(value)
            except ValueError:
                return None
    return Load(**load_values) if load_values and is_plausible_load(load_values.values()) else None
