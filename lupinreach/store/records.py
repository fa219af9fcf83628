"""The store's file format: records with checksums, of which the last one of a key counts. Pure.

    file    = record, record, ...
    record  = length (4 bytes, little endian), CRC-32 (4) of length and body, body
    body    = JSON: [key, value]; null as value deletes the key

The first record has the empty key and identifies the file: {"form": 1, "agent": name}. Reading ends at the
first record that is not complete, since what follows can't be delimited any more; it is ignored. Keys that a
reader doesn't know are kept unchanged, so that an earlier and a later version can write the same file in
turn.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

import orjson

FORMAT = 1  # of the file; any other is rejected
HEADER = struct.Struct("<II")
MAX_FILE_BYTES = 4 << 20
MAX_RECORD_BYTES = 1 << 20
MAX_KEYS = 4096
LEGACY_FIRST_BYTE = b"{"  # of a file from before there was a store: one JSON object, the value of `learnt`

State = dict[str, Any]


@dataclass
class FileContents:
    """The content of a file, and what of it is damaged."""

    state: State = field(default_factory=dict)
    good: int = 0  # bytes up to the end of the last complete record
    lost: int = 0  # bytes after it
    why: str = ""  # why nothing, or not all, is used; empty: all of it is

    @property
    def appendable(self) -> bool:
        """Whether records can be appended to the file."""
        return self.good > 0 and not self.why


def encode_record(key: str, value: Any) -> bytes:
    """Encodes one record; raises ValueError if it is too long."""
    body = orjson.dumps([key, value])
    if len(body) > MAX_RECORD_BYTES:
        raise ValueError(f"{key}: {len(body)} bytes")
    size = len(body).to_bytes(4, "little")
    return HEADER.pack(len(body), crc32(size + body)) + body


def encode_file(agent: str, state: Mapping[str, Any]) -> bytes:
    """Encodes a file with this state and nothing else."""
    return b"".join(
        [
            encode_record("", {"form": FORMAT, "agent": agent}),
            *(encode_record(k, v) for k, v in state.items()),
        ]
    )


def decode_file(text: bytes, agent: str) -> FileContents:
    """Decodes a file of an agent; if it is damaged, the records before the damage count."""
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
                # Guards against another agent's disk, whose incarnation number and drains don't apply to this
                # one.
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
    """The body of the record at an offset; None if it is not complete."""
    if at + HEADER.size > len(text):
        return None
    size, check = HEADER.unpack_from(text, at)
    if size > MAX_RECORD_BYTES or at + HEADER.size + size > len(text):
        return None
    body = text[at + HEADER.size : at + HEADER.size + size]
    return body if crc32(text[at : at + 4] + body) == check else None


def _decode_legacy(text: bytes) -> FileContents:
    """Decodes a file from before there was a store."""
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError:
        return FileContents(lost=len(text), why="torn or no such file")
    return FileContents({"learnt": raw}, 0, 0, "of before")
