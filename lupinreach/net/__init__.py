"""The agent's network I/O around the decision module. All balancing decisions are made in the module."""
