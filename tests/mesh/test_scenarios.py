"""Runs every scenario file, and compares the decisions of the stores with a snapshot."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from mesh.scenario import Scenario

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario(path: Path, tmp_path: Path, snapshot: Any) -> None:
    scenario = Scenario(path, tmp_path)
    scenario.play()
    assert scenario.failures == []
    assert scenario.control_events() == snapshot
