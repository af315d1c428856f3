"""Helpers for tests that run a scenario on a cluster of their own."""

from collections import Counter
from collections.abc import Awaitable, Callable

import aiohttp
import uvloop

from rattanfork_testkit.cluster import Cluster


def run_scenario(scenario: Callable[[Cluster], Awaitable[None]]) -> None:
    """Start a cluster, run a scenario on it, and stop the cluster."""

    async def run() -> None:
        async with Cluster() as cluster:
            await scenario(cluster)

    uvloop.run(run())


async def send_request(method: str, url: str, **more: object) -> tuple[int, str, str]:
    """Send a request; return its status, ``Rattanfork-Outcome`` header and body."""
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, **more) as response,
    ):
        outcome = response.headers.get("Rattanfork-Outcome", "")
        return response.status, outcome, await response.text()


async def count_posts(cluster: Cluster) -> Counter:
    """Return how often the upstreams ran a POST, by its body."""
    runs: Counter = Counter()
    for node in cluster.nodes:
        answer = await cluster.get(f"{node.upstream_url}/-/ledger")
        runs.update(e["body"] for e in answer["ledger"] if e["method"] == "POST")
    return runs
