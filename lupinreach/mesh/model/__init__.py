"""Model checking of the store: random histories and exhaustive search run the code that runs in production."""
