"""What agents of one fleet know of each other, and how they return together: decisions alone, no I/O."""
