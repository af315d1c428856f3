"""Added latency and cost per request, against one bare aiohttp forwarder."""

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
_TICKS = os.sysconf("SC_CLK_TCK")
_RESULTS = Path(__file__).parent.parent / "docs" / "measurements" / "speed.json"


def cpu_seconds(process) -> float:
    """Return the processor time a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


async def one_at_a_time(
    urls: dict[str, str], headers: dict[str, str], count: int
) -> dict[str, list[float]]:
    """Return the time of each call, taking turns between the ways."""
    took: dict[str, list[float]] = {name: [] for name in urls}
    async with aiohttp.ClientSession(headers=headers) as session:
        for i in range(count + 200):
            for name, url in urls.items():
                began = monotonic()
                async with session.get(url) as response:
                    await response.read()
                    assert response.status == 200, (name, response.status)
                if i >= 200:
                    took[name].append(monotonic() - began)
    return took


async def concurrent(
    url: str, headers: dict[str, str], total: int, width: int
) -> list[float]:
    """Return the time of each of many calls, some at once."""
    took: list[float] = []
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
                took.append(monotonic() - began)

        await asyncio.gather(*(worker() for _ in range(width)))
    return took


def milliseconds(samples: list[float]) -> tuple[float, float]:
    """Return the 50th and the 99th percentile in milliseconds."""
    cuts = quantiles(samples, n=100)
    return 1000 * cuts[49], 1000 * cuts[98]


async def main(count: int, total: int, save: bool) -> None:
    """Run the bench and print a table."""
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
    result["ratios"] = {way: ratios(result, way) for way in ("two nodes", "by routes")}
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
    """Return what each way adds to a call, and what it costs under load."""
    took = await one_at_a_time(urls, headers, count)
    result: dict = {"one at a time": {}, "200 at once": {}}
    base = milliseconds(took["direct"])
    for name in urls:
        p50, p99 = milliseconds(took[name])
        result["one at a time"][name] = {
            "p50_ms": round(p50, 3),
            "p99_ms": round(p99, 3),
            "added_p50_ms": round(p50 - base[0], 3),
            "added_p99_ms": round(p99 - base[1], 3),
        }
    for name, group in processes.items():
        await concurrent(urls[name], headers, total // 4, 200)
        before = sum(cpu_seconds(p) for p in group)
        began = monotonic()
        samples = await concurrent(urls[name], headers, total, 200)
        seconds = monotonic() - began
        cpu = sum(cpu_seconds(p) for p in group) - before
        p50, p99 = milliseconds(samples)
        result["200 at once"][name] = {
            "p50_ms": round(p50, 2),
            "p99_ms": round(p99, 2),
            "per_second": round(total / seconds),
            "per_core_second": round(total / cpu),
        }
    return result


def ratios(result: dict, way: str) -> dict[str, float]:
    """Return a way's figures as multiples of the bare forwarder's."""
    one, many = result["one at a time"], result["200 at once"]
    found = {
        "added p50": one[way]["added_p50_ms"] / one["bare"]["added_p50_ms"],
        "added p99": one[way]["added_p99_ms"] / one["bare"]["added_p99_ms"],
        "total p99": one[way]["p99_ms"] / one["bare"]["p99_ms"],
        "200 p99": many[way]["p99_ms"] / many["bare"]["p99_ms"],
        "per core-second": many[way]["per_core_second"]
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
