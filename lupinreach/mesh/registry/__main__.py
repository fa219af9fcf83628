"""Entry point of the registry."""

import sys

from lupinreach.mesh.process import serve
from lupinreach.mesh.registry.program import RegistryProgram

if __name__ == "__main__":
    sys.exit(serve("registry", RegistryProgram))
