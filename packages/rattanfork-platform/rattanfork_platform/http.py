"""Platform client over HTTP, used by nodes without routes, by commands and tests."""

from collections import Counter

import aiohttp

from rattanfork_platform.interface import Platform, PlatformDownError, Row


class HttpPlatform(Platform):
    """Client of a platform that serves rows as JSON over HTTP.

    Parameters
    ==========

    url : str
        Base URL.
    timeout : float
        Seconds until a call without a complete response fails.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._session: aiohttp.ClientSession | None = None
        self._call_counts: Counter[str] = Counter()

    @property
    def call_counts(self) -> Counter[str]:
        """Calls made so far, by ``read`` or ``write`` and the key's first segment."""
        return self._call_counts

    async def read(self, key: str) -> Row:
        """Return a row."""
        self._call_counts[f"read:{key.split('/')[0]}"] += 1
        status, body = await self._call("GET", f"/table/{key}")
        if status == 404:
            return Row(0, None)
        return Row(int(body["version"]), body["value"])

    async def transact(self, checks: dict[str, int], writes: dict[str, object]) -> bool:
        """Write all rows if every checked row has its expected version."""
        table = next(iter(writes)).split("/")[0]
        self._call_counts[f"write:{table}"] += 1
        body = {"checks": checks, "writes": writes}
        status, _ = await self._call("POST", "/transactions", body)
        return status == 200

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self, method: str, path: str, body: object = None
    ) -> tuple[int, dict]:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        try:
            async with self._session.request(
                method, self._url + path, json=body
            ) as response:
                if response.status not in (200, 404, 409):
                    raise PlatformDownError(
                        f"{method} {path}: unexpected status {response.status}"
                    )
                answer = await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise PlatformDownError(str(error) or type(error).__name__) from error
        if not isinstance(answer, dict):
            raise PlatformDownError(f"{method} {path}: response is not a JSON object")
        return response.status, answer
