"""Sends news to the connected proxies: each gets what it lacks of the newest state, never a superseded one.

What was sent counts as in force only once the proxy reports that version. A proxy that acknowledges the newest state
and reports an older version has rejected the update, or put it aside; it is sent the complete configuration again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lupinreach.mesh.configuration import is_newer
from lupinreach.mesh.configuration_update import ConfigurationHistory
from lupinreach.mesh.events import Event, EventLog
from lupinreach.mesh.link import Link
from lupinreach.mesh.messages import AgentHello, StateUpdate, StateUpdateAcknowledged, encode
from lupinreach.mesh.send_window import UpdateProgress

LATE_AFTER_S = 1.0  # a proxy that has not acknowledged a change for this long is logged
RESEND_AFTER_S = 0.5  # from an acknowledgement with an older version until the configuration is sent again


@dataclass(slots=True)
class Receiver:
    """A connected proxy and the state of its updates."""

    link: Link
    address: str
    takes_updates: bool
    progress: UpdateProgress
    needs_full: bool = False  # it could not apply an update and needs the complete configuration
    behind_since: float | None = None  # loop time since which it has not acknowledged the newest state
    late_logged: bool = False  # NEWS_LATE was logged and NEWS_CAUGHT_UP not yet
    resend_at: float | None = None  # loop time; it has the newest news and does not use the configuration

    def lag_s(self, now: float) -> float:
        """Seconds since it fell behind the newest state; 0 if it has acknowledged that state."""
        return now - self.behind_since if self.behind_since is not None else 0.0


class NewsFeed:
    """The newest committed state and the proxies that receive it."""

    def __init__(self, in_contact: Callable[[], bool], log: EventLog) -> None:
        self._in_contact = in_contact
        self._log = log
        self._receivers: dict[Link, Receiver] = {}
        self.history = ConfigurationHistory()
        self.stamp: list[int] = []  # epoch and sequence; empty until a state is known
        self.evacuations: dict[str, bool] = {}
        self.sent = 0
        self.sent_bytes = 0

    @property
    def receivers(self) -> list[Receiver]:
        """All connected proxies."""
        return list(self._receivers.values())

    def publish(self, stamp: list[int], evacuations: dict[str, bool]) -> None:
        """Send a newer state to all receivers; a newer configuration must be in `history` already."""
        self.stamp = stamp
        self.evacuations = evacuations
        now = asyncio.get_running_loop().time()
        for receiver in self._receivers.values():
            if receiver.behind_since is None:
                receiver.behind_since = now
            if is_newer(self.history.version, receiver.progress.config_version):
                receiver.progress.stamp = []  # this stamp may have been sent without the configuration
            self._send_if_behind(receiver)

    def join(self, link: Link, hello: AgentHello) -> None:
        """Add a proxy that has opened a link; its hello says which configuration it holds."""
        progress = UpdateProgress(hello.config_version)
        receiver = Receiver(link, hello.address, hello.takes_updates, progress)
        self._receivers[link] = receiver
        if self.stamp:
            receiver.behind_since = asyncio.get_running_loop().time()
            self._send_if_behind(receiver)

    def leave(self, link: Link) -> None:
        """Remove the proxy of a closed link."""
        self._receivers.pop(link, None)

    def on_acknowledged(self, link: Link, message: StateUpdateAcknowledged) -> None:
        """A proxy has processed the oldest unacknowledged news, and reports which version it holds."""
        receiver = self._receivers.get(link)
        if receiver is None:
            return
        progress = receiver.progress
        progress.window.acknowledged()
        if progress.window.empty:
            progress.config_version = message.config_version
            if progress.stamp == self.stamp:
                self._on_newest_acknowledged(receiver)
        self._send_if_behind(receiver)

    def _on_newest_acknowledged(self, receiver: Receiver) -> None:
        """A proxy has processed the newest news; it has caught up if it uses the newest configuration."""
        if not is_newer(self.history.version, receiver.progress.config_version):
            self._on_caught_up(receiver)
        elif receiver.resend_at is None:
            receiver.resend_at = asyncio.get_running_loop().time() + RESEND_AFTER_S

    def on_pull(self, link: Link) -> None:
        """A proxy could not apply an update: send it the complete configuration."""
        receiver = self._receivers.get(link)
        if receiver is not None:
            self._send_full(receiver)

    def resend(self, now: float) -> None:
        """Send the configuration again to the proxies that did not put it in force; to be called regularly."""
        for receiver in self._receivers.values():
            if receiver.resend_at is not None and receiver.resend_at <= now:
                self._log.write(
                    Event.NEWS_SENT_AGAIN, agent=receiver.address, held=receiver.progress.config_version
                )
                self._send_full(receiver)

    def _send_full(self, receiver: Receiver) -> None:
        receiver.needs_full = True
        receiver.progress.stamp = []
        receiver.progress.config_version = ""
        self._send_if_behind(receiver)

    def _send_if_behind(self, receiver: Receiver) -> None:
        """Send a proxy the newest state if it lacks it and its send window has room."""
        progress = receiver.progress
        if progress.stamp >= self.stamp:
            return
        news = StateUpdate(self.stamp, self.history.version, None, self.evacuations, self._in_contact())
        if progress.config_version != self.history.version and self.history.table is not None:
            takes_update = receiver.takes_updates and not receiver.needs_full
            base = self.history.base_for(progress.config_version) if takes_update else ""
            news.base, news.config = self.history.packed_from(base)
        data = encode(news)
        if not progress.allows(len(data)):
            return
        receiver.link.send_encoded(data)
        progress.sent(len(data), self.history.version, self.stamp)
        receiver.needs_full = False
        receiver.resend_at = None
        self.sent += 1
        self.sent_bytes += len(data)

    # Log events for operators.

    def _on_caught_up(self, receiver: Receiver) -> None:
        if receiver.late_logged:
            late_s = round(receiver.lag_s(asyncio.get_running_loop().time()), 2)
            self._log.write(Event.NEWS_CAUGHT_UP, agent=receiver.address, late_s=late_s)
        receiver.behind_since = None
        receiver.late_logged = False
        receiver.resend_at = None

    def log_late_receivers(self, now: float) -> None:
        """Log each proxy that has been behind for `LATE_AFTER_S`, once until it has caught up."""
        for receiver in self._receivers.values():
            if receiver.lag_s(now) > LATE_AFTER_S and not receiver.late_logged:
                receiver.late_logged = True
                self._log.write(Event.NEWS_LATE, agent=receiver.address, unsent=receiver.link.unsent)
