"""Numbered log events. `docs/events.md` is the catalogue; a number never changes its meaning."""

from __future__ import annotations

import sys
import time
from enum import IntEnum
from typing import Any

try:
    import picologging as logging
except (
    ImportError
):  # it has no release for this interpreter; the standard library's module has the same calls
    import logging


LOGGER = "lupinreach.mesh"


class Event(IntEnum):
    """All events that the programs of the mesh log."""

    STARTED = 100
    STOPPING = 101
    STOPPED = 102
    SETTINGS_RELOADED = 103
    SETTINGS_REFUSED = 104
    FAULT = 105
    METRICS_UNAVAILABLE = 106
    CONFIGURATION_APPLIED = 200
    UPDATE_UNFIT = 201
    BACKEND_CHANGED = 210
    BACKEND_EJECTED = 211
    BACKEND_RESTORED = 212
    KIND_STARVED = 213
    REGISTRY_UP = 230
    REGISTRY_DOWN = 231
    REGISTRY_CHANGED = 232
    ORDER_TAKEN = 300
    ORDER_REFUSED = 301
    AGENT_JOINED = 310
    AGENT_REMOVED = 311
    NEWS_LATE = 312
    NEWS_CAUGHT_UP = 313
    IDENTITY_DRAWN = 400
    VIEW_PROPOSED = 401
    VIEW_DECIDED = 402
    PRIMARY_SERVING = 403
    PRIMARY_STEPPED_DOWN = 404
    MEMBER_SUSPECTED = 405
    ORDER_COMMITTED = 407
    DISK_FAILED = 408
    DISK_RECOVERED = 409
    HANDED_OVER = 410


class EventLog:
    """Writes events of one process as `key=value` lines to standard error.

    Records go to the handler directly: a picologging logger looks up its caller, and up to 0.9.3 never lets go of
    the frame that it finds, nor of anything that the frame's functions hold.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._handler = logging.StreamHandler(sys.stderr)
        self._handler.setFormatter(logging.Formatter("%(message)s"))

    def write(self, event: Event, **facts: Any) -> None:
        """Log one event with its facts."""
        told = " ".join([f"{key}={_quoted(value)}" for key, value in facts.items()])
        line = f"{time.time():.3f} {self._name} E{event:d} {event.name.lower()} {told}".rstrip()
        self._handler.handle(logging.LogRecord(LOGGER, logging.INFO, "", 0, line, (), None))


def _quoted(value: Any) -> str:
    text = str(value)
    return f'"{text}"' if " " in text or not text else text
