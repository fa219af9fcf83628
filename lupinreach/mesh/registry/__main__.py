"""Entry point of the registry process."""

import sys

import lupinreach.mesh.without_tls  # noqa: F401  # must precede every import of ssl
from lupinreach.mesh.process import serve
from lupinreach.mesh.registry.program import RegistryProgram

if __name__ == "__main__":
    sys.exit(serve("registry", RegistryProgram))
