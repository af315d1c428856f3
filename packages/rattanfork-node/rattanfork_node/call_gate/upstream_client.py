"""Call path: HTTP client of this node's upstream."""

from dataclasses import dataclass

import aiohttp
from yarl import URL

from rattanfork_node.hop_by_hop import HOP_BY_HOP

#: Response header by which an upstream reports that it shed a request unrun.
NOT_RUN_HEADER = "Rattanfork-Not-Run"
#: Response headers that are not forwarded: the node's HTTP server sets its own.
_DROPPED_RESPONSE_HEADERS = HOP_BY_HOP | {"date", "server"}


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

    Parameters
    ==========

    url : str
        Base URL of the upstream.
    connections : int
        Maximum number of concurrent connections.
    max_body_bytes : int
        Maximum size of a response body.
    """

    def __init__(self, url: str, connections: int, max_body_bytes: int) -> None:
        self._base_url = url
        self._max_body_bytes = max_body_bytes
        # Shorter than typical keep-alive timeouts of servers.  If the upstream
        # closed an idle connection just as a POST is sent on it, the outcome of
        # the request would be unknown.
        connector = aiohttp.TCPConnector(
            limit=connections, keepalive_timeout=10, use_dns_cache=False
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None, connect=2),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            cookie_jar=aiohttp.DummyCookieJar(),
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
        aiohttp.ClientError
            If the connection was lost: the request may have run.
        """
        url = URL(self._base_url + path, encoded=True)
        try:
            async with self._session.request(
                method, url, headers=headers, data=body or None, allow_redirects=False
            ) as response:
                return await self._read_response(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UpstreamConnectError(str(error)) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _read_response(
        self, response: aiohttp.ClientResponse
    ) -> UpstreamResponse:
        if response.status == 503 and response.headers.get(NOT_RUN_HEADER):
            raise UpstreamShedError
        length = response.content_length
        if length is not None and length > self._max_body_bytes:
            raise ResponseTooLargeError
        body = await self._read_body(response, length)
        headers = [
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in _DROPPED_RESPONSE_HEADERS
        ]
        return UpstreamResponse(response.status, headers, body)

    async def _read_body(
        self, response: aiohttp.ClientResponse, length: int | None
    ) -> bytes:
        if length is not None:
            return await response.read()
        body = b""
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > self._max_body_bytes:
                raise ResponseTooLargeError
        return body
