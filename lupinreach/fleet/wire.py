"""Datagrams between agents, 256 bytes at most. Pure.

    head    form (1 byte), kind (1), sender (2), life number (4), token (4), beat (4), flags (1), revision (8)
    BEAT    head, then members: agent (2), life number (4), token (4), beat (4), age of that beat in 0.1 s (2), each 16 bytes
    ASK     head, nonce (4)
    TELL    head, nonce (4), part (1), parts (1), members that stand (2), life that the asker is known by (8) and its beat
            (4), then drains:
            backend (4), boot in ms (8), each 12 bytes

    NEWS    head, then sections: kind (1), rows (1), bytes of a row (1), rows. Of a kind that the reader doesn't know, or whose
            rows are longer than it knows them, the rest is skipped: agents of two versions share what both know.
            MET     teller (2), its zone (1), backend (4), boot mark (2), figure in 1/64 of the SLO (1), age in 10 ms (2)
            COUNT   agent (2), its life's number (4), cell (1), total (4), stamp in 10 ms (4), age in 10 ms (2)
            STOOD   teller (2), backend (4), ages of its first and its last answer there in 10 ms (2, 2)
    WANT    head, nonce (4), budget (1), thousandths of an own share (2)
    GRANT   head, nonce (4), budget (1), thousandths of an own share (2)

Network byte order. A revision of 0 is none. Readers refuse another form and whatever doesn't add up, and take a longer head
of a later version for another form.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from lupinreach.fleet.counts import Count
from lupinreach.fleet.incarnation import Incarnation
from lupinreach.fleet.observations import STEP, Observation
from lupinreach.fleet.uptimes import Uptime

FORM = 1
MOST = 256  # bytes
BEAT, ASK, TELL, NEWS, WANT, GRANT = 1, 2, 3, 4, 5, 6
MET, COUNT, STOOD = 1, 2, 3  # kinds of sections
HEAD = struct.Struct("!BBHIIIBQ")
MEMBER, DRAIN, NONCE, PART = (
    struct.Struct("!HIIIH"),
    struct.Struct("!IQ"),
    struct.Struct("!I"),
    struct.Struct("!IBBHIII"),
)
SECTION, MET_ROW, COUNT_ROW, STOOD_ROW = (
    struct.Struct("!BBB"),
    struct.Struct("!HBIHBH"),
    struct.Struct("!HIBIIH"),
    struct.Struct("!HIHH"),
)
SHARE = struct.Struct("!IBH")
NEWS_ROOM = MOST - HEAD.size - 3 * SECTION.size  # bytes for rows
AGE, MOST_ROWS = 10.0, 255  # ms in a step of an age of news; rows in a section
REMEMBERS = 1  # flag: the sender knows more than it was told since it stood up
MEMBERS = (MOST - HEAD.size) // MEMBER.size  # that one BEAT names
DRAINS = (MOST - HEAD.size - PART.size) // DRAIN.size  # that one TELL names
MOST_PARTS = 8
MOST_AGE = (1 << 16) - 1
MOST_REVISION = (1 << 64) - 1


class Malformed(ValueError):
    """Not a datagram of this form; the text says why."""


@dataclass(frozen=True)
class Member:
    """One agent as a digest has it."""

    agent: int
    life: Incarnation
    beat: int
    age: int = 0  # in 0.1 s: since the teller heard of that beat, and who told it before


@dataclass(frozen=True)
class Drain:
    """A backend process that is not to get anything new."""

    backend: int  # its name, alike at all agents
    boot: int  # ms


@dataclass(frozen=True)
class Message:
    kind: int
    sender: int
    life: Incarnation
    beat: int
    remembers: bool
    revision: int  # the highest that the sender has seen; 0: none
    members: tuple[Member, ...] = ()
    nonce: int = 0
    part: int = 0
    parts: int = 1
    standing: int = 0
    known: Incarnation = field(default=Incarnation(0, 0))  # as which the asker is known; (0, 0): not at all
    known_beat: int = 0  # of that life, the last one heard
    drains: tuple[Drain, ...] = ()
    mets: tuple[Observation, ...] = ()
    counts: tuple[Count, ...] = ()
    stood: tuple[Uptime, ...] = ()
    budget: int = 0
    amount: int = 0  # thousandths of an own share


def written(m: Message) -> bytes:
    """The datagram; what doesn't fit is the writer's fault and raises struct.error or ValueError."""
    text = HEAD.pack(
        FORM,
        m.kind,
        m.sender,
        m.life.number,
        m.life.token,
        m.beat & 0xFFFFFFFF,
        REMEMBERS if m.remembers else 0,
        min(m.revision, MOST_REVISION),
    )
    if m.kind == BEAT:
        text += b"".join(
            MEMBER.pack(e.agent, e.life.number, e.life.token, e.beat & 0xFFFFFFFF, min(e.age, MOST_AGE))
            for e in m.members
        )
    elif m.kind == NEWS:
        mets = [
            MET_ROW.pack(
                e.teller,
                e.zone,
                e.backend,
                e.boot,
                min(255, int(e.figure * STEP)),
                min(MOST_AGE, int(e.age / AGE)),
            )
            for e in m.mets
        ]
        counts = [
            COUNT_ROW.pack(
                e.agent,
                e.life,
                e.cell,
                e.total & 0xFFFFFFFF,
                int(e.stamp / AGE) & 0xFFFFFFFF,
                min(MOST_AGE, int(e.age / AGE)),
            )
            for e in m.counts
        ]
        stood = [
            STOOD_ROW.pack(
                e.teller, e.backend, min(MOST_AGE, int(e.first / AGE)), min(MOST_AGE, int(e.last / AGE))
            )
            for e in m.stood
        ]
        for kind, size, rows in (
            (MET, MET_ROW.size, mets),
            (COUNT, COUNT_ROW.size, counts),
            (STOOD, STOOD_ROW.size, stood),
        ):
            text += SECTION.pack(kind, len(rows), size) + b"".join(rows) if rows else b""
    elif m.kind in (WANT, GRANT):
        text += SHARE.pack(m.nonce, m.budget, m.amount)
    elif m.kind == ASK:
        text += NONCE.pack(m.nonce)
    else:
        text += PART.pack(
            m.nonce, m.part, m.parts, m.standing, m.known.number, m.known.token, m.known_beat & 0xFFFFFFFF
        )
        text += b"".join(DRAIN.pack(d.backend, d.boot) for d in m.drains)
    if len(text) > MOST:
        raise ValueError(f"{len(text)} bytes")
    return text


def read(data: bytes) -> Message:
    """What a datagram says; Malformed where it says nothing."""
    if len(data) < HEAD.size or len(data) > MOST:
        raise Malformed("length")
    form, kind, sender, number, token, beat, flags, revision = HEAD.unpack_from(data)
    if form != FORM:
        raise Malformed(f"form {form}")
    head = {
        "kind": kind,
        "sender": sender,
        "life": Incarnation(number, token),
        "beat": beat,
        "remembers": bool(flags & REMEMBERS),
        "revision": revision,
    }
    rest = data[HEAD.size :]
    if kind == BEAT:
        if len(rest) % MEMBER.size:
            raise Malformed("members")
        return Message(
            **head,
            members=tuple(
                Member(a, Incarnation(n, t), b, age) for a, n, t, b, age in MEMBER.iter_unpack(rest)
            ),
        )
    if kind == NEWS:
        return Message(**head, **_news(rest))
    if kind in (WANT, GRANT) and len(rest) >= SHARE.size:
        nonce, budget, amount = SHARE.unpack_from(rest)
        return Message(**head, nonce=nonce, budget=budget, amount=amount)
    if kind == ASK and len(rest) == NONCE.size:
        return Message(**head, nonce=NONCE.unpack(rest)[0])
    if kind == TELL and len(rest) >= PART.size and (len(rest) - PART.size) % DRAIN.size == 0:
        nonce, part, parts, standing, known, known_token, known_beat = PART.unpack_from(rest)
        if not part < parts <= MOST_PARTS:
            raise Malformed("parts")
        return Message(
            **head,
            nonce=nonce,
            part=part,
            parts=parts,
            standing=standing,
            known=Incarnation(known, known_token),
            known_beat=known_beat,
            drains=tuple(Drain(b, boot) for b, boot in DRAIN.iter_unpack(rest[PART.size :])),
        )
    raise Malformed(f"kind {kind}")


def _news(rest: bytes) -> dict[str, tuple[Observation, ...] | tuple[Count, ...] | tuple[Uptime, ...]]:
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
        known = {MET: MET_ROW, COUNT: COUNT_ROW, STOOD: STOOD_ROW}.get(kind)
        if known is not None and size >= known.size:
            for row in (known.unpack_from(rest, at + i * size) for i in range(rows)):
                if kind == MET:
                    teller, zone, backend, boot, figure, age = row
                    mets.append(Observation(teller, zone, backend, boot, figure / STEP, age * AGE))
                elif kind == STOOD:
                    teller, backend, first, last = row
                    stood.append(Uptime(teller, backend, first * AGE, last * AGE))
                else:
                    agent, life, cell, total, stamp, age = row
                    counts.append(Count(agent, life, cell, total, stamp * AGE, age * AGE))
        at += rows * size
    return {"mets": tuple(mets), "counts": tuple(counts), "stood": tuple(stood)}
