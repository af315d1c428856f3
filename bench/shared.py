"""Propagation of rules, a store outage, and readiness of new nodes.

Measures, in a fleet of nine nodes in three data centres: store reads per second; the
seconds from the commit of a revision to its being in force at each node; the share of
POST requests that succeed during a store outage; and the seconds until a new node is
ready with the store up, slow and down.
"""

import argparse
import asyncio
import json
from collections import Counter
from pathlib import Path
from statistics import quantiles
from time import monotonic

import aiohttp
import uvloop
from rattanfork_testkit import Cluster, ServiceSpec

RESULTS = Path(__file__).parent.parent / "docs" / "measurements" / "shared.json"
SPEC = ServiceSpec(1, 50, 200, 0.01)
OUTAGE_S = 60.0
POSTS_PER_SECOND = 20


async def start(cluster: Cluster, count: int) -> None:
    """Start nodes of one service in three data centres."""
    for i in range(count):
        cluster.add_instance("claims", SPEC, f"dc{i % 3}", i + 1)
    await cluster.wait_ready()


async def apply_revision(cluster: Cluster, revision: int) -> None:
    """Commit a revision of the rules through the command line."""
    path = cluster.folder / "r.yaml"
    path.write_text(f"rules: [{{name: r{revision}, then: {{attempts: 1}}}}]")
    await cluster.run_cli(
        "rules", "apply", str(path), "--platform", cluster.platform_url
    )


async def wait_in_force(cluster: Cluster, node, revision: int, since: float) -> float:
    """Return seconds from ``since`` until a revision is in force at a node."""
    while True:
        status = await cluster.get(f"{node.admin}/status")
        if status["revision"] >= revision:
            return monotonic() - since
        await asyncio.sleep(0.02)


async def measure_propagation(
    cluster: Cluster, changes: int, down: bool
) -> list[float]:
    """Return, for each change and node, seconds from commit to in force."""
    took: list[float] = []
    status = await cluster.get(f"{cluster.nodes[0].admin}/status")
    revision = status["revision"]
    for _ in range(changes):
        revision += 1
        await apply_revision(cluster, revision)
        since = monotonic()
        if down:
            # Stop the store once one node has read the revision, so that the others
            # have to get it from peers.
            nodes = cluster.nodes
            first = [asyncio.ensure_future(wait_in_force(cluster, n, revision, since))
                     for n in nodes]  # fmt: skip
            await asyncio.wait(first, return_when=asyncio.FIRST_COMPLETED)
            await cluster.control(cluster.platform_url, mode="down")
            took += await asyncio.gather(*first)
            await cluster.control(cluster.platform_url, mode="up")
            await asyncio.sleep(1)
        else:
            waits = (wait_in_force(cluster, n, revision, since) for n in cluster.nodes)
            took += await asyncio.gather(*waits)
    return took


async def post_through_outage(cluster: Cluster, seconds: float) -> dict:
    """Return the share of POST requests that succeed while the store is down."""
    counts: Counter = Counter()
    tasks = []
    async with aiohttp.ClientSession() as session:

        async def post(number: int) -> None:
            node = cluster.nodes[number % len(cluster.nodes)]
            kind = ("issued key", "no key", "own key")[number % 3]
            headers = {}
            if kind == "issued key":
                url = f"{node.edge}/rattanfork/keys?service=claims"
                async with session.post(url) as response:
                    headers["Idempotency-Key"] = (await response.json())["keys"][0]
            elif kind == "own key":
                headers["Idempotency-Key"] = f"own-{number}"
            url = f"{node.edge}/claims/file"
            async with session.post(url, headers=headers, data=str(number)) as answer:
                counts[kind, answer.status == 200] += 1

        end = monotonic() + seconds
        number = 0
        while monotonic() < end:
            tasks.append(asyncio.ensure_future(post(number)))
            number += 1
            await asyncio.sleep(1 / POSTS_PER_SECOND)
        await asyncio.gather(*tasks)
    return {
        kind: counts[kind, True] / max(1, counts[kind, True] + counts[kind, False])
        for kind in ("issued key", "no key", "own key")
    }


async def time_to_ready(
    cluster: Cluster, mode: str, delay: float, peers: bool
) -> float | None:
    """Return seconds from start to ready of a new node; None if more than 8."""
    # Requiring 15 data centres makes the answers of peers insufficient.
    cluster.node_settings = {} if peers else {"rules": {"data_centres_needed": 15}}
    await cluster.control(cluster.platform_url, mode=mode, delay=delay)
    began = monotonic()
    number = len(cluster.nodes) + 1
    node = cluster.add_instance("claims", SPEC, "dc1", number)
    took = None
    while monotonic() - began < 8:
        try:
            status = await cluster.get(f"{node.admin}/status")
        except (aiohttp.ClientError, OSError):
            await asyncio.sleep(0.02)
            continue
        if status["ready"]:
            took = monotonic() - began
            break
        await asyncio.sleep(0.02)
    await cluster.control(cluster.platform_url, mode="up")
    node.process.kill()
    node.upstream.kill()
    cluster.nodes.remove(node)
    return took


async def main(save: bool, seconds: float) -> None:
    """Run all measurements; print the results as JSON."""
    result: dict = {}
    async with Cluster() as cluster:
        await start(cluster, 9)
        before = await cluster.get(f"{cluster.platform_url}/-/counts")
        await asyncio.sleep(10)
        after = await cluster.get(f"{cluster.platform_url}/-/counts")
        result["table reads a second, 9 nodes, 3 data centres"] = (
            after["reads"] - before["reads"]
        ) / 10
        for name, down in (("table up", False), ("table down at once", True)):
            took = await measure_propagation(cluster, 8, down)
            cuts = quantiles(took, n=100)
            result[f"accepted to in force, {name}"] = {
                "samples": len(took),
                "p50_s": round(cuts[49], 2),
                "p99_s": round(cuts[98], 2),
                "max_s": round(max(took), 2),
            }
        await cluster.control(cluster.platform_url, mode="down")
        result[
            f"postings answered in a {seconds:.0f} s outage"
        ] = await post_through_outage(cluster, seconds)
        await cluster.control(cluster.platform_url, mode="up")
        for peers in (True, False):
            fresh = {}
            for name, mode, delay in (
                ("table up", "up", 0.0),
                ("table 0.8 s slow", "slow", 0.8),
                ("table down", "down", 0.0),
            ):
                took = [
                    await time_to_ready(cluster, mode, delay, peers) for _ in range(3)
                ]
                fresh[name] = [round(t, 2) if t else None for t in took]
            asked = "asking peers too" if peers else "table only"
            result[f"fresh node ready, s, {asked}"] = fresh
    print(json.dumps(result, indent=1))
    if save:
        RESULTS.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=OUTAGE_S)
    parser.add_argument("--save", action="store_true")
    options = parser.parse_args()
    uvloop.run(main(options.save, options.seconds))
