"""The catalogue of events names each event of the code, and no other."""

from __future__ import annotations

import re
from pathlib import Path

from lupinreach.mesh.events import Event

CATALOGUE = Path(__file__).parents[2] / "docs" / "events.md"


def test_catalogue_and_code_agree() -> None:
    rows = re.findall(r"^\| (\d+) \| (\w+) \|", CATALOGUE.read_text(), re.MULTILINE)
    assert {int(number): name for number, name in rows} == {int(event): event.name.lower() for event in Event}
