"""Entry point of the proxy."""

import sys

from lupinreach.mesh.process import serve
from lupinreach.mesh.proxy.program import ProxyProgram

if __name__ == "__main__":
    sys.exit(serve("proxy", ProxyProgram))
