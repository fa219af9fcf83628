"""The agent with another module or a wrong clock: `python -m lupinreach.bed.ways.agent POLICY [MS_AHEAD]`."""

from __future__ import annotations

import sys

from lupinreach.__main__ import serve
from lupinreach.bed.ways.policies import POLICIES
from lupinreach.net.clock import Clock

if __name__ == "__main__":
    if len(sys.argv) not in (2, 3) or sys.argv[1] not in POLICIES:
        print(f"lupinreach: a policy is needed, one of {', '.join(POLICIES)}", file=sys.stderr)
        sys.exit(2)
    sys.exit(serve(POLICIES[sys.argv[1]], Clock(float(sys.argv[2]) if len(sys.argv) == 3 else 0.0)))
