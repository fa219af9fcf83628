"""The event catalogue lists exactly the events of the code; logging does not leak references."""

from __future__ import annotations

import gc
import re
import weakref
from pathlib import Path

import pytest

from lupinreach.mesh.events import Event, EventLog

CATALOGUE = Path(__file__).parents[2] / "docs" / "events.md"


def test_event_catalogue_matches_code() -> None:
    rows = re.findall(r"^\| (\d+) \| (\w+) \|", CATALOGUE.read_text(), re.MULTILINE)
    assert {int(number): name for number, name in rows} == {int(event): event.name.lower() for event in Event}


class _Referenced:
    """An object referenced by a function that logs."""


def _log_while_referencing(log: EventLog) -> weakref.ref[_Referenced]:
    referenced = _Referenced()
    log.write(Event.STARTED, version="00000001")
    return weakref.ref(referenced)


def test_logging_keeps_no_reference_to_the_caller(capfd: pytest.CaptureFixture[str]) -> None:
    log = EventLog("n1/proxy")
    references = [_log_while_referencing(log) for _ in range(10)]
    gc.collect()
    assert [reference() for reference in references] == [None] * 10
    assert capfd.readouterr().err.count("n1/proxy E100 started version=00000001\n") == 10
