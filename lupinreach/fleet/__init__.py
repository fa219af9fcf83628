"""Fleet membership, startup and shared state of agents: decisions only, no I/O."""
