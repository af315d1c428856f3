"""Circuit breakers, by operation, for requests that fail at a downstream service."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanfork_core.clock import Clock
from rattanfork_core.request import request_tiebreak

#: Failures that outweigh one completed request: the circuit opens only while fewer than
#: one in thirty requests completes.  Refusing requests of which more complete would
#: cost callers more than the saved work gains.
_FAILURES_PER_COMPLETION = 29
#: Failures in a row, without a completed request, from which requests are refused.
_TOLERATED_FAILURES = 15
#: Share of the requests that is still admitted after each further failure.
_SHARE_PER_FAILURE = 0.8
#: Further failures that are counted; they leave a share of 0.035.
_MAX_COUNTED_FAILURES = 15
#: Counted failures that are forgotten in each second, so that a node with few requests
#: admits one again soon.
_FORGOTTEN_PER_SECOND = 1.5
#: Bounds the memory; an operation without a breaker admits all requests.
_MAX_OPERATIONS = 1000


@dataclass(slots=True)
class _Breaker:
    #: Number of failures that is still tolerated; negative while the circuit is open.
    tolerance: float
    updated_at: float


class OperationBreakers:
    """Refuses requests of operations of which hardly any request completes.

    Explanation
    ===========

    An upstream may reject a fixed share of its requests, whatever its load.  If it
    rejects half of them, a request that runs there eight times completes in one of 250
    cases: all services earlier in its call chain work for nothing, and its retries use
    up the budget that requests with a single run there need.  No admission threshold
    prevents this, since the upstream has spare capacity.

    An entry node counts which of the requests that it admitted complete.  Once nearly
    all fail, it admits only a small share of the operation's requests, selected by the
    request hash, and refuses the others before any work is done.  The admitted ones
    show when requests complete again: the first one that does closes the circuit.

    Nodes share nothing, so a failed, restarted or partitioned node affects only its own
    requests.  A node that has just started admits all.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> breakers = OperationBreakers(ManualClock())
    >>> for _ in range(30):
    ...     breakers.record("buy/shops", completed=False)
    >>> breakers.admits("buy/shops", "r7"), breakers.admits("view/shops", "r7")
    (False, True)
    >>> breakers.record("buy/shops", completed=True)
    >>> breakers.admits("buy/shops", "r7")
    True
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Breakers of the operations that failed more often than they completed.
        self._breakers: dict[str, _Breaker] = {}
        #: Called with the operation when a circuit opens (True) or closes (False).
        self.on_change: Callable[[str, bool], None] = _ignore

    @property
    def open_operations(self) -> dict[str, float]:
        """Operations of which requests are refused, and the share still admitted."""
        shares = {name: self.share(name) for name in self._breakers}
        return {name: share for name, share in shares.items() if share < 1.0}

    def admits(self, operation: str, request_id: str) -> bool:
        """Return whether to admit a request.

        Parameters
        ==========

        operation : str
            Route and service of the request.
        request_id : str
            ID of the request.
        """
        share = self.share(operation)
        return share >= 1.0 or request_tiebreak(request_id) < share

    def share(self, operation: str) -> float:
        """Return the share of the operation's requests that is admitted."""
        breaker = self._breakers.get(operation)
        if breaker is None:
            return 1.0
        self._forget(breaker)
        if breaker.tolerance >= 0.0:
            return 1.0
        return _SHARE_PER_FAILURE**-breaker.tolerance

    def record(self, operation: str, completed: bool) -> None:
        """Record whether an admitted request completed, or a downstream call failed."""
        breaker = self._breakers.get(operation)
        if breaker is None:
            if completed or len(self._breakers) >= _MAX_OPERATIONS:
                return
            breaker = _Breaker(float(_TOLERATED_FAILURES), self._clock.now())
            self._breakers[operation] = breaker
        self._forget(breaker)
        was_open = breaker.tolerance < 0.0
        if completed:
            breaker.tolerance += _FAILURES_PER_COMPLETION
            if breaker.tolerance >= _TOLERATED_FAILURES:
                del self._breakers[operation]
        else:
            breaker.tolerance = max(breaker.tolerance - 1.0, -_MAX_COUNTED_FAILURES)
        is_open = breaker.tolerance < 0.0
        if is_open != was_open:
            self.on_change(operation, is_open)

    def _forget(self, breaker: _Breaker) -> None:
        now = self._clock.now()
        if breaker.tolerance < 0.0:
            forgotten = (now - breaker.updated_at) * _FORGOTTEN_PER_SECOND
            breaker.tolerance = min(0.0, breaker.tolerance + forgotten)
        breaker.updated_at = now


def _ignore(operation: str, is_open: bool) -> None:
    pass
