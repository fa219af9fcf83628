"""The configuration news that a proxy holds: it only ever moves forward within one life."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.mesh.configuration import is_newer
from lupinreach.mesh.configuration_update import Applied, ConfigurationUpdate, pack_whole, unpack_whole
from lupinreach.mesh.messages import News
from lupinreach.mesh.route_table import RouteTable

Stamp = tuple[int, int]
STALE_PATIENCE_S = 1.0  # a proxy without a configuration waits so long for one that is surely the newest


class ConfigurationState:
    """Highest configuration and newest evacuations that any registry or neighbour told."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.stamp: Stamp = (0, 0)
        self.evacuations: dict[str, bool] = {}
        self._stale: list[News] = []  # that senders without contact to a primary told, until it may be used
        self._listeners: list[Callable[[], None]] = []
        self.applied = 0  # configurations put in force

    @property
    def version(self) -> str:
        return self.table.version if self.table is not None else ""

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change."""
        self._listeners.append(listener)

    def evacuated(self, zone: str) -> bool:
        return self.evacuations.get(zone, False)

    def apply(self, news: News) -> Applied:
        """Put what is newer in force.

        A sender that is cut off from the primary may hold an old configuration. It is progress for a proxy
        that holds an older one; a proxy that has just started waits a little for somebody in contact.
        """
        if self.table is None and not news.fresh:
            if not self._stale:
                asyncio.get_running_loop().call_later(STALE_PATIENCE_S, self.use_stale)
            self._stale.append(news)
            return Applied.NOT_NEWER
        self._stale.clear()
        return self._apply(news)

    def use_stale(self) -> None:
        """Nobody in contact was found in time: use what there is."""
        stale, self._stale = self._stale, []
        for news in stale:
            self._apply(news)

    def _apply(self, news: News) -> Applied:
        applied = self._apply_configuration(news)
        stamp: Stamp = (news.stamp[0], news.stamp[1])
        changed = applied is Applied.IN_FORCE
        if stamp > self.stamp:
            self.stamp = stamp
            changed = changed or self.evacuations != news.evacuations
            self.evacuations = dict(news.evacuations)
        if changed:
            for listener in self._listeners:
                listener()
        return applied

    def _apply_configuration(self, news: News) -> Applied:
        if news.config is None or not is_newer(news.config_version, self.version):
            return Applied.NOT_NEWER
        if news.base:
            applied, self.table = ConfigurationUpdate.unpack(news.config).apply(self.table)
        else:
            applied, self.table = Applied.IN_FORCE, unpack_whole(news.config)
        self.applied += applied is Applied.IN_FORCE
        return applied

    def to_message(self) -> News:
        """All that is held, as one message; a proxy can't know that it is the newest."""
        whole = pack_whole(self.table) if self.table is not None else None
        return News(list(self.stamp), self.version, whole, self.evacuations, fresh=False)
