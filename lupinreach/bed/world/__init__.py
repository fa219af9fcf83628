"""The inputs and records of a run: world files, random streams, traffic, the network model and the ledger."""
