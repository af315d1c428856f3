"""Lookup of the route of a request, by longest path prefix."""

from collections.abc import Iterable

from rattanfork_core.routes.route import Route

#: Maximum number of cached lookups; the cache is cleared when full.
_MAX_CACHED = 4096


class RouteTable:
    """Finds the route with the longest prefix for a host and path.

    Examples
    ========

    >>> from rattanfork_core.routes.route import WeightedService
    >>> short = Route("a", "h", "/x/", (WeightedService("s"),))
    >>> long = Route("b", "h", "/x/y/", (WeightedService("s"),))
    >>> table = RouteTable([short, long])
    >>> table.find("h", "/x/y/z").name, table.find("h", "/x/z").name
    ('b', 'a')
    >>> table.find("h", "/x") is None, table.find("other", "/x/y/") is None
    (True, True)
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            hosts.setdefault(route.host, {})[route.prefix] = route
        self._hosts = hosts
        self._cache: dict[tuple[str, str], Route | None] = {}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        # Prefixes end with a slash, so the part of the path after its last slash
        # cannot change the result.
        directory = path[: path.rfind("/") + 1]
        key = (host, directory)
        if key in self._cache:
            return self._cache[key]
        found = None
        end = len(directory)
        while end > 0 and found is None:
            found = prefixes.get(directory[:end])
            end = directory.rfind("/", 0, end - 1) + 1
        if len(self._cache) >= _MAX_CACHED:
            self._cache.clear()
        self._cache[key] = found
        return found
