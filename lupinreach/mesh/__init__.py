"""The service mesh: a sidecar proxy for each backend, and a registry and a configuration store on the core machines."""
