"""Differences between two versions of the configuration: what a sender keeps to tell them, and what travels.

Versions form one line: a version has one content, and a higher one takes the place of a lower. A difference holds
all that changed after its base, as it is in its own version; it therefore leads from any version between the two to
the same content. Should a sender have missed a version in which something changed and changed back, the checksum
does not fit, and the receiver asks for the whole.
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

MAX_REMEMBERED_VERSIONS = 128  # that a sender remembers; older receivers get the whole
MOST_SHARE = 0.5  # of the routes: a difference that names more is sent as the whole


class Applied(Enum):
    """What a receiver did with an update."""

    IN_FORCE = "in force"
    NOT_NEWER = "not newer"
    UNFIT = "unfit"  # its base is above what is held, or the checksum does not fit: the whole is needed


@dataclass(slots=True)
class ConfigurationUpdate:
    """All that changed after a version up to another one."""

    version: str
    base: str
    checksum: int  # of the whole content of `version`
    changes: dict[str, dict[str, Route | None]] = field(default_factory=dict)  # None: removed
    services: list[Service] | None = None  # None: as in the base
    limits: ConfigLimits | None = None

    def pack(self) -> bytes:
        """As it travels."""
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
        """The table that a receiver holds afterwards."""
        if held is None or is_newer(self.base, held.version):
            return Applied.UNFIT, held
        if not is_newer(self.version, held.version):
            return Applied.NOT_NEWER, held
        table = held.with_changes(self.version, self.changes, self.services, self.limits)
        if table.checksum != self.checksum:
            return Applied.UNFIT, held
        return Applied.IN_FORCE, table


def pack_whole(table: RouteTable) -> bytes:
    """A whole configuration as it travels."""
    packed: bytes = msgpack.packb(table.configuration().to_list())
    return packed


def unpack_whole(packed: bytes) -> RouteTable:
    """The inverse of `pack_whole`."""
    return RouteTable(Configuration.from_list(msgpack.unpackb(packed)))


class ConfigurationHistory:
    """The newest version and when each part of it last changed, counted in versions taken."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self._count = 0
        self._versions: OrderedDict[str, int] = OrderedDict()  # remembered ones, oldest first
        self._changed: dict[tuple[str, str], int] = {}  # by host and prefix; of removed routes too
        self._services_changed = 0
        self._limits_changed = 0
        self._packed: dict[str, bytes] = {}  # what was packed of the newest version, by base; "": whole

    @property
    def version(self) -> str:
        return self.table.version if self.table is not None else ""

    def take(self, configuration: Configuration) -> None:
        """A newer version; what did not change in it is shared with the one before."""
        self._count += 1
        table = RouteTable(configuration)
        self.table = table if self.table is None else self._after(self.table, table)
        self._versions[table.version] = self._count
        self._packed.clear()
        if len(self._versions) > MAX_REMEMBERED_VERSIONS:
            self._forget_oldest()

    def _after(self, before: RouteTable, after: RouteTable) -> RouteTable:
        """The later table, made of the earlier one; notes what changed."""
        changes: dict[str, dict[str, Route | None]] = {}
        for host in before.hosts.keys() | after.hosts.keys():
            old, new = before.hosts.get(host, {}), after.hosts.get(host, {})
            if old == new:
                continue
            for prefix in old.keys() | new.keys():
                if old.get(prefix) != new.get(prefix):
                    changes.setdefault(host, {})[prefix] = new.get(prefix)
                    self._changed[(host, prefix)] = self._count
        services: list[Service] | None = list(after.services.values())
        if services == list(before.services.values()):
            services = None
        else:
            self._services_changed = self._count
        if before.limits != after.limits:
            self._limits_changed = self._count
        return before.with_changes(after.version, changes, services, after.limits)

    def _forget_oldest(self) -> None:
        self._versions.popitem(last=False)
        oldest = next(iter(self._versions.values()))
        self._changed = {key: count for key, count in self._changed.items() if count > oldest}

    def base_for(self, held: str) -> str:
        """The newest remembered version that is not above what a receiver holds; empty: it needs the whole."""
        if held in self._versions:
            return held
        if not held:
            return ""
        below = [version for version in self._versions if version_number(version) < version_number(held)]
        return max(below, key=version_number, default="")

    def packed_from(self, base: str) -> tuple[str, bytes]:
        """What leads a receiver from a version to the newest: (base, update), or ("", whole)."""
        assert self.table is not None
        if base and base not in self._packed:
            update = self._update(base)
            size = sum([len(routes) for routes in update.changes.values()])
            whole = sum([len(routes) for routes in self.table.hosts.values()])
            self._packed[base] = update.pack() if size <= max(1, MOST_SHARE * whole) else b""
        if base and self._packed[base]:
            return base, self._packed[base]
        if "" not in self._packed:
            self._packed[""] = pack_whole(self.table)
        return "", self._packed[""]

    def _update(self, base: str) -> ConfigurationUpdate:
        table = self.table
        assert table is not None
        since = self._versions[base]
        update = ConfigurationUpdate(table.version, base, table.checksum)
        for (host, prefix), count in self._changed.items():
            if count > since:
                update.changes.setdefault(host, {})[prefix] = table.hosts.get(host, {}).get(prefix)
        if self._services_changed > since:
            update.services = list(table.services.values())
        if self._limits_changed > since:
            update.limits = table.limits
        return update
