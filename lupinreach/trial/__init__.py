"""Trials of a whole fleet: parts of it fail, and the share of the possible value that is served is measured (docs/trials.md)."""
