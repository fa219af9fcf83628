"""Plain types shared by the decision module and the fronts that host it."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """Whether a call may be sent again once an attempt may have run."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    NON_IDEMPOTENT = "non-idempotent"


class DedupScope(Enum):
    """The backends that drop each other's repeats of a deduplicated call."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptEnd(Enum):
    """How an attempt ended."""

    FULFILLED = "fulfilled"
    ERRORED = "errored"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"  # unreachable, because no process listens there
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


# Ends that prove that the backend never ran the attempt.
NEVER_RAN = frozenset({AttemptEnd.REJECTED, AttemptEnd.UNREACHABLE, AttemptEnd.REFUSED, AttemptEnd.UNSENT})


class ListState(Enum):
    """The state in which the directory lists a backend."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(Enum):
    """What an update of the backend list holds."""

    CHANGES = 0  # the entries that changed
    FULL = 1  # the whole list
    CACHED = 2  # a whole list kept from before, until the directory answers
    FAILED = 3  # none: the request failed


@dataclass(frozen=True)
class Product:
    """A product: how its calls are served and valued."""

    name: str
    slo: float  # ms; 0 = none given
    timeout: float  # ms, for all tries of a client together
    billed_value: float
    kind: Idempotency
    group: DedupScope = DedupScope.ALL
    memory: float = 0.0  # ms for which backends drop a repeat of a deduplicated call
    late_value: float = 0.0  # share of the billed value that an answer after the SLO earns
    slo_stretch: float = 0.0  # the SLO grows by this many times the work
    streamed: bool = False


@dataclass(frozen=True)
class Customer:
    """A customer and what it may use."""

    name: str
    fraction: float = 0.0  # its share of the service; 0 = none
    quota_per_s: float = 0.0


@dataclass(frozen=True)
class Rules:
    """The rules of the service for drains, overload and cold backends. Times in ms."""

    drain_grace: float  # after a drain begins, until calls must no longer be sent there
    fall_multiple: float  # a backend fails that is sent more than this many times its capacity
    fall: float  # within so much time
    start_capacity: float  # share of its capacity that a backend has when it starts
    cold: float  # from its start until a backend has its whole capacity
    ask_within: float = 0.0  # longest time between requests of the list that an agent may leave
    answer_slack: float = 0.0  # kept before the client's timeout for the answer to arrive


@dataclass(frozen=True)
class Limits:
    """What the front and the agreement with the backends allow. Times in ms."""

    max_attempts: int  # of one call
    allow_hedging: bool = False  # a second attempt beside a pending one
    may_cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False  # rate-limited clients are told when to retry
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    connection_idle: float = 0.0  # idle time after which a backend closes a connection; 0 = unknown


@dataclass(frozen=True)
class Settings:
    """The settings of one agent."""

    products: tuple[Product, ...]
    rules: Rules
    limits: Limits
    customers: tuple[Customer, ...] = ()
    agents: int = 1  # of the fleet
    me: int = 0  # this agent's number
    zone: int = 0
    zones: tuple[str, ...] = ()  # names, by number
    must_ask: bool = True  # the directory does not push its list
    over_share_value: float = 1.0
    value_by_work: bool = False
    live_weights: bool = False  # listed sizes fall with load: size / (1 + calls held per core)
    load_fields: tuple[str, ...] = ()
    load_on_answers: bool = False
    warm_keys: bool = False  # a backend does less work for a key that its cell served lately
    step: float = 1.0

    @property
    def longest_wait(self) -> float:
        """The longest client timeout, in ms."""
        return max(p.timeout for p in self.products)


@dataclass(frozen=True)
class Listing:
    """A backend as the directory lists it."""

    backend: int
    state: ListState
    boot_time: float = 0.0  # ms; 0 = long ago
    size: float = 1.0
    zone: int = 0
    cell: int = 0
    name: int = 0  # the same at all agents, while `backend` is this agent's own index


@dataclass(frozen=True)
class NewCall:
    """An API call as it arrives."""

    token: Hashable  # the front's own identifier, passed back through the port
    product: int
    until: float  # time at which the client stops waiting for this try
    customer: int = 0
    key: int | None = None
    cost: float | None = None  # ms of work on a standard core, roughly
    is_retry: bool = False  # the client marks it as a repeat
    write: bool = False
    pinned_to: int | None = None  # sent ahead to this backend: one attempt, and only there


@dataclass(frozen=True)
class Load:
    """A backend's own load report; a value that it does not give is None."""

    in_flight: float | None = None
    waiting: float | None = None
    busy: float | None = None
    latency: float | None = None
    calls_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True)
class BackendSnapshot:
    """What an agent learnt of a backend process, for the next agent to start from."""

    name: int  # as in `Listing`
    boot_time: float
    weight: float  # listed size; the highest, where it falls with load
    latencies_ms: tuple[float | None, ...]  # smoothed, per SLO; None = unsampled
    failure_rate: float  # smoothed share of attempts that failed by a fault


@dataclass(frozen=True)
class PolicySnapshot:
    """What an agent hands on to its successor: estimates, but no states and no attempts in flight."""

    slos: tuple[float, ...]  # ms, 0 = none given; a snapshot holds for these alone
    live_weights: bool  # as in `Settings`; a snapshot holds for the same value alone
    slo_latencies: tuple[
        tuple[float, float, float, float], ...
    ]  # per SLO: typical, recent, ease and base, in ms
    backends: tuple[BackendSnapshot, ...]


@dataclass(frozen=True)
class SharedEstimates:
    """What an agent derives from the reports of others; every value is bounded where it is derived."""

    cost_factors: Mapping[int, float]  # by backend's name: factor on the cost of a turn; absent: 1
    trial_due: frozenset[int] = frozenset()  # backends that others found healthy lately: try them now
    # Customers that exceed their share of the fleet's calls; None: by this agent's own counts.
    over_share: frozenset[int] | None = None
    trials_per_ms: float | None = None  # this agent's part of the fleet's trials; None: by own calls alone
    # By name: time (ms) since which cold backends have been up at least.
    up_since: Mapping[int, float] = field(default_factory=dict)


class Port(Protocol):
    """What the decision module requires of the front that hosts it."""

    def send(self, token: Hashable, backend: int, until: float) -> None:
        """Send an attempt of the call to the backend; it ends by `until` at the latest."""
        ...

    def cancel(self, token: Hashable, attempt: int) -> None:
        """Cancel an attempt of the call, by its number."""
        ...

    def rate_limit(self, token: Hashable, retry_after: float) -> None:
        """Answer the call as rate-limited, to be retried after so many ms."""
        ...

    def error(self, token: Hashable) -> None:
        """Answer the call with an error."""
        ...

    def wake(self, at: float, mark: str) -> None:
        """Call `on_timer` with the mark at that time."""
        ...

    def directory(self, follow: bool) -> None:
        """Request the backend list; with `follow`, its updates too."""
        ...

    def probe(self, backend: int) -> None:
        """Probe a backend; the outcome comes by `on_probe`."""
        ...

    def peers(self, message: bytes) -> None:
        """Send a message to the other agents."""
        ...

    def log(self, text: str) -> None:
        """Write a line to the log."""
        ...
