"""Weighted round robin among the services of a route."""

from collections.abc import Iterable

from rattanfork_core.routes.route import WeightedService


class WeightedRoundRobin:
    """Distributes requests among services in proportion to their weights.

    Explanation
    ===========

    Smooth weighted round robin keeps each service within a few requests of its exact
    proportion.  Random selection reaches the proportion only in the long run: of 200
    requests, a service with 0.1 of the weight often gets a third more or fewer.

    Examples
    ========

    >>> turns = WeightedRoundRobin(
    ...     [WeightedService("a", 3), WeightedService("b", 1)]
    ... )
    >>> [turns.next() for _ in range(8)]
    ['a', 'a', 'b', 'a', 'a', 'a', 'b', 'a']
    """

    def __init__(self, services: Iterable[WeightedService]) -> None:
        self._weights = [(s.service, s.weight) for s in services if s.weight > 0]
        self._total = sum(weight for _, weight in self._weights)
        self._credit = dict.fromkeys((name for name, _ in self._weights), 0.0)

    def next(self) -> str | None:
        """Return the service of the next request; None if all weights are zero."""
        if not self._weights:
            return None
        if len(self._weights) == 1:
            return self._weights[0][0]
        credit = self._credit
        chosen, max_credit = "", float("-inf")
        for name, weight in self._weights:
            credit[name] += weight
            if credit[name] > max_credit:
                chosen, max_credit = name, credit[name]
        credit[chosen] -= self._total
        return chosen
