"""Everybody that an agent meets: backends, the registry and clients, models below and protocols in front."""
