"""Random streams of a run: one per component, all derived from a single seed."""

from __future__ import annotations

from zlib import crc32

import numpy as np

RandomStream = np.random.Generator


def random_stream(seed: int, *name: object) -> RandomStream:
    """A generator that depends on the seed and the name alone, not on what other components draw."""
    text = ":".join(map(str, name)).encode()
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence((seed, crc32(text), len(text)))))
