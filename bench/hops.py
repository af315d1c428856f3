"""Processor time of a request by routes at the entry node and at the gate.

Prints, for a few and for many concurrent requests, the microseconds of processor time
that each of the two nodes uses for a request, and the milliseconds that an idle node
uses in a second.  With few requests at once each message wakes its node, as in a large
fleet, so costs that batching hides at high load show.
"""

import argparse
import asyncio
import json

import uvloop
from by_routes import ByRoutes
from rattanfork_testkit import Cluster, ServiceSpec
from speed import cpu_seconds, measure_concurrent

_SPEC = ServiceSpec(1, 400, 1000, 0.0)
_WIDTHS = (2, 60)
_IDLE_SECONDS = 5.0


async def main(total: int, rounds: int) -> None:
    """Run the benchmark; print the median of the rounds as JSON."""
    async with Cluster() as cluster:
        cluster.node_settings = {"limits": {"requests": 5000}}
        target = cluster.add_instance("target", _SPEC, "dc1", 1)
        await cluster.wait_ready()
        async with ByRoutes(target.upstream_url) as by_routes:
            await measure_concurrent(by_routes.url, by_routes.headers, total, 60)
            result = {
                f"{width} at once": await _cost(by_routes, total, width, rounds)
                for width in _WIDTHS
            }
            result["idle ms per second"] = await _idle_cost(by_routes)
    print(json.dumps(result, indent=1))


async def _cost(
    by_routes: ByRoutes, total: int, width: int, rounds: int
) -> dict[str, int]:
    """Return the median microseconds per request at each of the two nodes."""
    samples = []
    for _ in range(rounds):
        before = [cpu_seconds(p) for p in by_routes.processes]
        await measure_concurrent(by_routes.url, by_routes.headers, total, width)
        after = [cpu_seconds(p) for p in by_routes.processes]
        samples.append([b - a for a, b in zip(before, after, strict=True)])
    entry, gate = zip(*samples, strict=True)
    middle = rounds // 2
    return {
        "entry_us": round(sorted(entry)[middle] / total * 1e6),
        "gate_us": round(sorted(gate)[middle] / total * 1e6),
    }


async def _idle_cost(by_routes: ByRoutes) -> float:
    """Return the mean milliseconds that a node uses in a second without requests."""
    before = sum(cpu_seconds(p) for p in by_routes.processes)
    await asyncio.sleep(_IDLE_SECONDS)
    used = sum(cpu_seconds(p) for p in by_routes.processes) - before
    return round(used / len(by_routes.processes) / _IDLE_SECONDS * 1000, 1)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--total", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    uvloop.run(main(options.total, options.rounds))
