"""How many of a node's descriptors its clients may take."""

from math import inf

#: Descriptors that are not available to sockets.
_FILE_DESCRIPTORS = 200
#: Descriptors for listening sockets, pipes and connections to the store.
_FIXED_DESCRIPTORS = 24
#: Part of the sockets that stays free for links, upstream and store, 1 / the divisor,
#: and its least number.
_SPARE_DIVISOR = 16
_MIN_SPARE = 8
#: Connections that clients may have in any case.
_MIN_CLIENTS = 8


class DescriptorLimit:
    """Bounds the connections of clients by the descriptors that all else needs.

    Parameters
    ==========

    max_descriptors : int or None
        Limit of the process; None if it is unknown.

    Examples
    ========

    >>> limit = DescriptorLimit(4100)
    >>> limit.max_clients(others=300)
    3333
    >>> DescriptorLimit(None).max_clients(others=300)
    inf
    """

    def __init__(self, max_descriptors: int | None) -> None:
        self._sockets: float = inf
        if max_descriptors is not None:
            sockets = max_descriptors - _FILE_DESCRIPTORS
            spare = max(_MIN_SPARE, sockets // _SPARE_DIVISOR)
            self._sockets = sockets - spare - _FIXED_DESCRIPTORS

    def max_clients(self, others: int) -> float:
        """Return the number of connections that clients may have.

        Parameters
        ==========

        others : int
            Connections to other nodes, the upstream and other callers.
        """
        return max(_MIN_CLIENTS, self._sockets - others)
