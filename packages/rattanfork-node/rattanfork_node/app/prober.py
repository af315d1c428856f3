"""Asks the upstream who it is."""

from rattanfork_core.clock import Clock

from rattanfork_node.http1 import HeaderNames, HttpClient

#: Seconds that a probe may take.  It waits for a slot like any request, so a
#: full upstream answers late; the next announcement then tells as well.
_PROBE_TIMEOUT = 1.0


class UpstreamProber:
    """Asks the upstream beside this node for its ID.

    Explanation
    ===========

    A node that is restarted does not know the ID of the upstream, nor whether
    it had begun to leave.  Announcements tell both, but only after up to a
    heartbeat interval, in which an upstream at hand would stand idle.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    host : str
        Address of the upstream.
    port : int
        Its port.
    names : HeaderNames
        Header that holds the ID.
    """

    def __init__(self, clock: Clock, host: str, port: int, names: HeaderNames) -> None:
        self._name = names.upstream.lower()
        self._client = HttpClient(clock, host, port, frozenset((self._name,)))

    async def ask(self, path: str) -> str | None:
        """Return the ID of an upstream that is healthy and stays, or None."""
        try:
            answer = await self._client.request(
                b"GET", path.encode(), timeout=_PROBE_TIMEOUT
            )
        except (ConnectionError, TimeoutError, OSError):
            return None
        name = answer.headers.get(self._name, b"").decode("latin-1")
        return name if answer.status == 200 and name else None

    def close(self) -> None:
        """Close the connection."""
        self._client.close()
