"""The command line. `agent` loads nothing but the agent; everything else needs the extra `bed`."""

from __future__ import annotations

import sys


def main() -> None:
    """Entry point of `lupinreach`."""
    if sys.argv[1:2] == ["agent"] and len(sys.argv) == 2:
        from lupinreach.__main__ import serve

        sys.exit(serve())
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
