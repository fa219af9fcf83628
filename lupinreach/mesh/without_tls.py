"""Prevents the import of `ssl`; the programs import this module before any other.

The mesh uses plain TCP between its machines, and asyncio works without `ssl`. Not loading OpenSSL saves 4.5 MB of
resident memory per process.
"""

import sys

sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
