"""Runs a fleet as real processes: agents as in production, their peers, and a relay on every connection."""
