"""The agent with one of the bed's baselines in place of its own module: `python -m lupinreach.bed.agent POLICY`."""

from __future__ import annotations

import sys

from lupinreach.__main__ import serve
from lupinreach.bed.policies import POLICIES

if __name__ == "__main__":
    if len(sys.argv) != 2 or sys.argv[1] not in POLICIES:
        print(f"lupinreach: a policy is needed, one of {', '.join(POLICIES)}", file=sys.stderr)
        sys.exit(2)
    sys.exit(serve(POLICIES[sys.argv[1]]))
