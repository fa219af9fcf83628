"""The world's chance: a stream of its own for each part, all from one seed."""

from __future__ import annotations

from zlib import crc32

import numpy as np

RandomStream = np.random.Generator


def random_stream(seed: int, *name: object) -> RandomStream:
    """The same numbers for the same seed and name, whatever other parts draw."""
    text = ":".join(map(str, name)).encode()
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence((seed, crc32(text), len(text)))))
