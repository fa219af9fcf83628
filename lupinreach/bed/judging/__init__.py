"""Checks of a run's ledger against the rules, and the service that was delivered."""
