"""Model checking of the store: the functions that run, under drawn histories and exhaustive search."""
