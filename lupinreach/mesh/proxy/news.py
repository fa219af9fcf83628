"""The configuration news that a proxy holds: it only ever moves forward within one life."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgpack

from lupinreach.mesh.configuration import Configuration, RouteTable, is_newer
from lupinreach.mesh.messages import News

Stamp = tuple[int, int]
STALE_PATIENCE_S = 1.0  # a proxy without a configuration waits so long for one that is surely the newest


class NewsHolder:
    """Highest configuration and newest evacuations that any registry or neighbour told."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.packed = b""  # the configuration as it travels
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

    def apply(self, news: News) -> bool:
        """Put what is newer in force; true where anything changed.

        A sender that is cut off from the primary may hold an old configuration. It is progress for a proxy
        that holds an older one; a proxy that has just started waits a little for somebody in contact.
        """
        if self.table is None and not news.fresh:
            if not self._stale:
                asyncio.get_running_loop().call_later(STALE_PATIENCE_S, self.use_stale)
            self._stale.append(news)
            return False
        self._stale.clear()
        return self._apply(news)

    def use_stale(self) -> None:
        """Nobody in contact was found in time: use what there is."""
        stale, self._stale = self._stale, []
        for news in stale:
            self._apply(news)

    def _apply(self, news: News) -> bool:
        changed = self._apply_configuration(news)
        stamp: Stamp = (news.stamp[0], news.stamp[1])
        if stamp > self.stamp:
            self.stamp = stamp
            changed = changed or self.evacuations != news.evacuations
            self.evacuations = dict(news.evacuations)
        if changed:
            for listener in self._listeners:
                listener()
        return changed

    def _apply_configuration(self, news: News) -> bool:
        if news.config is None or not is_newer(news.config_version, self.version):
            return False
        self.packed = news.config
        self.applied += 1
        self.table = RouteTable(Configuration.from_list(msgpack.unpackb(news.config)))
        return True

    def as_news(self) -> News:
        """All that is held, as one message; a proxy can't know that it is the newest."""
        return News(list(self.stamp), self.version, self.packed or None, self.evacuations, fresh=False)
