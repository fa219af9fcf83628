"""Which process serves under an agent's name: recorded in a file that the old and the new process share."""

from __future__ import annotations

import os
from typing import NamedTuple

import orjson

from lupinreach.store.files import replace

FORMAT = 1  # of the file; a file of another format is ignored
MAX_FILE_BYTES = 4096


class Process(NamedTuple):
    """A process, identified by pid and start time: guards against a pid that was reused."""

    pid: int
    started: int  # clock ticks since the machine started


def encode(process: Process) -> bytes:
    """The content of the file that names this process."""
    return orjson.dumps({"form": FORMAT, "pid": process.pid, "started": process.started})


def decode(text: bytes) -> Process | None:
    """The process that a file names; None for a file of another format or a damaged one."""
    try:
        raw = orjson.loads(text)
        if raw["form"] != FORMAT or type(raw["pid"]) is not int or type(raw["started"]) is not int:
            return None
        return Process(raw["pid"], raw["started"]) if raw["pid"] > 0 else None
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return None


def running_process(pid: int) -> Process | None:
    """The process that runs under a pid; None if there is none, or only a zombie."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            after_name = file.read().rpartition(b")")[2].split()
    except OSError:
        return None
    # Fields 3 and 22 of proc(5): state and start time.
    return Process(pid, int(after_name[19])) if after_name[0] not in (b"Z", b"X") else None


class Succession:
    """One process's access to the file. Without a writable folder there is no succession."""

    def __init__(self, folder: str | None, name: str) -> None:
        safe = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)
        self._path = os.path.join(folder, f"lupinreach-{safe}.serving") if folder else None
        self._me = running_process(os.getpid())

    def other(self) -> Process | None:
        """The running process that took over last, if it isn't this one."""
        if self._path is None:
            return None
        try:
            with open(self._path, "rb") as file:
                named = decode(file.read(MAX_FILE_BYTES))
        except OSError:
            return None
        if named is None or named == self._me or running_process(named.pid) != named:
            return None
        return named

    def take_over(self) -> bool:
        """Names this process in the file; false if it can't be written."""
        return self._path is not None and self._me is not None and replace(self._path, encode(self._me))
