"""Lookup of routes."""

from collections.abc import Iterable

from rattanfork_core.routes.route import Route

#: Hosts and first path segments whose route is remembered.
_MOST_REMEMBERED = 4096


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
        self._remembered: dict[tuple[str, str], Route | None] = {}

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        # Prefixes end with a slash, so what stands behind the last slash of
        # the path makes no difference.
        folder = path[: path.rfind("/") + 1]
        key = (host, folder)
        if key in self._remembered:
            return self._remembered[key]
        found = None
        end = len(folder)
        while end > 0 and found is None:
            found = prefixes.get(folder[:end])
            end = folder.rfind("/", 0, end - 1) + 1
        if len(self._remembered) >= _MOST_REMEMBERED:
            self._remembered.clear()
        self._remembered[key] = found
        return found
