"""What the gates of a service shed is known at every node of the fleet."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import (
    MAX_REPORTERS,
    GateReport,
    GateReportTable,
)
from rattanfork_core.gate_status.tests.gossip_simulation import GossipSimulation
from rattanfork_core.gate_status.tests.overload_simulation import (
    FILING,
    LOOKUP,
    SEARCH,
    OverloadSimulation,
)


@pytest.mark.parametrize("size", [12, 194, 300, 1000])
def test_a_first_node_hears_within_half_a_second_without_any_request(size):
    """Twelve gates deep down shed; most nodes have nothing to do with them.

    What they shed is known at every node, half a second old in the middle of the
    largest fleet at most, and news is there as long as anybody sheds.
    """
    gossip = GossipSimulation(size, gates=12)
    gossip.run(2.0)
    gossip.sent_bytes = 0
    gossip.run(1.0)
    ages = gossip.report_ages()
    assert len(ages) == 12 * size
    assert ages[len(ages) // 2] < 0.5
    assert gossip.sent_bytes / size < 3500
    if size <= 300:
        assert ages[int(0.9 * len(ages))] < 0.5


def test_a_fifth_of_the_datagrams_may_be_lost():
    gossip = GossipSimulation(194, gates=12, lost=0.2)
    gossip.run(2.0)
    ages = gossip.report_ages()
    assert len(ages) == 12 * 194
    assert ages[int(0.9 * len(ages))] < 0.8


def test_an_end_of_shedding_is_known_as_fast():
    gossip = GossipSimulation(194, gates=12)
    gossip.run(2.0)
    gossip.run(1.0, cut=5.0)
    assert all(node.service_threshold("deep", 12) == 5.0 for node in gossip.nodes)


def test_nothing_is_sent_while_nobody_sheds():
    gossip = GossipSimulation(194, gates=12)
    gossip.run(2.0, cut=5.0)
    assert gossip.sent_bytes == 0


def test_a_node_cut_off_neither_stays_shut_nor_opens_at_once():
    """The last word is believed for a second; then it opens little by little."""
    clock = ManualClock()
    node = GateReportTable(clock, "first@b")
    node.merge({"deep": [GateReport(7, 1, 100, False, 0)]})
    clock.advance(1.0)
    assert node.service_threshold("deep", 1) == 2.0
    clock.advance(0.5)
    assert node.service_threshold("deep", 1) == 2.5
    clock.advance(3.0)
    assert node.service_threshold("deep", 1) == 5.0


def test_a_word_that_comes_late_does_not_replace_a_newer_one():
    node = GateReportTable(ManualClock(), "first@b")
    node.merge({"deep": [GateReport(7, 9, 100, False, 0)]})
    node.merge({"deep": [GateReport(7, 8, 200, False, 0)]})
    assert node.service_threshold("deep", 1) == 2.0


@given(st.lists(st.floats(0.0, 5.0), min_size=1, max_size=12), st.integers(1, 12))
def test_a_service_sheds_what_most_of_its_gates_shed(cuts, silent):
    """A few gates that shed more, or say nothing, decide for nobody else."""
    node = GateReportTable(ManualClock(), "first@b")
    node.merge(
        {
            "deep": [
                GateReport(gate, 1, round(cut * 50), False, 0)
                for gate, cut in enumerate(cuts)
            ]
        }
    )
    instances = len(cuts) + silent
    cut = node.service_threshold("deep", instances)
    shed_by = sum(round(c * 50) / 50 <= cut for c in cuts)
    assert cut == 5.0 or shed_by >= 0.67 * min(instances, MAX_REPORTERS)


@pytest.mark.parametrize("size", [12, 194])
def test_in_a_surge_first_nodes_refuse_what_the_deep_service_would_shed(size):
    """A surge asks the deepest service for nearly twice what it can do.

    Of the cheap lookups four in five can't be carried.  They are to be refused
    where they come in, and not after the work above is done; what matters more is
    served, and what the deep service does is done for answers that come whole.
    """
    fleet = OverloadSimulation(size).play(9.0)
    assert fleet.useful > 0.9
    assert fleet.whole(FILING) > 0.95
    assert fleet.whole(SEARCH) > 0.8
    lookups = fleet.counts[LOOKUP.name]
    assert lookups.refused > 0.4 * lookups.sent


def test_by_its_own_replies_alone_a_large_fleet_would_refuse_nothing():
    """The pattern that the test before answers: replies are too few to learn from."""
    fleet = OverloadSimulation(194, told=False).play(6.0)
    lookups = fleet.counts[LOOKUP.name]
    assert lookups.refused < 0.05 * lookups.sent


@pytest.mark.parametrize("size", [12, 194])
def test_repeats_go_to_what_matters_most_while_a_deep_service_refuses(size):
    """The deep upstreams refuse 55 of 100 calls for as long as the test lasts.

    A filing of eight calls needs ten repeats.  There are enough for a fifth of the
    filings; spread by chance over all that fail, they would carry hardly any.
    """
    fleet = OverloadSimulation(size, refusing=0.55, refusing_from=8.0, counted_from=8.0)
    fleet.play(14.0)
    granted = sum(gate.grants.spent for gate in fleet.gates.values())
    needed = FILING.rows * FILING.calls * 0.55 / 0.45
    carried = fleet.counts[FILING.name].whole * needed
    assert carried > 0.75 * granted
    assert fleet.whole(SEARCH) > 0.4
