"""Entry point: reads batches from standard input, writes replies to standard output."""

import sys

from lupinreach.adapter.wire import BadInput, Host


def main() -> int:
    """Answer each input line until the end of input; returns the exit code."""
    host = Host()
    out = sys.stdout
    try:
        for number, line in enumerate(sys.stdin, 1):
            try:
                reply = host.batch(line)
            except BadInput as bad:
                print(f"lupinreach: line {number}: {bad}", file=sys.stderr)
                return 2
            out.write(reply)
            out.write("\n")
            out.flush()
    except UnicodeDecodeError:
        print("lupinreach: the input is not UTF-8", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
