"""Tests of gate reports: dissemination, expiry, and early shedding by them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import (
    MAX_REPORTERS,
    CallChainThresholds,
    GateReport,
    GateReportTable,
    OperationDependencies,
    gate_reports,
)
from rattanfork_core.gate_status.gate_reports import gate_hash
from rattanfork_core.gate_status.tests.gossip_simulation import GossipSimulation
from rattanfork_core.gate_status.tests.overload_simulation import (
    FILING,
    LOOKUP,
    SEARCH,
    OverloadSimulation,
)


@pytest.mark.parametrize("size", [12, 194, 300, 1000])
def test_reports_reach_all_nodes_within_half_a_second_without_requests(size):
    """Twelve gates shed, and most nodes send no requests to their service.

    Every node has a report of each gate, with a median age of less than half a second
    also in the largest fleet, at a bounded number of bytes sent per node.
    """
    simulation = GossipSimulation(size, gates=12)
    simulation.run(2.0)
    simulation.sent_bytes = 0
    simulation.run(1.0)
    ages = simulation.report_ages()
    assert len(ages) == 12 * size
    assert ages[len(ages) // 2] < 0.5
    assert simulation.sent_bytes / size < 3500
    if size <= 300:
        assert ages[int(0.9 * len(ages))] < 0.5


def test_reports_reach_all_nodes_with_a_fifth_of_datagrams_lost():
    simulation = GossipSimulation(194, gates=12, lost=0.2)
    simulation.run(2.0)
    ages = simulation.report_ages()
    assert len(ages) == 12 * 194
    assert ages[int(0.9 * len(ages))] < 0.8


def test_end_of_shedding_reaches_all_nodes_within_a_second():
    simulation = GossipSimulation(194, gates=12)
    simulation.run(2.0)
    simulation.run(1.0, threshold=5.0)
    assert all(node.service_threshold("leaf", 12) == 5.0 for node in simulation.nodes)


def test_no_reports_are_sent_while_no_gate_sheds():
    simulation = GossipSimulation(194, gates=12)
    simulation.run(2.0, threshold=5.0)
    assert simulation.sent_bytes == 0


def test_threshold_rises_gradually_at_a_node_without_reports():
    """The last threshold holds for one second and then rises by one rank a second.

    A node cut off from the others neither sheds for ever nor admits all at once.
    """
    clock = ManualClock()
    node = GateReportTable(clock, "first@b")
    node.merge({"leaf": [GateReport(7, 1, 100, False, 0)]})
    clock.advance(1.0)
    assert node.service_threshold("leaf", 1) == 2.0
    clock.advance(0.5)
    assert node.service_threshold("leaf", 1) == 2.5
    clock.advance(3.0)
    assert node.service_threshold("leaf", 1) == 5.0


def test_late_report_does_not_replace_a_newer_one():
    node = GateReportTable(ManualClock(), "first@b")
    node.merge({"leaf": [GateReport(7, 9, 100, False, 0)]})
    node.merge({"leaf": [GateReport(7, 8, 200, False, 0)]})
    assert node.service_threshold("leaf", 1) == 2.0


@given(st.lists(st.floats(0.0, 5.0), min_size=1, max_size=12), st.integers(1, 12))
def test_service_threshold_is_a_rank_that_most_gates_shed(thresholds, silent):
    """A few gates that shed more, or send no report, do not determine the result."""
    node = GateReportTable(ManualClock(), "first@b")
    node.merge(
        {
            "leaf": [
                GateReport(gate, 1, round(threshold * 50), False, 0)
                for gate, threshold in enumerate(thresholds)
            ]
        }
    )
    instances = len(thresholds) + silent
    limit = node.service_threshold("leaf", instances)
    shed_by = sum(round(t * 50) / 50 <= limit for t in thresholds)
    assert limit == 5.0 or shed_by >= 0.67 * min(instances, MAX_REPORTERS)


@pytest.mark.parametrize("size", [12, 194])
def test_entry_nodes_shed_what_an_overloaded_leaf_service_would_shed(size):
    """The leaf service receives nearly twice the load that it can serve.

    Four in five of the least important requests, the lookups, cannot be served.  They
    are shed at the entry node, before the middle service works for them.  Requests of
    higher importance succeed, and nearly all leaf runs belong to successful requests.
    """
    simulation = OverloadSimulation(size).run(9.0)
    assert simulation.useful_share > 0.9
    assert simulation.success_rate(FILING) > 0.95
    assert simulation.success_rate(SEARCH) > 0.8
    lookups = simulation.outcomes[LOOKUP.name]
    assert lookups.refused > 0.4 * lookups.sent


def test_without_gate_reports_a_large_fleet_sheds_hardly_anything_early():
    """The fault that gate reports prevent: each node gets too few replies."""
    simulation = OverloadSimulation(194, use_reports=False).run(6.0)
    lookups = simulation.outcomes[LOOKUP.name]
    assert lookups.refused < 0.05 * lookups.sent


@pytest.mark.parametrize("size", [12, 194])
def test_retries_go_to_the_most_important_requests_while_upstreams_refuse(size):
    """The leaf upstreams refuse 55 of 100 calls.

    A filing of eight calls needs ten retries.  The budget is enough for a fifth of the
    filings; spent at random on all failing requests, it would save hardly any.
    """
    simulation = OverloadSimulation(
        size, refusing=0.55, refusing_from=8.0, counted_from=8.0
    )
    simulation.run(14.0)
    granted = sum(gate.retry_grants.spent for gate in simulation.gates.values())
    needed = FILING.sequences * FILING.calls * 0.55 / 0.45
    used = simulation.outcomes[FILING.name].succeeded * needed
    assert used > 0.75 * granted
    assert simulation.success_rate(SEARCH) > 0.4


def test_lowest_gate_threshold_is_that_of_any_gate_along_the_call_chain():
    """Guards against fair ranks that begin only once most gates shed."""
    node = GateReportTable(ManualClock(9.0), "first@b")
    dependencies = OperationDependencies()
    dependencies.record_run("r/top", ["leaf"])
    chain = CallChainThresholds(node, dependencies, lambda service: 4)
    assert chain.lowest_gate_threshold("r/top", "top") == 5.0
    node.merge({"leaf": [GateReport(7, 1, 100, False, 0)]})
    node.merge({"leaf": [GateReport(8, 1, 150, False, 0)]})
    assert chain.threshold("r/top", "top") == 5.0
    assert chain.lowest_gate_threshold("r/top", "top") == 2.0
    assert chain.lowest_gate_threshold("other/top", "top") == 5.0


def test_full_table_drops_the_report_received_longest_ago(monkeypatch):
    """Guards against a gate that reports now and is forgotten for one that did once."""
    monkeypatch.setattr(gate_reports, "_MAX_STORED", 2)
    table = GateReportTable(ManualClock(9.0), "me")
    for sequence, name in enumerate(("w1", "w2", "w1", "w3"), 1):
        report = GateReport(gate_hash(name), sequence, 100, False, 0)
        table.merge({"donors": [report]})
    states = {name: table.gate_state("donors", name)[0] for name in ("w1", "w2", "w3")}
    assert states == {"w1": 2.0, "w2": 5.0, "w3": 2.0}
