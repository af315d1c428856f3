"""Age in seconds of the gate status that nodes hold, for fleets of several sizes.

Simulates all nodes on one clock with the real gossip code, each with its own tick.
Twelve gates shed all the time; datagrams arrive without delay, and a share of them is
lost.  Also reports bytes per second that a node sends.
"""

import argparse
import json
from pathlib import Path

from matplotlib import pyplot as plt
from rattanfork_core.gate_status.tests.gossip_simulation import GossipSimulation
from tables import table

RESULTS = Path(__file__).parent.parent / "docs" / "measurements"
SIZES = (12, 194, 300, 1000, 3000)
LOSS_RATES = (0.0, 0.1)
GATES = 12
SETTLE_S = 2.0
OBSERVATIONS = 5


def measure(size: int, lost: float) -> dict[str, float]:
    """Return quantiles of the ages, and the bytes per second that a node sends."""
    gossip = GossipSimulation(size, GATES, lost)
    gossip.run(SETTLE_S)
    gossip.sent_bytes = 0
    ages: list[float] = []
    for _ in range(OBSERVATIONS):
        gossip.run(0.2)
        ages += gossip.report_ages()
    ages.sort()
    return {
        "nodes": size,
        "lost": lost,
        "known": round(len(ages) / (OBSERVATIONS * GATES * size), 4),
        **{f"p{q}": _quantile(ages, q / 100) for q in (50, 90, 99)},
        "bytes_a_second": round(gossip.sent_bytes / size / (0.2 * OBSERVATIONS)),
    }


def _quantile(ordered: list[float], share: float) -> float:
    return round(ordered[int(share * (len(ordered) - 1))], 3)


def plot(rows: list[dict[str, float]]) -> None:
    """Plot the quantiles over the size of the fleet."""
    figure, axes = plt.subplots(figsize=(6, 4))
    for lost in LOSS_RATES:
        selected = [row for row in rows if row["lost"] == lost]
        for quantile in ("p50", "p90", "p99"):
            label = f"{quantile}, {lost:.0%} of datagrams lost"
            style = "-" if lost == 0 else "--"
            sizes = [row["nodes"] for row in selected]
            axes.plot(sizes, [row[quantile] for row in selected], style, label=label)
    axes.set_xscale("log")
    axes.set_xlabel("nodes")
    axes.set_ylabel("age of gate status, s")
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(RESULTS / "reports.png", dpi=100)


def main() -> None:
    """Run all measurements; save them and a plot, and print a table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    rows = [measure(size, lost) for size in SIZES for lost in LOSS_RATES]
    (RESULTS / "reports.json").write_text(json.dumps(rows, indent=1) + "\n")
    plot(rows)
    print(table(list(rows[0]), [list(row.values()) for row in rows]))


if __name__ == "__main__":
    main()
