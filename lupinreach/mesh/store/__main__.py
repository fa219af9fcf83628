"""Entry point of the store process."""

import sys

import lupinreach.mesh.without_tls  # noqa: F401  # must precede every import of ssl
from lupinreach.mesh.process import serve
from lupinreach.mesh.store.program import StoreProgram

if __name__ == "__main__":
    sys.exit(serve("store", StoreProgram))
