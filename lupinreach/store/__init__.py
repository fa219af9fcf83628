"""What outlives a process and a power loss: records in one file, what of them is trusted, and their writing."""
