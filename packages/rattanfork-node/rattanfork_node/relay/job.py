"""One request at the gate."""

from collections.abc import Callable
from dataclasses import dataclass, field

from rattanfork_core.admission import Waiter
from rattanfork_core.request import CallResult

from rattanfork_node.http1 import UpstreamConnection, fingerprint_of


def _always() -> bool:
    return True


@dataclass(slots=True, eq=False)
class Job:
    """One request at the gate of an upstream.

    Parameters
    ==========

    boot : str
        Incarnation of the gate that the sender means.
    operation : str
        Route and service, the unit in which thresholds are learned.
    method, target, block, body : bytes
        The request; ``block`` holds its header lines.
    request_id : bytes
        Identifies the attempt of the caller.
    rank : float
        Place in the order of shedding.
    deadline : float
        Time by which the answer must be out, in seconds of the clock.
    idempotent : bool
        Whether running it twice does no harm.
    repeated : bool
        Whether the run that made it was itself a repeat.
    arrived : bool
        Whether an earlier attempt may have reached an upstream.
    attempt : int
        Counts what was sent for it, from 1 on.
    done : callable
        Gets the result, once.
    may_hand_over : callable
        Asked last before the upstream gets the request.
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
    arrived: bool
    attempt: int
    done: Callable[[CallResult], None]
    may_hand_over: Callable[[], bool] = _always
    #: Name of the node that sent it; "" for this one.
    origin: str = ""
    #: Name of the client account that sent it; "" without one.
    account: str = ""
    waiter: Waiter | None = None
    connection: UpstreamConnection | None = None
    handed_over: bool = False
    ended: bool = False
    #: Whether a repeat was granted to it.
    granted: bool = False
    #: Lowest threshold heard from the services that the run has called.
    heard_cut: float = float("inf")
    #: Services that the run has called with success, and those behind them.
    reached: set[str] = field(default_factory=set)
    #: Calls of the run that did not get a success, and those that did.
    failed_calls: int = 0
    succeeded_calls: int = 0
    #: Stops the calls that the run has made.
    cancels: dict[int, Callable[[], None]] = field(default_factory=dict)

    @property
    def fingerprint(self) -> int:
        """What the request asks for, the same for all attempts at it."""
        return fingerprint_of(
            self.method, self.target, self.block, self.body, self.account
        )

    @property
    def is_repeat(self) -> bool:
        """Whether it, or the run that made it, has arrived before."""
        return self.repeated or self.arrived
