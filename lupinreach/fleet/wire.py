"""Datagrams between agents, 256 bytes at most. Pure.

    head    form (1 byte), kind (1), sender (2), life number (4), token (4), beat (4), flags (1), revision (8)
    BEAT    head, then members: agent (2), life number (4), token (4), beat (4), age of that beat in 0.1 s (2), each 16 bytes
    ASK     head, nonce (4)
    TELL    head, nonce (4), part (1), parts (1), members that stand (2), life that the asker is known by (8) and its beat
            (4), then drains:
            backend (4), boot in ms (8), each 12 bytes

Network byte order. A revision of 0 is none. Readers refuse another form and whatever doesn't add up, and take a longer head
of a later version for another form.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

from lupinreach.fleet.life import Life

FORM = 1
MOST = 256  # bytes
BEAT, ASK, TELL = 1, 2, 3
HEAD = struct.Struct("!BBHIIIBQ")
MEMBER, DRAIN, NONCE, PART = struct.Struct("!HIIIH"), struct.Struct("!IQ"), struct.Struct("!I"), struct.Struct("!IBBHIII")
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
    life: Life
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
    life: Life
    beat: int
    remembers: bool
    revision: int  # the highest that the sender has seen; 0: none
    members: tuple[Member, ...] = ()
    nonce: int = 0
    part: int = 0
    parts: int = 1
    standing: int = 0
    known: Life = field(default=Life(0, 0))  # as which the asker is known; (0, 0): not at all
    known_beat: int = 0  # of that life, the last one heard
    drains: tuple[Drain, ...] = ()


def written(m: Message) -> bytes:
    """The datagram; what doesn't fit is the writer's fault and raises struct.error or ValueError."""
    text = HEAD.pack(FORM, m.kind, m.sender, m.life.number, m.life.token, m.beat & 0xFFFFFFFF,
                     REMEMBERS if m.remembers else 0, min(m.revision, MOST_REVISION))
    if m.kind == BEAT:
        text += b"".join(MEMBER.pack(e.agent, e.life.number, e.life.token, e.beat & 0xFFFFFFFF, min(e.age, MOST_AGE)) for e in m.members)
    elif m.kind == ASK:
        text += NONCE.pack(m.nonce)
    else:
        text += PART.pack(m.nonce, m.part, m.parts, m.standing, m.known.number, m.known.token, m.known_beat & 0xFFFFFFFF)
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
    head = {"kind": kind, "sender": sender, "life": Life(number, token), "beat": beat,
            "remembers": bool(flags & REMEMBERS), "revision": revision}
    rest = data[HEAD.size:]
    if kind == BEAT:
        if len(rest) % MEMBER.size:
            raise Malformed("members")
        return Message(**head, members=tuple(Member(a, Life(n, t), b, age) for a, n, t, b, age in MEMBER.iter_unpack(rest)))
    if kind == ASK and len(rest) == NONCE.size:
        return Message(**head, nonce=NONCE.unpack(rest)[0])
    if kind == TELL and len(rest) >= PART.size and (len(rest) - PART.size) % DRAIN.size == 0:
        nonce, part, parts, standing, known, known_token, known_beat = PART.unpack_from(rest)
        if not part < parts <= MOST_PARTS:
            raise Malformed("parts")
        return Message(**head, nonce=nonce, part=part, parts=parts, standing=standing, known=Life(known, known_token), known_beat=known_beat,
                       drains=tuple(Drain(b, boot) for b, boot in DRAIN.iter_unpack(rest[PART.size:])))
    raise Malformed(f"kind {kind}")
