"""What the parts that serve API calls share: the agent's own state, and the other parts they go through."""

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
    """Lives as long as the process. A second front gets the same one."""

    settings: Settings
    clock: Clock
    counters: Counters
    tasks: Tasks
    standing: Readiness
    pool: Pool
    directory: Directory
    balancer: Balancer
    body_memory: BodyMemory
    ids: Ids = field(default_factory=Ids)
    # Where ids of what may have run outlive the process: awaited before the module has a non-idempotent API call.
    persist_id: Callable[[bytes], Awaitable[IdPersistence]] | None = None

    # Where agents share what customers ask: hears the customer of each API call that is taken.
    on_call_accepted: Callable[[int], None] | None = None

    def __post_init__(self) -> None:
        self.products = {p.name.encode(): (i, p) for i, p in enumerate(self.settings.products)}
        self.customers = {c.name.encode(): i for i, c in enumerate(self.settings.customers)}
        self.longest_wait = self.settings.longest_wait
