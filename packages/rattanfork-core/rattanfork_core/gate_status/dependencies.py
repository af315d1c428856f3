"""Services that an operation depends on, learned from its runs."""

from collections.abc import Collection, Mapping

#: Weight of the latest run in the moving share of runs that call a service.
_SMOOTHING = 0.1
#: Share of runs from which a service counts as a dependency.  Runs that call it only
#: occasionally may well succeed without it.
_MIN_SHARE = 0.3
#: Bounds on memory; operations and services both come from the configuration.
_MAX_OPERATIONS = 4096
_MAX_SERVICES_PER_OPERATION = 32


class OperationDependencies:
    """Learns which services the runs of an operation call, at any depth.

    Explanation
    ===========

    No configuration declares which services a service calls.  Each gate observes the
    calls that its own upstream makes during a run, and each reply carries the services
    that the callee has learned, so an entry node (the one that receives a caller's
    request) knows the whole call chain of an operation after a few replies.  The
    dependencies change with deployments and with the operator's routes, not with load,
    so they stay valid while there are few requests.

    Only successful runs are recorded: a run that fails half-way has not made the
    remaining calls.

    Examples
    ========

    >>> dependencies = OperationDependencies()
    >>> dependencies.record_run("file/claims", ["declarations", "donors"])
    >>> dependencies.services("file/claims")
    ('declarations', 'donors')
    >>> dependencies.services("other")
    ()
    """

    def __init__(self) -> None:
        self._shares: dict[str, dict[str, float]] = {}
        self._services: dict[str, tuple[str, ...]] = {}

    def record_run(self, operation: str, services: Collection[str]) -> None:
        """Record the services that a successful run has called."""
        shares = self._shares.get(operation)
        if not services and not shares:
            return
        called = set(services)
        if shares is None:
            if len(self._shares) >= _MAX_OPERATIONS:
                self._shares.clear()
                self._services.clear()
            shares = self._shares[operation] = dict.fromkeys(called, 1.0)
        for service in called - shares.keys():
            if len(shares) < _MAX_SERVICES_PER_OPERATION:
                shares[service] = 0.0
        changed = operation not in self._services
        for service, share in shares.items():
            latest = 1.0 if service in called else 0.0
            shares[service] = new_share = share + _SMOOTHING * (latest - share)
            changed |= (new_share >= _MIN_SHARE) is not (share >= _MIN_SHARE)
        if changed:
            self._services[operation] = tuple(
                sorted(s for s, share in shares.items() if share >= _MIN_SHARE)
            )

    @property
    def learned(self) -> dict[str, tuple[str, ...]]:
        """Services of each operation that calls any, for nodes that start later."""
        return {op: names for op, names in self._services.items() if names}

    def restore(self, learned: Mapping[str, Collection[str]]) -> None:
        """Adopt what other nodes had learned; own observations go first.

        Parameters
        ==========

        learned : mapping
            Services of each operation.
        """
        for operation, services in learned.items():
            if operation not in self._shares:
                self.record_run(operation, services)

    def services(self, operation: str) -> tuple[str, ...]:
        """Return the services that a sufficient share of the runs call, sorted."""
        return self._services.get(operation, ())
