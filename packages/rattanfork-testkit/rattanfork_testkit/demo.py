"""Demonstration: two deployments under a surge, a change of rules and a drain."""

import asyncio
import json
import subprocess
import sys
from collections import Counter
from pathlib import Path
from statistics import median, quantiles
from time import monotonic

import aiohttp
import uvloop
from rich.console import Console
from rich.table import Table

from rattanfork_testkit.caller import CallerStats, LoadSpec, OpenLoopCaller
from rattanfork_testkit.cluster import Cluster, NodeHandle
from rattanfork_testkit.deployments import CLAIMS_BUREAU, REGISTRY_AUTHORITY

_REPLICATED_SERVICES = ("claims", "donors", "receipts")
#: Measured calls, after 20 warm-up calls that do not count.
_LATENCY_SAMPLES = 150
#: Requests per second of the surge.
_SURGE_RATE = 500
_RULES = """\
rules:
- name: filings-first
  when: {service: claims, operation: file}
  then: {importance: critical}
- name: postings-first
  when: {service: receipting, operation: post}
  then: {importance: critical}
- name: clerks
  when: {service: donors}
  then: {importance: high}
- name: browsing-last
  when: {service: receipts, operation: browse}
  then: {importance: low}
objectives:
- {service: claims, target: 0.999}
- {service: receipts, target: 0.9}
"""
_RETIRED_RULE = "clerks"
#: Importance that the rules give to each kind of request, as shown in the table.
_SHOWN_IMPORTANCE = {
    "file claim": "critical",
    "post dues": "critical",
    "donor search": "high, then normal",
    "view balance": "normal",
    "browse receipts": "low",
}


class Demo:
    """Runs the demonstration and checks its guarantees."""

    def __init__(self, cluster: Cluster, folder: Path) -> None:
        self._cluster = cluster
        self._folder = folder
        self._console = Console(width=100)
        self._failures: list[str] = []

    async def run(self) -> int:
        """Run all steps; return the exit status."""
        await self._start()
        self._apply_rules()
        added_latency = await self._measure_added_latency()
        stats = await self._run_traffic()
        await self._report(stats, added_latency)
        for failure in self._failures:
            self._console.print(f"FAILED: {failure}", style="red")
        if not self._failures:
            self._console.print("All checks passed.")
        return 1 if self._failures else 0

    async def _start(self) -> None:
        began = monotonic()
        for deployment in (CLAIMS_BUREAU, REGISTRY_AUTHORITY):
            for name, spec in deployment.services.items():
                for i in range(2 if name in _REPLICATED_SERVICES else 1):
                    centre = deployment.data_centres[i]
                    self._cluster.add_instance(name, spec, centre, i + 1)
        await self._cluster.wait_ready()
        count = len(self._cluster.nodes)
        took = monotonic() - began
        self._console.print(
            f"{count} nodes and {count} upstream stand-ins of both deployments "
            f"are ready after {took:.1f} s."
        )

    def _run_cli(self, *arguments: str) -> str:
        command = [sys.executable, "-m", "rattanfork_cli.main", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        if done.returncode:
            self._failures.append(f"{' '.join(arguments[:2])}: {done.stderr.strip()}")
        return done.stdout.strip()

    def _apply_rules(self) -> None:
        rules = self._folder / "rules.yaml"
        rules.write_text(_RULES)
        platform = self._cluster.platform_url
        output = self._run_cli(
            "rules", "apply", str(rules), "--platform", platform, "--author", "demo"
        )
        self._console.print(f"rules apply: {output}")

    async def _measure_added_latency(self) -> list[float]:
        node = self._find_node("receipts-1")
        targets = [n for n in self._cluster.nodes if n.service == "audit"]
        via_nodes, direct = [], []
        async with aiohttp.ClientSession() as session:
            for i in range(_LATENCY_SAMPLES + 20):
                for took, url in (
                    (via_nodes, f"{node.edge}/audit/entries"),
                    (direct, f"{targets[0].upstream_url}/entries"),
                ):
                    began = monotonic()
                    async with session.get(url) as response:
                        await response.read()
                    if i >= 20:
                        took.append(monotonic() - began)
        return [1000 * (median(via_nodes) - median(direct)), 1000 * median(direct)]

    async def _run_traffic(self) -> CallerStats:
        edges = [n.edge for n in self._cluster.nodes if n.instance != "donors-2"]
        caller = OpenLoopCaller(edges, seed=self._cluster.seed)
        load = [
            LoadSpec("file claim", "claims/file", 15, method="POST", timeout=2),
            LoadSpec("post dues", "receipting/post", 15, method="POST", timeout=2),
            LoadSpec("donor search", "donors/search", 30, timeout=2),
            LoadSpec("view balance", "balance/view", 30, timeout=2),
            LoadSpec("browse receipts", "receipts/browse", 30, timeout=2, retries=2),
        ]
        sending = asyncio.ensure_future(caller.run(load, 14))
        await asyncio.sleep(3)
        self._console.print(
            f"Surge: browsing of receipts rises from 30 to {_SURGE_RATE} requests/s."
        )
        await self._set_donors_slowdown(15.0)
        caller.set_rate("browse receipts", _SURGE_RATE)
        await asyncio.sleep(4)
        caller.set_rate("browse receipts", 30)
        await self._set_donors_slowdown(1.0)
        output = await asyncio.to_thread(
            self._run_cli,
            "rules",
            "retire",
            _RETIRED_RULE,
            "--platform",
            self._cluster.platform_url,
        )
        self._console.print(f"rules retire {_RETIRED_RULE}, under traffic: {output}")
        await self._drain(self._find_node("donors-2"))
        return await sending

    async def _set_donors_slowdown(self, factor: float) -> None:
        for node in self._cluster.nodes:
            if node.service == "donors":
                await self._cluster.control(node.upstream_url, slow=factor)

    async def _drain(self, node: NodeHandle) -> None:
        began = monotonic()
        node.process.terminate()
        status = await asyncio.to_thread(node.process.wait, 20)
        took = monotonic() - began
        self._console.print(
            f"Drained {node.instance} under traffic: exit status {status} "
            f"after {took:.1f} s."
        )
        if status:
            self._failures.append("the drained node did not exit with status 0")

    def _find_node(self, instance: str) -> NodeHandle:
        return next(n for n in self._cluster.nodes if n.instance == instance)

    async def _report(self, stats: CallerStats, added_latency: list[float]) -> None:
        self._print_requests(stats)
        duplicates = await self._count_duplicate_runs()
        false_not_run = await self._count_false_not_run(stats)
        self._console.print(
            f"Added latency, through two nodes, one call at a time: median "
            f"{added_latency[0]:.2f} ms on top of a direct call of "
            f"{added_latency[1]:.2f} ms."
        )
        self._console.print(f"Duplicate runs of POST requests: {duplicates}")
        self._console.print(f"Runs of requests reported as 'not run': {false_not_run}")
        if duplicates:
            self._failures.append("a POST request ran more than once")
        if false_not_run:
            self._failures.append("a request ran although it was reported as 'not run'")
        for name in ("file claim", "post dues"):
            if any(not s.succeeded for s in stats.by_name(name)):
                self._failures.append(
                    f"not every '{name}' got a complete response in time"
                )
        await self._print_revisions()

    def _print_requests(self, stats: CallerStats) -> None:
        table = Table(title="Requests by importance and outcome", title_justify="left")
        for column in (
            "kind",
            "importance",
            "sent",
            "completed in time",
            "not run",
            "unknown",
            "p99",
        ):
            table.add_column(column)
        for name in dict.fromkeys(s.name for s in stats.samples):
            samples = stats.by_name(name)
            took = [1000 * s.duration for s in samples if s.succeeded]
            p99 = quantiles(took, n=100)[98] if len(took) > 1 else 0.0
            outcomes = Counter(s.outcome for s in samples if not s.succeeded)
            table.add_row(
                name,
                _SHOWN_IMPORTANCE[name],
                str(len(samples)),
                str(len(took)),
                str(outcomes["not-run"]),
                str(outcomes["unknown"] + outcomes["answered"]),
                f"{p99:.0f} ms",
            )
        self._console.print(table)

    async def _ledgers(self) -> list[dict]:
        entries = []
        for node in self._cluster.nodes:
            answer = await self._cluster.get(f"{node.upstream_url}/-/ledger")
            entries += answer["ledger"]
        return entries

    async def _count_duplicate_runs(self) -> int:
        posts = [e["body"] for e in await self._ledgers() if e["method"] == "POST"]
        return sum(count - 1 for count in Counter(posts).values())

    async def _count_false_not_run(self, stats: CallerStats) -> int:
        ran = {e["request_id"] for e in await self._ledgers() if e["method"] == "POST"}
        not_run = {s.request_id for s in stats.samples if s.outcome == "not-run"}
        return len(ran & not_run)

    async def _print_revisions(self) -> None:
        admin = self._find_node("claims-1").admin
        answer = json.loads(
            self._run_cli("rules", "status", "--json", "--node", admin) or "{}"
        )
        revisions = Counter(n["revision"] for n in answer.get("nodes", []))
        for revision, count in revisions.items():
            self._console.print(f"Revision {revision} is in force at {count} nodes.")
        live = len(self._cluster.nodes) - 1
        if revisions.get(2, 0) < live or any(r not in (2, None) for r in revisions):
            self._failures.append("the accepted revision is not in force at every node")


async def _main() -> int:
    async with Cluster() as cluster:
        return await Demo(cluster, cluster.folder).run()


if __name__ == "__main__":
    sys.exit(uvloop.run(_main()))
