"""Whole-fleet failures searched for, shrunk, kept and reported."""
