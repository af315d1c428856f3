"""Clients of a platform by its URL."""

from collections.abc import Awaitable, Callable
from importlib.metadata import entry_points

from rattanfork_core.routes import Configuration

from rattanfork_platform.interface import Platform

#: Group of entry points by which installed packages offer clients; the name of
#: each is the scheme of its URLs.
_GROUP = "rattanfork.platforms"
#: Likewise for what reads the configuration of routes from such a platform.
_READERS = "rattanfork.configurations"
_TIMEOUT = 3.0


def connect_platform(url: str) -> Platform:
    """Return a client of the platform at a URL.

    Explanation
    ===========

    ``http`` and ``https`` stand for the project's own interface.  Any other
    scheme is served by the package that is installed for it, so that commands
    need not know which platforms there are.

    Raises
    ======

    ValueError
        If nothing is installed for the scheme, or the URL is malformed.

    Examples
    ========

    >>> connect_platform("nowhere://10.0.0.1:1")
    Traceback (most recent call last):
    ...
    ValueError: no client is installed for 'nowhere'
    """
    scheme = url.partition("://")[0]
    if scheme in ("http", "https"):
        from rattanfork_platform.http import HttpPlatform

        return HttpPlatform(url, timeout=_TIMEOUT)
    for entry in entry_points(group=_GROUP, name=scheme):
        make: Callable[[str], Platform] = entry.load()
        return make(url)
    raise ValueError(f"no client is installed for {scheme!r}")


async def read_configuration(url: str, platform: Platform) -> Configuration | None:
    """Return the accepted configuration of routes, or None if there is none.

    Raises
    ======

    PlatformDownError
        If the platform does not answer.
    ValueError
        If no configuration is kept on platforms of this kind, or it is malformed.
    """
    scheme = url.partition("://")[0]
    for entry in entry_points(group=_READERS, name=scheme):
        read: Callable[[Platform], Awaitable[Configuration | None]] = entry.load()
        return await read(platform)
    raise ValueError(f"no routes are kept on a platform of the kind {scheme!r}")
