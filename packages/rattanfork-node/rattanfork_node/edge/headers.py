"""Call path: HTTP headers of the interface to callers and upstreams."""

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

#: Request headers that the node interprets and does not forward unchanged.
CONSUMED = frozenset(
    name.lower() for name in (REQUEST_ID, CALLER, IMPORTANCE, TIMEOUT, ATTEMPT, CONTEXT)
)
NOT_FORWARDED = CONSUMED | HOP_BY_HOP | {"expect", "host"}
