"""The store's file as bytes: records with checksums, the last one of a key counts. Pure.

    file    = record, record, ...
    record  = length (4 bytes, little endian), CRC-32 (4) of length and body, body
    body    = JSON: [key, value]; null in place of a value: the key is gone

The first record has the empty key and says what the file is: {"form": 1, "agent": name}. Reading ends at the first
record that is not whole: what follows can't be told apart any more and counts for nothing. Keys that a reader doesn't know
are kept as they are, so that a version before and one after can write the same file in turn.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

import orjson

FORM = 1
HEAD = struct.Struct("<II")
MOST_FILE = 4 << 20  # bytes
MOST_RECORD = 1 << 20
MOST_KEYS = 4096
OLDER = (
    b"{"  # how the carried file began before there was a store: one object, which is the value of `learnt`
)

State = dict[str, Any]


@dataclass
class Found:
    """What a file holds, and what of it can't be believed."""

    state: State = field(default_factory=dict)
    good: int = 0  # bytes up to the end of the last whole record
    lost: int = 0  # bytes after that
    why: str = ""  # why nothing, or not all, is believed; empty: all of it is

    @property
    def whole(self) -> bool:
        """If more can be appended to it."""
        return self.good > 0 and not self.why


def record(key: str, value: Any) -> bytes:
    """One record; ValueError where it is longer than may be."""
    body = orjson.dumps([key, value])
    if len(body) > MOST_RECORD:
        raise ValueError(f"{key}: {len(body)} bytes")
    size = len(body).to_bytes(4, "little")
    return HEAD.pack(len(body), crc32(size + body)) + body


def whole(agent: str, state: Mapping[str, Any]) -> bytes:
    """A file with that in it and nothing else."""
    return b"".join([record("", {"form": FORM, "agent": agent}), *(record(k, v) for k, v in state.items())])


def read(text: bytes, agent: str) -> Found:
    """Fold a file of that agent's; whatever is wrong with it, what stands before the fault counts."""
    if text[:1] == OLDER:
        return _older(text)
    found, at = Found(), 0
    while at < len(text):
        body = _body(text, at)
        if body is None:
            break
        at += HEAD.size + len(body)
        try:
            key, value = orjson.loads(body)
        except (orjson.JSONDecodeError, ValueError, TypeError):
            return Found(lost=len(text), why="no such file")
        if found.good == 0:
            if key != "" or not isinstance(value, dict) or value.get("form") != FORM:
                return Found(lost=len(text), why="another form")
            if value.get("agent") != agent:
                # Guards against another agent's disk: its life number and drains are not this one's to speak of.
                return Found(lost=len(text), why="another agent's")
        elif value is None:
            found.state.pop(key, None)
        elif len(found.state) < MOST_KEYS or key in found.state:
            found.state[key] = value
        found.good = at
    found.lost = len(text) - found.good
    found.why = ("torn" if found.lost else "") if found.good else "torn or empty"
    return found


def _body(text: bytes, at: int) -> bytes | None:
    """The body of the record that begins there; None where it is not whole."""
    if at + HEAD.size > len(text):
        return None
    size, check = HEAD.unpack_from(text, at)
    if size > MOST_RECORD or at + HEAD.size + size > len(text):
        return None
    body = text[at + HEAD.size : at + HEAD.size + size]
    return body if crc32(text[at : at + 4] + body) == check else None


def _older(text: bytes) -> Found:
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError:
        return Found(lost=len(text), why="torn or no such file")
    return Found({"learnt": raw}, 0, 0, "of before")
