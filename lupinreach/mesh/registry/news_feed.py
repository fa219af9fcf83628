"""News for the connected proxies: each gets what it lacks of the newest state, never what was overtaken."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lupinreach.mesh.configuration_update import ConfigurationHistory
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.link import Link
from lupinreach.mesh.messages import AgentHello, News, NewsAcknowledged, encode
from lupinreach.mesh.send_window import UpdateProgress

LATE_S = 1.0  # a change that a proxy has not acknowledged for so long is logged


@dataclass(slots=True)
class Receiver:
    """A proxy on its link."""

    link: Link
    address: str
    takes_updates: bool
    progress: UpdateProgress
    needs_whole: bool = False  # it could not use an update
    behind_since: float | None = None  # loop time from which on it has lacked the newest
    told_late: bool = False

    def lag_s(self, now: float) -> float:
        """Seconds for which it has lacked the newest; 0: it has acknowledged all."""
        return now - self.behind_since if self.behind_since is not None else 0.0


class NewsFeed:
    """The newest state and its receivers."""

    def __init__(self, in_contact: Callable[[], bool], log: EventLog) -> None:
        self._in_contact = in_contact
        self._log = log
        self._receivers: dict[Link, Receiver] = {}
        self.history = ConfigurationHistory()
        self.stamp: list[int] = []  # empty: nothing is known
        self.evacuations: dict[str, bool] = {}
        self.sent = 0
        self.sent_bytes = 0

    @property
    def receivers(self) -> list[Receiver]:
        return list(self._receivers.values())

    def publish(self, stamp: list[int], evacuations: dict[str, bool]) -> None:
        """A newer state; its configuration, where that is newer, is in `history` already."""
        self.stamp = stamp
        self.evacuations = evacuations
        now = asyncio.get_running_loop().time()
        for receiver in self._receivers.values():
            if receiver.behind_since is None:
                receiver.behind_since = now
            self._offer(receiver)

    def join(self, link: Link, hello: AgentHello) -> None:
        """A proxy has opened a link, and says what it holds."""
        progress = UpdateProgress(hello.config_version)
        receiver = Receiver(link, hello.address, hello.takes_updates, progress)
        self._receivers[link] = receiver
        if self.stamp:
            receiver.behind_since = asyncio.get_running_loop().time()
            self._offer(receiver)

    def leave(self, link: Link) -> None:
        """The link has ended."""
        self._receivers.pop(link, None)

    def acknowledged(self, link: Link, message: NewsAcknowledged) -> None:
        """A proxy has dealt with the oldest news that was out to it, and says what it holds."""
        receiver = self._receivers.get(link)
        if receiver is None:
            return
        progress = receiver.progress
        progress.window.acknowledged()
        if progress.window.empty:
            progress.config_version = message.config_version
            if progress.stamp == self.stamp:
                self._caught_up(receiver)
        self._offer(receiver)

    def pulled(self, link: Link) -> None:
        """A proxy could not use an update: it gets the whole."""
        receiver = self._receivers.get(link)
        if receiver is not None:
            receiver.needs_whole, receiver.progress.stamp = True, []
            self._offer(receiver)

    def _offer(self, receiver: Receiver) -> None:
        """Send what a proxy lacks, if its link has room for it."""
        progress = receiver.progress
        if progress.stamp >= self.stamp:
            return
        news = News(self.stamp, self.history.version, None, self.evacuations, self._in_contact())
        if progress.config_version != self.history.version and self.history.table is not None:
            takes_update = receiver.takes_updates and not receiver.needs_whole
            base = self.history.base_for(progress.config_version) if takes_update else ""
            news.base, news.config = self.history.packed_from(base)
        data = encode(news)
        if not progress.allows(len(data)):
            return
        receiver.link.send_encoded(data)
        progress.sent(len(data), self.history.version, self.stamp)
        receiver.needs_whole = False
        self.sent += 1
        self.sent_bytes += len(data)

    # What operators see.

    def _caught_up(self, receiver: Receiver) -> None:
        if receiver.told_late:
            late_s = round(receiver.lag_s(asyncio.get_running_loop().time()), 2)
            self._log.write(Event.NEWS_CAUGHT_UP, agent=receiver.address, late_s=late_s)
        receiver.behind_since = None
        receiver.told_late = False

    def tell_late(self, now: float) -> None:
        """Log the proxies that have lacked the newest for long, once each time."""
        for receiver in self._receivers.values():
            if receiver.lag_s(now) > LATE_S and not receiver.told_late:
                receiver.told_late = True
                self._log.write(Event.NEWS_LATE, agent=receiver.address, unsent=receiver.link.unsent)
