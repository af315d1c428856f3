"""Scenarios on a cluster of their own, for tests."""

from collections import Counter
from collections.abc import Awaitable, Callable

import aiohttp
import uvloop

from rattanfork_testkit.cluster import Cluster


def play(scenario: Callable[[Cluster], Awaitable[None]]) -> None:
    """Run a scenario on a cluster of its own, and stop the cluster."""

    async def run() -> None:
        async with Cluster() as cluster:
            await scenario(cluster)

    uvloop.run(run())


async def ask(method: str, url: str, **more: object) -> tuple[int, str, str]:
    """Return status, outcome and body of one request."""
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, **more) as response,
    ):
        outcome = response.headers.get("Rattanfork-Outcome", "")
        return response.status, outcome, await response.text()


async def posted(cluster: Cluster) -> Counter:
    """Return how often each body was run."""
    runs: Counter = Counter()
    for node in cluster.nodes:
        answer = await cluster.get(f"{node.upstream_url}/-/ledger")
        runs.update(e["body"] for e in answer["ledger"] if e["method"] == "POST")
    return runs
