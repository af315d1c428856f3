"""Budget of memory for the connections of clients and their small requests."""

#: Memory of one connection without a request, in bytes.
CONNECTION_BYTES = 6 << 10
#: Memory of one request besides its headers and body, in bytes.
REQUEST_BYTES = 1 << 10
#: Share of the budget for the connections themselves.
_CONNECTION_SHARE = 0.6
#: Share of the budget for requests at which connections that hold much are no longer
#: read.
_SHORT_SHARE = 0.5
#: Bytes of requests that a connection may hold in any case.
_MIN_FAIR_BYTES = 2 * REQUEST_BYTES


class RequestBudget:
    """Bounds what connections and requests take that are counted nowhere else.

    Explanation
    ===========

    A request that has been received may be running, so none is ever dropped.  Once the
    budget is exhausted, requests that are received only in part are refused, those
    first that take the most memory for the longest time, and further requests on
    connections that hold more than an equal share.

    Parameters
    ==========

    capacity : int
        Size of the budget, in bytes.

    Examples
    ========

    >>> budget = RequestBudget(1_000_000)
    >>> budget.max_connections
    97
    >>> budget.change(390_000)
    >>> budget.is_short, budget.is_exhausted
    (True, False)
    >>> budget.change(20_000)
    >>> budget.is_exhausted, budget.fair_bytes(50)
    (True, 8000)
    """

    def __init__(self, capacity: int) -> None:
        self._max_connections = int(capacity * _CONNECTION_SHARE) // CONNECTION_BYTES
        self._capacity = capacity - int(capacity * _CONNECTION_SHARE)
        self._held = 0

    @property
    def max_connections(self) -> int:
        """Number of connections that fit into their share."""
        return self._max_connections

    @property
    def held(self) -> int:
        """Bytes of requests that are held."""
        return self._held

    @property
    def is_short(self) -> bool:
        """Whether little room is left for requests."""
        return self._held > self._capacity * _SHORT_SHARE

    @property
    def is_exhausted(self) -> bool:
        """Whether there is no room for further requests."""
        return self._held > self._capacity

    @property
    def excess(self) -> int:
        """Bytes above the room for requests; at most 0 if there are none."""
        return self._held - self._capacity

    def fair_bytes(self, connections: int) -> int:
        """Return an equal share of the room for each of some connections, in bytes."""
        return max(_MIN_FAIR_BYTES, self._capacity // max(1, connections))

    def change(self, count: int) -> None:
        """Hold more bytes, or fewer if the count is negative."""
        self._held += count
