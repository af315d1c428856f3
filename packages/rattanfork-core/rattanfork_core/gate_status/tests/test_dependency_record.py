"""Tests of dependencies that are persisted for nodes that start later."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import (
    CallChainThresholds,
    GateReportTable,
    OperationDependencies,
)
from rattanfork_core.gate_status.dependency_record import from_row, to_row

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


def test_started_node_sheds_what_a_service_below_sheds_from_the_first_request_on():
    """Guards against requests that fail half-way after a restart of all nodes."""
    learned = OperationDependencies()
    learned.record_run("buy/shops", ["wallets"])
    started = OperationDependencies()
    started.restore(from_row(json.loads(json.dumps(to_row(learned.learned)))))
    reports = GateReportTable(ManualClock(), "shops-1@b")
    reports.update_own("wallets", 1.5, impaired=False)
    chain = CallChainThresholds(reports, started, lambda service: 1)
    assert chain.threshold("buy/shops", "shops") == 1.5
    assert chain.threshold("view/shops", "shops") == 5.0


def test_own_observations_go_before_what_was_read():
    """Guards against a route that moved and keeps the dependencies of its past."""
    dependencies = OperationDependencies()
    dependencies.record_run("buy/shops", ["ledgers"])
    dependencies.restore({"buy/shops": ("wallets",)})
    assert dependencies.services("buy/shops") == ("ledgers",)


def test_dependencies_that_were_read_are_unlearned():
    """Guards against an outdated row that is believed for ever."""
    dependencies = OperationDependencies()
    dependencies.restore({"buy/shops": ("wallets",)})
    for _ in range(30):
        dependencies.record_run("buy/shops", [])
    assert dependencies.services("buy/shops") == ()


@given(_JSON.filter(lambda value: value != {"operations": {}}))
def test_malformed_rows_are_refused_with_the_expected_form(value):
    """Guards against a row of another writer that ends a starting node."""
    with pytest.raises(ValueError, match="expected"):
        from_row(value)


def test_row_is_bounded():
    """Guards against a row that the store refuses."""
    row = to_row({f"route-{n}/service": ("a", "b") for n in range(5000)})
    assert len(json.dumps(row)) < 60_000
    with pytest.raises(ValueError, match="at most 500 operations"):
        from_row({"operations": dict.fromkeys(map(str, range(501)), [])})
