"""Objectives read from the metrics of nodes."""

import asyncio

import aiohttp
from prometheus_client.parser import text_string_to_metric_families
from rattanfork_core.burn import Totals
from rattanfork_core.objectives import WINDOWS

_TIMEOUT = aiohttp.ClientTimeout(total=10)
#: Nodes asked at once.
_WIDTH = 32
_METRIC = "rattanfork_objective_requests"
_ANY_IMPORTANCE = "all"


def scrape_objectives(addresses: list[str]) -> tuple[list[Totals], list[str]]:
    """Return the totals of all nodes that answer, and who did not.

    Each entry holds the route, "all", the node's address, and good and bad for
    each window.
    """
    return asyncio.run(_scrape_all(addresses))


def read_objectives(text: str, address: str) -> list[Totals]:
    """Return the totals of a node's metrics.

    Examples
    ========

    >>> labels = 'route="lookup",window="300",result="bad"'
    >>> read_objectives("rattanfork_objective_requests{%s} 2" % labels, "a:1")
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
        (route, _ANY_IMPORTANCE, address, _windows(found))
        for route, found in counts.items()
    ]


def _windows(found: dict[tuple[str, str], int]) -> tuple[tuple[int, int], ...]:
    names = [f"{window:g}" for window in WINDOWS]
    return tuple((found.get((n, "good"), 0), found.get((n, "bad"), 0)) for n in names)


async def _scrape_all(addresses: list[str]) -> tuple[list[Totals], list[str]]:
    width = asyncio.Semaphore(_WIDTH)
    async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:

        async def scrape(address: str) -> list[Totals] | None:
            base = address if address.startswith("http") else f"http://{address}"
            try:
                async with width, session.get(f"{base}/metrics") as response:
                    return read_objectives(await response.text(), address)
            except (TimeoutError, aiohttp.ClientError, ValueError):
                return None

        answers = await asyncio.gather(*map(scrape, addresses))
    totals = [entry for answer in answers for entry in answer or ()]
    silent = [a for a, n in zip(addresses, answers, strict=True) if n is None]
    return totals, silent
