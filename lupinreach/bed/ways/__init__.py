"""Ways to play a world: the stage, and under it virtual time or loopback; agents other than the program's own."""
