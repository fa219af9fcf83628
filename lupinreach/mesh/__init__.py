"""The service mesh: proxy beside each backend, registry and configuration store on the core machines.

Importing this package first keeps the interpreter's TLS support out of the process. The mesh speaks plain
TCP between its own machines; leaving OpenSSL out saves 4.5 MB of resident memory in every process.
"""

import sys

sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]  # asyncio runs without it
