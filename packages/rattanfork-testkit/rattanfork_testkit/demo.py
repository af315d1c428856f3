"""The demonstration: both deployments, a surge, a rule change and a drain."""

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

_TWICE = ("claims", "donors", "receipts")
_PROBES = 150
_SURGE = 500
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
_RETIRED = "clerks"
#: What the rules make of each kind of request.
_IMPORTANCE = {
    "file claim": "critical",
    "post dues": "critical",
    "donor search": "high, then normal",
    "view balance": "normal",
    "browse receipts": "low",
}


class Demo:
    """Runs the demonstration and checks what it claims."""

    def __init__(self, cluster: Cluster, folder: Path) -> None:
        self._cluster = cluster
        self._folder = folder
        self._console = Console(width=100)
        self._failures: list[str] = []

    async def run(self) -> int:
        """Run all parts; return the exit status."""
        await self._start()
        self._apply_rules()
        added = await self._measure_added()
        stats = await self._traffic()
        await self._report(stats, added)
        for failure in self._failures:
            self._console.print(f"NOT HELD: {failure}", style="red")
        if not self._failures:
            self._console.print("All that is claimed held.")
        return 1 if self._failures else 0

    async def _start(self) -> None:
        began = monotonic()
        for deployment in (CLAIMS_BUREAU, REGISTRY_AUTHORITY):
            for name, spec in deployment.services.items():
                for i in range(2 if name in _TWICE else 1):
                    centre = deployment.data_centres[i]
                    self._cluster.add_instance(name, spec, centre, i + 1)
        await self._cluster.wait_ready()
        count = len(self._cluster.nodes)
        took = monotonic() - began
        self._console.print(
            f"{count} nodes and {count} upstream stand-ins of both deployments "
            f"are ready after {took:.1f} s."
        )

    def _rattanfork(self, *arguments: str) -> str:
        command = [sys.executable, "-m", "rattanfork_cli.main", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        if done.returncode:
            self._failures.append(f"{' '.join(arguments[:2])}: {done.stderr.strip()}")
        return done.stdout.strip()

    def _apply_rules(self) -> None:
        rules = self._folder / "rules.yaml"
        rules.write_text(_RULES)
        platform = self._cluster.platform_url
        said = self._rattanfork(
            "rules", "apply", str(rules), "--platform", platform, "--author", "demo"
        )
        self._console.print(f"rules apply: {said}")

    async def _measure_added(self) -> list[float]:
        node = self._node("receipts-1")
        others = [n for n in self._cluster.nodes if n.service == "audit"]
        through, direct = [], []
        async with aiohttp.ClientSession() as session:
            for i in range(_PROBES + 20):
                for took, url in (
                    (through, f"{node.edge}/audit/entries"),
                    (direct, f"{others[0].upstream_url}/entries"),
                ):
                    began = monotonic()
                    async with session.get(url) as response:
                        await response.read()
                    if i >= 20:
                        took.append(monotonic() - began)
        return [1000 * (median(through) - median(direct)), 1000 * median(direct)]

    async def _traffic(self) -> CallerStats:
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
        self._console.print(f"Surge: receipts browsing from 30 to {_SURGE} a second.")
        await self._slow_donors(15.0)
        caller.set_rate("browse receipts", _SURGE)
        await asyncio.sleep(4)
        caller.set_rate("browse receipts", 30)
        await self._slow_donors(1.0)
        said = await asyncio.to_thread(
            self._rattanfork,
            "rules",
            "retire",
            _RETIRED,
            "--platform",
            self._cluster.platform_url,
        )
        self._console.print(f"rules retire {_RETIRED}, under traffic: {said}")
        await self._drain(self._node("donors-2"))
        return await sending

    async def _slow_donors(self, factor: float) -> None:
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

    def _node(self, instance: str) -> NodeHandle:
        return next(n for n in self._cluster.nodes if n.instance == instance)

    async def _report(self, stats: CallerStats, added: list[float]) -> None:
        self._print_requests(stats)
        doubled = await self._doubled_runs()
        falsely = await self._ran_though_not_run(stats)
        self._console.print(
            f"Added latency, two nodes passed, one call at a time: median "
            f"{added[0]:.2f} ms over a direct call of {added[1]:.2f} ms."
        )
        self._console.print(f"Postings and filings run twice: {doubled}")
        self._console.print(f"Run although told 'not run': {falsely}")
        if doubled:
            self._failures.append("something ran twice")
        if falsely:
            self._failures.append("something ran that was told 'not run'")
        for name in ("file claim", "post dues"):
            if any(not s.succeeded for s in stats.named(name)):
                self._failures.append(f"not every '{name}' was answered in time")
        await self._print_revisions()

    def _print_requests(self, stats: CallerStats) -> None:
        table = Table(title="Requests by importance and outcome", title_justify="left")
        for column in (
            "kind",
            "importance",
            "sent",
            "whole in time",
            "not run",
            "unknown",
            "p99",
        ):
            table.add_column(column)
        for name in dict.fromkeys(s.name for s in stats.samples):
            samples = stats.named(name)
            took = [1000 * s.duration for s in samples if s.succeeded]
            p99 = quantiles(took, n=100)[98] if len(took) > 1 else 0.0
            outcomes = Counter(s.outcome for s in samples if not s.succeeded)
            table.add_row(
                name,
                _IMPORTANCE[name],
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

    async def _doubled_runs(self) -> int:
        posts = [e["body"] for e in await self._ledgers() if e["method"] == "POST"]
        return sum(count - 1 for count in Counter(posts).values())

    async def _ran_though_not_run(self, stats: CallerStats) -> int:
        ran = {e["request_id"] for e in await self._ledgers() if e["method"] == "POST"}
        told = {s.request_id for s in stats.samples if s.outcome == "not-run"}
        return len(ran & told)

    async def _print_revisions(self) -> None:
        admin = self._node("claims-1").admin
        answer = json.loads(
            self._rattanfork("rules", "status", "--json", "--node", admin) or "{}"
        )
        revisions = Counter(n["revision"] for n in answer.get("nodes", []))
        for revision, count in revisions.items():
            self._console.print(f"Revision {revision} is in force at {count} nodes.")
        live = len(self._cluster.nodes) - 1
        if revisions.get(2, 0) < live or any(r not in (2, None) for r in revisions):
            self._failures.append("the accepted revision is not in force everywhere")


async def _main() -> int:
    async with Cluster() as cluster:
        return await Demo(cluster, cluster.folder).run()


if __name__ == "__main__":
    sys.exit(uvloop.run(_main()))
