"""Position of a request among those of its account, by the importance of its route."""

from rattanfork_core.request.importance import RANK_LIMIT

#: Weight of earlier requests at each new one: the latest 50 or so count.
_DECAY = 0.98
_MAX_ACCOUNTS = 4096


class RoutePositions:
    """Orders the requests of accounts with a priority of their own.

    Explanation
    ===========

    The requests of such an account have one importance, and the importance of the route
    orders them.  A position must also be distributed uniformly over the requests of the
    account, or an account that uses only important routes would get several times its
    fair share.  Therefore the range [0, 1) is divided among the importances of the
    routes in proportion to the recent requests of the account.

    Examples
    ========

    >>> positions = RoutePositions()
    >>> positions.position(7, 3, 0.5)
    0.5
    >>> [round(positions.position(7, route, 0.5), 2) for route in (0, 3)]
    [0.25, 0.67]
    """

    def __init__(self) -> None:
        self._weights: dict[int, list[float]] = {}

    def __len__(self) -> int:
        return len(self._weights)

    def position(self, account: int, route_importance: int, tiebreak: float) -> float:
        """Count a request and return its position in [0, 1).

        Parameters
        ==========

        account : int
            Hash of the account.
        route_importance : int
            Importance of the route.
        tiebreak : float
            Hash of the request ID in [0, 1).
        """
        weights = self._weights.pop(account, None)
        if weights is None:
            weights = [0.0] * RANK_LIMIT
            if len(self._weights) >= _MAX_ACCOUNTS:
                del self._weights[next(iter(self._weights))]
        # The account that sent a request last is dropped last.
        self._weights[account] = weights
        for index in range(RANK_LIMIT):
            weights[index] *= _DECAY
        weights[route_importance] += 1.0
        below = sum(weights[:route_importance])
        return (below + tiebreak * weights[route_importance]) / sum(weights)
