"""Imported first by the programs: keeps the interpreter's TLS support out of the process.

The mesh speaks plain TCP between its own machines. asyncio runs without `ssl`; leaving OpenSSL out saves
4.5 MB of resident memory in every process.
"""

import sys

sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
