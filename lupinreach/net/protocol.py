"""Names and limits of the wire protocol: headers, paths, fields. Other modules use the agent's own names."""

import re

from lupinreach import config
from lupinreach.model import ListState

# Headers, in lower case as the parser returns them.
ID, KIND, DEADLINE = b"req-id", b"req-kind", b"req-deadline"
RETRY, COST, EXTRA = b"req-retry", b"req-cost", b"req-extra"
CUSTOMER = b"req-owner"  # a customer's name, where the settings have customers
REQUEST_HEADERS = frozenset((ID, KIND, DEADLINE, RETRY, COST, EXTRA, CUSTOMER))
KEY = re.compile(rb"/api/([^/?]+)")  # the path component after /api/ is the request's key
DEADLINE_LINE, RETRY_AFTER_LINE = b"Req-Deadline: %.3f\r\n", b"Retry-After: %.3f\r\n"
LOAD, DECLINED = b"srv-load", b"srv-declined"

READY_PATH = b"/health/ready"
LIVE_PATH, STATS_PATH = b"/health/live", b"/stats"
LIST_PATH, WATCH_PATH, WATCH_AFTER = b"/registry/instances", b"/registry/instances?watch=1", b"&after=%d"

# Answers of backends.
SERVED = 200
REJECTED_STATUSES = (503, 504)  # with the header DECLINED: 1

# Fields of a load report, by the names of the settings and by those of the protocol: reports use either.
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
WATCH_HEARTBEAT_MS = 2000.0  # longest time between two lines of a watch

MAX_BODY_BYTES = 40 << 20  # of a request or an answer
MAX_DATAGRAM_BYTES = 256

# Hop-by-hop headers of the protocol, which are not passed on.
BETWEEN_CLIENT_AND_AGENT = frozenset((DEADLINE,))
BETWEEN_BACKEND_AND_AGENT = frozenset((LOAD, DECLINED))
