"""Rendezvous hashing: each process ranks others by a hash of both addresses, so that all together spread evenly."""

from __future__ import annotations

from zlib import crc32


def rendezvous_rank(own_address: str, address: str) -> int:
    """Place of another process in this one's order; the lowest goes first."""
    return crc32(f"{own_address} {address}".encode())
