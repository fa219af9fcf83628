"""Plain types that the decision module and its fronts share. Nothing here decides anything."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """What a product allows once a shot may have run."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    NON_IDEMPOTENT = "non-idempotent"


class DedupScope(Enum):
    """Which backends drop each other's repeats of a deduplicated API call."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptEnd(Enum):
    """How a shot ended."""

    FULFILLED = "fulfilled"
    ERRORED = "errored"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"  # unreachable, and known to be so for want of a process that listens
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


# Endings that prove that the backend never ran the shot.
NEVER_RAN = frozenset({AttemptEnd.REJECTED, AttemptEnd.UNREACHABLE, AttemptEnd.REFUSED, AttemptEnd.UNSENT})


class ListState(Enum):
    """What the directory says of a backend."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class UpdateKind(Enum):
    """What a piece of directory news holds."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True)
class Product:
    name: str
    slo: float  # ms; 0 = none given
    timeout: float  # ms, for all tries of a client together
    billed_value: float
    kind: Idempotency
    group: DedupScope = DedupScope.ALL
    memory: float = 0.0  # ms for which a repeat of a deduplicated API call is dropped
    late_value: float = 0.0  # part of the billed value that an answer past the SLO still earns
    slo_stretch: float = 0.0  # the SLO grows by this many times the work
    streamed: bool = False


@dataclass(frozen=True)
class Customer:
    name: str
    fraction: float = 0.0  # of the service
    quota_per_s: float = 0.0


@dataclass(frozen=True)
class Rules:
    drain_grace: float
    fall_multiple: float
    fall: float
    start_capacity: float
    cold: float
    ask_within: float = 0.0
    answer_slack: float = 0.0


@dataclass(frozen=True)
class Limits:
    max_attempts: int
    allow_hedging: bool = False
    may_cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    connection_idle: float = 0.0  # a backend closes a connection that stood idle for so long; 0 = unknown


@dataclass(frozen=True)
class Settings:
    products: tuple[Product, ...]
    rules: Rules
    limits: Limits
    customers: tuple[Customer, ...] = ()
    agents: int = 1
    me: int = 0
    zone: int = 0
    zones: tuple[str, ...] = ()  # their names, in the order of their numbers
    must_ask: bool = True  # the directory speaks only when asked
    over_share_value: float = 1.0
    value_by_work: bool = False
    live_weights: bool = False  # the list's sizes fall with what each backend holds: size / (1 + held a core)
    load_fields: tuple[str, ...] = ()
    load_on_answers: bool = False
    warm_keys: bool = False  # a backend does less work for a key that its cell met lately
    step: float = 1.0

    @property
    def longest_wait(self) -> float:
        """The longest client timeout, in ms."""
        return max(p.timeout for p in self.products)


@dataclass(frozen=True)
class Listing:
    """One backend as the directory lists it."""

    backend: int
    state: ListState
    boot_time: float = 0.0  # 0 = long ago
    size: float = 1.0
    zone: int = 0
    cell: int = 0
    name: int = 0  # what all agents know it by, while `backend` is this agent's own index


@dataclass(frozen=True)
class NewCall:
    """One API call as it arrives."""

    token: Hashable  # the front's own name for it; comes back through the port
    product: int
    until: float  # when the client stops waiting for this try
    customer: int = 0
    key: int | None = None
    cost: float | None = None  # ms of work on a standard core, roughly
    is_retry: bool = False  # the client says that this is a repeat
    write: bool = False
    pinned_to: int | None = None  # it went ahead to this backend, and can have one shot, there


@dataclass(frozen=True)
class Load:
    """A backend's own report; a figure that it does not give is None."""

    in_flight: float | None = None
    waiting: float | None = None
    busy: float | None = None
    latency: float | None = None
    calls_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True)
class BackendSnapshot:
    """What an agent has learnt of one backend process and another agent may start with."""

    name: int  # as in `Listing`
    boot_time: float
    weight: float  # its size in the list, where weights move at their highest
    latencies_ms: tuple[float | None, ...]  # smoothed latency per SLO; None = unsampled
    failure_rate: float  # smoothed share of spoilt shots


@dataclass(frozen=True)
class PolicySnapshot:
    """What an agent may hand on to the one that takes its place. It says nothing of states, nor of what is out."""

    slos: tuple[float, ...]  # ms, 0 = none given; figures for others mean nothing here
    live_weights: bool  # sizes read in the one way mean nothing in the other
    slo_latencies: tuple[
        tuple[float, float, float, float], ...
    ]  # per SLO: typical, recent, ease and base, in ms
    backends: tuple[BackendSnapshot, ...]


@dataclass(frozen=True)
class SharedEstimates:
    """What agents of one fleet make of what they share, in place of one's own guesses; each figure is bounded where it is made."""

    cost_factors: Mapping[int, float]  # by backend's name: what a turn costs more by others' word; absent: 1
    trial_due: frozenset[int] = frozenset()  # backends that others have met well lately: a trial may come now
    over_share: frozenset[int] | None = (
        None  # customers that ask the fleet for more than their share; None: by own counts
    )
    trials_per_ms: float | None = (
        None  # this agent's part of the fleet's trials, a ms; None: by own API calls alone
    )
    up_since: Mapping[int, float] = field(
        default_factory=dict
    )  # by name: since when (ms) backends that are cold have stood at least


class Port(Protocol):
    """What the module asks of the front that hosts it."""

    def send(self, token: Hashable, backend: int, until: float) -> None: ...

    def cancel(self, token: Hashable, shot: int) -> None: ...

    def rate_limit(self, token: Hashable, retry_after: float) -> None: ...

    def error(self, token: Hashable) -> None: ...

    def wake(self, at: float, mark: str) -> None: ...

    def directory(self, follow: bool) -> None: ...

    def probe(self, backend: int) -> None: ...

    def peers(self, message: bytes) -> None: ...

    def log(self, text: str) -> None: ...
