"""The configuration in force at one node."""

from collections.abc import Callable

from rattanfork_core.routes import Configuration, Route, WeightedRoundRobin


class ConfigurationHolder:
    """Holds the newest configuration that the node has seen.

    Explanation
    ===========

    Versions only rise here, whatever the order and source they come in.  The
    document is kept as its source wrote it, for peers that can't reach the
    store.

    Parameters
    ==========

    decode : callable
        Reads a document; raises ValueError if it is not a configuration.
    """

    def __init__(self, decode: Callable[[bytes], Configuration]) -> None:
        self._decode = decode
        self._current: Configuration | None = None
        self._document = b""
        self._turns: dict[str, tuple[Route, WeightedRoundRobin]] = {}
        #: Called after another configuration has come into force.
        self.on_change: Callable[[Configuration], None] = lambda _: None

    @property
    def current(self) -> Configuration | None:
        """The configuration in force; None while none is known."""
        return self._current

    @property
    def version(self) -> int:
        """Its version; 0 while none is known."""
        return self._current.version if self._current is not None else 0

    @property
    def document(self) -> bytes:
        """It as its source wrote it."""
        return self._document

    def offer(self, document: bytes) -> bool:
        """Take in a document; return whether it came into force.

        Raises
        ======

        ValueError
            If it is not a configuration.
        """
        configuration = self._decode(document)
        if configuration.version <= self.version:
            return False
        self._current = configuration
        self._document = document
        names = {route.name for route in configuration.routes}
        self._turns = {n: t for n, t in self._turns.items() if n in names}
        self.on_change(configuration)
        return True

    def next_service(self, route: Route) -> str | None:
        """Return the service whose turn it is among the shares of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        known = self._turns.get(route.name)
        if known is None or known[0].services != route.services:
            known = (route, WeightedRoundRobin(route.services))
            self._turns[route.name] = known
        return known[1].next()
