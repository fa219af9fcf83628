"""The agent with another policy, a planted fault or a wrong clock.

Usage: `python -m lupinreach.bed.ways.agent NAME [MS_AHEAD [DRIFT]]`.
"""

from __future__ import annotations

import sys

from lupinreach.__main__ import serve
from lupinreach.bed.ways.faults import FAULTS
from lupinreach.bed.ways.policies import POLICIES
from lupinreach.net.clock import Clock

if __name__ == "__main__":
    balancers = POLICIES | {
        name: fault.make_balancer for name, fault in FAULTS.items() if fault.make_balancer is not None
    }
    if not 2 <= len(sys.argv) <= 4 or sys.argv[1] not in balancers:
        print(f"lupinreach: a policy or a fault is needed, one of {', '.join(balancers)}", file=sys.stderr)
        sys.exit(2)
    sys.exit(serve(balancers[sys.argv[1]], Clock(*map(float, sys.argv[2:]))))
