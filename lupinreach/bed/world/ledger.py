"""The ledger: what each client asked and got, what each backend received and ran, what was told to whom.

Independent of the agent: only the bed's clients, backends, registry and network write to it. Times are whole
microseconds since the run began. One line a record; the same run gives the same bytes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

Record = tuple[Any, ...]  # (kind, time in us, fields of the kind)

# Kinds and their fields, after kind and time.
WORLD = "world"  # facts: the spec that was played, as an object
ASKED = "asked"  # name of the try, API call, number of the try, agent, product, customer, work ms, client waits ms
GOT = "got"  # name, status, retry after ms, name that the body carries
LOST = "lost"  # name, why: the connection ended with no whole answer
LEFT = "left"  # name: the client stopped waiting and closed its connection
EXTRA = "extra"  # name of the last try on the connection: bytes came that nobody had asked for
REACHED = "reached"  # name: a relay has handed the try to its agent,
REPLIED = "replied"  # name: and has the first bytes of the agent's answer
SENT = "sent"  # agent, life, backend, name: the first byte of a shot left the agent
CAME = "came"  # backend, life, name, work ms: the last byte is there
AWAY = "away"  # backend, name: turned away, never ran
FAILED = "failed"  # backend, name: an error at once
RAN = "ran"  # backend, name, effect: True, or False for a repeat that was dropped
FELL = "fell"  # backend: pushed over
TOLD = "told"  # agent, life, version, [[backend, state], ...], whole list or not
STATE = "state"  # backend, life, state, capacity (ms of work a ms when warm), cold ms, share at the start, zone, cell
AGENT = "agent"  # agent, life, what: started, ready, stopping, ended, killed
TROUBLE = "trouble"  # number, kind, begins or ends, targets
SAID = "said"  # agent, event, its fields: what an agent's log says of its store and its fleet
FAULT = (
    "fault"  # what: an exception in the agent or the bed that nobody expected, or an agent that ended badly
)
LOAD = "load"  # backend, in work, waiting, capacity share at present
POOLS = "pools"  # sampled beside the run from the agents; no judgement rests on it


# Events of an agent's log that are booked.
RECORDED_LOG_EVENTS = frozenset(
    {"returned", "asked", "fleet", "store lost", "store failed", "registry reset", "ran recalled", "shared"}
)


class Ledger:
    """Grows with the run, which is bounded by its spec."""

    def __init__(self, start: float) -> None:
        self._start = start  # ms, on the clock that times are given by
        self.records: list[Record] = []
        self._sealed = False
        self.stopped = False  # by a signal, before the end

    def stop(self) -> None:
        """The run was stopped: what it has booked so far is all there is."""
        self.stopped = True
        self.seal()

    def seal(self) -> None:
        """The run is over: what its parts do while they are taken down is none of it."""
        self._sealed = True

    def add_record(self, kind: str, now: float, *fields: Any) -> None:
        """Book one fact. `now` in ms on the run's clock."""
        if not self._sealed:
            self.records.append((kind, round((now - self._start) * 1000), *fields))

    def of(self, *kinds: str) -> Iterator[Record]:
        return (r for r in self.records if r[0] in kinds)

    def digest(self) -> str:
        return digest(self.records)

    def save(self, path: Path) -> None:
        path.write_bytes(b"".join(map(line, self.records)))


def line(record: Record) -> bytes:
    return orjson.dumps(record, option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_SORT_KEYS)


def digest(records: Iterable[Record]) -> str:
    """Names the records and their order."""
    found = hashlib.blake2b(digest_size=16)
    for record in records:
        found.update(line(record))
    return found.hexdigest()
