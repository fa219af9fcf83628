"""Short soak tests: a few seeds of `soak.py`, each deterministic."""

from __future__ import annotations

from pathlib import Path

import pytest

from mesh.soak import Soak


@pytest.mark.parametrize(("seed", "proxies"), [(1, 6), (2, 6), (3, 6), (4, 6), (5, 9), (6, 12)])
def test_soak(seed: int, proxies: int, tmp_path: Path) -> None:
    soak = Soak(seed, tmp_path, proxies)
    assert soak.run() == []
    assert sum(record.status == 200 for record in soak.records) > len(soak.records) / 2
    assert sum(bool(change.acknowledged_at) for change in soak.changes) >= 5
