"""Fair shares of client accounts under overload: demand, its totals, fair ranks.

Explanation
===========

While a service sheds an importance, the fraction of a request's rank is no longer the
hash of its ID alone, but depends on the demand of its account as well: at any
admission threshold, accounts get max-min fair shares of the capacity.  Entry nodes (the
nodes that receive callers' requests) count the requests of each account; one node, the
*collector*, sums the counts and sends the totals to all others.
"""

from rattanfork_core.fair_shares.collector import DemandCollector
from rattanfork_core.fair_shares.collector_choice import CollectorChoice
from rattanfork_core.fair_shares.curve import DemandCurve
from rattanfork_core.fair_shares.fair_rank import FairRank, FairShares
from rattanfork_core.fair_shares.messages import (
    DEMAND_MESSAGE_TYPES,
    DemandReport,
    DemandTotals,
)
from rattanfork_core.fair_shares.report_sampling import sample_reports
from rattanfork_core.fair_shares.totals_table import TotalsTable
from rattanfork_core.fair_shares.window import DemandWindow, account_hash

__all__ = [
    "CollectorChoice",
    "DEMAND_MESSAGE_TYPES",
    "DemandCollector",
    "DemandCurve",
    "DemandReport",
    "DemandTotals",
    "DemandWindow",
    "FairRank",
    "FairShares",
    "TotalsTable",
    "account_hash",
    "sample_reports",
]
