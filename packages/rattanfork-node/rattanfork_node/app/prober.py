"""Probes the upstream of a node for its ID."""

from rattanfork_core.clock import Clock

from rattanfork_node.http1 import HeaderNames, HttpClient, InputPacer

#: Time-out of a probe in seconds.  A probe waits for a slot like any request, so a busy
#: upstream may not answer in time; its next announcement then identifies it.
_PROBE_TIMEOUT_S = 1.0
#: A probe has no ID that its response could echo, so a connection carries only one.
_CLOSE_LINE = b"Connection: close\r\n"


class UpstreamProber:
    """Probes the upstream beside this node for its ID.

    Explanation
    ===========

    A restarted node knows neither the ID of its upstream nor whether it is leaving.
    Announcements state both, but the next one may be a heartbeat interval away,
    during which a healthy upstream would stay unused.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    host : str
        Address of the upstream.
    port : int
        Its port.
    names : HeaderNames
        Names of headers, including that of the ID in a probe's response.
    pacer : InputPacer, optional
        Grants turns to connections with fragmented input.
    """

    def __init__(
        self,
        clock: Clock,
        host: str,
        port: int,
        names: HeaderNames,
        pacer: InputPacer | None = None,
    ) -> None:
        self._id_header = names.upstream.lower()
        self._leaving_header = names.leaving.lower()
        captured = frozenset((self._id_header, self._leaving_header))
        self._client = HttpClient(clock, host, port, captured, pacer)

    async def ask(self, path: str) -> str | None:
        """Return the ID of a healthy upstream; None if there is none or it leaves."""
        try:
            response = await self._client.request(
                b"GET", path.encode(), timeout=_PROBE_TIMEOUT_S, block=_CLOSE_LINE
            )
        except (ConnectionError, TimeoutError, OSError):
            return None
        if self._leaving_header in response.headers:
            return None
        name = response.headers.get(self._id_header, b"").decode("latin-1")
        return name if response.status == 200 and name else None

    def close(self) -> None:
        """Close the connections."""
        self._client.close()
