"""One agent: the decision module and the parts of the network around it, from start to stop."""

from __future__ import annotations

import asyncio
import resource
import traceback
from collections.abc import Coroutine, Mapping
from dataclasses import fields, replace
from typing import Any

from lupinreach.balance import Balancer
from lupinreach.config import AgentConfig, BadConfig, read_agent
from lupinreach.model import Listing, News
from lupinreach.net import protocol
from lupinreach.net.clock import Clock
from lupinreach.net.counters import Counters
from lupinreach.net.directory import Directory
from lupinreach.net.ids import Ids
from lupinreach.net.listener import Listener
from lupinreach.net.log import Log
from lupinreach.net.peers import Peers
from lupinreach.net.pool import Pool
from lupinreach.net.port import AgentPort

OWN_DESCRIPTORS = 12  # standard streams, event loop, listener, directory, datagrams, and a few spare
ANSWER_SHARE = 1 / 64  # of the memory that it may hold: the longest answer that is passed on
GOES_ON = 0.5  # s for which a stopping agent goes on accepting
LAST = 0.1  # s for which what was accepted last may still send its request
OF_A_START = ("directory", "known", "seed")  # parts of the configuration that may differ when it is read again
FAULT_EVERY = 1000.0  # ms between two lines about one kind of fault


class Agent:
    """Owns everything that lives as long as the process."""

    def __init__(self, config: AgentConfig, log: Log | None = None) -> None:
        settings = config.settings
        self.config = config
        self.clock = Clock()
        self.log = log or Log(config.name, self.clock)
        self.counters = Counters()
        self.names = [p.name for p in settings.products]
        self.products = {p.name.encode(): (i, p) for i, p in enumerate(settings.products)}
        self.customers = {c.name.encode(): i for i, c in enumerate(settings.customers)}
        self.longest_wait = max(p.timeout for p in settings.products)
        self.ids = Ids()
        self.stopping = False
        self.changed = asyncio.Event()  # a client has gone, or a task has ended
        self._listed = False
        self._told: dict[str, float] = {}  # when each kind of fault was last logged; the kinds are few
        self._tasks: set[asyncio.Task[Any]] = set()  # each leaves when it ends
        room = _descriptors(config.sockets) - OWN_DESCRIPTORS
        self.listener = Listener(self, room // 2)
        most_answer = max(protocol.MOST_BODY, int(ANSWER_SHARE * config.memory))
        # One for each side of an API call: with fewer to backends, a shot would fail for want of one.
        self.pool = Pool(room // 2, settings.limits.connect_timeout, settings.limits.connection_idle,
                         self.counters, most_answer)
        self.peers = Peers(config.peers, config.peers_all, self.counters, self._heard)
        self.balancer = Balancer(settings, config.seed, AgentPort(self))
        self.directory = Directory(self)

    # From start to stop.

    async def start(self) -> None:
        if self.config.peer_listen is not None and self.config.settings.limits.peers:
            await self.peers.open(self.config.peer_listen)
        self.balancer.start(self.clock.now())
        self.directory.start(self.config.known)
        self.listener.open()
        self.spawn("sweep", self.listener.sweep())
        self.spawn("idle backends", self.pool.sweep())
        self.spawn("ids", self._turn_ids())
        self.log.event("started", listen=list(self.listener.address), sockets=self.config.sockets,
                       loop=type(asyncio.get_running_loop()).__module__)

    @property
    def ready(self) -> bool:
        """If it can serve: it has a list of backends and is to stay."""
        return self._listed and not self.stopping

    async def stop(self) -> None:
        """Not ready from now on; accept for a little while, answer all that was taken, end."""
        self.stopping = True
        self.log.event("stopping", clients=len(self.listener.clients))
        # Idle connections go first, while a client that crosses with that can still open another.
        self.listener.close_idle()
        await asyncio.sleep(GOES_ON)
        self.listener.close()
        await asyncio.sleep(LAST)
        self.listener.close_idle()
        try:
            async with asyncio.timeout(self.longest_wait / 1000):
                while self.listener.clients:
                    self.changed.clear()
                    await self.changed.wait()
                    self.listener.close_idle()
        except TimeoutError:
            pass
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.peers.close()
        self.report("stopped")

    def reload(self, environment: Mapping[str, str]) -> None:
        """Read the configuration again; of what it says, the directory's address takes effect."""
        try:
            fresh = read_agent(environment, again=True)
        except BadConfig as bad:
            # Guards against a file that is wrong or half written: the old configuration stays.
            self.counters.others["reload refused"] += 1
            self.log.event("reload refused", why=str(bad))
            return
        waits = [f.name for f in fields(fresh)
                 if f.name not in OF_A_START and getattr(fresh, f.name) != getattr(self.config, f.name)]
        self.counters.others["reloaded"] += 1
        self.log.event("reloaded", discovery=list(fresh.directory), needs_a_restart=waits)
        self.config = replace(self.config, directory=fresh.directory)
        self.directory.move(fresh.directory)

    def report(self, event: str = "counters") -> None:
        self.log.event(event, clients=len(self.listener.clients), backends=self.pool.open,
                       log_lines_dropped=self.log.dropped, **self.counters.snapshot())

    async def _turn_ids(self) -> None:
        while True:
            await asyncio.sleep(self.longest_wait / 1000)
            self.ids.turn()

    # Tasks and faults.

    def spawn(self, what: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            if not task.cancelled() and (fault := task.exception()) is not None:
                self.fault(what, fault)

        task.add_done_callback(done)
        return task

    def fault(self, what: str, fault: BaseException) -> None:
        """An exception that nobody expected: told, counted, and outlived."""
        self.counters.others[f"fault: {what}"] += 1
        now = self.clock.now()
        if now >= self._told.get(what, 0.0) + FAULT_EVERY:
            # Guards against a fault that comes with each API call and would fill the log.
            self._told[what] = now
            where = traceback.format_exception(fault)[-3:]
            self.log.event("fault", what=what, why=repr(fault), where="".join(where))

    # News for the module that belongs to no API call.

    def listed(self, news: News, entries: list[Listing]) -> None:
        try:
            self.balancer.listed(self.clock.now(), news, entries)
        except Exception as fault:
            self.fault("listed", fault)
        self._listed = self._listed or bool(entries)

    def _heard(self, sender: int, message: bytes) -> None:
        try:
            self.balancer.heard(self.clock.now(), sender, message)
        except Exception as fault:
            self.fault("heard", fault)

    def woke(self, at: float, mark: str) -> None:
        try:
            # Guards against a clock that rounds to just before the time asked for: the module would wait on.
            self.balancer.woke(max(at, self.clock.now()), mark)
        except Exception as fault:
            self.fault("woke", fault)


def _descriptors(most: int) -> int:
    """How many the process may hold: as many as it is told, as far as the system lets it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= most:
        return most
    if hard == resource.RLIM_INFINITY or hard > soft:
        soft = most if hard == resource.RLIM_INFINITY else min(most, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return soft
