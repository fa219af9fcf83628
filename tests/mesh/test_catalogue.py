"""The catalogue of events names each event of the code, and no other."""

from __future__ import annotations

import gc
import re
import weakref
from pathlib import Path

import pytest

from lupinreach.mesh.events import Event, EventLog

CATALOGUE = Path(__file__).parents[2] / "docs" / "events.md"


def test_catalogue_and_code_agree() -> None:
    rows = re.findall(r"^\| (\d+) \| (\w+) \|", CATALOGUE.read_text(), re.MULTILINE)
    assert {int(number): name for number, name in rows} == {int(event): event.name.lower() for event in Event}


class _Held:
    """Something that a function holds while it logs."""


def _log_while_holding(log: EventLog) -> weakref.ref[_Held]:
    held = _Held()
    log.write(Event.STARTED, version="00000001")
    return weakref.ref(held)


def test_a_line_keeps_nothing_of_its_caller_alive(capfd: pytest.CaptureFixture[str]) -> None:
    log = EventLog("n1/proxy")
    left = [_log_while_holding(log) for _ in range(10)]
    gc.collect()
    assert [reference() for reference in left] == [None] * 10
    assert capfd.readouterr().err.count("n1/proxy E100 started version=00000001\n") == 10
