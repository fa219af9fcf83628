"""The store of configuration: primary, backups and witnesses on the core machines."""
