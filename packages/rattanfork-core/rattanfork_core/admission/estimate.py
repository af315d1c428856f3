"""How long operations run at the upstream."""

_WEIGHT = 0.1


class ServiceTimeEstimate:
    """Running mean and deviation of service times, by operation.

    Examples
    ========

    >>> estimate = ServiceTimeEstimate()
    >>> estimate.lower_bound("get")
    0.0
    >>> for _ in range(100):
    ...     estimate.add("get", 0.05)
    >>> round(estimate.lower_bound("get"), 3), round(estimate.mean, 3)
    (0.05, 0.05)
    """

    #: Operations come from URLs, so their number must be bounded.
    MAX_OPERATIONS = 256

    def __init__(self) -> None:
        self._operations: dict[str, tuple[float, float]] = {}
        self._mean = 0.0

    @property
    def mean(self) -> float:
        """Mean over all operations, in seconds; 0 while nothing is known."""
        return self._mean

    def add(self, operation: str, duration: float) -> None:
        """Take in one service time, in seconds."""
        known = self._operations.get(operation)
        if known is None:
            if len(self._operations) >= self.MAX_OPERATIONS:
                self._operations.pop(next(iter(self._operations)))
            self._operations[operation] = (duration, duration / 4)
        else:
            mean, deviation = known
            error = duration - mean
            mean += _WEIGHT * error
            deviation += _WEIGHT * (abs(error) - deviation)
            self._operations[operation] = (mean, deviation)
        if self._mean:
            self._mean += _WEIGHT * (duration - self._mean)
        else:
            self._mean = duration

    def lower_bound(self, operation: str) -> float:
        """Return the time below which the operation hardly ever ends."""
        known = self._operations.get(operation)
        if known is None:
            return 0.0
        mean, deviation = known
        return max(0.0, mean - deviation)
