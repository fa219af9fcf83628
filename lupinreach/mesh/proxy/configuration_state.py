"""The configuration and evacuations in force in a proxy; their versions never go back within one process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgpack

from lupinreach.mesh.configuration import is_newer
from lupinreach.mesh.configuration_update import (
    Applied,
    ConfigurationUpdate,
    pack_configuration,
    unpack_configuration,
)
from lupinreach.mesh.messages import StateUpdate
from lupinreach.mesh.route_table import RouteTable

Stamp = tuple[int, int]  # epoch and sequence of the store's last change
STALE_CONFIGURATION_DELAY_S = 1.0  # how long a proxy without a configuration waits for a fresh one


class ConfigurationState:
    """Newest configuration and newest evacuations received from any registry or neighbour."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.stamp: Stamp = (0, 0)
        self.evacuations: dict[str, bool] = {}
        self._stale_messages: list[
            StateUpdate
        ] = []  # from senders without contact to a primary; not used yet
        self._listeners: list[Callable[[], None]] = []
        self.applied = 0  # count of configurations put in force

    @property
    def version(self) -> str:
        """Version of the configuration in force, empty if there is none."""
        return self.table.version if self.table is not None else ""

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change."""
        self._listeners.append(listener)

    def evacuated(self, zone: str) -> bool:
        """True if a zone is evacuated."""
        return self.evacuations.get(zone, False)

    def apply(self, message: StateUpdate) -> Applied:
        """Apply what is newer than the state in force.

        A sender without contact to the primary may hold an old configuration. A proxy with an older one
        applies it at once; one without any first waits `STALE_CONFIGURATION_DELAY_S` for a sender in contact.
        """
        if self.table is None and not message.fresh:
            if not self._stale_messages:
                asyncio.get_running_loop().call_later(STALE_CONFIGURATION_DELAY_S, self._apply_stale)
            self._stale_messages.append(message)
            return Applied.NOT_NEWER
        self._stale_messages.clear()
        return self._apply(message)

    def _apply_stale(self) -> None:
        """Apply the stale messages, because none came from a sender in contact with the primary."""
        stale_messages, self._stale_messages = self._stale_messages, []
        for message in stale_messages:
            self._apply(message)

    def _apply(self, message: StateUpdate) -> Applied:
        applied = self._apply_configuration(message)
        stamp: Stamp = (message.stamp[0], message.stamp[1])
        changed = applied is Applied.IN_FORCE
        if stamp > self.stamp:
            self.stamp = stamp
            changed = changed or self.evacuations != message.evacuations
            self.evacuations = dict(message.evacuations)
        if changed:
            for listener in self._listeners:
                listener()
        return applied

    def _apply_configuration(self, message: StateUpdate) -> Applied:
        if message.config is None or not is_newer(message.config_version, self.version):
            return Applied.NOT_NEWER
        try:
            if message.base:
                applied, self.table = ConfigurationUpdate.unpack(message.config).apply(self.table)
            else:
                applied, self.table = Applied.IN_FORCE, unpack_configuration(message.config)
        except (ValueError, TypeError, msgpack.UnpackException):
            return Applied.UNFIT
        self.applied += applied is Applied.IN_FORCE
        return applied

    def to_message(self) -> StateUpdate:
        """Return the whole state as one message, not fresh: a proxy can't know that it is the newest."""
        packed_table = pack_configuration(self.table) if self.table is not None else None
        return StateUpdate(list(self.stamp), self.version, packed_table, self.evacuations, fresh=False)
