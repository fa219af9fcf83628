"""World files: read from TOML, validated and given defaults; every error names the full path of its key."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import inf
from pathlib import Path
from typing import Any

from lupinreach.config import BadConfig, Section
from lupinreach.model import DedupScope, Idempotency

IDEMPOTENCY_KINDS = {k.value: k for k in Idempotency}
DEDUP_SCOPES = {g.value: g for g in DedupScope}
TRAFFIC_SHAPES = {s: s for s in ("poisson", "bursts", "day")}
HINT_QUALITIES = {h: h for h in ("none", "rough", "good")}
MODES = {m: m for m in ("virtual", "loopback")}
MAX_CALLS = 2_000_000  # per run, since the ledger is kept in memory

# Kinds of trouble: kind of target, then default, minimum and maximum of `strength`. The comments give the effect and
# what `strength` measures.
TROUBLES: dict[str, tuple[str, float, float, float]] = {
    "slow": ("backends", 4.0, 1.0, 1000.0),  # slowdown factor
    "silent": ("backends", 1.0, 0.0, 1.0),  # share of requests that are accepted and never answered
    "fail": ("backends", 0.6, 0.0, 1.0),  # share of requests that are answered with 500 at once
    "crash": ("backends", 0.0, 0.0, 0.0),  # the process dies and restarts cold at the end
    "drain": ("backends", 0.0, 0.0, 0.0),  # announced by the registry; stops at the end and restarts cold
    "replace": ("backends", 0.0, 0.0, 0.0),  # drains, then another instance with a new uid takes its place
    "vanish": ("backends", 0.0, 0.0, 0.0),  # the machine neither sends nor receives; connections stay open
    "stall": ("backends", 0.3, 0.0, 1.0),  # share of answers that stop half-way
    "reset": ("backends", 0.1, 0.0, 1.0),  # share of requests whose connection is reset after their last byte
    "break": ("backends", 0.1, 0.0, 1.0),  # share of requests whose connection is reset before their end
    "latency": ("backends", 50.0, 0.0, 60_000.0),  # added delay in ms, each way
    "narrow": ("backends", 2.0, 0.01, 1e6),  # bandwidth of each connection in bytes per ms, each way
    "apart": ("backends", 0.5, 0.0, 1.0),  # share of agents, drawn at random, that are cut off, both ways
    "apart-one-way": ("backends", 0.5, 0.0, 1.0),  # share of agents that the backend's answers don't reach
    "thief": ("backends", 0.5, 0.0, 0.99),  # share of the cores that another program takes intermittently
    "cut": ("zones", 0.0, 0.0, 0.0),  # traffic between the zone and the others is dropped
    "cut-reset": ("zones", 0.0, 0.0, 0.0),  # as `cut`, but connections between zones are reset or refused
    "loss": ("none", 0.05, 0.0, 1.0),  # share of segments and datagrams that are lost
    "datagrams-doubled": ("none", 0.3, 0.0, 1.0),  # share of datagrams that are delivered twice
    "datagrams-late": ("none", 2000.0, 0.0, 60_000.0),  # ms of delay for the `share` of datagrams
    "surge": ("none", 2.0, 0.0, 100.0),  # factor on the arrival rate
    "costly": ("none", 8.0, 1.0, 1000.0),  # factor on the work of one API call in fifty
    "late-reports": ("backends", 4.0, 1.0, 1000.0),  # factor on the age of load reports
    "restart-agents": ("agents", 0.0, 0.0, 0.0),  # stopped by a signal, restarted at the end
    "kill-agents": ("agents", 0.0, 0.0, 0.0),  # killed, restarted at the end
    "sleep-agents": ("agents", 0.0, 0.0, 0.0),  # the process is suspended and resumes with a stale state
    "deaf-agents": ("agents", 0.0, 0.0, 0.0),  # they receive nothing, except from their own clients
    "dumb-agents": ("agents", 0.0, 0.0, 0.0),  # nothing they send arrives, except at their own clients
    "twin-agents": ("agents", 0.0, 0.0, 0.0),  # a second process runs with its disk and configuration
    "clock-agents": ("agents", 86_400.0, -1e7, 1e7),  # s by which clocks of agents started then are ahead
    "disk-torn": ("agents", 0.5, 0.0, 1.0),  # share of the state file that is left; 0: it is empty
    "disk-lost": ("agents", 0.0, 0.0, 0.0),  # power loss: data that was not synced may be missing or torn
    "disk-older": ("agents", 5.0, 0.0, 1e5),  # the disk is rolled back by so many s
    "disk-other": ("agents", 0.0, 0.0, 0.0),  # the disk is replaced by a copy of the next agent's
    "disk-hangs": ("agents", 0.0, 0.0, 0.0),  # writes block until the end
    "disk-stuck": ("agents", 0.0, 0.0, 0.0),  # writes fail, as on a full or read-only disk
    "drift-agents": ("agents", 0.01, -0.2, 0.2),  # s per s that clocks of agents started then gain
    "busy-agents": ("agents", 50.0, 0.0, 10_000.0),  # ms for which the event loop is blocked, once a second
    "registry-down": ("none", 0.0, 0.0, 0.0),  # the registry refuses and resets connections
    "registry-back": ("none", 0.0, 0.0, 0.0),  # it is down, and restarts at a lower version at the end
    "registry-older": ("none", 10.0, 0.0, 86_400.0),  # it is down, and restarts with a list so many s old
}


class StrictSection(Section):
    """A section that rejects unknown keys."""

    def __init__(self, raw: Any, path: str = "") -> None:
        super().__init__(raw, path)
        self._known_keys: set[str] = set()

    def _get(self, key: str, default: Any) -> Any:
        self._known_keys.add(key)
        return super()._get(key, default)

    def section(self, key: str) -> StrictSection:
        """The table under a key, empty if it is missing."""
        return StrictSection(self.mapping(key), self.at(key))

    def sections(self, key: str, default: Any = ()) -> list[StrictSection]:  # type: ignore[override]
        """The array of tables under a key."""
        return [StrictSection(raw, f"{self.at(key)}[{i}]") for i, raw in enumerate(self.items(key, default))]

    def span(self, key: str, default: tuple[float, float], low: float = 0.0, high: float = inf) -> Range:
        """A number, or a range [least, most] from which each instance draws its value."""
        value = self._get(key, None)
        if value is None:
            return Range(*default)
        if not isinstance(value, list):
            number = self.number(key, low=low, high=high)
            return Range(number, number)
        if len(value) != 2:
            raise BadConfig(f"{self.at(key)}: must be a number or [least, most]")
        inner = Section({str(i): v for i, v in enumerate(value)}, self.at(key))
        least, most = inner.number("0", low=low, high=high), inner.number("1", low=low, high=high)
        if least > most:
            raise BadConfig(f"{self.at(key)}: {least!r} is above {most!r}")
        return Range(least, most)

    def reject_unknown_keys(self) -> None:
        """Raises BadConfig for the first key that was never read."""
        for key in self._raw:
            if key not in self._known_keys:
                raise BadConfig(f"{self.at(key)}: unknown key")


@dataclass(frozen=True)
class Range:
    """A closed range of numbers."""

    least: float
    most: float

    def at(self, share: float) -> float:
        """The value at a share in [0, 1] of the way from `least` to `most`."""
        return self.least + (self.most - self.least) * share


@dataclass(frozen=True)
class BackendKind:
    """A group of like backends."""

    name: str
    count: int
    cores: int
    speed: Range  # of a core; at 1 it does 1 ms of work per ms
    zones: tuple[int, ...]  # empty: round-robin over all zones


@dataclass(frozen=True)
class ProductSpec:
    """A product: its retry semantics, latency SLO, value and work."""

    name: str
    kind: Idempotency
    group: DedupScope
    slo: float  # ms
    timeout: float  # ms that clients wait in all
    value: float  # billed per ms of work, if answered within the SLO
    late_value: float  # share of the value of a later answer
    memory: float  # ms for which backends recognise duplicates
    share: float  # weight among the calls
    work: float  # mean, in ms on a standard core
    spread: float  # standard deviation of the work / mean


@dataclass(frozen=True)
class CustomerSpec:
    """A customer and its share of the calls."""

    name: str
    share: float


@dataclass(frozen=True)
class Traffic:
    """The arrivals of API calls."""

    calls_per_s: float
    shape: str
    swing: float  # share by which a daily curve or a burst deviates from the mean
    period: float  # ms of one wave, or between bursts
    keys: int  # number of distinct cache keys; 0: no keys
    key_zipf: float  # Zipf exponent of the keys' popularity
    hints: str  # quality of the clients' estimates of the work
    agent_zipf: float  # Zipf exponent of the traffic per agent


@dataclass(frozen=True)
class ClientSpec:
    """How clients wait and retry."""

    retries: int
    wait: float  # ms before a retry
    try_share: float  # timeout of one request, as a share of the product's timeout
    honours: bool  # waits for as long as Retry-After says
    marks: bool  # sends Req-Retry with retries
    connections: int  # largest number of idle connections to its agent
    replays: bool  # resends a request whose connection broke, under the same id, as some client libraries do


@dataclass(frozen=True)
class BackendSpec:
    """The behaviour that all backends share."""

    queue: int  # places per core; further requests are rejected
    choke_at: float  # queue length per core that chokes a backend if it lasts
    choke_after: float  # ms for which the queue must be that long
    choke_slower: float  # slowdown factor of a choked backend; 1: never chokes
    choke_idle: float  # ms at half load or less after which a choked backend recovers
    connection_cost: float  # ms of work for a new connection
    connections: int  # beyond this number, requests on new connections are rejected
    idle: Range  # ms after which an idle connection is closed
    report_every: Range  # ms between load reports
    cancel_stops: bool  # cancelling a running request stops its work
    quick: float  # ms of work for a duplicate that is dropped
    warm_saves: float  # share of the work that a recently used key saves
    warm_for: float  # ms for which a key counts as recently used
    cell_size: int  # backends that share the memory of duplicates and keys


@dataclass(frozen=True)
class RegistrySpec:
    """The delays and capacity of the registry."""

    lag: Range  # ms until the registry learns of a change that is announced to it
    silent_lag: Range  # ms until it learns of a backend that died
    ask: bool  # agents discover backends on request; otherwise changes are pushed
    restart_version: int  # list version after the trouble `registry-back`
    call_cost: float  # ms that the registry takes to handle a request; it handles them one at a time
    call_wait: float  # ms of queueing after which a request is rejected; it still takes its time in the queue


@dataclass(frozen=True)
class NetworkSpec:
    """Delays and loss of the network."""

    same: float  # one-way ms within a zone
    cross: float  # one-way ms between zones
    jitter: float  # largest added share of a delay
    loss: float  # share of segments and datagrams


@dataclass(frozen=True)
class RuleSpec:
    """The invariants that agents must keep; see `check`."""

    drain_grace: float  # ms in which a backend that was reported as not ready may still be sent requests
    fall_multiple: float  # load, as a multiple of the present capacity, that crashes a cold backend
    fall: float  # ms over which that load is measured
    start_capacity: float  # share of the warm capacity right after a cold start
    cold: float  # ms until a backend is warm
    ask_within: float  # longest ms between two requests of an agent for the backend list
    answer_slack: float  # ms that an agent needs between its deadline and the client's timeout


@dataclass(frozen=True)
class LimitSpec:
    """What agents are allowed to do."""

    shots: int  # attempts per request
    copies: bool  # hedged attempts
    cancel: bool  # cancelling attempts
    probes: bool
    peers: bool  # datagrams between agents
    retry_after: bool
    max_retry_after: float  # ms
    connect_timeout: float  # ms
    reports: tuple[str, ...]  # fields of the backends' load reports that agents read


@dataclass(frozen=True)
class Trouble:
    """A fault that is injected into a run for some time."""

    kind: str
    at: float  # ms
    length: float  # ms
    share: float  # of the possible targets, where none are named
    targets: tuple[int, ...]
    strength: float

    @property
    def target_kind(self) -> str:
        """One of "backends", "agents", "zones" and "none"."""
        return TROUBLES[self.kind][0]


@dataclass(frozen=True)
class World:
    """Everything that determines a run, except for its random seed."""

    name: str
    length: float  # ms of arrivals
    seeds: tuple[int, ...]
    mode: str
    policy: str
    fault: str  # a bug planted in the agent; empty for none
    carry: float  # s for which an agent's carried state stays usable after a restart; 0: no state is carried
    store: bool  # agents have a store on disk
    ran: bool  # they sync the ids of non-idempotent requests to it before sending them
    in_touch: bool  # agents know of each other
    share: float  # ms between two messages about shared state; 0: nothing is shared
    agents: int
    zones: tuple[str, ...]
    sockets: int
    backends: tuple[BackendKind, ...]
    products: tuple[ProductSpec, ...]
    customers: tuple[CustomerSpec, ...]
    traffic: Traffic
    clients: ClientSpec
    backend: BackendSpec
    registry: RegistrySpec
    network: NetworkSpec
    rules: RuleSpec
    limits: LimitSpec
    troubles: tuple[Trouble, ...]
    measure: tuple[str, ...] = ()

    @property
    def backend_count(self) -> int:
        """Number of backends of all kinds."""
        return sum(kind.count for kind in self.backends)

    def settings(self, agent: int) -> dict[str, Any]:
        """The settings of one agent, in the form of its configuration file."""
        semantics = {
            Idempotency.IDEMPOTENT: "repeatable",
            Idempotency.DEDUPLICATED: "by_key",
            Idempotency.NON_IDEMPOTENT: "once",
        }
        rules, limits = self.rules, self.limits
        return {
            "categories": [
                {
                    "name": p.name,
                    "semantics": semantics[p.kind],
                    "group": p.group.value,
                    "aim": p.slo,
                    "give_up": p.timeout,
                    "credit": p.value,
                    "late_worth": p.late_value,
                    "memory_span": p.memory,
                }
                for p in self.products
            ],
            "accounts": [{"name": c.name, "fraction": c.share} for c in self.customers],
            "ceilings": {
                "max_attempts": limits.shots,
                "second_copies": limits.copies,
                "may_cancel": limits.cancel,
                "probes": limits.probes,
                "peer_messages": limits.peers,
                "retry_after": limits.retry_after,
                "max_retry_after": limits.max_retry_after,
                "connect_timeout": limits.connect_timeout,
                "conn_idle": self.backend.idle.least,
            },
            "invariants": {
                "drain_grace": rules.drain_grace,
                "fall_multiple": rules.fall_multiple,
                "fall": rules.fall,
                "start_capacity": rules.start_capacity,
                "cold": rules.cold,
                "ask_within": rules.ask_within,
                "answer_slack": rules.answer_slack,
            },
            "report": {"fields": list(limits.reports), "how": "inline" if limits.reports else "off"},
            "family_info": {"warm_keys": self.backend.warm_saves > 0},
            "discovery": "on_request" if self.registry.ask else "pushed",
            "fleet_size": self.agents,
            "me": agent,
            "locality": agent % len(self.zones),
            "zones": list(self.zones),
            "counted_by": "work",
        }


WORLDS_DIR = Path(__file__).parent / "worlds"


def read_file(path: str | Path) -> World:
    """Reads a world from a TOML file, or one of the bundled worlds by name. Raises BadConfig with the key's path."""
    return read(load(Path(path)))


def load(path: Path, folders: tuple[Path, ...] = (WORLDS_DIR,), depth: int = 0) -> dict[str, Any]:
    """The tables of a TOML file, merged into those of its `base`. Names without a suffix are looked up in `folders`."""
    own = [folder / f"{path}.toml" for folder in folders if (folder / f"{path}.toml").is_file()]
    if not path.suffix and not path.exists() and own:
        path = own[0]
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise BadConfig(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise BadConfig(f"{path}: not UTF-8") from None
    except tomllib.TOMLDecodeError as error:
        raise BadConfig(f"{path}: no TOML: {error}") from None
    base = raw.pop("base", None)
    if base is None:
        return raw
    if not isinstance(base, str) or depth > 3:
        raise BadConfig("base: must be the name of a world or a file, and not go in a circle")
    base_path = path.parent / base
    return _merge(
        load(base_path if base_path.suffix and base_path.exists() else Path(base), folders, depth + 1), raw
    )


def _merge(inherited: dict[str, Any], overriding: dict[str, Any]) -> dict[str, Any]:
    """Merges tables key by key; any other value is replaced."""
    merged = dict(inherited)
    for key, value in overriding.items():
        old = merged.get(key)
        merged[key] = _merge(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return merged


def read(raw: Mapping[str, Any]) -> World:
    """Builds a world from its tables. Raises BadConfig with the path of the key."""
    from lupinreach.bed.ways.faults import FAULTS
    from lupinreach.bed.ways.policies import POLICIES

    top = StrictSection(dict(raw))
    zones = tuple(top.texts("zones")) or ("here",)
    agents = top.section("agents")
    products = tuple(_product(s) for s in top.sections("products", [{"name": "look"}]))
    customers = tuple(_customer(s) for s in top.sections("customers"))
    kinds = tuple(_kind(s, zones) for s in top.sections("backends", [{}]))
    seeds = top.items("seeds", [1])
    for i, seed in enumerate(seeds):
        if isinstance(seed, bool) or not isinstance(seed, int) or seed < 0:
            raise BadConfig(f"seeds[{i}]: {seed!r} is no whole number")
    measure = tuple(top.texts("measure"))
    for i, name in enumerate(measure):
        if name not in MEASURES:
            raise BadConfig(f"measure[{i}]: unknown {name!r}; known are {', '.join(MEASURES)}")
    rules = _rules(top.section("rules"))
    world = World(
        name=top.text("name", "world"),
        length=top.number("seconds", 20.0, low=0.1, high=86_400.0) * 1000,
        seeds=tuple(seeds) or (1,),
        mode=top.choice("mode", MODES, "virtual"),
        policy=top.choice("policy", {name: name for name in POLICIES}, "lupinreach"),
        fault=top.choice("fault", {"": "", **{name: name for name in FAULTS}}, ""),
        agents=agents.whole("count", 4, low=1, high=5000),
        zones=zones,
        sockets=agents.whole("sockets", 1024, low=32),
        carry=agents.number("carry_s", 0.0, low=0.0),
        store=agents.flag("store"),
        ran=agents.flag("ran"),
        in_touch=agents.flag("fleet"),
        share=agents.number("share_ms", 0.0, high=60_000.0),
        backends=kinds,
        products=products,
        customers=customers,
        traffic=_traffic(top.section("traffic"), agents),
        clients=_clients(top.section("clients")),
        backend=_backend(top.section("backend")),
        registry=_registry(top.section("registry")),
        network=_network(top.section("network")),
        rules=rules,
        limits=_limits(top.section("limits")),
        troubles=tuple(_trouble(s, zones) for s in top.sections("troubles")),
        measure=measure,
    )
    agents.reject_unknown_keys()
    top.reject_unknown_keys()
    if world.in_touch and not (world.store and world.limits.peers):
        raise BadConfig("agents.fleet: needs agents.store and limits.peers")
    if world.share and not world.in_touch:
        raise BadConfig("agents.share_ms: needs agents.fleet")
    if world.ran and not (world.store and any(p.kind is Idempotency.NON_IDEMPOTENT for p in products)):
        raise BadConfig("agents.ran: needs agents.store and a non-idempotent product")
    if world.traffic.calls_per_s * world.length / 1000 > MAX_CALLS:
        raise BadConfig(f"traffic.calls_per_s: more than {MAX_CALLS} API calls in all")
    target_counts = {"backends": world.backend_count, "agents": world.agents, "zones": len(zones), "none": 0}
    for i, t in enumerate(world.troubles):
        for n in t.targets:
            if n >= target_counts[t.target_kind]:
                raise BadConfig(
                    f"troubles[{i}].targets: there is no {n} among {target_counts[t.target_kind]} {t.target_kind}"
                )
    return world


MEASURES = ("service", "worst_10s", "products", "customers", "latency", "answers", "shots", "load")


def _kind(s: StrictSection, zones: tuple[str, ...]) -> BackendKind:
    named = s.texts("zones")
    for i, name in enumerate(named):
        if name not in zones:
            raise BadConfig(f"{s.at('zones')}[{i}]: {name!r} is none of {', '.join(zones)}")
    kind = BackendKind(
        s.text("kind", "standard"),
        s.whole("count", 4, low=1, high=2000),
        s.whole("cores", 4, low=1),
        s.span("speed", (1.0, 1.0), low=0.01),
        tuple(zones.index(n) for n in named),
    )
    s.reject_unknown_keys()
    return kind


def _product(s: StrictSection) -> ProductSpec:
    slo = s.number("slo", 500.0, low=1.0)
    product = ProductSpec(
        s.text("name"),
        s.choice("kind", IDEMPOTENCY_KINDS, "idempotent"),
        s.choice("group", DEDUP_SCOPES, "all"),
        slo,
        s.number("timeout", 4 * slo, low=1.0),
        s.number("value", 1.0),
        s.number("late_value", 0.0, high=1.0),
        s.number("memory", 0.0),
        s.number("share", 1.0),
        s.number("work", 20.0, low=0.01),
        s.number("spread", 0.3, high=5.0),
    )
    if product.timeout < slo:
        raise BadConfig(f"{s.at('timeout')}: {product.timeout!r} is under the SLO")
    s.reject_unknown_keys()
    return product


def _customer(s: StrictSection) -> CustomerSpec:
    customer = CustomerSpec(s.text("name"), s.number("share", 1.0, high=1.0))
    s.reject_unknown_keys()
    return customer


def _traffic(s: StrictSection, agents: StrictSection) -> Traffic:
    traffic = Traffic(
        s.number("calls_per_s", 50.0, low=0.01),
        s.choice("shape", TRAFFIC_SHAPES, "poisson"),
        s.number("swing", 0.3, high=1.0),
        s.number("period", 10.0, low=0.1) * 1000,
        s.whole("keys", 0),
        s.number("key_zipf", 0.8),
        s.choice("hints", HINT_QUALITIES, "rough"),
        agents.number("zipf", 0.0, high=4.0),
    )
    s.reject_unknown_keys()
    return traffic


def _clients(s: StrictSection) -> ClientSpec:
    clients = ClientSpec(
        s.whole("retries", 1, high=20),
        s.number("wait", 50.0),
        s.number("try_share", 0.7, low=0.01, high=1.0),
        s.flag("honours", True),
        s.flag("marks"),
        s.whole("connections", 64, low=1),
        s.flag("replays"),
    )
    s.reject_unknown_keys()
    return clients


def _backend(s: StrictSection) -> BackendSpec:
    spec = BackendSpec(
        queue=s.whole("queue", 20, low=1),
        choke_at=s.number("choke_at", 8.0),
        choke_after=s.number("choke_after", 2000.0),
        choke_slower=s.number("choke_slower", 1.0, low=1.0),
        choke_idle=s.number("choke_idle", 3000.0),
        connection_cost=s.number("connection_cost", 1.0),
        connections=s.whole("connections", 1000, low=1),
        idle=s.span("idle", (60_000.0, 90_000.0), low=1.0),
        report_every=s.span("report_every", (300.0, 900.0)),
        cancel_stops=s.flag("cancel_stops"),
        quick=s.number("quick", 1.0),
        warm_saves=s.number("warm_saves", 0.0, high=0.95),
        warm_for=s.number("warm_for", 5000.0),
        cell_size=s.whole("cell_size", 4, low=1),
    )
    s.reject_unknown_keys()
    return spec


def _registry(s: StrictSection) -> RegistrySpec:
    spec = RegistrySpec(
        s.span("lag", (200.0, 1000.0)),
        s.span("silent_lag", (2000.0, 6000.0)),
        s.flag("ask", True),
        s.whole("restart_version", 1),
        s.number("call_cost", 0.0),
        s.number("call_wait", 2000.0, low=1.0),
    )
    s.reject_unknown_keys()
    return spec


def _network(s: StrictSection) -> NetworkSpec:
    spec = NetworkSpec(
        s.number("same", 0.3),
        s.number("cross", 2.0),
        s.number("jitter", 0.2, high=10.0),
        s.number("loss", 0.0, high=0.9),
    )
    s.reject_unknown_keys()
    return spec


def _rules(s: StrictSection) -> RuleSpec:
    spec = RuleSpec(
        s.number("drain_grace", 1500.0),
        s.number("fall_multiple", 2.5, low=1.0),
        s.number("fall", 3000.0, low=1.0),
        s.number("start_capacity", 0.2, low=0.01, high=1.0),
        s.number("cold", 10_000.0, low=1.0),
        s.number("ask_within", 10_000.0),
        s.number("answer_slack", 20.0),
    )
    s.reject_unknown_keys()
    return spec


def _limits(s: StrictSection) -> LimitSpec:
    known = ("outstanding", "backlog", "utilization")
    reports = tuple(s.texts("reports"))
    for i, name in enumerate(reports):
        if name not in known:
            raise BadConfig(f"{s.at('reports')}[{i}]: unknown {name!r}; known are {', '.join(known)}")
    spec = LimitSpec(
        s.whole("shots", 3, low=1, high=20),
        s.flag("copies"),
        s.flag("cancel", True),
        s.flag("probes"),
        s.flag("peers"),
        s.flag("retry_after", True),
        s.number("max_retry_after", 2000.0),
        s.number("connect_timeout", 250.0, low=1.0),
        reports,
    )
    s.reject_unknown_keys()
    return spec


def _trouble(s: StrictSection, zones: tuple[str, ...]) -> Trouble:
    kind = s.choice("kind", {k: k for k in TROUBLES})
    target_kind, default_strength, low, high = TROUBLES[kind]
    names: list[int] = []
    for i, target in enumerate(s.items("targets")):
        where = f"{s.at('targets')}[{i}]"
        if target_kind == "zones" and target in zones:
            names.append(zones.index(target))
        elif type(target) is int and target >= 0 and target_kind in ("backends", "agents"):
            names.append(target)
        else:
            raise BadConfig(f"{where}: {target!r} names none of the {target_kind}")
    trouble = Trouble(
        kind,
        s.number("at", 5.0) * 1000,
        s.number("seconds", 5.0) * 1000,
        s.number("share", 0.25, high=1.0),
        tuple(names),
        s.number("strength", default_strength, low=low, high=max(low, high)),
    )
    s.reject_unknown_keys()
    return trouble


def world_to_dict(world: World) -> dict[str, Any]:
    """The world as nested tables, from which `read` builds an equal world."""

    def range_to_toml(s: Range) -> float | list[float]:
        return s.least if s.least == s.most else [s.least, s.most]

    def section_to_dict(spec: Any, **changed: Any) -> dict[str, Any]:
        found = {**vars(spec), **changed}
        return {
            k: range_to_toml(v)
            if isinstance(v, Range)
            else list(v)
            if isinstance(v, tuple)
            else v.value
            if isinstance(v, (Idempotency, DedupScope))
            else v
            for k, v in found.items()
            if v is not None
        }

    traffic = section_to_dict(world.traffic, period=world.traffic.period / 1000, agent_zipf=None)
    return {
        "name": world.name,
        "seconds": world.length / 1000,
        "seeds": list(world.seeds),
        "mode": world.mode,
        "policy": world.policy,
        "fault": world.fault,
        "zones": list(world.zones),
        "measure": list(world.measure),
        "agents": {
            "count": world.agents,
            "sockets": world.sockets,
            "carry_s": world.carry,
            "store": world.store,
            "ran": world.ran,
            "fleet": world.in_touch,
            "share_ms": world.share,
            "zipf": world.traffic.agent_zipf,
        },
        "traffic": traffic,
        "clients": section_to_dict(world.clients),
        "backend": section_to_dict(world.backend),
        "registry": section_to_dict(world.registry),
        "network": section_to_dict(world.network),
        "rules": section_to_dict(world.rules),
        "limits": section_to_dict(world.limits),
        "backends": [
            {
                "kind": b.name,
                "count": b.count,
                "cores": b.cores,
                "speed": range_to_toml(b.speed),
                "zones": [world.zones[z] for z in b.zones],
            }
            for b in world.backends
        ],
        "products": [section_to_dict(p) for p in world.products],
        "customers": [section_to_dict(c) for c in world.customers],
        "troubles": [
            {
                "kind": t.kind,
                "at": t.at / 1000,
                "seconds": t.length / 1000,
                "share": t.share,
                "strength": t.strength,
                "targets": [world.zones[n] if t.target_kind == "zones" else n for n in t.targets],
            }
            for t in world.troubles
        ],
    }


def to_toml(world: World) -> str:
    """The world as TOML text, from which `read_file` builds an equal world."""

    def value(v: Any) -> str:
        if isinstance(v, bool):
            return "true" if v else "false"
        if isinstance(v, list):
            return "[" + ", ".join(map(value, v)) + "]"
        if isinstance(v, str):
            return '"' + v.replace("\\", "\\\\").replace('"', '\\"') + '"'
        return repr(v)

    raw = world_to_dict(world)
    lines = [
        f"{k} = {value(v)}"
        for k, v in raw.items()
        if not isinstance(v, dict) and not (isinstance(v, list) and v and isinstance(v[0], dict))
    ]
    for key, v in raw.items():
        tables = (
            [(f"[{key}]", v)]
            if isinstance(v, dict)
            else [(f"[[{key}]]", one) for one in v]
            if isinstance(v, list) and v and isinstance(v[0], dict)
            else []
        )
        for head, table in tables:
            lines += ["", head] + [f"{k} = {value(one)}" for k, one in table.items()]
    return "\n".join(lines) + "\n"


def with_seed(world: World, seed: int) -> World:
    """The same world with a single seed."""
    return replace(world, seeds=(seed,))
