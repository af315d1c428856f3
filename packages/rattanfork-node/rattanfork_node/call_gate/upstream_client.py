"""HTTP to the upstream."""

from dataclasses import dataclass

import aiohttp
from yarl import URL

from rattanfork_node.hop_by_hop import HOP_BY_HOP

#: Header by which an upstream says that it shed a request unrun.
NOT_RUN_HEADER = "Rattanfork-Not-Run"
#: Headers of the upstream that its caller gets from this node instead.
_DROPPED = HOP_BY_HOP | {"date", "server"}


class UpstreamRefusedError(ConnectionError):
    """No connection could be made: the request was not written."""


class UpstreamShedError(Exception):
    """The upstream says that it refused the request for load, unrun."""


class UpstreamTooLargeError(Exception):
    """The answer is larger than the limit."""


@dataclass(slots=True)
class UpstreamAnswer:
    """A whole answer."""

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
        Most connections at once.
    body_limit : int
        Most bytes of an answer.
    """

    def __init__(self, url: str, connections: int, body_limit: int) -> None:
        self._base = url
        self._body_limit = body_limit
        # Shorter than any server's usual keep-alive: a connection that the
        # upstream closes just as a posting is written would leave its
        # outcome unknown.
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
    ) -> UpstreamAnswer:
        """Send a request and return the whole answer.

        Raises
        ======

        UpstreamRefusedError
            If no connection could be made.
        UpstreamShedError
            If the upstream says it did not run the request.
        UpstreamTooLargeError
            If the answer is larger than the limit.
        aiohttp.ClientError
            If the connection broke: the request may have run.
        """
        url = URL(self._base + path, encoded=True)
        try:
            async with self._session.request(
                method, url, headers=headers, data=body or None, allow_redirects=False
            ) as response:
                return await self._whole(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UpstreamRefusedError(str(error)) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _whole(self, response: aiohttp.ClientResponse) -> UpstreamAnswer:
        if response.status == 503 and response.headers.get(NOT_RUN_HEADER):
            raise UpstreamShedError
        length = response.content_length
        if length is not None and length > self._body_limit:
            raise UpstreamTooLargeError
        body = await self._read(response, length)
        headers = [
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in _DROPPED
        ]
        return UpstreamAnswer(response.status, headers, body)

    async def _read(
        self, response: aiohttp.ClientResponse, length: int | None
    ) -> bytes:
        if length is not None:
            return await response.read()
        body = b""
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > self._body_limit:
                raise UpstreamTooLargeError
        return body
