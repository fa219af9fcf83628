"""One exchange with a backend: a connection, the message, the answer. Never sends anything again."""

from __future__ import annotations

import asyncio

from lupinreach.model import Load
from lupinreach.net import http, protocol
from lupinreach.net.channel import Channel
from lupinreach.net.ends import End, Ended
from lupinreach.net.pool import Place, Pool

MOST_REPORTED = 1e5  # of anything: more than one address has ports for


class Shot:
    """An exchange as it goes. `run` is a task of its own; to cancel it closes the connection."""

    def __init__(self, pool: Pool, place: Place, message: bytes, until: float) -> None:
        self._pool = pool
        self._place = place
        self._message = message
        self._until = until  # on the event loop's clock
        self._writing: asyncio.Future[None] | None = None
        self.answer: http.Message | None = None
        self.end = End.CALLED_OFF_SENDING  # what it stays if the task is cancelled before it begins

    async def run(self) -> None:
        channel: Channel | None = None
        try:
            if asyncio.get_running_loop().time() >= self._until:
                raise TimeoutError  # an idle connection would take the message before any timer runs
            async with asyncio.timeout_at(self._until):
                channel = await self._pool.take(self._place)
                self._writing = channel.write(self._message)
                self._writing.add_done_callback(self._pool.wrote)
                try:
                    await self._writing
                except OSError:  # what Tornado raises for a closed stream is one
                    raise Ended(End.BROKE_SENDING) from None
                self.answer = await http.read_answer(channel, self._pool.most_answer)
                self.end = _meaning(self.answer)
        except TimeoutError:
            self.end = End.SILENT if self._written else End.LATE_SENDING
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

    @property
    def _written(self) -> bool:
        """If the last byte was written: from then on the shot may run.

        Asked of the write itself, and not noted after it: a task may be cancelled between the two.
        """
        writing = self._writing
        return bool(writing and writing.done() and not writing.cancelled() and not writing.exception())

    def _release(self, channel: Channel) -> None:
        # A connection with a half-read answer, or with more than one, is never used again.
        if self.answer is not None and self.answer.keeps and not channel.spoke:
            self._pool.give_back(channel, self._place)
        else:
            self._pool.discard(channel, self.end)


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
    # Guards against a figure that no backend can have, which would rest it for good and spoil the mean.
    believed = figures and all(0 <= figure <= MOST_REPORTED for figure in figures.values())
    return Load(**figures) if believed else None
