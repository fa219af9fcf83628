"""The replicated configuration store: one primary, its backups and witnesses, on the core machines."""
