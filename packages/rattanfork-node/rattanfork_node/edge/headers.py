"""The HTTP headers of the callers' contract."""

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
#: Headers that concern one connection only.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
DROPPED = OWN | HOP_BY_HOP
