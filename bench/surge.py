"""Goodput, retry amplification, wasted work and recovery under surge and faults.

Runs a four-service call graph against an open-loop load and compares three systems:
``rattanfork`` nodes; bare forwarders with ``retries`` and long queues; and bare
forwarders without retries, whose upstreams ``limit`` their queues to 4.  Each
scenario has a baseline, a trigger and a recovery phase.  Rates are in requests per
second, times in seconds; the share of goodput is relative to the offered rate or the
capacity of the bottleneck service, whichever is lower.
"""

import argparse
import asyncio
import json
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from statistics import quantiles
from time import monotonic

import uvloop
from rattanfork_testkit import Cluster, LoadSpec, OpenLoopCaller, ServiceSpec
from rattanfork_testkit.caller import Sample

FOLDER = Path(__file__).parent.parent / "docs" / "measurements"
SERVICES = {
    "receipts": ServiceSpec(2, 24, 800, 0.01, {"browse": ("declarations/check",)}),
    "claims": ServiceSpec(
        2,
        24,
        800,
        0.01,
        {"file": ("declarations/check",), "view": ("declarations/check",)},
    ),
    "declarations": ServiceSpec(2, 36, 800, 0.01, {"check": ("donors/search",)}),
    "donors": ServiceSpec(3, 3, 300, 0.1),
}
#: Last service of the call graph, which is the bottleneck.
BOTTLENECK = "donors"
#: Requests per second that the bottleneck can serve: 3 upstreams with 3 slots, 0.1 s.
CAPACITY_RPS = 3 * 3 / 0.1
TIMEOUT_S = 2.4
#: Whether to print wasted work and counters after each scenario.
DEBUG = False
ATTEMPT_TIMEOUT_S = 1.2
P99_TARGET_S = 0.75
#: Durations of the phases of a scenario.
BASELINE_S, TRIGGER_S, RECOVERY_S = 3.0, 6.0, 6.0
RULES = """\
rules:
- {name: filings, when: {service: claims, operation: file},
   then: {importance: critical}}
- {name: views, when: {service: claims, operation: view},
   then: {importance: high}}
- {name: browsing, when: {service: receipts}, then: {importance: low}}
"""


def load(total: float, retry_unsafe: bool) -> list[LoadSpec]:
    """Return the load of all callers for a total rate in requests per second."""
    common = {"timeout": TIMEOUT_S, "attempt_timeout": ATTEMPT_TIMEOUT_S, "retries": 3}
    return [
        LoadSpec(
            "file", "claims/file", 8, method="POST", retry_unsafe=retry_unsafe, **common
        ),
        LoadSpec("view", "claims/view", 12, **common),
        LoadSpec("browse", "receipts/browse", total - 20, **common),
    ]


@dataclass
class Scenario:
    """Load and fault of one run.

    ``demand`` and ``surge`` are multiples of :data:`CAPACITY_RPS`; ``capacity`` is the
    rate in requests per second that remains during the fault.
    """

    name: str
    demand: float = 0.75
    surge: float = 0.75
    begin: Callable[["Run"], Awaitable[None]] | None = None
    end: Callable[["Run"], Awaitable[None]] | None = None
    capacity: float = CAPACITY_RPS
    baselines: bool = False


@dataclass
class Run:
    """One running system and its results, by scenario."""

    system: str
    cluster: Cluster
    seed: int
    results: dict = field(default_factory=dict)
    previous_counts: dict = field(default_factory=dict)

    def bottleneck_nodes(self) -> list:
        """Return the instances of the bottleneck service."""
        return [n for n in self.cluster.nodes if n.service == BOTTLENECK]

    async def run_scenario(self, scenario: Scenario) -> dict:
        """Run a scenario and return its results."""
        for node in self.cluster.nodes:
            await self.cluster.control(node.upstream_url, forget=True)
        edges = [n.edge for n in self.cluster.nodes if n.service != BOTTLENECK]
        caller = OpenLoopCaller(edges, self.seed)
        specs = load(scenario.demand * CAPACITY_RPS, self.system != "rattanfork")
        began = monotonic()
        sending = asyncio.ensure_future(
            caller.run(specs, BASELINE_S + TRIGGER_S + RECOVERY_S)
        )
        await asyncio.sleep(BASELINE_S)
        if scenario.begin:
            await scenario.begin(self)
        caller.set_rate("browse", scenario.surge * CAPACITY_RPS - 20)
        await asyncio.sleep(TRIGGER_S)
        caller.set_rate("browse", scenario.demand * CAPACITY_RPS - 20)
        if scenario.end:
            await scenario.end(self)
        stats = await sending
        runs, arrived = await self._fetch_ledgers()
        if DEBUG:
            await self._print_debug(began, runs, stats.samples)
        return summarize(scenario, stats.samples, began, runs, arrived)

    async def _print_debug(self, began: float, runs: list, samples: list) -> None:
        good = {s.request_id for s in samples if s.succeeded}
        waste = Counter(
            int(r["at"] - began) for r in runs if r["request_id"] not in good
        )
        total = Counter(int(r["at"] - began) for r in runs)
        print("wasted/runs by second", [(k, waste[k], total[k]) for k in sorted(total)])
        current_counts: dict = {}
        for node in self.cluster.nodes:
            status = await self.cluster.get(f"{node.admin}/status")
            for kind, counts in status["counters"].items():
                for name, n in counts.items():
                    key = (node.service, kind, name)
                    current_counts[key] = current_counts.get(key, 0) + n
        for key, n in sorted(current_counts.items()):
            if n != self.previous_counts.get(key, 0):
                print("   ", *key, n - self.previous_counts.get(key, 0))
        self.previous_counts = current_counts

    async def _fetch_ledgers(self) -> tuple[list[dict], int]:
        runs, arrived = [], 0
        for node in self.cluster.nodes:
            try:
                answer = await self.cluster.get(f"{node.upstream_url}/-/ledger")
            except OSError:
                continue
            runs += answer["ledger"]
            if node.service == BOTTLENECK:
                arrived += answer["counts"]["arrived"]
        return runs, arrived


def summarize(
    scenario: Scenario,
    samples: list[Sample],
    began: float,
    runs: list[dict],
    arrived: int,
) -> dict:
    """Return the results of a scenario, as saved."""
    during = [
        s
        for s in samples
        if BASELINE_S + 0.5 <= s.began - began < BASELINE_S + TRIGGER_S
    ]
    seconds = TRIGGER_S - 0.5
    good_ids = {s.request_id for s in samples if s.succeeded}
    wasted = sum(run["request_id"] not in good_ids for run in runs)
    posts = Counter(r["body"] for r in runs if r["method"] == "POST")
    offered = len(during) / seconds
    goodput = sum(s.succeeded for s in during) / seconds
    attainable = min(offered, scenario.capacity)
    return {
        "offered": round(offered, 1),
        "goodput": round(goodput, 1),
        "goodput_share": round(goodput / attainable, 3),
        "by_kind": {
            kind: round(share(s for s in during if s.name == kind), 4)
            for kind in ("file", "view", "browse")
        },
        "all_files": round(share(s for s in samples if s.name == "file"), 4),
        "amplification": round(arrived / len(samples), 3),
        "wasted": round(wasted / max(1, len(runs)), 3),
        "wasted_by_service": Counter(
            r["path"].split("?")[0] for r in runs if r["request_id"] not in good_ids
        ),
        "run_twice": sum(n - 1 for n in posts.values()),
        "recovery_goodput_s": recovery(samples, began, goodput_recovered),
        "recovery_p99_s": recovery(samples, began, p99_recovered),
        "timeline": timeline(samples, began),
    }


def share(samples) -> float:
    """Return the share of requests with a complete response in time."""
    good = [s.succeeded for s in samples]
    return sum(good) / len(good) if good else 1.0


def window(samples: list[Sample], began: float, at: float, width: float) -> list:
    """Return the samples that started in a time window."""
    return [s for s in samples if at <= s.began - began < at + width]


def goodput_recovered(samples: list[Sample], before: float) -> bool:
    """Return whether goodput is at least 95% of the baseline."""
    return share(samples) >= 0.95 * before


def p99_recovered(samples: list[Sample], before: float) -> bool:
    """Return whether the 99th percentile of latency is within its target."""
    took = [s.duration if s.succeeded else TIMEOUT_S for s in samples]
    return len(took) > 1 and quantiles(took, n=100)[98] <= P99_TARGET_S


def recovery(samples: list[Sample], began: float, recovered: Callable) -> float | None:
    """Return seconds from the trigger's end until a lasting recovery; None if never."""
    before = share(window(samples, began, 0.5, BASELINE_S - 0.5))
    end = BASELINE_S + TRIGGER_S
    steps = [i / 4 for i in range(int(4 * (RECOVERY_S - 1)))]
    for i, step in enumerate(steps):
        rest = steps[i : i + 4]
        if all(recovered(window(samples, began, end + s, 1.0), before) for s in rest):
            return step
    return None


def timeline(samples: list[Sample], began: float) -> list[float]:
    """Return goodput in requests per second for each half second."""
    total = BASELINE_S + TRIGGER_S + RECOVERY_S
    counts = [0] * int(2 * total)
    for sample in samples:
        index = int(2 * (sample.began - began))
        if sample.succeeded and 0 <= index < len(counts):
            counts[index] += 2
    return counts


async def slow_begin(run: Run) -> None:
    """Slow the bottleneck service down by a factor of five."""
    for node in run.bottleneck_nodes():
        await run.cluster.control(node.upstream_url, slow=5.0)


async def slow_end(run: Run) -> None:
    """Restore the speed of the bottleneck service."""
    for node in run.bottleneck_nodes():
        await run.cluster.control(node.upstream_url, slow=1.0)


async def misreport_begin(run: Run) -> None:
    """Make load endpoints report a tenth of the load, ten seconds late."""
    for node in run.bottleneck_nodes():
        await run.cluster.control(node.upstream_url, load_lie=0.1, load_lag=10)


async def kill_begin(run: Run) -> None:
    """Kill one of the three upstreams of the bottleneck service."""
    run.bottleneck_nodes()[0].upstream.kill()


async def kill_end(run: Run) -> None:
    """Start a replacement that needs to warm up."""
    node = run.bottleneck_nodes()[0]
    run.cluster.start_upstream(
        node,
        SERVICES[BOTTLENECK],
        99,
        announces=run.system == "rattanfork",
        cold_seconds=2.0,
        cold_factor=3.0,
        queue=10_000 if run.system != "limit" else 4,
    )


async def pause_begin(run: Run) -> None:
    """Pause the node of one instance of the bottleneck service (SIGSTOP)."""
    run.bottleneck_nodes()[1].process.send_signal(signal.SIGSTOP)


async def pause_end(run: Run) -> None:
    """Resume the paused node (SIGCONT)."""
    run.bottleneck_nodes()[1].process.send_signal(signal.SIGCONT)


SCENARIOS = [
    Scenario("1x", surge=1.0),
    Scenario("2x", surge=2.0),
    Scenario("5x", surge=5.0, baselines=True),
    Scenario("10x", surge=10.0),
    Scenario("lying load", surge=5.0, begin=misreport_begin),
    Scenario(
        "5x slower at 1.5x",
        surge=1.5,
        begin=slow_begin,
        end=slow_end,
        capacity=CAPACITY_RPS / 5,
        baselines=True,
    ),
    Scenario(
        "a third killed, cold back",
        surge=1.0,
        begin=kill_begin,
        end=kill_end,
        capacity=CAPACITY_RPS * 2 / 3,
        baselines=True,
    ),
    Scenario(
        "a node frozen",
        surge=0.6,
        demand=0.6,
        begin=pause_begin,
        end=pause_end,
        capacity=CAPACITY_RPS * 2 / 3,
    ),
]


async def run_system(system: str, seed: int, only: list[str]) -> dict:
    """Run all scenarios against one system."""
    async with Cluster(seed=seed) as cluster:
        if system == "rattanfork":
            for name, spec in SERVICES.items():
                for i in range(spec.workers):
                    cluster.add_instance(name, spec, f"dc{i + 1}", i + 1, queue=10_000)
            rules = cluster.folder / "rules.yaml"
            rules.write_text(RULES)
            await cluster.wait_ready()
            await cluster.run_cli(
                "rules", "apply", str(rules), "--platform", cluster.platform_url
            )
            await asyncio.sleep(2)
        else:
            cluster.add_baseline(
                SERVICES,
                retries=3 if system == "retries" else 0,
                attempt_timeout=ATTEMPT_TIMEOUT_S,
                queue=10_000 if system == "retries" else 4,
            )
        run = Run(system, cluster, seed)
        for scenario in SCENARIOS:
            wanted = not only or scenario.name in only
            if wanted and (system == "rattanfork" or scenario.baselines):
                result = await run.run_scenario(scenario)
                run.results[scenario.name] = result
                print_result(system, scenario.name, result)
                await asyncio.sleep(2.0)
        return run.results


def print_result(system: str, name: str, result: dict) -> None:
    """Print the results of a scenario on one line."""
    kinds = " ".join(f"{k}={v:.3f}" for k, v in result["by_kind"].items())
    print(
        f"{system:10} {name:26} offered {result['offered']:6.1f} "
        f"goodput {result['goodput']:5.1f} ({result['goodput_share']:.2f}) {kinds} "
        f"ampl {result['amplification']:.2f} wasted {result['wasted']:.3f} "
        f"{dict(result['wasted_by_service'])} "
        f"twice {result['run_twice']} recovery {result['recovery_goodput_s']} s, "
        f"p99 {result['recovery_p99_s']} s",
        flush=True,
    )


def plot(results: dict, path: Path) -> None:
    """Plot goodput over time, one panel for each scenario."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [s.name for s in SCENARIOS if s.name in results["rattanfork"]]
    figure, axes = pyplot.subplots(
        (len(names) + 1) // 2, 2, figsize=(12, 2.6 * ((len(names) + 1) // 2))
    )
    for axis, name in zip(axes.flat, names, strict=False):
        for system, scenarios in results.items():
            if name in scenarios:
                line = scenarios[name]["timeline"]
                axis.plot([i / 2 for i in range(len(line))], line, label=system)
        axis.axhline(CAPACITY_RPS, color="grey", linewidth=0.5)
        axis.axvspan(BASELINE_S, BASELINE_S + TRIGGER_S, alpha=0.1)
        axis.set_title(name, fontsize=9)
        axis.legend(fontsize=7)
    figure.supylabel("complete responses in time per second")
    figure.tight_layout()
    figure.savefig(path, dpi=80)


async def main(options: argparse.Namespace) -> None:
    """Run the selected systems and save their results if asked to."""
    results = {}
    for system in options.systems.split(","):
        only = options.only.split(",") if options.only else []
        results[system] = await run_system(system, options.seed, only)
    if options.save:
        FOLDER.mkdir(parents=True, exist_ok=True)
        text = json.dumps({"seed": options.seed, "results": results}, indent=1)
        (FOLDER / "surge.json").write_text(text + "\n")
        plot(results, FOLDER / "surge.png")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=101)
    parser.add_argument("--systems", default="rattanfork,retries,limit")
    parser.add_argument("--only", default="")
    parser.add_argument("--save", action="store_true")
    parser.add_argument("--debug", action="store_true")
    DEBUG = parser.parse_args().debug
    uvloop.run(main(parser.parse_args()))
