"""Ways to run a world: the stage, on virtual time or loopback, and agents with baseline policies or planted faults."""
