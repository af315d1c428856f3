"""The HTTP headers of the callers' contract."""

from rattanfork_node.hop_by_hop import HOP_BY_HOP

REQUEST_ID = "Rattanfork-Request-Id"
CALLER = "Rattanfork-Caller"
IMPORTANCE = "Rattanfork-Importance"
TIMEOUT = "Rattanfork-Timeout-Ms"
ATTEMPT = "Rattanfork-Attempt"
CONTEXT = "Rattanfork-Context"
KEY = "Idempotency-Key"
OUTCOME = "Rattanfork-Outcome"
REASON = "Rattanfork-Reason"

#: Headers that the system reads and does not pass on as they came.
OWN = frozenset(
    name.lower() for name in (REQUEST_ID, CALLER, IMPORTANCE, TIMEOUT, ATTEMPT, CONTEXT)
)
DROPPED = OWN | HOP_BY_HOP | {"expect", "host"}
