"""Trials of a whole fleet: parts of it fail, and the served share of the possible value is measured (docs/trials.md)."""
