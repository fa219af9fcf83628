"""Entry point of the store."""

import sys

from lupinreach.mesh.process import serve
from lupinreach.mesh.store.program import StoreProgram

if __name__ == "__main__":
    sys.exit(serve("store", StoreProgram))
