"""State that outlasts a process and a power loss: file format, writing, and what is restored."""
