"""Reading and validation of a process's settings file (JSON; its path is in `LUPINREACH_SETTINGS`)."""

from __future__ import annotations

import os
from dataclasses import dataclass, field

from result import Err, Ok, Result

from lupinreach.mesh.fields import Fields, read_object
from lupinreach.mesh.link import Address, parse_address

SETTINGS_VARIABLE = "LUPINREACH_SETTINGS"
CONFIG_MODE_HIGHEST = "highest"  # the highest configuration version is in force; the only supported mode


@dataclass(slots=True)
class Limits:
    """Resource limits of the process."""

    memory_mb: float = 200
    max_file_descriptors: int = 1024
    bandwidth_mbps: float = 1000  # of the machine's network link


@dataclass(slots=True)
class FaultTolerance:
    """How many machines, zones and regions may fail at the same time without a guarantee being violated."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(slots=True)
class Bounds:
    """Parameters of the service rules in force; times carry their unit in the name."""

    contact_ms: float = 3000
    ack_ms: float = 4000
    drain_ms: float = 2000
    grace_period_s: float = 6
    config_apply_ms: float = 2000
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    retry_budget_slack: float = 20
    cold_overage: float = 1.0
    cold_slack: float = 0
    evacuation_ms: float = 5000
    address_reuse_s: float = 2


@dataclass(slots=True)
class Settings:
    """The settings that the mesh uses; unknown keys in the file are ignored."""

    node_name: str
    ip_address: str
    zone: str
    region: str
    zones: dict[str, str]
    listen_addresses: dict[str, str]
    internal_port_range: list[int]
    seed_nodes: list[str]
    first_start: bool = False
    counted_in_quorum: bool = False
    limits: Limits = field(default_factory=Limits)
    data_directory: str | None = None
    heartbeat_ms: float = 1500
    config_mode: str = CONFIG_MODE_HIGHEST
    fault_tolerance: FaultTolerance = field(default_factory=FaultTolerance)
    bounds: Bounds = field(default_factory=Bounds)
    app_address: str | None = None
    target_service: str | None = None

    def listen_address(self, name: str) -> Address:
        """The parsed address of that name in `listen_addresses`, which is validated on reading."""
        return parse_address(self.listen_addresses[name])

    @property
    def store_port(self) -> int:
        """Port on which the store listens for links."""
        return self.internal_port_range[0]

    @property
    def registry_port(self) -> int:
        """Port on which the registry listens for links."""
        return self.internal_port_range[0] + 1

    @property
    def seed_hosts(self) -> list[str]:
        """Hosts of the seed nodes, without ports."""
        return [parse_address(seed)[0] for seed in self.seed_nodes]


def read_settings(path: str) -> Result[Settings, str]:
    """Read a settings file; the error message names the invalid key."""
    try:
        with open(path, "rb") as file:
            return parse_settings(file.read())
    except OSError as failed:
        return Err(f"{path}: {failed.strerror}")


def parse_settings(data: bytes) -> Result[Settings, str]:
    """Parse settings from JSON; the error message names the invalid key."""
    read = read_object(data, _read)
    return _validate(read.ok_value) if isinstance(read, Ok) else read


def _read(fields: Fields) -> Settings:
    return Settings(
        node_name=fields.text("node_name"),
        ip_address=fields.text("ip_address"),
        zone=fields.text("zone"),
        region=fields.text("region"),
        zones=fields.text_map("zones"),
        listen_addresses=fields.text_map("listen_addresses"),
        internal_port_range=fields.integers("internal_port_range"),
        seed_nodes=fields.texts("seed_nodes"),
        first_start=fields.flag("first_start", False),
        counted_in_quorum=fields.flag("counted_in_quorum", False),
        limits=_read_limits(fields.object("limits")),
        data_directory=fields.text("data_directory", None),
        heartbeat_ms=fields.number("heartbeat_ms", 1500),
        config_mode=fields.text("config_mode", CONFIG_MODE_HIGHEST),
        fault_tolerance=_read_fault_tolerance(fields.object("fault_tolerance")),
        bounds=_read_bounds(fields.object("bounds")),
        app_address=fields.text("app_address", None),
        target_service=fields.text("target_service", None),
    )


def _read_limits(fields: Fields) -> Limits:
    defaults = Limits()
    return Limits(
        fields.number("memory_mb", defaults.memory_mb),
        fields.integer("max_file_descriptors", defaults.max_file_descriptors),
        fields.number("bandwidth_mbps", defaults.bandwidth_mbps),
    )


def _read_fault_tolerance(fields: Fields) -> FaultTolerance:
    return FaultTolerance(
        fields.integer("machines", 0), fields.integer("zones", 0), fields.integer("regions", 0)
    )


def _read_bounds(fields: Fields) -> Bounds:
    bounds = Bounds()
    for name in Bounds.__dataclass_fields__:
        setattr(bounds, name, fields.number(name, getattr(bounds, name)))
    return bounds


def _validate(settings: Settings) -> Result[Settings, str]:
    addresses = {f"listen_addresses.{name}": text for name, text in settings.listen_addresses.items()}
    addresses |= {f"seed_nodes[{i}]": text for i, text in enumerate(settings.seed_nodes)}
    if settings.app_address is not None:
        addresses["app_address"] = settings.app_address
    for key, text in addresses.items():
        try:
            parse_address(text)
        except ValueError as invalid:
            return Err(f"{key}: {invalid}")
    ports = settings.internal_port_range
    if len(ports) != 2 or ports[1] - ports[0] < 1:
        return Err("internal_port_range: two ports are needed, the second above the first")
    if settings.config_mode != CONFIG_MODE_HIGHEST:
        return Err(f"config_mode: unknown mode {settings.config_mode!r}, {CONFIG_MODE_HIGHEST!r} is known")
    if settings.zone not in settings.zones:
        return Err(f"zone: {settings.zone!r} is not among zones")
    return Ok(settings)


def settings_path() -> str | None:
    """Path of the settings file, from the environment; None if the variable is not set."""
    return os.environ.get(SETTINGS_VARIABLE)
