"""Outcome of a request and its reason, as reported to the caller."""

from enum import IntEnum


class Outcome(IntEnum):
    """Outcome of a request.

    ``NOT_RUN`` is a guarantee: the request was never sent to an upstream, or the
    upstream has confirmed that it did not run it, and no node will send it later.
    Without that and without a complete response, the outcome is ``UNKNOWN``.
    """

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2

    @property
    def label(self) -> str:
        """Value of the ``Rattanfork-Outcome`` header."""
        return _OUTCOME_LABELS[self]


class Reason(IntEnum):
    """Reason for the outcome of a request."""

    NONE = 0
    #: Shed by rank: the queue at the upstream was full, or the wait in it too long.
    SHED = 1
    #: Refused early: the rank is not below the threshold announced for a service
    #: further down the call graph.
    SHED_EARLY = 2
    #: The request could not have finished before its deadline.
    TOO_LATE = 3
    #: A rule refuses the request.
    RULE = 4
    #: The rate limit of a rule is exhausted.
    LIMIT = 5
    #: No instance of the service is known.
    NO_INSTANCE = 6
    #: The instance is draining and accepts no new requests.
    LEAVING = 7
    #: The instance has restarted since the sender's last information about it.
    STALE_INSTANCE = 8
    #: The upstream does not accept connections, or closed one without a response.
    UPSTREAM_DOWN = 9
    #: The deadline passed.
    DEADLINE = 10
    #: The caller disconnected, or the request that this call belongs to has ended.
    CANCELLED = 11
    #: The connection to the instance was lost.
    CONNECTION = 12
    #: The idempotency key was fenced: an earlier attempt was reported as not run.
    FENCED = 13
    #: The idempotency key belongs to an instance that is gone.
    KEY_EXPIRED = 14
    #: The idempotency key was used before, by another caller or with another body.
    KEY_MISUSED = 15
    #: The request ran, and its stored response has been dropped.
    ANSWER_DROPPED = 16
    #: The node has not received its rules yet.
    NOT_READY = 17
    #: The platform's table, which assigns caller-chosen idempotency keys, does not
    #: respond.
    STORE_DOWN = 18
    #: The request is malformed.
    BAD_REQUEST = 19
    #: The retry budget of the caller is exhausted.
    RETRY_BUDGET = 20
    #: The request or the response exceeds its size limit.
    TOO_LARGE = 21
    #: The upstream itself refused, and confirmed that it did not run the request.
    UPSTREAM_SHED = 22
    #: The upstream failed, and no call that it made had failed.
    UPSTREAM_FAILED = 23
    #: No route matches the request.
    NO_ROUTE = 24
    #: The gate has received the request before, and its retry budget grants no retry.
    NO_REPEAT = 25
    #: Upstreams that ran the request have crashed, so it is not sent to others.
    QUARANTINED = 26
    #: The request carries no valid API key of a client account.
    UNAUTHENTICATED = 27
    #: The node could not confirm recently that API keys have not been revoked.
    UNCONFIRMED = 28
    #: The quota of the client account is exhausted.
    QUOTA = 29
    #: No issuer of quota tokens could be reached.
    QUOTA_UNKNOWN = 30
    #: The rate limit that the upstream advertises is exhausted.
    UPSTREAM_LIMIT = 31
    #: There was no room for the body of the upload in time.
    NO_BODY_ROOM = 32
    #: The body of the upload was not received in time.
    BODY_TIMEOUT = 33
    #: The body of the upload ended early, was malformed or longer than declared.
    BODY_INCOMPLETE = 34
    #: Nearly all recent requests of the operation failed at a downstream service.
    CIRCUIT_OPEN = 35

    @property
    def label(self) -> str:
        """Value of the ``Rattanfork-Reason`` header."""
        return _REASON_LABELS[self]


_OUTCOMES = {outcome.value: outcome for outcome in Outcome}
_REASONS = {reason.value: reason for reason in Reason}


def outcome_of(number: int) -> Outcome:
    """Return the outcome of a number that a peer has sent.

    A lookup, since calling an enumeration runs several functions.

    Raises
    ======

    ValueError
        If there is no such outcome.
    """
    outcome = _OUTCOMES.get(number)
    # Only the missing case is passed on, as the number of one outcome is 0.
    return Outcome(number) if outcome is None else outcome


def reason_of(number: int) -> Reason:
    """Return the reason of a number that a peer has sent.

    Raises
    ======

    ValueError
        If there is no such reason.
    """
    reason = _REASONS.get(number)
    return Reason(number) if reason is None else reason


# Precomputed, as labels are read several times per request and the ``name`` of an
# enum member is slow to read.
_OUTCOME_LABELS = tuple(o.name.lower().replace("_", "-") for o in Outcome)
_REASON_LABELS = tuple(r.name.lower().replace("_", "-") for r in Reason)
