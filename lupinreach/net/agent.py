"""The agent process: connects the decision module with the network I/O and manages start, reload and stop."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import time
from collections.abc import Callable, Mapping
from dataclasses import fields, replace

from lupinreach.balance import Balancer
from lupinreach.config import Address, AgentConfig, BadConfig, read_agent
from lupinreach.model import Listing, Port, Settings, UpdateKind
from lupinreach.net import protocol
from lupinreach.net.body_memory import BodyMemory
from lupinreach.net.clock import Clock
from lupinreach.net.counters import Counters
from lupinreach.net.directory import Directory
from lupinreach.net.listener import Listener
from lupinreach.net.log import Log
from lupinreach.net.peers import Peers
from lupinreach.net.pool import Pool
from lupinreach.net.port import AgentPort
from lupinreach.net.probes import probe
from lupinreach.net.readiness import Readiness
from lupinreach.net.serving import Serving
from lupinreach.net.sockets import Sockets
from lupinreach.net.tasks import Tasks

RESERVED_DESCRIPTORS = 12  # standard streams, event loop, listener, directory, datagrams and a margin
RESERVED_MEMORY_BYTES = 40 << 20  # memory of the process, with its buffers, before it holds any long body
# Of the memory limit, for one long body and for all of them.
MAX_BODY_MEMORY_FRACTION, MAX_TOTAL_BODY_MEMORY_FRACTION = 1 / 32, 1 / 4
UNUSED_IDLE_SLOS = 4.0  # idle time, in longest SLOs, after which connections to unused backends close
COUNTERS_INTERVAL_S = 10.0  # a killed agent leaves the counters of the last interval in its log
ACCEPT_AFTER_STOP_S = 0.5  # how long a stopping agent still accepts connections
PEER_SOCKET_RETRY_S = 0.5  # retry interval while another process holds the address
LAST_REQUEST_GRACE_S = 0.1  # time for the connections accepted last to send a request
# Fields that a reload applies or that only matter at the start.
NOT_COMPARED_ON_RELOAD = ("directory", "known", "seed")

BalancerFactory = Callable[[Settings, int, Port], Balancer]  # (settings, seed, port)


class Agent:
    """Creates and owns all components of the process.

    Clock, log, sockets and the factory of the decision module can be replaced.
    """

    def __init__(
        self,
        config: AgentConfig,
        log: Log | None = None,
        clock: Clock | None = None,
        sockets: Sockets | None = None,
        make_balancer: BalancerFactory = Balancer,
        reserved: int = 0,
    ) -> None:
        """`reserved` is the number of descriptors that other parts of the process use."""
        settings = config.settings
        self.config = config
        self.clock = clock or Clock()
        self.log = log or Log(config.name, self.clock)
        self.counters = Counters()
        self.tasks = Tasks(self.clock, self.log, self.counters)
        self.readiness = Readiness()
        self._sockets = sockets or Sockets()
        available = _descriptor_limit(config.sockets) - RESERVED_DESCRIPTORS - reserved
        # An API call needs a client and a backend connection. With fewer backend connections than client
        # connections, attempts would fail for lack of a descriptor.
        self.pool = Pool(
            available // 2,
            settings.limits.connect_timeout,
            settings.limits.connection_idle,
            self.counters,
            protocol.MAX_BODY_BYTES,
            self._sockets,
        )
        self.peers = Peers(config.peers, config.peers_all, self.counters, self._on_peer_datagram)
        self.directory = Directory(
            config, self.clock, self.log, self.counters, self.tasks, self._sockets, self.pool, self._on_list
        )
        port = AgentPort(
            self.clock,
            self.log,
            settings.limits,
            self.on_timer,
            self.directory.request_list,
            self._probe,
            self.peers.broadcast,
        )
        self.balancer = make_balancer(settings, config.seed, port)
        # Hooks of fleet mode: receive datagrams of peers, report the fleet's state, revise backend lists
        # before the module gets them.
        self.fleet_datagram_handler: Callable[[int, bytes], None] | None = None
        self.fleet_report: Callable[[], dict[str, object]] | None = None
        self.revise_listings: Callable[[UpdateKind, list[Listing], bool], list[Listing]] | None = None
        self.serving = Serving(
            settings,
            self.clock,
            self.counters,
            self.tasks,
            self.readiness,
            self.pool,
            self.directory,
            self.balancer,
            BodyMemory(
                int(MAX_BODY_MEMORY_FRACTION * config.memory),
                max(
                    0,
                    min(
                        int(MAX_TOTAL_BODY_MEMORY_FRACTION * config.memory),
                        config.memory - RESERVED_MEMORY_BYTES,
                    ),
                ),
            ),
        )
        self.listener = Listener(
            self.serving, self._sockets, config.listen, self.log, available // 2, config.inherited
        )

    # Start, reload and stop.

    async def start(self, directory_wait_s: float = 0.0) -> None:
        """Start all parts; accept clients after the directory's first list, or after `directory_wait_s`."""
        if self.config.peer_listen is not None and self.config.settings.limits.peers:
            if self.config.inherited is None:
                await self.peers.open(self._sockets, self.config.peer_listen)
            else:
                self.tasks.spawn("peers", self._open_peers(self.config.peer_listen))
        self.balancer.start(self.clock.now())
        self.directory.start(self.config.known)
        if directory_wait_s:
            # Guards against serving from an outdated list while another process serves from a current one.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(directory_wait_s):
                    await self.directory.list_received.wait()
        self.listener.open()
        self.readiness.accepting = True
        self.tasks.spawn("sweep", self.listener.sweep())
        unused = UNUSED_IDLE_SLOS * max(p.slo for p in self.config.settings.products)
        self.tasks.spawn("idle backends", self.pool.sweep(self.balancer.used_backends, unused))
        self.tasks.spawn("ids", self._rotate_ids())
        self.tasks.spawn("counters", self._report_periodically())
        self.log.event(
            "started",
            listen=list(self.listener.address),
            sockets=self.config.sockets,
            loop=type(asyncio.get_running_loop()).__module__,
        )

    async def stop(self, succeeded: bool = False) -> None:
        """Finish the open calls and stop.

        Unless another process has taken over (`succeeded`), connections are accepted for a short time more.
        """
        self.readiness.succeeded = succeeded
        self.readiness.stopping = True
        self.log.event("stopping", clients=len(self.listener.clients), succeeded=succeeded)
        if succeeded:
            # The other process accepts what waits in the shared queue. Busy connections close with their
            # answer, the idle ones afterwards, when few of them can cross with a request.
            self.listener.close(take_in=False)
            await asyncio.sleep(ACCEPT_AFTER_STOP_S)
        else:
            # Idle connections close first, while a client whose request crosses with the close can still open
            # another one.
            self.listener.close_idle()
            await asyncio.sleep(ACCEPT_AFTER_STOP_S)
            self.listener.close()
        await asyncio.sleep(LAST_REQUEST_GRACE_S)
        self.listener.close_idle()
        try:
            async with asyncio.timeout(self.serving.longest_wait / 1000):
                while self.listener.clients:
                    self.listener.changed.clear()
                    await self.listener.changed.wait()
                    self.listener.close_idle()
        except TimeoutError:
            pass
        await self.tasks.stop()
        self.peers.close()
        self.report("stopped")

    def reload(self, environment: Mapping[str, str]) -> None:
        """Read the configuration again and apply the directory's address; log what needs a restart."""
        try:
            reread = read_agent(environment, reload=True)
        except BadConfig as bad:
            # The file may be wrong or half written: keep the old configuration.
            self.counters.others["reload refused"] += 1
            self.log.event("reload refused", why=str(bad))
            return
        needs_restart = [
            f.name
            for f in fields(reread)
            if f.name not in NOT_COMPARED_ON_RELOAD
            and getattr(reread, f.name) != getattr(self.config, f.name)
        ]
        self.counters.others["reloaded"] += 1
        self.log.event("reloaded", discovery=list(reread.directory), needs_a_restart=needs_restart)
        self.config = replace(self.config, directory=reread.directory)
        self.directory.move(reread.directory)

    def drain(self, on: bool) -> None:
        """Start or end the drain of clients. Idempotent."""
        if on is not (self.readiness.drained_at is not None):
            self.log.event("drain on" if on else "drain off")
        self.readiness.drain(self.clock.now()) if on else self.readiness.resume()

    def report(self, event: str = "counters") -> None:
        """Log all counters."""
        self.log.event(
            event,
            clients=len(self.listener.clients),
            backends=self.pool.open,
            log_lines_dropped=self.log.dropped,
            list_age_ms=self.directory.age,
            cpu_s=time.process_time(),
            module=self.balancer.counts,
            **self.counters.snapshot(),
        )

    async def _open_peers(self, address: Address) -> None:
        """Bind the address for peer datagrams, retrying until the previous process has released it."""
        while True:
            try:
                await self.peers.open(self._sockets, address)
                return
            except OSError:
                self.counters.others["datagrams: address taken"] += 1
                await asyncio.sleep(PEER_SOCKET_RETRY_S)

    async def _report_periodically(self) -> None:
        while True:
            await asyncio.sleep(COUNTERS_INTERVAL_S)
            self.report()

    async def _rotate_ids(self) -> None:
        while True:
            await asyncio.sleep(self.serving.longest_wait / 1000)
            self.serving.ids.rotate()

    # Events for the module that belong to no API call.

    def _on_list(self, update_kind: UpdateKind, entries: list[Listing], is_stale: bool) -> None:
        try:
            if self.revise_listings is not None and update_kind is not UpdateKind.FAILED:
                entries = self.revise_listings(update_kind, entries, is_stale)
            self.balancer.update_backends(self.clock.now(), update_kind, entries)
        except Exception as fault:
            self.tasks.fault("listed", fault)
        self.readiness.listed = self.readiness.listed or bool(entries)

    def _probe(self, backend: int) -> None:
        self.tasks.spawn("probe", probe(self.serving, backend))

    def _on_peer_datagram(self, sender: int, message: bytes) -> None:
        try:
            if self.fleet_datagram_handler is not None:
                self.fleet_datagram_handler(sender, message)
            else:
                self.balancer.on_peer_message(self.clock.now(), sender, message)
        except Exception as fault:
            self.tasks.fault("heard", fault)

    def on_timer(self, at: float, mark: str) -> None:
        """Pass an expired timer to the module."""
        try:
            # Rounding may fire the timer just before its time; with that time the module would keep waiting.
            self.balancer.on_timer(max(at, self.clock.now()), mark)
        except Exception as fault:
            self.tasks.fault("woke", fault)


def _descriptor_limit(limit: int) -> int:
    """Raise the soft limit of open files towards `limit`; returns the number that may be used."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= limit:
        return limit
    if hard == resource.RLIM_INFINITY or hard > soft:
        soft = limit if hard == resource.RLIM_INFINITY else min(limit, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return soft
