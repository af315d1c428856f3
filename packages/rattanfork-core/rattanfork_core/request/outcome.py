"""What a caller is told of its request."""

from enum import IntEnum


class Outcome(IntEnum):
    """The three things that can be said of a request.

    ``NOT_RUN`` is a proof, not a belief: the request was never handed to an
    upstream and no node will ever hand it over.  Where neither a whole
    answer nor that proof is at hand, the outcome is ``UNKNOWN``.
    """

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2

    @property
    def label(self) -> str:
        """The value of the ``Rattanfork-Outcome`` header."""
        return _OUTCOME_LABELS[self]


class Reason(IntEnum):
    """Why a request has the outcome it has."""

    NONE = 0
    #: A guard's queue was full of requests of lower rank.
    SHED = 1
    #: A node refused for a deeper service that had announced its threshold.
    SHED_EARLY = 2
    #: The request could not have finished in the time it had left.
    TOO_LATE = 3
    #: A rule refuses such requests.
    RULE = 4
    #: A rule's rate limit is spent.
    LIMIT = 5
    #: No instance of the service is known.
    NO_INSTANCE = 6
    #: The instance takes no new work because it is leaving.
    LEAVING = 7
    #: The instance was restarted since the sender last heard of it.
    STALE_INSTANCE = 8
    #: The upstream does not accept connections, or closed one unanswered.
    UPSTREAM_DOWN = 9
    #: The deadline passed.
    DEADLINE = 10
    #: The caller left, or the call it belongs to has ended.
    CANCELLED = 11
    #: The connection to the instance was lost.
    CONNECTION = 12
    #: The key was fenced: an earlier attempt was reported as not run.
    FENCED = 13
    #: The key belongs to an instance that is gone.
    KEY_EXPIRED = 14
    #: The key was used before by another caller or with another body.
    KEY_MISUSED = 15
    #: The request ran, and its answer is no longer kept.
    ANSWER_DROPPED = 16
    #: The node does not know the accepted rules yet.
    NOT_READY = 17
    #: The platform's table, needed for this kind of key, does not answer.
    STORE_DOWN = 18
    #: The request is malformed.
    BAD_REQUEST = 19
    #: The retry budget of the caller is spent.
    RETRY_BUDGET = 20
    #: The answer or the request is larger than the limit.
    TOO_LARGE = 21
    #: The upstream itself refused, and said that it did not run the request.
    UPSTREAM_SHED = 22
    #: The upstream failed by itself: no deeper call of the run had failed.
    UPSTREAM_FAILED = 23
    #: No route covers the request.
    NO_ROUTE = 24
    #: The gate has no repeat left for a request that had arrived before.
    NO_REPEAT = 25
    #: Upstreams that ran the request have ended, so no other one gets it.
    QUARANTINED = 26
    #: The request has no key of a client account.
    UNAUTHENTICATED = 27
    #: The node has no recent proof that keys have not been taken away.
    UNCONFIRMED = 28
    #: The quota of the client account is spent.
    QUOTA = 29
    #: Nobody could tell how much of the quota is left.
    QUOTA_UNKNOWN = 30

    @property
    def label(self) -> str:
        """The value of the ``Rattanfork-Reason`` header."""
        return _REASON_LABELS[self]


# Read several times for each request, and the name of a member of an enumeration
# is slow to read.
_OUTCOME_LABELS = tuple(o.name.lower().replace("_", "-") for o in Outcome)
_REASON_LABELS = tuple(r.name.lower().replace("_", "-") for r in Reason)
