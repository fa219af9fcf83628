"""What agents of one fleet know of each other and decide together: pure, no I/O."""
