"""The registry: tracks the proxies, pushes configuration news to them, and serves the operators' calls."""
