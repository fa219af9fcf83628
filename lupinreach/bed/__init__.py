"""The test bed: the fleet that lupinreach serves, in virtual time or on loopback, and what judges it.

An optional install (`pip install .[bed]`). The agent never imports it.
"""
