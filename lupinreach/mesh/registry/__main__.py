"""Entry point of the registry."""

import sys

import lupinreach.mesh.without_tls  # noqa: F401  # before anything that would import ssl
from lupinreach.mesh.process import serve
from lupinreach.mesh.registry.program import RegistryProgram

if __name__ == "__main__":
    sys.exit(serve("registry", RegistryProgram))
