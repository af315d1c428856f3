"""HTTP client for the admin port of a node."""

import asyncio

import aiohttp

from rattanfork_cli.exits import FAILED
from rattanfork_cli.output import fail

_TIMEOUT = aiohttp.ClientTimeout(total=10)


def call_admin_api(
    node: str, path: str, method: str = "GET", **params: str
) -> dict | list:
    """Send a request to the admin port; return the JSON response.

    Raises
    ======

    typer.Exit
        If the node does not respond, or responds with an error status.
    """
    return asyncio.run(_send(node, path, method, params))


async def _send(node: str, path: str, method: str, params: dict) -> dict | list:
    base_url = node if node.startswith("http") else f"http://{node}"
    try:
        async with (
            aiohttp.ClientSession(timeout=_TIMEOUT) as session,
            session.request(method, base_url + path, params=params) as response,
        ):
            answer = await response.json()
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise fail(
            f"no response from node {node}: {reason}; check --node", FAILED
        ) from None
    if response.status >= 400:
        raise fail(
            f"node {node} refused the request: {answer.get('error', response.status)}",
            FAILED,
        )
    return answer
