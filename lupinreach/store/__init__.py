"""State that outlasts a process and a power loss: records in one file, what of them is trusted after a restart, and their writing."""
