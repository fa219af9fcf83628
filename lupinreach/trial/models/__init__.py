"""Small models of what many agents do, every state of which is looked at, on the real pure modules."""
