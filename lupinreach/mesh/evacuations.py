"""Evacuations of zones: the text form that all programs log."""

from __future__ import annotations

from collections.abc import Mapping


def active_zones(evacuations: Mapping[str, bool]) -> str:
    """The zones that are evacuated, or `none`."""
    return ",".join(sorted(zone for zone, active in evacuations.items() if active)) or "none"
