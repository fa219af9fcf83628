"""What a run is of: its file, chance, traffic, the network between machines, and the book of what happened."""
