"""Fetches the request counts of objectives from the metrics of nodes."""

import asyncio

import aiohttp
from prometheus_client.parser import text_string_to_metric_families
from rattanfork_core.burn import Totals
from rattanfork_core.objectives import WINDOWS

_TIMEOUT = aiohttp.ClientTimeout(total=10)
#: Most nodes that are queried concurrently.
_MAX_CONCURRENT_REQUESTS = 32
_METRIC = "rattanfork_objective_requests"
_ANY_IMPORTANCE = "all"


def fetch_objective_totals(addresses: list[str]) -> tuple[list[Totals], list[str]]:
    """Return the totals of all nodes that respond, and the addresses of the others.

    Each entry holds the route, the importance "all", the address of the node, and
    for each window the number of good and of bad requests.
    """
    return asyncio.run(_fetch_all(addresses))


def parse_objective_totals(text: str, address: str) -> list[Totals]:
    """Return the totals in the metrics of a node.

    Examples
    ========

    >>> labels = 'route="lookup",window="300",result="bad"'
    >>> parse_objective_totals("rattanfork_objective_requests{%s} 2" % labels, "a:1")
    [('lookup', 'all', 'a:1', ((0, 2), (0, 0), (0, 0)))]
    """
    counts: dict[str, dict[tuple[str, str], int]] = {}
    for family in text_string_to_metric_families(text):
        if family.name != _METRIC:
            continue
        for sample in family.samples:
            labels = sample.labels
            key = (labels["window"], labels["result"])
            counts.setdefault(labels["route"], {})[key] = int(sample.value)
    return [
        (route, _ANY_IMPORTANCE, address, _counts_by_window(window_counts))
        for route, window_counts in counts.items()
    ]


def _counts_by_window(
    window_counts: dict[tuple[str, str], int],
) -> tuple[tuple[int, int], ...]:
    names = [f"{window:g}" for window in WINDOWS]
    return tuple(
        (window_counts.get((n, "good"), 0), window_counts.get((n, "bad"), 0))
        for n in names
    )


async def _fetch_all(addresses: list[str]) -> tuple[list[Totals], list[str]]:
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)
    async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:

        async def fetch(address: str) -> list[Totals] | None:
            base_url = address if address.startswith("http") else f"http://{address}"
            try:
                async with semaphore, session.get(f"{base_url}/metrics") as response:
                    return parse_objective_totals(await response.text(), address)
            except (TimeoutError, aiohttp.ClientError, ValueError):
                return None

        answers = await asyncio.gather(*map(fetch, addresses))
    totals = [entry for answer in answers for entry in answer or ()]
    unanswered = [a for a, n in zip(addresses, answers, strict=True) if n is None]
    return totals, unanswered
