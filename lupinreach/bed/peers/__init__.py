"""The peers of an agent: backends, the registry and clients, as models and as the protocols that serve them."""
