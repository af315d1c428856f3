"""Messages between nodes that only the call path uses."""

from typing import NamedTuple


class Call(NamedTuple):
    """Request of the call path, to be run at the receiver's upstream.

    ``boot`` is the incarnation of the call gate that it is meant for, ``rank``
    its place in the order of shedding (higher ranks are shed first),
    ``attempts`` the retries granted to its child calls, and ``key`` its idempotency
    key or "".
    """

    number: int
    boot: str
    operation: str
    method: str
    path: str
    headers: list
    body: bytes
    request_id: str
    caller: str
    importance: int
    rank: float
    time_left_ms: int
    attempts: int
    key: str
    idempotent: bool


class Reply(NamedTuple):
    """Result of a call, with the state of the call gate.

    ``cut`` is the rank from which the gate sheds, ``epoch`` its key epoch, and
    ``unused_attempts`` the granted retries that were not used.
    """

    number: int
    outcome: int
    reason: int
    status: int
    headers: list
    body: bytes
    unused_attempts: int
    retry_elsewhere: bool
    retry_after: int
    cut: float
    epoch: int


class FenceKey(NamedTuple):
    """Fences an idempotency key: it is no longer handed to the upstream."""

    number: int
    key: str


class EpochRequest(NamedTuple):
    """Requests the call gate's current key epoch."""

    number: int


class EpochReply(NamedTuple):
    """The call gate's current key epoch."""

    number: int
    epoch: int


class BurnRequest(NamedTuple):
    """Requests a node's totals for the burn report."""

    number: int


class BurnReply(NamedTuple):
    """Service, importance, rule, and good and bad requests for each window."""

    number: int
    totals: list
