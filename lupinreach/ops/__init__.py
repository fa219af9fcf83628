"""Operating an agent: operators' endpoint, metrics, stored state, process handover, fleet membership."""
