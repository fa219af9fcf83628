"""State and components shared by the parts that serve API calls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from lupinreach.balance import Balancer
from lupinreach.model import Settings
from lupinreach.net.body_memory import BodyMemory
from lupinreach.net.clock import Clock
from lupinreach.net.counters import Counters
from lupinreach.net.directory import Directory
from lupinreach.net.ids import IdPersistence, Ids
from lupinreach.net.pool import Pool
from lupinreach.net.readiness import Readiness
from lupinreach.net.tasks import Tasks


@dataclass
class Serving:
    """One instance per process; a second listener would share it."""

    settings: Settings
    clock: Clock
    counters: Counters
    tasks: Tasks
    readiness: Readiness
    pool: Pool
    directory: Directory
    balancer: Balancer
    body_memory: BodyMemory
    ids: Ids = field(default_factory=Ids)
    # Makes the id of a non-idempotent API call durable; awaited before the module gets the call. None: ids do
    # not outlive the process.
    persist_id: Callable[[bytes], Awaitable[IdPersistence]] | None = None

    # Called with the customer of each accepted API call, where agents share the demand of customers.
    on_call_accepted: Callable[[int], None] | None = None

    def __post_init__(self) -> None:
        self.products = {p.name.encode(): (i, p) for i, p in enumerate(self.settings.products)}
        self.customers = {c.name.encode(): i for i, c in enumerate(self.settings.customers)}
        self.longest_wait = self.settings.longest_wait
