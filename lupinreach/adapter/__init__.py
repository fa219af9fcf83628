"""The simulator's wire in front of the decision module."""
