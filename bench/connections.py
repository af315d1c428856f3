"""New connections to a simulated upstream by cause, in simulated time.

Runs two minutes of Poisson traffic for each scenario and prints a table: new
connections in total, per second and by cause; requests sent on connections that a
device had forgotten, retryable and not; requests run twice.
"""

import argparse

from rattanfork_node.http1.tests.connection_traffic import SCENARIOS, run_traffic
from tables import table

_SECONDS = 120.0


def main() -> None:
    """Run the scenarios and print their counts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--only", default="", help="part of a scenario's name")
    arguments = parser.parse_args()
    rows = []
    for name, traffic in SCENARIOS.items():
        if arguments.only not in name:
            continue
        for seed in range(1, arguments.seeds + 1):
            result = run_traffic(traffic, _SECONDS, seed)
            causes = sorted(result.new.items(), key=lambda item: -item[1])
            rows.append(
                [
                    name,
                    seed,
                    result.sent,
                    result.total_new,
                    f"{result.total_new / _SECONDS:.2f}",
                    ", ".join(f"{cause} {n}" for cause, n in causes),
                    f"{result.stale_retryable} + {result.stale_unretryable}",
                    result.run_twice,
                    result.refused,
                ]
            )
    columns = ["scenario", "seed", "sent", "new", "new/s", "by cause"]
    print(table([*columns, "stale", "run twice", "refused"], rows))


if __name__ == "__main__":
    main()
