"""The test bed: simulates the fleet that lupinreach serves, in virtual time or on loopback, and checks each run.

An optional install (`pip install .[bed]`). The agent never imports it.
"""
