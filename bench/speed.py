"""Added latency and processor time per request, against a bare aiohttp forwarder.

Compares four paths to one upstream: direct, through the bare forwarder, through two
nodes, and through two nodes that relay by routes.  Latency is in milliseconds, with
one request at a time and with 200 at once; throughput is in requests per second and
per second of processor time.
"""

import argparse
import asyncio
import json
import os
from pathlib import Path
from statistics import quantiles
from time import monotonic

import aiohttp
import uvloop
from by_routes import ByRoutes
from rattanfork_testkit import Cluster, ServiceSpec

_SPEC = ServiceSpec(1, 400, 1000, 0.0)
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_RESULTS = Path(__file__).parent.parent / "docs" / "measurements" / "speed.json"


def cpu_seconds(process) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


async def measure_sequential(
    urls: dict[str, str], headers: dict[str, str], count: int
) -> dict[str, list[float]]:
    """Return the seconds of each request, in turn on each path after 200 to warm up."""
    latencies: dict[str, list[float]] = {name: [] for name in urls}
    async with aiohttp.ClientSession(headers=headers) as session:
        for i in range(count + 200):
            for name, url in urls.items():
                began = monotonic()
                async with session.get(url) as response:
                    await response.read()
                    assert response.status == 200, (name, response.status)
                if i >= 200:
                    latencies[name].append(monotonic() - began)
    return latencies


async def measure_concurrent(
    url: str, headers: dict[str, str], total: int, width: int
) -> list[float]:
    """Return the seconds of each of ``total`` requests, ``width`` of them at once."""
    latencies: list[float] = []
    left = total

    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), headers=headers
    ) as session:

        async def worker() -> None:
            nonlocal left
            while left > 0:
                left -= 1
                began = monotonic()
                async with session.get(url) as response:
                    await response.read()
                    assert response.status == 200, (url, response.status)
                latencies.append(monotonic() - began)

        await asyncio.gather(*(worker() for _ in range(width)))
    return latencies


def percentiles_ms(samples: list[float]) -> tuple[float, float]:
    """Return the 50th and the 99th percentile in milliseconds."""
    cuts = quantiles(samples, n=100)
    return 1000 * cuts[49], 1000 * cuts[98]


async def main(count: int, total: int, save: bool) -> None:
    """Run the benchmark; print the results as JSON."""
    async with Cluster() as cluster:
        settings = {"limits": {"requests": 5000}}
        cluster.node_settings = settings
        target = cluster.add_instance("target", _SPEC, "dc1", 1)
        other = cluster.add_instance("other", _SPEC, "dc1", 1)
        port = cluster.free_port()
        forwarder = cluster.spawn_stand_ins(
            [
                {
                    "kind": "forwarder",
                    "port": port,
                    "targets": {"target": [target.upstream_url]},
                }
            ]
        )
        await cluster.wait_ready()
        async with ByRoutes(target.upstream_url) as by_routes:
            urls = {
                "direct": f"{target.upstream_url}/get",
                "bare": f"http://127.0.0.1:{port}/target/get",
                "two nodes": f"{other.edge}/target/get",
                "by routes": by_routes.url,
            }
            processes = {
                "bare": [forwarder],
                "two nodes": [other.process, target.process],
                "by routes": by_routes.processes,
            }
            result = await measure(urls, processes, by_routes.headers, count, total)
    result["ratios"] = {
        path: ratios(result, path) for path in ("two nodes", "by routes")
    }
    print(json.dumps(result, indent=1))
    if save:
        _RESULTS.parent.mkdir(parents=True, exist_ok=True)
        _RESULTS.write_text(json.dumps(result, indent=1) + "\n")


async def measure(
    urls: dict[str, str],
    processes: dict[str, list],
    headers: dict[str, str],
    count: int,
    total: int,
) -> dict:
    """Return the latency each path adds, and its cost with 200 requests at once."""
    latencies = await measure_sequential(urls, headers, count)
    result: dict = {"one at a time": {}, "200 at once": {}}
    base = percentiles_ms(latencies["direct"])
    for name in urls:
        p50, p99 = percentiles_ms(latencies[name])
        result["one at a time"][name] = {
            "p50_ms": round(p50, 3),
            "p99_ms": round(p99, 3),
            "added_p50_ms": round(p50 - base[0], 3),
            "added_p99_ms": round(p99 - base[1], 3),
        }
    for name, group in processes.items():
        await measure_concurrent(urls[name], headers, total // 4, 200)
        before = sum(cpu_seconds(p) for p in group)
        began = monotonic()
        samples = await measure_concurrent(urls[name], headers, total, 200)
        seconds = monotonic() - began
        cpu = sum(cpu_seconds(p) for p in group) - before
        p50, p99 = percentiles_ms(samples)
        result["200 at once"][name] = {
            "p50_ms": round(p50, 2),
            "p99_ms": round(p99, 2),
            "per_second": round(total / seconds),
            "per_core_second": round(total / cpu),
        }
    return result


def ratios(result: dict, path: str) -> dict[str, float]:
    """Return the results of a path as multiples of the bare forwarder's."""
    one, many = result["one at a time"], result["200 at once"]
    found = {
        "added p50": one[path]["added_p50_ms"] / one["bare"]["added_p50_ms"],
        "added p99": one[path]["added_p99_ms"] / one["bare"]["added_p99_ms"],
        "total p99": one[path]["p99_ms"] / one["bare"]["p99_ms"],
        "200 p99": many[path]["p99_ms"] / many["bare"]["p99_ms"],
        "per core-second": many[path]["per_core_second"]
        / many["bare"]["per_core_second"],
    }
    return {name: round(value, 2) for name, value in found.items()}


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=2000)
    parser.add_argument("--total", type=int, default=20000)
    parser.add_argument("--save", action="store_true")
    options = parser.parse_args()
    uvloop.run(main(options.count, options.total, options.save))
