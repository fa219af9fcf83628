"""The words of the protocol: header names, paths, fields and figures. The rest of the agent speaks ours."""

import re

from lupinreach import config
from lupinreach.model import ListState

# Headers, in lower case as the parser hands them out.
ID, KIND, DEADLINE = b"req-id", b"req-kind", b"req-deadline"
RETRY, COST, EXTRA = b"req-retry", b"req-cost", b"req-extra"
CUSTOMER = b"req-owner"  # a customer's name, where the settings have customers
REQUEST_HEADERS = frozenset((ID, KIND, DEADLINE, RETRY, COST, EXTRA, CUSTOMER))
KEY = re.compile(rb"/api/([^/?]+)")  # where requests have a key, it is the path's last part
DEADLINE_LINE, RETRY_AFTER_LINE = b"Req-Deadline: %.3f\r\n", b"Retry-After: %.3f\r\n"
LOAD, DECLINED = b"srv-load", b"srv-declined"

READY_PATH = b"/health/ready"
LIVE_PATH, STATS_PATH = b"/health/live", b"/stats"
LIST_PATH, WATCH_PATH, WATCH_AFTER = b"/registry/instances", b"/registry/instances?watch=1", b"&after=%d"

# A backend's answers.
SERVED = 200
REJECTED_STATUSES = (503, 504)  # with NEVER_RAN: 1

# A load report's fields, by the names that the settings give them or by the protocol's own.
# Guards against reports that come under the one kind of name and are looked for under the other.
LOAD_FIELDS = config.LOAD_FIELDS | {
    "inflight": "in_flight",
    "queue": "waiting",
    "util": "busy",
    "latency_ms": "latency",
    "qps": "calls_per_s",
    "eps": "errors_per_s",
}

# The directory's lists.
VERSION, FULL_LIST, ENTRIES = "rev", "all", "targets"
UID, ENDPOINT, ZONE, CELL = "uid", "endpoint", "az", "pod_group"
STATE, SIZE, BOOT_TIME = "state", "capacity_hint", "boot_ms"
STATES = {"Ready": ListState.READY, "Terminating": ListState.DRAINING, "Gone": ListState.REMOVED}
WATCH_HEARTBEAT_MS = 2000.0  # ms between two lines of a watch at most

MAX_BODY_BYTES = 40 << 20  # bytes of a body, either way
MAX_DATAGRAM_BYTES = 256

# Headers that are not passed on: what they say is between the agent and one side.
BETWEEN_CLIENT_AND_AGENT = frozenset((DEADLINE,))
BETWEEN_BACKEND_AND_AGENT = frozenset((LOAD, DECLINED))
