"""Trials of a whole fleet: parts of it fail, and it is measured how much of the possible is served (docs/trials.md)."""
