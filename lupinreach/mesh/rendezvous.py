"""Rendezvous hashing: each process ranks its candidate peers by a hash of both addresses.

The ranks of different processes are independent, so the chosen peers are spread evenly.
"""

from __future__ import annotations

from zlib import crc32


def rendezvous_rank(own_address: str, address: str) -> int:
    """Rank of a peer for this process; the lowest rank is preferred."""
    return crc32(f"{own_address} {address}".encode())
