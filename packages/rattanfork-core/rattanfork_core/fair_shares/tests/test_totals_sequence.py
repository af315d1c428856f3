"""Sequences of demand totals."""

from rattanfork_core.clock import ManualClock
from rattanfork_core.fair_shares import DemandTotals
from rattanfork_core.fair_shares.totals_table import TotalsTable


def test_largest_sequence_is_forgotten():
    """Guards against a collector whose totals all count as late after one of them."""
    clock = ManualClock()
    table = TotalsTable(clock)
    assert table.merge(DemandTotals("n1@b", 2**62 - 1, 2, (), 0, 0))
    assert not table.merge(DemandTotals("n1@b", 1, 2, (), 0, 0))
    clock.advance(10.1)
    assert table.merge(DemandTotals("n1@b", 2, 2, (), 0, 0))
