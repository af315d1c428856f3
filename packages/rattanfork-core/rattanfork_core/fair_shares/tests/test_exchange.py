"""Tests of the messages, sums and collectors of account demand."""

from random import Random

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.fair_shares import (
    CollectorChoice,
    DemandCollector,
    DemandReport,
    DemandTotals,
    TotalsTable,
    sample_reports,
)
from rattanfork_core.membership import decode_gossip, encode_gossip, messages
from rattanfork_core.membership.messages import MAX_DATAGRAM_BYTES

KEY = b"key"
HASHES = st.integers(0, 2**32 - 1)
PAIRS = st.tuples(HASHES, st.integers(1, 2**31 - 1))
REPORTS = st.builds(
    DemandReport,
    st.integers(0, 4),
    st.integers(0, 1000),
    st.lists(PAIRS, max_size=16).map(tuple),
)
TOTALS = st.builds(
    DemandTotals,
    st.text(min_size=1, max_size=40),
    st.integers(0, 2**62 - 1),
    st.integers(0, 4),
    st.lists(PAIRS, max_size=96).map(tuple),
    st.integers(0, 1000),
    st.integers(1000, 2**60),
)
#: Values of the wrong type or out of the range of each field.
NO_INTEGERS = st.one_of(
    st.none(),
    st.booleans(),
    st.floats(),
    st.text(max_size=5),
    st.integers(-(2**63), -1),
    st.integers(2**62, 2**64 - 1),
)
NO_PAIRS = st.one_of(
    NO_INTEGERS,
    st.just(((1, 2),) * 97),
    st.lists(NO_INTEGERS, min_size=1, max_size=3).map(tuple),
    st.tuples(st.tuples(HASHES, st.just(0))),
    st.tuples(st.tuples(HASHES)),
    st.tuples(st.tuples(NO_INTEGERS, st.just(1))),
)


@given(st.one_of(REPORTS, TOTALS))
def test_message_is_decoded_as_it_was_encoded(message):
    data = encode_gossip(message, KEY)
    assert decode_gossip(data, KEY) == message
    assert len(data) < MAX_DATAGRAM_BYTES


@given(REPORTS, st.data())
def test_malformed_report_is_rejected_by_field(report, data):
    field = data.draw(st.sampled_from(DemandReport._fields))
    bad = data.draw(NO_PAIRS if field == "demands" else NO_INTEGERS)
    fields = tuple(report._replace(**{field: bad}))
    with pytest.raises(ValueError, match=rf"DemandReport\.{field}"):
        DemandReport.from_fields(fields)
    with pytest.raises(ValueError, match=rf"DemandReport\.{field}"):
        decode_gossip(encode_gossip(DemandReport(*fields), KEY), KEY)


@given(TOTALS, st.data())
def test_malformed_totals_are_rejected_by_field(totals, data):
    field = data.draw(st.sampled_from(DemandTotals._fields))
    bad_values = {"demands": NO_PAIRS, "sender": st.sampled_from(["", "x" * 201, 7])}
    bad = data.draw(bad_values.get(field, NO_INTEGERS))
    fields = tuple(totals._replace(**{field: bad}))
    with pytest.raises(ValueError, match=rf"DemandTotals\.{field}"):
        DemandTotals.from_fields(fields)


def test_totals_below_one_request_for_each_account_are_rejected():
    """Guards against a mean of the rest below what any account can have."""
    with pytest.raises(ValueError, match=r"rest_total: at least rest_count \(9\)"):
        DemandTotals.from_fields(("n", 1, 2, (), 9, 8))


@given(st.lists(st.one_of(st.integers(), st.text(max_size=3)), max_size=7))
def test_any_other_fields_raise_only_value_errors(fields):
    """Guards against datagrams that end the handler instead of being counted."""
    for message_type in (DemandReport, DemandTotals):
        with pytest.raises(ValueError, match=message_type.__name__):
            message_type.from_fields((*fields, object()))


def test_type_numbers_of_the_previous_build_are_unchanged():
    """Guards against a build that reads another message than the sender wrote."""
    names = [message_type.__name__ for message_type in messages._MESSAGE_TYPES]
    assert names == [
        *("Ping", "Ack", "PingRequest", "GateUpdate", "CrashUpdate"),
        *("LeaseRequest", "LeaseReply", "QuotaRequest", "QuotaReply"),
        *("DemandReport", "DemandTotals", "RetirementUpdate"),
    ]


def test_message_of_a_later_build_is_refused_like_any_malformed_datagram():
    body = msgpack.packb((len(messages._MESSAGE_TYPES), 1, 2))
    mac = messages.hmac.digest(KEY, b"gossip" + body, "sha256")[:12]
    with pytest.raises(ValueError, match="malformed datagram"):
        decode_gossip(mac + body, KEY)


def reported(reports: list[DemandReport]) -> dict[int, int]:
    return {a: count for report in reports for a, count in report.demands}


@given(st.dictionaries(HASHES, st.integers(1, 500), max_size=300), st.integers(1, 50))
def test_reports_are_bounded(counts, quantum):
    reports = sample_reports(2, 900, counts, quantum, Random(1))
    assert len(reports) <= 5
    assert all(1 <= len(report.demands) <= 16 for report in reports)
    if quantum == 1 and len(counts) <= 64:
        assert reported(reports) == counts


def test_sampled_counts_are_right_on_average():
    """An account of 2 requests at each of 1,000 nodes, and one of 2,000 at one node."""
    random = Random(1)
    total = sum(
        sum(reported(sample_reports(2, 900, {7: 2}, 100, random)).values())
        for _ in range(1000)
    )
    assert total == pytest.approx(2000, rel=0.3)
    assert reported(sample_reports(2, 900, {7: 2000}, 100, random)) == {7: 2000}


def test_totals_list_only_accounts_near_their_fair_share_or_above():
    """Accounts below it are fully admitted whether or not they are known."""
    collector = DemandCollector("n1", TotalsTable(ManualClock()))
    for start in range(0, 76, 4):
        pairs = ((a, 20 if a else 120) for a in range(start, start + 4))
        collector.add(DemandReport(2, 980, tuple(pairs)))
    [totals] = collector.take_totals()
    assert totals.demands == ((0, 120),)
    assert (totals.rest_count, totals.rest_total) == (75, 1500)
    assert len(encode_gossip(totals, KEY)) < 60


def test_accounts_above_their_fair_share_are_listed():
    collector = DemandCollector("n1", TotalsTable(ManualClock()))
    for start in range(0, 76, 4):
        pairs = ((a, 20 if a else 120) for a in range(start, start + 4))
        collector.add(DemandReport(2, 700, tuple(pairs)))
    [totals] = collector.take_totals()
    assert len(totals.demands) == 76


def test_totals_cover_two_seconds_and_end():
    collector = DemandCollector("n1", TotalsTable(ManualClock()))
    sums = []
    for tick in range(12):
        if tick < 6:
            collector.add(DemandReport(2, 500, ((7, 10),)))
        sums.append([totals.demands for totals in collector.take_totals()])
    assert sums[:4] == [[((7, 10 * n),)] for n in (1, 2, 3, 4)]
    assert sums[5] == [((7, 40),)]
    assert sums[8] == [((7, 10),)]
    assert sums[9:] == [[], [], []]
    assert not collector.active


def test_state_of_a_collector_is_bounded():
    collector = DemandCollector("n1", TotalsTable(ManualClock()))
    for account in range(20_000):
        collector.add(DemandReport(2, 500, ((account, 1), (99_999, 1))))
    [totals] = collector.take_totals()
    assert totals.demands[0] == (99_999, 20_000)
    assert len(totals.demands) <= 96
    assert totals.rest_count <= 4096


@pytest.mark.parametrize(("first", "second"), [(100, 100), (100, 30), (30, 100)])
def test_one_of_two_collectors_sends(first, second):
    """Guards against two senders, and against nodes that lose the better totals."""
    clock = ManualClock()
    tables = [TotalsTable(clock), TotalsTable(clock)]
    collectors = [DemandCollector(f"n{i}", table) for i, table in enumerate(tables)]
    for _ in range(8):
        clock.advance(0.5)
        for collector, count in zip(collectors, (first, second), strict=True):
            collector.add(DemandReport(2, 500, ((7, count),)))
            for totals in collector.take_totals():
                for table in tables:
                    table.merge(totals)
    assert [c.sends for c in collectors].count(True) == 1
    assert tables[0].current(2).curve.total == 4 * max(first, second)


def test_late_totals_do_not_replace_newer_ones():
    table = TotalsTable(ManualClock())
    assert table.merge(DemandTotals("n1", 5, 2, ((7, 50),), 0, 0))
    assert not table.merge(DemandTotals("n1", 4, 2, ((7, 40),), 0, 0))
    assert not table.merge(DemandTotals("n1", 5, 2, ((7, 50),), 0, 0))
    assert table.current(2).demands == {7: 50}


def test_totals_of_many_senders_are_bounded():
    table = TotalsTable(ManualClock())
    for i in range(100):
        table.merge(DemandTotals(f"n{i}", 1, 2, ((7, 50 + i),), 0, 0))
    assert len(table) <= 8
    assert table.current(2).demands == {7: 149}


def test_totals_are_forwarded_a_bounded_number_of_times():
    table = TotalsTable(ManualClock())
    table.merge(DemandTotals("n1", 1, 2, ((7, 50),), 0, 0))
    assert [len(table.take_forwards()) for _ in range(6)] == [1, 1, 1, 0, 0, 0]


def test_expired_totals_are_not_forwarded():
    """Guards against an error when the last totals expire before a forwarding tick."""
    clock = ManualClock()
    table = TotalsTable(clock)
    for importance in (1, 2):
        table.merge(DemandTotals("n1", 1, importance, ((7, 50),), 0, 0))
    clock.advance(2.5)
    assert table.take_forwards() == []
    assert table.sender() is None


def test_all_nodes_choose_the_same_collectors_after_a_calm_period():
    """Guards against nodes that begin where their last search ended."""
    clock = ManualClock()
    choice = CollectorChoice(clock)
    candidates = [f"n{i}" for i in range(16)]
    for _ in range(10):
        clock.advance(0.5)
        choice.targets(candidates, None)
    assert choice.targets(candidates, None) != ["n0", "n1"]
    clock.advance(60)
    assert choice.targets(candidates, None) == ["n0", "n1"]
    assert CollectorChoice(clock).targets([], None) == []
