"""Cost of fair shares of client accounts: bytes of a node, and CPU time of each step.

Simulates entry nodes with the real ranks and messages, one account of 76 at six times
its usual rate, for fleets of several sizes; and times the steps alone with 76 and with
4,000 accounts.
"""

import json
from pathlib import Path
from time import process_time
from types import SimpleNamespace

from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.clock import ManualClock, MonotonicClock
from rattanfork_core.fair_shares import (
    DemandCollector,
    DemandReport,
    DemandTotals,
    FairShares,
    TotalsTable,
    account_hash,
)
from rattanfork_core.gate_status import (
    CallChainThresholds,
    GateReport,
    GateReportTable,
    OperationDependencies,
)
from rattanfork_core.membership import decode_gossip, encode_gossip
from rattanfork_node.relay.request_rank import RequestRanker, rank_of_request
from rattanfork_node.relay.tests.fair_share_simulation import ROUTE, FairShareSimulation
from rattanfork_node.telemetry import Counters
from tables import table

RESULTS = Path(__file__).parent.parent / "docs" / "measurements"
SIZES = (12, 65, 300, 1000)
BURSTS = (1.0, 1.3)
ACCOUNTS = 76
RATE = 9.7
EAGER = 6
SETTLE_S = 5
MEASURED_S = 10
KEY = b"key"


def measure_fleet(size: int, burst: float) -> dict[str, float]:
    """Return the service of the accounts and the bytes that nodes send."""
    fleet = FairShareSimulation(ACCOUNTS * RATE / 0.98, size)
    others = [f"a{i}" for i in range(1, ACCOUNTS)]
    fleet.rates = dict.fromkeys(["a0", *others], RATE * burst)
    fleet.rates["a0"] *= EAGER
    fleet.run(SETTLE_S)
    fleet.sent_bytes.clear()
    fleet.datagrams.clear()
    fleet.run(MEASURED_S)
    sent = sorted(fleet.sent_bytes.values())
    mean = sum(fleet.served[name] for name in others) / len(others)
    return {
        "nodes": size,
        "burst": burst,
        "others": round(fleet.share(*others), 3),
        "eager_to_mean": round(fleet.served["a0"] / mean, 2),
        "median_node_bytes_s": round(sent[len(sent) // 2] / MEASURED_S),
        "highest_node_bytes_s": round(sent[-1] / MEASURED_S),
        "fleet_kilobytes_s": round(sum(sent) / MEASURED_S / 1000),
        "datagrams_s": round(sum(fleet.datagrams.values()) / MEASURED_S / size, 1),
    }


def measure_steps(accounts: int) -> dict[str, float]:
    """Return the CPU time of each step in microseconds."""
    names = [f"a{i}" for i in range(accounts)]
    clock = MonotonicClock()
    totals = TotalsTable(clock)
    reports = GateReportTable(clock, "me")
    dependencies = OperationDependencies()
    dependencies.record_run("r/s", ["a", "b", "c"])
    chain = CallChainThresholds(reports, dependencies, lambda service: 4)
    ranker = RequestRanker(chain, FairShares(clock, totals), Counters())
    exchanges = [
        SimpleNamespace(request_id=b"%d" % i, account=ClientAccount(n), fair_share=None)
        for i, n in enumerate(names)
    ]

    def rank(i: int) -> None:
        ranker.rank(exchanges[i % accounts], ROUTE, False, "r/s", "s")

    plain = time_of(lambda i: rank_of_request(exchanges[i % accounts], ROUTE, False))
    calm = time_of(rank)
    reports.merge({"a": [GateReport(gate, 1, 140, False, 0) for gate in range(4)]})
    own = time_of(rank)
    listed = tuple((account_hash(name), 20) for name in names[:96])
    rest = accounts - len(listed)
    totals.merge(DemandTotals("n", 1, 2, listed, rest, 20 * rest))
    fleet = time_of(rank)
    collector = DemandCollector("n", TotalsTable(ManualClock()))
    datagrams = [
        encode_gossip(
            DemandReport(2, 700, tuple((account_hash(n), 1) for n in part)), KEY
        )
        for part in (names[i : i + 16] for i in range(0, accounts, 16))
    ]
    add = time_of(
        lambda i: collector.add(decode_gossip(datagrams[i % len(datagrams)], KEY))
    )
    began = process_time()
    [message] = collector.take_totals()
    take = (process_time() - began) * 1e6
    data = encode_gossip(message, KEY)
    merge = time_of(
        lambda i: TotalsTable(clock).merge(decode_gossip(data, KEY)), repeats=2000
    )
    return {
        "accounts": accounts,
        "plain rank": plain,
        "calm": calm,
        "overload, own counts": own,
        "overload, totals": fleet,
        "receive a report": add,
        "compute totals": round(take),
        "receive totals": merge,
        "bytes of totals": len(data),
    }


def time_of(step, repeats: int = 20_000) -> float:
    """Return the CPU time of a step in microseconds."""
    began = process_time()
    for i in range(repeats):
        step(i)
    return round((process_time() - began) / repeats * 1e6, 1)


def main() -> None:
    """Measure, save the results and print them as tables."""
    fleets = [measure_fleet(size, burst) for size in SIZES for burst in BURSTS]
    steps = [measure_steps(accounts) for accounts in (ACCOUNTS, 4000)]
    results = {"fleets": fleets, "steps": steps}
    (RESULTS / "fair_shares.json").write_text(json.dumps(results, indent=1) + "\n")
    for rows in results.values():
        print(table(list(rows[0]), [list(row.values()) for row in rows]))


if __name__ == "__main__":
    main()
