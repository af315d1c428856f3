"""The configuration in force at a node."""

from collections.abc import Callable

from rattanfork_core.routes import Configuration, Route, WeightedRoundRobin


class ConfigurationHolder:
    """Holds the newest configuration that this node has received.

    Explanation
    ===========

    Versions increase monotonically, regardless of the order and the source in
    which documents arrive.  The original document is kept to serve peers that
    cannot reach the store.

    Parameters
    ==========

    decode : callable
        Parses a document; raises ValueError if it is not a configuration.
    """

    def __init__(self, decode: Callable[[bytes], Configuration]) -> None:
        self._decode = decode
        self._current: Configuration | None = None
        self._document = b""
        self._round_robins: dict[str, tuple[Route, WeightedRoundRobin]] = {}
        #: Called after a new configuration has come into force.
        self.on_change: Callable[[Configuration], None] = lambda _: None

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, or None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the configuration in force, or 0 before the first."""
        return self._current.version if self._current is not None else 0

    @property
    def document(self) -> bytes:
        """The document in force, byte for byte as received."""
        return self._document

    def offer(self, document: bytes) -> bool:
        """Apply a document if it is newer; return whether it was applied.

        Raises
        ======

        ValueError
            If the document is not a configuration.
        """
        configuration = self._decode(document)
        if configuration.version <= self.version:
            return False
        self._current = configuration
        self._document = document
        names = {route.name for route in configuration.routes}
        self._round_robins = {n: t for n, t in self._round_robins.items() if n in names}
        self.on_change(configuration)
        return True

    def next_service(self, route: Route) -> str | None:
        """Choose the service of the next request by the weights of its route."""
        if len(route.services) == 1:
            return route.services[0].service
        entry = self._round_robins.get(route.name)
        if entry is None or entry[0].services != route.services:
            entry = (route, WeightedRoundRobin(route.services))
            self._round_robins[route.name] = entry
        return entry[1].next()
