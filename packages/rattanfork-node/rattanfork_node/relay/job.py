"""Route path: a request as submitted to the gate."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanfork_core.admission import Waiter
from rattanfork_core.budgets import RetryCharge, RetryDecision
from rattanfork_core.request import CallResult

from rattanfork_node.http1 import (
    BodyReader,
    UpstreamConnection,
    UpstreamResponse,
    fingerprint_of,
)


def _always_allowed() -> bool:
    return True


@dataclass(slots=True, eq=False)
class Job:
    """A request that was submitted to the gate of an upstream.

    Parameters
    ==========

    boot : str
        Incarnation of the gate that the request was sent to.
    operation : str
        Route and service, the key under which admission thresholds are kept.
    method, target, block, body : bytes
        The HTTP request; ``block`` holds its header lines.
    request_id : bytes
        ID of the caller's attempt.
    rank : float
        Shedding order: higher ranks are shed first.
    deadline : float
        Time by which the response must be sent, in seconds of the clock.
    idempotent : bool
        Whether it may be run more than once.
    repeated : bool
        Whether the run that made this child call was itself a retry.
    may_have_arrived : bool
        Whether an earlier attempt may have reached an upstream.
    attempt : int
        Number of this attempt at the request, starting at 1.
    done : callable
        Called once with the result.
    may_hand_over : callable
        Called just before the request is written to the upstream; returns False if
        the request has been fenced.
    """

    boot: str
    operation: str
    method: bytes
    target: bytes
    block: bytes
    body: bytes
    request_id: bytes
    rank: float
    deadline: float
    idempotent: bool
    repeated: bool
    may_have_arrived: bool
    attempt: int
    done: Callable[[CallResult], None]
    may_hand_over: Callable[[], bool] = _always_allowed
    #: Name of the node that sent it; "" for this node.
    origin: str = ""
    #: Name of the client account that sent it; "" without one.
    account: str = ""
    #: Bytes of a peer's request that the gate holds, while it waits or runs.
    counted_bytes: int = 0
    #: The body if it is passed on in parts; ``body`` is empty then.
    large_body: BodyReader | None = None
    #: Fingerprint of a request with a large body.
    large_fingerprint: int = 0
    #: Whether these bytes are taken from the gate's bound on bodies.
    is_counted: bool = False
    waiter: Waiter | None = None
    connection: UpstreamConnection | None = None
    #: The upstream's response, also if the result is that it did not run; None before
    #: it arrived, and if the connection was lost.
    response: UpstreamResponse | None = None
    #: Incarnation of the upstream that it was sent to, as the gate numbers them.
    incarnation: int = 0
    handed_over: bool = False
    ended: bool = False
    #: How it was charged to the retry budget; None if it was not.
    retry: RetryDecision | None = None
    #: Lowest admission threshold announced by the services that the run has called.
    lowest_called_threshold: float = float("inf")
    #: Services that the run called successfully, and the services behind those.
    services_reached: set[str] = field(default_factory=set)
    #: Child calls of the run that ended without and with a 2xx response.
    failed_calls: int = 0
    succeeded_calls: int = 0
    #: Callbacks that cancel the run's pending child calls, by the id() of the exchange.
    call_cancels: dict[int, Callable[[], None]] = field(default_factory=dict)

    @property
    def fingerprint(self) -> int:
        """Hash of the request's content, equal for all attempts at it."""
        if self.large_body is not None:
            return self.large_fingerprint
        return fingerprint_of(
            self.method, self.target, self.block, self.body, self.account
        )

    @property
    def body_size(self) -> int:
        """Size of the body, in bytes."""
        return len(self.body) if self.large_body is None else self.large_body.size

    @property
    def is_body_incomplete(self) -> bool:
        """Whether part of the body has not been passed on yet."""
        return self.large_body is not None and self.large_body.remaining > 0

    @property
    def is_denied_retry(self) -> bool:
        """Whether the retry budget denied it."""
        return self.retry is not None and self.retry.charge is RetryCharge.DENIED

    @property
    def is_repeat(self) -> bool:
        """Whether an upstream may have received it, or its parent run, before."""
        return self.repeated or self.may_have_arrived
