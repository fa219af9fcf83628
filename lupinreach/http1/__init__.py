"""HTTP/1.1 without I/O, shared by the agent in service and the mesh."""
