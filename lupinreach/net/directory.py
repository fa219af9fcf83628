"""The directory: the list of backends, by watch or by call, and what each index of the module stands for."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any
from zlib import crc32

import orjson

from lupinreach.config import NEEDED, Address, AgentConfig, BadConfig, Section
from lupinreach.model import Listing, ListState, UpdateKind
from lupinreach.net import http, protocol
from lupinreach.net.channel import Channel
from lupinreach.net.clock import Clock
from lupinreach.net.counters import Counters
from lupinreach.net.ends import End, Ended
from lupinreach.net.log import Log
from lupinreach.net.pool import Place, Pool, connect
from lupinreach.net.sockets import Sockets
from lupinreach.net.tasks import Tasks

SILENT_BEATS = 3  # so many beats without a line, and the watch has failed
MOVE_AGAIN = 1 / 20  # x beat: a new directory that fails is asked again after that, or up to twice as long
KEPT = 2.0  # x longest client timeout: how long a backend that is gone is remembered
MOST_LIST = 4 << 20  # bytes of one line, or of a whole list


@dataclass(slots=True)
class Entry:
    """One backend as the list names it."""

    place: Place
    gone_at: float | None = None


class Directory:
    """Follows the directory and tells the module; holds the address of each backend."""

    def __init__(
        self,
        config: AgentConfig,
        clock: Clock,
        log: Log,
        counters: Counters,
        tasks: Tasks,
        sockets: Sockets,
        pool: Pool,
        listed: Callable[[UpdateKind, list[Listing], bool], None],
    ) -> None:
        self._seed = config.seed
        self._clock = clock
        self._log = log
        self._counters = counters
        self._tasks = tasks
        self._sockets = sockets
        self._pool = pool
        self._listed = listed
        settings = config.settings
        self._zones = {name: number for number, name in enumerate(settings.zones)}
        self._keep = KEPT * settings.longest_wait
        # Where the settings say that changes come unasked, the module asks for none.
        self._by_itself = not settings.must_ask
        self._version: int | None = None  # of the list as held; None: no list to add changes to
        self._entries: dict[str, Entry] = {}  # by uid; emptied some time after a backend is gone
        self._by_index: dict[int, Place] = {}  # the same by index; an index is never used again
        self._next = 0
        self._heard_at: float | None = None  # when the directory last said anything, a beat included
        self.heard = asyncio.Event()  # it has told its list at least once
        # If what speaks with this version is older than what is known of it; without a fleet nothing is.
        self.older: Callable[[int], bool] | None = None
        self._home = config.directory  # the address of the directory that is followed
        self._task: asyncio.Task[None] | None = None
        self._moving: asyncio.Task[None] | None = None  # to another directory, until its list has come

    def place(self, backend: int) -> Place:
        return self._by_index[backend]

    @property
    def version(self) -> int:
        """Of the list as held; 0: there is none."""
        return self._version or 0

    @property
    def listed(self) -> int:
        """Backends in the list as it stands, draining ones too."""
        return sum(entry.gone_at is None for entry in self._entries.values())

    @property
    def age(self) -> float | None:
        """Ms since the directory last said anything, and so the age of the list; None: it has not since the start."""
        return None if self._heard_at is None else round(self._clock.now() - self._heard_at, 1)

    # Asking.

    def start(self, known: dict[str, Any]) -> None:
        """Begin with the list as this agent last had it."""
        if known:
            self._take_in(known, "known", UpdateKind.CACHED)
        if self._by_itself:
            self.ask(True)

    def ask(self, follow: bool) -> None:
        """A call of the module's: the changes from now on, or the full list once."""
        if follow and self._task is not None:
            self._task.cancel()
        task = self._tasks.spawn("directory", self._call(follow))
        if follow:
            self._task = task

    def move(self, address: Address) -> None:
        """Follow another directory. The old one counts until the list of the new one has come."""
        if self._moving is not None:
            self._moving.cancel()
            self._moving = None
        if address != self._home:
            self._moving = self._tasks.spawn("directory move", self._move(address))

    async def _move(self, address: Address) -> None:
        tries = 0
        while True:
            try:
                # Guards against versions that two directories count each for itself: a whole list has no past.
                self._line(await self._list(address, protocol.BEAT / 1000))
                break
            except (Ended, TimeoutError) as failed:
                why, where = failed.end if isinstance(failed, Ended) else End.SILENT, ""
            except BadConfig as bad:
                why, where = End.MALFORMED, str(bad)
            self._failed(why, where)
            # Guards against agents that all come back to a new directory at once.
            tries += 1
            chance = crc32(b"%d:%d" % (self._seed, tries)) / 2**32
            await asyncio.sleep(MOVE_AGAIN * protocol.BEAT / 1000 * (1 + chance))
        self._home, self._moving = address, None
        self._log.event("directory moved", discovery=list(address))
        self.ask(True)

    def _failed(self, why: End, where: str) -> None:
        self._counters.directory[f"failed: {why.value}"] += 1
        self._log.event("directory failed", why=why.value, where=where)

    async def _call(self, follow: bool) -> None:
        where = ""
        try:
            if not follow or self._version is None:
                # After a gap there is nothing that changes could be added to.
                self._line(await self._list(self._home, SILENT_BEATS * protocol.BEAT / 1000))
            if follow:
                await self._watch()
            return
        except (Ended, TimeoutError) as failed:
            why = failed.end if isinstance(failed, Ended) else End.SILENT
        except BadConfig as bad:
            self._version = None
            why, where = End.MALFORMED, str(bad)
        self._failed(why, where)
        if self._by_itself:
            await asyncio.sleep(protocol.BEAT / 1000)
            self.ask(True)
        else:
            self._listed(UpdateKind.FAILED, [], False)

    async def _list(self, address: Address, within: float) -> http.Slice | bytes:
        """The text of the whole list, in so many s."""
        async with asyncio.timeout(within):
            channel = await self._send(address, protocol.LIST_PATH)
            try:
                answer = await http.read_answer(channel, MOST_LIST)
            finally:
                channel.close()
        if answer.status != 200:
            raise Ended(End.FAULT)
        return answer.body

    async def _watch(self) -> None:
        """Follow the changes until the watch ends."""
        target = protocol.WATCH_PATH + protocol.WATCH_AFTER % (self._version or 0)
        channel = await self._send(self._home, target)
        silence = SILENT_BEATS * protocol.BEAT / 1000
        try:
            async with asyncio.timeout(silence):
                head = await http.read_head(channel, answer=True)
            if head.start_line[2] != 200 or not head.chunked:
                raise Ended(End.FAULT)
            chunks, line = http.ChunkedDecoder(bound=False), bytearray()
            while True:
                pieces, used = chunks.feed(memoryview(channel.buffer)[channel.start : channel.end])
                channel.start += used
                for piece in pieces:
                    *whole, rest = bytes(piece).split(b"\n")
                    for part in whole:
                        self._line(line + part)
                        line.clear()
                    line += rest
                if len(line) > MOST_LIST:
                    raise Ended(End.TOO_LARGE)
                if chunks.done:
                    break
                async with asyncio.timeout(silence):
                    await channel.fill()
            raise Ended(End.LEFT)
        finally:
            channel.close()

    async def _send(self, address: Address, target: bytes) -> Channel:
        self._counters.directory["called"] += 1
        host = b"%s:%d" % (address[0].encode(), address[1])
        channel = await connect(
            self._sockets, address, SILENT_BEATS * protocol.BEAT, http.MAX_HEAD_BYTES + MOST_LIST
        )
        channel.write(http.request(b"GET", target, (), host))
        return channel

    # Taking in.

    def _line(self, text: bytes | bytearray | memoryview) -> None:
        self._heard_at = self._clock.now()
        if not bytes(text).strip():
            return  # a beat
        try:
            raw = orjson.loads(text)
        except orjson.JSONDecodeError:
            raise BadConfig("list: no JSON") from None
        self._take_in(raw, "list")

    def _take_in(self, raw: Any, what: str, news: UpdateKind | None = None) -> None:
        """One list or set of changes: read whole before any of it counts."""
        top = Section(raw, what)
        version = top.whole(protocol.VERSION)
        if news is None:
            news = UpdateKind.FULL if top.flag(protocol.WHOLE) else UpdateKind.CHANGES
        if news is UpdateKind.CHANGES and self._version is not None and version < self._version:
            raise BadConfig(f"{top.at(protocol.VERSION)}: {version} comes after {self._version}")
        read = [self._entry(e) for e in top.sections(protocol.ENTRIES, NEEDED)]
        older = news is not UpdateKind.CACHED and self.older is not None and self.older(version)
        if older and news is UpdateKind.FULL:
            news = (
                UpdateKind.CHANGES
            )  # guards against backends that are given up since an old list doesn't name them yet
        now, pool = self._clock.now(), self._pool
        for uid, address, listing in read:
            entry = self._entries.get(uid)
            if entry is None:
                entry = self._entries[uid] = Entry(Place(self._next, address))
                self._next += 1
            elif entry.place.address != address:
                pool.forget(entry.place)
                entry.place = Place(entry.place.backend, address)
            if listing.state is ListState.READY:
                pool.keep(entry.place)
            else:
                pool.forget(entry.place)
            self._by_index[entry.place.backend] = entry.place
            entry.gone_at = now if listing.state is ListState.REMOVED else None
        if news is not UpdateKind.CHANGES:
            named = {uid for uid, _, _ in read}
            for uid, entry in self._entries.items():
                if uid not in named and entry.gone_at is None:
                    entry.gone_at = now
                    pool.forget(entry.place)
        self._version = version
        self._counters.directory[f"news: {news.name.lower()}"] += 1
        listings = [replace(listing, backend=self._entries[uid].place.backend) for uid, _, listing in read]
        self._listed(news, listings, older)
        if news is not UpdateKind.CACHED:
            self.heard.set()
        for uid, entry in list(self._entries.items()):
            if entry.gone_at is not None and now > entry.gone_at + self._keep:
                del self._entries[uid], self._by_index[entry.place.backend]

    def _entry(self, raw: Section) -> tuple[str, Address, Listing]:
        uid, address = raw.text(protocol.UID), raw.address(protocol.ENDPOINT)
        zone = raw.text(protocol.ZONE, "")
        state = raw.choice(protocol.STATE, protocol.STATES)
        size, boot_time = raw.number(protocol.SIZE, 1.0), raw.number(protocol.BOOT_TIME, 0.0)
        cell = raw.whole(protocol.CELL, 0)
        # A zone that the settings don't name is one of its own. The name is alike at all agents.
        number = self._zones.get(zone, len(self._zones) + crc32(zone.encode()))
        return uid, address, Listing(-1, state, boot_time, size, number, cell, crc32(uid.encode()))
