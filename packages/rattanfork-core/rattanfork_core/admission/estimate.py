"""Service times of operations at the upstream, measured by admission control."""

#: Weight of a new sample in the moving averages.
_SAMPLE_WEIGHT = 0.1


class ServiceTimeEstimate:
    """Exponential moving mean and deviation of service times, by operation.

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

    #: Bounds the memory: operation names are taken from URLs that clients choose.
    MAX_OPERATIONS = 256

    def __init__(self) -> None:
        self._operations: dict[str, tuple[float, float]] = {}
        self._mean = 0.0

    @property
    def mean(self) -> float:
        """Mean over all operations, in seconds; 0 before the first sample."""
        return self._mean

    def add(self, operation: str, duration: float) -> None:
        """Add the service time of one run, in seconds."""
        known = self._operations.get(operation)
        if known is None:
            if len(self._operations) >= self.MAX_OPERATIONS:
                self._operations.pop(next(iter(self._operations)))
            self._operations[operation] = (duration, duration / 4)
        else:
            mean, deviation = known
            error = duration - mean
            mean += _SAMPLE_WEIGHT * error
            deviation += _SAMPLE_WEIGHT * (abs(error) - deviation)
            self._operations[operation] = (mean, deviation)
        if self._mean:
            self._mean += _SAMPLE_WEIGHT * (duration - self._mean)
        else:
            self._mean = duration

    def lower_bound(self, operation: str) -> float:
        """Return a service time, in seconds, that the operation rarely undercuts."""
        known = self._operations.get(operation)
        if known is None:
            return 0.0
        mean, deviation = known
        return max(0.0, mean - deviation)
