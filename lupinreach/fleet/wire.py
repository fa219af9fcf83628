"""Datagrams between agents, at most 256 bytes each. Pure.

    header     format (1 byte), kind (1), sender (2), incarnation number (4), token (4), heartbeat (4),
               flags (1), revision (8)
    HEARTBEAT  header, then members: agent (2), incarnation number (4), token (4), heartbeat (4),
               age of that heartbeat in 0.1 s (2), 16 bytes each
    QUERY      header, nonce (4)
    REPLY      header, nonce (4), part (1), parts (1), members alive (2), incarnation by which the querying
               agent is known (8) and its heartbeat (4), then drains: backend (4), boot time in ms (8),
               12 bytes each
    UPDATE     header, then sections: kind (1), rows (1), bytes per row (1), rows:
               OBSERVATION  reporter (2), its zone (1), backend (4), boot hash (2),
                            latency in 1/64 of the SLO (1), age in 10 ms (2)
               COUNT        agent (2), its incarnation number (4), cell (1), total (4), stamp in 10 ms (4),
                            age in 10 ms (2)
               UPTIME       reporter (2), backend (4), ages of its first and its last answer in 10 ms (2, 2)
    BORROW     header, nonce (4), budget (1), thousandths of an own share (2)
    GRANT      header, nonce (4), budget (1), thousandths of an own share (2)

Network byte order. A revision of 0 means none. Readers reject another format and inconsistent lengths; a
longer header of a later version is taken for another format. A reader skips sections of kinds that it doesn't
know, and the rest of rows that are longer than it knows them: agents of two versions share what both know.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from lupinreach.fleet.counts import Count
from lupinreach.fleet.incarnation import Incarnation
from lupinreach.fleet.observations import LATENCY_STEPS_PER_SLO, Observation
from lupinreach.fleet.uptimes import Uptime

FORMAT = 1
MAX_BYTES = 256  # bytes
HEARTBEAT, QUERY, REPLY, UPDATE, BORROW, GRANT = 1, 2, 3, 4, 5, 6  # kinds of datagrams
OBSERVATION, COUNT, UPTIME = 1, 2, 3  # kinds of sections
HEADER = struct.Struct("!BBHIIIBQ")
MEMBER, DRAIN, NONCE_FIELD, REPLY_HEADER = (
    struct.Struct("!HIIIH"),
    struct.Struct("!IQ"),
    struct.Struct("!I"),
    struct.Struct("!IBBHIII"),
)
SECTION, OBSERVATION_ROW, COUNT_ROW, UPTIME_ROW = (
    struct.Struct("!BBB"),
    struct.Struct("!HBIHBH"),
    struct.Struct("!HIBIIH"),
    struct.Struct("!HIHH"),
)
LOAN = struct.Struct("!IBH")
# Bytes for rows, with all three sections present.
UPDATE_ROW_BYTES = MAX_BYTES - HEADER.size - 3 * SECTION.size
AGE_STEP_MS, MAX_ROWS = 10.0, 255  # ms per step of an age in an UPDATE; rows per section
FLAG_REMEMBERS = 1  # flag: the sender knows more than what it has received since its start
MAX_MEMBERS = (MAX_BYTES - HEADER.size) // MEMBER.size  # members per HEARTBEAT
MAX_DRAINS = (MAX_BYTES - HEADER.size - REPLY_HEADER.size) // DRAIN.size  # drains per REPLY
MAX_PARTS = 8
MAX_AGE_STEPS = (1 << 16) - 1
MAX_REVISION = (1 << 64) - 1


class Malformed(ValueError):
    """Not a datagram of this format; the message says why."""


@dataclass(frozen=True)
class Member:
    """One agent in the digest of a HEARTBEAT."""

    agent: int
    incarnation: Incarnation
    heartbeat: int
    age: int = 0  # of that heartbeat in 0.1 s, added up over the agents that passed it on


@dataclass(frozen=True)
class Drain:
    """A draining backend process, which gets no new calls."""

    backend: int  # its name, the same at all agents
    boot: int  # boot time, ms


@dataclass(frozen=True)
class Message:
    """A decoded datagram; fields that its kind doesn't have keep their defaults."""

    kind: int
    sender: int
    incarnation: Incarnation
    heartbeat: int
    remembers: bool
    revision: int  # highest revision of the backend list that the sender has seen; 0: none
    members: tuple[Member, ...] = ()
    nonce: int = 0
    part: int = 0
    parts: int = 1
    alive: int = 0
    known: Incarnation = field(
        default=Incarnation(0, 0)
    )  # incarnation by which the querying agent is known; (0, 0): not known
    known_heartbeat: int = 0  # last heartbeat received of that incarnation
    drains: tuple[Drain, ...] = ()
    mets: tuple[Observation, ...] = ()  # latency observations
    counts: tuple[Count, ...] = ()
    stood: tuple[Uptime, ...] = ()  # backend uptimes
    budget: int = 0
    amount: int = 0  # thousandths of an own share


def encode(m: Message) -> bytes:
    """Encodes a datagram.

    Values that don't fit are an error of the caller and raise struct.error or ValueError.
    """
    text = HEADER.pack(
        FORMAT,
        m.kind,
        m.sender,
        m.incarnation.number,
        m.incarnation.token,
        m.heartbeat & 0xFFFFFFFF,
        FLAG_REMEMBERS if m.remembers else 0,
        min(m.revision, MAX_REVISION),
    )
    if m.kind == HEARTBEAT:
        text += b"".join(
            MEMBER.pack(
                e.agent,
                e.incarnation.number,
                e.incarnation.token,
                e.heartbeat & 0xFFFFFFFF,
                min(e.age, MAX_AGE_STEPS),
            )
            for e in m.members
        )
    elif m.kind == UPDATE:
        mets = [
            OBSERVATION_ROW.pack(
                e.reporter,
                e.zone,
                e.backend,
                e.boot,
                min(255, int(e.relative_latency * LATENCY_STEPS_PER_SLO)),
                min(MAX_AGE_STEPS, int(e.age / AGE_STEP_MS)),
            )
            for e in m.mets
        ]
        counts = [
            COUNT_ROW.pack(
                e.agent,
                e.incarnation,
                e.cell,
                e.total & 0xFFFFFFFF,
                int(e.stamp / AGE_STEP_MS) & 0xFFFFFFFF,
                min(MAX_AGE_STEPS, int(e.age / AGE_STEP_MS)),
            )
            for e in m.counts
        ]
        stood = [
            UPTIME_ROW.pack(
                e.reporter,
                e.backend,
                min(MAX_AGE_STEPS, int(e.first / AGE_STEP_MS)),
                min(MAX_AGE_STEPS, int(e.last / AGE_STEP_MS)),
            )
            for e in m.stood
        ]
        for kind, size, rows in (
            (OBSERVATION, OBSERVATION_ROW.size, mets),
            (COUNT, COUNT_ROW.size, counts),
            (UPTIME, UPTIME_ROW.size, stood),
        ):
            text += SECTION.pack(kind, len(rows), size) + b"".join(rows) if rows else b""
    elif m.kind in (BORROW, GRANT):
        text += LOAN.pack(m.nonce, m.budget, m.amount)
    elif m.kind == QUERY:
        text += NONCE_FIELD.pack(m.nonce)
    else:
        text += REPLY_HEADER.pack(
            m.nonce, m.part, m.parts, m.alive, m.known.number, m.known.token, m.known_heartbeat & 0xFFFFFFFF
        )
        text += b"".join(DRAIN.pack(d.backend, d.boot) for d in m.drains)
    if len(text) > MAX_BYTES:
        raise ValueError(f"{len(text)} bytes")
    return text


def decode(data: bytes) -> Message:
    """Decodes a datagram; raises Malformed if it is none."""
    if len(data) < HEADER.size or len(data) > MAX_BYTES:
        raise Malformed("length")
    form, kind, sender, number, token, heartbeat, flags, revision = HEADER.unpack_from(data)
    if form != FORMAT:
        raise Malformed(f"form {form}")
    head = {
        "kind": kind,
        "sender": sender,
        "incarnation": Incarnation(number, token),
        "heartbeat": heartbeat,
        "remembers": bool(flags & FLAG_REMEMBERS),
        "revision": revision,
    }
    rest = data[HEADER.size :]
    if kind == HEARTBEAT:
        if len(rest) % MEMBER.size:
            raise Malformed("members")
        return Message(
            **head,
            members=tuple(
                Member(a, Incarnation(n, t), b, age) for a, n, t, b, age in MEMBER.iter_unpack(rest)
            ),
        )
    if kind == UPDATE:
        return Message(**head, **_decode_sections(rest))
    if kind in (BORROW, GRANT) and len(rest) >= LOAN.size:
        nonce, budget, amount = LOAN.unpack_from(rest)
        return Message(**head, nonce=nonce, budget=budget, amount=amount)
    if kind == QUERY and len(rest) == NONCE_FIELD.size:
        return Message(**head, nonce=NONCE_FIELD.unpack(rest)[0])
    if kind == REPLY and len(rest) >= REPLY_HEADER.size and (len(rest) - REPLY_HEADER.size) % DRAIN.size == 0:
        nonce, part, parts, alive, known, known_token, known_heartbeat = REPLY_HEADER.unpack_from(rest)
        if not part < parts <= MAX_PARTS:
            raise Malformed("parts")
        return Message(
            **head,
            nonce=nonce,
            part=part,
            parts=parts,
            alive=alive,
            known=Incarnation(known, known_token),
            known_heartbeat=known_heartbeat,
            drains=tuple(Drain(b, boot) for b, boot in DRAIN.iter_unpack(rest[REPLY_HEADER.size :])),
        )
    raise Malformed(f"kind {kind}")


def _decode_sections(
    rest: bytes,
) -> dict[str, tuple[Observation, ...] | tuple[Count, ...] | tuple[Uptime, ...]]:
    """The rows of an UPDATE by field of `Message`."""
    mets: list[Observation] = []
    counts: list[Count] = []
    stood: list[Uptime] = []
    at = 0
    while at < len(rest):
        if at + SECTION.size > len(rest):
            raise Malformed("section")
        kind, rows, size = SECTION.unpack_from(rest, at)
        at += SECTION.size
        if not size or at + rows * size > len(rest):
            raise Malformed("rows")
        known = {OBSERVATION: OBSERVATION_ROW, COUNT: COUNT_ROW, UPTIME: UPTIME_ROW}.get(kind)
        if known is not None and size >= known.size:
            for row in (known.unpack_from(rest, at + i * size) for i in range(rows)):
                if kind == OBSERVATION:
                    reporter, zone, backend, boot, latency, age = row
                    mets.append(
                        Observation(
                            reporter, zone, backend, boot, latency / LATENCY_STEPS_PER_SLO, age * AGE_STEP_MS
                        )
                    )
                elif kind == UPTIME:
                    reporter, backend, first, last = row
                    stood.append(Uptime(reporter, backend, first * AGE_STEP_MS, last * AGE_STEP_MS))
                else:
                    agent, incarnation, cell, total, stamp, age = row
                    counts.append(
                        Count(agent, incarnation, cell, total, stamp * AGE_STEP_MS, age * AGE_STEP_MS)
                    )
        at += rows * size
    return {"mets": tuple(mets), "counts": tuple(counts), "stood": tuple(stood)}
