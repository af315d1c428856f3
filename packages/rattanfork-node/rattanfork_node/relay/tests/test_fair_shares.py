"""Fair shares of client accounts under overload, over several entry nodes."""

import pytest

from rattanfork_node.relay.tests.fair_share_simulation import FairShareSimulation

#: The accounts of the deployment, and their usual rate in requests per second.
ACCOUNTS = [f"a{i}" for i in range(76)]
RATE = 9.7
USUAL = len(ACCOUNTS) * RATE
EAGER, *OTHERS = ACCOUNTS
#: Rate of the account that sends many times its usual rate.
EAGER_RATE = 6 * RATE
#: The bottleneck service is utilized to 0.98 at the usual rate.
CAPACITY = USUAL / 0.98


def overloaded(
    eager_rate: float = EAGER_RATE, burst: float = 1.3, **settings
) -> FairShareSimulation:
    """Return a service whose callers send a multiple of their usual rates.

    Without the eager account's excess, a burst of 1.3 needs 1.27 of the capacity.
    """
    simulation = FairShareSimulation(CAPACITY, **settings)
    simulation.rates = dict.fromkeys(OTHERS, RATE * burst)
    simulation.rates[EAGER] = eager_rate * burst
    return simulation


def mean_served(simulation: FairShareSimulation, names=OTHERS) -> float:
    return sum(simulation.served[name] for name in names) / len(names)


@pytest.mark.parametrize("burst", [1.0, 1.3, 1.7])
def test_eager_account_costs_the_others_less_than_three_percent(burst):
    """One account of 76 sends six times its usual rate, at a load of 1.04 to 1.78."""
    shares = []
    for eager_rate in (RATE, EAGER_RATE):
        simulation = overloaded(eager_rate, burst)
        simulation.run(4)
        shares.append(simulation.run(20).share(*OTHERS))
    assert shares[0] - shares[1] < 0.03
    if burst > 1:
        assert simulation.served[EAGER] < 1.2 * mean_served(simulation)
    assert sum(simulation.served.values()) > 0.97 * CAPACITY * 20


def test_without_fair_shares_the_eager_account_takes_capacity_of_the_others():
    """The fault that fair shares prevent: all requests lose the same part."""
    simulation = overloaded(fair=False)
    simulation.run(4)
    simulation.run(20)
    assert simulation.share(EAGER) == pytest.approx(simulation.share(*OTHERS), abs=0.05)
    assert simulation.served[EAGER] > 5 * mean_served(simulation)


def test_eager_account_gets_all_capacity_that_the_others_leave():
    """The others use 0.49 of the capacity, and one account offers 0.77 of it."""
    simulation = overloaded(60 * RATE, burst=1)
    simulation.rates.update(dict.fromkeys(OTHERS, RATE / 2))
    simulation.run(4)
    simulation.run(20)
    assert simulation.share(*OTHERS) > 0.97
    assert sum(simulation.served.values()) > 0.96 * CAPACITY * 20


def test_nothing_is_computed_or_sent_without_overload():
    simulation = overloaded()
    simulation.capacity = 2 * USUAL
    simulation.run(10)
    plain = overloaded(fair=False)
    plain.capacity = 2 * USUAL
    plain.run(10)
    assert simulation.ranks == plain.ranks
    assert not simulation.datagrams
    assert not any(n.counters.events for n in simulation.nodes.values())
    assert not any(n.shares.active_importances for n in simulation.nodes.values())


def test_accounts_with_quotas_are_ranked_as_without_fair_shares():
    """Guards against fair shares that undo what an operator has set by quotas."""
    simulation = overloaded()
    simulation.quota = EAGER_RATE
    plain = overloaded(fair=False)
    assert simulation.run(6).ranks == plain.run(6).ranks
    assert not simulation.datagrams


def test_fair_ranks_are_distributed_like_hashes():
    """Guards against thresholds that change their meaning when fair ranks begin.

    A threshold of 2.9 has to admit 0.9 of the requests, also if one account sends six
    times as much as each of the others.
    """
    simulation = overloaded()
    simulation.run(4)
    ranks = simulation.run(10).ranks
    for tenth in range(1, 10):
        below = sum(rank < 2 + tenth / 10 for rank in ranks) / len(ranks)
        assert below == pytest.approx(tenth / 10, abs=0.03)


def test_clients_that_retry_at_once_gain_nothing():
    """Two accounts above their fair share; one sends refused requests again at once."""
    simulation = overloaded()
    simulation.rates.update({EAGER: 4 * RATE, "a1": 4 * RATE})
    simulation.retrying = {"a1"}
    simulation.run(4)
    simulation.run(40)
    assert simulation.offered["a1"] > 3 * simulation.offered[EAGER]
    assert simulation.served["a1"] < 1.1 * simulation.served[EAGER]
    others = [name for name in OTHERS if name != "a1"]
    assert simulation.served["a1"] < 1.1 * mean_served(simulation, others)


def test_account_at_one_node_gets_as_much_as_one_at_all_nodes():
    """Guards against a node that judges an account by what it receives itself.

    Two eager accounts use all entry nodes, and two use one each.
    """
    simulation = overloaded()
    eager = [EAGER, "a1", "a2", "a3"]
    simulation.rates.update(dict.fromkeys(eager, EAGER_RATE))
    simulation.entries = {"a2": ["n3"], "a3": ["n9"]}
    simulation.run(4)
    simulation.run(60)
    spread, single = eager[:2], eager[2:]
    assert mean_served(simulation, single) == pytest.approx(
        mean_served(simulation, spread), rel=0.08
    )
    assert mean_served(simulation, eager) < 1.1 * mean_served(simulation, OTHERS[3:])


def test_fresh_node_is_fair_within_two_seconds():
    """A node starts under overload, and an eager account uses only this node."""
    simulation = overloaded()
    simulation.silent = {"n5"}
    running = [name for name in simulation.names if name != "n5"]
    simulation.entries = dict.fromkeys(simulation.rates, running)
    simulation.run(5)
    simulation.silent = set()
    simulation.entries = {EAGER: ["n5"]}
    simulation.run(2)
    simulation.run(4)
    assert simulation.nodes["n5"].shares.last_rank(2).from_fleet
    assert simulation.served[EAGER] < 1.3 * mean_served(simulation)


def test_partitioned_node_is_fair_within_two_seconds_by_its_own_requests():
    """A node keeps its link to the service but receives nothing of other entry nodes.

    Two accounts use only this node; one sends six times as much as the other.  The
    node doesn't know the demand elsewhere, but shares what it gets between the two.
    """
    simulation = overloaded()
    simulation.entries = {EAGER: ["n5"], "a1": ["n5"]}
    simulation.run(5)
    simulation.groups = {"n5": 1}
    simulation.run(2)
    simulation.run(5)
    assert not simulation.nodes["n5"].shares.last_rank(2).from_fleet
    assert simulation.nodes["n4"].shares.last_rank(2).from_fleet
    assert simulation.share("a1") > 0.97
    assert simulation.share(EAGER) < 0.6
    plain = overloaded(fair=False).run(7).share(*OTHERS)
    assert simulation.share(*OTHERS) > plain


def test_dead_collector_is_replaced_before_its_totals_expire():
    """Guards against nodes that lose the totals together when one node dies."""
    simulation = overloaded()
    simulation.run(5)
    collectors = [n for n, node in simulation.nodes.items() if node.task.sends]
    assert len(collectors) == 1
    simulation.silent = set(collectors)
    for _ in range(60):
        simulation.run(0.1)
        live = [n for n in simulation.names if n not in simulation.silent]
        assert all(simulation.nodes[n].totals.current(2) for n in live)


def test_two_dead_collectors_are_replaced_within_four_seconds():
    simulation = overloaded()
    simulation.run(5)
    candidates = simulation.nodes["n0"].task._candidate_names()
    simulation.silent = set(candidates[:2])
    simulation.run(4)
    live = [n for n in simulation.names if n not in simulation.silent]
    assert all(simulation.nodes[n].totals.current(2) for n in live)
    simulation.run(4)
    assert simulation.served[EAGER] < 1.3 * mean_served(simulation)


def test_nodes_of_the_previous_build_do_not_starve_their_callers():
    """Half of the nodes rank by the hash only, and send and sum no demand.

    Both kinds of ranks have the same distribution, so callers lose no more at one kind
    of node than they did before.
    """
    simulation = overloaded(old=[f"n{i}" for i in range(6)])
    old, new = OTHERS[:30], OTHERS[30:60]
    simulation.entries = {
        **dict.fromkeys(old, simulation.names[:6]),
        **dict.fromkeys(new, simulation.names[6:]),
    }
    simulation.run(6)
    simulation.run(20)
    plain_share = CAPACITY / sum(simulation.rates.values())
    assert simulation.share(*old) > plain_share - 0.05
    assert simulation.share(*new) > plain_share - 0.03
    assert any(node.totals.current(2) for node in simulation.nodes.values())


def test_cost_of_a_node_is_bounded_at_the_size_of_the_deployment():
    """65 nodes and 76 accounts, all of them above their fair share.

    A node sends under 0.5 kB a second, and the collector 80 kB to all others.
    """
    simulation = overloaded(nodes=65)
    simulation.run(4)
    simulation.sent_bytes.clear()
    simulation.datagrams.clear()
    simulation.run(5)
    by_node = sorted(simulation.sent_bytes.values())
    assert by_node[-2] / 5 < 500
    assert by_node[-1] / 5 < 80_000
    assert sum(simulation.datagrams.values()) / 5 < 65 * 6
    assert simulation.served[EAGER] < 1.3 * mean_served(simulation)


def test_thousands_of_accounts_are_served_fairly_with_bounded_messages():
    """3,000 accounts of one request in 4 s, and one that sends a quarter of all."""
    simulation = FairShareSimulation(750.0, nodes=12)
    small = [f"s{i}" for i in range(3000)]
    simulation.rates = {**dict.fromkeys(small, 0.25), "big": 250.0}
    simulation.run(4)
    simulation.sent_bytes.clear()
    simulation.run(10)
    assert simulation.share(*small) > 0.95
    assert simulation.share("big") < 0.25
    assert max(simulation.sent_bytes.values()) / 10 < 30_000


def test_large_fleet_samples_reports_and_forwards_totals():
    """Of 300 nodes, none sends to all others, and an eager account is limited."""
    simulation = overloaded(nodes=300)
    simulation.run(5)
    simulation.sent_bytes.clear()
    simulation.run(8)
    assert simulation.served[EAGER] < 1.4 * mean_served(simulation)
    assert max(simulation.sent_bytes.values()) / 8 < 10_000
