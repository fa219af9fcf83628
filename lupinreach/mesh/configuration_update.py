"""Incremental configuration updates: the change history that a sender keeps, and the updates it sends.

Versions are totally ordered, each has exactly one content, and a higher version replaces a lower one. An update holds
everything that changed after its base version, with the content of the new version. It can therefore be applied to any
version from its base up to the new one, with the same result. If the sender missed a version in which something was
changed that was changed back later, the checksum does not match and the receiver requests the complete configuration.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

import msgpack

from lupinreach.mesh.configuration import (
    ConfigLimits,
    Configuration,
    Route,
    Service,
    is_newer,
    version_number,
)
from lupinreach.mesh.route_table import RouteTable

MAX_REMEMBERED_VERSIONS = 128  # receivers of an older version get the complete configuration
MAX_UPDATE_FRACTION = 0.5  # of all routes; if more changed, the complete configuration is sent


class Applied(Enum):
    """Result of applying an update."""

    IN_FORCE = "in force"
    NOT_NEWER = "not newer"
    UNFIT = "unfit"  # base newer than the held version, or checksum mismatch: send the complete configuration


@dataclass(slots=True)
class ConfigurationUpdate:
    """All changes after a base version, up to and including `version`."""

    version: str
    base: str
    checksum: int  # of the complete content of `version`
    changes: dict[str, dict[str, Route | None]] = field(default_factory=dict)  # None: removed
    services: list[Service] | None = None  # None: unchanged since the base
    limits: ConfigLimits | None = None

    def pack(self) -> bytes:
        """Encode for sending."""
        changes = {
            host: {prefix: None if route is None else route.to_list() for prefix, route in routes.items()}
            for host, routes in self.changes.items()
        }
        services = None if self.services is None else [service.to_list() for service in self.services]
        limits = None if self.limits is None else self.limits.to_list()
        packed: bytes = msgpack.packb([self.version, self.base, self.checksum, changes, services, limits])
        return packed

    @classmethod
    def unpack(cls, packed: bytes) -> ConfigurationUpdate:
        """The inverse of `pack`."""
        version, base, checksum, hosts, services, limits = msgpack.unpackb(packed)[:6]
        changes = {
            host: {
                prefix: None if values is None else Route.from_list(values)
                for prefix, values in routes.items()
            }
            for host, routes in hosts.items()
        }
        return cls(
            version,
            base,
            checksum,
            changes,
            None if services is None else [Service(*service[:5]) for service in services],
            None if limits is None else ConfigLimits(*limits[:4]),
        )

    def apply(self, held: RouteTable | None) -> tuple[Applied, RouteTable | None]:
        """Apply to the table that a receiver holds; returns the table that it holds afterwards."""
        if held is None or is_newer(self.base, held.version):
            return Applied.UNFIT, held
        if not is_newer(self.version, held.version):
            return Applied.NOT_NEWER, held
        table = held.with_changes(self.version, self.changes, self.services, self.limits)
        if table.checksum != self.checksum:
            return Applied.UNFIT, held
        return Applied.IN_FORCE, table


def pack_configuration(table: RouteTable) -> bytes:
    """Encode a complete configuration for sending."""
    packed: bytes = msgpack.packb(table.configuration().to_list())
    return packed


def unpack_configuration(packed: bytes) -> RouteTable:
    """The inverse of `pack_configuration`."""
    return RouteTable(Configuration.from_list(msgpack.unpackb(packed)))


class ConfigurationHistory:
    """The newest version, and when each part of it last changed.

    Times are sequence numbers: the count of versions taken so far.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self._sequence = 0
        # Sequence numbers of the remembered versions, oldest first.
        self._versions: OrderedDict[str, int] = OrderedDict()
        # By host and prefix, including removed routes.
        self._route_changed_at: dict[tuple[str, str], int] = {}
        self._services_changed_at = 0
        self._limits_changed_at = 0
        # Encoded updates to the newest version, by base; "" stands for the complete configuration.
        self._encoded_by_base: dict[str, bytes] = {}

    @property
    def version(self) -> str:
        """The newest version; "" if there is none yet."""
        return self.table.version if self.table is not None else ""

    def advance(self, configuration: Configuration) -> None:
        """Advance to a newer version; its unchanged parts are shared with the previous one."""
        self._sequence += 1
        table = RouteTable(configuration)
        self.table = table if self.table is None else self._share_unchanged(self.table, table)
        self._versions[table.version] = self._sequence
        self._encoded_by_base.clear()
        if len(self._versions) > MAX_REMEMBERED_VERSIONS:
            self._drop_oldest_version()

    def _share_unchanged(self, before: RouteTable, after: RouteTable) -> RouteTable:
        """Rebuild the later table from the earlier one, to share unchanged routes, and record what changed."""
        changes: dict[str, dict[str, Route | None]] = {}
        for host in before.hosts.keys() | after.hosts.keys():
            old, new = before.hosts.get(host, {}), after.hosts.get(host, {})
            if old == new:
                continue
            for prefix in old.keys() | new.keys():
                if old.get(prefix) != new.get(prefix):
                    changes.setdefault(host, {})[prefix] = new.get(prefix)
                    self._route_changed_at[(host, prefix)] = self._sequence
        services: list[Service] | None = list(after.services.values())
        if services == list(before.services.values()):
            services = None
        else:
            self._services_changed_at = self._sequence
        if before.limits != after.limits:
            self._limits_changed_at = self._sequence
        return before.with_changes(after.version, changes, services, after.limits)

    def _drop_oldest_version(self) -> None:
        self._versions.popitem(last=False)
        oldest_sequence = next(iter(self._versions.values()))
        self._route_changed_at = {
            key: changed_at
            for key, changed_at in self._route_changed_at.items()
            if changed_at > oldest_sequence
        }

    def base_for(self, held: str) -> str:
        """The newest remembered version not above the one a receiver holds; "" if it needs the complete one."""
        if held in self._versions:
            return held
        if not held:
            return ""
        lower_versions = [
            version for version in self._versions if version_number(version) < version_number(held)
        ]
        return max(lower_versions, key=version_number, default="")

    def packed_from(self, base: str) -> tuple[str, bytes]:
        """What brings a receiver from `base` to the newest version: (base, update), or ("", complete configuration)."""
        assert self.table is not None
        if base and base not in self._encoded_by_base:
            update = self._build_update(base)
            changed_routes = sum([len(routes) for routes in update.changes.values()])
            all_routes = sum([len(routes) for routes in self.table.hosts.values()])
            self._encoded_by_base[base] = (
                update.pack() if changed_routes <= max(1, MAX_UPDATE_FRACTION * all_routes) else b""
            )
        if base and self._encoded_by_base[base]:
            return base, self._encoded_by_base[base]
        if "" not in self._encoded_by_base:
            self._encoded_by_base[""] = pack_configuration(self.table)
        return "", self._encoded_by_base[""]

    def _build_update(self, base: str) -> ConfigurationUpdate:
        table = self.table
        assert table is not None
        base_sequence = self._versions[base]
        update = ConfigurationUpdate(table.version, base, table.checksum)
        for (host, prefix), changed_at in self._route_changed_at.items():
            if changed_at > base_sequence:
                update.changes.setdefault(host, {})[prefix] = table.hosts.get(host, {}).get(prefix)
        if self._services_changed_at > base_sequence:
            update.services = list(table.services.values())
        if self._limits_changed_at > base_sequence:
            update.limits = table.limits
        return update
