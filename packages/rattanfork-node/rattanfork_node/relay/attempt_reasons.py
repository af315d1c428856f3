"""Route path: what the reason of an attempt's result says about it."""

from rattanfork_core.request import Reason

#: Reasons that show that the request reached an upstream, so that another attempt is
#: charged to the retry budget.
REACHED_UPSTREAM_REASONS = frozenset(
    (
        Reason.UPSTREAM_SHED,
        Reason.UPSTREAM_FAILED,
        Reason.CONNECTION,
        Reason.STALE_INSTANCE,
    )
)
#: Reasons that count as a failure of the instance in load balancing.
INSTANCE_FAILURE_REASONS = frozenset(
    (
        Reason.UPSTREAM_DOWN,
        Reason.UPSTREAM_SHED,
        Reason.UPSTREAM_FAILED,
        Reason.CONNECTION,
        Reason.NO_INSTANCE,
        Reason.STALE_INSTANCE,
    )
)
