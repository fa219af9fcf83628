"""The command line. `agent` loads nothing but the agent, `mesh` the extra `mesh`, everything else `bed`."""

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
    """Entry point of `lupinreach`."""
    if sys.argv[1:2] == ["agent"] and len(sys.argv) == 2:
        from lupinreach.__main__ import serve

        sys.exit(serve())
    if sys.argv[1:2] == ["mesh"]:
        sys.exit(_mesh(sys.argv[2:]))
    try:
        from lupinreach.trial.commands import lupinreach  # all of them: a trial's stand on the bed's
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
