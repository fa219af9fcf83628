"""Numbered log events, described in `docs/events.md`. A number is never reused for another meaning."""

from __future__ import annotations

import sys
import time
from enum import IntEnum
from typing import Any

try:
    import picologging as logging
except ImportError:  # no release for this interpreter; the standard module has the same interface
    import logging


LOGGER_NAME = "lupinreach.mesh"


class Event(IntEnum):
    """All events logged by the programs of the mesh."""

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
    NEWS_SENT_AGAIN = 314
    NEWS_UNREADABLE = 315
    STORE_LINK_UP = 320
    STORE_LINK_DOWN = 321
    PRIMARY_KNOWN = 322
    PRIMARY_LOST = 323
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
    """Writes the events of one process to standard error as `key=value` lines.

    Records bypass the logger and go straight to the handler: a picologging logger up to 0.9.3 leaks the caller's frame
    that it looks up, together with every object that the frame references.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._handler = logging.StreamHandler(sys.stderr)
        self._handler.setFormatter(logging.Formatter("%(message)s"))

    def write(self, event: Event, **fields: Any) -> None:
        """Log one event with its fields."""
        formatted = " ".join([f"{key}={_quote(value)}" for key, value in fields.items()])
        line = f"{time.time():.3f} {self._name} E{event:d} {event.name.lower()} {formatted}".rstrip()
        self._handler.handle(logging.LogRecord(LOGGER_NAME, logging.INFO, "", 0, line, (), None))


def _quote(value: Any) -> str:
    text = str(value)
    return f'"{text}"' if " " in text or not text else text
