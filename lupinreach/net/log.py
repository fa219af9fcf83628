"""The log: one JSON line for each event on standard output, never one for each API call."""

from __future__ import annotations

import logging
import os
import select

import orjson

from lupinreach.net.clock import Clock

MAX_LINE_BYTES = 4000  # below PIPE_BUF (4096), so that a line is written atomically
MAX_TEXT_CHARS = 500  # longer text fields are cut off


class Log(logging.Handler):
    """Writes the agent's events and, as a logging handler, the errors that libraries log."""

    def __init__(self, name: str, clock: Clock, descriptor: int = 1) -> None:
        super().__init__(logging.ERROR)
        self._agent = name
        self._clock = clock
        self._descriptor = descriptor
        self._ready = select.poll()
        self._ready.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def event(self, event: str, **fields: object) -> None:
        """Write one event, or drop it if the reader is slow: the log must not block API calls."""
        fields = {k: v[:MAX_TEXT_CHARS] if isinstance(v, str) else v for k, v in fields.items()}
        head = {"at": round(self._clock.now(), 1), "agent": self._agent, "event": event}
        line = orjson.dumps(head | fields, default=str, option=orjson.OPT_APPEND_NEWLINE)
        try:
            writable = self._ready.poll(0)
            if len(line) > MAX_LINE_BYTES or not writable or not writable[0][1] & select.POLLOUT:
                self.dropped += 1
            else:
                os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record of a library."""
        self.event("library", name=record.name, text=record.getMessage())
