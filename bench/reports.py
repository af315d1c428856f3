"""How old what the gates report is at the nodes of fleets of several sizes.

Twelve gates shed all the time; the real objects of all nodes run in one process on one
clock, each with a tick of its own.  A datagram takes no time, and some are lost.
"""

import argparse
import json
from pathlib import Path

from matplotlib import pyplot as plt
from rattanfork_core.gate_status.tests.gossip_simulation import GossipSimulation
from tables import table

RESULTS = Path(__file__).parent.parent / "docs" / "measurements"
SIZES = (12, 194, 300, 1000, 3000)
LOSSES = (0.0, 0.1)
GATES = 12
SETTLE = 2.0
LOOKS = 5


def measure(size: int, lost: float) -> dict[str, float]:
    """Return quantiles of the ages, and what a node sends."""
    gossip = GossipSimulation(size, GATES, lost)
    gossip.run(SETTLE)
    gossip.sent_bytes = 0
    ages: list[float] = []
    for _ in range(LOOKS):
        gossip.run(0.2)
        ages += gossip.report_ages()
    ages.sort()
    return {
        "nodes": size,
        "lost": lost,
        "known": round(len(ages) / (LOOKS * GATES * size), 4),
        **{f"p{q}": _quantile(ages, q / 100) for q in (50, 90, 99)},
        "bytes_a_second": round(gossip.sent_bytes / size / (0.2 * LOOKS)),
    }


def _quantile(ordered: list[float], share: float) -> float:
    return round(ordered[int(share * (len(ordered) - 1))], 3)


def plot(rows: list[dict[str, float]]) -> None:
    """Draw the quantiles over the size of the fleet."""
    figure, axes = plt.subplots(figsize=(6, 4))
    for lost in LOSSES:
        these = [row for row in rows if row["lost"] == lost]
        for quantile in ("p50", "p90", "p99"):
            label = f"{quantile}, {lost:.0%} of datagrams lost"
            style = "-" if lost == 0 else "--"
            sizes = [row["nodes"] for row in these]
            axes.plot(sizes, [row[quantile] for row in these], style, label=label)
    axes.set_xscale("log")
    axes.set_xlabel("nodes")
    axes.set_ylabel("age of what a gate said, s")
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(RESULTS / "reports.png", dpi=100)


def main() -> None:
    """Measure, and write table and plot."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    rows = [measure(size, lost) for size in SIZES for lost in LOSSES]
    (RESULTS / "reports.json").write_text(json.dumps(rows, indent=1) + "\n")
    plot(rows)
    print(table(list(rows[0]), [list(row.values()) for row in rows]))


if __name__ == "__main__":
    main()
