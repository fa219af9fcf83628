"""A run's book held against the rules, and what was served."""
