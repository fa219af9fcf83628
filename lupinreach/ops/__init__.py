"""The agent day by day: the operators' door and what it tells."""
