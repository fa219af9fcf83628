"""Model checking of stores and registries: random histories and exhaustive search of the production code."""
