"""The command line. `agent` needs the base package, `mesh` the extra `mesh`, the others the extra `bed`."""

from __future__ import annotations

import sys


def _mesh(arguments: list[str]) -> int:
    try:
        from lupinreach.mesh.cli import main as mesh
    except ModuleNotFoundError as missing:
        print(
            f"lupinreach: {missing.name} is not installed; try: pip install 'lupinreach[mesh]'",
            file=sys.stderr,
        )
        return 2
    return mesh(arguments)


def main() -> None:
    """Entry point of the command `lupinreach`."""
    if sys.argv[1:2] == ["agent"] and len(sys.argv) == 2:
        from lupinreach.__main__ import serve

        sys.exit(serve())
    if sys.argv[1:2] == ["mesh"]:
        sys.exit(_mesh(sys.argv[2:]))
    try:
        from lupinreach.trial.commands import lupinreach  # includes the commands of the bed
    except ModuleNotFoundError as missing:
        print(
            f"lupinreach: {missing.name} is not installed; `lupinreach agent` needs nothing more, the other "
            "commands need: pip install 'lupinreach[bed]'",
            file=sys.stderr,
        )
        sys.exit(2)
    lupinreach(prog_name="lupinreach")


if __name__ == "__main__":
    main()
