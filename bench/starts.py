"""Seconds from a simultaneous start of all nodes to the first request each serves.

Prints percentiles over all nodes and rounds, and the store calls of the first start.
"""

import argparse
import asyncio
import json
import signal
import tempfile
from pathlib import Path
from statistics import quantiles
from time import monotonic

import uvloop
from rattanfork_adapter.tests.fakes import FakeStore, FakeWorker
from rattanfork_adapter.tests.fleet import NodeProcess, configuration, wait_until
from rattanfork_testkit import FreePorts

_RESULTS = Path(__file__).parent.parent / "docs" / "measurements" / "starts.json"


async def time_to_first_response(node: NodeProcess, number: int) -> float:
    """Start a node; return the seconds until it responds to a request with 200."""
    began = monotonic()
    await node.start()

    async def serves() -> bool:
        answer = await node.request(f"start-{node.name}-{number}")
        return answer is not None and answer.status == 200

    await wait_until(serves)
    return monotonic() - began


async def main(nodes: int, rounds: int, save: bool) -> None:
    """Start and kill all nodes several times; print the results as JSON."""
    with tempfile.TemporaryDirectory() as folder:
        store, ports = FakeStore(), FreePorts()
        await store.start()
        await store.put("op", "config", configuration(1))
        fleet = []
        for number in range(nodes):
            worker = FakeWorker(f"i-{number}", "s1")
            await worker.start()
            node = NodeProcess(f"n{number}", worker, store, Path(folder), ports)
            fleet.append(node)
        times: list[float] = []
        first_start_calls = 0
        for number in range(rounds):
            times += await asyncio.gather(
                *(time_to_first_response(n, number) for n in fleet)
            )
            await asyncio.gather(*(n.stop(signal.SIGKILL) for n in fleet))
            first_start_calls = len(store.calls) if not number else first_start_calls
        store.stop()
        cuts = quantiles(times, n=100)
        result = {
            "nodes": nodes,
            "rounds": rounds,
            "p50_s": round(cuts[49], 2),
            "p90_s": round(cuts[89], 2),
            "max_s": round(max(times), 2),
            "store_calls_first_start": first_start_calls,
        }
        print(json.dumps(result, indent=1))
        if save:
            _RESULTS.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--save", action="store_true")
    options = parser.parse_args()
    uvloop.run(main(options.nodes, options.rounds, options.save))
