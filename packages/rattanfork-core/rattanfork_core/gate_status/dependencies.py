"""Which services the runs of an operation reach."""

from collections.abc import Iterable

#: Weight of one run in the share of runs that reach a service.
_WEIGHT = 0.1
#: Share of the runs from which a service counts as reached: runs that call it now
#: and then may well do without it this time.
_REACHED = 0.3
#: Operations and services that are kept; both come from the configuration.
_MOST_OPERATIONS = 4096
_MOST_SERVICES = 32


class OperationDependencies:
    """Services that runs of an operation reach, at any depth, learned from runs.

    Explanation
    ===========

    Nobody declares what a service calls.  Each gate sees the calls of its own
    upstream's runs, and each reply brings what the callee has learned, so that a
    first node knows the whole chain behind an operation after a few replies.  It
    changes with the services' code and the operator's routes, not with load, so it
    is as good when requests are few.

    Only runs that ended well teach: one that failed half-way has not reached the
    rest.

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
        self._reached: dict[str, tuple[str, ...]] = {}

    def record_run(self, operation: str, services: Iterable[str]) -> None:
        """Take in the services that a run which ended well has reached."""
        seen = set(services)
        shares = self._shares.get(operation)
        if shares is None:
            if not seen:
                return
            if len(self._shares) >= _MOST_OPERATIONS:
                self._shares.clear()
                self._reached.clear()
            shares = self._shares[operation] = dict.fromkeys(seen, 1.0)
        for service in seen - shares.keys():
            if len(shares) < _MOST_SERVICES:
                shares[service] = 0.0
        for service, share in list(shares.items()):
            share += _WEIGHT * ((1.0 if service in seen else 0.0) - share)
            shares[service] = share
        self._reached[operation] = tuple(
            sorted(s for s, share in shares.items() if share >= _REACHED)
        )

    def services(self, operation: str) -> tuple[str, ...]:
        """Return the services that most runs of an operation reach."""
        return self._reached.get(operation, ())
