"""Runs the decision module behind the simulator's JSON line protocol."""
