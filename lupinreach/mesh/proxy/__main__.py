"""Entry point of the proxy."""

import sys

import lupinreach.mesh.without_tls  # noqa: F401  # before anything that would import ssl
from lupinreach.mesh.process import serve
from lupinreach.mesh.proxy.program import ProxyProgram

if __name__ == "__main__":
    sys.exit(serve("proxy", ProxyProgram))
