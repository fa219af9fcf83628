"""Operating an agent: the operators' HTTP endpoint, metrics, stored state, handover between processes, and its part in a fleet."""
