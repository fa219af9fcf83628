"""The service mesh: proxy beside each backend, registry and configuration store on the core machines."""
