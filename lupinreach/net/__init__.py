"""The agent on sockets: the network around the decision module. Nothing here decides."""
