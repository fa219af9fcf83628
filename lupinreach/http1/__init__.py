"""HTTP/1.1 parsing and serialisation without I/O, shared by the load-balancing agent and the mesh."""
