"""Selects the platform client by the scheme of a URL, for the command line."""

from collections.abc import Awaitable, Callable
from importlib.metadata import entry_points

from rattanfork_core.routes import Configuration

from rattanfork_platform.interface import Platform

#: Entry point group of platform clients; an entry point's name is a URL scheme.
_CLIENT_GROUP = "rattanfork.platforms"
#: Entry point group of functions that read the routes, also named by URL scheme.
_READER_GROUP = "rattanfork.configurations"
_HTTP_TIMEOUT_S = 3.0


def connect_platform(url: str) -> Platform:
    """Return a client for the platform at a URL.

    Explanation
    ===========

    ``http`` and ``https`` select :class:`~rattanfork_platform.http.HttpPlatform`.
    Any other scheme is looked up among the entry points of installed packages, so
    that commands need not import the client of each platform.

    Raises
    ======

    ValueError
        If no client is installed for the scheme, or the URL is malformed.

    Examples
    ========

    >>> connect_platform("nowhere://10.0.0.1:1")
    Traceback (most recent call last):
    ...
    ValueError: no platform client is installed for URL scheme 'nowhere'
    """
    scheme = url.partition("://")[0]
    if scheme in ("http", "https"):
        from rattanfork_platform.http import HttpPlatform

        return HttpPlatform(url, timeout=_HTTP_TIMEOUT_S)
    for entry in entry_points(group=_CLIENT_GROUP, name=scheme):
        create: Callable[[str], Platform] = entry.load()
        return create(url)
    raise ValueError(f"no platform client is installed for URL scheme {scheme!r}")


async def read_configuration(url: str, platform: Platform) -> Configuration | None:
    """Return the configuration of routes that the platform holds, or None.

    Raises
    ======

    PlatformDownError
        If the platform does not answer.
    ValueError
        If platforms of this URL scheme hold no routes, or the configuration is
        malformed.
    """
    scheme = url.partition("://")[0]
    for entry in entry_points(group=_READER_GROUP, name=scheme):
        read: Callable[[Platform], Awaitable[Configuration | None]] = entry.load()
        return await read(platform)
    raise ValueError(f"platforms of URL scheme {scheme!r} hold no routes")
