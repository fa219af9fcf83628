"""Reads and validates the settings and the agent configuration and sets their defaults.

Used by the agent on sockets and by the simulator's adapter. Input keys are those of the documented formats;
the result uses the names of `model`. Errors name the faulty key by its full path. Unknown keys are ignored.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import inf, isfinite
from typing import Any

from lupinreach.model import Customer, DedupScope, Idempotency, Limits, Product, Rules, Settings

IDEMPOTENCY_KINDS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.DEDUPLICATED,
    "once": Idempotency.NON_IDEMPOTENT,
}
DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
LOAD_FIELDS = {
    "outstanding": "in_flight",
    "backlog": "waiting",
    "utilization": "busy",
    "recent_ms": "latency",
    "throughput": "calls_per_s",
    "errors_per_s": "errors_per_s",
}
# If the listed sizes fall with the load.
WEIGHT_KINDS = {"off": False, "nominal": False, "rough": False, "live": True}
MAX_LOAD_VALUE = 1e5  # limit of each value of a load report; exceeds the number of ports of an address
MAX_CONFIG_BYTES = 16 << 20
MIN_MEMORY_MB = 32
DEFAULT_CARRY_AGE_S = 60.0
# Interval of an agent's messages to the fleet; how long a starting agent queries the fleet.
FLEET_HEARTBEAT_MS, FLEET_QUERY_TIMEOUT_MS = 1000.0, 300.0
MIN_SOCKETS = 32  # fewer do not suffice for the agent's own descriptors, a client and a backend

REQUIRED: Any = object()  # passed as default: the key is required


class BadConfig(ValueError):
    """The input is invalid; the text names the key."""


def is_plausible_load(load_values: Iterable[Any]) -> bool:
    """If all values of a load report are possible.

    An impossible value would keep the backend from being used and distort the mean over all backends.
    """
    return all(type(f) in (int, float) and 0 <= f <= MAX_LOAD_VALUE for f in load_values)


class Section:
    """One object of the input; each method reads a key, checks its type and range and raises BadConfig."""

    def __init__(self, raw: Any, path: str = "") -> None:
        if not isinstance(raw, dict):
            raise BadConfig(f"{path or 'the input'}: must be an object")
        self._raw: dict[str, Any] = raw
        self._path = path

    def at(self, key: str) -> str:
        """The full path of a key."""
        return f"{self._path}.{key}" if self._path else key

    def _get(self, key: str, default: Any) -> Any:
        value = self._raw.get(key)
        if value is None and default is REQUIRED:
            raise BadConfig(f"{self.at(key)}: missing")
        return value

    def number(self, key: str, default: float = REQUIRED, low: float = 0.0, high: float = inf) -> float:
        """A finite number in a range."""
        value = self._get(key, default)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not isfinite(value):
            raise BadConfig(f"{self.at(key)}: {value!r} is no number")
        if not low <= value <= high:
            raise BadConfig(f"{self.at(key)}: {value!r} is out of range")
        return float(value)

    def whole(self, key: str, default: int = REQUIRED, low: int = 0, high: float = inf) -> int:
        """An integer; fractions are cut off."""
        return int(self.number(key, default, low, high))

    def flag(self, key: str, default: bool = False) -> bool:
        """True or false."""
        value = self._get(key, default)
        if value is None:
            return default
        if value not in (True, False):
            raise BadConfig(f"{self.at(key)}: {value!r} is neither true nor false")
        return bool(value)

    def text(self, key: str, default: str = REQUIRED) -> str:
        """A string."""
        value = self._get(key, default)
        if value is None:
            return default
        if not isinstance(value, str):
            raise BadConfig(f"{self.at(key)}: {value!r} is no text")
        return value

    def choice(self, key: str, choices: Mapping[str, Any], default: str = REQUIRED) -> Any:
        """The value that one of the given strings stands for."""
        value = self.text(key, default)
        if value not in choices:
            raise BadConfig(f"{self.at(key)}: unknown {value!r}; known are {', '.join(choices)}")
        return choices[value]

    def address(self, key: str, default: str = REQUIRED) -> Address:
        """A `host:port`."""
        return _address(self.text(key, default), self.at(key))

    def mapping(self, key: str, default: Any = None) -> dict[str, Any]:
        """An object as it is; empty if missing."""
        value = self._get(key, default)
        if not isinstance(value, (dict, type(None))):
            raise BadConfig(f"{self.at(key)}: must be an object")
        return value or {}

    def section(self, key: str) -> Section:
        """An object as a section; empty if missing."""
        return Section(self.mapping(key), self.at(key))

    def items(self, key: str, default: Any = ()) -> list[Any]:
        """An array as it is."""
        value = self._get(key, default)
        if value is None:
            return list(default)
        if not isinstance(value, list):
            raise BadConfig(f"{self.at(key)}: must be an array")
        return value

    def sections(self, key: str, default: Any = ()) -> list[Section]:
        """An array of objects."""
        return [Section(raw, f"{self.at(key)}[{i}]") for i, raw in enumerate(self.items(key, default))]

    def texts(self, key: str) -> list[str]:
        """An array of strings."""
        values = self.items(key)
        for i, value in enumerate(values):
            if not isinstance(value, str):
                raise BadConfig(f"{self.at(key)}[{i}]: {value!r} is no text")
        return values


Address = tuple[str, int]


def _address(text: str, path: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 1 << 16):
        raise BadConfig(f"{path}: {text!r} is no address (host:port)")
    return host.strip("[]"), int(port)


def _descriptor(text: str) -> int:
    if not text.isdecimal() or int(text) >= 1 << 20:
        raise BadConfig(f"PROXY_FD: {text!r} is no descriptor")
    return int(text)


def read_settings(raw: Any, path: str = "") -> Settings:
    """Read the settings; absent keys get their default. Raises BadConfig."""
    top = Section(raw, path)
    limits, rules, report = top.section("ceilings"), top.section("invariants"), top.section("report")
    products = tuple(_product(p) for p in top.sections("categories", REQUIRED))
    if not products:
        raise BadConfig(f"{top.at('categories')}: empty")
    return Settings(
        products=products,
        rules=Rules(
            drain_grace=rules.number("drain_grace", 0.0),
            fall_multiple=rules.number("fall_multiple", 1.0),
            fall=rules.number("fall", 0.0) or 1000.0,
            start_capacity=rules.number("start_capacity", 0.0),
            cold=rules.number("cold", 0.0),
            ask_within=rules.number("ask_within", 0.0),
            answer_slack=rules.number("answer_slack", 0.0),
        ),
        limits=Limits(
            max_attempts=limits.whole("max_attempts", 1),
            allow_hedging=limits.flag("second_copies"),
            may_cancel=limits.flag("may_cancel"),
            probes=limits.flag("probes"),
            peers=limits.flag("peer_messages"),
            retry_after=limits.flag("retry_after"),
            max_retry_after=limits.number("max_retry_after", 0.0),
            connect_timeout=limits.number("connect_timeout", 0.0),
            connection_idle=limits.number("conn_idle", 0.0),
        ),
        customers=tuple(
            Customer(c.text("name", ""), c.number("fraction", 0.0), c.number("quota_per_s", 0.0))
            for c in top.sections("accounts")
        ),
        agents=top.whole("fleet_size", 1, low=1),
        me=top.whole("me", 0),
        zone=top.whole("locality", 0),
        zones=tuple(top.texts("zones")),
        must_ask=top.text("discovery", "pushed") == "on_request",
        over_share_value=top.number("over_share_worth", 1.0),
        value_by_work=top.text("counted_by", "request") == "work",
        live_weights=top.choice("weight_kind", WEIGHT_KINDS, "nominal"),
        load_fields=tuple(LOAD_FIELDS.get(f, f) for f in report.texts("fields")),
        load_on_answers=report.text("how", "off") == "inline",
        warm_keys=top.section("family_info").flag("warm_keys"),
        step=top.number("step", 0.0) or 1.0,
    )


def _product(raw: Section) -> Product:
    return Product(
        name=raw.text("name", ""),
        slo=raw.number("aim", 0.0),
        timeout=raw.number("give_up"),
        billed_value=raw.number("credit", 1.0),
        kind=raw.choice("semantics", IDEMPOTENCY_KINDS, "once"),
        group=raw.choice("group", DEDUP_SCOPES, "all"),
        memory=raw.number("memory_span", 0.0),
        late_value=raw.number("late_worth", 0.0),
        slo_stretch=raw.number("aim_stretch", 0.0),
        streamed=raw.flag("streamed"),
    )


@dataclass(frozen=True)
class FleetConfig:
    """Intervals of the messages between the agents of a fleet, in ms."""

    beat: float  # between two heartbeats
    ask: float  # how long a starting agent queries the others
    share: float = 0.0  # between two messages with shared state; 0: no state is shared


def _fleet(top: Section, settings: Settings) -> FleetConfig | None:
    """The fleet mode, None without its key; checks that everything it requires is configured."""
    if top._get("fleet", None) is None:
        return None
    fleet_section = top.section("fleet")
    if _store(top) is None:
        raise BadConfig("fleet: needs store.file")
    if not settings.limits.peers:
        raise BadConfig("fleet: needs settings.ceilings.peer_messages")
    if not top.text("peer_listen", ""):
        raise BadConfig("fleet: needs peer_listen")
    if len(top.texts("peers")) != settings.agents:
        raise BadConfig(
            f"fleet: needs one address in peers for each of settings.fleet_size {settings.agents}"
        )
    if settings.me >= settings.agents:
        raise BadConfig(f"settings.me: {settings.me} is out of range")
    return FleetConfig(
        fleet_section.number("beat_ms", FLEET_HEARTBEAT_MS, low=50.0, high=60_000.0),
        fleet_section.number("ask_ms", FLEET_QUERY_TIMEOUT_MS, low=10.0, high=10_000.0),
        fleet_section.number("share_ms", 0.0, high=60_000.0),
    )


def _store(top: Section) -> str | None:
    """The path of the agent's single file; `carry` and `store` must not name different ones."""
    carried = top.section("carry").text("file") if top.mapping("carry") else None
    stored = top.section("store").text("file") if top.mapping("store") else None
    if carried and stored and carried != stored:
        raise BadConfig("store.file: carry.file names another; one agent has one file")
    return stored or carried


def _persists_ids(top: Section, settings: Settings) -> bool:
    """If ids of non-idempotent API calls are synced to disk before the calls may run."""
    if not top.mapping("store") or not top.section("store").flag("ran"):
        return False
    if not any(p.kind is Idempotency.NON_IDEMPOTENT for p in settings.products):
        raise BadConfig("store.ran: no category of settings is non-idempotent")
    return True


@dataclass(frozen=True)
class AgentConfig:
    """The configuration of an agent on sockets."""

    name: str
    listen: Address
    directory: Address
    seed: int
    sockets: int  # limit of the process's descriptors
    memory: int  # memory limit of the process in bytes
    peer_listen: Address | None
    peers: tuple[Address, ...]  # in the order of the agents' numbers, including this agent
    peers_all: Address | None
    known: dict[str, Any]  # the backend list that this agent last had, in the directory's format
    settings: Settings
    mgmt: Address | None = None  # the operators' port; None: there is none
    store: str | None = None  # file of the state that outlives the process; None: no state does
    carry_age: float | None = None  # ms; older state is not used at a start. None: no limit
    fleet: FleetConfig | None = None  # None: no fleet mode
    ran: bool = False  # ids of non-idempotent API calls are made durable
    inherited: int | None = None  # a listening descriptor passed to the process; None: bind `listen`


def read_agent(environment: Mapping[str, str], reload: bool = False) -> AgentConfig:
    """Read the agent's configuration from the file in PROXY_CONFIG; other variables override its keys.

    On a reload the file's keys take precedence, since the variables are still those of the start.
    """
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise BadConfig("PROXY_CONFIG: missing")
    try:
        with open(path, "rb") as file:
            raw = json.loads(file.read(MAX_CONFIG_BYTES))
    except OSError as error:
        raise BadConfig(f"PROXY_CONFIG: {path}: {error.strerror}") from None
    except ValueError as error:
        raise BadConfig(f"PROXY_CONFIG: {path} is no JSON: {error}") from None
    top = Section(raw)

    def overridable_address(variable: str, key: str) -> Address:
        if variable in environment and not (reload and top.text(key, "")):
            return _address(environment[variable], variable)
        return top.address(key)

    seed = top.text("seed")
    try:
        number = int(seed, 16)
    except ValueError:
        raise BadConfig(f"seed: {seed!r} is no hexadecimal number") from None
    return AgentConfig(
        name=environment.get("PROXY_NAME") or top.text("name"),
        listen=overridable_address("PROXY_LISTEN", "listen"),
        inherited=_descriptor(environment["PROXY_FD"]) if "PROXY_FD" in environment else None,
        mgmt=overridable_address("PROXY_MGMT", "mgmt")
        if "PROXY_MGMT" in environment or top.text("mgmt", "")
        else None,
        directory=overridable_address("PROXY_DISCOVERY", "discovery"),
        seed=number,
        sockets=top.section("limits").whole("sockets", 1024, low=MIN_SOCKETS),
        memory=top.section("limits").whole("memory_mb", 192, low=MIN_MEMORY_MB) << 20,
        peer_listen=top.address("peer_listen") if top.text("peer_listen", "") else None,
        peers=tuple(_address(text, f"peers[{i}]") for i, text in enumerate(top.texts("peers"))),
        peers_all=top.address("peers_all") if top.text("peers_all", "") else None,
        known=top.mapping("known"),
        store=_store(top),
        carry_age=1000 * top.section("carry").number("most_age_s", DEFAULT_CARRY_AGE_S, low=1.0)
        if top.mapping("carry")
        else None,
        settings=(settings := read_settings(top.mapping("settings", REQUIRED), "settings")),
        fleet=_fleet(top, settings),
        ran=_persists_ids(top, settings),
    )
