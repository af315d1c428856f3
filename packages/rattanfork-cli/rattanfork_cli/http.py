"""Requests to a node's admin port."""

import asyncio

import aiohttp

from rattanfork_cli.exits import FAILED
from rattanfork_cli.output import fail

_TIMEOUT = aiohttp.ClientTimeout(total=10)


def ask_node(node: str, path: str, method: str = "GET", **params: str) -> dict | list:
    """Return a node's JSON answer.

    Raises
    ======

    typer.Exit
        If the node does not answer, or refuses.
    """
    return asyncio.run(_ask(node, path, method, params))


async def _ask(node: str, path: str, method: str, params: dict) -> dict | list:
    url = node if node.startswith("http") else f"http://{node}"
    try:
        async with (
            aiohttp.ClientSession(timeout=_TIMEOUT) as session,
            session.request(method, url + path, params=params) as response,
        ):
            answer = await response.json()
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise fail(f"{node} does not answer: {reason}", FAILED) from None
    if response.status >= 400:
        raise fail(f"{node}: {answer.get('error', response.status)}", FAILED)
    return answer
