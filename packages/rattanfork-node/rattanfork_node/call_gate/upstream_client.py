"""Call path: HTTP client of this node's upstream."""

import asyncio
from dataclasses import dataclass
from urllib.parse import urlsplit

from rattanfork_core.clock import Clock
from rattanfork_core.connections import ResponseBudget

from rattanfork_node.hop_by_hop import HOP_BY_HOP
from rattanfork_node.http1 import (
    UpstreamPool,
    acquire_connection,
    render_head,
    send_request,
)

#: Header with the ID of a request, which an upstream may echo in its response.
REQUEST_ID_HEADER = "Rattanfork-Request-Id"
#: Response header by which an upstream reports that it shed a request unrun.
NOT_RUN_HEADER = "Rattanfork-Not-Run"
_NOT_RUN_NAME = NOT_RUN_HEADER.lower().encode()
_SHED_STATUS = 503
#: Response headers that are not forwarded: the node's HTTP server sets its own.
_DROPPED_RESPONSE_HEADERS = HOP_BY_HOP | {"date", "server"}
#: Methods whose requests may be sent again after a reset.
_RETRYABLE_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))


class UpstreamConnectError(ConnectionError):
    """No connection could be opened, so the request was not sent."""


class UpstreamShedError(Exception):
    """The upstream reports that it shed the request without running it."""


class ResponseTooLargeError(Exception):
    """The response body exceeds the limit."""


@dataclass(slots=True)
class UpstreamResponse:
    """A complete response of the upstream."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class UpstreamClient:
    """Sends requests to the upstream beside this node.

    Explanation
    ===========

    An upstream that echoes the request ID is believed when it reports that it shed a
    request.  One that doesn't is believed on the first response of a connection only:
    later ones may be second copies of earlier responses.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    url : str
        Base URL of the upstream.
    connections : int
        Maximum number of concurrent connections.
    max_body_bytes : int
        Maximum size of a response body.
    """

    def __init__(
        self, clock: Clock, url: str, connections: int, max_body_bytes: int
    ) -> None:
        parts = urlsplit(url)
        self._base_path = parts.path.rstrip("/")
        self._host_line = f"Host: {parts.netloc}\r\n".encode()
        self._max_body_bytes = max_body_bytes
        self._free = asyncio.Semaphore(connections)
        self._pool = UpstreamPool(
            clock,
            parts.hostname or "",
            parts.port or 80,
            connections,
            REQUEST_ID_HEADER.encode(),
            frozenset((_NOT_RUN_NAME,)),
            budget=ResponseBudget(connections * max_body_bytes, max_body_bytes),
        )

    async def run(
        self, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> UpstreamResponse:
        """Send a request and return the complete response.

        Raises
        ======

        UpstreamConnectError
            If no connection could be opened.
        UpstreamShedError
            If the upstream reports that it did not run the request.
        ResponseTooLargeError
            If the response body exceeds the limit.
        ConnectionError
            If the connection was lost, or the response may be that to another
            request: the request may have run.
        """
        request_id = dict(headers).get(REQUEST_ID_HEADER, "").encode("latin-1")
        async with self._free:
            try:
                connection = await acquire_connection(
                    self._pool, method in _RETRYABLE_METHODS, request_id
                )
            except ConnectionError as error:
                raise UpstreamConnectError(str(error)) from error
            data = self._render_request(method, path, headers, body)
            response = await send_request(
                connection, data, request_id, method == "HEAD"
            )
        if response is None:
            if connection.evicted:
                raise ResponseTooLargeError
            raise ConnectionError("connection closed before the response was complete")
        if response.status == _SHED_STATUS and _NOT_RUN_NAME in response.headers:
            if response.is_identified:
                raise UpstreamShedError
            raise ConnectionError("the rejection may be that of another request")
        if len(response.body) > self._max_body_bytes:
            raise ResponseTooLargeError
        block = response.header_block.decode("latin-1")
        return UpstreamResponse(response.status, _parse_block(block), response.body)

    async def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _render_request(
        self, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> bytes:
        block = "".join(f"{name}: {value}\r\n" for name, value in headers)
        head = render_head(
            method.encode("latin-1"),
            (self._base_path + path).encode("latin-1"),
            self._host_line + block.encode("latin-1"),
            len(body),
            b"",
        )
        return head + body


def _parse_block(block: str) -> list[tuple[str, str]]:
    """Return the headers of a block that are forwarded."""
    lines = (line.partition(": ") for line in block.split("\r\n") if line)
    return [
        (name, value)
        for name, _, value in lines
        if name.lower() not in _DROPPED_RESPONSE_HEADERS
    ]
