"""Rate limits and leaving that workers advertise, and checks that nodes keep them."""

from dataclasses import dataclass, field

from rattanfork_soak.record import Record

#: Response headers of the platform's workers.
LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
#: Time after the first response with a limit from which it binds.
_BINDING_AFTER_S = 3.0
#: The limit binds in any window of this length: this factor times what it allows, and a
#: few more.
_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
_EXTRA_REQUESTS = 5
#: Time after a forwarded response with a limit from which requests of its node count.
_FORWARDED_BEFORE_S = 0.5
#: Time after a forwarded response that states leaving in which requests may still be
#: sent, plus an allowance for scheduling delays of the soak process.
_DRAIN_LIMIT_S = 2.0 + 0.3


@dataclass(slots=True)
class Advertisement:
    """What one incarnation of a worker advertises in its responses.

    Parameters
    ==========

    incarnation : str
        ID of the incarnation.
    rate_limit : float or None
        Requests per second that it accepts from all nodes together.
    leaving : bool
        Whether it states that it leaves.
    began_at : float or None
        When it first responded so, in seconds from the start of the soak.
    ended_at : float or None
        When it stopped.
    forwarded : dict
        When each process of a node, by its process ID, first forwarded such a response.
    arrivals : list of float
        Times of the requests that count against the limit.
    """

    incarnation: str
    rate_limit: float | None = None
    leaving: bool = False
    began_at: float | None = None
    ended_at: float | None = None
    forwarded: dict[int, float] = field(default_factory=dict)
    arrivals: list[float] = field(default_factory=list)

    def headers(self) -> dict[str, str]:
        """Return the response headers."""
        headers = {}
        if self.rate_limit is not None:
            headers[LIMIT] = f"{self.rate_limit:g}"
        if self.leaving:
            headers[LEAVING] = "1"
        return headers

    def on_forwarded(self, record: Record) -> None:
        """Record that a client got a response with these headers."""
        if record.advertised:
            self.forwarded.setdefault(record.pid, record.ended)

    def check_leaving(self, record: Record, at: float) -> str | None:
        """Return what is wrong with a request that arrived at the worker, or None."""
        forwarded_at = self._forwarded_at(record)
        if not self.leaving or forwarded_at is None:
            return None
        if record.sent <= forwarded_at + _DRAIN_LIMIT_S:
            return None
        return f"{record} arrived at {at:.2f}, forwarded leaving at {forwarded_at:.2f}"

    def check_limit(self, record: Record, at: float) -> str | None:
        """Count a request that arrived; return what is wrong with the count, or None.

        Requests arrive in order of time, so each window is checked at its last one.
        """
        forwarded_at = self._forwarded_at(record)
        if self.rate_limit is None or self.began_at is None or forwarded_at is None:
            return None
        begins = self.began_at + _BINDING_AFTER_S
        if at < begins or forwarded_at > at - _FORWARDED_BEFORE_S:
            return None
        if self.ended_at is not None and at > self.ended_at:
            return None
        self.arrivals.append(at)
        count = sum(t > at - _WINDOW_S for t in self.arrivals)
        allowed = _LIMIT_FACTOR * self.rate_limit * _WINDOW_S + _EXTRA_REQUESTS
        if count <= allowed:
            return None
        return (
            f"{self.incarnation} got {count} requests in {_WINDOW_S:g} s; its limit of "
            f"{self.rate_limit:g} allows {allowed:g}"
        )

    def _forwarded_at(self, record: Record) -> float | None:
        """Return when the node of a request forwarded it; None if that is excused."""
        forwarded_at = self.forwarded.get(record.pid)
        if forwarded_at is None or record.interrupted_at >= forwarded_at:
            return None
        return forwarded_at
