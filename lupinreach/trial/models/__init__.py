"""Exhaustive model checking of small groups of agents. The models run the pure modules of the product."""
