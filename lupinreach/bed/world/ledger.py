"""The ledger: requests and answers of each client, requests received and run by each backend, lists sent to agents.

Independent of the agent: only the bed's clients, backends, registry and network write to it. Times are whole
microseconds since the start of the run. A saved ledger has one line per record; the same run gives the same bytes.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

Record = tuple[Any, ...]  # (kind, time in us, fields of the kind)

# Record kinds; the comments list the fields that follow kind and time. "Request" is the id of a client request.
WORLD = "world"  # the world that was played and its seed, as an object
ASKED = "asked"  # request, API call, retry number, agent, product, customer, work ms, client timeout ms
GOT = "got"  # request, status, Retry-After ms, request id in the body
LOST = "lost"  # request, reason: the connection ended without a whole answer
LEFT = "left"  # request: the client timed out and closed its connection
EXTRA = "extra"  # last request on the connection: bytes arrived when no answer was outstanding
REACHED = "reached"  # request: a relay has passed it on to its agent
REPLIED = "replied"  # request: a relay has received the first bytes of the agent's answer
SENT = "sent"  # agent, incarnation, backend, request: the first byte of an attempt left the agent
CAME = "came"  # backend, incarnation, request, work ms: the last byte of the request arrived
AWAY = "away"  # backend, request: rejected without running
FAILED = "failed"  # backend, request: answered with an error at once
RAN = "ran"  # backend, request, effect: True, or False for a duplicate that was dropped
FELL = "fell"  # backend: overloaded while cold, and crashed
TOLD = "told"  # agent, incarnation, list version, [[backend, state], ...], True for a whole list
STATE = "state"  # backend, incarnation, state, warm capacity (ms of work per ms), cold ms, starting share, zone, cell
AGENT = "agent"  # agent, incarnation, one of started, ready, stopping, ended, killed
TROUBLE = "trouble"  # number, kind, begins or ends, targets
SAID = "said"  # agent, event, its fields: log events of an agent about its store and its fleet
FAULT = "fault"  # text: an unexpected exception in the agent or the bed, or an agent with a bad exit status
LOAD = "load"  # backend, requests running, requests queued, current share of the warm capacity
POOLS = "pools"  # [[backend, number of agents that pool it], ...]: sampled, used by no check


# Log events of an agent that are recorded as SAID.
RECORDED_LOG_EVENTS = frozenset(
    {"returned", "asked", "fleet", "store lost", "store failed", "registry reset", "ran recalled", "shared"}
)


class Ledger:
    """The records of a run, in memory; their number is bounded by the world's limit on calls."""

    def __init__(self, start: float) -> None:
        self._start = start  # ms, on the clock that `add_record` is given times of
        self.records: list[Record] = []
        self._sealed = False
        self.stopped = False  # a signal ended the run early

    def stop(self) -> None:
        """Marks the run as stopped early and ignores all further records."""
        self.stopped = True
        self.seal()

    def seal(self) -> None:
        """Ignores all further records, so that the teardown of a run does not add to it."""
        self._sealed = True

    def add_record(self, kind: str, now: float, *fields: Any) -> None:
        """Appends one record. `now` is in ms on the run's clock."""
        if not self._sealed:
            self.records.append((kind, round((now - self._start) * 1000), *fields))

    def of(self, *kinds: str) -> Iterator[Record]:
        """The records of the given kinds, in order."""
        return (r for r in self.records if r[0] in kinds)

    def digest(self) -> str:
        """A digest of all records."""
        return digest(self.records)

    def save(self, path: Path) -> None:
        """Writes all records to a file, one JSON array per line."""
        path.write_bytes(b"".join(map(encode_record, self.records)))


def encode_record(record: Record) -> bytes:
    """A record as one line of JSON with sorted keys."""
    return orjson.dumps(record, option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_SORT_KEYS)


def digest(records: Iterable[Record]) -> str:
    """A hash of the records and their order."""
    hash_state = hashlib.blake2b(digest_size=16)
    for record in records:
        hash_state.update(encode_record(record))
    return hash_state.hexdigest()
