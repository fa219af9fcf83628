"""Model checking of the store: random histories and exhaustive search of the production code."""
