"""A world, and what is played on it, read from TOML: checked, defaulted, each complaint with the key's whole path."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import inf
from pathlib import Path
from typing import Any

from lupinreach.config import BadConfig, Section
from lupinreach.model import DedupScope, Idempotency

KINDS = {k.value: k for k in Idempotency}
GROUPS = {g.value: g for g in DedupScope}
SHAPES = {s: s for s in ("poisson", "bursts", "day")}
HINTS = {h: h for h in ("none", "rough", "good")}
MODES = {m: m for m in ("virtual", "loopback")}
MOST_CALLS = 2_000_000  # in one run: what the ledger holds in memory
TARGETS = "backends", "agents", "zones", "none"

# Kinds of trouble: what they strike, and what `strength` means (its default, and the range it may have).
TROUBLES: dict[str, tuple[str, float, float, float]] = {
    "slow": ("backends", 4.0, 1.0, 1000.0),  # times slower
    "silent": ("backends", 1.0, 0.0, 1.0),  # takes work and answers none of this share
    "fail": ("backends", 0.6, 0.0, 1.0),  # share answered 500 at once
    "crash": ("backends", 0.0, 0.0, 0.0),  # dies, and comes back cold at the end
    "drain": ("backends", 0.0, 0.0, 0.0),  # told by the registry; stops at the end, comes back cold
    "replace": ("backends", 0.0, 0.0, 0.0),  # drains, and another takes its place under a new name
    "vanish": ("backends", 0.0, 0.0, 0.0),  # the machine says nothing, connections stay open
    "stall": ("backends", 0.3, 0.0, 1.0),  # share of answers that stop after half
    "reset": ("backends", 0.1, 0.0, 1.0),  # share of requests after whose last byte the connection is reset
    "break": ("backends", 0.1, 0.0, 1.0),  # share of requests before whose last byte it is
    "latency": ("backends", 50.0, 0.0, 60_000.0),  # ms more each way
    "narrow": ("backends", 2.0, 0.01, 1e6),  # bytes a ms that each connection to it passes, each way
    "apart": ("backends", 0.5, 0.0, 1.0),  # this share of the agents, drawn, and they don't hear each other
    "apart-one-way": ("backends", 0.5, 0.0, 1.0),  # what they answer doesn't get to this share of the agents
    "thief": ("backends", 0.5, 0.0, 0.99),  # share of the cores that another program takes, on and off
    "cut": ("zones", 0.0, 0.0, 0.0),  # the zone can't reach the others
    "cut-reset": (
        "zones",
        0.0,
        0.0,
        0.0,
    ),  # nor does it stay silent: what was open to the others is reset, what is new refused
    "loss": ("none", 0.05, 0.0, 1.0),  # share of segments
    "datagrams-doubled": ("none", 0.3, 0.0, 1.0),  # this share of the datagrams comes twice
    "datagrams-late": (
        "none",
        2000.0,
        0.0,
        60_000.0,
    ),  # ms by which the trouble's share of them is held back past later ones
    "surge": ("none", 2.0, 0.0, 100.0),  # times the usual arrivals
    "costly": ("none", 8.0, 1.0, 1000.0),  # times the work, for one API call in fifty
    "late-reports": ("backends", 4.0, 1.0, 1000.0),  # times older
    "restart-agents": ("agents", 0.0, 0.0, 0.0),  # stopped by signal, started at the end
    "kill-agents": ("agents", 0.0, 0.0, 0.0),  # killed outright, started at the end
    "sleep-agents": ("agents", 0.0, 0.0, 0.0),  # the process stands still, and wakes with what it believed
    "deaf-agents": ("agents", 0.0, 0.0, 0.0),  # nothing gets to them, but from their own clients
    "dumb-agents": ("agents", 0.0, 0.0, 0.0),  # nothing gets away from them, but to their own clients
    "twin-agents": (
        "agents",
        0.0,
        0.0,
        0.0,
    ),  # a second process stands up with the first one's disk and configuration
    "clock-agents": (
        "agents",
        86_400.0,
        -1e7,
        1e7,
    ),  # s by which the clock of one that starts meanwhile is ahead
    "disk-torn": ("agents", 0.5, 0.0, 1.0),  # of the carried file this share is left; 0: it is empty
    "disk-lost": ("agents", 0.0, 0.0, 0.0),  # power is lost: what was not synced may be gone, or torn
    "disk-older": ("agents", 5.0, 0.0, 1e5),  # the copy of so many s before is put back
    "disk-other": ("agents", 0.0, 0.0, 0.0),  # the copy of the next agent's disk takes its place
    "disk-hangs": ("agents", 0.0, 0.0, 0.0),  # what is written waits until the end
    "disk-stuck": ("agents", 0.0, 0.0, 0.0),  # can't be written, as one that is full or read-only
    "drift-agents": (
        "agents",
        0.01,
        -0.2,
        0.2,
    ),  # what the clock of one that starts meanwhile gains of each second
    "busy-agents": ("agents", 50.0, 0.0, 10_000.0),  # ms for which the event loop is held up, once a second
    "registry-down": ("none", 0.0, 0.0, 0.0),  # refuses and resets
    "registry-back": ("none", 0.0, 0.0, 0.0),  # restarts at a lower version at the end
    "registry-older": ("none", 10.0, 0.0, 86_400.0),  # is down, and back with the list of so many s before
}


class StrictSection(Section):
    """A section whose unknown keys are refused."""

    def __init__(self, raw: Any, path: str = "") -> None:
        super().__init__(raw, path)
        self._asked: set[str] = set()

    def _get(self, key: str, default: Any) -> Any:
        self._asked.add(key)
        return super()._get(key, default)

    def section(self, key: str) -> StrictSection:
        return StrictSection(self.mapping(key), self.at(key))

    def sections(self, key: str, default: Any = ()) -> list[StrictSection]:  # type: ignore[override]
        return [StrictSection(raw, f"{self.at(key)}[{i}]") for i, raw in enumerate(self.items(key, default))]

    def span(self, key: str, default: tuple[float, float], low: float = 0.0, high: float = inf) -> Span:
        """A number, or a range [least, most] that each draws from."""
        value = self._get(key, None)
        if value is None:
            return Span(*default)
        if not isinstance(value, list):
            number = self.number(key, low=low, high=high)
            return Span(number, number)
        if len(value) != 2:
            raise BadConfig(f"{self.at(key)}: must be a number or [least, most]")
        inner = Section({str(i): v for i, v in enumerate(value)}, self.at(key))
        least, most = inner.number("0", low=low, high=high), inner.number("1", low=low, high=high)
        if least > most:
            raise BadConfig(f"{self.at(key)}: {least!r} is above {most!r}")
        return Span(least, most)

    def done(self) -> None:
        """Refuse what nobody asked for."""
        for key in self._raw:
            if key not in self._asked:
                raise BadConfig(f"{self.at(key)}: unknown key")


@dataclass(frozen=True)
class Span:
    least: float
    most: float

    def at(self, share: float) -> float:
        return self.least + (self.most - self.least) * share


@dataclass(frozen=True)
class BackendKind:
    name: str
    count: int
    cores: int
    speed: Span  # of a core; 1 does a ms of work in a ms
    zones: tuple[int, ...]  # empty: spread over all in turn


@dataclass(frozen=True)
class ProductSpec:
    name: str
    kind: Idempotency
    group: DedupScope
    slo: float
    timeout: float
    value: float
    late_value: float
    memory: float
    share: float
    work: float  # mean ms on a standard core
    spread: float  # standard deviation / mean


@dataclass(frozen=True)
class CustomerSpec:
    name: str
    share: float


@dataclass(frozen=True)
class Traffic:
    calls_per_s: float
    shape: str
    swing: float  # share by which a day's curve or a burst strays from the mean
    period: float  # ms of one wave, or between bursts
    keys: int
    key_zipf: float
    hints: str
    agent_zipf: float  # the traffic of the n-th agent falls with n to this power


@dataclass(frozen=True)
class ClientSpec:
    retries: int
    wait: float  # ms before a retry
    try_share: float  # of the client timeout: when a try is given up
    honours: bool  # waits as long as Retry-After says
    marks: bool  # marks retries
    connections: int  # kept to its agent
    replays: bool  # sends what lost its connection once more, by the same id, as some libraries do


@dataclass(frozen=True)
class BackendSpec:
    queue: int  # for each core; beyond it API calls are turned away
    choke_at: float  # x cores waiting, for
    choke_after: float  # ms: then
    choke_slower: float  # times slower, until idle for
    choke_idle: float  # ms
    connection_cost: float  # ms of work for a new connection
    connections: int
    idle: Span  # ms after which a connection that stands idle is closed
    report_every: Span  # ms
    cancel_stops: bool  # work of an API call that was called off stops
    quick: float  # ms of work for an error of its own
    warm_saves: float  # share of the work that a key met lately saves,
    warm_for: float  # ms
    cell_size: int  # backends that share the memory of marks and keys


@dataclass(frozen=True)
class RegistrySpec:
    lag: Span  # ms from what happens to the registry's knowing, where it is told
    silent_lag: Span  # ms where a backend just dies
    ask: bool  # the agent must ask; else it follows by itself
    restart_version: int  # that it comes back with after `registry-back`
    call_cost: (
        float  # ms of its time that a call with something to tell takes; it works through calls in turn
    )
    call_wait: float  # ms after which a call that waits is turned away; it is worked through all the same


@dataclass(frozen=True)
class NetworkSpec:
    same: float
    cross: float
    jitter: float
    loss: float


@dataclass(frozen=True)
class RuleSpec:
    drain_grace: float
    fall_multiple: float
    fall: float
    start_capacity: float
    cold: float
    ask_within: float
    answer_slack: float


@dataclass(frozen=True)
class LimitSpec:
    shots: int
    copies: bool
    cancel: bool
    probes: bool
    peers: bool
    retry_after: bool
    max_retry_after: float
    connect_timeout: float
    reports: tuple[str, ...]


@dataclass(frozen=True)
class Trouble:
    kind: str
    at: float  # ms
    length: float  # ms
    share: float  # of what it strikes, unless named
    targets: tuple[int, ...]
    strength: float

    @property
    def target_kind(self) -> str:
        return TROUBLES[self.kind][0]


@dataclass(frozen=True)
class World:
    """Everything that is played, but for the seed of the chance in it."""

    name: str
    length: float  # ms of arrivals
    seeds: tuple[int, ...]
    mode: str
    policy: str
    fault: str  # a planted one, empty for none
    carry: float  # s that an agent's carried file may be old; 0: agents carry nothing by it
    store: bool  # agents have a store
    ran: bool  # and sync in it the ids of what may run once only
    in_touch: bool  # and know of each other
    share: float  # ms between two words of what they share; 0: nothing is
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
        return sum(kind.count for kind in self.backends)

    def settings(self, agent: int) -> dict[str, Any]:
        """What one agent is told, in the form that its configuration has."""
        words = {
            Idempotency.IDEMPOTENT: "repeatable",
            Idempotency.DEDUPLICATED: "by_key",
            Idempotency.NON_IDEMPOTENT: "once",
        }
        rules, limits = self.rules, self.limits
        return {
            "categories": [
                {
                    "name": p.name,
                    "semantics": words[p.kind],
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
    """A world from a TOML file, or one of the bed's own by its name; BadConfig says what is wrong and where."""
    return read(load(Path(path)))


def load(path: Path, folders: tuple[Path, ...] = (WORLDS_DIR,), depth: int = 0) -> dict[str, Any]:
    """The tables of a TOML file and of those that it begins from; names without an ending are looked up in `folders`."""
    own = [folder / f"{path}.toml" for folder in folders if (folder / f"{path}.toml").is_file()]
    if not path.suffix and not path.exists() and own:
        path = own[0]
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as bad:
        raise BadConfig(f"{path}: {bad.strerror}") from None
    except UnicodeDecodeError:
        raise BadConfig(f"{path}: not UTF-8") from None
    except tomllib.TOMLDecodeError as bad:
        raise BadConfig(f"{path}: no TOML: {bad}") from None
    base = raw.pop("base", None)
    if base is None:
        return raw
    if not isinstance(base, str) or depth > 3:
        raise BadConfig("base: must be the name of a world or a file, and not go in a circle")
    below = path.parent / base
    return _over(load(below if below.suffix and below.exists() else Path(base), folders, depth + 1), raw)


def _over(below: dict[str, Any], above: dict[str, Any]) -> dict[str, Any]:
    """Tables are merged key by key, everything else is replaced."""
    merged = dict(below)
    for key, value in above.items():
        old = merged.get(key)
        merged[key] = _over(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return merged


def read(raw: Mapping[str, Any]) -> World:
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
    agents.done()
    top.done()
    if world.in_touch and not (world.store and world.limits.peers):
        raise BadConfig("agents.fleet: needs agents.store and limits.peers")
    if world.share and not world.in_touch:
        raise BadConfig("agents.share_ms: needs agents.fleet")
    if world.ran and not (world.store and any(p.kind is Idempotency.NON_IDEMPOTENT for p in products)):
        raise BadConfig("agents.ran: needs agents.store and a non-idempotent product")
    if world.traffic.calls_per_s * world.length / 1000 > MOST_CALLS:
        raise BadConfig(f"traffic.calls_per_s: more than {MOST_CALLS} API calls in all")
    most = {"backends": world.backend_count, "agents": world.agents, "zones": len(zones), "none": 0}
    for i, t in enumerate(world.troubles):
        for n in t.targets:
            if n >= most[t.target_kind]:
                raise BadConfig(f"troubles[{i}].targets: there is no {n} among {most[t.strikes]} {t.strikes}")
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
    s.done()
    return kind


def _product(s: StrictSection) -> ProductSpec:
    slo = s.number("slo", 500.0, low=1.0)
    product = ProductSpec(
        s.text("name"),
        s.choice("kind", KINDS, "idempotent"),
        s.choice("group", GROUPS, "all"),
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
    s.done()
    return product


def _customer(s: StrictSection) -> CustomerSpec:
    customer = CustomerSpec(s.text("name"), s.number("share", 1.0, high=1.0))
    s.done()
    return customer


def _traffic(s: StrictSection, agents: StrictSection) -> Traffic:
    traffic = Traffic(
        s.number("calls_per_s", 50.0, low=0.01),
        s.choice("shape", SHAPES, "poisson"),
        s.number("swing", 0.3, high=1.0),
        s.number("period", 10.0, low=0.1) * 1000,
        s.whole("keys", 0),
        s.number("key_zipf", 0.8),
        s.choice("hints", HINTS, "rough"),
        agents.number("zipf", 0.0, high=4.0),
    )
    s.done()
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
    s.done()
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
    s.done()
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
    s.done()
    return spec


def _network(s: StrictSection) -> NetworkSpec:
    spec = NetworkSpec(
        s.number("same", 0.3),
        s.number("cross", 2.0),
        s.number("jitter", 0.2, high=10.0),
        s.number("loss", 0.0, high=0.9),
    )
    s.done()
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
    s.done()
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
    s.done()
    return spec


def _trouble(s: StrictSection, zones: tuple[str, ...]) -> Trouble:
    kind = s.choice("kind", {k: k for k in TROUBLES})
    target_kind, usual, low, high = TROUBLES[kind]
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
        s.number("strength", usual, low=low, high=max(low, high)),
    )
    s.done()
    return trouble


def world_to_dict(world: World) -> dict[str, Any]:
    """The world as a TOML-shaped object that `read` takes back."""

    def span(s: Span) -> float | list[float]:
        return s.least if s.least == s.most else [s.least, s.most]

    def some(spec: Any, **changed: Any) -> dict[str, Any]:
        found = {**vars(spec), **changed}
        return {
            k: span(v)
            if isinstance(v, Span)
            else list(v)
            if isinstance(v, tuple)
            else v.value
            if isinstance(v, (Idempotency, DedupScope))
            else v
            for k, v in found.items()
            if v is not None
        }

    traffic = some(world.traffic, period=world.traffic.period / 1000, agent_zipf=None)
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
        "clients": some(world.clients),
        "backend": some(world.backend),
        "registry": some(world.registry),
        "network": some(world.network),
        "rules": some(world.rules),
        "limits": some(world.limits),
        "backends": [
            {
                "kind": b.name,
                "count": b.count,
                "cores": b.cores,
                "speed": span(b.speed),
                "zones": [world.zones[z] for z in b.zones],
            }
            for b in world.backends
        ],
        "products": [some(p) for p in world.products],
        "customers": [some(c) for c in world.customers],
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
    """The text of a file that `read_file` takes back."""

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
    return replace(world, seeds=(seed,))
