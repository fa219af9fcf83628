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

FORMAT = 1
HEADER = struct.Struct("<II")
MAX_FILE_BYTES = 4 << 20  # bytes
MAX_RECORD_BYTES = 1 << 20
MAX_KEYS = 4096
LEGACY_FIRST_BYTE = (
    b"{"  # how the carried file began before there was a store: one object, which is the value of `learnt`
)

State = dict[str, Any]


@dataclass
class FileContents:
    """What a file holds, and what of it can't be believed."""

    state: State = field(default_factory=dict)
    good: int = 0  # bytes up to the end of the last whole record
    lost: int = 0  # bytes after that
    why: str = ""  # why nothing, or not all, is believed; empty: all of it is

    @property
    def appendable(self) -> bool:
        """If more can be appended to it."""
        return self.good > 0 and not self.why


def encode_record(key: str, value: Any) -> bytes:
    """One record; ValueError where it is longer than may be."""
    body = orjson.dumps([key, value])
    if len(body) > MAX_RECORD_BYTES:
        raise ValueError(f"{key}: {len(body)} bytes")
    size = len(body).to_bytes(4, "little")
    return HEADER.pack(len(body), crc32(size + body)) + body


def encode_file(agent: str, state: Mapping[str, Any]) -> bytes:
    """A file with that in it and nothing else."""
    return b"".join(
        [
            encode_record("", {"form": FORMAT, "agent": agent}),
            *(encode_record(k, v) for k, v in state.items()),
        ]
    )


def decode_file(text: bytes, agent: str) -> FileContents:
    """Fold a file of that agent's; whatever is wrong with it, what stands before the fault counts."""
    if text[:1] == LEGACY_FIRST_BYTE:
        return _decode_legacy(text)
    found, at = FileContents(), 0
    while at < len(text):
        body = _read_body(text, at)
        if body is None:
            break
        at += HEADER.size + len(body)
        try:
            key, value = orjson.loads(body)
        except (orjson.JSONDecodeError, ValueError, TypeError):
            return FileContents(lost=len(text), why="no such file")
        if found.good == 0:
            if key != "" or not isinstance(value, dict) or value.get("form") != FORMAT:
                return FileContents(lost=len(text), why="another form")
            if value.get("agent") != agent:
                # Guards against another agent's disk: its life number and drains are not this one's to speak of.
                return FileContents(lost=len(text), why="another agent's")
        elif value is None:
            found.state.pop(key, None)
        elif len(found.state) < MAX_KEYS or key in found.state:
            found.state[key] = value
        found.good = at
    found.lost = len(text) - found.good
    found.why = ("torn" if found.lost else "") if found.good else "torn or empty"
    return found


def _read_body(text: bytes, at: int) -> bytes | None:
    """The body of the record that begins there; None where it is not whole."""
    if at + HEADER.size > len(text):
        return None
    size, check = HEADER.unpack_from(text, at)
    if size > MAX_RECORD_BYTES or at + HEADER.size + size > len(text):
        return None
    body = text[at + HEADER.size : at + HEADER.size + size]
    return body if crc32(text[at : at + 4] + body) == check else None


def _decode_legacy(text: bytes) -> FileContents:
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError:
        return FileContents(lost=len(text), why="torn or no such file")
    return FileContents({"learnt": raw}, 0, 0, "of before")
