"""The platform over HTTP."""

from collections import Counter

import aiohttp

from rattanfork_platform.interface import Platform, PlatformDownError, Row


class HttpPlatform(Platform):
    """The platform's HTTP interface.

    Parameters
    ==========

    url : str
        Base URL.
    timeout : float
        Seconds to wait for an answer.
    """

    def __init__(self, url: str, timeout: float) -> None:
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._session: aiohttp.ClientSession | None = None
        self._call_counts: Counter[str] = Counter()

    @property
    def call_counts(self) -> Counter[str]:
        """Requests sent so far, by cause: the first part of the key."""
        return self._call_counts

    async def read(self, key: str) -> Row:
        """Return a row."""
        self._call_counts[f"read:{key.split('/')[0]}"] += 1
        status, body = await self._ask("GET", f"/table/{key}")
        if status == 404:
            return Row(0, None)
        return Row(int(body["version"]), body["value"])

    async def transact(self, checks: dict[str, int], writes: dict[str, object]) -> bool:
        """Write if all checked versions hold."""
        cause = next(iter(writes)).split("/")[0]
        self._call_counts[f"write:{cause}"] += 1
        body = {"checks": checks, "writes": writes}
        status, _ = await self._ask("POST", "/transactions", body)
        return status == 200

    async def close(self) -> None:
        """Let go of connections."""
        if self._session is not None:
            await self._session.close()

    async def _ask(
        self, method: str, path: str, body: object = None
    ) -> tuple[int, dict]:
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        try:
            async with self._session.request(
                method, self._url + path, json=body
            ) as response:
                if response.status not in (200, 404, 409):
                    raise PlatformDownError(f"status {response.status}")
                answer = await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise PlatformDownError(str(error) or type(error).__name__) from error
        if not isinstance(answer, dict):
            raise PlatformDownError("the answer is not a map")
        return response.status, answer
