"""Client of the directory: keeps the backend list up to date and maps the module's indices to addresses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any
from zlib import crc32

import orjson

from lupinreach.config import REQUIRED, Address, AgentConfig, BadConfig, Section
from lupinreach.model import Listing, ListState, UpdateKind
from lupinreach.net import http, protocol
from lupinreach.net.channel import Channel
from lupinreach.net.clock import Clock
from lupinreach.net.connection_end import ConnectionEnd, ConnectionEnded
from lupinreach.net.counters import Counters
from lupinreach.net.log import Log
from lupinreach.net.pool import Place, Pool, connect
from lupinreach.net.sockets import Sockets
from lupinreach.net.tasks import Tasks

WATCH_TIMEOUT_HEARTBEATS = 3  # heartbeat intervals without a line after which a watch has failed
# Heartbeat intervals until a failed move to a new directory is retried; up to twice that, by agent.
MOVE_RETRY_HEARTBEATS = 1 / 20
REMOVED_RETENTION_TIMEOUTS = 2.0  # longest client timeouts for which a removed backend is kept
MAX_LIST_BYTES = 4 << 20  # of one line of a watch, or of a full list


@dataclass(slots=True)
class Entry:
    """One backend of the list."""

    place: Place
    gone_at: float | None = None


class Directory:
    """Follows the directory, passes updates to the module and holds the address of each backend."""

    def __init__(
        self,
        config: AgentConfig,
        clock: Clock,
        log: Log,
        counters: Counters,
        tasks: Tasks,
        sockets: Sockets,
        pool: Pool,
        on_list: Callable[[UpdateKind, list[Listing], bool], None],
    ) -> None:
        self._seed = config.seed
        self._clock = clock
        self._log = log
        self._counters = counters
        self._tasks = tasks
        self._sockets = sockets
        self._pool = pool
        self._on_list = on_list
        settings = config.settings
        self._zones = {name: number for number, name in enumerate(settings.zones)}
        self._retention_ms = REMOVED_RETENTION_TIMEOUTS * settings.longest_wait
        # With pushed discovery the list is followed without a request of the module.
        self._pushed = not settings.must_ask
        # Of the current list; None: there is no list that changes could be applied to.
        self._version: int | None = None
        self._entries: dict[str, Entry] = {}  # by uid; removed backends stay for `_retention_ms`
        self._by_index: dict[int, Place] = {}  # by index; an index is never reused
        self._next = 0
        self._last_message_at: float | None = None  # time of the last line, heartbeats included
        self.list_received = asyncio.Event()  # set by the first list from the directory
        # Fleet mode: whether the fleet knows of a later version than the given one.
        self.is_stale_version: Callable[[int], bool] | None = None
        self._address = config.directory  # of the current directory
        self._task: asyncio.Task[None] | None = None
        self._moving: asyncio.Task[None] | None = None  # to another directory, until its list has arrived

    def place(self, backend: int) -> Place:
        """The address of a backend, by the module's index."""
        return self._by_index[backend]

    @property
    def version(self) -> int:
        """Version of the current list; 0: there is none."""
        return self._version or 0

    @property
    def listed(self) -> int:
        """Number of backends in the current list, draining ones included."""
        return sum(entry.gone_at is None for entry in self._entries.values())

    @property
    def age(self) -> float | None:
        """Age of the list: ms since the directory's last line; None: none was received yet."""
        return None if self._last_message_at is None else round(self._clock.now() - self._last_message_at, 1)

    # Requests.

    def start(self, known: dict[str, Any]) -> None:
        """Start with the list that this agent last had."""
        if known:
            self._apply(known, "known", UpdateKind.CACHED)
        if self._pushed:
            self.request_list(True)

    def request_list(self, follow: bool) -> None:
        """Request the full list once or, with `follow`, follow the changes from now on."""
        if follow and self._task is not None:
            self._task.cancel()
        task = self._tasks.spawn("directory", self._run_request(follow))
        if follow:
            self._task = task

    def move(self, address: Address) -> None:
        """Follow another directory; the old one is followed until the list of the new one has arrived."""
        if self._moving is not None:
            self._moving.cancel()
            self._moving = None
        if address != self._address:
            self._moving = self._tasks.spawn("directory move", self._move(address))

    async def _move(self, address: Address) -> None:
        failures = 0
        while True:
            try:
                # Two directories count versions independently, so the move starts with a full list.
                self._on_line(await self._fetch_list(address, protocol.WATCH_HEARTBEAT_MS / 1000))
                break
            except (ConnectionEnded, TimeoutError) as failed:
                why, where = (
                    failed.end if isinstance(failed, ConnectionEnded) else ConnectionEnd.TIMED_OUT,
                    "",
                )
            except BadConfig as bad:
                why, where = ConnectionEnd.MALFORMED, str(bad)
            self._failed(why, where)
            # Spread the retries, so that the agents do not all return to a new directory at once.
            failures += 1
            chance = crc32(b"%d:%d" % (self._seed, failures)) / 2**32
            await asyncio.sleep(MOVE_RETRY_HEARTBEATS * protocol.WATCH_HEARTBEAT_MS / 1000 * (1 + chance))
        self._address, self._moving = address, None
        self._log.event("directory moved", discovery=list(address))
        self.request_list(True)

    def _failed(self, why: ConnectionEnd, where: str) -> None:
        self._counters.directory[f"failed: {why.value}"] += 1
        self._log.event("directory failed", why=why.value, where=where)

    async def _run_request(self, follow: bool) -> None:
        where = ""
        try:
            if not follow or self._version is None:
                # After a gap there is no list that changes could be applied to.
                self._on_line(
                    await self._fetch_list(
                        self._address, WATCH_TIMEOUT_HEARTBEATS * protocol.WATCH_HEARTBEAT_MS / 1000
                    )
                )
            if follow:
                await self._watch()
            return
        except (ConnectionEnded, TimeoutError) as failed:
            why = failed.end if isinstance(failed, ConnectionEnded) else ConnectionEnd.TIMED_OUT
        except BadConfig as bad:
            self._version = None
            why, where = ConnectionEnd.MALFORMED, str(bad)
        self._failed(why, where)
        if self._pushed:
            await asyncio.sleep(protocol.WATCH_HEARTBEAT_MS / 1000)
            self.request_list(True)
        else:
            self._on_list(UpdateKind.FAILED, [], False)

    async def _fetch_list(self, address: Address, timeout_s: float) -> http.Slice | bytes:
        """Fetch the text of the full list; raises ConnectionEnded or TimeoutError."""
        async with asyncio.timeout(timeout_s):
            channel = await self._connect(address, protocol.LIST_PATH)
            try:
                answer = await http.read_answer(channel, MAX_LIST_BYTES)
            finally:
                channel.close()
        if answer.status != 200:
            raise ConnectionEnded(ConnectionEnd.ERROR_STATUS)
        return answer.body

    async def _watch(self) -> None:
        """Follow the changes until the watch ends; raises ConnectionEnded."""
        target = protocol.WATCH_PATH + protocol.WATCH_AFTER % (self._version or 0)
        channel = await self._connect(self._address, target)
        silence = WATCH_TIMEOUT_HEARTBEATS * protocol.WATCH_HEARTBEAT_MS / 1000
        try:
            async with asyncio.timeout(silence):
                head = await http.read_head(channel, answer=True)
            if head.start_line[2] != 200 or not head.chunked:
                raise ConnectionEnded(ConnectionEnd.ERROR_STATUS)
            chunks, line = http.ChunkedDecoder(bound=False), bytearray()
            while True:
                pieces, used = chunks.feed(memoryview(channel.buffer)[channel.start : channel.end])
                channel.start += used
                for piece in pieces:
                    *lines, rest = bytes(piece).split(b"\n")
                    for part in lines:
                        self._on_line(line + part)
                        line.clear()
                    line += rest
                if len(line) > MAX_LIST_BYTES:
                    raise ConnectionEnded(ConnectionEnd.TOO_LARGE)
                if chunks.done:
                    break
                async with asyncio.timeout(silence):
                    await channel.fill()
            raise ConnectionEnded(ConnectionEnd.CLOSED_BY_PEER)
        finally:
            channel.close()

    async def _connect(self, address: Address, target: bytes) -> Channel:
        self._counters.directory["called"] += 1
        host = b"%s:%d" % (address[0].encode(), address[1])
        channel = await connect(
            self._sockets,
            address,
            WATCH_TIMEOUT_HEARTBEATS * protocol.WATCH_HEARTBEAT_MS,
            http.MAX_HEAD_BYTES + MAX_LIST_BYTES,
        )
        channel.write(http.request(b"GET", target, (), host))
        return channel

    # Updates.

    def _on_line(self, text: bytes | bytearray | memoryview) -> None:
        self._last_message_at = self._clock.now()
        if not bytes(text).strip():
            return  # a heartbeat
        try:
            raw = orjson.loads(text)
        except orjson.JSONDecodeError:
            raise BadConfig("list: no JSON") from None
        self._apply(raw, "list")

    def _apply(self, raw: Any, what: str, update_kind: UpdateKind | None = None) -> None:
        """Apply a full list or a set of changes, after all of it has been validated."""
        top = Section(raw, what)
        version = top.whole(protocol.VERSION)
        if update_kind is None:
            update_kind = UpdateKind.FULL if top.flag(protocol.FULL_LIST) else UpdateKind.CHANGES
        if update_kind is UpdateKind.CHANGES and self._version is not None and version < self._version:
            raise BadConfig(f"{top.at(protocol.VERSION)}: {version} comes after {self._version}")
        read = [self._entry(e) for e in top.sections(protocol.ENTRIES, REQUIRED)]
        is_stale = (
            update_kind is not UpdateKind.CACHED
            and self.is_stale_version is not None
            and self.is_stale_version(version)
        )
        if is_stale and update_kind is UpdateKind.FULL:
            # An outdated list may lack newer backends, which must not be removed for that.
            update_kind = UpdateKind.CHANGES
        now, pool = self._clock.now(), self._pool
        for uid, address, listing in read:
            entry = self._entries.get(uid)
            if entry is None:
                entry = self._entries[uid] = Entry(Place(self._next, address))
                self._next += 1
            elif entry.place.address != address:
                pool.disable_keep_alive(entry.place)
                entry.place = Place(entry.place.backend, address)
            if listing.state is ListState.READY:
                pool.enable_keep_alive(entry.place)
            else:
                pool.disable_keep_alive(entry.place)
            self._by_index[entry.place.backend] = entry.place
            entry.gone_at = now if listing.state is ListState.REMOVED else None
        if update_kind is not UpdateKind.CHANGES:
            named = {uid for uid, _, _ in read}
            for uid, entry in self._entries.items():
                if uid not in named and entry.gone_at is None:
                    entry.gone_at = now
                    pool.disable_keep_alive(entry.place)
        self._version = version
        self._counters.directory[f"news: {update_kind.name.lower()}"] += 1
        listings = [replace(listing, backend=self._entries[uid].place.backend) for uid, _, listing in read]
        self._on_list(update_kind, listings, is_stale)
        if update_kind is not UpdateKind.CACHED:
            self.list_received.set()
        for uid, entry in list(self._entries.items()):
            if entry.gone_at is not None and now > entry.gone_at + self._retention_ms:
                del self._entries[uid], self._by_index[entry.place.backend]

    def _entry(self, raw: Section) -> tuple[str, Address, Listing]:
        uid, address = raw.text(protocol.UID), raw.address(protocol.ENDPOINT)
        zone = raw.text(protocol.ZONE, "")
        state = raw.choice(protocol.STATE, protocol.STATES)
        size, boot_time = raw.number(protocol.SIZE, 1.0), raw.number(protocol.BOOT_TIME, 0.0)
        cell = raw.whole(protocol.CELL, 0)
        # A zone that the settings do not name gets a number from its name, so that all agents agree on it.
        number = self._zones.get(zone, len(self._zones) + crc32(zone.encode()))
        return uid, address, Listing(-1, state, boot_time, size, number, cell, crc32(uid.encode()))
